"""Migration of paused programs off an overloaded or leaving upstream.

Handles skewed demand, where the programs at one upstream all grow, and planned
stops. Without migration, the programs of a leaving upstream would recompute
their histories elsewhere at the same time. Without limits, migrations would
themselves be the load, and two upstreams would swap programs back and forth.
"""

from typing import NamedTuple

# Predicted wait below which nothing moves: a move costs about as much.
MIN_WAIT_SECONDS = 1.0
# Maximum wait at the target as a fraction of that at the source, so that a move
# isn't undone once it has balanced the two.
MAX_WAIT_RATIO = 0.5
# Seconds before a program that moved may move again because of load.
SETTLE_SECONDS = 60.0
# Maximum of concurrent moves from one upstream.
MAX_MOVING = 4


class PausedProgram(NamedTuple):
    """A paused program at the source.

    Attributes:
        tokens: Size of its cache.
        remaining_pause: Expected remaining seconds of its pause.
        moved_at: When it came from another upstream; 0 if it did not.
    """

    program: str
    tokens: int
    remaining_pause: float
    moved_at: float = 0.0


class Source(NamedTuple):
    """The upstream to relieve.

    Attributes:
        wait: Predicted wait in seconds.
        leaving: Whether it is about to stop.
        export_rate: Tokens per second of an export; 0 if it has none.
    """

    wait: float
    leaving: bool
    export_rate: float = 0.0


class Target(NamedTuple):
    """An upstream that programs could move to.

    Attributes:
        wait: Predicted wait in seconds.
        free_memory: Free memory in tokens.
        prefill_rate: Prompt tokens per second.
    """

    name: str
    wait: float
    free_memory: int
    prefill_rate: float


class Move(NamedTuple):
    """A program to move.

    Attributes:
        target: Name of the upstream to move to.
        export: Whether to transfer its cache rather than recompute it.
    """

    program: str
    target: str
    export: bool


class MigrationPlanner:
    """Plans moves off one upstream.

    Attributes:
        moving: Tokens by program, of moves in progress.
    """

    def __init__(self) -> None:
        self.moving: dict[str, int] = {}

    def finished(self, program: str) -> None:
        """Records the end of a move, whether it succeeded or failed."""
        self.moving.pop(program, None)

    def plan(
        self,
        source: Source,
        paused: list[PausedProgram],
        targets: list[Target],
        now: float,
    ) -> list[Move]:
        """Returns the moves to start now; call it about once a second."""
        if not source.leaving and source.wait < MIN_WAIT_SECONDS:
            return []
        free_memory = {target.name: target.free_memory for target in targets}
        moves = []
        for program in sorted(paused, key=_cheapest_first):
            if len(self.moving) >= MAX_MOVING:
                break
            if not self._movable(program, source, now):
                continue
            target = _best_target(source, program, targets, free_memory)
            if target is None:
                continue
            free_memory[target.name] -= program.tokens
            self.moving[program.program] = program.tokens
            export = _export_is_faster(source, program, target)
            moves.append(Move(program.program, target.name, export))
        return moves

    def _movable(
        self, paused: PausedProgram, source: Source, now: float
    ) -> bool:
        if paused.program in self.moving:
            return False
        if source.leaving:
            return True
        return not paused.moved_at or now - paused.moved_at >= SETTLE_SECONDS


def _cheapest_first(paused: PausedProgram) -> tuple[int, str]:
    return paused.tokens, paused.program


def _best_target(
    source: Source,
    paused: PausedProgram,
    targets: list[Target],
    free_memory: dict[str, int],
) -> Target | None:
    fitting = [
        target
        for target in targets
        if free_memory[target.name] >= paused.tokens
        and (source.leaving or target.wait < MAX_WAIT_RATIO * source.wait)
    ]
    return min(fitting, key=lambda target: target.wait, default=None)


def _export_is_faster(
    source: Source, paused: PausedProgram, target: Target
) -> bool:
    if not source.export_rate:
        return False
    # The cache is transferred twice: by the export and by the import.
    transfer_seconds = 2 * paused.tokens / source.export_rate
    return transfer_seconds < paused.tokens / max(target.prefill_rate, 1.0)
