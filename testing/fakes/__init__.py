"""Fakes at the ports, for tests that inject faults."""
