"""The control instances: configuration, replication, programs."""
