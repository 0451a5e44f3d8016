"""Dependencies that all routed requests of one entry share."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from mintcleat.configuration import directory as directory_module
from mintcleat.decisions import answer_memory
from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import event_ids
from mintcleat.ports import directory as directory_port
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import crash_watch
from mintcleat.roles.entry import end_confirmation
from mintcleat.roles.entry import fair_turns
from mintcleat.roles.entry import process_stop
from mintcleat.roles.entry import stream_backup
from mintcleat.roles.entry import stream_origins
from mintcleat.roles.entry import stream_watch
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads


class Configuration(
    directory_port.Directory, crash_watch.Configuration, Protocol
):
    """The followed configuration, as routed requests need it.

    Attributes:
        registered: Upstreams that registered themselves.
    """

    registered: directory_module.Directory

    def lease_left(self) -> float:
        """Returns the seconds left of the configuration lease."""

    def ask(
        self, message: Any, timeout: float, try_timeout: float = ...
    ) -> Any:
        """Sends a request to the config leader and returns its reply."""

    def key_seconds(self) -> float:
        """Returns the seconds for which keys may still be accepted."""

    def known_until(self) -> float:
        """Returns the time up to which all accepted pushes are applied."""

    def push_propagation_seconds(self) -> float:
        """Returns the seconds in which a connected node gets every push."""


class EntryContext(NamedTuple):
    """Dependencies that all requests of one entry share.

    Attributes:
        configuration: Configuration that this process follows.
        upstreams: Client for requests to upstreams.
        loads: Load and health of the upstreams.
        turns: Client of the leaders that keep turns and budgets.
        attempt_timeouts: Timeouts of attempts of repeatable requests.
        streams: Streams that may continue at another upstream.
        backups: Chooses the upstreams for backups of streams.
        crashes: Finds and refuses requests that crash upstreams.
        ends: Confirms ends of answers that nothing marks.
        origins: Finds and records which software began a stream.
        stop: Planned stop of this process.
        memory: Account of what the requests hold of their answers.
        fair_turns: Delays answers that arrive at full speed.
        stream_ids: How the ids of each software's streams follow one another.
    """

    configuration: Configuration
    upstreams: forwarding.UpstreamClient
    loads: upstream_loads.UpstreamLoads
    turns: turn_client.TurnClient
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    attempt_timeouts: attempt_timeout.AttemptTimeouts
    streams: stream_watch.StreamWatch
    backups: stream_backup.StreamBackups
    crashes: crash_watch.CrashWatch
    ends: end_confirmation.EndConfirmation
    origins: stream_origins.StreamOrigins
    stop: process_stop.ProcessStop
    memory: answer_memory.AnswerMemory
    fair_turns: fair_turns.FairTurns
    stream_ids: event_ids.KnownStreamIds
