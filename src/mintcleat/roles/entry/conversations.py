"""Finished turns that an entry holds, each once.

Turns are immutable, so all requests that continue a turn share its content.
Without the store the leader would send the whole conversation again for each
turn, and each request would hold a copy of its own.
"""

import collections
from typing import NamedTuple
import weakref

from mintcleat.decisions import memory_account
from mintcleat.domain import program_messages
from mintcleat.programs import branches

# What turns without a request may take for longer than `_RECENT_SECONDS`.
IDLE_BYTES = 4 * 1024 * 1024
# Time for which they may take all the room that the account has: the next turn
# of a program follows a pause or a call of a tool.
_RECENT_SECONDS = 10.0
# Memory of a turn beside its content and its names.
TURN_BYTES = 512


class HeldTurn:
    """A finished turn with its content.

    Its bytes are charged for as long as anybody holds it, a request or the
    store, so that what is counted is what is in memory.

    Attributes:
        parts: The content, not joined: its input, then its output.
        size: Bytes that it takes.
    """

    __slots__ = (
        "__weakref__", "account", "customer", "parts", "previous", "size",
        "turn",
    )  # fmt: skip

    def __init__(
        self,
        account: memory_account.MemoryAccount,
        turn: str,
        previous: str,
        customer: str,
        parts: tuple[bytes, ...],
    ) -> None:
        """Creates a turn whose bytes are charged already.

        Args:
            account: The account from which they are taken off at its end.
            turn: Its id.
            previous: The turn that it continues; empty for none.
            customer: Its owner; empty for none.
            parts: See the class.
        """
        self.account = account
        self.turn = turn
        self.previous = previous
        self.customer = customer
        self.parts = parts
        self.size = held_size(turn, previous, sum(map(len, parts)))

    def __del__(self) -> None:
        """Takes its bytes off the account."""
        self.account.charge(-self.size)


def held_size(turn: str, previous: str, content: int) -> int:
    """Returns the bytes that a turn takes.

    Args:
        turn: Its id.
        previous: The turn that it continues.
        content: Bytes of its input and its output.
    """
    return TURN_BYTES + len(turn) + len(previous) + content


def _size_of(kept: program_messages.KeptTurn) -> int:
    content = len(kept.input) + len(kept.output)
    return held_size(kept.turn, kept.previous, content)


class _Recent(NamedTuple):
    """A turn that the store keeps.

    Attributes:
        at: When it was last used, in seconds.
    """

    held: HeldTurn
    at: float


class Conversations:
    """The finished turns that an entry holds.

    Attributes:
        account: The account of the process.
        turns: All turns that are held, also by requests alone.
        recent: Those that the store itself keeps, the least recently used
            first.
        kept: Bytes of these.
    """

    def __init__(
        self, account: memory_account.MemoryAccount | None = None
    ) -> None:
        self.account = account or memory_account.MemoryAccount()
        self.turns: weakref.WeakValueDictionary[branches.ScopedId, HeldTurn] = (
            weakref.WeakValueDictionary()
        )
        self.recent: collections.OrderedDict[branches.ScopedId, _Recent] = (
            collections.OrderedDict()
        )
        self.kept = 0

    def chain(
        self, customer: str, turn: str, now: float
    ) -> list[HeldTurn] | None:
        """Returns a turn and all before it, which count as used.

        Returns:
            The turns, the oldest first; None if one of them isn't held.
        """
        found = branches.chain_of(self.turns, customer, turn)
        for held in found or ():
            self._use(held, now)
        return found

    def put(self, kept: program_messages.KeptTurn, now: float) -> None:
        """Adds a turn that has ended, unless there is no room."""
        if lacking := self.account.lacks(_size_of(kept)):
            self.make_room(lacking)
        if not self.account.lacks(_size_of(kept)):
            self.hold(kept, now)

    def hold(self, kept: program_messages.KeptTurn, now: float) -> HeldTurn:
        """Returns a turn whose content is in memory already, and adds it."""
        known = self.turns.get(branches.ScopedId(kept.customer, kept.turn))
        if known is not None:
            self._use(known, now)
            return known
        self.account.charge(_size_of(kept))
        return self.add(kept, (kept.input, kept.output), now)

    def add(
        self,
        turn: program_messages.KeptTurn,
        parts: tuple[bytes, ...],
        now: float,
    ) -> HeldTurn:
        """Adds a turn that isn't held, and whose bytes are charged.

        Args:
            turn: Its names; the content in it isn't used.
            parts: Its content.
            now: Monotonic time in seconds.
        """
        held = HeldTurn(
            self.account,
            turn.turn,
            turn.previous,
            turn.customer,
            tuple(part for part in parts if part),
        )
        self.turns[branches.ScopedId(turn.customer, turn.turn)] = held
        self._use(held, now)
        return held

    def make_room(self, lacking: int) -> None:
        """Drops turns that no request uses until so many bytes are free.

        Args:
            lacking: Bytes to free.
        """
        before = self.account.charged
        while self.recent and before - self.account.charged < lacking:
            self._drop_oldest()

    def _use(self, held: HeldTurn, now: float) -> None:
        key = branches.ScopedId(held.customer, held.turn)
        if self.recent.pop(key, None) is None:
            self.kept += held.size
        self.recent[key] = _Recent(held, now)
        while self.kept > IDLE_BYTES:
            oldest = next(iter(self.recent.values()))
            if now - oldest.at < _RECENT_SECONDS:
                return
            del oldest
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, oldest = self.recent.popitem(last=False)
        self.kept -= oldest.held.size
