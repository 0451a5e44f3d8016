"""Which streams have a backup of their memory at another upstream.

Handles upstreams and connections that break off streams which may not be run a
second time: the caller would have to run the whole turn again, and a program of
many turns would lose its time. A backup sends the memory of the run to another
upstream as it grows, and the stream continues there. It uses the links and the
memory of two upstreams for the whole stream, while few streams break off. So
only programs with much completed work have one, within a budget, and only while
the service has free capacity.
"""

# Backups allowed per stream, and those made at once by an entry that made none
# for long. Each copies the whole memory of a stream, and few break off.
FRACTION = 0.1
RESERVE = 4.0
# Completed turns of a program from which its next one has a backup.
MIN_TURNS = 3


def is_worthwhile(may_resume: bool, completed_turns: int) -> bool:
    """Returns whether a stream should have a backup.

    Args:
        may_resume: Whether its route allows to resume it otherwise.
        completed_turns: Turns of its program before this one.
    """
    return not may_resume and completed_turns >= MIN_TURNS
