"""How long an entry holds requests while control can't record their turns.

An entry that is disconnected from control can't record the turns of its
callers, while other entries still can. If it held requests for as long as an
election may take, each of these programs would be late although another entry
would have served it immediately; and as the entry still reports that it is
ready, the load balancer would send it more.

An entry can't distinguish its own disconnection from an outage of all of
control. In an outage every entry refuses early, and callers retry after the
advised time, for some seconds. The first second or more of an outage is covered
by the lease, within which requests are held.
"""

# Seconds to hold a request while the lease is valid. After the loss of a
# leader, a turn is recorded within about one second.
ELECTION_SECONDS = 2.0
# Seconds to hold a request without a lease: a few round trips, in case control
# is just becoming available.
DISCONNECTED_SECONDS = 0.3
# Seconds after which a refused caller should retry, at another entry.
RETRY_SECONDS = 0.2


def hold_seconds(lease_left: float) -> float:
    """Returns the seconds that a request may wait for control to record it.

    Args:
        lease_left: Seconds left of the lease on the configuration.
    """
    return ELECTION_SECONDS if lease_left > 0 else DISCONNECTED_SECONDS
