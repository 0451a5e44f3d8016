"""Compares flooding of versioned documents between peers with relaying.

    python bench/flooding.py

This is a model in virtual time, not a measurement of sockets: a message takes
HOP_SECONDS in the network and CPU_SECONDS each at its sender and its receiver,
and a node handles one message at a time. Flooding follows the rules of
"Network Service Interface Discovery Service" (GWD, OGF 2014): a node passes a
version that it sees for the first time on to every peer but the one it came
from, and drops a version that it already has. Relaying is what mintcleat does:
the leader sends to the relays, each relay to its nodes.
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
# One changed section of a manifest with its envelope.
DOCUMENT_BYTES = 300
SEED = 7
# Interval at which a sidecar renews its announcement.
RENEWAL_SECONDS = 1.0
# Fraction of the nodes that fail in the column `reached, 5% lost`.
FAILED_FRACTION = 0.05


class Result(NamedTuple):
    """Costs of spreading one change.

    Attributes:
        messages: Messages sent, lost ones included.
        last_seconds: When the last node received the change.
        max_handled: Messages that the busiest node sent and received.
        reached: Fraction of the live nodes that received the change.
    """

    messages: int
    last_seconds: float
    max_handled: int
    reached: float


class Network:
    """Nodes that pass on a change, each with one processor.

    Attributes:
        failed: Nodes that receive nothing.
        busy_until: When a node's processor is free again.
        received_at: When a node received the change.
        peers: Nodes to which a node passes the change on.
    """

    def __init__(self, failed: set[int]) -> None:
        self.timers = timers.VirtualTimers(0.0)
        self.failed = failed
        self.busy_until: dict[int, float] = {}
        self.messages = 0
        self.handled_count: dict[int, int] = {}
        self.received_at: dict[int, float] = {}
        self.peers: dict[int, list[int]] = {}

    def publish(self, node: int) -> None:
        """Publishes the change at a node."""
        self.received_at[node] = 0.0
        self._spread(node, -1)

    def result(self, size: int) -> Result:
        """Runs to the end; returns the costs.

        Args:
            size: Number of nodes; nodes from this number on are control
                instances and count only as senders.
        """
        self.timers.advance(60.0)
        live = size - sum(1 for node in self.failed if node < size)
        reached = [at for node, at in self.received_at.items() if node < size]
        return Result(
            self.messages,
            max(reached),
            max(self.handled_count.values()),
            len(reached) / live,
        )

    def _spread(self, node: int, origin: int) -> None:
        for peer in self.peers.get(node, []):
            if peer != origin:
                self._send(node, peer)

    def _send(self, node: int, peer: int) -> None:
        self.messages += 1
        sent = self._occupy(node)
        if peer not in self.failed:
            wait = sent + HOP_SECONDS - self.timers.now()
            self.timers.after(wait, lambda: self._arrive(node, peer))

    def _arrive(self, node: int, peer: int) -> None:
        done = self._occupy(peer)
        if peer in self.received_at:
            return
        self.received_at[peer] = done
        self.timers.after(
            done - self.timers.now(), lambda: self._spread(peer, node)
        )

    def _occupy(self, node: int) -> float:
        """Occupies the processor for one message; returns when that ends."""
        start = max(self.timers.now(), self.busy_until.get(node, 0.0))
        self.busy_until[node] = start + CPU_SECONDS
        self.handled_count[node] = self.handled_count.get(node, 0) + 1
        return self.busy_until[node]


def flood(size: int, degree: int, failed: set[int]) -> Result:
    """Floods from node 0 over a random graph with the mean degree."""
    rng = random.Random(SEED)
    network = Network(failed)
    edges: set[tuple[int, int]] = set()
    for node in range(size):
        for _ in range(degree // 2):
            peer = rng.randrange(size)
            if peer != node:
                edges.add((min(node, peer), max(node, peer)))
    for one, other in sorted(edges):
        network.peers.setdefault(one, []).append(other)
        network.peers.setdefault(other, []).append(one)
    network.publish(0)
    return network.result(size)


def relay(size: int, control: int, failed: set[int]) -> Result:
    """Relays from a leader and `control - 1` relays, all of which serve nodes.

    No relay fails here: the nodes of a failed one have already moved to
    another.
    """
    network = Network(failed)
    leader = size
    relays = list(range(size + 1, size + control))
    network.peers[leader] = list(relays)
    senders = [leader, *relays]
    for node in range(size):
        sender = senders[node % len(senders)]
        network.peers.setdefault(sender, []).append(node)
    network.publish(leader)
    return network.result(size)


def run() -> None:
    """Prints the costs of each scheme by number of nodes."""
    print(
        "nodes  way              messages  per node  bytes    last ms"
        "  busiest node  reached  reached, 5% lost  renewals/s"
    )
    for size in (10, 100, 300, 1000):
        rng = random.Random(SEED + size)
        count = int(size * FAILED_FRACTION)
        failed = set(rng.sample(range(1, size), count))
        schemes = {
            "flood, degree 4": lambda n, down: flood(n, 4, down),
            "flood, degree 8": lambda n, down: flood(n, 8, down),
            "relay, 3 control": lambda n, down: relay(n, 3, down),
            "relay, 21 control": lambda n, down: relay(n, 21, down),
        }
        for name, run_scheme in schemes.items():
            healthy = run_scheme(size, set())
            degraded = run_scheme(size, failed)
            # A flooded announcement must reach every node again before it
            # expires; a relayed one is renewed at one control instance and is
            # sent on only when it changes.
            renewals = size * (healthy.messages if "flood" in name else 1)
            print(
                f"{size:5}  {name:17}{healthy.messages:8}"
                f"  {healthy.messages / size:8.2f}"
                f"  {healthy.messages * DOCUMENT_BYTES:8}"
                f"  {healthy.last_seconds * 1000:7.2f}"
                f"  {healthy.max_handled:12}"
                f"  {healthy.reached:7.3f}  {degraded.reached:16.3f}"
                f"  {renewals / RENEWAL_SECONDS:10.0f}"
            )


if __name__ == "__main__":
    fire.Fire(run)
