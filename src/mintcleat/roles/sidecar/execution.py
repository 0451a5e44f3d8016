"""Takes an attempt through the gate, the upstream and the commit."""

from collections.abc import Callable
from typing import Protocol

from loguru import logger
import sortedcontainers

from mintcleat.decisions import calls
from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.ports import timers as timers_port
from mintcleat.roles.sidecar import admission as sidecar_admission
from mintcleat.roles.sidecar import attempts as sidecar_attempts
from mintcleat.roles.sidecar import commit as sidecar_commit
from mintcleat.roles.sidecar import crashes as sidecar_crashes


class Runner(Protocol):
    """Runs admitted attempts at one kind of upstream."""

    def describe(
        self, attempt: sidecar_attempts.Attempt, suspect: bool
    ) -> calls.Call:
        """Returns the attempt as the queue's decisions see it."""

    def run(
        self,
        attempt: sidecar_attempts.Attempt,
        on_answered: Callable[[], None],
    ) -> None:
        """Runs the attempt and commits its answer; sets its outcome.

        Calls `on_answered` once the upstream is done with it.
        """

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Notes that the attempt is not run here."""

    def has_pace(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Tells whether the time of an answer says something of the pace."""

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Stops a running attempt; False when it can't be stopped."""


class Executor:
    """Runs attempts; whatever happens, each one gets an outcome.

    Attributes:
        unnumbered: Attempts without a number, which nobody can ask about.
        deadlines: Deadline, request id and attempt of all that run. A timer
            for each would stay until its deadline, long after most answers.
    """

    def __init__(
        self,
        runner: Runner,
        table: sidecar_attempts.AttemptTable,
        admission: sidecar_admission.Admission,
        crashes: sidecar_crashes.CrashReporter,
        reporter: sidecar_commit.OutcomeReporter,
        timers: timers_port.Timers,
        load: Callable[[], call_messages.LoadReport],
        count: Callable[[str, str], None],
    ) -> None:
        self.runner = runner
        self.table = table
        self.admission = admission
        self.crashes = crashes
        self.reporter = reporter
        self.timers = timers
        self.load = load
        self.count = count
        self.unnumbered: set[sidecar_attempts.Attempt] = set()
        self.deadlines: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )

    def start(self, attempt: sidecar_attempts.Attempt) -> None:
        """Registers the attempt and runs it in a green thread."""
        if attempt.number:
            self.table.add(attempt)
        else:
            self.unnumbered.add(attempt)
        self.timers.spawn(self._execute, attempt)

    def under_way(self) -> list[sidecar_attempts.Attempt]:
        """Returns the attempts without an outcome."""
        return [*self.table.under_way(), *self.unnumbered]

    def cancel(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        """Stops an attempt that waits or runs."""
        if attempt.outcome is not None or attempt.cancelled is not None:
            return
        match attempt.state:
            case sidecar_attempts.QUEUED:
                attempt.cancelled = error
                self._conclude(attempt, sidecar_attempts.NEVER)
                self.admission.cancel(attempt)
            case sidecar_attempts.RUNNING:
                attempt.cancelled = error
                self.timers.spawn(self.runner.cancel, attempt)

    def expire(self) -> None:
        """Stops what runs past its deadline; call it a few times a second."""
        self.admission.expire()
        now = self.timers.now()
        for until, _, attempt in list(self.deadlines):
            if until > now:
                return
            self.cancel(attempt, _deadline_exceeded())

    def _execute(self, attempt: sidecar_attempts.Attempt) -> None:
        digest = attempt.message.digest
        try:
            call = self.runner.describe(
                attempt, self.crashes.is_suspect(digest)
            )
            self.admission.enter(attempt, call)
        except errors.MintcleatError as error:
            self._end_refused(attempt, error)
            return
        except Exception as error:
            # Whatever a request holds, its caller must not wait for ever.
            logger.exception("An attempt can't be queued.")
            self._end_refused(attempt, errors.BadRequest(f"{error!r}."))
            return
        # No green thread runs between the gate's word and this line, so a
        # seal comes either before (and the gate raises) or after.
        attempt.state = sidecar_attempts.RUNNING
        attempt.started_at = self.timers.now()
        deadline = (attempt.deadline_at, attempt.request_id, attempt)
        self.deadlines.add(deadline)
        self.crashes.begin(attempt.request_id, digest)
        try:
            self.runner.run(attempt, lambda: self._answered(attempt))
            self._conclude(attempt, sidecar_attempts.RAN)
            self.count("answered", "")
        except errors.NoUpstream as error:
            if attempt.slot_released:
                # Not the upstream's word, which has answered.
                self._end_failed(attempt, error)
            else:
                self._end_refused(attempt, error)
        except errors.MintcleatError as error:
            if error.outcome == errors.UNKNOWN:
                self._report_crash(attempt)
            self._end_failed(attempt, error)
        except Exception:
            logger.exception("An attempt failed.")
            self._end_failed(
                attempt, errors.OutcomeUnknown("The sidecar failed.")
            )
        finally:
            self.deadlines.remove(deadline)
            self._release_slot(attempt, None)

    def _report_crash(self, attempt: sidecar_attempts.Attempt) -> None:
        """Reports a crash, if that is what broke the attempt."""
        if attempt.cancelled is None and not attempt.slot_released:
            self.crashes.connection_lost(attempt.request_id)
            self._release_slot(attempt, self._measure(attempt, ok=False))

    def _answered(self, attempt: sidecar_attempts.Attempt) -> None:
        """Notes that the upstream is done with the attempt."""
        outcome = None
        if attempt.cancelled is None and self.runner.has_pace(attempt):
            outcome = self._measure(attempt, ok=True)
        self._release_slot(attempt, outcome)

    def _release_slot(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: calls.Outcome | None,
    ) -> None:
        """Frees the upstream's place, once.

        The commit comes after: while control elects a leader, finished
        calls would otherwise keep an idle upstream from the next ones.
        Without an outcome nothing is learned: a cancelled call or one that
        never arrived says nothing of the upstream's pace.
        """
        if attempt.slot_released:
            return
        attempt.slot_released = True
        self.crashes.end(attempt.request_id)
        self.admission.leave(attempt, outcome)

    def _measure(
        self, attempt: sidecar_attempts.Attempt, ok: bool
    ) -> calls.Outcome:
        usage = attempt.usage
        return calls.Outcome(
            seconds=self.timers.now() - attempt.started_at,
            first_token=max(0.0, attempt.first_text_at - attempt.started_at),
            computed=usage.prompt_tokens - usage.cached_tokens,
            generated=usage.completion_tokens,
            ok=ok,
        )

    def _end_refused(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        """Seals first: "not run" must hold for every copy of the frame."""
        self._conclude(attempt, sidecar_attempts.NEVER)
        self.count("refused", error.kind)
        self.runner.refused(attempt)
        failure = error.failure()._replace(outcome=errors.NOT_RUN)
        attempt.end(
            call_messages.AttemptRefused(attempt.number, failure, self.load())
        )

    def _end_failed(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        self.count("broken", error.kind)
        failure = error.failure()
        if failure.outcome == errors.NOT_RUN:
            failure = failure._replace(outcome=errors.UNKNOWN)
        broken = call_messages.AttemptFailed(attempt.number, failure)
        final = failure.outcome == errors.RAN
        state = sidecar_attempts.RAN if final else sidecar_attempts.UNKNOWN
        if attempt.message.idempotent and not final:
            # The caller's retry need not wait for the commit.
            self._conclude(attempt, state)
            attempt.end(broken)
            self._settle(attempt, failure)
            return
        self._settle(attempt, failure)
        self._conclude(attempt, state)
        attempt.end(broken)

    def _settle(
        self, attempt: sidecar_attempts.Attempt, failure: errors.Failure
    ) -> None:
        """Tells the group, so that a resend finds the truth without us."""
        if not attempt.number:
            return
        try:
            self.reporter.settle(attempt, failure.outcome, failure)
        except errors.MintcleatError as error:
            logger.warning("{}: {}", attempt.scope, error.detail)

    def _conclude(self, attempt: sidecar_attempts.Attempt, state: str) -> None:
        attempt.state = sidecar_attempts.ENDED
        self.unnumbered.discard(attempt)
        if attempt.number:
            self.table.conclude(attempt.scope, attempt.number, state)


def _deadline_exceeded() -> errors.MintcleatError:
    return errors.DeadlineUnmet(
        "The deadline ended while the call ran.",
        outcome=errors.UNKNOWN,
        remedy="Send the call again with the same key.",
    )
