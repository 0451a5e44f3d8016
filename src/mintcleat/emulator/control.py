"""The leader that opens and records turns, as entries meet it."""

from typing import Any

import simpy

from mintcleat.decisions import control_outage
from mintcleat.decisions import shared_load
from mintcleat.domain import program_messages

# One commit and the way there and back, in seconds.
COMMIT = 0.004


class Outage(Exception):
    """No leader answered in time."""


class Control:
    """One leader; its successor knows nothing of entries' requests.

    Attributes:
        until: Time until which there is no leader.
    """

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.until = 0.0
        self.entry_loads = shared_load.EntryLoads()

    def lose(self, seconds: float) -> None:
        """Takes the leader away."""
        self.until = self.env.now + seconds
        self.entry_loads = shared_load.EntryLoads()

    def ask(self, running: program_messages.Running) -> Any:
        """Commits one request; returns what the other entries have running.

        Raises:
            Outage: There was no leader for longer than entries wait.
        """
        began = self.env.now
        while self.env.now < self.until:
            if self.env.now - began > control_outage.ELECTION_SECONDS:
                raise Outage
            yield self.env.timeout(0.02)
        yield self.env.timeout(COMMIT)
        now = self.env.now
        self.entry_loads.report(running.entry, running.by_upstream, now)
        return self.entry_loads.others(running.entry)
