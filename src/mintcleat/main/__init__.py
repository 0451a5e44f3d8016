"""Composition root and the entry points of the daemon and the CLI."""
