"""Cuts as of a real network, and what open connections do after them."""

import asyncio
from typing import NamedTuple

from testing.soak import links
from testing.soak import processes
from testing.soak import schedule

# Part of a cut's length for which open connections stay silent after it. The
# kernel doubles its pauses, so that it is 1 at most.
_SILENT_PARTS = (0.0, 0.5, 1.0)
# Every so many cuts they stay silent for good.
_FOR_GOOD = 4


class Cut(NamedTuple):
    """A cut of some paths.

    Attributes:
        node: The node that is cut off.
        others: The nodes that it is cut from.
        directions: What is lost, as seen from the node: `in`, `out` or both.
        affected: Node that it affects, as in `checks.Disturbance`.
        silent_part: Part of the cut's length for which the connections that
            were open stay silent after it; infinite for good.
    """

    node: processes.Node
    others: list[str]
    directions: tuple[str, ...]
    affected: str
    silent_part: float

    def __str__(self) -> str:
        """Returns the text of the log."""
        directions = "+".join(self.directions)
        return (
            f"packet loss {directions} of {self.node.name} and "
            f"{', '.join(self.others)}, silence x {self.silent_part:g}"
        )

    async def apply(self, seconds: float) -> None:
        """Cuts, heals and waits until open connections pass data again."""
        self.node.lose_packets(self.directions, self.others)
        await asyncio.sleep(seconds)
        silences = self.node.regain(self.others)
        if self.silent_part == float("inf"):
            return
        await asyncio.sleep(seconds * self.silent_part)
        _end(silences)


def _end(silences: list[links.Silence]) -> None:
    for silence in silences:
        silence.end()


def plan(fleet: processes.Fleet, fault: schedule.Fault) -> Cut:
    """Returns the cut of a fault of the track `network`."""
    controls, entries = fleet.controls, fleet.entries
    control = controls[fault.number % len(controls)]
    entry = entries[fault.number % len(entries)]
    leader = fleet.leader("config")
    directions = [("in",), ("out",), ("in", "out")][fault.number // 7 % 3]
    part = _SILENT_PARTS[fault.number // 21 % len(_SILENT_PARTS)]
    if fault.number // 63 % _FOR_GOOD == 0:
        part = float("inf")
    everyone = [one.name for one in fleet.running()]
    names = [one.name for one in controls]
    match fault.kind:
        case "lossy_leader":
            cut = (leader, everyone, "")
        case "lossy_control":
            cut = (control, everyone, "")
        case "lossy_entry":
            cut = (entry, names, entry.name)
        case "lossy_path":
            cut = (entry, [control.name], entry.name)
        case "lossy_follower":
            follower = next(one for one in controls if one is not leader)
            cut = (leader, [follower.name], "")
        case _:
            # Entries still reach it.
            cut = (control, names, "")
    node, others, affected = cut
    others = [name for name in others if name != node.name]
    return Cut(node, others, directions, affected, part)
