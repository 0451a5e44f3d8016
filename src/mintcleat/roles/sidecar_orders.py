"""Orders to the upstream, each under a fencing number."""

from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.ports import membership as membership_port
from mintcleat.ports import upstream as upstream_port

_READ_SECONDS = 5.0


class Orders:
    """The only path of orders to one upstream.

    Not every upstream checks fencing numbers, so the check is here. A new
    life of a sidecar knows no number yet: before its first order it reads
    the highest committed one, or an order that was overtaken while it was
    down would still be carried out.
    """

    def __init__(
        self,
        node: messages.Incarnation,
        engine: upstream_port.ModelEngine,
        directory: membership_port.Membership,
    ) -> None:
        self.node = node
        self.engine = engine
        self.directory = directory
        self.highest: int | None = None
        self.done = 0

    def carry_out(self, order: messages.Order) -> None:
        """Passes an order on; one that was done before changes nothing.

        Raises:
            errors.FencedOff: A newer order is known, or the order is for
                another incarnation.
            errors.MintcleatError: The upstream failed.
        """
        if order.sidecar != self.node:
            raise errors.FencedOff("The order is for another incarnation.")
        if self.highest is None:
            self.highest = self._read_highest()
        if order.fence < self.highest:
            raise errors.FencedOff(
                f"Order {order.fence} is older than {self.highest}."
            )
        if order.fence == self.done:
            return
        self.highest = order.fence
        self.engine.order(order.fence, order.action, order.model)
        self.done = max(self.done, order.fence)

    def _read_highest(self) -> int:
        read = messages.ReadFence(self.node.instance)
        return self.directory.ask(read, _READ_SECONDS).fence
