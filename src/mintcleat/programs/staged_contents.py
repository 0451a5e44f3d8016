"""Contents of turns that are about to be closed, as part of a group's state.

A turn may have an input of several megabytes. In one command it would be in
memory many times on its way into the log: in the leader's connection, its
command, its write-ahead log and its frames to each follower. In parts, each of
these holds a part at a time.
"""

import collections
from typing import Any

from mintcleat.domain import byte_parts
from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import identities

# Time for which a content is kept that nobody closes, by the group's clock. Its
# sender gives up earlier.
STAGED_SECONDS = 60.0

Key = tuple[str, str]


class Staged:
    """A content as far as the log has it.

    Attributes:
        nonce: Distinguishes it from others under the same turn.
        parts: Its parts; empty once its turn is closed.
        size: Bytes that were staged.
        until: Group clock after which it is dropped.
        is_closed: Whether its turn is closed.
    """

    def __init__(self, nonce: int, until: float) -> None:
        self.nonce = nonce
        self.parts: list[bytes] = []
        self.size = 0
        self.until = until
        self.is_closed = False

    def held_bytes(self) -> int:
        """Returns the bytes that it takes."""
        return 0 if self.is_closed else self.size


class StagedContents:
    """Staged contents of one group.

    Attributes:
        by_turn: The contents by customer and turn, the earliest first.
    """

    def __init__(self) -> None:
        self.by_turn: collections.OrderedDict[Key, Staged] = (
            collections.OrderedDict()
        )

    def held(self, customer: str, turn: str, nonce: int) -> int:
        """Returns how many bytes of a content there are."""
        found = self.by_turn.get((customer, turn))
        return found.size if found and found.nonce == nonce else 0

    def sizes(self) -> dict[Key, int]:
        """Returns the bytes that each content takes."""
        return {key: one.held_bytes() for key, one in self.by_turn.items()}

    def add(self, request: content_messages.StageContent, clock: float) -> Any:
        """Adds a part; returns a Done, or why it doesn't follow."""
        self.expire(clock)
        key = (request.customer, request.turn)
        found = self.by_turn.get(key)
        if request.offset > self.held(*key, request.nonce):
            return errors.Superseded(
                f"The content of turn {request.turn} up to byte "
                f"{request.offset} has expired, or another one was begun."
            )
        if found is None or found.nonce != request.nonce:
            found = self.by_turn[key] = Staged(
                request.nonce, clock + STAGED_SECONDS
            )
            self.by_turn.move_to_end(key)
        if request.offset == found.size and not found.is_closed:
            found.parts.append(request.data)
            found.size += len(request.data)
        return identities.Done()

    def content(
        self, customer: str, turn: str, staged: content_messages.StagedContent
    ) -> tuple[bytes, bytes] | None:
        """Returns input and output of a turn; None if they are not whole."""
        found = self.by_turn.get((customer, turn))
        sizes = (staged.input_bytes, staged.output_bytes)
        if (
            found is None
            or found.nonce != staged.nonce
            or found.is_closed
            or found.size != sum(sizes)
        ):
            return None
        parts = list(found.parts)
        content, output = map(b"".join, byte_parts.split(parts, sizes))
        return content, output

    def close(self, customer: str, turn: str) -> None:
        """Drops a content whose turn is closed, and remembers that."""
        found = self.by_turn.get((customer, turn))
        if found is not None:
            found.is_closed = True
            found.parts = []

    def is_closed(self, customer: str, turn: str, nonce: int) -> bool:
        """Returns whether a turn was closed with a content."""
        found = self.by_turn.get((customer, turn))
        return found is not None and found.nonce == nonce and found.is_closed

    def drop(self, customer: str, turn: str) -> None:
        """Drops what was staged for a turn that isn't kept."""
        self.by_turn.pop((customer, turn), None)

    def expire(self, clock: float) -> None:
        """Drops the contents that nobody has closed in time."""
        while self.by_turn:
            key, oldest = next(iter(self.by_turn.items()))
            if oldest.until >= clock:
                return
            del self.by_turn[key]

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        return [
            [*key, one.nonce, one.until, one.is_closed, one.size, one.parts]
            for key, one in self.by_turn.items()
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        self.by_turn.clear()
        for customer, turn, nonce, until, is_closed, size, parts in state:
            staged = self.by_turn[customer, turn] = Staged(nonce, until)
            staged.is_closed, staged.size = is_closed, size
            staged.parts = list(parts)
