"""The replicated log of one instance: joins consensus, disk and streams."""

from typing import Any
from typing import NamedTuple

from eventlet import event
from eventlet import timeout as eventlet_timeout
import msgpack

from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.ports import log
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports


class Member(NamedTuple):
    """A control instance as the settings describe it."""

    instance: str
    address: str
    failure_domain: str
    region: str


class Options(NamedTuple):
    """Times in seconds."""

    heartbeat: float = 0.1
    election: float = 0.5


class GroupLog:
    """See `ports.log.ReplicatedLog`."""

    def __init__(
        self,
        node: messages.Incarnation,
        address: str,
        members: list[Member],
        wal: wal_ports.WriteAheadLog,
        groups: list[str],
        *,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        options: Options | None = None,
    ) -> None:
        self.node = node
        self.address = address
        self.members = members
        self.wal = wal
        self.names = groups
        self.streams = streams
        self.timers = timers
        self.options = options or Options()
        self.machines: dict[str, log.StateMachine] = {}
        self.last = dict.fromkeys(groups, 0)
        self.waiting: list[tuple[str, int, bytes, event.Event]] = []
        self.running = False

    def attach(self, group: str, machine: log.StateMachine) -> None:
        """Registers the machine of a group, before `start`."""
        self.machines[group] = machine

    def start(self) -> None:
        """Recovers from disk."""
        for record in self.wal.open(self.node).records:
            group, index, command = msgpack.unpackb(record)
            self.last[group] = index
            self.machines[group].apply(index, command)
        self.running = True

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        """Commits a command and returns what `apply` returned for it."""
        if not self.running:
            raise errors.NotLeader("")
        done = event.Event()
        self.last[group] += 1
        index = self.last[group]
        self.wal.append([msgpack.packb([group, index, command])])
        if not self.waiting:
            self.timers.spawn(self._flush)
        self.waiting.append((group, index, command, done))
        try:
            with eventlet_timeout.Timeout(timeout):
                result = done.wait()
        except eventlet_timeout.Timeout:
            raise errors.ProposalLost("No commit in time.") from None
        if isinstance(result, errors.MintcleatError):
            raise result
        return result

    def barrier(self, group: str, timeout: float) -> None:
        """Returns at once: one member has applied all it committed."""
        if not self.running:
            raise errors.NotLeader("")

    def leader(self, group: str) -> str:
        """Returns the leader's stream address."""
        return self.address

    def leads(self, group: str) -> bool:
        """Tells whether this replica leads."""
        return self.running

    def groups(self) -> list[str]:
        """Returns the names of all groups."""
        return list(self.names)

    def hand_over(self, timeout: float) -> None:
        """Does nothing: there is nobody to hand over to."""

    def stop(self) -> None:
        """Syncs and closes."""
        self.running = False
        self.wal.close()

    def _flush(self) -> None:
        batch, self.waiting = self.waiting, []
        try:
            self.wal.sync()
        except errors.StorageFailed as error:
            self.running = False
            for *_, done in batch:
                done.send_exception(error)
            raise
        for group, index, command, done in batch:
            done.send(self.machines[group].apply(index, command))
