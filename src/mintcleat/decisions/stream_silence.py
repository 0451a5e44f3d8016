"""When a resumable stream that sends nothing is abandoned at its upstream.

Handles upstreams that hang in the middle of a stream and keep its connection
open: the stream would end only at its deadline, although every other upstream
could continue it. Engines also pause for some tenths of a second and go on. A
stream that is resumed elsewhere reads its prompt again, so leaving at each
pause would cost more than waiting. A pause is likely to last as long again as
it has lasted; so the stream is left when that is longer than the prefill
elsewhere takes, and the scatter of the gaps doesn't explain it.
"""

from mintcleat.decisions import turn_time

# Lower bound of the silence in seconds. A lost packet delays data by 0.2 s.
MIN_SECONDS = 0.25


def seconds(
    times: turn_time.UpstreamTimes | None, tokens: int, unmeasured: float
) -> float:
    """Returns the silence after which a stream is resumed elsewhere.

    Args:
        times: What was measured at its upstream; None for nothing.
        tokens: Tokens that another upstream has to read.
        unmeasured: The bound in seconds before the gaps and the prefill are
            known.
    """
    if times is None or not times.expected or times.service.rates is None:
        return unmeasured
    overdue = times.service.overdue * times.expected * max(1.0, times.slow)
    return max(MIN_SECONDS, overdue, times.service.rates.prefill(tokens))
