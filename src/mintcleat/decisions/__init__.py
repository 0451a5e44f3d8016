"""Decisions under load, free of I/O and of any clock of their own."""
