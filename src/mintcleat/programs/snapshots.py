"""Encoding and decoding of the state of a program group."""

import dataclasses
from typing import Any

import msgpack
import msgspec

from mintcleat.domain import errors
from mintcleat.domain import msgpack_bytes
from mintcleat.programs import answers
from mintcleat.programs import branches
from mintcleat.programs import records
from mintcleat.programs import state

FORMAT = 1
# Bytes of at least this size are parts of their own, which share the memory of
# the state. Smaller ones are copied, as a part takes about as much itself.
_MIN_SHARED_BYTES = 256
# Index of the turn trees; snapshots of older releases end before it.
_BRANCHES_INDEX = 10
# Index of the origins of streams, likewise.
_STREAMS_INDEX = 11

_CALL_FIELDS = tuple(f.name for f in dataclasses.fields(records.Call))
_PROGRAM_FIELDS = tuple(
    f.name for f in dataclasses.fields(records.Program) if f.name != "calls"
)


def pack(group: state.Group) -> list[bytes]:
    """Encodes the state of a group, in parts.

    All replicas produce the same bytes. Large contents are in the parts as
    they are: a copy of all kept turns at once would double the memory that
    they take in the leader.
    """
    packer = msgpack.Packer()
    fields = [
        FORMAT,
        group.clock,
        group.last_attempt,
        group.deleted_programs,
        [_fields(p, _PROGRAM_FIELDS) for p in group.programs.values()],
        [_fields(call, _CALL_FIELDS) for call in group.calls.values()],
        [list(item) for item in group.activity.items()],
        [list(item) for item in group.ended],
        [
            [name, group.histories.read(name, 1, program.next_turn - 1)]
            for name, program in group.programs.items()
            if program.next_turn > 1
        ],
        _stored_answers(group),
    ]
    streams = [group.streams.state()] if group.streams.begun else []
    count = len(fields) + 1 + len(streams)
    return [
        packer.pack_array_header(count) + b"".join(map(packer.pack, fields)),
        *_branch_parts(group.branches.state(), packer),
        b"".join(map(packer.pack, streams)),
    ]


def _branch_parts(fields: list[Any], packer: msgpack.Packer) -> list[bytes]:
    """Encodes the turn trees; the contents of turns are parts as they are."""
    turns = fields[branches.TURNS_INDEX]
    small = [
        packer.pack_array_header(len(fields)),
        *map(packer.pack, fields[: branches.TURNS_INDEX]),
        packer.pack_array_header(len(turns)),
    ]
    parts = []
    for turn in turns:
        small.append(packer.pack_array_header(len(turn)))
        for value in turn:
            if value.__class__ is bytes and len(value) >= _MIN_SHARED_BYTES:
                small.append(msgpack_bytes.header(len(value)))
                parts += (b"".join(small), value)
                small = []
            else:
                small.append(packer.pack(value))
    small.extend(map(packer.pack, fields[branches.TURNS_INDEX + 1 :]))
    parts.append(b"".join(small))
    return parts


def unpack(group: state.Group, data: bytes) -> None:
    """Replaces the state of a group by an encoded one.

    Raises:
        errors.StorageDamaged: The snapshot has another format. The group is
            empty then, and its replica must stop.
    """
    # Before decoding, so that two states are not in memory at once.
    group.clear()
    parts = msgpack.unpackb(data, strict_map_key=False)
    if parts[0] != FORMAT:
        raise errors.StorageDamaged(
            f"The snapshot has format {parts[0]}, but {FORMAT} is expected;"
            " use the release that wrote it."
        )
    group.clock, group.last_attempt, group.deleted_programs = parts[1:4]
    for values in parts[4]:
        program = _record(records.Program, _PROGRAM_FIELDS, values)
        group.programs[program.program] = program
    for values in parts[5]:
        _add_call(group, _record(records.Call, _CALL_FIELDS, values))
    group.activity.update((name, clock) for name, clock in parts[6])
    group.ended.extend((clock, name) for clock, name in parts[7])
    if len(parts) > _BRANCHES_INDEX:
        group.branches.load(parts[_BRANCHES_INDEX])
    if len(parts) > _STREAMS_INDEX:
        group.streams.load(parts[_STREAMS_INDEX])
    for name, stored in parts[8] + parts[9]:
        for record in stored:
            group.histories.append(name, record)


def _add_call(group: state.Group, call: records.Call) -> None:
    group.calls[call.number] = call
    if call.program:
        group.programs[call.program].calls[call.key] = call
    else:
        group.standalone_calls[call.customer, call.key] = call


def _stored_answers(group: state.Group) -> list[Any]:
    names = [
        answers.sequence_name(call)
        for call in group.calls.values()
        if call.is_stored
    ]
    return [[name, group.histories.read(name, 1, 1)] for name in names]


def _fields(item: Any, names: tuple[str, ...]) -> list[Any]:
    return [getattr(item, name) for name in names]


def _record(kind: type, names: tuple[str, ...], values: list[Any]) -> Any:
    return msgspec.convert(dict(zip(names, values, strict=True)), kind)
