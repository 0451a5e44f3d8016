"""Send intervals of periodic messages under a bandwidth budget.

Hundreds of entries can watch one sidecar, and a sidecar can renew hundreds of
programs. With a fixed interval, control traffic would grow with the deployment
until it took bandwidth from the answers. So each kind of message has a budget,
and its interval grows with its size.
"""

# Bytes per second of a sidecar's load reports to all its watchers. At the
# planned size a node has 3.5 sidecars and 20 kB/s for control, of which the
# reports take a bit over half.
REPORT_BUDGET = 3_000.0
# Bytes per second of a sidecar's residency renewals.
RENEWAL_BUDGET = 1_000.0


def for_budget(least: float, size: float, budget: float) -> float:
    """Returns the interval in seconds that keeps messages within a budget.

    Args:
        least: Minimum interval in seconds.
        size: Bytes of one round, to all receivers.
        budget: Bytes per second.
    """
    return max(least, size / budget)
