"""The configuration lease: until when a node may act on its revision."""

from typing import NamedTuple

# Lease that the config leader grants. After it accepts a push, a node that
# did not apply it is out of lease within this time, so the push is in force
# everywhere in under 5 s, the goal of the users' plan.
MAX_LEASE = 4.0
# Between two renewals of a node. Three may be lost before the lease is.
RENEW = 1.0
# Control instances renew more often, so that nodes behind them get leases of
# at least MAX_LEASE - RELAY_RENEW and still survive two lost renewals.
RELAY_RENEW = 0.5
# A node that got no renewal for so long asks another control instance. Two
# seconds of lease are left then to find one.
MOVE_AFTER = 2.0
# A node that knows no configuration serves nobody, so it waits less for an
# instance that has none to give: after all processes ended together, one
# that lost its disk has nothing for about a second, while another leads. After
# some tries it waits as others do, so that a configuration that takes long to
# arrive does arrive, and so that a long loss of the quorum costs no hopping.
SHORT_WAIT = 0.15
SHORT_TRIES = 9
# A sidecar's announcement is dropped when it is not renewed for so long.
MEMBER_LEASE = 4.0


class Times(NamedTuple):
    """The times above as one deployment uses them, in seconds.

    Attributes:
        key_grace: For so long after its lease a node goes on taking
            customers' keys. A key that was taken away stops everywhere within
            `max_lease + key_grace` of the accepted push, cut off or not; a
            node without control serves customers for about as long.

    Shorter ones bring a change into force sooner after a loss and cost more
    renewals: the bytes of a quiet node grow with 1 / `renew`.
    """

    max_lease: float = MAX_LEASE
    renew: float = RENEW
    relay_renew: float = RELAY_RENEW
    move_after: float = MOVE_AFTER
    member_lease: float = MEMBER_LEASE
    key_grace: float = 0.0


DEFAULT = Times()


class Lease:
    """A lease as its holder keeps it, on the holder's own clock.

    It counts from when the holder sent the request that the grant echoes.
    Counted from the arrival of the grant, a grant that was delayed on the
    way would let a cut-off node act after the granter gave it up.

    Attributes:
        echo: Newest request that was granted.
        expires: Clock at which the lease ends.
    """

    def __init__(self) -> None:
        self.echo = float("-inf")
        self.expires = float("-inf")

    def renew(self, echo: float, seconds: float) -> None:
        """Takes a grant; a grant of 0 seconds promises nothing."""
        if seconds <= 0:
            return
        self.echo = max(self.echo, echo)
        self.expires = max(self.expires, echo + seconds)

    def left(self, now: float, grace: float = 0.0) -> float:
        """Returns the seconds left until `grace` after its end, or 0."""
        return max(0.0, self.expires + grace - now)


def silence_timeout(revision: int, attempt: int, move_after: float) -> float:
    """Returns the seconds for which a node waits for an instance's word.

    Args:
        revision: What the node has applied; 0 for nothing.
        attempt: Instances tried since the last one that renewed its lease.
        move_after: Seconds after which a node that can serve moves on.
    """
    if revision or attempt >= SHORT_TRIES:
        return move_after
    return min(move_after, SHORT_WAIT)
