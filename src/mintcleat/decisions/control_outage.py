"""What an entry does while it hears nothing from control.

The load: an entry that is cut off from control, with callers before it whose
turns can't be recorded; the others go on. The harm: held for as long as an
election may take, each of these programs is late, though another entry would
have served it at once; and the balancer sends more, as the entry answers that
it is ready.

The same entry can't tell its own cut from the loss of all control. Then every
entry refuses soon, and the callers come back when told; they have tries for
some seconds. The first second and more of such a loss is within the lease.
"""

# A turn is recorded after a leader's loss within about a second.
ELECTION_SECONDS = 2.0
# Without a lease: a few round trips, for control that is back just now.
CUT_OFF_SECONDS = 0.3
# When a caller that was refused for it should come back, to another entry.
RETRY_SECONDS = 0.2


def hold_seconds(lease_left: float) -> float:
    """Returns for how long a request may wait for control to record it.

    Args:
        lease_left: Seconds left of the lease on the configuration.
    """
    return ELECTION_SECONDS if lease_left > 0 else CUT_OFF_SECONDS
