"""Ejection of slow or failing upstreams, and their probing return.

Made for one upstream that answers, but ten times slower than its peers, or
that fails each call at once and so always looks idle. Left in, the one
swallows programs whose every turn is late, the other swallows all new calls.
"""

from typing import NamedTuple

# Slower than the median by this factor is no longer the spread of load.
SLOW_FACTOR = 4.0
# Share of recent calls that failed, and calls needed before it counts.
FAILING = 0.5
MIN_CALLS = 4
# At most this share is ejected: when many look bad, the cause is common to
# them (overload, a bad deployment), and the rest would only drown next.
MAX_EJECTED = 0.25
# An ejection ends after this many seconds, doubled each time up to the cap.
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 120.0
_GAIN = 1 / 4


class Record(NamedTuple):
    """What is known of one upstream.

    Attributes:
        failures: Moving share of failed calls.
        until: End of the ejection; 0 when not ejected.
        times: Ejections in a row.
        probing: Since when a probe is under way; 0 for none.
    """

    failures: float = 0.0
    samples: int = 0
    slow: bool = False
    until: float = 0.0
    times: int = 0
    probing: float = 0.0


_NEW = Record()
# A probe that has not come back by then counts as lost.
PROBE_TIMEOUT = 30.0


class Outliers:
    """Which upstreams of one service get no calls for now."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.ejected: set[str] = set()

    def compared(
        self, name: str, slowness: float, total: int, now: float
    ) -> None:
        """Takes an upstream's slowness relative to the median of `total`."""
        record = self.records.get(name, _NEW)
        record = record._replace(slow=slowness > SLOW_FACTOR)
        self.records[name] = record
        if record.slow:
            self._eject(name, total, now)

    def answered(self, name: str, ok: bool, total: int, now: float) -> None:
        """Counts the end of a call; a good probe brings the upstream back."""
        record = self.records.get(name, _NEW)
        failures = record.failures + (float(not ok) - record.failures) * _GAIN
        record = record._replace(failures=failures, samples=record.samples + 1)
        self.records[name] = record
        if name in self.ejected:
            self._judge_probe(name, ok, now)
        elif failures > FAILING and record.samples >= MIN_CALLS:
            self._eject(name, total, now)

    def allows(self, name: str) -> bool:
        """Tells whether the upstream gets calls as usual."""
        return name not in self.ejected

    def probe_due(self, now: float) -> str | None:
        """Returns an ejected upstream whose time is up, to try one call."""
        for name in sorted(self.ejected):
            record = self.records[name]
            idle = now - record.probing >= PROBE_TIMEOUT
            if now >= record.until and (not record.probing or idle):
                return name
        return None

    def probe(self, name: str, now: float) -> None:
        """Notes that a call was sent to try the upstream."""
        self.records[name] = self.records[name]._replace(probing=now)

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        self.records.pop(name, None)
        self.ejected.discard(name)

    def _eject(self, name: str, total: int, now: float) -> None:
        room = max(1, int(total * MAX_EJECTED)) if total > 1 else 0
        if name in self.ejected or len(self.ejected) >= room:
            return
        record = self.records[name]
        self.ejected.add(name)
        self.records[name] = record._replace(
            until=now + _term(record.times), times=record.times + 1, probing=0.0
        )

    def _judge_probe(self, name: str, ok: bool, now: float) -> None:
        record = self.records[name]
        if not record.probing:
            return
        if ok and not record.slow:
            self.ejected.discard(name)
            self.records[name] = Record(times=max(0, record.times - 1))
            return
        self.records[name] = record._replace(
            until=now + _term(record.times), times=record.times + 1, probing=0.0
        )


def _term(times: int) -> float:
    return min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2.0 ** min(times, 10))
