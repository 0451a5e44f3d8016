"""Messages between replicas, and the frame that carries them.

A frame is a msgpack array of the sender, its address, the receiver, and a
list of messages as `[tag, fields...]`. A receiver drops frames for another
incarnation, so that a replica on an emptied disk never replies in place of
the replica that the disk held before.
"""

from typing import Any
from typing import NamedTuple

import msgpack
import msgspec

from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import msgpack_bytes


class PreVoteRequest(NamedTuple):
    """Asks whether the receiver would grant a vote in `term`.

    It changes no state at the receiver.

    Attributes:
        last_index: Index of the sender's last entry.
        last_term: Term of that entry.
    """

    group: str
    term: int
    last_index: int
    last_term: int


class PreVoteReply(NamedTuple):
    """Reply to PreVoteRequest.

    Attributes:
        term: The requested term if granted, else the receiver's own.
    """

    group: str
    term: int
    granted: bool


class VoteRequest(NamedTuple):
    """Asks for a vote in `term`.

    Attributes:
        last_index: Index of the sender's last entry.
        last_term: Term of that entry.
        transfer: Whether the leader itself requested this election and has
            given up its lease.
    """

    group: str
    term: int
    last_index: int
    last_term: int
    transfer: bool = False


class VoteReply(NamedTuple):
    """Reply to VoteRequest, sent once the vote is durable."""

    group: str
    term: int
    granted: bool


class Append(NamedTuple):
    """Entries to append after `previous_index` (AppendEntries in Raft).

    Attributes:
        previous_term: Term of the entry at `previous_index`.
        commit: The leader's commit index.
    """

    group: str
    term: int
    previous_index: int
    previous_term: int
    entries: list[types.Entry]
    commit: int


class AppendReply(NamedTuple):
    """Reply to Append or InstallSnapshot, sent once the entries are durable.

    Attributes:
        index: Last matching index; if refused, the last index that may
            match.
        previous_index: `previous_index` of the refused Append.
    """

    group: str
    term: int
    accepted: bool
    index: int  # type: ignore[assignment]
    previous_index: int = 0


class InstallSnapshot(NamedTuple):
    """Replaces a follower's log up to the end of a snapshot.

    Attributes:
        state: The serialized state machine.
    """

    group: str
    term: int
    snapshot: types.SnapshotMetadata
    state: bytes


class TimeoutNow(NamedTuple):
    """Asks a follower to start an election at once."""

    group: str
    term: int


class GroupHeartbeat(NamedTuple):
    """Heartbeat of one group, part of a Heartbeat.

    Attributes:
        commit: Commit index, limited to what the receiver is known to hold.
            In a HeartbeatReply it is as received.
    """

    group: str
    term: int
    commit: int


class Heartbeat(NamedTuple):
    """Heartbeats of all groups that the sender leads and the receiver holds.

    Attributes:
        process_epoch: Number of the sender's process start; the reply
            repeats it.
        version: Version of the list of groups; it grows with each change.
        sent: Time of sending by the sender's clock; the lease starts there.
        groups: The list, or None if it is the one sent as `version` before.
    """

    process_epoch: int
    version: int
    sent: float
    groups: list[GroupHeartbeat] | None


class HeartbeatReply(NamedTuple):
    """Reply to Heartbeat.

    Attributes:
        process_epoch: That of the Heartbeat, as are `version` and `sent`.
        known: Whether this instance has the list of that version; False
            requests it.
        refused: Groups whose term here is higher, with that term; a group
            that is unknown here has term 0.
    """

    process_epoch: int
    version: int
    sent: float
    known: bool
    refused: list[GroupHeartbeat]


class LedGroup(NamedTuple):
    """A group that the sender of a Hello leads, and its term."""

    group: str
    term: int


class Hello(NamedTuple):
    """Announces the sender to an instance.

    The frame around it carries the sender's incarnation and address.

    Attributes:
        asks: Whether the sender requests KnownGroups, because it may have to
            bootstrap a group.
        own: How the sender describes itself.
        members: Instances that the sender has heard from recently, so that an
            instance configured with a few of them discovers the others.
        leads: Groups that the sender leads.
    """

    asks: bool
    own: types.Member = types.Member("", "", "", "")
    members: list[types.Member] = []
    leads: list[LedGroup] = []


class KnownGroups(NamedTuple):
    """Groups in which the sender has voted or holds entries.

    It is addressed to the incarnation that requested it, so it was sent after
    the requester's disk was formatted.
    """

    groups: list[str]


class Frame(NamedTuple):
    """Messages from one instance to another.

    Attributes:
        address: Stream address of the sender.
        to: Receiver; epoch 0 stands for any incarnation of the instance.
        messages: Messages of the kinds above.
    """

    sender: identities.Incarnation
    address: str
    to: identities.Incarnation
    messages: list[Any]


# A message's tag is its position here, so the order must not change.
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
    """Returns a frame as msgpack bytes."""
    items = [[_TAGS[type(item)], *item] for item in frame.messages]
    return msgpack.packb([frame.sender, frame.address, frame.to, items])


def encode_install(frame: Frame) -> tuple[bytes, bytes]:
    """Returns a frame of one InstallSnapshot in two parts: header and state.

    Joined, they equal the result of `encode`. A state may take a large part
    of the host's memory and may be sent to several followers at a time;
    `encode` would copy it at least once for each of them.
    """
    (message,) = frame.messages
    empty = encode(frame._replace(messages=[message._replace(state=b"")]))
    header = msgpack_bytes.header(len(message.state))
    # The state is the last field of the last message. An empty one takes the
    # last two bytes of the frame.
    return empty[:-2] + header, message.state


def decode(data: bytes) -> Frame:
    """Returns the frame that the bytes encode.

    Raises:
        errors.BadRequest: The bytes are not a valid frame.
    """
    try:
        fields = msgpack.unpackb(data, strict_map_key=False)
        fields[3] = [_message(item) for item in fields[3]]
        return msgspec.convert(fields, Frame)
    except (ValueError, TypeError, LookupError, msgspec.ValidationError) as e:
        raise errors.BadRequest(f"A peer sent an invalid frame: {e}.") from e


def _message(item: list[Any]) -> Any:
    return msgspec.convert(item[1:], _KINDS[item[0]])
