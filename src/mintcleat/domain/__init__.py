"""Data types, typed errors and messages that all roles share."""
