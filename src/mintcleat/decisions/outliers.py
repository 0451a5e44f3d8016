"""Ejection of slow or failing upstreams, and probes to bring them back.

Handles an upstream that is ten times slower than its peers, and one that fails
every call immediately and therefore always looks idle. Without ejection, every
turn of a program at the former is late, and the latter attracts all new calls.
"""

from typing import NamedTuple

# An upstream whose latency exceeds the median by this factor is slow. Load
# alone doesn't cause such a difference.
SLOW_FACTOR = 4.0
# Fraction of failed calls above which an upstream is ejected, and the number of
# calls needed before the fraction counts.
FAILURE_SHARE = 0.5
MIN_CALLS = 4
# Maximum fraction of ejected upstreams. If more look bad, they have a common
# cause (overload, a bad deployment), and ejecting them would overload the rest.
MAX_EJECTED = 0.25
# Duration of the first ejection; it doubles with each consecutive one, up to
# the maximum.
EJECT_SECONDS = 5.0
MAX_EJECT_SECONDS = 120.0
# Weight of a new sample in the moving average of failed calls.
_GAIN = 1 / 4


class Record(NamedTuple):
    """Health of one upstream.

    Attributes:
        failures: Moving average of failed calls, from 0 to 1.
        samples: Number of calls in that average.
        slow: Whether it was slower than `SLOW_FACTOR` allows.
        ejected_until: End of the ejection; 0 when not ejected.
        ejections: Consecutive ejections.
        probe_started_at: When the pending probe was sent; 0 for none.
    """

    failures: float = 0.0
    samples: int = 0
    slow: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    probe_started_at: float = 0.0


_NEW_RECORD = Record()
# A probe without a result after this time counts as lost.
PROBE_TIMEOUT_SECONDS = 30.0


class Outliers:
    """The ejected upstreams of one service.

    Attributes:
        records: Health by upstream.
        ejected: Names of the ejected upstreams.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.ejected: set[str] = set()

    def report_slowness(
        self, name: str, slowness: float, total: int, now: float
    ) -> None:
        """Records an upstream's latency as a multiple of the median.

        Args:
            name: The upstream.
            slowness: Its latency divided by the median.
            total: Number of upstreams among which it may be ejected.
            now: The current time.
        """
        record = self.records.get(name, _NEW_RECORD)
        record = record._replace(slow=slowness > SLOW_FACTOR)
        self.records[name] = record
        if record.slow:
            self._eject(name, total, now)

    def answered(self, name: str, ok: bool, total: int, now: float) -> None:
        """Records the result of a call; a successful probe ends an ejection.

        Args:
            name: The upstream.
            ok: Whether the call succeeded.
            total: Number of upstreams among which it may be ejected.
            now: The current time.
        """
        record = self.records.get(name, _NEW_RECORD)
        failures = record.failures + (float(not ok) - record.failures) * _GAIN
        record = record._replace(failures=failures, samples=record.samples + 1)
        self.records[name] = record
        if name in self.ejected:
            self._end_probe(name, ok, now)
        elif failures > FAILURE_SHARE and record.samples >= MIN_CALLS:
            self._eject(name, total, now)

    def allows(self, name: str) -> bool:
        """Returns whether the upstream is not ejected."""
        return name not in self.ejected

    def probe_due(self, now: float) -> str | None:
        """Returns an ejected upstream to probe with one call, or None."""
        for name in sorted(self.ejected):
            record = self.records[name]
            timed_out = now - record.probe_started_at >= PROBE_TIMEOUT_SECONDS
            if now >= record.ejected_until and (
                not record.probe_started_at or timed_out
            ):
                return name
        return None

    def probe_sent(self, name: str, now: float) -> None:
        """Records that a call was sent to probe the upstream."""
        self.records[name] = self.records[name]._replace(probe_started_at=now)

    def forget(self, name: str) -> None:
        """Drops an upstream that no longer exists."""
        self.records.pop(name, None)
        self.ejected.discard(name)

    def _eject(self, name: str, total: int, now: float) -> None:
        max_ejected = max(1, int(total * MAX_EJECTED)) if total > 1 else 0
        if name in self.ejected or len(self.ejected) >= max_ejected:
            return
        record = self.records[name]
        self.ejected.add(name)
        self.records[name] = record._replace(
            ejected_until=now + _ejection_seconds(record.ejections),
            ejections=record.ejections + 1,
            probe_started_at=0.0,
        )

    def _end_probe(self, name: str, ok: bool, now: float) -> None:
        record = self.records[name]
        if not record.probe_started_at:
            return
        if ok and not record.slow:
            self.ejected.discard(name)
            self.records[name] = Record(ejections=max(0, record.ejections - 1))
            return
        self.records[name] = record._replace(
            ejected_until=now + _ejection_seconds(record.ejections),
            ejections=record.ejections + 1,
            probe_started_at=0.0,
        )


def _ejection_seconds(ejections: int) -> float:
    return min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2.0 ** min(ejections, 10))
