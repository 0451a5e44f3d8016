"""What happens to several processes at once while streams go on."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal

from testing.soak import processes
from testing.soak import schedule

# Seconds by which the time of day of entries jumps.
_CLOCK_SECONDS = {"clocks_ahead": 600.0, "clocks_behind": -600.0}
# Time of an entry's stop after which it is killed: up to its grace.
_STOP_SECONDS = (0.0, 7.5)
_AGAIN_SECONDS = 0.3

UntilStarted = Callable[[processes.Node], Awaitable[None]]
UntilWhole = Callable[[], Awaitable[None]]


async def apply(
    fleet: processes.Fleet,
    fault: schedule.Fault,
    until_started: UntilStarted,
    until_whole: UntilWhole,
) -> None:
    """Applies one fault of the track `together`.

    Args:
        fleet: All processes.
        fault: The fault.
        until_started: Waits until a node that was started takes part again.
        until_whole: Waits until all controls are voters.
    """
    generator = random.Random(fault.number)
    match fault.kind:
        case "kill_entries":
            await _kill(fleet.entries, fault.seconds, until_started)
        case "kill_entries_twice":
            await _kill(fleet.entries, 0.0, until_started)
            await asyncio.sleep(_AGAIN_SECONDS)
            await _kill(fleet.entries, fault.seconds, until_started)
        case "kill_majority":
            count = len(fleet.controls) // 2 + 1
            chosen = generator.sample(fleet.controls, count)
            # As many disks as may be lost.
            await _kill(
                chosen, fault.seconds, until_started, chosen[: count - 1]
            )
            await until_whole()
        case "kill_entry_during_stop":
            node = generator.choice(fleet.entries)
            node.planned = True
            node.signal(signal.SIGTERM)
            await asyncio.sleep(generator.uniform(*_STOP_SECONDS))
            node.kill()
            node.planned = False
            node.start()
            await until_started(node)
        case kind:
            for node in fleet.entries:
                node.harm(clock=_CLOCK_SECONDS[kind])
            await asyncio.sleep(fault.seconds)
            for node in fleet.entries:
                node.harm()


async def _kill(
    nodes: list[processes.Node],
    seconds: float,
    until_started: UntilStarted,
    lost: list[processes.Node] | None = None,
) -> None:
    """Kills nodes at the same moment and starts them again.

    Args:
        nodes: The nodes.
        seconds: Time for which they are down.
        until_started: See `apply`.
        lost: Those that lose their disks; None for none.
    """
    for node in nodes:
        node.signal(signal.SIGKILL)
    for node in nodes:
        node.kill()
    for node in lost or []:
        node.wipe()
    await asyncio.sleep(seconds)
    for node in nodes:
        node.start()
    await asyncio.gather(*(until_started(node) for node in nodes))
