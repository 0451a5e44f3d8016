"""Runs one attempt at the upstream and gives it its outcome."""

from collections.abc import Callable
from collections.abc import Iterator

from loguru import logger
import msgpack
import msgspec

from mintcleat.decisions import calls
from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles.sidecar import attempts as sidecar_attempts
from mintcleat.roles.sidecar import commit as sidecar_commit
from mintcleat.roles.sidecar import gate as sidecar_gate
from mintcleat.roles.sidecar import history as sidecar_history
from mintcleat.roles.sidecar import memory as sidecar_memory

_RESUME_TRIES = 5
_RESUME_PAUSE = 0.1
_CANCELLED = "cancelled"
_BATCH_PRIORITY = 1
_LOST = (errors.StreamClosed, errors.StreamTimeout)

LoadSource = Callable[[], call_messages.LoadReport]
Answered = Callable[[], None]


class TurnRunner:
    """Runs chat turns at a model engine."""

    def __init__(
        self,
        engine: upstream_port.ModelEngine,
        histories: sidecar_history.Histories,
        memory: sidecar_memory.Memory,
        reporter: sidecar_commit.Reporter,
        timers: timers_port.Timers,
        load: LoadSource,
        admission: sidecar_gate.Admission,
    ) -> None:
        self.engine = engine
        self.histories = histories
        self.memory = memory
        self.reporter = reporter
        self.timers = timers
        self.load = load
        self.admission = admission

    def call(
        self, attempt: sidecar_attempts.Attempt, suspect: bool
    ) -> calls.Call:
        """Returns the attempt as the queue's decisions see it."""
        held = self.memory.called(attempt.program)
        usual = self.admission.usual_answer(attempt.message.agent)
        return sidecar_gate.turn_call(attempt, held, usual, suspect)

    def run(
        self, attempt: sidecar_attempts.Attempt, answered: Answered
    ) -> None:
        """Runs the attempt to its end and commits the answer.

        Args:
            attempt: The attempt.
            answered: Called once the engine has ended the call.

        Raises:
            errors.NoUpstream: Nothing was delivered to the engine.
            errors.MintcleatError: The engine took it and it failed.
        """
        asked = attempt.message
        self.memory.resume(asked.program)
        call = upstream_port.EngineCall(
            attempt.request,
            asked.program,
            attempt.prompt,
            asked.parameters,
            _BATCH_PRIORITY if asked.klass == calls.BATCH else 0,
        )
        end = self._stream(attempt, call)
        attempt.usage = end.usage
        answered()
        if end.reason == _CANCELLED:
            raise attempt.cancelled or errors.OutcomeUnknown(
                "The engine cancelled the call."
            )
        answer = assistant_message("".join(attempt.pieces))
        if asked.attempt:
            self._commit(attempt, answer, end.usage)
        attempt.end(
            call_messages.Finished(
                asked.attempt,
                attempt.total,
                answer,
                end.reason,
                end.usage,
                self.load(),
            )
        )

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Notes that the attempt is not run here."""
        self.memory.refused(attempt.program)

    def tells(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Tells whether the answer has gaps between tokens to learn from.

        The pace is the time after the first token. An answer of one token
        has none, and its zero would count as the best pace ever, against
        which every later answer looks like an overload.
        """
        return attempt.usage.completion_tokens > 1

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Stops the call at the engine, whose stream then ends."""
        try:
            self.engine.cancel(attempt.request)
        except errors.MintcleatError as error:
            logger.warning("A cancel did not reach: {}", error.detail)
            return False
        return True

    def _commit(
        self,
        attempt: sidecar_attempts.Attempt,
        answer: str,
        usage: identities.Usage,
    ) -> None:
        asked = attempt.message
        self.reporter.finish(attempt, answer.encode(), usage)
        if not asked.program:
            return
        added = [*asked.messages, answer]
        self.histories.finish(
            asked.program, asked.base_turn, asked.base_digest, added
        )
        tokens = usage.prompt_tokens + usage.completion_tokens
        served = asked.attained + usage.completion_tokens
        life = sidecar_memory.Life(asked.agent, served, asked.base_turn + 1)
        self.memory.note(asked.program, life)
        self.memory.pause(asked.program, asked.agent, tokens)

    def _stream(
        self,
        attempt: sidecar_attempts.Attempt,
        call: upstream_port.EngineCall,
    ) -> upstream_port.End:
        """Reads the whole answer, resuming a stream that breaks.

        Only the first request may fail with `not_run`: after it, the engine
        has the call, whatever a later error says.
        """
        try:
            return self._take_all(attempt, self.engine.run(call))
        except _LOST as error:
            cause = error
        tries = 0
        while tries < _RESUME_TRIES and attempt.cancelled is None:
            before = attempt.total
            self.timers.sleep(_RESUME_PAUSE)
            try:
                stream = self.engine.resume(attempt.request, attempt.total)
                return self._take_all(attempt, stream)
            except _LOST as error:
                cause = error
            except (errors.NoUpstream, errors.UpstreamFailed) as error:
                # The engine is gone, and with it its streams, or it has
                # forgotten this one.
                cause = error
                break
            tries = 0 if attempt.total > before else tries + 1
        raise errors.OutcomeUnknown(
            f"The engine's stream broke and did not resume: {cause.detail}"
        ) from cause

    def _take_all(
        self,
        attempt: sidecar_attempts.Attempt,
        stream: Iterator[upstream_port.TextChunk | upstream_port.End],
    ) -> upstream_port.End:
        """Adds every piece to the attempt and returns the engine's end.

        Raises:
            errors.StreamClosed: Text is missing or the stream broke.
        """
        for item in stream:
            match item:
                case upstream_port.TextChunk(text):
                    if not attempt.first:
                        attempt.first = self.timers.now()
                        self.admission.first_token(attempt)
                    attempt.add(text)
                case upstream_port.End():
                    if item.total != attempt.total:
                        # Resuming adds at the end and can't mend this.
                        raise errors.OutcomeUnknown(
                            f"The answer has {item.total} characters and"
                            f" {attempt.total} came."
                        )
                    return item
        raise errors.StreamClosed("The engine's stream has no end.")


class ToolRunner:
    """Forwards requests to a plain service."""

    def __init__(
        self,
        service: upstream_port.PlainService,
        reporter: sidecar_commit.Reporter,
        timers: timers_port.Timers,
        load: LoadSource,
    ) -> None:
        self.service = service
        self.reporter = reporter
        self.timers = timers
        self.load = load

    def call(
        self, attempt: sidecar_attempts.Attempt, suspect: bool
    ) -> calls.Call:
        """Returns the attempt as the queue's decisions see it."""
        return sidecar_gate.tool_call(attempt, suspect)

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Notes nothing: a service holds nothing for a program."""

    def tells(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Tells that every answer of a service counts."""
        return True

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Leaves it: a request that a service has begun can't be stopped."""
        return False

    def run(
        self, attempt: sidecar_attempts.Attempt, answered: Answered
    ) -> None:
        """Forwards the request once and commits the answer.

        Args:
            attempt: The attempt.
            answered: Called once the service has answered.

        Raises:
            errors.NoUpstream: Nothing was delivered to the service.
            errors.OutcomeUnknown: It was delivered and no answer came.
        """
        asked = attempt.message
        try:
            reply = self.service.send(
                asked.method,
                asked.path,
                asked.headers,
                asked.body,
                max(0.001, attempt.until - self.timers.now()),
            )
        except (errors.StreamClosed, errors.StreamTimeout) as error:
            raise errors.OutcomeUnknown(error.detail) from error
        answered()
        if asked.attempt:
            answer = msgpack.packb(list(reply), use_bin_type=True)
            self.reporter.finish(attempt, answer, identities.Usage())
        attempt.end(
            call_messages.ToolAnswer(
                asked.attempt,
                reply.status,
                reply.headers,
                reply.body,
                self.load(),
            )
        )


def assistant_message(text: str) -> str:
    """Returns the JSON text of an assistant message."""
    return msgspec.json.encode({"role": "assistant", "content": text}).decode()
