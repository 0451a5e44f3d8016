"""Turns of long conversations, at processes of the product with little memory.

    python -m testing.long_conversations KIND
    python -m testing.long_conversations branches TURNS LINES

Starts three control instances, three entries and stand-in engines on loopback
addresses, plays one kind of load, and prints what was seen as JSON; see
`conversation_system`.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import json
import pathlib
import signal
import sys
import tempfile
import time

from testing import conversation_system
from testing import crowd
from testing.conversation_system import System
from testing.soak import processes

# `maxBodyBytes` is 4 MiB.
_LARGE_INPUT_BYTES = 4_000_000
# Time limit of turns at slow engines. A machine without free processors reads
# more slowly still; turns that are late there, and sent again, would leave it
# no time at all.
_SLOW_REQUEST_SECONDS = 30.0
# Turns at slow engines at the same time, and how many follow one another.
SLOW_LINES = 21
_SLOW_TURNS = 5
# Time between the first turns of two lines.
_SLOW_PAUSE_SECONDS = 0.15
# Time for which a process stands still.
_STILL_SECONDS = 2.5


async def _branches(system: System, turns: int = 9, lines: int = 10) -> None:
    """Ten turns at once go on from a conversation of 9 MB, three times."""
    last = await system.conversation("p", turns)
    for _ in range(3):
        await system.branch("p", last, lines)
        await asyncio.sleep(1.0)


async def _conversations(system: System) -> None:
    """Turns of four conversations of 4 MB each follow one another."""
    names = [f"p{number}" for number in range(4)]
    lasts = [await system.conversation(name, 4) for name in names]
    for _ in range(4):
        await asyncio.gather(
            *(
                system.branch(name, last, 3)
                for name, last in zip(names, lasts, strict=True)
            )
        )


async def _first_turns(system: System) -> None:
    """Five programs begin with a turn of 4 MB each at once, each once."""
    await asyncio.gather(
        *(
            system.turn(
                f"p{number}",
                conversation_system.BEGINNING,
                _LARGE_INPUT_BYTES,
                number,
            )
            for number in range(5)
        )
    )


async def _slow_engines(system: System) -> None:
    """Engines read slowly as turns continue a conversation of 12 MB."""
    last = await system.conversation("p", 12)
    for engine in system.engines:
        engine.is_slow = True

    async def line(number: int) -> None:
        await asyncio.sleep(number * _SLOW_PAUSE_SECONDS)
        for _ in range(_SLOW_TURNS):
            await system.turn("p", last, 40, number)

    await asyncio.gather(*(line(number) for number in range(SLOW_LINES)))


async def _entry_stands_still(system: System) -> None:
    """An entry stands still as it gets a conversation of 9 MB."""
    last = await system.conversation("p", 9)
    system.disturbed.add(0)
    entry = system.fleet.entries[0]
    entry.kill()
    entry.start()
    await crowd.until(lambda: system.is_served(0))
    turns = [
        asyncio.create_task(system.turn("p", last, 40, 0)) for _ in range(5)
    ]
    await asyncio.sleep(0.05)
    await _stand_still(entry, system.branch("p", last, 10))
    await asyncio.gather(*turns)


async def _control_stands_still(system: System) -> None:
    """Control instances stand still, in turn, as turns of 2 MB go on."""
    last = await system.conversation("p", 9)
    for node in system.fleet.controls:
        turns = [
            asyncio.create_task(
                system.turn("p", last, 2 * conversation_system.INPUT_BYTES, n)
            )
            for n in range(3)
        ]
        await asyncio.sleep(0.1)
        await _stand_still(node, system.branch("p", last, 10))
        await asyncio.gather(*turns)


async def _stand_still(node: processes.Node, beside: Awaitable[None]) -> None:
    """Has a process stand still; returns when it goes on and work has ended."""
    node.signal(signal.SIGSTOP)
    working = asyncio.ensure_future(beside)
    await asyncio.sleep(_STILL_SECONDS)
    node.signal(signal.SIGCONT)
    await working


KINDS: dict[str, Callable[[System], Awaitable[None]]] = {
    "branches": _branches,
    "conversations": _conversations,
    "first_turns": _first_turns,
    "slow_engines": _slow_engines,
    "entry_stands_still": _entry_stands_still,
    "control_stands_still": _control_stands_still,
}
# Those in which turns fail that meet the process that stands still.
WITH_FAILURES = ("entry_stands_still", "control_stands_still")
# Time limits of turns that aren't the usual one.
_SECONDS = {"slow_engines": _SLOW_REQUEST_SECONDS}


async def run(
    play: Callable[[System], Awaitable[None]],
    folder: pathlib.Path,
    seconds: float = conversation_system.REQUEST_SECONDS,
) -> conversation_system.Found:
    """Plays one kind of load, with a time limit; returns what was seen."""
    system = System(folder, seconds)
    tasks = []
    try:
        await system.start()
        tasks.append(asyncio.create_task(system.platform.run()))
        tasks.append(asyncio.create_task(system.ask_small_forever()))
        await play(system)
        return system.found()
    finally:
        for task in tasks:
            task.cancel()
        await system.fleet.stop()


def main() -> None:
    """Plays the kind of load that the command line names."""
    kind, *sizes = sys.argv[1:]
    play = KINDS[kind]
    if sizes:
        turns, lines = map(int, sizes)
        play = functools.partial(_branches, turns=turns, lines=lines)
    with tempfile.TemporaryDirectory(prefix="conversations-") as name:
        began = time.monotonic()
        seconds = _SECONDS.get(kind, conversation_system.REQUEST_SECONDS)
        found = asyncio.run(run(play, pathlib.Path(name), seconds))
    took = round(time.monotonic() - began, 1)
    print(json.dumps(found._asdict() | {"seconds": took}))


if __name__ == "__main__":
    main()
