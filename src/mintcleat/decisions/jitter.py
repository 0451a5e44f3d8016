"""Jitter for the time after which refused callers should retry.

During an outage or overload, hundreds of callers are refused within a moment.
If all got the same retry time, they would retry together and be refused again.
"""

import xxhash

# Maximum jitter in either direction, as a fraction of the time.
SPREAD = 0.4


def retry_after(
    request: str, seconds: float, *, may_be_early: bool = True
) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        request: Id of the refused request; its hash determines the jitter.
        seconds: Expected time until the service is available again.
        may_be_early: Whether the time is an estimate, so that a retry before
            it may succeed. The times of a rate limit are exact.
    """
    part = xxhash.xxh32_intdigest(request.encode()) / 2**32
    if not may_be_early:
        return round(seconds * (1.0 + SPREAD * part), 3)
    return round(seconds * (1.0 - SPREAD + 2 * SPREAD * part), 3)
