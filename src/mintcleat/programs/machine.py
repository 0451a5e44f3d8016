"""The state machine of one program group: dispatch of its requests."""

from typing import Any

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

# Each level adds an ancestor that every begin and finish walks; a program
# that spawns itself without end must not make the group's work grow.
MAX_DEPTH = 16


class ProgramMachine(state.Group):
    """Applies commands to a group and answers reads.

    `apply` reads no clock and no chance, so every replica that applied the
    same commands holds the same state.
    """

    def apply(self, index: int, command: bytes) -> list[Any]:
        """Applies a command and returns one reply or typed error a request."""
        del index
        decoded = commands.decode(command)
        self.clock = max(self.clock, decoded.clock)
        self.wall = decoded.wall
        return [self._apply_one(request) for request in decoded.requests]

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return snapshots.pack(self)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the whole state by a snapshot."""
        snapshots.unpack(self, snapshot)

    def read(self, request: Any) -> Any:
        """Answers a request that changes nothing; a typed error is returned.

        The caller makes sure that this replica may answer reads.
        """
        match request:
            case program_messages.ShowProgram():
                return self._show(request.program)
            case program_messages.ListPrograms():
                return self._list(request)
            case program_messages.FetchHistory():
                return self._history(request)
            case program_messages.RenewResidency():
                return self._gone(request)
            case program_messages.FindCall():
                return calls.find(self, request)
        return errors.BadRequest(f"{type(request).__name__} is no read.")

    def _apply_one(self, request: Any) -> Any:
        match request:
            case program_messages.OpenTurn():
                return self.branches.open(request, self.clock)
            case program_messages.CloseTurn():
                return self.branches.close(request, self.clock)
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
        return errors.BadRequest(f"{type(request).__name__} is no command.")

    def _create(self, request: program_messages.CreateProgram) -> Any:
        found = self.programs.get(request.program)
        if found is not None:
            if _attributes(found) == request._replace(program=""):
                return records.view(found)
            return errors.ProgramExists(
                f"Program {request.program} exists with other attributes."
            )
        parent = None
        if request.parent or "." in request.program:
            parent = self.programs.get(request.parent)
            fault = _parent_fault(request, parent)
            if fault is not None:
                return fault
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
            return self.unknown(request.program)
        self.end(program, records.CLOSED)
        return records.view(program)

    def _show(self, program: str) -> Any:
        found = self.programs.get(program)
        return self.unknown(program) if found is None else records.view(found)

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
            return self.unknown(request.program)
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

    def _gone(
        self, request: program_messages.RenewResidency
    ) -> program_messages.ClosedPrograms:
        gone = []
        for name in request.programs:
            program = self.programs.get(name)
            if program is None or program.state != records.OPEN:
                gone.append(name)
        return program_messages.ClosedPrograms(gone)


def _attributes(program: records.Program) -> program_messages.CreateProgram:
    """Returns the request that made the program, without its id."""
    return program_messages.CreateProgram(
        program="",
        customer=program.customer,
        agent=program.agent,
        klass=program.klass,
        budget=program.budget,
        parent=program.parent,
        repeat_limit=program.repeat_limit,
    )


def _parent_fault(
    request: program_messages.CreateProgram, parent: records.Program | None
) -> errors.MintcleatError | None:
    prefix, _, name = request.program.rpartition(".")
    if not name or prefix != request.parent:
        return errors.BadRequest(
            f"A sub-agent's id is its parent's, a dot and a name;"
            f" {request.program} is not below {request.parent or 'any'}."
        )
    if request.program.count(".") > MAX_DEPTH:
        return errors.BadRequest(
            f"{request.program} is more than {MAX_DEPTH} levels deep."
        )
    if parent is None:
        return errors.UnknownProgram(f"No program {request.parent}.")
    if parent.state != records.OPEN:
        return errors.ProgramClosed(f"Program {request.parent} is closed.")
    return None
