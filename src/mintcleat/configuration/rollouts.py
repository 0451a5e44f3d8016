"""Orders to upstreams, and rollouts, in the replicated state.

An order is committed with its fencing token before it is sent. A new leader
finds the order and sends it again with the same token, rather than a second
order for the same step.
"""

from typing import Any
from typing import NamedTuple

from mintcleat.configuration import commands

# States of a rollout.
RUNNING = "running"
PAUSED = "paused"
ROLLING_BACK = "returning"
ROLLED_BACK = "returned"
# The state of a finished rollout, and the outcome of an order that succeeded.
DONE = "done"
# Other outcomes of an order; SENT means that there is none yet.
FAILED = "failed"
SENT = "sent"
# Number of instances whose last order is kept. The others are treated as if
# their last order had the highest fencing token dropped so far, which is at
# least as high as their own.
ORDERS_KEPT = 20_000


class Order(NamedTuple):
    """The last order to one upstream.

    Attributes:
        epoch: Epoch of the upstream's incarnation that the order is for.
        fencing_token: Token of the order; higher for later orders.
        action: `load` or `unload`.
        model: Target that is loaded or unloaded; see `plan.target_of`.
        outcome: SENT, DONE or FAILED.
        at: When it was planned or got its outcome, in seconds since 1970.
    """

    epoch: int
    fencing_token: int
    action: str
    model: str
    outcome: str
    at: float


class Rollout(NamedTuple):
    """The rollout of one service.

    Attributes:
        target: Model, version and adapters; see `plan.target_of`.
        previous: Target to roll back to; empty for none.
        state: RUNNING, PAUSED, ROLLING_BACK, ROLLED_BACK or DONE.
        reason: Why it was paused or rolled back; empty otherwise.
        start_fencing_token: Highest token at the start; orders of this rollout
            have higher ones.
        at: Time of the last change of state, in seconds since 1970.
    """

    service: str
    target: str
    previous: str
    state: str
    reason: str
    start_fencing_token: int
    at: float


class Ledger:
    """The fencing tokens, orders and rollouts of all services.

    Attributes:
        fencing_token: Highest token allocated so far.
        orders: The last order by instance, oldest first.
        forgotten_fencing_token: Highest token of the orders that were dropped
            from `orders`.
        rollouts: Rollouts by service.
    """

    def __init__(self) -> None:
        self.fencing_token = 0
        self.orders: dict[str, Order] = {}
        self.forgotten_fencing_token = 0
        self.rollouts: dict[str, Rollout] = {}

    def take_fencing_tokens(self, count: int) -> int:
        """Allocates at least one token; returns the highest one."""
        self.fencing_token += max(1, count)
        return self.fencing_token

    def highest_fencing_token(self, instance: str) -> int:
        """Returns a token that no committed order of the instance exceeds."""
        order = self.orders.get(instance)
        return order.fencing_token if order else self.forgotten_fencing_token

    def plan(self, command: commands.PlanOrder) -> int:
        """Records an order and returns its fencing token.

        The same step gets the same token again until it has an outcome.
        """
        last = self.orders.get(command.instance)
        if last is not None and self._same_step(last, command):
            return last.fencing_token
        self.orders.pop(command.instance, None)
        self.orders[command.instance] = Order(
            command.epoch,
            self.take_fencing_tokens(1),
            command.action,
            command.model,
            SENT,
            command.at,
        )
        while len(self.orders) > ORDERS_KEPT:
            dropped = self.orders.pop(next(iter(self.orders)))
            self.forgotten_fencing_token = max(
                self.forgotten_fencing_token, dropped.fencing_token
            )
        return self.fencing_token

    def end(self, command: commands.EndOrder) -> bool:
        """Records the outcome of an instance's last order.

        Returns:
            False if the outcome is that of an older order, which is ignored.
        """
        order = self.orders.get(command.instance)
        if order is None or order.fencing_token != command.fencing_token:
            return False
        self.orders[command.instance] = order._replace(
            outcome=command.outcome, at=command.at
        )
        return True

    def start(self, command: commands.StartRollout) -> Rollout:
        """Starts a rollout, unless the service has one to this target."""
        current = self.rollouts.get(command.service)
        if current is not None and current.target == command.target:
            return current
        rollout = Rollout(
            command.service,
            command.target,
            command.previous,
            RUNNING,
            "",
            self.fencing_token,
            command.at,
        )
        self.rollouts[command.service] = rollout
        return rollout

    def set_state(self, command: commands.SetRollout) -> bool:
        """Changes the state of a rollout; returns whether it changed."""
        rollout = self.rollouts.get(command.service)
        if rollout is None or rollout.state == command.state:
            return False
        self.rollouts[command.service] = rollout._replace(
            state=command.state, reason=command.reason, at=command.at
        )
        return True

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        return [
            self.fencing_token,
            {name: list(order) for name, order in self.orders.items()},
            self.forgotten_fencing_token,
            [list(rollout) for rollout in self.rollouts.values()],
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        self.fencing_token = state[0]
        self.orders = {name: Order(*item) for name, item in state[1].items()}
        self.forgotten_fencing_token = state[2]
        rollouts = [Rollout(*item) for item in state[3]]
        self.rollouts = {rollout.service: rollout for rollout in rollouts}

    def _same_step(self, last: Order, command: commands.PlanOrder) -> bool:
        return (
            last.outcome == SENT
            and last.epoch == command.epoch
            and last.action == command.action
            and last.model == command.model
        )
