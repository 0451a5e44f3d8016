"""Instances of the consensus core in virtual time, and what must hold there."""

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
SNAPSHOT_EVERY = 12
KEEP = 4


class Fault(AssertionError):
    """A guarantee was broken."""


class Node:
    """One instance: its disk, its clock and its process."""

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
        self.tear_next = False

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
        self.cluster.lose_waiters(self.name)

    def work(self) -> None:
        """Carries out effects in the order that the real driver uses."""
        while self.core is not None:
            core = self.core
            core.flush(self.now())
            if core.outbox.is_empty():
                return
            self._store(core.outbox.take())

    def _store(self, box: outbox.Outbox) -> None:
        core = self.core
        for item in box.installs:
            self.snapshots[item.group, item.snapshot.index] = item.state
            self.machines[item.group] = _restore(item.state)
            core.replicas[item.group].on_restored(item.snapshot.index)
        self._send(box.messages)
        if self.tear_next and box.records:
            # Power fails in the write: an unsynced prefix may have landed.
            self.tear_next = False
            kept = self.cluster.rng.randrange(len(box.records))
            self.synced.extend(box.records[:kept])
            self.crash()
            return
        self.synced.extend(box.records)
        core.on_synced(box.stored)
        self._send(box.messages_after_sync)
        for needed in box.snapshots:
            state = self.snapshots[needed.group, needed.snapshot.index]
            message = wire.InstallSnapshot(
                needed.group, needed.term, needed.snapshot, state
            )
            self._send([outbox.OutgoingMessage(needed.to, message)])
            replica = core.replicas[needed.group]
            replica.snapshot_transfer_ended(needed.to, True, self.now())
        for group in sorted(box.committed):
            self._apply(group)
        for ready in box.reads:
            self.cluster.on_read(self, ready)

    def _apply(self, group: str) -> None:
        replica = self.core.replicas[group]
        for entry in replica.take_committed():
            self.cluster.on_apply(self, group, entry)
            if entry.kind == types.COMMAND:
                self.machines[group].append(entry.data)
        self.cluster.check_machine(self, group)
        state = replica.state
        if state.applied - state.snapshot.index >= SNAPSHOT_EVERY:
            mark = replica.snapshot_metadata()
            data = b",".join(self.machines[group])
            self.snapshots[group, mark.index] = data
            replica.compact(mark, KEEP)

    def _send(self, letters: list[outbox.OutgoingMessage]) -> None:
        for letter in letters:
            frame = wire.Frame(
                self.identity, self.name, letter.to, [letter.message]
            )
            self.cluster.send(self.name, letter.to.instance, frame)


def _restore(state: bytes) -> list[bytes]:
    return state.split(b",") if state else []


class Cluster:
    """The nodes, the network, the clients and the checks."""

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
        self.numbers = itertools.count()
        self.blocked: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = 0.005
        self.duplicates = 0.0
        self.extra_delay: dict[tuple[str, str], float] = {}
        self.history: dict[str, dict[int, types.Entry]] = {
            group: {} for group in GROUPS
        }
        self.commands: dict[str, list[bytes]] = {g: [] for g in GROUPS}
        self.command_ends: dict[str, dict[int, int]] = {
            group: {0: 0} for group in GROUPS
        }
        self.leaders: dict[tuple[str, int], identities.Incarnation] = {}
        self.floor = dict.fromkeys(GROUPS, 0)
        self.writes: dict[tuple[str, str, int], int] = {}
        self.reads: dict[int, tuple[str, int]] = {}
        self.acknowledged = 0
        self.answers: dict[str, list[bytes]] = {g: [] for g in GROUPS}
        self.nodes = {name: Node(name, self) for name in NAMES}
        for node in self.nodes.values():
            node.start()
            self.after(self.rng.uniform(0, 0.05), lambda n=node: self._tick(n))

    # Events.

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        entry = (self.time + seconds, next(self.numbers), action)
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
        self.writes[name, group, index] = term
        node.work()
        return True

    def read(self, name: str, group: str) -> None:
        node = self.nodes[name]
        if node.core is None or node.stalled_until > self.time:
            return
        token = next(self.numbers)
        self.reads[token] = (group, self.floor[group])
        node.core.replicas[group].read(token, node.now())
        node.work()

    def leader(self, group: str = "g") -> Node:
        """Returns the node that leads in the highest term."""
        leading = [
            (node.core.replicas[group].state.term, node.name)
            for node in self.nodes.values()
            if node.core is not None
            and node.core.replicas[group].state.role == types.LEADER
        ]
        if not leading:
            raise Fault(f"nobody leads {group}")
        return self.nodes[max(leading)[1]]

    def voters(self, group: str = "g") -> list[Node]:
        """Returns the nodes that vote, by the leader's configuration."""
        core = self.leader(group).core
        peers = core.replicas[group].state.configuration.voters
        return [self.nodes[peer.replica.instance] for peer in peers]

    def isolate(self, name: str) -> None:
        """Drops every frame from and to a node, without a word."""
        for other in NAMES:
            self.blocked |= {(name, other), (other, name)}

    def lose_waiters(self, name: str) -> None:
        for key in [key for key in self.writes if key[0] == name]:
            del self.writes[key]

    # Checks.

    def on_apply(self, node: Node, group: str, entry: types.Entry) -> None:
        known = self.history[group].setdefault(entry.index, entry)
        if known != entry:
            raise Fault(f"{node.identity} applies {entry}, others {known}")
        if entry.index not in self.command_ends[group]:
            if entry.kind == types.COMMAND:
                self.commands[group].append(entry.data)
            ends = self.command_ends[group]
            ends[entry.index] = len(self.commands[group])
        term = self.writes.pop((node.name, group, entry.index), None)
        if term == entry.term:
            self.acknowledged += 1
            self.answers[group].append(entry.data)
            self.floor[group] = max(self.floor[group], entry.index)

    def check_machine(self, node: Node, group: str) -> None:
        applied = node.core.replicas[group].state.applied
        length = self.command_ends[group].get(applied)
        machine = node.machines[group]
        if length is None or machine != self.commands[group][:length]:
            raise Fault(f"{node.identity}'s machine of {group} is no prefix")

    def on_read(self, node: Node, ready: outbox.ReadReady) -> None:
        group, floor = self.reads.pop(ready.token)
        if not ready.granted:
            return
        applied = node.core.replicas[group].state.applied
        if applied < ready.index:
            raise Fault("a read was granted before its index was applied")
        if applied < floor:
            raise Fault(f"{node.identity} reads {applied}, {floor} was seen")
        self.floor[group] = max(self.floor[group], applied)

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
            raise Fault(f"{known} and {state.me} lead in term {state.term}")
        if state.commit >= state.term_start:
            return
        # A new leader must hold every entry that was ever applied.
        log = state.log
        for index, entry in self.history[group].items():
            newer = entry.term > state.term
            if newer or index <= log.base_index:
                continue
            if log.term_at(index) != entry.term:
                raise Fault(f"leader {state.me} lost entry {index}")
