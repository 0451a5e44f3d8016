"""Whether a turn is opened, by the room for the records of programs.

Load: callers that begin a program with each request, or that send turns almost
without content. Each program has an account, and each kept turn a record beside
its content, in the memory of every replica until the retention ends.

Harm prevented: replicas that exceed their memory are killed, read the same
records from their logs and are killed again. A record can't be dropped sooner:
a budget would begin anew, and a kept turn could not be continued. Refusing a
turn before it runs costs one request.

Programs are refused before turns of programs that have an account, so that
programs in progress can end.
"""

# Share of the limit that the first turns of programs may fill.
_BEGINNING_FRACTION = 0.9
# Lower bound of the time after which a refused caller should retry.
_MIN_RETRY_SECONDS = 0.5


def has_room(held: int, limit: int, *, is_known: bool) -> bool:
    """Returns whether to open a turn.

    Args:
        held: Bytes of all records.
        limit: Bytes that they may take; 0 for no limit.
        is_known: Whether its program has an account.
    """
    share = 1.0 if is_known else _BEGINNING_FRACTION
    return not limit or held < limit * share


def retry_after(seconds: float) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        seconds: Time until the first record is deleted.
    """
    return max(_MIN_RETRY_SECONDS, seconds)
