"""Loop detection: the same call over and over.

Made for agents that repeat a failing step without end: they would burn the
partner's budget and the engines' time until a limit in turns or seconds.
"""

from mintcleat.programs import records

_PREFIX = 8
# The window holds this many times the limit, so that a loop of a few steps
# (chat, tool, chat, tool) is found and not only one step repeated.
_WINDOW = 4


def is_loop(program: records.Program, digest: bytes) -> bool:
    """Tells whether one more call with this digest is over the limit."""
    limit = program.repeat_limit
    if not limit:
        return False
    recent = program.recent
    prefix = digest[:_PREFIX].ljust(_PREFIX, b"\0")
    seen = sum(
        recent[start : start + _PREFIX] == prefix
        for start in range(0, len(recent), _PREFIX)
    )
    return seen >= limit


def note(program: records.Program, digest: bytes) -> None:
    """Remembers a granted call's digest within the window."""
    size = _PREFIX * _WINDOW * program.repeat_limit
    if size:
        prefix = digest[:_PREFIX].ljust(_PREFIX, b"\0")
        program.recent = (program.recent + prefix)[-size:]
