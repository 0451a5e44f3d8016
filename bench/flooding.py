"""Flooding of versioned documents between peers, against relaying.

    python bench/flooding.py

A model in virtual time, not a measurement of sockets: a message takes
HOP_SECONDS on the way and CPU_SECONDS of its receiver and of its sender, and
a node handles one message at a time. Flooding follows the rules of "Network
Service Interface Discovery Service" (GWD, OGF 2014): a node passes a version
that it sees for the first time on to every peer but the one it came from,
and drops a version that it has. Relaying is what mintcleat does: the leader
sends to the relays, each relay to its nodes.
"""

import pathlib
import random
import sys
from typing import NamedTuple

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

import fire

from mintcleat.adapters import timers

# Between failure domains of the two deployments: 0.5 and 1.5 ms.
HOP_SECONDS = 0.001
# Half of the 73 us that a round trip of one message costs on loopback.
CPU_SECONDS = 37e-6
# One changed section with its envelope.
DOCUMENT_BYTES = 300
SEED = 7
# A sidecar's announcement is renewed this often.
RENEW_SECONDS = 1.0
LOST_SHARE = 0.05


class Result(NamedTuple):
    """Costs of one change; `reached` is the share of the live nodes."""

    messages: int
    last: float
    most: int
    reached: float


class Network:
    """Nodes that send, with a queue at each node's processor."""

    def __init__(self, lost: set[int]) -> None:
        self.timers = timers.VirtualTimers(0.0)
        self.lost = lost
        self.busy: dict[int, float] = {}
        self.messages = 0
        self.handled: dict[int, int] = {}
        self.first: dict[int, float] = {}
        self.peers: dict[int, list[int]] = {}

    def begin(self, node: int) -> None:
        """The change is accepted at a node."""
        self.first[node] = 0.0
        self._spread(node, -1)

    def result(self, size: int) -> Result:
        """Runs to the end; returns the costs."""
        self.timers.advance(60.0)
        live = size - sum(1 for node in self.lost if node < size)
        reached = [at for node, at in self.first.items() if node < size]
        return Result(
            self.messages,
            max(reached),
            max(self.handled.values()),
            len(reached) / live,
        )

    def _spread(self, node: int, origin: int) -> None:
        for peer in self.peers.get(node, []):
            if peer != origin:
                self._send(node, peer)

    def _send(self, node: int, peer: int) -> None:
        self.messages += 1
        sent = self._use(node)
        if peer not in self.lost:
            wait = sent + HOP_SECONDS - self.timers.now()
            self.timers.after(wait, lambda: self._arrive(node, peer))

    def _arrive(self, node: int, peer: int) -> None:
        done = self._use(peer)
        if peer in self.first:
            return
        self.first[peer] = done
        self.timers.after(
            done - self.timers.now(), lambda: self._spread(peer, node)
        )

    def _use(self, node: int) -> float:
        """Takes the node's processor for one message; returns the end."""
        begin = max(self.timers.now(), self.busy.get(node, 0.0))
        self.busy[node] = begin + CPU_SECONDS
        self.handled[node] = self.handled.get(node, 0) + 1
        return self.busy[node]


def flood(size: int, degree: int, lost: set[int]) -> Result:
    """Floods over a random graph of the mean degree."""
    chance = random.Random(SEED)
    network = Network(lost)
    edges: set[tuple[int, int]] = set()
    for node in range(size):
        for _ in range(degree // 2):
            peer = chance.randrange(size)
            if peer != node:
                edges.add((min(node, peer), max(node, peer)))
    for one, other in sorted(edges):
        network.peers.setdefault(one, []).append(other)
        network.peers.setdefault(other, []).append(one)
    network.begin(0)
    return network.result(size)


def relay(size: int, control: int, lost: set[int]) -> Result:
    """Relays from a leader over `control - 1` relays, which serve nodes too.

    The nodes of a lost relay have moved to another one by then.
    """
    network = Network(lost)
    leader = size
    relays = list(range(size + 1, size + control))
    network.peers[leader] = list(relays)
    hubs = [leader, *relays]
    for node in range(size):
        hub = hubs[node % len(hubs)]
        network.peers.setdefault(hub, []).append(node)
    network.begin(leader)
    return network.result(size)


def run() -> None:
    """Prints the comparison."""
    print(
        "nodes  way              messages  per node  bytes    last ms"
        "  busiest node  reached  reached, 5% lost  renewals/s"
    )
    for size in (10, 100, 300, 1000):
        chance = random.Random(SEED + size)
        count = int(size * LOST_SHARE)
        lost = set(chance.sample(range(1, size), count))
        ways = {
            "flood, degree 4": lambda n, gone: flood(n, 4, gone),
            "flood, degree 8": lambda n, gone: flood(n, 8, gone),
            "relay, 3 control": lambda n, gone: relay(n, 3, gone),
            "relay, 21 control": lambda n, gone: relay(n, 21, gone),
        }
        for name, way in ways.items():
            whole = way(size, set())
            hurt = way(size, lost)
            # A flooded announcement is a document that every node must get
            # again before it expires; a relayed one is renewed at one
            # control instance and travels only when it changes.
            renewals = size * (whole.messages if "flood" in name else 1)
            print(
                f"{size:5}  {name:17}{whole.messages:8}"
                f"  {whole.messages / size:8.2f}"
                f"  {whole.messages * DOCUMENT_BYTES:8}"
                f"  {whole.last * 1000:7.2f}  {whole.most:12}"
                f"  {whole.reached:7.3f}  {hurt.reached:16.3f}"
                f"  {renewals / RENEW_SECONDS:10.0f}"
            )


if __name__ == "__main__":
    fire.Fire(run)
