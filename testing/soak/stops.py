"""Signals, restarts and losses of processes, in series and overlapping."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import time

from testing.soak import checks as checks_module
from testing.soak import processes
from testing.soak import schedule

# Longer than every lease, and than the time within which a cut-off leader
# steps down.
_PAUSE_SECONDS = 4.0
# Time for which a settings file can't be read; a start waits that long.
_DAMAGED_SECONDS = 1.5
_SECOND_SIGNAL_SECONDS = 0.2
_DISKS_IN_SERIES = 2

UntilStarted = Callable[[processes.Node], Awaitable[None]]
UntilWhole = Callable[[], Awaitable[None]]


class Stops:
    """Applies the faults of the track `stops`.

    Args:
        until_started: Waits until a node that was started takes part again.
        until_whole: Waits until all controls are voters.
        on_replaced: Called with the address of a control that left and of the
            one that replaced it.
    """

    def __init__(
        self,
        fleet: processes.Fleet,
        checks: checks_module.Checks,
        *,
        until_started: UntilStarted,
        until_whole: UntilWhole,
        on_replaced: Callable[[str, str], None],
    ) -> None:
        self.fleet = fleet
        self.checks = checks
        self.until_started = until_started
        self.until_whole = until_whole
        self.on_replaced = on_replaced

    async def apply(self, fault: schedule.Fault) -> None:
        """Applies one fault."""
        generator = random.Random(fault.number)
        controls = self.fleet.controls
        node = controls[fault.number % len(controls)]
        leader = self.fleet.leader("config")
        match fault.kind:
            case "term_during_start":
                await self._term_during_start(leader, generator)
            case "term_controls_in_turn":
                await self._term_in_turn(list(controls))
            case "term_entries_in_turn":
                await self._term_in_turn(list(self.fleet.entries))
            case "term_twice":
                await self._term(leader, [signal.SIGTERM])
            case "hangup_during_stop":
                await self._term(node, [signal.SIGHUP] * 3)
            case "hangup_during_start":
                await self._hang_up(node, generator)
            case "kill_during_stop":
                await self._kill_during_stop(leader, generator)
            case "pause_leader_long":
                leader.signal(signal.SIGSTOP)
                await asyncio.sleep(_PAUSE_SECONDS)
                leader.signal(signal.SIGCONT)
            case "disks_in_series":
                await self._lose_disks(generator)
            case "damaged_settings":
                await self._damage_settings(node, generator)
            case "replaced_control":
                await self._replace(node)

    async def _term(
        self, node: processes.Node, more: list[signal.Signals]
    ) -> None:
        """Stops a node, with more signals meanwhile, and starts it again."""
        node.planned = True
        stopping = asyncio.create_task(node.stop())
        for number in more:
            await asyncio.sleep(_SECOND_SIGNAL_SECONDS)
            node.signal(number)
        self.checks.stopped(time.monotonic(), node.name, await stopping)
        node.planned = False
        node.start()
        await self.until_started(node)

    async def _term_in_turn(self, nodes: list[processes.Node]) -> None:
        """Stops nodes in turn; each starts while the next one stops."""
        async with asyncio.TaskGroup() as group:
            for node in nodes:
                node.planned = True
                code = await node.stop()
                self.checks.stopped(time.monotonic(), node.name, code)
                node.planned = False
                node.start()
                group.create_task(self.until_started(node))

    async def _term_during_start(
        self, leader: processes.Node, generator: random.Random
    ) -> None:
        other = next(one for one in self.fleet.controls if one is not leader)
        other.kill()
        other.start()
        await asyncio.sleep(generator.uniform(0.0, 1.0))
        await self._term(leader, [])
        await self.until_started(other)

    async def _hang_up(
        self, node: processes.Node, generator: random.Random
    ) -> None:
        node.kill()
        node.start()
        await node.until_handling(signal.SIGHUP)
        for _ in range(5):
            node.signal(signal.SIGHUP)
            await asyncio.sleep(generator.uniform(0.0, 0.2))
        await self.until_started(node)

    async def _kill_during_stop(
        self, node: processes.Node, generator: random.Random
    ) -> None:
        node.planned = True
        node.signal(signal.SIGTERM)
        await asyncio.sleep(generator.uniform(0.0, 1.0))
        node.kill()
        node.planned = False
        node.start()
        await self.until_started(node)

    async def _lose_disks(self, generator: random.Random) -> None:
        """Loses disks one after the other, each repaired before the next."""
        for node in generator.sample(self.fleet.controls, _DISKS_IN_SERIES):
            node.kill()
            node.wipe()
            await asyncio.sleep(generator.uniform(0.0, 1.0))
            node.start()
            await self.until_whole()

    async def _damage_settings(
        self, node: processes.Node, generator: random.Random
    ) -> None:
        """Damages all settings files, and starts a process with its own."""
        damage = generator.choice(("empty", "half", "bytes"))
        for one in self.fleet.running():
            one.damage_settings(damage)
        node.kill()
        node.start(writes_settings=False)
        await asyncio.sleep(_DAMAGED_SECONDS)
        for one in self.fleet.running():
            one.write_settings()
        await self.until_started(node)

    async def _replace(self, node: processes.Node) -> None:
        """Replaces a control's machine by a new one at another address."""
        new = self.fleet.replace(node)
        if new is None:
            return
        self.on_replaced(node.ip, new.ip)
        new.start()
        await self.until_whole()
