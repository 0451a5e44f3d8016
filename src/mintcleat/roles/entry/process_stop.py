"""The planned stop of an entry, as its requests see it."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.decisions import stop_times
from mintcleat.domain import errors
from mintcleat.ports import timers as timer_ports

# Retry delay for callers that are refused: other entries serve at once.
RETRY_SECONDS = 0.1


class Run(Protocol):
    """The run of one request."""

    def has_begun(self) -> bool:
        """Returns whether the caller has the beginning of the response."""

    def waits_in_vain(self) -> bool:
        """Returns whether it has yet to be sent and no run fits any more."""

    def end(self) -> None:
        """Ends the run with its last answer, as the process ends."""


class ProcessStop:
    """The planned stop of this process; before it, all times are infinite.

    Attributes:
        times: Times of the stop.
        answer_times: Usual times of answers.
        runs: Requests that run.
    """

    def __init__(self, timers: timer_ports.Timers) -> None:
        self.timers = timers
        self.times = stop_times.StopTimes()
        self.answer_times = stop_times.AnswerTimes()
        self.runs: set[Run] = set()

    def begin(self, times: stop_times.StopTimes) -> None:
        """Begins the stop."""
        self.times = times

    def is_over(self) -> bool:
        """Returns whether the last answers must be sent now."""
        return self.timers.now() >= self.times.answers_by

    def refuse_waiting(self) -> None:
        """Refuses the requests that wait and can no longer run in time."""
        for run in self._running():
            if run.waits_in_vain():
                run.end()

    def end_unanswered(self) -> None:
        """Ends the runs whose callers have nothing of the response yet.

        They get a last answer. A caller that is told whether its request may
        have run knows what to do; one whose connection ends has to guess.
        """
        for run in self._running():
            if not run.has_begun():
                run.end()

    def end_all(self) -> None:
        """Ends all runs; responses that have begun break off."""
        for run in self._running():
            run.end()

    def _running(self) -> Iterator[Run]:
        """Yields the runs, without those that end while others are ended."""
        for run in list(self.runs):
            if run in self.runs:
                yield run

    def error(self) -> errors.Draining:
        """Returns the refusal of a request that was not sent."""
        return errors.Draining(
            "This entry is stopping and ends before the request could.",
            retry_after=RETRY_SECONDS,
        )
