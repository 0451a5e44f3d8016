"""A large update on its way to a node: compressed, in parts that count.

A started node waits only shortly for a control instance's word, and a whole
configuration takes longer than that over a slow link. Sent as one message, it
would be given up and begun again at one instance after another, while the
node refuses every caller. Each part that arrives is a sign of life, and what
arrived is not sent again by the next instance.
"""

from typing import Any
from typing import NamedTuple
import zlib

import xxhash

from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import member_messages

# Bytes of one part. A link of 15 Mbit/s carries one in 9 ms.
PART_BYTES = 16 * 1024
# Text of sections, in bytes, and registrations in one message at most.
SMALL_SECTIONS = 16 * 1024
SMALL_DIRECTORY = 80
# Bytes of an update once it is decompressed; as much as a message may have.
MAX_UPDATE = 64 * 1024 * 1024
# Sections repeat their field names. The fastest level leaves an eighth of
# them; higher ones leave hardly less and take up to twice the time.
LEVEL = 1
# Updates kept ready for the next node. Nodes lag by few revisions at a time.
KEPT = 8


class Packed(NamedTuple):
    """An update as it travels.

    Attributes:
        digest: Tells the bytes of one update from those of another.
    """

    digest: bytes
    data: bytes


class Progress(NamedTuple):
    """How much of which update a node holds; 0 bytes for none."""

    digest: bytes
    size: int


NO_PROGRESS = Progress(b"", 0)


def is_large(update: Any) -> bool:
    """Tells whether an update is worth parts."""
    match update:
        case config_messages.ConfigUpdate(sections=sections):
            return sum(map(len, sections.values())) > SMALL_SECTIONS
        case member_messages.DirectoryUpdate(changed=changed):
            return len(changed) > SMALL_DIRECTORY
        case _:
            return False


def pack(update: Any) -> Packed:
    """Returns an update as it travels, the same bytes on every instance."""
    data = zlib.compress(codec.encode(update), LEVEL)
    return Packed(xxhash.xxh3_128_digest(data), data)


class UpdateCache:
    """Updates that were packed for one node and serve the next ones."""

    def __init__(self) -> None:
        self.packed: dict[tuple[str, int, int], Packed] = {}

    def parts(
        self, key: tuple[str, int, int], update: Any, held: Progress
    ) -> list[config_messages.UpdatePart]:
        """Returns the parts that a node lacks.

        Args:
            key: Kind of the update, and the revisions it leads from and to.
            update: What to send.
            held: What the node has of it, or of another update.
        """
        if key not in self.packed:
            while len(self.packed) >= KEPT:
                del self.packed[next(iter(self.packed))]
            self.packed[key] = pack(update)
        digest, data = self.packed[key]
        begin = held.size if held.digest == digest else 0
        return [
            config_messages.UpdatePart(
                digest, len(data), at, data[at : at + PART_BYTES]
            )
            for at in range(begin, len(data), PART_BYTES)
        ]


class Reassembler:
    """Puts updates together on the node's side.

    Attributes:
        digest: Digest of the update that is arriving; empty for none.
        data: Its bytes so far.
    """

    def __init__(self) -> None:
        self.digest = b""
        self.data = bytearray()

    def progress(self) -> Progress:
        """Returns what an instance need not send again."""
        return (
            Progress(self.digest, len(self.data)) if self.data else NO_PROGRESS
        )

    def take(self, message: Any) -> Any:
        """Returns the whole update with its last part, None before.

        Messages that are no parts are returned as they are.

        Raises:
            errors.BadRequest: A part is missing, or the bytes are damaged.
                What arrived is dropped; the next transfer begins anew.
        """
        if not isinstance(message, config_messages.UpdatePart):
            return message
        if message.digest != self.digest:
            self.digest = message.digest
            self.data.clear()
        if message.offset != len(self.data) or not message.data:
            self._drop()
            raise errors.BadRequest("A part of an update is missing.")
        self.data += message.data
        if len(self.data) < message.size:
            return None
        data = bytes(self.data)
        digest = self.digest
        self._drop()
        if xxhash.xxh3_128_digest(data) != digest:
            raise errors.BadRequest("An update arrived damaged.")
        return _unpack(data)

    def _drop(self) -> None:
        self.digest = b""
        self.data.clear()


def _unpack(data: bytes) -> Any:
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(data, MAX_UPDATE)
    except zlib.error as error:
        raise errors.BadRequest(f"An update can't be read: {error}.") from None
    if stream.unconsumed_tail:
        raise errors.TooLarge(f"An update is over {MAX_UPDATE} bytes.")
    return codec.decode(text)
