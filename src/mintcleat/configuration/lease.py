"""The configuration lease: until when a node may act on its revision.

All times are in seconds.
"""

from typing import NamedTuple

# Longest lease that the config leader grants. Within this time of an accepted
# push, every node has applied it or is out of lease, so the push is in force
# everywhere in under 5 s, as required.
MAX_LEASE_SECONDS = 4.0
# Interval of a node's renewals. Three may be lost before the lease expires.
RENEW_SECONDS = 1.0
# Interval of a control instance's renewals. It is shorter, so that the nodes
# connected to it get leases of at least MAX_LEASE_SECONDS -
# RELAY_RENEW_SECONDS, which survive two lost renewals.
RELAY_RENEW_SECONDS = 0.5
# Silence after which a node turns to another control instance. Half of its
# lease is then left to find one.
MOVE_AFTER_SECONDS = 2.0
# The same for a node without a configuration, which can't serve anybody. After
# a restart of all processes, a control instance that lost its disk has no
# configuration to give for about a second, while another one already leads.
UNCONFIGURED_MOVE_AFTER_SECONDS = 0.15
# Control instances that such a node tries before it waits for
# MOVE_AFTER_SECONDS as well. A configuration that takes long to transfer then
# has time to arrive, and nodes don't reconnect all the time while the quorum is
# lost.
UNCONFIGURED_ATTEMPTS = 9
# Lease of a sidecar's announcement.
MEMBER_LEASE_SECONDS = 4.0


class Times(NamedTuple):
    """The times above as one deployment sets them, in seconds.

    With shorter times, a change is in force sooner after a failure. They cost
    traffic: the bytes sent by an idle node are proportional to 1 / `renew`.

    Attributes:
        key_grace: Time after the end of its lease during which a node still
            accepts customers' keys. A removed key stops working everywhere
            within `max_lease + key_grace` of the accepted push, also at
            disconnected nodes; a node without control serves customers for
            about that long.
    """

    max_lease: float = MAX_LEASE_SECONDS
    renew: float = RENEW_SECONDS
    relay_renew: float = RELAY_RENEW_SECONDS
    move_after: float = MOVE_AFTER_SECONDS
    member_lease: float = MEMBER_LEASE_SECONDS
    key_grace: float = 0.0


DEFAULT = Times()


class Lease:
    """A lease as its holder sees it, by the holder's own clock.

    It runs from the time at which the holder sent the request that the grant
    echoes. If it ran from the arrival of the grant, a delayed grant would let
    a disconnected node act on its revision after the granter considers the
    lease expired.

    Attributes:
        echo: When the latest request that was granted was sent.
        expires: When the lease ends.
    """

    def __init__(self) -> None:
        self.echo = float("-inf")
        self.expires = float("-inf")

    def renew(self, echo: float, seconds: float) -> None:
        """Applies the grant of a request that was sent at `echo`.

        A grant of 0 seconds renews nothing.
        """
        if seconds <= 0:
            return
        self.echo = max(self.echo, echo)
        self.expires = max(self.expires, echo + seconds)

    def left(self, now: float, grace: float = 0.0) -> float:
        """Returns the seconds left of the lease.

        Args:
            now: The holder's clock.
            grace: Seconds added to the end of the lease.
        """
        return max(0.0, self.expires + grace - now)


def silence_timeout(revision: int, attempt: int, move_after: float) -> float:
    """Returns the silence after which a node turns to another instance.

    Args:
        revision: Revision that the node has applied; 0 for none.
        attempt: Instances tried since the last one that renewed its lease.
        move_after: Seconds of silence for a node that has a configuration.
    """
    if revision or attempt >= UNCONFIGURED_ATTEMPTS:
        return move_after
    return min(move_after, UNCONFIGURED_MOVE_AFTER_SECONDS)
