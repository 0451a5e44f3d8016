"""The replica identity on a disk."""

import os
import pathlib
import shutil
import zlib

from loguru import logger
import msgpack

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import wal

FILE = "identity"


def read(
    folder: pathlib.Path, instance: str, detect_copies: bool = True
) -> identities.Incarnation | None:
    """Returns the identity, or None when this disk must be formatted.

    The file holds its own inode number. A restored backup is a copy, whose
    inode differs: it has forgotten votes and entries that it acknowledged, so
    it must not speak under the old identity. Its files are set aside.

    Args:
        folder: The data folder.
        instance: Who it must belong to.
        detect_copies: Whether files keep their inode numbers over a restart.
            Where they don't, each restart would look like a copy, and a
            restart of all instances would lose everything.

    Raises:
        errors.StorageDamaged: The file is unreadable or another instance's.
    """
    path = folder / FILE
    if not path.exists():
        return None
    data = path.read_bytes()
    body = data[4:]
    if data[:4] != zlib.crc32(body).to_bytes(4, "big"):
        raise errors.StorageDamaged(f"{FILE} in the data folder is unreadable.")
    name, epoch, inode = msgpack.unpackb(body)
    if name != instance:
        raise errors.StorageDamaged(
            f"The data folder belongs to {name}, not to {instance}.",
            remedy="Give each instance a data folder of its own.",
        )
    if detect_copies and inode != path.stat().st_ino:
        _set_aside(folder, epoch)
        return None
    return identities.Incarnation(name, epoch)


def write(
    disk: wal.Disk, folder: pathlib.Path, identity: identities.Incarnation
) -> None:
    """Stores the identity durably; the disk is formatted from then on."""
    draft = folder / f"{FILE}.draft"
    descriptor = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        inode = os.fstat(descriptor).st_ino
        body = msgpack.packb([identity.instance, identity.epoch, inode])
        disk.write(descriptor, zlib.crc32(body).to_bytes(4, "big") + body)
        disk.sync(descriptor)
    finally:
        os.close(descriptor)
    draft.replace(folder / FILE)
    disk.sync_directory(folder)


def _set_aside(folder: pathlib.Path, epoch: int) -> None:
    aside = folder / f"copied-{epoch}"
    logger.warning("The data folder is a copy; its files move to {}", aside)
    shutil.rmtree(aside, ignore_errors=True)
    aside.mkdir()
    # The identity goes last: a start in between must find the copy again, and
    # not a log without an identity.
    for path in sorted(folder.iterdir(), key=lambda p: p.name == FILE):
        if path != aside and path.name != "lock":
            path.rename(aside / path.name)
