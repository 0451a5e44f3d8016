"""What one program group holds, and what all its transitions share."""

import collections
from typing import Any

from mintcleat.domain import errors
from mintcleat.programs import branches
from mintcleat.programs import histories
from mintcleat.programs import records


class Group:
    """Programs, their calls and the calls without a program of one group.

    Attributes:
        clock: Seconds that the group was led; moves with the commands.
        last_attempt: The attempts of a group only grow.
        branches: Programs that open with their first turn.
        programs: Records by program id.
        keyed: Calls without a program, by (customer, key).
        activity: Root ids, the longest idle first, with the clock of the
            last change anywhere below.
        ended: (clock, id) of closed and expired programs, in that order.
        calls: Calls that hold their key, the longest untouched first; they
            leave by retention in this order.
        forgotten: Programs that left by retention.
    """

    def __init__(self, store: Any = None) -> None:
        """Creates an empty group.

        Args:
            store: A `ports.histories.HistoryStore`; in memory when None.
        """
        self.histories = store or histories.MemoryHistoryStore()
        self.clear()

    def clear(self) -> None:
        """Drops all state."""
        self.histories.clear()
        self.clock = 0.0
        self.wall = 0.0
        self.last_attempt = 0
        self.forgotten = 0
        self.branches = branches.Branches()
        self.programs: dict[str, records.Program] = {}
        self.keyed: dict[tuple[str, str], records.Call] = {}
        self.activity: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.ended: collections.deque[tuple[float, str]] = collections.deque()
        self.calls: collections.OrderedDict[int, records.Call] = (
            collections.OrderedDict()
        )

    def chain(self, program: records.Program) -> list[records.Program]:
        """Returns the program and its ancestors, the root last."""
        found = [program]
        while found[-1].parent:
            found.append(self.programs[found[-1].parent])
        return found

    def touch(self, program: str) -> None:
        """Notes activity, for the expiry of abandoned programs."""
        root = records.root_of(program)
        if root in self.activity:
            self.activity[root] = self.clock
            self.activity.move_to_end(root)

    def end(self, program: records.Program, state: str) -> None:
        """Closes or expires a program and its sub-agents."""
        for child in program.children:
            self.end(self.programs[child], state)
        if program.state != records.OPEN:
            return
        program.state = state
        program.ended = self.clock
        self.activity.pop(program.program, None)
        self.ended.append((self.clock, program.program))

    def unknown(self, program: str) -> errors.UnknownProgram:
        """Returns the refusal of a program that has no record.

        Once any record has left by retention, this may be one of them, and
        its request may have run: "not run" would be a guess.
        """
        outcome = errors.UNKNOWN if self.forgotten else errors.NOT_RUN
        return errors.UnknownProgram(
            f"No program {program or '(empty id)'}.", outcome=outcome
        )
