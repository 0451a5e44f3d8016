"""Tests reading segments with generated damage."""

import hypothesis
from hypothesis import strategies

from mintcleat.adapters import wal_segment
from mintcleat.domain import errors

SALT = 7
BATCHES = strategies.lists(
    strategies.lists(strategies.binary(max_size=30), min_size=1, max_size=4),
    min_size=1,
    max_size=5,
)


def written(batches: list[list[bytes]]) -> tuple[bytes, int]:
    """Returns a segment and the start offset of its last batch."""
    data = wal_segment.header(wal_segment.BASE, SALT)
    start = len(data)
    for batch in batches:
        start = len(data)
        data += b"".join(
            wal_segment.frame(SALT, start, record) for record in batch
        )
    return data, start


def read(data: bytes) -> tuple[list[bytes], int]:
    """Returns the records of a last segment and the offset of their end."""
    found, end = wal_segment.last_records(data, "s")
    assert found == list(wal_segment.records(data[:end], "s"))
    return found, end


@hypothesis.given(BATCHES, strategies.integers(0, 10_000))
def test_log_cut_anywhere_reads_as_a_prefix(
    batches: list[list[bytes]], cut: int
) -> None:
    data, _ = written(batches)
    every = [record for batch in batches for record in batch]
    size = wal_segment.HEADER_SIZE + cut % (
        len(data) - wal_segment.HEADER_SIZE + 1
    )
    found, end = read(data[:size])
    assert found == every[: len(found)]
    assert end <= size


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    BATCHES, strategies.integers(0, 10_000), strategies.integers(0, 7)
)
def test_flipped_bit_never_changes_or_loses_what_was_synced(
    batches: list[list[bytes]], place: int, bit: int
) -> None:
    """A bit of the log is wrong when an instance starts.

    A damaged record is never handed out, and one before the last batch is
    never cut without a word: whoever acknowledged it would have lost it.
    """
    data, last_start = written(batches)
    body = len(data) - wal_segment.HEADER_SIZE
    offset = wal_segment.HEADER_SIZE + place % body
    damaged = bytearray(data)
    damaged[offset] ^= 1 << bit
    every = [record for batch in batches for record in batch]
    try:
        found, _ = read(bytes(damaged))
    except errors.StorageDamaged:
        assert offset < last_start
        return
    assert offset >= last_start
    assert found == every[: len(found)]
    assert len(found) >= len(every) - len(batches[-1])


def test_torn_record_whose_payload_contains_a_forged_record_is_cut() -> None:
    """A torn record's payload contains what looks like a later batch's record.

    If it were accepted as a record, the torn write would look like corruption
    and the instance would not start.
    """
    forged = wal_segment.frame(SALT + 1, 10_000, b"forged")
    data = wal_segment.header(wal_segment.BASE, SALT)
    data += wal_segment.frame(SALT, len(data), forged + bytes(50))
    assert read(data)[0] == [forged + bytes(50)]
    assert read(data[:-1])[0] == []
