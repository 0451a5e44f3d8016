"""What an entry does with calls while it knows no configuration yet.

The load: all machines lost their power. Entries start within a second of each
other, and each takes calls at once, since nobody else could. Control needs
some tenths of a second more to elect its leaders.

The harm: refused at once and told to come back later, callers come back after
service does, and those that came just before are refused twice. A program
that could spare a second is late although it was served well. Held without
bounds, a caller would wait at an entry that is cut off, while others serve.
"""

# A started entry has its configuration within this time, also where control
# started with it. One that has none by then is cut off, or a quorum is gone.
START_SECONDS = 1.0
# Of the time that a caller gives an answer; the rest is for coming back.
SHARE = 0.25
# Calls held at once; more would only queue behind each other afterwards.
MAX_HELD = 256


def hold_seconds(uptime: float, deadline: float, held: int) -> float:
    """Returns for how long to wait for a configuration; 0 to refuse.

    Args:
        uptime: Seconds since this entry started.
        deadline: Seconds that the caller waits for its answer.
        held: Calls that wait here already.
    """
    if held >= MAX_HELD:
        return 0.0
    return max(0.0, min(START_SECONDS - uptime, SHARE * deadline))
