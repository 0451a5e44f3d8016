"""A model of the control leader, which commits the start and end of turns."""

from typing import Any

import simpy

from mintcleat.decisions import control_outage
from mintcleat.decisions import shared_load
from mintcleat.domain import program_messages

# Time of one commit, including the round trip from the entry.
COMMIT_SECONDS = 0.004
_RETRY_SECONDS = 0.02


class NoLeader(Exception):
    """There was no leader for longer than entries wait for one."""


class Control:
    """The control leader.

    Attributes:
        outage_until: Time until which there is no leader.
        entry_loads: What the entries have running; a new leader starts
            without any reports.
    """

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.outage_until = 0.0
        self.entry_loads = shared_load.EntryLoads()

    def fail(self, seconds: float) -> None:
        """Stops the leader; a new one takes over after `seconds`."""
        self.outage_until = self.env.now + seconds
        self.entry_loads = shared_load.EntryLoads()

    def commit(self, running: program_messages.RunningCounts) -> Any:
        """Commits one request; returns what the other entries have running.

        Raises:
            NoLeader: There was no leader for longer than entries wait.
        """
        started = self.env.now
        while self.env.now < self.outage_until:
            if self.env.now - started > control_outage.ELECTION_SECONDS:
                raise NoLeader
            yield self.env.timeout(_RETRY_SECONDS)
        yield self.env.timeout(COMMIT_SECONDS)
        now = self.env.now
        self.entry_loads.report(running.entry, running.by_upstream, now)
        return self.entry_loads.others(running.entry)
