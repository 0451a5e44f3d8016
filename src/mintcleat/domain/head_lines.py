"""Tells whether the head of a message was read to its end.

The standard library takes the end of a connection for the end of a head. What
was to follow may be a key, a length or a name.
"""

from typing import Protocol


class Lines(Protocol):
    """A file that is read line by line."""

    def readline(self, size: int = -1) -> bytes:
        """Returns a line; a part of it at the end of the file."""


class HeadLines:
    """Reads the lines of a head.

    Attributes:
        is_complete: Whether the last line was the blank one at its end.
    """

    def __init__(self, file: Lines) -> None:
        self.file = file
        self.is_complete = False

    def readline(self, size: int = -1) -> bytes:
        """Returns a line; a part of it at the end of the connection."""
        line = self.file.readline(size)
        self.is_complete = line in (b"\r\n", b"\n")
        return line
