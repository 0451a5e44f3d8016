"""Fault-injection soak test; see docs/howto/soak.md.

Real processes on loopback, stand-in upstreams, callers and an operator run
under a seeded schedule of faults. Checks use only what callers, upstreams and
the operator observe.
"""

from testing.soak import event_loop

# It has to come before the other modules, of which some make sockets green.
assert event_loop
