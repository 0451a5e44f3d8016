"""Fault-injecting wrappers of the stand-ins, and small fakes of ports."""
