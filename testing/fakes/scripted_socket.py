"""A connection whose received bytes come from a script, without a socket."""

from typing import Any


class ScriptedSocket:
    """Records what is sent; see `ScriptedReader` for what is received."""

    def __init__(self) -> None:
        self.fd = self
        self.sent = b""

    def send(self, data: bytes) -> int:
        self.sent += bytes(data)
        return len(data)

    def sendall(self, data: bytes) -> None:
        self.send(data)

    def shutdown(self, how: int) -> None:
        pass

    def close(self) -> None:
        pass


class ScriptedReader:
    """Returns parts in order, then the end of the connection.

    Attributes:
        reset: Whether the connection is reset after the parts.
        unread: Always empty: the next part arrives when it is read.
    """

    unread = b""

    def __init__(self, parts: list[bytes], reset: bool = False) -> None:
        self.parts = [part for part in parts if part]
        self.reset = reset
        self.closed = False

    def read(self) -> bytes:
        if self.parts:
            return self.parts.pop(0)
        self.closed = True
        if self.reset:
            raise ConnectionResetError("reset by the script")
        return b""

    def discard(self) -> None:
        self.parts = []

    def stop(self) -> None:
        pass


def splits(data: bytes) -> Any:
    """Yields the data whole, byte by byte, and split at every position."""
    yield [data]
    yield [data[index : index + 1] for index in range(len(data))]
    for index in range(1, len(data)):
        yield [data[:index], data[index:]]
