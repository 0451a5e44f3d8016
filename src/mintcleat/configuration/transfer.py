"""Transfer of large updates to nodes: compressed, in parts, resumable.

A node that has just started waits only briefly for a control instance before
it turns to the next one, and a whole configuration takes longer than that over
a slow link. If it were a single message, the node would abort the transfer and
start again at one instance after another, and refuse all callers meanwhile.
Each part resets the node's timeout, and another instance continues where the
previous one stopped.
"""

from typing import Any
from typing import NamedTuple
import zlib

import xxhash

from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import member_messages

# Size of one part; a link of 15 Mbit/s carries it in 9 ms.
PART_BYTES = 16 * 1024
# Largest updates that are sent as one message: total characters of the section
# texts, and number of registrations.
MAX_SINGLE_SECTION_CHARACTERS = 16 * 1024
MAX_SINGLE_REGISTRATIONS = 80
# Largest decompressed update; the same as the limit of a message.
MAX_UPDATE_BYTES = 64 * 1024 * 1024
# The fastest level of zlib. It reduces sections, which repeat their field
# names, to an eighth; higher levels gain little and take up to twice as long.
COMPRESSION_LEVEL = 1
# Number of updates cached for other nodes. At any time the nodes are at few
# distinct revisions.
UPDATES_CACHED = 8


class Packed(NamedTuple):
    """An encoded and compressed update.

    Attributes:
        digest: 128-bit xxh3 digest of `data`.
    """

    digest: bytes
    data: bytes


class Progress(NamedTuple):
    """How much of an update a node has received.

    Attributes:
        digest: Digest of the whole update; empty for none.
        size: Bytes received from its start.
    """

    digest: bytes
    size: int


NO_PROGRESS = Progress(b"", 0)


def is_large(update: Any) -> bool:
    """Returns whether an update must be sent in parts."""
    match update:
        case config_messages.ConfigUpdate(sections=sections):
            return (
                sum(map(len, sections.values())) > MAX_SINGLE_SECTION_CHARACTERS
            )
        case member_messages.DirectoryUpdate(changed=changed):
            return len(changed) > MAX_SINGLE_REGISTRATIONS
        case _:
            return False


def pack(update: Any) -> Packed:
    """Returns the compressed update; its bytes are equal on all instances."""
    data = zlib.compress(codec.encode(update), COMPRESSION_LEVEL)
    return Packed(xxhash.xxh3_128_digest(data), data)


class UpdateCache:
    """Packed updates, kept for the next nodes that need the same ones.

    Attributes:
        packed: Updates by kind and the revisions they lead from and to, oldest
            first.
    """

    def __init__(self) -> None:
        self.packed: dict[tuple[str, int, int], Packed] = {}

    def parts(
        self, key: tuple[str, int, int], update: Any, held: Progress
    ) -> list[config_messages.UpdatePart]:
        """Returns the parts of an update that a node lacks.

        Args:
            key: Kind of the update, and the revisions it leads from and to.
            update: The update, a ConfigUpdate or a DirectoryUpdate.
            held: What the node has received of it, or of another update.
        """
        if key not in self.packed:
            while len(self.packed) >= UPDATES_CACHED:
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
    """Reassembles updates from their parts, on a node.

    Attributes:
        digest: Digest of the update being received; empty for none.
        data: The bytes received of it so far.
    """

    def __init__(self) -> None:
        self.digest = b""
        self.data = bytearray()

    def progress(self) -> Progress:
        """Returns what was received and need not be sent again."""
        return (
            Progress(self.digest, len(self.data)) if self.data else NO_PROGRESS
        )

    def take(self, message: Any) -> Any:
        """Handles a received message, which may be a part of an update.

        Returns:
            The update if this was its last part; None for any other part. A
            message that isn't a part is returned unchanged.

        Raises:
            errors.BadRequest: A part is missing, or the update is damaged. The
                received parts are dropped, so the next transfer starts over.
            errors.TooLarge: The update exceeds MAX_UPDATE_BYTES.
        """
        if not isinstance(message, config_messages.UpdatePart):
            return message
        if message.digest != self.digest:
            self.digest = message.digest
            self.data.clear()
        if message.offset != len(self.data) or not message.data:
            self._drop()
            raise errors.BadRequest(
                "A part of an update is empty or doesn't follow the last one."
            )
        self.data += message.data
        if len(self.data) < message.size:
            return None
        data = bytes(self.data)
        digest = self.digest
        self._drop()
        if xxhash.xxh3_128_digest(data) != digest:
            raise errors.BadRequest(
                "The digest of an update doesn't match its bytes."
            )
        return _unpack(data)

    def _drop(self) -> None:
        self.digest = b""
        self.data.clear()


def _unpack(data: bytes) -> Any:
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(data, MAX_UPDATE_BYTES)
    except zlib.error as error:
        raise errors.BadRequest(
            f"An update can't be decompressed: {error}."
        ) from None
    if not stream.eof and not stream.unconsumed_tail:
        raise errors.BadRequest("The compressed bytes of an update end early.")
    if stream.unconsumed_tail:
        raise errors.TooLarge(
            f"A decompressed update is over {MAX_UPDATE_BYTES} bytes."
        )
    return codec.decode(text)
