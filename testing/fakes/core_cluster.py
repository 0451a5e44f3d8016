"""A cluster of consensus core instances in virtual time, with its checks."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

from mintcleat.consensus import instance
from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import records
from mintcleat.consensus import types
from mintcleat.domain import identities

GROUPS = ["g", "h"]
NAMES = ["c1", "c2", "c3", "s1"]
SETTINGS = types.Settings(
    resend=0.3,
    snapshot_resend=1.0,
    hello=0.5,
    replace_after=3.0,
    balance_after=4.0,
    promote_lag=20,
    batch_entries=4,
    max_in_flight=4,
)
# Entries applied after a snapshot until the next one is taken.
SNAPSHOT_ENTRIES = 12
# Entries that compaction keeps below a snapshot.
KEPT_ENTRIES = 4
KEPT_BYTES = 1 << 20


class Fault(AssertionError):
    """A guarantee of the consensus core was violated."""


class Node:
    """One instance: its disk, its clock and its process.

    Attributes:
        rate: Rate of its clock; 1.0 is exact.
        offset: Its clock's time at the start of the cluster, in seconds.
        epoch: Number of its process starts.
        identity: Incarnation of its disk; epoch 0 for an unformatted one.
        synced: Records in its write-ahead log.
        snapshots: Stored state by group and index.
        core: Its process; None while it is down.
        machines: By group, the commands applied to its state machine.
        stalled_until: Virtual time until which the process makes no progress.
        crash_in_next_write: Whether power fails in the next write of
            records.
    """

    def __init__(self, name: str, cluster: "Cluster") -> None:
        self.name = name
        self.cluster = cluster
        rng = cluster.rng
        self.rate = 1.0 + rng.uniform(-1, 1) * SETTINGS.clock_drift
        self.offset = rng.uniform(0, 1000)
        self.epoch = 0
        self.identity = identities.Incarnation(name, 0)
        self.synced: list[bytes] = []
        self.snapshots: dict[tuple[str, int], bytes] = {}
        self.core: instance.Instance | None = None
        self.machines: dict[str, list[bytes]] = {}
        self.stalled_until = 0.0
        self.crash_in_next_write = False

    def now(self) -> float:
        return self.offset + self.cluster.time * self.rate

    def empty_disk(self) -> None:
        self.synced = []
        self.snapshots = {}
        self.identity = identities.Incarnation(self.name, 0)

    def start(self) -> None:
        self.epoch += 1
        if self.identity.epoch == 0:
            fenced = self.cluster.incarnations
            self.identity = identities.Incarnation(
                self.name, self.epoch if fenced else 1
            )
        stored = records.replay(self.synced)
        self.core = instance.Instance(
            self.identity,
            self.epoch,
            self.cluster.settings,
            self.cluster.rng.random,
            GROUPS,
            members=self.cluster.members,
            stored=stored,
            now=self.now(),
        )
        self.machines = {}
        for group, replica in self.core.replicas.items():
            index = replica.state.applied
            state = self.snapshots.get((group, index), b"")
            self.machines[group] = _restore(state)

    def crash(self) -> None:
        self.core = None
        self.cluster.drop_proposals(self.name)

    def work(self) -> None:
        """Carries out effects in the same order as the real driver."""
        while self.core is not None:
            core = self.core
            core.flush(self.now())
            if core.outbox.is_empty():
                return
            self._store(core.outbox.take())

    def _store(self, effects: outbox.Outbox) -> None:
        core = self.core
        for item in effects.installs:
            self.snapshots[item.group, item.snapshot.index] = item.state
            self.machines[item.group] = _restore(item.state)
            core.replicas[item.group].on_restored(item.snapshot.index)
        self._send(effects.messages)
        if self.crash_in_next_write and effects.records:
            # Power fails during the write; a prefix of it may be on the disk.
            self.crash_in_next_write = False
            kept = self.cluster.rng.randrange(len(effects.records))
            self.synced.extend(effects.records[:kept])
            self.crash()
            return
        self.synced.extend(effects.records)
        core.on_synced(effects.stored)
        self._send(effects.messages_after_sync)
        for needed in effects.snapshots:
            state = self.snapshots[needed.group, needed.snapshot.index]
            message = wire.InstallSnapshot(
                needed.group, needed.term, needed.snapshot, state
            )
            self._send([outbox.OutgoingMessage(needed.to, message)])
            replica = core.replicas[needed.group]
            replica.snapshot_transfer_ended(needed.to, True, self.now())
        for group in sorted(effects.committed):
            self._apply(group)
        for ready in effects.reads:
            self.cluster.on_read(self, ready)

    def _apply(self, group: str) -> None:
        replica = self.core.replicas[group]
        for entry in replica.take_committed():
            self.cluster.on_apply(self, group, entry)
            if entry.kind == types.COMMAND:
                self.machines[group].append(entry.data)
        self.cluster.check_machine(self, group)
        state = replica.state
        if state.applied - state.snapshot.index >= SNAPSHOT_ENTRIES:
            snapshot = replica.snapshot_metadata()
            data = b",".join(self.machines[group])
            self.snapshots[group, snapshot.index] = data
            replica.compact(snapshot, KEPT_ENTRIES, KEPT_BYTES)

    def _send(self, outgoing: list[outbox.OutgoingMessage]) -> None:
        for item in outgoing:
            frame = wire.Frame(
                self.identity, self.name, item.to, [item.message]
            )
            self.cluster.send(self.name, item.to.instance, frame)


def _restore(state: bytes) -> list[bytes]:
    return state.split(b",") if state else []


class Cluster:
    """The nodes, the network, the clients and the checks.

    Attributes:
        incarnations: Whether a node with an emptied disk gets a new identity.
        blocked: Pairs of source and target whose frames are dropped.
        loss: Probability that a frame is lost.
        delay: Mean delay of a frame in seconds.
        duplicates: Probability that a frame is delivered twice.
        extra_delay: Additional delay by source and target, in seconds.
        history: By group and index, every entry that was applied.
        commands: By group, the committed commands in order.
        command_counts: By group and index, the number of commands up to it.
        leaders: By group and term, the replica that led.
        min_read_index: By group, the index that a new read must see.
        proposals: Term of a pending proposal by node, group and index.
        reads: Group and minimum index of a pending read by token.
        acknowledged_count: Number of acknowledged proposals.
        acknowledged_commands: By group, in order of acknowledgement.
    """

    def __init__(
        self,
        seed: int,
        safeguards: types.Safeguards | None = None,
        incarnations: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings = SETTINGS._replace(
            safeguards=safeguards or types.Safeguards()
        )
        self.incarnations = incarnations
        self.members = [
            types.Member(name, name, f"d{i}", "r")
            for i, name in enumerate(NAMES)
        ]
        self.time = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        self.blocked: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = 0.005
        self.duplicates = 0.0
        self.extra_delay: dict[tuple[str, str], float] = {}
        self.history: dict[str, dict[int, types.Entry]] = {
            group: {} for group in GROUPS
        }
        self.commands: dict[str, list[bytes]] = {g: [] for g in GROUPS}
        self.command_counts: dict[str, dict[int, int]] = {
            group: {0: 0} for group in GROUPS
        }
        self.leaders: dict[tuple[str, int], identities.Incarnation] = {}
        self.min_read_index = dict.fromkeys(GROUPS, 0)
        self.proposals: dict[tuple[str, str, int], int] = {}
        self.reads: dict[int, tuple[str, int]] = {}
        self.acknowledged_count = 0
        self.acknowledged_commands: dict[str, list[bytes]] = {
            g: [] for g in GROUPS
        }
        self.nodes = {name: Node(name, self) for name in NAMES}
        for node in self.nodes.values():
            node.start()
            self.after(self.rng.uniform(0, 0.05), lambda n=node: self._tick(n))

    # Scheduling and network.

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        entry = (self.time + seconds, next(self.counter), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self.queue and self.queue[0][0] <= end:
            self.time, _, action = heapq.heappop(self.queue)
            action()
        self.time = end

    def _tick(self, node: Node) -> None:
        self.after(0.05, lambda: self._tick(node))
        if node.core is None or node.stalled_until > self.time:
            return
        node.core.tick(node.now())
        node.work()
        self.check_leaders()

    def send(self, source: str, target: str, frame: wire.Frame) -> None:
        if (source, target) in self.blocked or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplicates else 1
        for _ in range(copies):
            delay = self.rng.expovariate(1 / self.delay)
            delay += self.extra_delay.get((source, target), 0.0)
            self.after(delay, lambda: self._deliver(target, frame))

    def _deliver(self, target: str, frame: wire.Frame) -> None:
        node = self.nodes[target]
        if node.core is None:
            return
        if node.stalled_until > self.time:
            wait = node.stalled_until - self.time
            self.after(wait, lambda: self._deliver(target, frame))
            return
        node.core.receive(frame, node.now())
        node.work()
        self.check_leaders()

    # Clients.

    def write(self, name: str, group: str, data: bytes) -> bool:
        node = self.nodes[name]
        if node.core is None or node.stalled_until > self.time:
            return False
        ticket = node.core.replicas[group].propose(data, node.now())
        if ticket is None:
            return False
        term, index = ticket
        self.proposals[name, group, index] = term
        node.work()
        return True

    def read(self, name: str, group: str) -> None:
        node = self.nodes[name]
        if node.core is None or node.stalled_until > self.time:
            return
        token = next(self.counter)
        self.reads[token] = (group, self.min_read_index[group])
        node.core.replicas[group].read(token, node.now())
        node.work()

    def leader(self, group: str = "g") -> Node:
        """Returns the leader with the highest term.

        Raises:
            Fault: No running node leads the group.
        """
        leading = [
            (node.core.replicas[group].state.term, node.name)
            for node in self.nodes.values()
            if node.core is not None
            and node.core.replicas[group].state.role == types.LEADER
        ]
        if not leading:
            raise Fault(f"group {group} has no leader")
        return self.nodes[max(leading)[1]]

    def voters(self, group: str = "g") -> list[Node]:
        """Returns the voters in the leader's configuration."""
        core = self.leader(group).core
        peers = core.replicas[group].state.configuration.voters
        return [self.nodes[peer.replica.instance] for peer in peers]

    def isolate(self, name: str) -> None:
        """Silently drops every frame from and to a node."""
        for other in NAMES:
            self.blocked |= {(name, other), (other, name)}

    def drop_proposals(self, name: str) -> None:
        for key in [key for key in self.proposals if key[0] == name]:
            del self.proposals[key]

    # Checks.

    def on_apply(self, node: Node, group: str, entry: types.Entry) -> None:
        known = self.history[group].setdefault(entry.index, entry)
        if known != entry:
            raise Fault(
                f"{node.identity} applied {entry}, but another node applied"
                f" {known}"
            )
        if entry.index not in self.command_counts[group]:
            if entry.kind == types.COMMAND:
                self.commands[group].append(entry.data)
            ends = self.command_counts[group]
            ends[entry.index] = len(self.commands[group])
        term = self.proposals.pop((node.name, group, entry.index), None)
        if term == entry.term:
            self.acknowledged_count += 1
            self.acknowledged_commands[group].append(entry.data)
            self.min_read_index[group] = max(
                self.min_read_index[group], entry.index
            )

    def check_machine(self, node: Node, group: str) -> None:
        applied = node.core.replicas[group].state.applied
        length = self.command_counts[group].get(applied)
        machine = node.machines[group]
        if length is None or machine != self.commands[group][:length]:
            raise Fault(
                f"state of {group} on {node.identity} is not a prefix of the"
                " committed commands"
            )

    def on_read(self, node: Node, ready: outbox.ReadReady) -> None:
        group, minimum = self.reads.pop(ready.token)
        if not ready.granted:
            return
        applied = node.core.replicas[group].state.applied
        if applied < ready.index:
            raise Fault(
                f"a read at index {ready.index} was granted when only"
                f" {applied} was applied"
            )
        if applied < minimum:
            raise Fault(
                f"stale read: {node.identity} reads index {applied}, expected"
                f" at least {minimum}"
            )
        self.min_read_index[group] = max(self.min_read_index[group], applied)

    def check_leaders(self) -> None:
        alive = [n for n in self.nodes.values() if n.core is not None]
        for group in GROUPS:
            leading = []
            for node in alive:
                replica = node.core.replicas[group]
                if replica.state.role == types.LEADER:
                    self._check_leader(group, replica.state)
                    leading.append(node)
            if len(leading) > 1:
                self._check_leases(group, leading)

    def _check_leases(self, group: str, leading: list[Node]) -> None:
        holders = [
            node.identity
            for node in leading
            if node.core.replicas[group].holds_lease(node.now())
        ]
        if len(holders) > 1:
            raise Fault(f"{holders} all hold the lease of {group}")

    def _check_leader(self, group: str, state: Any) -> None:
        known = self.leaders.setdefault((group, state.term), state.me)
        if known != state.me:
            raise Fault(
                f"{known} and {state.me} both lead in term {state.term}"
            )
        if state.commit >= state.term_start:
            return
        # A new leader must hold every entry that was applied before.
        log = state.log
        for index, entry in self.history[group].items():
            newer = entry.term > state.term
            if newer or index <= log.base_index:
                continue
            if log.term_at(index) != entry.term:
                raise Fault(
                    f"leader {state.me} lacks applied entry {index} of {group}"
                )
