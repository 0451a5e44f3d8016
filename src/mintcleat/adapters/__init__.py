"""Implementations of the ports on eventlet, files and libraries."""
