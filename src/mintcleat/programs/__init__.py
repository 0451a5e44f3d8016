"""The replicated state machine of program records; performs no I/O."""
