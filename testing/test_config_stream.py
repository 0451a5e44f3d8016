"""Which control instance a node follows, played without a network."""

from typing import Any

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
    """A `config_stream.Owner` that applies what it is given."""

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
    """Streams to three control instances; `c` serves from a time on.

    A configuration takes `transfer` seconds to arrive.
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


class Exchange:
    """The stream to one instance."""

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
        raise errors.StreamTimeout("Nothing came.")

    def send(self, message: Any) -> None:
        """Takes a report."""

    def close(self) -> None:
        """Ends the stream."""


def play(
    revision: int,
    serves_at: float = 0.0,
    transfer: float = 0.01,
    instance: str = "e1",
) -> tuple[float, Node]:
    """Returns when a node has a configuration, and the node."""
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
    """All processes ended together; one control instance lost its disk.

    Callers' connections come to entries that know no configuration and refuse
    them. An entry that waits at the empty instance hears nothing there, while
    another instance leads and would serve it.
    """

    def test_started_node_passes_empty_instances_soon(self) -> None:
        # 1.4 s where it waits at each for as long as a node that can serve.
        took, node = play(revision=0)
        self.assertEqual(["a", "b", "c"], node.tried)
        self.assertThat(took, matchers.LessThan(0.8))

    def test_started_nodes_find_a_new_leader_soon(self) -> None:
        # Seconds after the election, mean of 40 entries: 0.77 and 0.47 where
        # each instance is waited for as by a node that can serve.
        for elected in (0.6, 0.9):
            took = [
                play(0, serves_at=elected, instance=f"e{n}")[0] - elected
                for n in range(40)
            ]
            mean = sum(took) / len(took)
            self.assertThat(mean, matchers.LessThan(0.35))

    def test_slow_configuration_arrives_all_the_same(self) -> None:
        took, node = play(revision=0, transfer=0.55)
        self.assertEqual(7, node.revision)
        self.assertThat(took, matchers.LessThan(6.0))

    def test_node_goes_back_to_the_instance_that_it_passed_over(self) -> None:
        # Started together, all nodes would stay with the leader, which then
        # serves what several instances share otherwise.
        due = []
        for number in range(20):
            _, node = play(revision=0, instance=f"e{number}")
            due += [at for at, _ in node.clock.due]
        self.assertEqual(20, len(due))
        self.assertTrue(1.0 < min(due) < max(due) < 4.0, due)
        self.assertThat(max(due) - min(due), matchers.GreaterThan(1.0))

    def test_node_that_passed_nothing_over_stays(self) -> None:
        _, node = play(revision=3)
        self.assertEqual([], node.clock.due)

    def test_node_that_can_serve_is_in_no_hurry(self) -> None:
        # Hundreds of nodes that hop through a failover would slow it down.
        took, _ = play(revision=3)
        self.assertThat(took, matchers.GreaterThan(2 * MOVE_AFTER))
