"""The file that holds the identity of the replica on a disk."""

import os
import pathlib
import shutil
import zlib

from loguru import logger
import msgpack

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import wal

FILE_NAME = "identity"


def read(
    folder: pathlib.Path, instance: str, detect_copies: bool = True
) -> identities.Incarnation | None:
    """Returns the stored identity, or None if the disk must be formatted.

    The file contains its own inode number, which differs in a copy such as a
    restored backup. A copy lacks votes and entries that the replica has
    acknowledged since, so it must not use the old identity. Its files are
    moved to a subfolder.

    Args:
        folder: The data folder.
        instance: Instance that the folder must belong to.
        detect_copies: Whether to compare inode numbers. Must be False where
            they change on a restart: each restart would look like a copy, and
            a restart of all instances would lose all data.

    Raises:
        errors.StorageDamaged: The file is corrupt or belongs to another
            instance.
    """
    path = folder / FILE_NAME
    if not path.exists():
        return None
    data = path.read_bytes()
    body = data[4:]
    if data[:4] != zlib.crc32(body).to_bytes(4, "big"):
        raise errors.StorageDamaged(
            f"The file {FILE_NAME!r} in the data folder is corrupt: its"
            " checksum does not match."
        )
    name, epoch, inode = msgpack.unpackb(body)
    if name != instance:
        raise errors.StorageDamaged(
            f"The data folder belongs to {name}, not to {instance}.",
            remedy="Give each instance a data folder of its own.",
        )
    if detect_copies and inode != path.stat().st_ino:
        _move_files_aside(folder, epoch)
        return None
    return identities.Incarnation(name, epoch)


def write(
    disk: wal.Disk, folder: pathlib.Path, identity: identities.Incarnation
) -> None:
    """Stores the identity durably, which completes formatting."""
    draft = folder / f"{FILE_NAME}.draft"
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        inode = os.fstat(descriptor).st_ino
        body = msgpack.packb([identity.instance, identity.epoch, inode])
        disk.write(descriptor, zlib.crc32(body).to_bytes(4, "big") + body)
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    draft.replace(folder / FILE_NAME)
    disk.sync_directory(folder)


def _move_files_aside(folder: pathlib.Path, epoch: int) -> None:
    aside = folder / f"copied-{epoch}"
    logger.warning("The data folder is a copy; moving its files to {}", aside)
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir()
    # The identity is moved last: a process that starts after a crash in between
    # must detect the copy again instead of finding a log without an identity.
    for path in sorted(folder.iterdir(), key=lambda p: p.name == FILE_NAME):
        if path != aside and path.name != "lock":
            path.rename(aside / path.name)
