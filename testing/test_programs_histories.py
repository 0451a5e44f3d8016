"""The history store in files."""

import os
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from mintcleat.adapters import histories
from mintcleat.domain import errors
from mintcleat.programs import histories as memory

NAMES = strategies.sampled_from(["a", "b", "answer/3"])
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("append"), NAMES, strategies.binary(max_size=90)
        ),
        strategies.tuples(
            strategies.just("forget"), NAMES, strategies.just(b"")
        ),
    ),
    max_size=60,
)


@hypothesis.given(STEPS)
@hypothesis.settings(
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_files_hold_the_same_records_as_memory(
    tmp_path: pathlib.Path, steps: list[tuple[str, str, bytes]]
) -> None:
    files = histories.FileHistoryStore(tmp_path, segment_bytes=200)
    plain = memory.MemoryHistoryStore()
    for action, name, record in steps:
        for store in (files, plain):
            if action == "append":
                store.append(name, record)
            else:
                store.forget(name)
    for name in ("a", "b", "answer/3"):
        assert files.read(name, 1, 99) == plain.read(name, 1, 99)
        assert files.read(name, 2, 3) == plain.read(name, 2, 3)


def test_space_of_deleted_records_is_reclaimed(tmp_path: pathlib.Path) -> None:
    store = histories.FileHistoryStore(tmp_path, segment_bytes=1000)
    for number in range(200):
        store.append(f"p{number}", b"x" * 100)
    for number in range(1, 200):
        store.forget(f"p{number}")
    assert store.read("p0", 1, 1) == [b"x" * 100]
    assert store.file_bytes() < 3000
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 3000


def test_reading_a_corrupt_record_raises_storage_damaged(
    tmp_path: pathlib.Path,
) -> None:
    """A byte of the file changes on the disk.

    The read must not return other text as the program's history. It raises
    the error whose remedy names the repair.
    """
    store = histories.FileHistoryStore(tmp_path)
    store.append("p", b"a long enough record")
    (path,) = tmp_path.iterdir()
    with path.open("r+b") as file:
        file.seek(-3, os.SEEK_END)
        file.write(b"!")
    with pytest.raises(errors.StorageDamaged):
        store.read("p", 1, 1)


def test_store_is_empty_after_a_restart(tmp_path: pathlib.Path) -> None:
    histories.FileHistoryStore(tmp_path).append("p", b"old")
    assert histories.FileHistoryStore(tmp_path).read("p", 1, 1) == []
