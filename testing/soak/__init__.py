"""Fault-injection soak test; see docs/howto/soak.md.

Real processes on loopback, stand-in upstreams, callers and an operator run
under a seeded schedule of faults. Checks use only what callers, upstreams and
the operator observe.
"""
