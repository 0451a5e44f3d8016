"""What an entry does with calls while it knows no configuration yet.

The load: all machines lost their power. Entries start within a second of each
other, and each takes calls at once, since nobody else could. Control needs
some tenths of a second more to elect its leaders.

The harm: refused at once and told to come back later, callers come back after
service does, and those that came just before are refused twice. A program
that could spare a second is late although it was served well. Held without
bounds, a caller would wait at an entry that is cut off, while others serve.
"""

import xxhash

# A started entry has its configuration within this time, also where control
# started with it. One that has none by then is cut off, or a quorum is gone.
START_SECONDS = 1.0
# Of the time that a caller gives an answer; the rest is for coming back.
SHARE = 0.25
# Calls held at once; more would only queue behind each other afterwards.
MOST_HELD = 256
# A caller that is refused comes back after this time, spread by this share to
# both sides: all that were refused together would come back together.
RETRY_SECONDS = 0.5
RETRY_SPREAD = 0.4


def hold(uptime: float, deadline: float, held: int) -> float:
    """Returns for how long to wait for a configuration; 0 to refuse.

    Args:
        uptime: Seconds since this entry started.
        deadline: Seconds that the caller waits for its answer.
        held: Calls that wait here already.
    """
    if held >= MOST_HELD:
        return 0.0
    return max(0.0, min(START_SECONDS - uptime, SHARE * deadline))


def retry_after(request: str, seconds: float) -> float:
    """Returns when a refused caller should come back, in seconds.

    Args:
        request: Id of the refused request; it decides the place in the
            spread.
        seconds: When service is likely to be back, about.
    """
    part = xxhash.xxh32_intdigest(request.encode()) / 2**32
    return round(seconds * (1.0 - RETRY_SPREAD + 2 * RETRY_SPREAD * part), 3)
