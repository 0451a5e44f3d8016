"""The operators' bearer token, kept in a file of its own."""

import os
import pathlib
import secrets

from mintcleat.domain import errors

_TOKEN_BYTES = 32
TOKEN_FILE = "admin-token"


def load(token_file: str, folder: pathlib.Path) -> str:
    """Returns the token in the named file, or the one in the data folder.

    Raises:
        errors.InvalidSettings: The named file can't be read or is empty.
    """
    if not token_file:
        return load_or_make(folder)
    try:
        token = pathlib.Path(token_file).read_text().strip()
    except OSError as error:
        raise errors.InvalidSettings(
            f"control_role.token_file: {error.strerror}."
        ) from None
    if not token:
        raise errors.InvalidSettings("control_role.token_file: is empty.")
    return token


def load_or_make(folder: pathlib.Path) -> str:
    """Returns the token in `folder`, making it on first use.

    The file is created with mode 0600 in one step: a file made readable
    first and restricted afterwards could be opened in between.
    """
    path = folder / TOKEN_FILE
    try:
        return path.read_text().strip()
    except FileNotFoundError:
        pass
    folder.mkdir(parents=True, exist_ok=True)
    token = secrets.token_urlsafe(_TOKEN_BYTES)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    handle = os.open(path, flags, 0o600)
    with os.fdopen(handle, "w") as file:
        file.write(token + "\n")
    return token
