"""Runs single attempts at a model engine or a plain service."""

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
from mintcleat.roles.sidecar import admission as sidecar_admission
from mintcleat.roles.sidecar import attempts as sidecar_attempts
from mintcleat.roles.sidecar import commit as sidecar_commit
from mintcleat.roles.sidecar import history as sidecar_history
from mintcleat.roles.sidecar import memory as sidecar_memory

# Attempts in a row to resume a stream that deliver no text.
_MAX_RESUMES = 5
_RESUME_DELAY = 0.1
_CANCELLED = "cancelled"
_BATCH_PRIORITY = 1
_CONNECTION_LOST = (errors.StreamClosed, errors.StreamTimeout)

LoadSource = Callable[[], call_messages.LoadReport]
OnAnswered = Callable[[], None]


class TurnRunner:
    """Runs chat turns at a model engine."""

    def __init__(
        self,
        engine: upstream_port.ModelEngine,
        histories: sidecar_history.Histories,
        cache_manager: sidecar_memory.CacheManager,
        reporter: sidecar_commit.OutcomeReporter,
        timers: timers_port.Timers,
        load: LoadSource,
        admission: sidecar_admission.Admission,
    ) -> None:
        self.engine = engine
        self.histories = histories
        self.cache_manager = cache_manager
        self.reporter = reporter
        self.timers = timers
        self.load = load
        self.admission = admission

    def describe(
        self, attempt: sidecar_attempts.Attempt, suspect: bool
    ) -> calls.Call:
        """Returns the description of the attempt for the queue."""
        resident = self.cache_manager.called(attempt.program)
        typical = self.admission.typical_answer_tokens(attempt.message.agent)
        return sidecar_admission.turn_call(attempt, resident, typical, suspect)

    def run(
        self, attempt: sidecar_attempts.Attempt, on_answered: OnAnswered
    ) -> None:
        """Runs the attempt to its end and commits the answer.

        Args:
            attempt: The attempt.
            on_answered: Called once the engine has finished the call.

        Raises:
            errors.NoUpstream: The call did not reach the engine.
            errors.MintcleatError: The call reached the engine and failed.
        """
        request = attempt.message
        self.cache_manager.prepare(request.program)
        call = upstream_port.EngineCall(
            attempt.request_id,
            request.program,
            attempt.prompt,
            request.parameters,
            _BATCH_PRIORITY if request.klass == calls.BATCH else 0,
            request.software,
        )
        end = self._read_answer(attempt, call)
        attempt.usage = end.usage
        on_answered()
        if end.reason == _CANCELLED:
            raise attempt.cancelled or errors.OutcomeUnknown(
                "The engine cancelled the call."
            )
        answer = assistant_message("".join(attempt.chunks))
        if request.attempt:
            self._commit(attempt, answer, end.usage)
        attempt.end(
            call_messages.AttemptFinished(
                request.attempt,
                attempt.total,
                answer,
                end.reason,
                end.usage,
                self.load(),
            )
        )

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Records that the attempt is not run here."""
        self.cache_manager.refused(attempt.program)

    def has_pace(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Returns whether the answer is a sample of the engine's pace.

        The pace is the time per token after the first one. An answer of one
        token would count as a pace of zero, the best ever, against which
        every later answer looks like an overload.
        """
        return attempt.usage.completion_tokens > 1

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Cancels the call at the engine, which then ends its stream."""
        try:
            self.engine.cancel(attempt.request_id)
        except errors.MintcleatError as error:
            logger.warning(
                "Could not cancel {} at the engine: {}",
                attempt.request_id,
                error.detail,
            )
            return False
        return True

    def _commit(
        self,
        attempt: sidecar_attempts.Attempt,
        answer: str,
        usage: identities.Usage,
    ) -> None:
        request = attempt.message
        self.reporter.finish(attempt, answer.encode(), usage)
        if not request.program:
            return
        added = [*request.messages, answer]
        self.histories.finish(
            request.program, request.base_turn, request.base_digest, added
        )
        tokens = usage.prompt_tokens + usage.completion_tokens
        served = request.attained + usage.completion_tokens
        program_usage = sidecar_memory.ProgramUsage(
            request.agent, served, request.base_turn + 1
        )
        self.cache_manager.record_usage(request.program, program_usage)
        self.cache_manager.pause(request.program, request.agent, tokens)

    def _read_answer(
        self,
        attempt: sidecar_attempts.Attempt,
        call: upstream_port.EngineCall,
    ) -> upstream_port.End:
        """Reads the whole answer and resumes the stream if it is lost.

        Only the first request may fail with `not_run`. After it, the engine
        has the call, whatever the outcome of a later error is.
        """
        try:
            return self._read_stream(attempt, self.engine.run(call))
        except _CONNECTION_LOST as error:
            cause = error
        tries = 0
        while tries < _MAX_RESUMES and attempt.cancelled is None:
            before = attempt.total
            self.timers.sleep(_RESUME_DELAY)
            try:
                stream = self.engine.resume(attempt.request_id, attempt.total)
                return self._read_stream(attempt, stream)
            except _CONNECTION_LOST as error:
                cause = error
            except (errors.NoUpstream, errors.UpstreamFailed) as error:
                # The engine is down, or no longer has this stream.
                cause = error
                break
            tries = 0 if attempt.total > before else tries + 1
        raise errors.OutcomeUnknown(
            f"The engine's stream was lost and not resumed: {cause.detail}"
        ) from cause

    def _read_stream(
        self,
        attempt: sidecar_attempts.Attempt,
        stream: Iterator[upstream_port.TextChunk | upstream_port.End],
    ) -> upstream_port.End:
        """Appends a stream's text to the attempt and returns its end.

        Raises:
            errors.OutcomeUnknown: Part of the answer is missing.
            errors.OtherSoftware: Part of it was made by other software.
            errors.StreamClosed: The stream ended before the answer did.
        """
        for item in stream:
            match item:
                case upstream_port.TextChunk(text, software):
                    if not attempt.first_text_at:
                        attempt.first_text_at = self.timers.now()
                        self.admission.first_token(attempt)
                    attempt.add(text, software)
                case upstream_port.End():
                    if item.total != attempt.total:
                        # Resuming appends at the end, so it can't fill the gap.
                        raise errors.OutcomeUnknown(
                            f"The engine's answer has {item.total} characters,"
                            f" but {attempt.total} were received."
                        )
                    return item
        raise errors.StreamClosed(
            "The engine's stream ended without an end message."
        )


class ToolRunner:
    """Forwards requests to a plain service."""

    def __init__(
        self,
        service: upstream_port.PlainService,
        reporter: sidecar_commit.OutcomeReporter,
        timers: timers_port.Timers,
        load: LoadSource,
    ) -> None:
        self.service = service
        self.reporter = reporter
        self.timers = timers
        self.load = load

    def describe(
        self, attempt: sidecar_attempts.Attempt, suspect: bool
    ) -> calls.Call:
        """Returns the description of the attempt for the queue."""
        return sidecar_admission.tool_call(attempt, suspect)

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Does nothing: a plain service caches nothing for a program."""

    def has_pace(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Returns True: every answer of a service is a sample."""
        return True

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Returns False: a plain service can't cancel a request."""
        return False

    def run(
        self, attempt: sidecar_attempts.Attempt, on_answered: OnAnswered
    ) -> None:
        """Forwards the request once and commits the answer.

        Args:
            attempt: The attempt.
            on_answered: Called once the service has answered.

        Raises:
            errors.NoUpstream: The request did not reach the service.
            errors.OutcomeUnknown: It was delivered but not answered.
        """
        request = attempt.message
        try:
            reply = self.service.send(
                request.method,
                request.path,
                request.headers,
                request.body,
                max(0.001, attempt.deadline_at - self.timers.now()),
            )
        except (errors.StreamClosed, errors.StreamTimeout) as error:
            raise errors.OutcomeUnknown(error.detail) from error
        on_answered()
        if request.attempt:
            answer = msgpack.packb(list(reply), use_bin_type=True)
            self.reporter.finish(attempt, answer, identities.Usage())
        attempt.end(
            call_messages.ToolAnswer(
                request.attempt,
                reply.status,
                reply.headers,
                reply.body,
                self.load(),
            )
        )


def assistant_message(text: str) -> str:
    """Returns the JSON text of an assistant message."""
    return msgspec.json.encode({"role": "assistant", "content": text}).decode()
