"""The properties of a call and of its outcome that decisions are based on.

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
    """One attempt at one upstream.

    Attributes:
        call_id: Id, unique among the calls that wait or run at a gate.
        root: Root program; a sub-agent inherits its attained service.
        agent: Name of the agent program in the manifest.
        klass: Priority class, `interactive` or `batch`.
        deadline_at: Time by which the answer must be complete.
        attained: Tokens served so far to the whole root program.
        prompt_tokens: Context of the call, cached or not.
        new_tokens: Part of `prompt_tokens` that must be computed here.
        expected_tokens: Tokens that the call will probably generate.
        gating: Whether the root program waits for this call.
        suspect: Whether a request with its digest was running when an
            upstream crashed.
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
        seconds: Time from its start to its end at the upstream.
        first_token: Time from its start to the first token; 0 if unknown.
        computed: Prompt tokens that the upstream had to compute.
        generated: Tokens generated.
        ok: False if the upstream failed or timed out.
    """

    seconds: float
    first_token: float = 0.0
    computed: int = 0
    generated: int = 0
    ok: bool = True


def hash_fraction(*parts: object) -> float:
    """Returns a hash of `parts` as a number in [0, 1).

    It replaces random numbers, so that a test or a replay with the same calls
    makes the same decisions.
    """
    text = "\0".join(str(part) for part in parts)
    return (xxhash.xxh3_64_intdigest(text.encode()) >> 11) / _HASH_RANGE
