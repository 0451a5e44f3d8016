"""How long one attempt of a repeatable request waits for its upstream.

An upstream that hangs keeps its connections open and answers nothing. Without a
timeout of the attempt, a request sent there fails only at its own deadline,
although every other upstream would have answered in a fraction of that time. A
program ends with the first call that fails.

When all upstreams are slow, attempts that are given up only add load. So a
budget limits them to a fraction of the answers, and without one the request
waits until its deadline.
"""

import collections

from mintcleat.decisions import retry
from mintcleat.domain import manifest


class AttemptTimeouts:
    """Timeouts of attempts at one entry.

    Attributes:
        budgets: Retry budget by service.
    """

    def __init__(self) -> None:
        self.budgets: collections.defaultdict[str, retry.Budget] = (
            collections.defaultdict(retry.Budget)
        )

    def seconds(
        self,
        route: manifest.Route,
        service: str,
        attempts: int,
        silence_timeout: float,
        left: float,
    ) -> float | None:
        """Returns the timeout of the next attempt; None for no timeout.

        Args:
            route: Route of the request.
            service: Service that runs it.
            attempts: Attempts that may have run before this one.
            silence_timeout: Seconds of silence that are normal for the route.
            left: Seconds until the deadline of the request.
        """
        if route.repeat != "any" or attempts + 1 >= route.attempts:
            return None
        # Another attempt must have as much time as the one that is given up.
        if left < 2 * silence_timeout:
            return None
        if not self.allows(service):
            return None
        return silence_timeout

    def allows(self, service: str) -> bool:
        """Returns whether the budget allows to give up another attempt."""
        return self.budgets[service].allows()

    def expired(self, service: str, attempts: int) -> None:
        """Charges the budget for an attempt that was given up.

        Args:
            service: Service of the request.
            attempts: Attempts of the request so far, this one included.
        """
        self.budgets[service].take(attempts)

    def answered(self, service: str) -> None:
        """Counts an answer of the service."""
        self.budgets[service].succeeded()
