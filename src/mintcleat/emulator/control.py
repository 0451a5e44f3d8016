"""A model of the control leader, which commits the start and end of turns."""

import collections
from typing import Any

import simpy

from mintcleat.decisions import control_outage
from mintcleat.decisions import shared_load
from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

# Time of one commit, including the round trip from the entry.
COMMIT_SECONDS = 0.004
# Time of a round trip without a commit.
ANSWER_SECONDS = 0.002
_RETRY_SECONDS = 0.02


class NoLeader(Exception):
    """There was no leader for longer than entries wait for one."""


class Control:
    """The control leader.

    Attributes:
        outage_until: Time until which there is no leader.
        entry_loads: What the entries have running; a new leader starts
            without any reports.
        report_delay: Seconds by which reports are late.
        late_reports: Reports that have not arrived yet, with their times.
        schedule: Admission of turns; a new leader starts with an empty one.
            None if it is off.
    """

    def __init__(
        self,
        env: simpy.Environment,
        report_delay: float = 0.0,
        *,
        admission: bool = False,
    ) -> None:
        self.env = env
        self.report_delay = report_delay
        self.late_reports: collections.deque[
            tuple[float, program_messages.RunningCounts]
        ] = collections.deque()
        self.schedule = turn_admission.ServiceSchedule() if admission else None
        self.outage_until = 0.0
        self.entry_loads = shared_load.EntryLoads()

    def fail(self, seconds: float) -> None:
        """Stops the leader; a new one takes over after `seconds`."""
        self.outage_until = self.env.now + seconds
        self.entry_loads = shared_load.EntryLoads()
        if self.schedule is not None:
            self.schedule = turn_admission.ServiceSchedule()

    def ask(self, ask: turn_queue.Ask) -> Any:
        """Returns the decision on a turn.

        Raises:
            NoLeader: There was no leader for longer than entries wait.
        """
        yield from self._await_leader()
        yield self.env.timeout(ANSWER_SECONDS)
        assert self.schedule is not None
        return self.schedule.ask(ask, self.env.now)

    def release(self, key: turn_queue.TurnKey, tokens: int, ran: bool) -> Any:
        """Ends a granted turn as soon as there is a leader."""
        while self.env.now < self.outage_until:
            yield self.env.timeout(_RETRY_SECONDS)
        yield self.env.timeout(ANSWER_SECONDS)
        assert self.schedule is not None
        self.schedule.release(key, tokens, ran, self.env.now)

    def commit(self, running: program_messages.RunningCounts) -> Any:
        """Commits one request; returns what the other entries report.

        Raises:
            NoLeader: There was no leader for longer than entries wait.
        """
        yield from self._await_leader()
        yield self.env.timeout(COMMIT_SECONDS)
        now = self.env.now
        self.late_reports.append((now + self.report_delay, running))
        while self.late_reports and self.late_reports[0][0] <= now:
            _, report = self.late_reports.popleft()
            self.entry_loads.report(
                report.entry,
                report.by_upstream,
                now,
                report.tokens,
                report.slowdowns,
            )
        return self.entry_loads.summary(running.entry)

    def _await_leader(self) -> Any:
        started = self.env.now
        while self.env.now < self.outage_until:
            if self.env.now - started > control_outage.ELECTION_SECONDS:
                raise NoLeader
            yield self.env.timeout(_RETRY_SECONDS)
