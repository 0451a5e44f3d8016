"""What the end of an attempt says about the health of its upstream.

Only what an upstream sent, or failed to send, is evidence about it. When the
leader that records turns is lost, answers end late and unrecorded although the
upstream delivered them completely. If they counted as failures, one second
without a leader would exclude every healthy upstream at every entry, and the
next requests would pile up on the upstream that failed last.
"""

import enum
import math

from mintcleat.domain import errors

# Answers with this status or a higher one are failures of the upstream.
MIN_FAILURE_STATUS = 500
# The status of a request whose deadline passed while it ran. The caller set the
# deadline, and no time is left to try another upstream.
TIMEOUT_STATUS = 504


class Evidence(enum.Enum):
    """Whether an attempt counts as a success of its upstream."""

    SUCCESS = "well"
    NEUTRAL = "none"
    FAILURE = "failed"


def of_answer(
    status: int,
    silent: float = 0.0,
    silence_timeout: float = math.inf,
    is_proven: bool = True,
) -> Evidence:
    """Returns the evidence of a complete answer.

    An upstream that hangs may still answer at the deadline with the status of
    a timeout. If that were neutral, it would get the next request too.

    Args:
        status: HTTP status of the answer.
        silent: Seconds without data for this request before the answer.
        silence_timeout: Seconds of silence that are normal for the route.
        is_proven: Whether the answer is sure to be whole. If it is not, its
            upstream may have crashed, so it is no success.
    """
    if status == TIMEOUT_STATUS:
        hung = silent > silence_timeout
        return Evidence.FAILURE if hung else Evidence.NEUTRAL
    if status >= MIN_FAILURE_STATUS:
        return Evidence.FAILURE
    return Evidence.SUCCESS if is_proven else Evidence.NEUTRAL


def of_error(error: errors.MintcleatError) -> Evidence:
    """Returns the evidence of a failed attempt.

    A busy upstream isn't unhealthy, and a turn that control could not record
    doesn't count against the upstream that answered it. Nor does a request that
    this entry itself didn't send after all.
    """
    if isinstance(error, errors.TurnUnrecorded):
        return Evidence.SUCCESS
    if isinstance(
        error, errors.UpstreamBusy | errors.Draining | errors.DeadlineUnmet
    ):
        return Evidence.NEUTRAL
    return Evidence.FAILURE


def of_cancellation(
    complete: bool, silent: float, silence_timeout: float
) -> Evidence:
    """Returns the evidence of a caller that left or timed out.

    Args:
        complete: Whether the upstream's answer was complete.
        silent: Seconds since the last data for this request.
        silence_timeout: Seconds of silence that are normal for the route.
    """
    if complete:
        return Evidence.SUCCESS
    return Evidence.FAILURE if silent > silence_timeout else Evidence.NEUTRAL
