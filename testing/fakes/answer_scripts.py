"""Answers of stand-in engines with every framing, line end and end."""

from typing import NamedTuple

import eventlet

from fakes import platform_engine

LENGTH = "length"
CHUNKS = "chunks"
CLOSE = "close"
FRAMINGS = (LENGTH, CHUNKS, CLOSE)
WHOLE = "whole"
QUIET = "quiet"
RESET = "reset"
CRASH = "crash"
ENDS = (WHOLE, QUIET, RESET, CRASH)
LINE_ENDS = (b"\n", b"\r\n", b"\r")
# Time for which the bytes before a reset are on their way.
_RESET_SECONDS = 0.02


class Answer(NamedTuple):
    """An answer of an engine.

    Attributes:
        framing: What ends its body: a length, a last chunk or the end of its
            connection.
        end: `WHOLE`, or how its connection ends: in order, by a reset, or in
            order since the engine crashes.
        sent: Bytes of the body that are sent before that; None for all.
        count: Number of the last event of a stream.
        line_end: End of the lines of a stream.
        step: Bytes of each write; 0 for all in one.
        plain: Body of an answer that is no stream; empty for a stream.
    """

    framing: str = CHUNKS
    end: str = WHOLE
    sent: int | None = None
    count: int = 3
    line_end: bytes = b"\n"
    step: int = 0
    plain: bytes = b""

    def body(self, first: int = 1) -> bytes:
        """Returns the whole body; of a stream, from an event on."""
        if self.plain:
            return self.plain
        events = range(first, self.count + 1)
        text = b"".join(platform_engine.event(number) for number in events)
        return text.replace(b"\n", self.line_end)


def script(answer: Answer) -> platform_engine.Script:
    """Returns a script that gives an answer."""

    def run(
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        first = int(received.headers.get("last-event-id", "0")) + 1
        body = answer.body(first)
        connection.send(connection.head(received, _fields(answer, body)))
        _send_body(connection, answer, body[: answer.sent])
        return _end(connection, answer)

    return run


def _fields(answer: Answer, body: bytes) -> dict[str, str]:
    fields = {"Content-Type": "text/event-stream"}
    if answer.plain:
        fields = {"Content-Type": "text/plain"}
    if answer.framing == LENGTH:
        fields["Content-Length"] = str(len(body))
    elif answer.framing == CHUNKS:
        fields["Transfer-Encoding"] = "chunked"
    return fields


def _send_body(
    connection: platform_engine.Connection, answer: Answer, body: bytes
) -> None:
    step = answer.step or len(body) or 1
    for start in range(0, len(body), step):
        piece = body[start : start + step]
        if answer.framing == CHUNKS:
            connection.chunk(piece)
        else:
            connection.send(piece)
        eventlet.sleep(0)


def _end(connection: platform_engine.Connection, answer: Answer) -> bool:
    """Ends an answer; returns whether the connection stays open."""
    match answer.end:
        case "whole":
            if answer.framing == CHUNKS:
                connection.end_stream()
            return answer.framing != CLOSE
        case "reset":
            eventlet.sleep(_RESET_SECONDS)
            connection.reset()
        case "crash":
            connection.engine.crash()
    return False
