"""Histories held in memory, for tests and instances without a disk."""

from mintcleat.programs import records


class MemoryHistories:
    """Finished turns by program; see `ports.histories.Histories`."""

    def __init__(self) -> None:
        self.turns: dict[str, list[records.TurnRecord]] = {}

    def append(self, program: str, turn: records.TurnRecord) -> None:
        """Adds the next finished turn of a program."""
        self.turns.setdefault(program, []).append(turn)

    def read(
        self, program: str, first: int, last: int
    ) -> list[records.TurnRecord]:
        """Returns the turns `first` to `last`, both included."""
        return self.turns.get(program, [])[first - 1 : last]

    def forget(self, program: str) -> None:
        """Drops a program's turns."""
        self.turns.pop(program, None)
