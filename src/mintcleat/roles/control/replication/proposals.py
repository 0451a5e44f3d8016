"""Proposers and readers of this replica that wait for a result."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from eventlet import event

from mintcleat.consensus import outbox
from mintcleat.consensus import types
from mintcleat.domain import errors


class Waiter(NamedTuple):
    """A proposer that waits for its entry.

    Attributes:
        term: Term in which the entry was proposed.
        done: Receives `(result,)`; the result may be a typed error.
    """

    term: int
    done: event.Event


class Proposals:
    """The proposers and readers that wait.

    Attributes:
        waiters: Proposers by group and log index.
        readers: Linearizable reads, by token.
    """

    def __init__(self, groups: Iterable[str]) -> None:
        self.waiters: dict[str, dict[int, Waiter]] = {g: {} for g in groups}
        self.readers: dict[int, event.Event] = {}

    def applied(self, group: str, entry: types.Entry, result: Any) -> None:
        """Answers the proposer of an applied entry.

        If another entry than the proposed one was committed at the index, the
        proposal was lost.
        """
        waiter = self.waiters[group].pop(entry.index, None)
        if waiter is not None:
            is_own = waiter.term == entry.term
            waiter.done.send((result if is_own else _lost(),))

    def answer_reads(self, reads: Iterable[outbox.ReadReady]) -> None:
        """Answers reads that the consensus core has decided."""
        for ready in reads:
            done = self.readers.pop(ready.token, None)
            if done is not None:
                done.send(ready)

    def fail_lost(self, led_term: Callable[[str], int | None]) -> None:
        """Fails proposals of terms in which this replica no longer leads.

        Args:
            led_term: Returns the term in which this replica leads a group;
                None if it doesn't lead.
        """
        for group, waiters in self.waiters.items():
            if not waiters:
                continue
            term = led_term(group)
            kept = {}
            for index, waiter in waiters.items():
                if waiter.term == term:
                    kept[index] = waiter
                else:
                    waiter.done.send((_lost(),))
            self.waiters[group] = kept

    def fail_reads(self) -> None:
        """Fails all reads; their callers get None instead of a ReadReady."""
        for done in self.readers.values():
            done.send(None)
        self.readers.clear()


def _lost() -> errors.ProposalLost:
    return errors.ProposalLost("The leadership changed before the commit.")
