"""Orders are carried out once, and never after a newer one."""

from collections.abc import Callable

import testtools

from mintcleat.adapters import timers
from mintcleat.configuration import fencing
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.roles import orders

NODE = identities.Incarnation("sidecar-1", 7)


class IgnorantEngine:
    """An engine that carries out whatever comes, old numbers too."""

    def __init__(self) -> None:
        self.model = "old"
        self.taken: list[int] = []
        self.held: list[bool] = []
        self.calls = 0
        self.during: Callable[[], None] = lambda: None

    def hold_work(self, held: bool) -> None:
        """Notes what new work was told."""
        self.held.append(held)

    def is_busy(self) -> bool:
        """Lets one call end at each look."""
        self.calls -= 1
        return self.calls >= 0

    def carry_out(self, number: int, action: str, model: str) -> None:
        """Loads the model."""
        self.taken.append(number)
        self.model = model
        self.during()


class Replies:
    """An exchange that keeps what was sent."""

    peer = "control"

    def __init__(self) -> None:
        self.sent: list[identities.Done] = []

    def send(self, message: identities.Done) -> None:
        """Keeps the reply."""
        self.sent.append(message)


def order(number: int, model: str) -> config_messages.Order:
    return config_messages.Order(NODE, number, "load", model)


class ReceiverTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = IgnorantEngine()
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

    def test_orders_of_two_leaders_crossing_end_in_the_newer(self) -> None:
        """A replaced leader's order arrives after its successor's.

        The engine ignores numbers. The operator, who pushed v2 last, would
        find v1 in force; the sidecar drops order 5 instead.
        """
        self.give(6, "v2")
        self.assertRaises(errors.FencedOff, self.give, 5, "v1")
        self.assertEqual("v2", self.engine.model)

    def test_old_order_is_dropped_after_a_restart_of_the_sidecar(self) -> None:
        """The sidecar forgets its numbers, then the old order arrives.

        It first reads the highest committed number, 6, so order 5 of the
        replaced leader does not undo what order 6 did.
        """
        self.give(6, "v2")
        self.committed = 6
        self.receiver = self.start()
        self.assertRaises(errors.FencedOff, self.give, 5, "v1")
        self.assertEqual("v2", self.engine.model)

    def test_no_order_passes_while_the_number_cannot_be_read(self) -> None:
        """Control is cut off when the first order arrives."""

        def cut_off() -> int:
            raise errors.ControlUnavailable("No leader.")

        self.receiver.read_fencing_token = cut_off
        self.assertRaises(errors.ControlUnavailable, self.give, 9, "v2")
        self.assertEqual([], self.engine.taken)

    def test_repeated_order_is_carried_out_once(self) -> None:
        """The leader loses the answer and sends the order again."""
        self.give(3, "v1")
        self.give(3, "v1")
        self.assertEqual([3], self.engine.taken)

    def test_order_waits_for_calls_under_way_and_lets_none_in(self) -> None:
        self.engine.calls = 3
        self.give(3, "v1")
        self.assertEqual([True, False], self.engine.held)
        self.assertEqual([3], self.engine.taken)

    def test_order_that_waited_is_dropped_for_a_newer_one(self) -> None:
        """Order 4 waits for calls to end while order 5 comes in.

        Carried out in the order of arrival, 4 would load a version that the
        manifest no longer wants, for minutes.
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
    def test_learned_number_itself_may_still_pass(self) -> None:
        gate = fencing.Gate()
        gate.learn(4)
        self.assertTrue(gate.admit(4))
        self.assertRaises(errors.FencedOff, gate.admit, 3)

    def test_unlearned_gate_lets_nothing_pass(self) -> None:
        self.assertRaises(errors.FencedOff, fencing.Gate().admit, 1)
