"""Loop detection: the same call over and over.

Made for agents that repeat a failing step without end: they would burn the
customer's budget and the engines' time until a limit in turns or seconds.
"""

from mintcleat.programs import prefixes
from mintcleat.programs import records

# The window holds this many times the limit, so that a loop of a few steps
# (chat, tool, chat, tool) is found and not only one step repeated.
_WINDOW = 4


def is_loop(program: records.Program, digest: bytes) -> bool:
    """Tells whether one more call with this digest is over the limit."""
    limit = program.repeat_limit
    if not limit:
        return False
    prefix = prefixes.of_digest(digest)
    return prefixes.count(program.recent, prefix) >= limit


def note(program: records.Program, digest: bytes) -> None:
    """Remembers a granted call's digest within the window."""
    size = prefixes.SIZE * _WINDOW * program.repeat_limit
    if size:
        prefix = prefixes.of_digest(digest)
        program.recent = (program.recent + prefix)[-size:]
