"""Orders and rollouts in the replicated state.

An order is committed, with its fencing number, before it is sent. A leader
that takes over halfway finds the order and sends the same number again; it
never makes a second order for the same step.
"""

from typing import Any
from typing import NamedTuple

from mintcleat.configuration import commands

RUNNING = "running"
PAUSED = "paused"
RETURNING = "returning"
RETURNED = "returned"
DONE = "done"
FAILED = "failed"
SENT = "sent"
# Instances whose highest fencing number is kept by name; older names share
# the highest number that was dropped, which is never too low.
FENCES_KEPT = 20_000


class Order(NamedTuple):
    """The last order of one instance; `outcome` is sent, done or failed."""

    epoch: int
    fencing_token: int
    action: str
    model: str
    outcome: str
    at: float


class Rollout(NamedTuple):
    """The rollout of one service.

    Attributes:
        started: Fencing number taken at the start; orders of this rollout
            have higher ones.
    """

    service: str
    target: str
    previous: str
    state: str
    reason: str
    started: int
    at: float


class Ledger:
    """Fencing counter, last order by instance, rollouts by service."""

    def __init__(self) -> None:
        self.fencing_token = 0
        self.orders: dict[str, Order] = {}
        self.forgotten_fence = 0
        self.rollouts: dict[str, Rollout] = {}

    def take(self, count: int) -> int:
        """Takes fencing numbers; returns the highest of them."""
        self.fencing_token += max(1, count)
        return self.fencing_token

    def highest(self, instance: str) -> int:
        """Returns a number that no order of the instance exceeds yet."""
        order = self.orders.get(instance)
        return order.fencing_token if order else self.forgotten_fence

    def plan(self, command: commands.PlanOrder) -> int:
        """Commits an order; the same step gets the same number again."""
        last = self.orders.get(command.instance)
        if last is not None and self._same_step(last, command):
            return last.fencing_token
        self.orders.pop(command.instance, None)
        self.orders[command.instance] = Order(
            command.epoch,
            self.take(1),
            command.action,
            command.model,
            SENT,
            command.at,
        )
        while len(self.orders) > FENCES_KEPT:
            dropped = self.orders.pop(next(iter(self.orders)))
            self.forgotten_fence = max(
                self.forgotten_fence, dropped.fencing_token
            )
        return self.fencing_token

    def end(self, command: commands.EndOrder) -> bool:
        """Records an outcome; a report of an older order changes nothing."""
        order = self.orders.get(command.instance)
        if order is None or order.fencing_token != command.fencing_token:
            return False
        self.orders[command.instance] = order._replace(
            outcome=command.outcome, at=command.at
        )
        return True

    def start(self, command: commands.StartRollout) -> Rollout:
        """Starts a rollout; the same target again gives the same rollout."""
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
        """Changes the state of a service's rollout."""
        rollout = self.rollouts.get(command.service)
        if rollout is None or rollout.state == command.state:
            return False
        self.rollouts[command.service] = rollout._replace(
            state=command.state, reason=command.reason, at=command.at
        )
        return True

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [
            self.fencing_token,
            {name: list(order) for name, order in self.orders.items()},
            self.forgotten_fence,
            [list(rollout) for rollout in self.rollouts.values()],
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.fencing_token = state[0]
        self.orders = {name: Order(*item) for name, item in state[1].items()}
        self.forgotten_fence = state[2]
        rollouts = [Rollout(*item) for item in state[3]]
        self.rollouts = {rollout.service: rollout for rollout in rollouts}

    def _same_step(self, last: Order, command: commands.PlanOrder) -> bool:
        return (
            last.outcome == SENT
            and last.epoch == command.epoch
            and last.action == command.action
            and last.model == command.model
        )
