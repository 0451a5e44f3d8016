"""Data types, typed errors and wire messages shared by every role."""
