"""Takes an attempt through admission, the upstream and the commit."""

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
        """Returns the description of the attempt for the queue."""

    def run(
        self,
        attempt: sidecar_attempts.Attempt,
        on_answered: Callable[[], None],
    ) -> None:
        """Runs the attempt, commits its answer and sets its outcome.

        Calls `on_answered` once the upstream has finished with it.
        """

    def refused(self, attempt: sidecar_attempts.Attempt) -> None:
        """Records that the attempt is not run here."""

    def has_pace(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Returns whether the answer is a sample of the upstream's pace."""

    def cancel(self, attempt: sidecar_attempts.Attempt) -> bool:
        """Cancels a running attempt; returns whether that was possible."""


class Executor:
    """Runs attempts and gives each one an outcome, also after a failure.

    Attributes:
        unnumbered: Unfinished attempts without a number. They are not in the
            table, since no caller can attach to them.
        deadlines: Deadline, request id and attempt of each running attempt.
            One timer per attempt would stay until the deadline, long after
            most attempts have ended.
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

    def in_flight(self) -> list[sidecar_attempts.Attempt]:
        """Returns the attempts without an outcome."""
        return [*self.table.in_flight(), *self.unnumbered]

    def cancel(
        self,
        attempt: sidecar_attempts.Attempt,
        error: errors.MintcleatError,
    ) -> None:
        """Cancels an attempt that is queued or running."""
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
        """Cancels attempts past their deadline; call it several times a second.

        It also refuses queued attempts that can't meet their deadline any more.
        """
        self.admission.expire()
        now = self.timers.now()
        for deadline_at, _, attempt in list(self.deadlines):
            if deadline_at > now:
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
            # Whatever the request contains, its caller must get an answer.
            logger.exception("Attempt {} can't be queued", attempt.request_id)
            self._end_refused(
                attempt,
                errors.BadRequest(f"The request can't be queued: {error!r}."),
            )
            return
        # No other green thread runs between the return of `enter` and this
        # line. A seal comes either before, and `enter` raises, or later.
        attempt.state = sidecar_attempts.RUNNING
        attempt.started_at = self.timers.now()
        entry = (attempt.deadline_at, attempt.request_id, attempt)
        self.deadlines.add(entry)
        self.crashes.begin(attempt.request_id, digest)
        try:
            self.runner.run(attempt, lambda: self._answered(attempt))
            self._conclude(attempt, sidecar_attempts.RAN)
            self.count("answered", "")
        except errors.NoUpstream as error:
            if attempt.slot_released:
                # The upstream had answered; the commit raised this.
                self._end_failed(attempt, error)
            else:
                self._end_refused(attempt, error)
        except errors.OtherSoftware as error:
            # The engine works; it is not asked to go on.
            self._release_slot(attempt, None)
            self._end_failed(attempt, error)
        except errors.MintcleatError as error:
            if error.outcome == errors.UNKNOWN:
                self._report_crash(attempt)
            self._end_failed(attempt, error)
        except Exception:
            logger.exception("Attempt {} failed", attempt.request_id)
            self._end_failed(
                attempt,
                errors.OutcomeUnknown("The sidecar failed during the call."),
            )
        finally:
            self.deadlines.remove(entry)
            self._release_slot(attempt, None)

    def _report_crash(self, attempt: sidecar_attempts.Attempt) -> None:
        """Reports a crash of the upstream if that ended the attempt."""
        if attempt.cancelled is None and not attempt.slot_released:
            self.crashes.connection_lost(attempt.request_id)
            self._release_slot(attempt, self._measure(attempt, ok=False))

    def _answered(self, attempt: sidecar_attempts.Attempt) -> None:
        """Frees the slot once the upstream has finished with the attempt."""
        outcome = None
        if attempt.cancelled is None and self.runner.has_pace(attempt):
            outcome = self._measure(attempt, ok=True)
        self._release_slot(attempt, outcome)

    def _release_slot(
        self,
        attempt: sidecar_attempts.Attempt,
        outcome: calls.Outcome | None,
    ) -> None:
        """Frees the attempt's slot at the upstream, if not done already.

        This comes before the commit: otherwise finished calls would block an
        idle upstream while control elects a leader. Cancelled calls and those
        that never reached the upstream have no outcome, since they are no
        sample of its pace.
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
        """Ends an attempt that did not run.

        It is sealed first, so that no later copy of the request runs.
        """
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
        """Ends an attempt that ran, or may have run, without an answer."""
        self.count("broken", error.kind)
        failure = error.failure()
        if failure.outcome == errors.NOT_RUN:
            failure = failure._replace(outcome=errors.UNKNOWN)
        failed = call_messages.AttemptFailed(attempt.number, failure)
        final = failure.outcome == errors.RAN
        state = sidecar_attempts.RAN if final else sidecar_attempts.UNKNOWN
        if attempt.message.idempotent and not final:
            # A retry is safe, so the caller need not wait for the commit.
            self._conclude(attempt, state)
            attempt.end(failed)
            self._settle(attempt, failure)
            return
        self._settle(attempt, failure)
        self._conclude(attempt, state)
        attempt.end(failed)

    def _settle(
        self, attempt: sidecar_attempts.Attempt, failure: errors.Failure
    ) -> None:
        """Commits the outcome, so that a resent call gets it from the group."""
        if not attempt.number:
            return
        try:
            self.reporter.settle(attempt, failure.outcome, failure)
        except errors.MintcleatError as error:
            logger.warning(
                "The outcome of a call of {} is not committed: {}",
                attempt.scope,
                error.detail,
            )

    def _conclude(self, attempt: sidecar_attempts.Attempt, state: str) -> None:
        attempt.state = sidecar_attempts.ENDED
        self.unnumbered.discard(attempt)
        if attempt.number:
            self.table.conclude(attempt.scope, attempt.number, state)


def _deadline_exceeded() -> errors.MintcleatError:
    return errors.DeadlineUnmet(
        "The deadline passed while the call ran.",
        outcome=errors.UNKNOWN,
        remedy="Send the call again with the same key.",
    )
