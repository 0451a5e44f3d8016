"""Waits for room in the account of the process."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from mintcleat.decisions import memory_account
from mintcleat.domain import errors
from mintcleat.ports import timers as timer_ports

# Interval in which what waits looks for room again.
_POLL_SECONDS = 0.01


def take(
    account: memory_account.MemoryAccount,
    size: int,
    until: float,
    timers: timer_ports.Timers,
    make_room: Callable[[int], None] = lambda lacking: None,
) -> None:
    """Charges bytes to an account, once it has room for them.

    Args:
        account: The account.
        size: The bytes.
        until: Time at which it gives up, in seconds.
        timers: Clock of that time.
        make_room: Called with the bytes that are lacking; frees what can be
            done without.

    Raises:
        errors.Overloaded: There was no room; nothing is charged.
    """
    claim = account.claim(size)
    if claim is None:
        raise _no_room(account, size)
    try:
        while True:
            if account.waiting[0] is claim:
                if lacking := account.lacks(size):
                    make_room(lacking)
                if account.admit(claim):
                    return
            if timers.now() >= until:
                account.leave(claim)
                raise _no_room(account, size)
            timers.sleep(_POLL_SECONDS)
    finally:
        if claim in account.waiting:
            account.leave(claim)


@contextlib.contextmanager
def taken(
    account: memory_account.MemoryAccount,
    size: int,
    until: float,
    timers: timer_ports.Timers,
) -> Iterator[None]:
    """Charges bytes to an account while a block runs; see `take`."""
    take(account, size, until, timers)
    try:
        yield
    finally:
        account.charge(-size)


def _no_room(
    account: memory_account.MemoryAccount, size: int
) -> errors.Overloaded:
    return errors.Overloaded(
        f"{size} bytes are needed, and {account.total()} of {account.limit} "
        "for what is on its way are in use.",
        retry_after=account.retry_after(size),
    )
