"""How often a message that many receive, or that is large, may be sent.

Made for hundreds of entries that watch one sidecar, and for a sidecar that
renews hundreds of programs. At a fixed interval the bytes grow with the
deployment until control traffic takes the network from the answers. Each
kind of message gets a budget instead, and its interval grows with the size.
"""

# Bytes a second that one sidecar may spend on load reports, all its watchers
# together. Three and a half sidecars stand on a node at the planned size and
# control may take 20 KB a second there; reports take a bit over half.
REPORT_BUDGET = 3_000.0
# The same for the renewal of residency.
RENEWAL_BUDGET = 1_000.0


def for_budget(least: float, size: float, budget: float) -> float:
    """Returns the seconds between two sendings.

    Args:
        least: Interval of a small deployment, in seconds.
        size: Bytes of one round, to all receivers.
        budget: Bytes a second.
    """
    return max(least, size / budget)
