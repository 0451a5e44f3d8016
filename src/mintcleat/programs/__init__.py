"""The program record state machine, free of I/O."""
