"""Pushes, leases and members over real streams and a log in memory."""

from collections.abc import Callable

import eventlet
from testing.fakes import log as fake_log
import testtools

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import messages
from mintcleat.roles import config_service
from mintcleat.roles import follower

PATIENCE = 20.0


def text_of(version: str) -> str:
    service = manifest.Service(kind="model", model="m", version=version)
    return manifest.render(manifest.Manifest(services={"chat": service}))


def push(expected: int, version: str, operator: str) -> messages.PushManifest:
    return messages.PushManifest(
        expected,
        f"{operator}-{expected}-{version}",
        text_of(version),
        operator,
        "test",
    )


class Cluster:
    """Control instances and nodes on loopback, in one process."""

    def __init__(self, case: testtools.TestCase, size: int) -> None:
        self.case = case
        self.timers = timers.EventletTimers()
        self.log = fake_log.Cluster()
        self.control = [self._control(f"control-{n}") for n in range(size)]
        self.log.elect(self.control[0].address)

    def _control(self, name: str) -> config_service.ConfigService:
        listener = streams.TcpStreams("127.0.0.1:0")
        self.case.addCleanup(listener.stop)
        service = config_service.ConfigService(
            messages.Incarnation(name, 1),
            "fd-1",
            listener.address,
            log=fake_log.MemoryLog(self.log, listener.address),
            streams=listener,
            timers=self.timers,
        )
        service.start()
        self.case.addCleanup(service.stop)
        return service

    def node(
        self, name: str, epoch: int = 1, announcer: follower.Announcer = None
    ) -> follower.Follower:
        listener = streams.TcpStreams("127.0.0.1:0")
        self.case.addCleanup(listener.stop)
        node = follower.Follower(
            messages.Incarnation(name, epoch),
            "entry",
            "fd-1",
            listener.address,
            streams=listener,
            timers=self.timers,
            control_addresses=[item.address for item in self.control],
            announcer=announcer,
        )
        node.start()
        self.case.addCleanup(node.stop)
        return node

    def until(self, condition: Callable[[], bool]) -> None:
        with eventlet.Timeout(PATIENCE):
            while not condition():
                eventlet.sleep(0.02)


class PushTest(testtools.TestCase):
    def test_accepted_push_is_in_force_at_every_node(self) -> None:
        cluster = Cluster(self, 3)
        nodes = [cluster.node(f"entry-{n}") for n in range(4)]
        answer = cluster.control[1].ask(push(0, "1", "anna"))
        self.assertEqual(1, answer.revision)
        cluster.until(lambda: all(node.revision() == 1 for node in nodes))
        cluster.until(lambda: all(node.in_lease() for node in nodes))
        service = nodes[0].manifest().services["chat"]
        self.assertEqual("1", service.version)
        shown = cluster.control[2].ask(messages.ShowInstances())
        entries = [item for item in shown.nodes if item.role == "entry"]
        self.assertEqual([1] * 4, [item.revision for item in entries])
        self.assertTrue(all(item.lease > 0 for item in entries))

    def test_equal_numbers_at_two_instances_have_one_winner(self) -> None:
        """Two operators push over the same revision at two instances.

        One is told the new revision. The other is refused, and told who won
        with which push, so that he can fetch, merge and push again.
        """
        cluster = Cluster(self, 3)
        cluster.control[1].ask(push(0, "1", "anna"))
        error = self.assertRaises(
            errors.RevisionConflict,
            cluster.control[2].ask,
            push(0, "2", "bert"),
        )
        self.assertIn("anna won revision 1", error.detail)
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_resend_gets_its_first_answer_after_failover(self) -> None:
        """The leader commits a push; the operator never gets the answer.

        Another push follows, then the leader is lost. The operator resends
        to the new leader and is told the revision that his push became.
        """
        cluster = Cluster(self, 3)
        cluster.control[0].ask(push(0, "1", "anna"))
        cluster.control[0].ask(push(1, "2", "bert"))
        cluster.log.elect(cluster.control[1].address)
        again = cluster.control[2].ask(push(0, "1", "anna"))
        self.assertEqual(1, again.revision)
        view = cluster.control[2].ask(messages.ReadManifest())
        self.assertEqual(2, view.revision)

    def test_lost_answer_is_retried_to_the_same_revision(self) -> None:
        """The commit happens and its answer is lost inside control.

        The service asks again with the same id; the caller sees revision 1.
        """
        cluster = Cluster(self, 1)
        cluster.until(cluster.control[0].leads)
        cluster.log.lose_next = 1
        answer = cluster.control[0].ask(push(0, "1", "anna"))
        self.assertEqual(1, answer.revision)
