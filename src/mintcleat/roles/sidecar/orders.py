"""Execution of orders on the engine of a sidecar.

`roles.orders.OrderReceiver` decides whether and when to execute an order. This
module pauses the sidecar's admission meanwhile.
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
    """Implements `roles.orders.Upstream` for the engine of a sidecar.

    Attributes:
        in_flight: Returns the attempts that wait or run at the sidecar.
    """

    def __init__(
        self,
        engine: upstream_port.ModelEngine,
        monitor: sidecar_monitor.UpstreamMonitor,
        in_flight: Callable[[], list[Any]],
    ) -> None:
        self.engine = engine
        self.monitor = monitor
        self.in_flight = in_flight

    def pause_admission(self, paused: bool) -> None:
        """Refuses new work, or accepts it again."""
        if paused:
            self.monitor.begin_order()
        else:
            self.monitor.end_order()

    def is_busy(self) -> bool:
        """Returns whether calls wait or run."""
        return bool(self.in_flight())

    def execute_order(self, number: int, action: str, model: str) -> None:
        """Sends the order to the engine and waits until it is done."""
        self.engine.order(number, action, model)


def new_receiver(
    node: identities.Incarnation,
    target: OrderTarget,
    timers: timers_port.Timers,
    directory: membership_port.Membership,
) -> orders.OrderReceiver:
    """Returns the receiver of orders to the engine.

    It checks fencing tokens, since not every engine does. A restarted sidecar
    reads the highest committed token before its first order. Otherwise it
    would execute an order that was superseded while it was down.
    """

    def read_fencing_token() -> int:
        read = config_messages.ReadFencingToken(node.instance)
        return directory.ask(read, _READ_TIMEOUT).fencing_token

    return orders.OrderReceiver(node, target, timers, read_fencing_token)
