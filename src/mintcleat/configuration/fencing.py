"""Rejects orders with an old fencing token, on behalf of one upstream."""

from mintcleat.domain import errors


class FencingGate:
    """Admits orders, except those older than one that was seen before.

    Some engines ignore fencing tokens, so the sidecar, which is the only
    path to its engine, checks them. A restart of the sidecar loses the highest
    token, and a delayed order of a replaced leader could then load an old
    version over the new one. So no order is admitted before `learn` is called
    with the highest token from a linearizable read.

    Attributes:
        highest: Highest token seen or learned; None before `learn`.
        finished: Highest token of the orders carried out here.
    """

    def __init__(self) -> None:
        self.highest: int | None = None
        self.finished = 0

    def learn(self, fencing_token: int) -> None:
        """Raises the lowest token that is admitted.

        Args:
            fencing_token: Highest committed token, from a linearizable read.
        """
        self.highest = max(self.highest or 0, fencing_token)

    def admit(self, fencing_token: int) -> bool:
        """Returns whether to carry out an order; False if it already was.

        Raises:
            errors.FencedOff: A newer order was seen, or `learn` wasn't called
                yet.
        """
        if self.highest is None:
            raise errors.FencedOff(
                "The sidecar hasn't read the highest fencing token yet.",
                remedy="The config leader sends the order again.",
            )
        if fencing_token < self.highest:
            raise errors.FencedOff(
                f"The order has the fencing token {fencing_token}; expected "
                f"at least {self.highest}, the highest known token."
            )
        self.highest = fencing_token
        return fencing_token > self.finished

    def is_current(self, fencing_token: int) -> bool:
        """Returns whether no newer order was admitted or learned since."""
        return fencing_token == self.highest

    def finish(self, fencing_token: int) -> None:
        """Records that an order was carried out."""
        self.finished = max(self.finished, fencing_token)
