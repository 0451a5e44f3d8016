"""The plain answer of an upstream that an entry collects before it sends it."""

from collections.abc import Iterator

from mintcleat.decisions import answer_memory

# Size up to which a response is collected before it is sent, so that another
# upstream can replace it if it breaks off. Larger ones are sent as they arrive,
# which bounds what is held for a caller that reads slowly; so are those for
# which `answer_memory` has no room.
MAX_COLLECTED_BYTES = 1024 * 1024


class CollectedAnswer:
    """The plain answer that a request collects.

    Attributes:
        size: Its bytes that are in memory.
    """

    def __init__(self, memory: answer_memory.AnswerMemory) -> None:
        self.memory = memory
        self.size = 0

    def read(self, chunks: Iterator[bytes]) -> bytes:
        """Returns a body, or as much of it as there is room for."""
        parts = []
        for data in chunks:
            parts.append(data)
            self.size += len(data)
            self.memory.collect(len(data))
            if self.size >= MAX_COLLECTED_BYTES or (
                self.size >= answer_memory.SMALL_BYTES
                and not self.memory.has_room(len(data))
            ):
                break
        return b"".join(parts)

    def release(self) -> None:
        """Records that nothing of it is in memory any more."""
        self.memory.collect(-self.size)
        self.size = 0
