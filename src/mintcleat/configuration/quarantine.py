"""Requests that crash the upstreams which run them.

A request that was in flight at a crash becomes a suspect. Sidecars run a
suspect where no other suspect runs, so a later crash convicts one request.
"""

from typing import Any
from typing import NamedTuple

# One request may crash one upstream by chance (the upstream was dying); the
# same request alone under suspicion at two upstreams is no chance.
CRASHES_TO_QUARANTINE = 2
# Bounds the list that travels to every node; the oldest are dropped first.
ENTRIES_KEPT = 1_000
CRASHES_KEPT = 1_000


class Entry(NamedTuple):
    """A suspect or quarantined request.

    Attributes:
        upstreams: Upstreams that crashed with it as the only suspect.
        until: Wall clock at which the entry expires.
    """

    digest: bytes
    upstreams: list[str]
    until: float

    @property
    def quarantined(self) -> bool:
        """Whether the request is refused everywhere."""
        return len(self.upstreams) >= CRASHES_TO_QUARANTINE


class Registry:
    """Suspects and quarantined requests by digest.

    Attributes:
        crashes: Ids of crashes already counted, so that a sidecar that
            resends its report convicts nobody twice.
    """

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.crashes: dict[str, float] = {}

    def crash(
        self,
        crash: str,
        upstream: str,
        digests: list[bytes],
        seconds: float,
        at: float,
    ) -> list[bytes]:
        """Counts a crash once; returns the requests it quarantined."""
        self.expire(at)
        if crash in self.crashes:
            return []
        self.crashes[crash] = at
        _trim(self.crashes, CRASHES_KEPT)
        convicted = self._only_suspect(digests)
        new = []
        for digest in digests:
            entry = self.entries.pop(digest, Entry(digest, [], 0.0))
            was = entry.quarantined
            if digest == convicted and upstream not in entry.upstreams:
                entry = entry._replace(upstreams=[*entry.upstreams, upstream])
            self.entries[digest] = entry._replace(until=at + seconds)
            if not was and entry.quarantined:
                new.append(digest)
        _trim(self.entries, ENTRIES_KEPT)
        return new

    def release(self, digest: bytes) -> bool:
        """Forgets a request; tells whether it was listed."""
        return self.entries.pop(digest, None) is not None

    def expire(self, at: float) -> None:
        """Drops entries whose time is over."""
        for digest, entry in list(self.entries.items()):
            if entry.until <= at:
                del self.entries[digest]

    def quarantined(self) -> list[bytes]:
        """Returns the digests that are refused everywhere."""
        return [key for key, e in self.entries.items() if e.quarantined]

    def suspects(self) -> list[bytes]:
        """Returns the digests that run where no other suspect runs."""
        return [key for key, e in self.entries.items() if not e.quarantined]

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [[list(e) for e in self.entries.values()], self.crashes]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        entries = [Entry(*item) for item in state[0]]
        self.entries = {entry.digest: entry for entry in entries}
        self.crashes = state[1]

    def _only_suspect(self, digests: list[bytes]) -> bytes | None:
        """Returns the one that must have done it, if there is just one.

        Calls that merely stood beside an old suspect are not convicted.
        """
        known = [digest for digest in digests if digest in self.entries]
        candidates = known or digests
        return candidates[0] if len(candidates) == 1 else None


def _trim(items: dict[Any, Any], limit: int) -> None:
    while len(items) > limit:
        del items[next(iter(items))]
