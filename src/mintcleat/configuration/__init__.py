"""The state machine of the configuration group, without I/O."""
