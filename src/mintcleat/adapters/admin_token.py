"""The operators' bearer token, which has a file of its own."""

import pathlib
import secrets

from mintcleat.adapters import wal_disk
from mintcleat.domain import errors
from mintcleat.ports import wal

_TOKEN_BYTES = 32
TOKEN_FILE = "admin-token"


def load(token_file: str, folder: pathlib.Path) -> str:
    """Returns the token in `token_file`, or else in the data folder.

    Raises:
        errors.InvalidSettings: `token_file` cannot be read or is empty.
    """
    if not token_file:
        return load_or_create(folder)
    try:
        token = pathlib.Path(token_file).read_text().strip()
    except OSError as error:
        raise errors.InvalidSettings(
            f"control_role.token_file: can't be read: {error.strerror}."
        ) from None
    if not token:
        raise errors.InvalidSettings("control_role.token_file: is empty.")
    return token


def load_or_create(folder: pathlib.Path, disk: wal.Disk | None = None) -> str:
    """Returns the token in the data folder; creates it on first use.

    The file gets mode 0600, and is synced before it gets its name: if it were
    empty after a power loss, an empty token would be accepted.
    """
    path = folder / TOKEN_FILE
    disk = disk or wal_disk.SystemDisk()
    existing = path.read_text().strip() if path.exists() else ""
    if existing:
        return existing
    wal_disk.make_folder(disk, folder)
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    wal_disk.replace_file(disk, path, [f"{token}\n".encode()])
    return token
