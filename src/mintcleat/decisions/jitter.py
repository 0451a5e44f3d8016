"""When callers that were refused should come back.

The load: an outage, or upstreams that are full, and hundreds of callers are
refused within a moment. The harm: told the same time, they come back together
and are refused together again.
"""

import xxhash

# Times are spread by this share to both sides.
SPREAD = 0.4


def retry_after(request: str, seconds: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    Args:
        request: Id of the refused request; it decides the place in the
            spread.
        seconds: When service is likely to be back, about.
    """
    part = xxhash.xxh32_intdigest(request.encode()) / 2**32
    return round(seconds * (1.0 - SPREAD + 2 * SPREAD * part), 3)
