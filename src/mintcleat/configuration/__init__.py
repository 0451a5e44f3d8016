"""The configuration group's state machine, free of I/O."""
