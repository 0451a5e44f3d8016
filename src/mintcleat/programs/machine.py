"""The state machine of one program group."""

from typing import Any

from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import calls
from mintcleat.programs import commands
from mintcleat.programs import histories
from mintcleat.programs import outcomes
from mintcleat.programs import records
from mintcleat.programs import retention
from mintcleat.programs import snapshots
from mintcleat.programs import state

# Every begin and finish of a call walks all ancestors of its program, so a
# program that keeps starting sub-agents must not nest them without bound.
MAX_DEPTH = 16


class ProgramMachine(state.Group):
    """Applies commands to a group and answers reads.

    `apply` reads neither clock nor random numbers, so replicas that applied
    the same commands have the same state.
    """

    def apply(self, index: int, command: bytes) -> list[Any]:
        """Applies a command; returns a reply or an error for each request."""
        del index
        decoded = commands.decode(command)
        self.clock = max(self.clock, decoded.clock)
        self.wall = decoded.wall
        return [self._apply_one(request) for request in decoded.requests]

    def snapshot(self) -> bytes:
        """Returns the serialized state."""
        return b"".join(self.snapshot_parts())

    def snapshot_parts(self) -> list[bytes]:
        """Returns the serialized state; contents of turns aren't copied."""
        return snapshots.pack(self)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by that of a snapshot."""
        snapshots.unpack(self, snapshot)

    def read(self, request: Any) -> Any:
        """Answers a read-only request.

        The caller must make sure that the state is recent enough to be read.

        Returns:
            The reply, or the error that refuses the request.
        """
        match request:
            case program_messages.ShowProgram():
                return self._show(request.program)
            case program_messages.ListPrograms():
                return self._list(request)
            case program_messages.FetchHistory():
                return self._history(request)
            case program_messages.RenewResidency():
                return self._ended(request)
            case program_messages.FindCall():
                return calls.find(self, request)
            case program_messages.FindStream():
                return self.streams.find(request, self.clock)
        return errors.BadRequest(
            f"{type(request).__name__} is not a read request."
        )

    def _apply_one(self, request: Any) -> Any:
        match request:
            case program_messages.OpenTurn():
                return self._open_turn(request)
            case program_messages.RecordStream():
                return self.streams.record(request, self.clock)
            case program_messages.CloseTurn():
                return self.branches.close(request, self.clock)
            case content_messages.StageContent():
                return self.branches.staged.add(request, self.clock)
            case program_messages.CountCall():
                return self.branches.count(request, self.clock)
            case program_messages.BeginCall():
                return calls.begin(self, request)
            case program_messages.FinishCall():
                return outcomes.finish(self, request)
            case program_messages.SettleCall():
                return outcomes.settle(self, request)
            case program_messages.CreateProgram():
                return self._create(request)
            case program_messages.CloseProgram():
                return self._close(request)
            case commands.Tick():
                return retention.sweep(self, request)
        return errors.BadRequest(f"{type(request).__name__} is not a command.")

    def _open_turn(self, request: program_messages.OpenTurn) -> Any:
        reply = self.branches.open(request, self.clock)
        opened = isinstance(reply, program_messages.TurnOpened)
        if opened and request.stream is not None:
            self.streams.record(
                program_messages.RecordStream(
                    request.program,
                    request.customer,
                    request.turn,
                    request.stream,
                ),
                self.clock,
            )
        return reply

    def _create(self, request: program_messages.CreateProgram) -> Any:
        found = self.programs.get(request.program)
        if found is not None:
            if _creation_request(found) == request._replace(program=""):
                return records.view(found)
            return errors.ProgramExists(
                f"Program {request.program} exists with other attributes; use"
                " another id."
            )
        parent = None
        if request.parent or "." in request.program:
            parent = self.programs.get(request.parent)
            refusal = _check_parent(request, parent)
            if refusal is not None:
                return refusal
        program = records.Program(
            program=request.program,
            customer=request.customer,
            agent=request.agent,
            klass=request.klass,
            parent=request.parent,
            budget=request.budget,
            repeat_limit=request.repeat_limit,
            created=self.wall,
            started=self.clock,
        )
        self.programs[request.program] = program
        if parent is None:
            self.activity[request.program] = self.clock
        else:
            parent.children.append(request.program)
            self.touch(request.program)
        return records.view(program)

    def _close(self, request: program_messages.CloseProgram) -> Any:
        program = self.programs.get(request.program)
        if program is None:
            return self.unknown_program(request.program)
        self.end(program, records.CLOSED)
        return records.view(program)

    def _show(self, program: str) -> Any:
        found = self.programs.get(program)
        return (
            self.unknown_program(program)
            if found is None
            else records.view(found)
        )

    def _list(
        self, request: program_messages.ListPrograms
    ) -> program_messages.Programs:
        names = sorted(name for name in self.programs if name > request.after)
        return program_messages.Programs(
            [
                records.view(self.programs[name])
                for name in names[: request.limit]
            ]
        )

    def _history(self, request: program_messages.FetchHistory) -> Any:
        program = self.programs.get(request.program)
        if program is None:
            return self.unknown_program(request.program)
        newest = program.next_turn - 1
        last = min(request.last or newest, newest)
        found = self.histories.read(
            request.program, max(request.first, 1), last
        )
        turns = [histories.decode(record) for record in found]
        return program_messages.History(
            request.program,
            [identities.Turn(t.turn, t.messages, t.digest) for t in turns],
        )

    def _ended(
        self, request: program_messages.RenewResidency
    ) -> program_messages.EndedPrograms:
        ended = []
        for name in request.programs:
            program = self.programs.get(name)
            if program is None or program.state != records.OPEN:
                ended.append(name)
        return program_messages.EndedPrograms(ended)


def _creation_request(
    program: records.Program,
) -> program_messages.CreateProgram:
    """Returns the request that created the program, without its id."""
    return program_messages.CreateProgram(
        program="",
        customer=program.customer,
        agent=program.agent,
        klass=program.klass,
        budget=program.budget,
        parent=program.parent,
        repeat_limit=program.repeat_limit,
    )


def _check_parent(
    request: program_messages.CreateProgram, parent: records.Program | None
) -> errors.MintcleatError | None:
    prefix, _, name = request.program.rpartition(".")
    if not name or prefix != request.parent:
        return errors.BadRequest(
            "The id of a sub-agent must be its parent's id, a dot and a name;"
            f" {request.program} is not below {request.parent or 'any'}."
        )
    if request.program.count(".") > MAX_DEPTH:
        return errors.BadRequest(
            f"Sub-agent {request.program} is nested deeper than {MAX_DEPTH}"
            " levels."
        )
    if parent is None:
        return errors.UnknownProgram(
            f"The parent program {request.parent} does not exist."
        )
    if parent.state != records.OPEN:
        return errors.ProgramClosed(
            f"The parent program {request.parent} is not open."
        )
    return None
