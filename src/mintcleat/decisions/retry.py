"""Retry budget: limits retries to a fraction of successes.

It matters in an overload or an outage, when nearly every call fails. Without a
budget each entry repeats each failed call, the offered load doubles or triples,
and the retries keep up the overload after its cause is gone.
"""

# One retry per ten successes adds at most a tenth to the offered load.
FRACTION = 0.1
# Maximum of saved retries, which a new entry starts with, so that a single
# failure at low load is still retried.
RESERVE = 10.0
# Attempts of one call, the first included. A call that failed at three
# upstreams is more likely the cause itself.
MAX_ATTEMPTS = 3


class Budget:
    """Retry budget of one service at one entry.

    Attributes:
        fraction: Retries earned per success.
        reserve: Maximum of saved retries.
        tokens: Retries that are available.
    """

    def __init__(
        self, fraction: float = FRACTION, reserve: float = RESERVE
    ) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self.tokens = reserve

    def succeeded(self) -> None:
        """Counts a call that succeeded."""
        self.tokens = min(self.reserve, self.tokens + self.fraction)

    def allows(self) -> bool:
        """Returns whether a retry is available."""
        return self.tokens >= 1.0

    def take(self, attempts: int = 0) -> bool:
        """Returns whether a call may be retried; if so, spends the retry.

        Args:
            attempts: Attempts of the call so far; 0 for what is limited by the
                budget alone, such as moves and backups of streams.
        """
        if attempts >= MAX_ATTEMPTS or not self.allows():
            return False
        self.tokens -= 1.0
        return True
