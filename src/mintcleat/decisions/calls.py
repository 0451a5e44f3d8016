"""What the decisions know of a call and of how it ended.

Times are seconds on the caller's monotonic clock, sizes are engine tokens.
"""

import math
from typing import NamedTuple

import xxhash

INTERACTIVE = "interactive"
BATCH = "batch"
NEVER = math.inf
_HASH_RANGE = float(1 << 53)


class Call(NamedTuple):
    """One attempt at one upstream, as the decisions see it.

    Attributes:
        call_id: Unique among the calls that the gate holds.
        root: Root program; a sub-agent inherits its attained service.
        agent: Name of the agent program in the manifest.
        klass: `interactive` or `batch`.
        deadline_at: Clock time by which the answer must be whole.
        attained: Tokens served so far to the whole root program.
        prompt_tokens: Context of the call, cached or not.
        new_tokens: Part of `prompt_tokens` that must be computed here.
        expected_tokens: Tokens that the call will probably generate.
        gating: Whether the root program waits for this call.
        suspect: Whether its digest was in flight when an upstream crashed.
    """

    call_id: str
    program: str
    root: str
    customer: str
    agent: str
    klass: str = INTERACTIVE
    deadline_at: float = NEVER
    attained: int = 0
    prompt_tokens: int = 0
    new_tokens: int = 0
    expected_tokens: int = 0
    gating: bool = True
    suspect: bool = False


class Outcome(NamedTuple):
    """How a started call ended.

    Attributes:
        seconds: From its start to its end at the upstream.
        first_token: From its start to the first token; 0 when unknown.
        computed: Prompt tokens that the upstream had to compute.
        generated: Tokens generated.
        ok: False when the upstream failed or timed out.
    """

    seconds: float
    first_token: float = 0.0
    computed: int = 0
    generated: int = 0
    ok: bool = True


def hash_fraction(*parts: object) -> float:
    """Returns a number in [0, 1) that depends on `parts` only.

    Decisions draw from it in place of a random source, so that a test or a
    replay with the same calls gives the same outcome.
    """
    text = "\0".join(str(part) for part in parts)
    return (xxhash.xxh3_64_intdigest(text.encode()) >> 11) / _HASH_RANGE
