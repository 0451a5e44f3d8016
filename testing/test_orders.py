"""A sidecar carries out each order once, and never after a newer one."""

from collections.abc import Callable

import testtools

from mintcleat.adapters import timers
from mintcleat.configuration import fencing
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.roles import orders

NODE = identities.Incarnation("sidecar-1", 7)


class UnfencedEngine:
    """An engine that ignores fencing tokens and carries out every order."""

    def __init__(self) -> None:
        self.model = "old"
        self.taken: list[int] = []
        self.held: list[bool] = []
        self.calls = 0
        self.during: Callable[[], None] = lambda: None

    def pause_admission(self, held: bool) -> None:
        """Records whether new work is held."""
        self.held.append(held)

    def is_busy(self) -> bool:
        """Returns whether calls are running; each check ends one of them."""
        self.calls -= 1
        return self.calls >= 0

    def execute_order(self, number: int, action: str, model: str) -> None:
        """Loads the model."""
        self.taken.append(number)
        self.model = model
        self.during()


class Replies:
    """An exchange that records what was sent."""

    peer = "control"

    def __init__(self) -> None:
        self.sent: list[identities.Done] = []

    def send(self, message: identities.Done) -> None:
        """Records a reply."""
        self.sent.append(message)


def order(number: int, model: str) -> config_messages.Order:
    return config_messages.Order(NODE, number, "load", model)


class ReceiverTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = UnfencedEngine()
        self.committed = 0
        self.receiver = self.start()

    def start(self) -> orders.OrderReceiver:
        return orders.OrderReceiver(
            NODE, self.engine, timers.VirtualTimers(), lambda: self.committed
        )

    def give(self, number: int, model: str) -> None:
        replies = Replies()
        self.receiver.handle(replies, order(number, model))
        self.assertEqual([identities.Done(model)], replies.sent)

    def test_order_of_a_replaced_leader_is_refused(self) -> None:
        """The order of a replaced leader arrives after its successor's.

        As the engine ignores fencing tokens, it would load v1 although v2 was
        pushed last.
        """
        self.give(6, "v2")
        self.assertRaises(errors.FencedOff, self.give, 5, "v1")
        self.assertEqual("v2", self.engine.model)

    def test_old_order_is_refused_after_a_restart_of_the_sidecar(self) -> None:
        """The sidecar loses the highest token, then an old order arrives.

        It must read the highest committed token, 6, first. Otherwise order 5
        of a replaced leader would undo order 6.
        """
        self.give(6, "v2")
        self.committed = 6
        self.receiver = self.start()
        self.assertRaises(errors.FencedOff, self.give, 5, "v1")
        self.assertEqual("v2", self.engine.model)

    def test_no_order_passes_while_the_token_cannot_be_read(self) -> None:
        """Control is unreachable when the first order arrives."""

        def cut_off() -> int:
            raise errors.ControlUnavailable("No leader.")

        self.receiver.read_fencing_token = cut_off
        self.assertRaises(errors.ControlUnavailable, self.give, 9, "v2")
        self.assertEqual([], self.engine.taken)

    def test_repeated_order_is_carried_out_once(self) -> None:
        """The leader didn't get the answer and sends the order again."""
        self.give(3, "v1")
        self.give(3, "v1")
        self.assertEqual([3], self.engine.taken)

    def test_order_waits_for_running_calls_and_holds_new_ones(self) -> None:
        self.engine.calls = 3
        self.give(3, "v1")
        self.assertEqual([True, False], self.engine.held)
        self.assertEqual([3], self.engine.taken)

    def test_waiting_order_is_dropped_when_a_newer_one_arrives(self) -> None:
        """Order 5 arrives while order 4 waits for running calls to end.

        Order 4 would load a version for minutes that the manifest no longer
        asks for.
        """
        busy = self.engine.is_busy

        def is_busy() -> bool:
            self.receiver.gate.admit(5)
            return busy()

        self.engine.is_busy = is_busy
        self.assertRaises(errors.FencedOff, self.give, 4, "v1")
        self.assertEqual([], self.engine.taken)
        self.assertEqual([True, False], self.engine.held)

    def test_failed_order_may_be_sent_again(self) -> None:
        def fail() -> None:
            self.engine.during = lambda: None
            raise errors.UpstreamFailed("No memory.")

        self.engine.during = fail
        self.assertRaises(errors.UpstreamFailed, self.give, 3, "v1")
        self.give(3, "v1")
        self.assertEqual([3, 3], self.engine.taken)

    def test_order_for_another_incarnation_is_refused(self) -> None:
        other = order(9, "v2")._replace(sidecar=NODE._replace(epoch=6))
        self.assertRaises(
            errors.FencedOff, self.receiver.handle, Replies(), other
        )


class GateTest(testtools.TestCase):
    def test_order_with_the_learned_token_is_admitted(self) -> None:
        gate = fencing.FencingGate()
        gate.learn(4)
        self.assertTrue(gate.admit(4))
        self.assertRaises(errors.FencedOff, gate.admit, 3)

    def test_gate_admits_nothing_before_it_learned_a_token(self) -> None:
        self.assertRaises(errors.FencedOff, fencing.FencingGate().admit, 1)
