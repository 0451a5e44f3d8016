"""Which request crashes upstreams, found without refusing innocent ones.

Made for a request that crashes each upstream that runs it while its caller
sends it again: without quarantine it takes the whole fleet down, one
upstream per resend.
"""

from typing import NamedTuple

# Crashes of different upstreams with the request as the only suspect there.
# One may be chance (46 instances fail on an ordinary day at the planned
# size); the same lone suspect at two is no longer likely to be.
SOLE_CRASHES = 2


class Suspicion(NamedTuple):
    """What is held against a digest.

    Attributes:
        sole: Upstreams that crashed with this as the only suspect.
        since: When it last was in flight at a crash.
    """

    sole: frozenset[str]
    since: float


class Register:
    """Suspect and quarantined digests; deterministic, so it may be replicated.

    Attributes:
        expiry: Seconds after which a suspicion or quarantine lapses.
    """

    def __init__(self, expiry: float = 3600.0) -> None:
        self.expiry = expiry
        self.suspects: dict[bytes, Suspicion] = {}
        self.quarantined: dict[bytes, float] = {}

    def crashed(
        self, upstream: str, in_flight: list[bytes], now: float
    ) -> list[bytes]:
        """Counts a crash; returns the digests that it put in quarantine."""
        before = [item for item in in_flight if self.is_suspect(item, now)]
        blamed = before or in_flight
        sole = blamed[0] if len(set(blamed)) == 1 else None
        caught = []
        for digest in sorted(set(in_flight)):
            known = self.suspects.get(digest)
            crashes = known.sole if known else frozenset()
            if digest == sole:
                crashes |= {upstream}
            self.suspects[digest] = Suspicion(crashes, now)
            if len(crashes) >= SOLE_CRASHES:
                self.quarantined[digest] = now
                caught.append(digest)
        return caught

    def succeeded(self, digest: bytes) -> None:
        """Clears a digest that ran to its end without a crash."""
        self.suspects.pop(digest, None)

    def is_suspect(self, digest: bytes, now: float) -> bool:
        """Tells whether it may run only where no other suspect runs.

        Running suspects apart tells the guilty from those that stood beside
        it: an innocent one ends well there and is cleared.
        """
        known = self.suspects.get(digest)
        if known is None:
            return False
        if now - known.since >= self.expiry:
            del self.suspects[digest]
            return False
        return True

    def is_quarantined(self, digest: bytes, now: float) -> bool:
        """Tells whether the digest must be refused."""
        since = self.quarantined.get(digest)
        if since is None:
            return False
        if now - since >= self.expiry:
            self.release(digest)
            return False
        return True

    def expire(self, now: float) -> None:
        """Forgets what has lapsed; call it now and then."""
        for digest in list(self.suspects):
            self.is_suspect(digest, now)
        for digest in list(self.quarantined):
            self.is_quarantined(digest, now)

    def release(self, digest: bytes) -> bool:
        """Frees a digest on an operator's word; tells whether it was held."""
        self.suspects.pop(digest, None)
        return self.quarantined.pop(digest, None) is not None
