"""What the end of an attempt says of the upstream that was asked.

Made for the moments in which something else fails. When the leader that
records turns is lost, each answer ends late and without its record, though
the upstream gave it whole: taken for failures of upstreams, a second without
a leader puts every healthy upstream out of use at every entry, and the work
that comes next piles up on whichever failed last. Only what came from an
upstream, or was due from it, is evidence about it.
"""

import enum

from mintcleat.domain import errors

# Answers from here on say that the upstream failed while it ran the request.
FAILED_STATUS = 500
# What an upstream answers when the request's time ends while it runs. No other
# upstream has time for it either, and its caller set the time.
TIME_OVER_STATUS = 504


class Evidence(enum.Enum):
    """For an upstream, against it, or neither."""

    SUCCESS = "well"
    NEUTRAL = "none"
    FAILURE = "failed"


def of_answer(status: int) -> Evidence:
    """Returns what a whole answer with its status says."""
    if status == TIME_OVER_STATUS:
        return Evidence.NEUTRAL
    return Evidence.FAILURE if status >= FAILED_STATUS else Evidence.SUCCESS


def of_error(error: errors.MintcleatError) -> Evidence:
    """Returns what an attempt's failure says.

    A full upstream is no sick one, and what control could not do is not the
    upstream's doing.
    """
    if isinstance(error, errors.TurnUnrecorded):
        return Evidence.SUCCESS
    if isinstance(error, errors.UpstreamBusy):
        return Evidence.NEUTRAL
    return Evidence.FAILURE


def of_cancellation(whole: bool, silent: float, patience: float) -> Evidence:
    """Returns what it says that the caller left or its time was over.

    Args:
        whole: Whether the upstream's answer had come to its end.
        silent: Seconds since something came from it for this request.
        patience: Seconds of silence that are usual for the route.
    """
    if whole:
        return Evidence.SUCCESS
    return Evidence.FAILURE if silent > patience else Evidence.NEUTRAL
