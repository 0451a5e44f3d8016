"""Which control instance a node follows, simulated without a network."""

from typing import Any

import pytest
from testing.fakes import waiting_clock
import testtools
from testtools import matchers

from mintcleat.configuration import lease
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.roles.control.configuration import stream as config_stream

MOVE_AFTER = 0.6


class Node:
    """A `config_stream.Owner` that applies every revision it receives."""

    def __init__(
        self, instance: str, revision: int, clock: waiting_clock.Clock
    ) -> None:
        self.clock = clock
        self.lease = lease.Lease()
        self.revision = revision
        self.node = identities.Incarnation(instance, 1)
        self.tried: list[str] = []

    def select_address(self, attempt: int) -> str:
        address = ("a", "b", "c")[attempt % 3]
        self.tried.append(address)
        return address

    def follow_request(self) -> config_messages.FollowConfiguration:
        return config_messages.FollowConfiguration(
            self.node, "entry", "zone", "", self.revision, 0
        )

    def applied_revision(self) -> int:
        return self.revision

    def next_announcements(self, first: bool) -> list[Any]:
        return []

    def handle_message(self, message: int) -> None:
        self.revision = message


class Instances:
    """Streams to three control instances, of which only `c` ever serves.

    Attributes:
        serves_at: Time from which `c` serves.
        transfer: Seconds that a configuration takes to arrive.
    """

    def __init__(
        self, clock: waiting_clock.Clock, serves_at: float, transfer: float
    ) -> None:
        self.clock = clock
        self.serves_at = serves_at
        self.transfer = transfer
        self.stream: config_stream.ConfigStream | None = None

    def open(self, address: str, message: Any) -> "Exchange":
        return Exchange(self, address)


class RenewedNode(Node):
    """A node whose updates carry the time at which they were sent."""

    def handle_message(self, message: float) -> None:
        self.lease.echo = max(self.lease.echo, message)


class Renewals:
    """Streams of an instance that sends a renewal each 0.2 s.

    The node stands still while the fourth one waits to be read.

    Attributes:
        opened: Addresses to which streams were opened.
    """

    def __init__(self, clock: waiting_clock.Clock) -> None:
        self.clock = clock
        self.opened: list[str] = []
        self.stream: config_stream.ConfigStream | None = None
        self.count = 0

    def open(self, address: str, message: Any) -> "Renewals":
        self.opened.append(address)
        return self

    def receive(self, timeout: float) -> float:
        self.count += 1
        if self.count > 8:
            self.stream.stop()
            raise errors.StreamClosed("The end.")
        self.clock.sleep(0.2)
        sent = self.clock.now() - 0.01
        if self.count == 4:
            self.clock.sleep(MOVE_AFTER + 0.1)
        return sent

    def send(self, message: Any) -> None:
        pass

    def close(self) -> None:
        pass


class Exchange:
    """A stream to one instance."""

    def __init__(self, instances: Instances, address: str) -> None:
        self.instances = instances
        self.address = address
        self.opened = instances.clock.now()

    def receive(self, timeout: float) -> int:
        instances = self.instances
        arrives = max(self.opened, instances.serves_at) + instances.transfer
        due = arrives - instances.clock.now()
        if self.address == "c" and due <= timeout:
            instances.clock.sleep(max(0.0, due))
            instances.stream.stop()
            return 7
        instances.clock.sleep(timeout)
        raise errors.StreamTimeout("No message arrived in time.")

    def send(self, message: Any) -> None:
        """Ignores a report."""

    def close(self) -> None:
        """Ends the stream."""


def run_until_configured(
    revision: int,
    serves_at: float = 0.0,
    transfer: float = 0.01,
    instance: str = "e1",
) -> tuple[float, Node]:
    """Runs a node until it has a configuration; returns the time and it."""
    clock = waiting_clock.Clock()
    instances = Instances(clock, serves_at, transfer)
    node = Node(instance, revision, clock)
    stream = config_stream.ConfigStream(
        node, instances, clock, move_after=MOVE_AFTER
    )
    instances.stream = stream
    stream._run()
    return clock.now(), node


class FirstConfigurationTest(testtools.TestCase):
    """All processes restart together, and one control instance lost its disk.

    An entry without a configuration refuses its callers. At the empty control
    instance it would wait in vain, while another instance leads and could
    serve it.
    """

    def test_started_node_skips_empty_instances_quickly(self) -> None:
        # It takes 1.4 s if a node without a configuration waits at each
        # instance as long as one that has a configuration.
        took, node = run_until_configured(revision=0)
        self.assertEqual(["a", "b", "c"], node.tried)
        self.assertThat(took, matchers.LessThan(0.8))

    def test_started_nodes_find_a_new_leader_quickly(self) -> None:
        # Mean of 40 entries in seconds after the election. It is 0.77 and 0.47
        # if they wait at each instance as long as configured nodes do.
        for elected in (0.6, 0.9):
            took = [
                run_until_configured(0, serves_at=elected, instance=f"e{n}")[0]
                - elected
                for n in range(40)
            ]
            mean = sum(took) / len(took)
            self.assertThat(mean, matchers.LessThan(0.35))

    def test_slow_transfer_of_a_configuration_completes(self) -> None:
        took, node = run_until_configured(revision=0, transfer=0.55)
        self.assertEqual(7, node.revision)
        self.assertThat(took, matchers.LessThan(6.0))

    def test_node_returns_to_the_instance_that_it_skipped(self) -> None:
        # Otherwise all nodes that started together would stay with the leader,
        # which would serve the load that several instances should share.
        due = []
        for number in range(20):
            _, node = run_until_configured(revision=0, instance=f"e{number}")
            due += [at for at, _ in node.clock.due]
        self.assertEqual(20, len(due))
        self.assertTrue(1.0 < min(due) < max(due) < 4.0, due)
        self.assertThat(max(due) - min(due), matchers.GreaterThan(1.0))

    def test_node_that_skipped_no_instance_stays(self) -> None:
        _, node = run_until_configured(revision=3)
        self.assertEqual([], node.clock.due)

    def test_configured_node_waits_before_it_moves(self) -> None:
        # Hundreds of nodes that reconnect often would slow a failover down.
        took, _ = run_until_configured(revision=3)
        self.assertThat(took, matchers.GreaterThan(2 * MOVE_AFTER))

    @pytest.mark.known_red
    def test_node_that_stood_still_stays_at_an_instance_that_renews(
        self,
    ) -> None:
        clock = waiting_clock.Clock()
        node = RenewedNode("e1", 3, clock)
        renewals = Renewals(clock)
        stream = config_stream.ConfigStream(
            node, renewals, clock, move_after=MOVE_AFTER
        )
        renewals.stream = stream
        stream._run()
        self.assertEqual(["a"], renewals.opened)
