"""A replicated log core, free of I/O, usable on its own."""
