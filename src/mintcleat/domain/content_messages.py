"""Contents of turns, which are sent between processes in parts.

A conversation may have many megabytes, and many turns may continue it at the
same time. In one message for each of them it would be in memory several times,
at its sender and at its receiver, for as long as either is slow.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple

# Largest part: a transfer holds a few of them at a time, and others share the
# connection and the event loop between two.
MAX_PART_BYTES = 128 * 1024
# Content up to this size is sent within the message that needs it. Parts would
# cost another round trip.
INLINE_BYTES = 64 * 1024
# Largest content of one turn.
MAX_CONTENT_BYTES = 16 * 1024 * 1024


class ChainTurn(NamedTuple):
    """A turn of a chain without its content.

    Attributes:
        input_bytes: Size of its input.
        output_bytes: Size of its output.
        upstream: Upstream that ran it.
    """

    turn: str
    previous: str
    input_bytes: int
    output_bytes: int
    upstream: str = ""


class FetchChain(NamedTuple):
    """Asks a leader for the content of a chain, as ChainParts on one exchange.

    They bring the input and the output of each turn, from the oldest turn on,
    without marks between them. The sender closes the exchange when it has all.

    Attributes:
        program: Program that continues the chain.
        turn: Last turn of the chain.
        customer: Owner of the chain.
        offset: Bytes of the content that the sender has already.
    """

    program: str
    turn: str
    customer: str
    offset: int


class ChainPart(NamedTuple):
    """The next part of a content; MAX_PART_BYTES at most."""

    data: bytes


class SendContent(NamedTuple):
    """Announces the content of a turn that is about to be closed.

    The leader answers ContentHeld when it has room, and again after each
    ChainPart that the log has; the last one says that it has all. A content
    that was begun at another leader goes on from what the log has.

    Attributes:
        program: Program of the turn.
        nonce: Distinguishes this content from others under the same id.
        size: Bytes of the turn's input and its output.
    """

    program: str
    turn: str
    customer: str
    nonce: int
    size: int


class ContentHeld(NamedTuple):
    """States how many bytes of a content the log has."""

    offset: int


class StageContent(NamedTuple):
    """Adds a part to the content of a turn that is about to be closed.

    A command of the replicated log, which the leader makes of a ChainPart.
    Repeating it has no effect.

    Attributes:
        nonce: As in SendContent.
        offset: Bytes of the content before the part; 0 begins another one.
    """

    program: str
    turn: str
    customer: str
    nonce: int
    offset: int
    data: bytes


class StagedContent(NamedTuple):
    """Names the content of a turn that StageContent has brought.

    Attributes:
        nonce: As in SendContent.
        input_bytes: Size of the turn's input.
        output_bytes: Size of its output, which follows the input.
    """

    nonce: int
    input_bytes: int
    output_bytes: int
