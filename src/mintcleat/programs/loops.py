"""Detection of programs that repeat the same call.

An agent that repeats a failing step without end would spend the customer's
budget and the engines' time until it reaches a limit in turns or seconds.
"""

from mintcleat.programs import prefixes
from mintcleat.programs import records

# The window holds this many times the repeat limit, so that loops of several
# steps (chat, tool, chat, tool) are detected as well.
_WINDOW_FACTOR = 4


def is_loop(program: records.Program, digest: bytes) -> bool:
    """Returns whether another call with this digest exceeds the limit."""
    limit = program.repeat_limit
    if not limit:
        return False
    prefix = prefixes.of_digest(digest)
    return prefixes.count(program.recent_digests, prefix) >= limit


def record_call(program: records.Program, digest: bytes) -> None:
    """Adds the digest of a granted call to the program's window."""
    size = prefixes.PREFIX_BYTES * _WINDOW_FACTOR * program.repeat_limit
    if size:
        prefix = prefixes.of_digest(digest)
        program.recent_digests = (program.recent_digests + prefix)[-size:]
