"""The gate before an upstream: which orders may still be carried out."""

from mintcleat.domain import errors


class Gate:
    """Lets each order through once, and none that a newer one overtook.

    Some engines ignore fencing numbers, so the sidecar, the only path to
    its engine, keeps the highest. After a restart it has forgotten it: an
    order of a replaced leader that was still on its way would load an old
    version over the new one. No order passes before `learn`, which takes the
    number from a linearizable read.

    Attributes:
        highest: Highest number seen or learned; None before `learn`.
        finished: Highest number that was carried out here.
    """

    def __init__(self) -> None:
        self.highest: int | None = None
        self.finished = 0

    def learn(self, fencing_token: int) -> None:
        """Takes the highest committed number of a linearizable read."""
        self.highest = max(self.highest or 0, fencing_token)

    def admit(self, fencing_token: int) -> bool:
        """Tells whether the order must be carried out; False if it was.

        Raises:
            errors.FencedOff: A newer order was seen, or none may pass yet.
        """
        if self.highest is None:
            raise errors.FencedOff(
                "The highest fencing number is not known here yet.",
                remedy="The config leader sends the order again.",
            )
        if fencing_token < self.highest:
            raise errors.FencedOff(
                f"Order {fencing_token} is older than order {self.highest}."
            )
        self.highest = fencing_token
        return fencing_token > self.finished

    def is_current(self, fencing_token: int) -> bool:
        """Tells whether no newer order came while this one waited."""
        return fencing_token == self.highest

    def finish(self, fencing_token: int) -> None:
        """Notes that an order was carried out."""
        self.finished = max(self.finished, fencing_token)
