"""Orders to the engine beside a sidecar: what the receiver needs of it.

`orders.OrderReceiver` decides whether and when an order is carried out; this
is how the sidecar holds its work meanwhile.
"""

from collections.abc import Callable
from typing import Any

from mintcleat.domain import config_messages
from mintcleat.domain import identities
from mintcleat.ports import membership as membership_port
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles import orders
from mintcleat.roles.sidecar import monitor as sidecar_monitor

_READ_TIMEOUT = 5.0


class OrderTarget:
    """See `orders.Upstream`.

    Attributes:
        under_way: Returns the attempts that wait or run here.
    """

    def __init__(
        self,
        engine: upstream_port.ModelEngine,
        monitor: sidecar_monitor.UpstreamMonitor,
        under_way: Callable[[], list[Any]],
    ) -> None:
        self.engine = engine
        self.monitor = monitor
        self.under_way = under_way

    def pause_admission(self, held: bool) -> None:
        """Refuses new work while an order is carried out, or takes it."""
        if held:
            self.monitor.begin_order()
        else:
            self.monitor.end_order()

    def is_busy(self) -> bool:
        """Tells whether calls are under way."""
        return bool(self.under_way())

    def execute_order(self, number: int, action: str, model: str) -> None:
        """Hands the order to the engine and waits for its end."""
        self.engine.order(number, action, model)


def new_receiver(
    node: identities.Incarnation,
    target: OrderTarget,
    timers: timers_port.Timers,
    directory: membership_port.Membership,
) -> orders.OrderReceiver:
    """Returns the gate for orders to one engine.

    Not every engine checks fencing numbers, so the check is here. A new life
    of a sidecar knows no number yet: before its first order it reads the
    highest committed one, or an order that was overtaken while it was down
    would still be carried out.
    """

    def read_fencing_token() -> int:
        read = config_messages.ReadFencingToken(node.instance)
        return directory.ask(read, _READ_TIMEOUT).fencing_token

    return orders.OrderReceiver(node, target, timers, read_fencing_token)
