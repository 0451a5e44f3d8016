"""A soak of long conversations: faults drawn from a seed, little memory.

    python -m testing.conversation_soak [--seed N] [--seconds N]

Callers hold conversations of up to some megabytes and branch off them, over
connections that stay in use until their entry is gone, while processes are
killed, stopped, suspended and told to read their settings, configurations
follow one another and engines turn slow. Prints what was seen as JSON; exits
with 1 if a rule was broken.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from testing import conversation_system
from testing.soak import client
from testing.soak import operators
from testing.soak import processes

# Bytes that all inputs together may have: control keeps 0.16 of its memory.
_KEPT_BYTES = 16_000_000
_SIZES = (40, 60_000, 70_000, 1_000_000, 2_000_000)
_CALLERS = 2
_LINES = (1, 4, 10)
_PAUSES = (0.05, 0.2, 0.5)
# Pause between two faults, and how long a fault lasts.
_FAULT_PAUSES = (0.3, 0.8, 1.5)
_FAULT_SECONDS = (0.2, 0.8, 2.5)
# Time in which a conversation must go on once the faults have ended.
_CALM_SECONDS = 20.0
_TIMEOUT_MS = 5000


class Soak:
    """One run.

    Attributes:
        turns: Finished turns by program, the newest last.
        left: Bytes that inputs may still have.
        version: Version of the configuration that was pushed last.
    """

    def __init__(
        self, system: conversation_system.System, seed: int, seconds: float
    ) -> None:
        self.system = system
        self.random = random.Random(seed)
        self.until = time.monotonic() + seconds
        self.turns: dict[str, list[conversation_system.Turn]] = {}
        self.left = _KEPT_BYTES
        self.version = 1
        self.faults: list[str] = []
        system.connections = client.Connections(self.random)

    def is_over(self) -> bool:
        """Returns whether no more faults begin."""
        return time.monotonic() >= self.until

    async def call_forever(self, program: str) -> None:
        """Holds one conversation, and branches off its turns."""
        self.turns[program] = []
        while not self.is_over():
            turns = self.turns[program] or [conversation_system.BEGINNING]
            previous = turns[-1]
            if self.random.random() < 0.2:
                previous = self.random.choice(turns)
            # One line adds much; those beside it make the conversation wide.
            lines = self.random.choice(_LINES) - 1
            found = await asyncio.gather(
                *(self._turn(program, previous, (40,)) for _ in range(lines)),
                self._turn(program, previous, _SIZES),
            )
            self.turns[program] += [turn for turn in found if turn]
            await asyncio.sleep(self.random.choice(_PAUSES))

    async def _turn(
        self,
        program: str,
        previous: conversation_system.Turn,
        sizes: Sequence[int],
    ) -> conversation_system.Turn | None:
        size = min(self.random.choice(sizes), max(40, self.left))
        self.left -= size
        entry = self.random.randrange(len(self.system.fleet.entries))
        return await self.system.turn(program, previous, size, entry)

    async def fault_forever(self) -> None:
        """Begins one fault after another; they may overlap."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill, self._stop, self._suspend, self._suspend, self._reload,
            self._push, self._slow,
        ]  # fmt: skip
        running = set()
        while not self.is_over():
            kind = self.random.choice(kinds)
            self.faults.append(kind.__name__.strip("_"))
            running.add(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.choice(_FAULT_PAUSES))
        await asyncio.gather(*running)

    def _node(self) -> processes.Node:
        """Returns an entry, or the one control that may be disturbed."""
        fleet = self.system.fleet
        return self.random.choice([*fleet.entries, fleet.controls[0]])

    async def _kill(self) -> None:
        node = self._node()
        node.kill()
        await asyncio.sleep(self.random.choice(_FAULT_SECONDS))
        node.start()

    async def _stop(self) -> None:
        node = self._node()
        await node.stop()
        node.start()

    async def _suspend(self) -> None:
        node = self._node()
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.choice(_FAULT_SECONDS))
        node.signal(signal.SIGCONT)

    async def _reload(self) -> None:
        self._node().signal(signal.SIGHUP)

    async def _push(self) -> None:
        self.version += 1
        made = operators.configuration(self.version, timeout_ms=_TIMEOUT_MS)
        made["limits"]["maxBodyBytes"] = 4 * 1024 * 1024
        body = json.dumps(made).encode()
        for control in self.system.controls:
            answer = await control.ask(
                "POST", "/v1/Configuration.Put", {}, body
            )
            if answer.status == 200:
                return

    async def _slow(self) -> None:
        engine = self.random.choice(self.system.engines)
        engine.is_slow = True
        await asyncio.sleep(self.random.choice(_FAULT_SECONDS))
        engine.is_slow = False

    async def lost(self) -> list[str]:
        """Returns the conversations that don't go on after the faults."""
        found = []
        for program, turns in self.turns.items():
            until = time.monotonic() + _CALM_SECONDS
            while turns and time.monotonic() < until:
                if await self.system.turn(program, turns[-1], 40, 0):
                    break
            else:
                if turns:
                    found.append(f"{program} does not go on")
        return found


async def run(seed: int, seconds: float, folder: pathlib.Path) -> dict:
    """Plays one seed; returns what was seen."""
    system = conversation_system.System(folder)
    tasks = []
    try:
        await system.start()
        tasks.append(asyncio.create_task(system.platform.run()))
        soak = Soak(system, seed, seconds)
        callers = [soak.call_forever(f"p{n}") for n in range(_CALLERS)]
        await asyncio.gather(soak.fault_forever(), *callers)
        lost = await soak.lost()
        return {
            "seed": seed,
            "broken": conversation_system.broken_rules(system) + lost,
            "peaks": system.found().peaks,
            "asked": system.asked,
            "served": system.served,
            "statuses": system.statuses,
            "faults": {
                name: soak.faults.count(name) for name in set(soak.faults)
            },
        }
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(OSError):
            system.connections.close()
        await system.fleet.stop()


def main() -> None:
    """Plays the seed that the command line names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--keep", default="")
    arguments = parser.parse_args()
    with contextlib.ExitStack() as stack:
        name = arguments.keep or stack.enter_context(
            tempfile.TemporaryDirectory(prefix="conversations-")
        )
        folder = pathlib.Path(name)
        folder.mkdir(exist_ok=True)
        found = asyncio.run(run(arguments.seed, arguments.seconds, folder))
    print(json.dumps(found))
    sys.exit(bool(found["broken"]))


if __name__ == "__main__":
    main()
