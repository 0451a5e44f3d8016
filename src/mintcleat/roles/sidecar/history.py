"""Histories of programs at a sidecar, so that entries send only new turns."""

import collections

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities


class Histories:
    """Finished turns by program; the least recently used are dropped first.

    Attributes:
        limit: Maximum size of the stored messages in characters. Entries send
            dropped turns again, so a low limit costs time only.
        turns: Turns of each program.
        sizes: Size of each program's messages.
        size: Size of all stored messages.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.turns: collections.OrderedDict[str, list[identities.Turn]] = (
            collections.OrderedDict()
        )
        self.sizes: dict[str, int] = {}
        self.size = 0

    def count_kept(self, program: str, turn: int, digest: bytes) -> int:
        """Returns how many of the first `turn` turns are stored here.

        A history with a different digest is dropped: it may include a turn
        that was never committed, and the prompt would be wrong.

        Args:
            program: The program.
            turn: Number of turns that are needed.
            digest: Digest of the history up to that turn.
        """
        kept = self.turns.get(program, [])
        if len(kept) < turn:
            return len(kept)
        if turn == 0:
            return 0
        if kept[turn - 1].digest != digest:
            self.drop(program)
            return 0
        return turn

    def extend(self, program: str, turns: list[identities.Turn]) -> None:
        """Adds turns from an entry after checking their digests.

        Raises:
            errors.BadRequest: The turns do not continue the stored history.
        """
        kept = list(self.turns.get(program, []))
        for turn in turns:
            if turn.turn <= len(kept):
                continue
            previous = kept[-1].digest if kept else digests.EMPTY
            digest = digests.chain(previous, turn.messages)
            if turn.turn != len(kept) + 1 or digest != turn.digest:
                self.drop(program)
                raise errors.BadRequest(
                    f"Turn {turn.turn} of {program} does not follow the"
                    " history stored at the sidecar."
                )
            kept.append(turn)
        self._store(program, kept)

    def prompt(self, program: str, turn: int) -> list[str]:
        """Returns the messages of the first `turn` turns."""
        kept = self.turns.get(program, [])[:turn]
        return [message for item in kept for message in item.messages]

    def finish(
        self, program: str, base: int, digest: bytes, added: list[str]
    ) -> None:
        """Adds a committed turn after the first `base` turns.

        Args:
            program: The program.
            base: Number of turns before it.
            digest: Digest of these turns.
            added: Messages of the new turn.
        """
        kept = self.turns.get(program, [])[:base]
        if len(kept) < base:
            return
        turn = identities.Turn(base + 1, added, digests.chain(digest, added))
        self._store(program, [*kept, turn])

    def drop(self, program: str) -> None:
        """Removes a program."""
        self.turns.pop(program, None)
        self.size -= self.sizes.pop(program, 0)

    def _store(self, program: str, kept: list[identities.Turn]) -> None:
        self.drop(program)
        size = sum(len(text) for turn in kept for text in turn.messages)
        self.turns[program] = kept
        self.sizes[program] = size
        self.size += size
        while self.size > self.limit and len(self.turns) > 1:
            self.drop(next(iter(self.turns)))
