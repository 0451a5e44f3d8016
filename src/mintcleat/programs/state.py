"""The state of one program group."""

import collections
from typing import Any

from mintcleat.domain import errors
from mintcleat.programs import branches
from mintcleat.programs import histories
from mintcleat.programs import records
from mintcleat.programs import streams


class Group:
    """Programs and calls of one group.

    Attributes:
        histories: Store of turns and long answers.
        clock: Seconds for which the group had a leader, as of the last
            command.
        wall: Unix time of the last command in seconds, for display only.
        last_attempt: Number of the newest attempt; attempt numbers of a group
            only increase.
        deleted_programs: Number of programs deleted after their retention.
        branches: Programs whose turns form a tree.
        streams: Origins of streams that callers may take up.
        programs: Records by program id.
        standalone_calls: Calls without a program, by (customer, key).
        activity: Group clock of the last change of a root program or of its
            sub-agents, by root id, the least recently changed first.
        ended: (clock, id) of closed and expired programs, the earliest first.
        calls: Calls whose key is in use, by number, the least recently
            changed first, which is the order of their expiry.
    """

    def __init__(self, store: Any = None) -> None:
        """Creates an empty group.

        Args:
            store: A `ports.histories.HistoryStore`; None for one in memory.
        """
        self.histories = store or histories.MemoryHistoryStore()
        self.clear()

    def clear(self) -> None:
        """Deletes all state."""
        self.histories.clear()
        self.clock = 0.0
        self.wall = 0.0
        self.last_attempt = 0
        self.deleted_programs = 0
        self.branches = branches.Branches()
        self.streams = streams.Streams()
        self.programs: dict[str, records.Program] = {}
        self.standalone_calls: dict[tuple[str, str], records.Call] = {}
        self.activity: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.ended: collections.deque[tuple[float, str]] = collections.deque()
        self.calls: collections.OrderedDict[int, records.Call] = (
            collections.OrderedDict()
        )

    def lineage(self, program: records.Program) -> list[records.Program]:
        """Returns the program and its ancestors, the root last."""
        found = [program]
        while found[-1].parent:
            found.append(self.programs[found[-1].parent])
        return found

    def touch(self, program: str) -> None:
        """Records activity, which postpones the expiry of the root program."""
        root = records.root_of(program)
        if root in self.activity:
            self.activity[root] = self.clock
            self.activity.move_to_end(root)

    def end(self, program: records.Program, state: str) -> None:
        """Closes or expires a program and its sub-agents.

        Args:
            program: The program.
            state: `closed` or `expired`.
        """
        for child in program.children:
            self.end(self.programs[child], state)
        if program.state != records.OPEN:
            return
        program.state = state
        program.ended = self.clock
        self.activity.pop(program.program, None)
        self.ended.append((self.clock, program.program))

    def unknown_program(self, program: str) -> errors.UnknownProgram:
        """Returns the error for a program that has no record.

        Once any program was deleted after its retention, this may be one of
        them, whose request may have run, so the outcome is unknown.
        """
        outcome = errors.UNKNOWN if self.deleted_programs else errors.NOT_RUN
        return errors.UnknownProgram(
            f"Program {program or '(empty id)'} does not exist.",
            outcome=outcome,
        )
