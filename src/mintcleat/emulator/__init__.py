"""A model of what entries serve, to try policies on: no sockets, no clock."""
