"""Shares the event loop between answers that arrive at full speed and the rest.

An upstream that sends faster than its events can be parsed always has more to
read. A few dozen of them would take the event loop for seconds in each of its
turns, so that the process refuses all other requests and loses its leases.
"""

from collections.abc import Iterator

from mintcleat.ports import timers as timer_ports

# Size up to which received bytes are handled at once. Ordinary events of many
# tokens that arrive together are smaller.
PART_BYTES = 4 * 1024
# Part of the event loop's time for answers that arrive in larger parts, all
# together.
_LOOP_FRACTION = 0.5
# Longer work on one part is a pause of the process.
_MAX_WORK_SECONDS = 0.02


class FairTurns:
    """Delays the next parts of large answers.

    Attributes:
        free_at: Monotonic time up to which their work fills their part of the
            time.
    """

    def __init__(self, timers: timer_ports.Timers) -> None:
        self.timers = timers
        self.free_at = 0.0

    def worked(self, seconds: float) -> None:
        """Waits after the work on one part, before that on the next one.

        Args:
            seconds: Time that the work took.
        """
        now = self.timers.now()
        work = min(seconds, _MAX_WORK_SECONDS)
        self.free_at = max(now, self.free_at) + work / _LOOP_FRACTION
        self.timers.sleep(self.free_at - now)


def parts(data: bytes) -> Iterator[bytes]:
    """Yields received bytes in parts that are handled at once."""
    if len(data) <= PART_BYTES:
        yield data
        return
    for start in range(0, len(data), PART_BYTES):
        yield data[start : start + PART_BYTES]
