"""The operators' bearer token, kept in a file of its own."""

import pathlib
import secrets

from mintcleat.adapters import wal_disk
from mintcleat.domain import errors
from mintcleat.ports import wal

_TOKEN_BYTES = 32
TOKEN_FILE = "admin-token"


def load(token_file: str, folder: pathlib.Path) -> str:
    """Returns the token in the named file, or the one in the data folder.

    Raises:
        errors.InvalidSettings: The named file can't be read or is empty.
    """
    if not token_file:
        return load_or_create(folder)
    try:
        token = pathlib.Path(token_file).read_text().strip()
    except OSError as error:
        raise errors.InvalidSettings(
            f"control_role.token_file: {error.strerror}."
        ) from None
    if not token:
        raise errors.InvalidSettings("control_role.token_file: is empty.")
    return token


def load_or_create(folder: pathlib.Path, disk: wal.Disk | None = None) -> str:
    """Returns the token in `folder`, making it on first use.

    The file is made with mode 0600, synced and only then named: an empty file
    after a loss of power would make the empty token a valid one.
    """
    path = folder / TOKEN_FILE
    disk = disk or wal_disk.SystemDisk()
    held = path.read_text().strip() if path.exists() else ""
    if held:
        return held
    wal_disk.make_folder(disk, folder)
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    wal_disk.replace_file(disk, path, f"{token}\n".encode())
    return token
