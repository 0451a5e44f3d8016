"""Answers of stand-in engines whose bytes never end."""

import gc
import time
from typing import Any
from typing import NamedTuple

import eventlet

from fakes import platform_engine

# Bytes of one write at full speed.
_WRITE_BYTES = 16 * 1024
# The first part of a head that would begin an answer.
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_STREAM = b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Stands for the head of an answer to the request, without its last line.
HEAD = b"<head>"
# Stands for the number of a repetition.
NUMBER = b"<number>"


class Endless(NamedTuple):
    """Bytes that an engine sends until its caller closes the connection.

    Attributes:
        begin: Bytes before those that are repeated; `HEAD` stands for a head
            that answers the request.
        repeated: Bytes that are repeated; none to wait for the close. `NUMBER`
            in them stands for the number of the repetition.
    """

    begin: bytes
    repeated: bytes

    def repetitions(self, first: int, count: int) -> bytes:
        """Returns some repetitions, from the one with a number on."""
        if NUMBER not in self.repeated:
            return count * self.repeated
        return b"".join(
            self.repeated.replace(NUMBER, b"%09d" % number)
            for number in range(first, first + count)
        )


# Bytes that can't become an answer, whatever follows.
GARBAGE = {
    "no protocol": Endless(b"", b"x"),
    "NULs": Endless(b"", b"\0"),
    "blank lines": Endless(b"", b"\r\n"),
    "status line": Endless(b"HTTP/1.1 200 ", b"O"),
    "header line": Endless(STATUS_LINE + b"X-A: ", b"a"),
    "header lines": Endless(STATUS_LINE, b"X-A: aaaaaaaaaaaaaaaaaaaa\r\n"),
    "NULs in a header": Endless(STATUS_LINE + b"X-A: ", b"\0"),
    "answers 100": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "answers 102": Endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "answers 103": Endless(b"", b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"),
    "chunk size": Endless(HEAD + _CHUNKED + b"\r\n", b"0"),
    "chunk extension": Endless(HEAD + _CHUNKED + b"\r\n1;", b"a"),
    "no chunk": Endless(HEAD + _CHUNKED + b"\r\n", b"\0"),
    "line ends for a chunk": Endless(HEAD + _CHUNKED + b"\r\n", b"\r\n"),
    "longer than its chunk": Endless(HEAD + _CHUNKED + b"\r\n1\r\n", b"a"),
    "trailers": Endless(HEAD + _CHUNKED + b"\r\n0\r\n", b"X-A: aaaaa\r\n"),
    "trailer": Endless(HEAD + _CHUNKED + b"\r\n0\r\nX-A: ", b"a"),
}
# Bodies that an answer may have, but without an end.
BODIES = {
    "chunks": Endless(HEAD + _CHUNKED + b"\r\n", b"5\r\nabcde\r\n"),
    "one chunk": Endless(HEAD + _CHUNKED + b"\r\nffffffffffff\r\n", b"a"),
    "until the close": Endless(HEAD + b"\r\n", b"abcde"),
    "longest length": Endless(
        HEAD + b"Content-Length: 9223372036854775807\r\n\r\n", b"a"
    ),
}
# Streams of events without end.
STREAMS = {
    "events": Endless(
        HEAD + _STREAM + b"\r\n", b"id: " + NUMBER + b"\ndata: a\n\n"
    ),
    "empty events": Endless(HEAD + _STREAM + b"\r\n", b"data\n\n"),
    "comments": Endless(HEAD + _STREAM + b"\r\n", b":\n\n"),
    "events in chunks": Endless(
        HEAD + _STREAM + _CHUNKED + b"\r\n",
        b"17\r\nid: " + NUMBER + b"\ndata: a\n\n\r\n",
    ),
}
# Events without end, each of which is too long.
LONG_EVENTS = {
    "event line": Endless(HEAD + _STREAM + b"\r\ndata: ", b"a"),
    "event lines": Endless(HEAD + _STREAM + b"\r\n", b"data: a\n"),
    "event lines with CR": Endless(HEAD + _STREAM + b"\r\n", b"data: a\r"),
    "NULs for an event": Endless(HEAD + _STREAM + b"\r\n", b"\0"),
}


def spare_earlier_objects(test: Any) -> None:
    """Leaves what earlier tests hold out of garbage collections.

    With millions of objects, one collection takes half a second, and endless
    answers make many.
    """
    gc.freeze()
    test.addCleanup(gc.unfreeze)


class Sent:
    """What became of one endless answer.

    Attributes:
        count: Bytes that were sent.
        began: Monotonic time of its first byte.
        closed: Monotonic time at which its caller had closed; 0 before.
    """

    def __init__(self) -> None:
        self.count = 0
        self.began = time.monotonic()
        self.closed = 0.0


class EndlessScript:
    """A script that sends bytes without end.

    Attributes:
        pause: Seconds after each repetition; 0 for full speed.
        answers: The answers that were begun.
    """

    def __init__(self, endless: Endless, pause: float = 0.0) -> None:
        self.endless = endless
        self.pause = pause
        self.answers: list[Sent] = []

    def __call__(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        sent = Sent()
        self.answers.append(sent)
        head = connection.head(received).removesuffix(b"\r\n")
        endless, number, count = self.endless, 1, 1
        if not self.pause:
            count = -(-_WRITE_BYTES // len(endless.repeated))
        try:
            connection.send(endless.begin.replace(HEAD, head))
            while True:
                block = endless.repetitions(number, count)
                number += count
                connection.send(block)
                sent.count += len(block)
                eventlet.sleep(self.pause)
        except OSError:
            sent.closed = time.monotonic()
        return False


class EndlessServer:
    """Sends the same bytes to whoever sends it anything.

    Attributes:
        endless: What it sends.
        open: Number of connections that have not been closed.
        requests: Number of connections on which something was received.
    """

    def __init__(self, endless: Endless, pause: float = 0.0) -> None:
        self.endless = endless
        self.pause = pause
        self.open = 0
        self.requests = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.thread = eventlet.spawn(self._accept)

    def stop(self) -> None:
        self.thread.kill()
        self.listener.close()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.open += 1
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        block = self.endless.repeated
        if block and not self.pause:
            block *= -(-_WRITE_BYTES // len(block))
        try:
            if sock.recv(_WRITE_BYTES):
                self.requests += 1
                begin = self.endless.begin.replace(HEAD, STATUS_LINE)
                sock.sendall(begin)
            while True:
                if block:
                    sock.sendall(block)
                elif not sock.recv(_WRITE_BYTES):
                    return
                eventlet.sleep(self.pause)
        except OSError:
            pass
        finally:
            self.open -= 1
            sock.close()
