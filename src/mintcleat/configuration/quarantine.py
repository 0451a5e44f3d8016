"""Quarantine of requests that crash the upstreams which run them.

A request that was in flight during a crash becomes a suspect. Sidecars run no
two suspects on one upstream at a time, so the next crash singles out the
request that caused it.
"""

from typing import Any
from typing import NamedTuple

# Number of upstreams that a request must crash before it is quarantined. A
# single crash may have another cause, such as an upstream that was failing
# anyway; two crashes hardly have.
CRASHES_TO_QUARANTINE = 2
# Bounds the list that is sent to every node; the oldest are dropped first.
ENTRIES_KEPT = 1_000
# Ids of crashes remembered to recognise repeated reports.
CRASHES_KEPT = 1_000


class Entry(NamedTuple):
    """A suspect or quarantined request.

    Attributes:
        digest: Digest of the request.
        upstreams: Upstreams whose crash is attributed to the request.
        expires_at: Wall clock at which the entry expires, in seconds since
            1970.
        first_upstream: Upstream whose crash made the request a suspect.
    """

    digest: bytes
    upstreams: list[str]
    expires_at: float
    first_upstream: str = ""

    @property
    def quarantined(self) -> bool:
        """Whether every node refuses the request."""
        return len(self.upstreams) >= CRASHES_TO_QUARANTINE


class Registry:
    """Suspects and quarantined requests by digest.

    Attributes:
        entries: Suspects and quarantined requests, least recently seen
            first.
        crashes: Time of each crash that was counted, by id, so that a report
            that is sent again counts once.
    """

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.crashes: dict[str, float] = {}

    def record_crash(
        self,
        crash: str,
        upstream: str,
        digests: list[bytes],
        seconds: float,
        at: float,
    ) -> list[bytes]:
        """Records a crash, once per id.

        Args:
            crash: Id of the crash.
            upstream: Upstream that crashed.
            digests: Digests of the requests that were in flight.
            seconds: Time that the requests stay listed.
            at: Wall clock of the report, in seconds since 1970.

        Returns:
            The digests that this crash put into quarantine.
        """
        self.expire(at)
        if crash in self.crashes:
            return []
        self.crashes[crash] = at
        _trim(self.crashes, CRASHES_KEPT)
        culprit = self._only_suspect(digests)
        new = []
        for digest in digests:
            unknown = Entry(digest, [], 0.0, upstream)
            entry = self.entries.pop(digest, unknown)
            was_quarantined = entry.quarantined
            if digest == culprit:
                entry = _attribute_crash(entry, upstream)
            self.entries[digest] = entry._replace(expires_at=at + seconds)
            if not was_quarantined and entry.quarantined:
                new.append(digest)
        _trim(self.entries, ENTRIES_KEPT)
        return new

    def release(self, digest: bytes) -> bool:
        """Removes a request; returns whether it was listed."""
        return self.entries.pop(digest, None) is not None

    def expire(self, at: float) -> None:
        """Removes the entries that expired at or before `at`."""
        for digest, entry in list(self.entries.items()):
            if entry.expires_at <= at:
                del self.entries[digest]

    def quarantined(self) -> list[bytes]:
        """Returns the digests that every node refuses."""
        return [key for key, e in self.entries.items() if e.quarantined]

    def suspects(self) -> list[bytes]:
        """Returns the digests of suspects that aren't quarantined."""
        return [key for key, e in self.entries.items() if not e.quarantined]

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        return [[list(e) for e in self.entries.values()], self.crashes]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        entries = [Entry(*item) for item in state[0]]
        self.entries = {entry.digest: entry for entry in entries}
        self.crashes = state[1]

    def _only_suspect(self, digests: list[bytes]) -> bytes | None:
        """Returns the only request that can have caused a crash, if any.

        If requests in flight were suspects before the crash, only these can
        have caused it.
        """
        known = [digest for digest in digests if digest in self.entries]
        candidates = known or digests
        return candidates[0] if len(candidates) == 1 else None


def _attribute_crash(entry: Entry, upstream: str) -> Entry:
    """Counts a crash that only this request can have caused.

    The crash that made it a suspect is attributed to it as well. Otherwise a
    request would crash three upstreams, not two, before its quarantine.
    """
    upstreams = list(entry.upstreams)
    for one in (entry.first_upstream, upstream):
        if one and one not in upstreams:
            upstreams.append(one)
    return entry._replace(upstreams=upstreams)


def _trim(items: dict[Any, Any], limit: int) -> None:
    while len(items) > limit:
        del items[next(iter(items))]
