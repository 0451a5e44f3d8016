"""A replicated log in memory with leadership controlled by the test."""

from collections.abc import Callable
from typing import Any

from mintcleat.domain import errors
from mintcleat.ports import log as log_ports


class Cluster:
    """The committed commands of each group, and the replicas.

    Attributes:
        commands: Committed commands by group.
        replicas: All replicas.
        leader: Stream address of the leader; empty for none.
        term: Number of elections.
        is_confirmed: Whether a majority has confirmed the leader's lease. It
            accepts proposals before.
        lag: Addresses of replicas that do not apply commands for now.
        lose_next: Number of next proposals that are committed but raise
            ProposalLost.
    """

    def __init__(self) -> None:
        self.commands: dict[str, list[bytes]] = {}
        self.replicas: list[MemoryLog] = []
        self.leader = ""
        self.term = 0
        self.is_confirmed = True
        self.lag: set[str] = set()
        self.lose_next = 0

    def elect(self, address: str, *, is_confirmed: bool = True) -> None:
        """Makes a replica the leader, once it has applied all commands."""
        self.lag.discard(address)
        for replica in self.replicas:
            if replica.address == address:
                replica.catch_up()
        self.leader = address
        self.term += 1
        self.is_confirmed = False
        if is_confirmed:
            self.confirm()

    def confirm(self) -> None:
        """Gives the elected leader its lease."""
        self.is_confirmed = True
        for replica in self.replicas:
            if replica.address == self.leader:
                for callback in replica.on_lead:
                    callback()

    def heal(self) -> None:
        """Lets all replicas apply all commands again."""
        self.lag.clear()
        for replica in self.replicas:
            replica.catch_up()


class MemoryLog:
    """The log of one instance; see `ports.log.ReplicatedLog`."""

    def __init__(self, cluster: Cluster, address: str) -> None:
        self.cluster = cluster
        self.address = address
        self.machines: dict[str, log_ports.StateMachine] = {}
        self.applied: dict[str, int] = {}
        self.results: dict[tuple[str, int], Any] = {}
        self.on_lead: list[Callable[[], None]] = []
        cluster.replicas.append(self)

    def attach(
        self,
        group: str,
        machine: log_ports.StateMachine,
        on_lead: Callable[[], None] | None = None,
    ) -> None:
        """Registers the state machine of a group."""
        self.machines[group] = machine
        self.applied[group] = 0
        if on_lead is not None:
            self.on_lead.append(on_lead)

    def start(self) -> None:
        """Applies the commands committed before."""
        self.catch_up()

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        """Commits a command immediately, if this replica is the leader."""
        if self.cluster.leader != self.address:
            raise errors.NotLeader(self.cluster.leader)
        commands = self.cluster.commands.setdefault(group, [])
        commands.append(command)
        for replica in self.cluster.replicas:
            if replica.address not in self.cluster.lag:
                replica.catch_up()
        if self.cluster.lose_next:
            self.cluster.lose_next -= 1
            raise errors.ProposalLost("The fake lost the answer.")
        result = self.results.pop((group, len(commands)))
        if isinstance(result, errors.MintcleatError):
            raise result
        return result

    def barrier(self, group: str, timeout: float) -> None:
        """Returns if this replica is the leader."""
        if not self.leads(group):
            raise errors.NotLeader(self.cluster.leader)

    def leader(self, group: str) -> str:
        """Returns the leader's address; empty on a lagging replica."""
        if self.address in self.cluster.lag:
            return ""
        return self.cluster.leader

    def leads(self, group: str) -> bool:
        """Returns whether this replica is the leader with a lease."""
        return self.cluster.is_confirmed and self.cluster.leader == self.address

    def position(self, group: str) -> log_ports.Position:
        """Returns the progress of this replica."""
        applied = self.applied.get(group, 0)
        left = 1.0 if self.leads(group) else 0.0
        return log_ports.Position(self.cluster.term, applied, applied, left)

    def holders(self, group: str, index: int) -> list[str]:
        """Returns the replicas that have applied an entry."""
        return [
            replica.address
            for replica in self.cluster.replicas
            if replica.applied.get(group, 0) >= index
        ]

    def groups(self) -> list[str]:
        """Returns the names of the groups."""
        return list(self.machines)

    def addresses(self) -> list[str]:
        """Returns the addresses of all replicas."""
        return [replica.address for replica in self.cluster.replicas]

    def live_instances(self) -> dict[str, str]:
        """Returns the replicas; their names are their addresses."""
        return dict.fromkeys(self.addresses(), "")

    def evacuate(self, instances: frozenset[str]) -> None:
        """Does nothing; there is one copy of the log."""

    def transfer_leadership(self, timeout: float) -> None:
        """Resigns as the leader."""
        if self.cluster.leader == self.address:
            self.cluster.leader = ""

    def stop(self) -> None:
        """Removes this replica from the cluster."""
        self.cluster.replicas.remove(self)

    def catch_up(self) -> None:
        """Applies all committed commands."""
        for group, machine in self.machines.items():
            commands = self.cluster.commands.get(group, [])
            while self.applied[group] < len(commands):
                index = self.applied[group] + 1
                self.applied[group] = index
                result = machine.apply(index, commands[index - 1])
                self.results[group, index] = result
