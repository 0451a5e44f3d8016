"""The model engine of `standins` with fault injection."""

from collections.abc import Iterator
import re
from typing import Any

import eventlet

from mintcleat.standins import batch
from mintcleat.standins import engine

_LENGTH = re.compile(rb', "total_characters": \d+')


class FaultyEngine(engine.Engine):
    """A model engine with fault injection.

    Attributes:
        crash_on: Text of a message that crashes the engine; empty for none.
        restart_after: Seconds from a crash to a restart; 0 for no restart.
        cuts: Number of streams still to interrupt, each after `cut_at` events.
        skips: Number of streams still to lose their second event.
        is_old: Whether it states no length of answers, and sends them from
            their first character when they are resumed.
        hidden: Programs whose cache events are lost.
        crashes: Number of crashes so far.
    """

    def __init__(
        self,
        options: engine.EngineOptions | None = None,
        listen: str = "127.0.0.1:0",
    ) -> None:
        self.crash_on = ""
        self.restart_after = 0.0
        self.cuts = 0
        self.cut_at = 2
        self.skips = 0
        self.is_old = False
        self.hidden: set[str] = set()
        self.crashes = 0
        super().__init__(listen, options)

    def submit(self, sequence: batch.Sequence) -> None:
        super().submit(sequence)
        if self.crash_on and self.crash_on in "".join(sequence.prompt):
            step = self.options.speed.token_time
            eventlet.spawn_after(3 * step, self.crash)

    def crash(self) -> None:
        """Loses all state and connections, as a crashed process would."""
        if self.batch.stopped:
            return
        self.crashes += 1
        self.stop()
        if self.restart_after:
            eventlet.spawn_after(self.restart_after, self.restart)

    def restart(self) -> None:
        """Starts again at the same address with an empty cache."""
        self.start_serving(self.address)

    def events(self, after: int, wait: float) -> dict[str, Any]:
        answer = super().events(after, wait)
        answer["events"] = [
            item
            for item in answer["events"]
            if item["program"] not in self.hidden
        ]
        return answer

    def _events(self, sequence: batch.Sequence, offset: int) -> Iterator[bytes]:
        cut = self.cuts > 0
        self.cuts -= cut
        skip = self.skips > 0
        self.skips -= skip
        if self.is_old:
            offset = 0
        for count, data in enumerate(super()._events(sequence, offset)):
            if cut and count >= self.cut_at:
                raise ConnectionAbortedError(
                    "The stream is interrupted by the test."
                )
            if not (skip and count == 1):
                yield _LENGTH.sub(b"", data) if self.is_old else data


def slow(token_time: float = 0.01, **speed: Any) -> engine.EngineOptions:
    """Returns options of an engine with a time of `token_time` per token."""
    return engine.EngineOptions(speed=batch.Speed(token_time, **speed))
