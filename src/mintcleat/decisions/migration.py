"""Which paused programs move off an overloaded or leaving upstream.

Made for skewed demand, where the programs that settled on one upstream all
grow, and for planned stops. Without it a leaving upstream's programs rebuild
their histories all at once elsewhere; without bounds the moves themselves
become the load, and two upstreams hand the same programs to and fro.
"""

from typing import NamedTuple

# Below this predicted wait nothing moves: a move costs about as much.
MIN_WAIT = 1.0
# The target's wait must be under this part of the source's, so that a move
# is not undone once it has levelled the two.
TARGET_PART = 0.5
# A program that moved stays this long, whatever the load says.
SETTLE_SECONDS = 60.0
# Exports under way at once from one upstream, and of one plan in all.
MAX_MOVING = 4


class Held(NamedTuple):
    """A paused program at the source.

    Attributes:
        left: Expected rest of its pause, in seconds.
        moved_at: When it came from another upstream; 0 if it did not.
    """

    program: str
    tokens: int
    left: float
    moved_at: float = 0.0


class Source(NamedTuple):
    """The upstream to relieve; export rate in tokens a second, 0 for none."""

    wait: float
    leaving: bool
    export_rate: float = 0.0


class Target(NamedTuple):
    """An upstream that could take programs over."""

    name: str
    wait: float
    free_memory: int
    prefill_rate: float


class Move(NamedTuple):
    """A program to hand over; rebuilt from its history unless `export`."""

    program: str
    target: str
    export: bool


class MigrationPlanner:
    """Plans moves off one upstream."""

    def __init__(self) -> None:
        self.moving: dict[str, int] = {}

    def finished(self, program: str) -> None:
        """Notes the end of a move, done or failed."""
        self.moving.pop(program, None)

    def plan(
        self,
        source: Source,
        held: list[Held],
        targets: list[Target],
        now: float,
    ) -> list[Move]:
        """Returns the moves to start now; call it about once a second."""
        if not source.leaving and source.wait < MIN_WAIT:
            return []
        room = {target.name: target.free_memory for target in targets}
        moves = []
        for program in sorted(held, key=_cheapest_first):
            if len(self.moving) >= MAX_MOVING:
                break
            if not self._movable(program, source, now):
                continue
            target = _best(source, program, targets, room)
            if target is None:
                continue
            room[target.name] -= program.tokens
            self.moving[program.program] = program.tokens
            export = _export(source, program, target)
            moves.append(Move(program.program, target.name, export))
        return moves

    def _movable(self, held: Held, source: Source, now: float) -> bool:
        if held.program in self.moving:
            return False
        if source.leaving:
            return True
        return not held.moved_at or now - held.moved_at >= SETTLE_SECONDS


def _cheapest_first(held: Held) -> tuple[int, str]:
    return held.tokens, held.program


def _best(
    source: Source, held: Held, targets: list[Target], room: dict[str, int]
) -> Target | None:
    fitting = [
        target
        for target in targets
        if room[target.name] >= held.tokens
        and (source.leaving or target.wait < TARGET_PART * source.wait)
    ]
    return min(fitting, key=lambda target: target.wait, default=None)


def _export(source: Source, held: Held, target: Target) -> bool:
    if not source.export_rate:
        return False
    moving = 2 * held.tokens / source.export_rate
    return moving < held.tokens / max(target.prefill_rate, 1.0)
