"""Messages between the replicas, and the frame that carries them.

A frame is a msgpack array: sender, its address, receiver, and messages as
`[tag, fields...]`. A receiver drops a frame for another incarnation, so that
a replica on an emptied disk never answers for the one before it.
"""

from typing import Any
from typing import NamedTuple

import msgpack
import msgspec

from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities


class PreVoteRequest(NamedTuple):
    """Asks whether a vote for `term` would be granted; changes nothing."""

    group: str
    term: int
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """`term` is the one asked for when granted, else the voter's own."""

    group: str
    term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for a vote.

    Attributes:
        transfer: The leader itself asked for this election, and has given up
            its lease.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(NamedTuple):
    """Answer to Vote; sent once the vote is durable."""

    group: str
    term: int
    granted: bool


class Append(NamedTuple):
    """Entries that follow `previous_index`."""

    group: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[types.Entry]
    commit: int


class AppendReply(NamedTuple):
    """Answer to Append or InstallSnapshot, once the entries are durable.

    Attributes:
        index: The last matching index, or when refused the last index that
            may match.
        previous_index: Repeats that of a refused Append.
    """

    group: str
    term: int
    accepted: bool
    index: int
    previous_index: int = 0


class InstallSnapshot(NamedTuple):
    """Replaces a follower's log; `state` is the machine's snapshot."""

    group: str
    term: int
    snapshot: types.SnapshotMetadata
    state: bytes


class TimeoutNow(NamedTuple):
    """Tells a follower to hold an election at once."""

    group: str
    term: int


class GroupHeartbeat(NamedTuple):
    """Heartbeat of one group, inside Heartbeat."""

    group: str
    term: int
    commit: int


class Heartbeat(NamedTuple):
    """Heartbeats of all groups that the sender leads on the receiver.

    Attributes:
        life: Start of the sender's process; the reply repeats it.
        version: Number of the list; it grows when the list changes.
        sent: Sender's clock at sending; the lease counts from it.
        beats: The list, or None for the one that `version` named before.
    """

    process_epoch: int
    version: int
    sent: float
    beats: list[GroupHeartbeat] | None


class HeartbeatReply(NamedTuple):
    """Answer to Heartbeat.

    Attributes:
        known: Whether the receiver has the list; False asks for it.
        refused: Groups whose term is higher here, with that term.
    """

    process_epoch: int
    version: int
    sent: float
    known: bool
    refused: list[GroupHeartbeat]


class LedGroup(NamedTuple):
    """A group that the sender of a greeting leads, and its term."""

    group: str
    term: int


class Hello(NamedTuple):
    """Greets an instance; the frame says who lives at which address.

    Attributes:
        asks: Whether the sender may have to start a group and wants Known.
        own: What the sender says of itself.
        members: Instances that the sender heard lately, so that one that was
            told of a few gets to know all.
        leads: Groups that the sender leads.
    """

    asks: bool
    own: types.Member = types.Member("", "", "", "")
    members: list[types.Member] = []
    leads: list[LedGroup] = []


class KnownGroups(NamedTuple):
    """Groups in which the sender has voted or holds entries.

    It goes to the very incarnation that asked, so it is a statement made
    after the asker's disk was new.
    """

    groups: list[str]


class Frame(NamedTuple):
    """Messages from one replica's instance to another's."""

    sender: identities.Incarnation
    address: str
    to: identities.Incarnation
    messages: list[Any]


_KINDS: tuple[type, ...] = (
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    InstallSnapshot,
    TimeoutNow,
    Heartbeat,
    HeartbeatReply,
    Hello,
    KnownGroups,
)
_TAGS = {kind: tag for tag, kind in enumerate(_KINDS)}


def encode(frame: Frame) -> bytes:
    """Returns the frame as bytes."""
    items = [[_TAGS[type(item)], *item] for item in frame.messages]
    return msgpack.packb([frame.sender, frame.address, frame.to, items])


def encode_install(frame: Frame) -> tuple[bytes, bytes]:
    """Returns a frame of one InstallSnapshot as its head and the state.

    Joined they are what `encode` gives. A state may be a good part of the
    machine's memory, and several followers may be sent it at a time; encoded
    for each, it would be held twice or more for every one of them.
    """
    (message,) = frame.messages
    empty = encode(frame._replace(messages=[message._replace(state=b"")]))
    size = len(message.state)
    if size < 1 << 8:
        header = b"\xc4" + size.to_bytes(1, "big")
    elif size < 1 << 16:
        header = b"\xc5" + size.to_bytes(2, "big")
    else:
        header = b"\xc6" + size.to_bytes(4, "big")
    # The state is the last field of the last message: an empty one ends the
    # frame with two bytes.
    return empty[:-2] + header, message.state


def decode(data: bytes) -> Frame:
    """Returns the frame of these bytes.

    Raises:
        errors.BadRequest: They are no frame.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        frame = msgspec.convert(fields, Frame)
        items = [_message(item) for item in frame.messages]
    except (ValueError, TypeError, IndexError, msgspec.ValidationError) as e:
        raise errors.BadRequest(f"A peer sent no frame: {e}.") from e
    return frame._replace(messages=items)


def _message(item: list[Any]) -> Any:
    return msgspec.convert(item[1:], _KINDS[item[0]])
