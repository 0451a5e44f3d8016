"""Simulated callers, entries and upstreams for the real program service.

The service, its client and the log are real. Entries and sidecars are reduced
to the protocol of attempts, so that faults can be injected between any two
steps.
"""

import random
from typing import Any
from typing import NamedTuple

import eventlet

import histories
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import log as log_ports
from mintcleat.ports import streams as stream_ports
from mintcleat.roles import control_client

TOKENS = 7
RESERVE = 10
ASK_SECONDS = 4.0
_LOST = errors.StreamTimeout("The fake lost the answer.")


class Faults:
    """A random source of faults.

    Attributes:
        random: Random number generator of the whole run.
        active: Whether faults happen at all.
        count: Number of faults that happened.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.active = True
        self.count = 0

    def happens(self, chance: float) -> bool:
        happening = self.active and self.random.random() < chance
        self.count += happening
        return happening


class FaultyLog:
    """A log that loses proposals or their outcomes, or delays them."""

    def __init__(self, inner: log_ports.ReplicatedLog, faults: Faults) -> None:
        self.inner = inner
        self.faults = faults

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        if self.faults.happens(0.03):
            raise errors.ProposalLost("Lost before it was proposed.")
        if self.faults.happens(0.03):
            eventlet.spawn_after(0.05, self._send_late, group, command)
            raise errors.ProposalLost("It is committed later.")
        result = self.inner.propose(group, command, timeout)
        if self.faults.happens(0.05):
            raise errors.ProposalLost("It is committed already.")
        return result

    def _send_late(self, group: str, command: bytes) -> None:
        try:
            self.inner.propose(group, command, 1.0)
        except errors.MintcleatError:
            return


class FaultyStreams:
    """Streams that lose, delay and repeat requests to the service."""

    def __init__(self, inner: stream_ports.Streams, faults: Faults) -> None:
        self.inner = inner
        self.faults = faults

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        if self.faults.happens(0.03):
            raise errors.StreamClosed("No way.", outcome=errors.NOT_RUN)
        if self.faults.happens(0.03):
            eventlet.spawn_after(0.1, self._send_late, address, message)
            raise _LOST
        reply = self.inner.ask(address, message, timeout)
        if self.faults.happens(0.05):
            raise _LOST
        if self.faults.happens(0.05):
            return self.inner.ask(address, message, timeout)
        return reply

    def _send_late(self, address: str, message: Any) -> None:
        try:
            self.inner.ask(address, message, 1.0)
        except errors.MintcleatError:
            return


class Call(NamedTuple):
    """A call of a caller."""

    program: str
    key: str
    turn: int
    idempotent: bool
    text: str


class Upstream:
    """A sidecar with its engine; records each execution.

    Attributes:
        states: State of each attempt: `never` (sealed, will never run),
            `running` or `ran`. Attempt numbers are unique within a group of
            programs only, so the key is the program and the number.
    """

    def __init__(self, name: str, rig: "Rig") -> None:
        self.rig = rig
        self.address = name
        self.incarnation = identities.Incarnation(name, 1)
        self.states: dict[tuple[str, int], str] = {}

    def restart(self) -> None:
        """Restarts the sidecar, which loses the states of its attempts."""
        epoch = self.incarnation.epoch + 1
        self.incarnation = self.incarnation._replace(epoch=epoch)
        self.states = {}

    def seal(
        self, call: Call, attempt: int, incarnation: identities.Incarnation
    ) -> str:
        """Seals an attempt unless it has started; returns its state."""
        if incarnation != self.incarnation:
            return "unknown"
        return self.states.setdefault((call.program, attempt), "never")

    def run(self, call: Call, attempt: int, sidecar: Any) -> str:
        """Runs an attempt; returns its answer once that is committed."""
        name = (call.program, attempt)
        if sidecar != self.incarnation or name in self.states:
            raise errors.Draining("This attempt does not run here.")
        states = self.states
        states[name] = "running"
        record = self.rig.record
        start = record.now()
        eventlet.sleep(self.rig.faults.random.random() * 0.02)
        run = histories.Run(
            call.program,
            call.key,
            call.turn,
            attempt,
            start,
            record.now(),
            TOKENS,
        )
        record.runs.append(run)
        answer = f"answer of attempt {attempt}"
        self._finish(call, attempt, sidecar, answer)
        states[name] = "ran"
        return answer

    def _finish(
        self, call: Call, attempt: int, sidecar: Any, answer: str
    ) -> None:
        request = program_messages.FinishCall(
            call.program,
            "farm",
            call.key,
            attempt,
            sidecar,
            answer.encode(),
            identities.Usage(0, TOKENS, 0),
        )
        while True:
            if sidecar != self.incarnation:
                raise errors.StreamClosed("The sidecar died.")
            try:
                self.rig.ask(call.program, request)
                return
            except (errors.ControlUnavailable, errors.OutcomeUnknown):
                eventlet.sleep(0.02)


class Rig:
    """Simulated entries and upstreams, and the history of the run."""

    def __init__(
        self, client: control_client.ControlClient, faults: Faults
    ) -> None:
        self.client = client
        self.faults = faults
        self.record = histories.Record()
        self.upstreams = {
            name: Upstream(name, self) for name in ("e1", "e2", "e3")
        }

    def ask(self, program: str, request: Any) -> Any:
        return self.client.ask(program, request, ASK_SECONDS)

    def call(self, call: Call) -> errors.MintcleatError | None:
        """Handles a call at an entry; records and returns its outcome."""
        start = self.record.now()
        answer = ""
        refusal = None
        try:
            answer = self._serve(call)
            outcome = errors.RAN
        except errors.MintcleatError as error:
            refusal = error
            outcome = error.outcome
        operation = histories.Operation(
            call.program,
            call.key,
            call.turn,
            call.idempotent,
            call.text,
            start,
            self.record.now(),
            outcome,
            answer,
        )
        self.record.operations.append(operation)
        return refusal

    def read(self, program: str) -> None:
        """Reads a program and records the reply."""
        start = self.record.now()
        try:
            view = self.ask(program, program_messages.ShowProgram(program))
        except errors.ControlUnavailable:
            return
        read = histories.Read(start, self.record.now(), view)
        self.record.reads.append(read)

    def finish(self, programs: list[str]) -> None:
        """Stops the faults and records the final state of the programs."""
        self.faults.active = False
        for program in programs:
            view = self.ask(program, program_messages.ShowProgram(program))
            history = self.ask(program, program_messages.FetchHistory(program))
            self.record.finals[program] = histories.Final(view, history.turns)

    def _serve(self, call: Call) -> str:
        """Begins, runs, seals and settles attempts as an entry does."""
        sealed = 0
        for _ in range(8):
            name = self.faults.random.choice(sorted(self.upstreams))
            upstream = self.upstreams[name]
            sidecar = upstream.incarnation
            reply = self._begin(call, upstream, sealed)
            if isinstance(reply, program_messages.CallRecorded):
                return reply.answer.decode()
            if isinstance(reply, program_messages.AttemptRunning):
                upstream = self.upstreams[reply.address]
                sidecar = reply.sidecar
            elif not self.faults.happens(0.05):
                answer = self._run(call, upstream, reply.attempt, sidecar)
                if answer:
                    return answer
            sealed = self._after_loss(call, upstream, reply.attempt, sidecar)
        return self._give_up(call, sealed)

    def _begin(self, call: Call, upstream: Upstream, sealed: int) -> Any:
        request = program_messages.BeginCall(
            program=call.program,
            customer="farm",
            service="chat",
            turn=call.turn,
            key=call.key,
            digest=call.key.encode().ljust(16, b"."),
            messages=[call.text] if call.turn else [],
            reserve=RESERVE,
            idempotent=call.idempotent,
            sidecar=upstream.incarnation,
            address=upstream.address,
            sealed=sealed,
        )
        return self.ask(call.program, request)

    def _run(
        self, call: Call, upstream: Upstream, attempt: int, sidecar: Any
    ) -> str:
        """Returns the answer, or an empty text if the exchange was lost."""
        if self.faults.happens(0.1):
            eventlet.spawn(self._run_detached, call, upstream, attempt, sidecar)
            eventlet.sleep(0)
            return ""
        try:
            answer = upstream.run(call, attempt, sidecar)
        except (errors.StreamClosed, errors.Draining, errors.Superseded):
            return ""
        return "" if self.faults.happens(0.05) else answer

    def _run_detached(
        self, call: Call, upstream: Upstream, attempt: int, sidecar: Any
    ) -> None:
        """Runs an attempt whose entry has lost the exchange."""
        try:
            upstream.run(call, attempt, sidecar)
        except errors.MintcleatError:
            return

    def _after_loss(
        self, call: Call, upstream: Upstream, attempt: int, sidecar: Any
    ) -> int:
        """Returns the attempt if it was sealed, or 0 to begin again."""
        state = "unknown"
        if not self.faults.happens(0.2):
            state = upstream.seal(call, attempt, sidecar)
        match state:
            case "never":
                return attempt
            case "running" | "ran":
                eventlet.sleep(0.01)
                return 0
        unknown = errors.OutcomeUnknown("The sidecar was lost.")
        self._settle(call, attempt, unknown)
        if not call.idempotent:
            raise unknown
        return 0

    def _give_up(self, call: Call, sealed: int) -> str:
        if not sealed:
            raise errors.DeadlineUnmet("Too slow.", outcome=errors.UNKNOWN)
        refusal = errors.DeadlineUnmet("Too many tries.")
        self._settle(call, sealed, refusal)
        raise refusal

    def _settle(
        self, call: Call, attempt: int, error: errors.MintcleatError
    ) -> None:
        request = program_messages.SettleCall(
            call.program,
            "farm",
            call.key,
            attempt,
            error.outcome,
            error.failure(),
        )
        try:
            self.ask(call.program, request)
        except (errors.ControlUnavailable, errors.OutcomeUnknown):
            return
