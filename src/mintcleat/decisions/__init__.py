"""Scheduling and load decisions; they do no I/O and read no clock."""
