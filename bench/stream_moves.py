"""Measures the pause of a move, and the CPU time of the watch of streams.

    PYTHONPATH=src python bench/stream_moves.py [--moves N]

One control process, one entry and two stand-in engines in this process, over
real sockets. Each engine generates an event every 20 ms; the one that runs the
stream leaves. The pause is the time between two events at the entry, so it
contains the 20 ms of an ordinary gap. CPU times include the stand-ins.
"""

import pathlib
import statistics
import sys
import time
from typing import Any

import eventlet
import fire
from loguru import logger

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "testing"))

from fakes import moving_engine
from fakes import platform_system
from mintcleat.decisions import stream_moves
from mintcleat.domain import events

COUNT = 50
GAP_SECONDS = 0.02
# Times of the copy of a whole run and of its rest, in seconds.
COPIES = ((0.03, 0.0), (0.03, 0.005), (0.2, 0.02))
WATCHED = 100
CHECKS = 2000


def configuration() -> dict[str, Any]:
    """Returns a configuration with one route to engines with moves."""
    fields = platform_system.configuration(
        1,
        platform_system.route("once", "stream", service="lm", timeoutMs=8000),
    )
    fields["services"][1]["engine"].update(
        moves=True, kvTokenBytes=1000, linkMbps=100, handle_s=5.0
    )
    return fields


class Rig:
    """A system with two engines; the first to run a stream leaves."""

    def __init__(self, copy: float, rest: float) -> None:
        self.system = platform_system.System({"stream_moves": "on"})
        self.system.put(configuration())
        self.group = moving_engine.Group()
        self.group.copy_seconds = copy
        self.group.rest_seconds = rest
        self.engines = []
        for name in ("e1", "e2"):
            engine = moving_engine.Engine(name, self.group, COUNT, GAP_SECONDS)
            engine.slots = 2 * WATCHED
            self.system.engines.append(engine)
            self.engines.append(engine)
            self.system.heartbeat(engine, "lm")
        self.system.settle()

    def begin(self, request: str) -> Any:
        """Sends a request; returns its green thread."""
        return eventlet.spawn(
            self.system.call,
            "POST",
            "/once/a",
            b"in",
            request,
            X_Deadline_Milliseconds="8000",
            X_Token_Counts=f"100,{3 * COUNT}",
        )

    def pause(self) -> float:
        """Moves one stream; returns its pause in seconds."""
        call = self.begin("r1")
        while not any(engine.runs for engine in self.engines):
            eventlet.sleep(0.005)
        source = next(engine for engine in self.engines if engine.runs)
        while source.runs["r1"].made < 5:
            eventlet.sleep(0.002)
        self.system.heartbeat(source, "lm", "draining")
        answer = call.wait()
        numbers = [number for _, number, _ in self.group.generated]
        if not answer.whole or numbers != list(range(1, COUNT + 1)):
            raise RuntimeError("The stream was not complete.")
        (event,) = self.system.reporter.of(events.StreamContinued)
        if event.result != "moved":
            raise RuntimeError(f"The stream did not move: {event}.")
        return event.pause_s


def check_seconds() -> float:
    """Returns the CPU time of a check of `WATCHED` movable streams."""
    rig = Rig(0.03, 0.005)
    try:
        calls = [rig.begin(f"r{number}") for number in range(WATCHED)]
        watch = rig.system.entry.gateway.context.streams
        while len(watch.streams) < WATCHED:
            eventlet.sleep(0.005)
        eventlet.sleep(5 * GAP_SECONDS)
        streams = list(watch.streams)
        began = time.process_time()
        for _ in range(CHECKS):
            movable = []
            now = watch.timers.now()
            for stream in streams:
                if stream.may_move:
                    movable.append(stream)
            watch._check_moves(movable, now)
        seconds = (time.process_time() - began) / CHECKS
        for call in calls:
            call.kill()
        return seconds
    finally:
        rig.system.stop()


def main(moves: int = 20) -> None:
    """Prints the pauses and the CPU time."""
    logger.remove()
    stream_moves.LEAVING_SECONDS = 0.2
    for copy, rest in COPIES:
        pauses = []
        for _ in range(moves):
            rig = Rig(copy, rest)
            try:
                pauses.append(1000.0 * rig.pause())
            finally:
                rig.system.stop()
        pauses.sort()
        print(
            f"copy {1000 * copy:.0f} ms, rest {1000 * rest:.0f} ms: pause "
            f"median {statistics.median(pauses):.1f}, least {pauses[0]:.1f}, "
            f"most {pauses[-1]:.1f} ms ({moves} moves)"
        )
    seconds = check_seconds()
    print(
        f"check of {WATCHED} streams: {1e6 * seconds:.0f} us, "
        f"{100 * seconds / 0.05:.2f}% of a core"
    )


if __name__ == "__main__":
    fire.Fire(main)
