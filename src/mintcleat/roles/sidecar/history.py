"""The histories that a sidecar keeps, so that entries send only new turns."""

import collections

from mintcleat.domain import digests
from mintcleat.domain import errors
from mintcleat.domain import identities


class Histories:
    """Finished turns by program, the least recently used dropped first.

    Attributes:
        limit: Bytes of messages kept. What is dropped is sent again by the
            entry, so the limit costs time and never an answer.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.turns: collections.OrderedDict[str, list[identities.Turn]] = (
            collections.OrderedDict()
        )
        self.sizes: dict[str, int] = {}
        self.size = 0

    def count_kept(self, program: str, turn: int, digest: bytes) -> int:
        """Returns how many turns of this very history are kept here.

        A history of another digest is dropped: it may hold a turn that was
        never committed, and mixing the two would answer the wrong request.
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
        """Adds turns that an entry sent, each checked by its digest.

        Raises:
            errors.BadRequest: The turns do not continue what is kept here.
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
                    " history kept here."
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
        """Keeps a turn that was just committed behind `base` turns."""
        kept = self.turns.get(program, [])[:base]
        if len(kept) < base:
            return
        turn = identities.Turn(base + 1, added, digests.chain(digest, added))
        self._store(program, [*kept, turn])

    def drop(self, program: str) -> None:
        """Forgets a program."""
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
