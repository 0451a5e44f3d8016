"""Whether a program is begun, by the room for its account.

Load: callers that begin a program with each request, or that choose a new id
for each. Each program has an account in the memory of every replica until its
retention ends.

Harm prevented: replicas that exceed their memory are killed, read the same
accounts from their logs and are killed again. An account can't be dropped
sooner, since its budget would begin anew. Refusing a turn before it runs costs
one request.

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
        held: Bytes of all accounts.
        limit: Bytes that they may take; 0 for no limit.
        is_known: Whether its program has an account.
    """
    share = 1.0 if is_known else _BEGINNING_FRACTION
    return not limit or held < limit * share


def retry_after(seconds: float) -> float:
    """Returns the seconds after which a refused caller should retry.

    Args:
        seconds: Time until the first account is deleted.
    """
    return max(_MIN_RETRY_SECONDS, seconds)
