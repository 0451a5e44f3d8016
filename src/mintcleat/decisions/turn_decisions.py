"""Decisions on turns, and the state of a schedule as operators see it."""

from typing import NamedTuple

# Bounds of the time after which a waiting turn asks again, in seconds.
MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 0.1


class Situation(NamedTuple):
    """What a decision was based on.

    Attributes:
        wait: Predicted wait in seconds.
        ahead: Number of waiting turns that come before this one.
        running: Running turns of the service.
        bound: Bound on the running turns that applied; inf if unknown.
        share: Share of the customer, as a fraction of the work.
        use: Work that the customer received recently, as a fraction.
    """

    wait: float
    ahead: int
    running: int
    bound: float
    share: float
    use: float


class Grant(NamedTuple):
    """The turn may run.

    Attributes:
        waited: Seconds that it has waited.
        again: Whether it had been granted before.
    """

    waited: float
    again: bool = False


class Defer(NamedTuple):
    """The turn waits and asks again.

    Attributes:
        retry_after: Seconds after which it should ask again.
        situation: What the decision was based on.
        again: Whether it was waiting before.
    """

    retry_after: float
    situation: Situation
    again: bool


class Refuse(NamedTuple):
    """The turn doesn't run.

    Attributes:
        kind: `share_exceeded` or `overloaded`.
        reason: `duration` if its program could not end in time after the
            wait, `wait` if it would wait or has waited for too long.
        retry_after: Seconds after which the backlog is expected to be gone,
            without jitter per request.
        situation: What the decision was based on.
    """

    kind: str
    reason: str
    retry_after: float
    situation: Situation


class CustomerView(NamedTuple):
    """One customer's part of a service.

    Attributes:
        customer: Name of the customer.
        running: Running turns.
        waiting: Waiting turns.
        share: Share that it is entitled to, as a fraction of the work.
        use: Work that it received recently, as a fraction.
        refused: Refused turns since the schedule began.
    """

    customer: str
    running: int
    waiting: int
    share: float
    use: float
    refused: int


class ScheduleView(NamedTuple):
    """State of a schedule for operators.

    Attributes:
        running: Granted turns, and turns reported by entries beyond them.
        waiting: Waiting turns.
        bound: Bound on running turns; -1 if unknown.
        capacity: Bound by slots and memory; -1 if unknown.
        slowdown: Current time of turns as a multiple of that at low load.
        granted: Granted turns since the schedule began.
        deferred: Turns that had to wait since then.
        refused: Refused turns since then, by kind and reason.
        lost: Waiting turns dropped because they did not ask again.
        expired: Granted turns released by their timeout.
        customers: The customers with the most use, up to a requested number.
    """

    running: int
    waiting: int
    bound: float
    capacity: float
    slowdown: float
    granted: int
    deferred: int
    refused: dict[str, int]
    lost: int
    expired: int
    customers: list[CustomerView]
