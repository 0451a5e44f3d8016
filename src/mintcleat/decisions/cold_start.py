"""Holding of calls at an entry that has no configuration yet.

After a power loss of all machines, entries start within a second of each other
and receive calls immediately, while control needs some tenths of a second more
to elect its leaders. If these calls were refused, their retries would come
after service is available again, and those sent shortly before that would be
refused twice. A program with a second to spare would be late although service
was back in time. If calls were held without limit, callers would wait at an
entry that is disconnected while other entries serve.
"""

# Seconds after its start within which an entry gets its configuration, even if
# control started at the same time. Without one by then, the entry is
# disconnected or control has lost its quorum.
START_SECONDS = 1.0
# Maximum fraction of the caller's deadline to hold a call; the rest is left for
# a retry.
MAX_DEADLINE_SHARE = 0.25
# Maximum of concurrently held calls; more would queue up afterwards.
MAX_HELD = 256


def hold_seconds(uptime: float, deadline: float, held: int) -> float:
    """Returns the seconds to hold a call for a configuration; 0 to refuse it.

    Args:
        uptime: Seconds since this entry started.
        deadline: Seconds that the caller waits for its answer.
        held: Calls that are already held.
    """
    if held >= MAX_HELD:
        return 0.0
    return max(0.0, min(START_SECONDS - uptime, MAX_DEADLINE_SHARE * deadline))
