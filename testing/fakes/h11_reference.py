"""HTTP/1.1 by h11, as a reference for the parsers of mintcleat."""

from typing import NamedTuple

import h11


class Message(NamedTuple):
    """A parsed message.

    Attributes:
        start: Method and target, or status and reason.
        headers: Names in lower case, and values.
    """

    start: tuple[str, str]
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Exchange(NamedTuple):
    """What happened on one connection of a client.

    Attributes:
        message: The response; None if it is invalid or incomplete.
        reusable: Whether the connection can carry another request.
    """

    message: Message | None
    reusable: bool


def serve(parts: list[bytes], limit: int) -> tuple[list[Message], list[int]]:
    """Returns the requests in received bytes, and the response statuses.

    Each request gets an empty response 200; an invalid one gets its error.
    """
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
    waiting = [*parts, b""]
    requests: list[Message] = []
    statuses: list[int] = []
    while True:
        try:
            request = _read(http, waiting)
        except h11.RemoteProtocolError as error:
            return requests, [*statuses, error.error_status_hint]
        if request is None:
            return requests, statuses
        requests.append(request)
        statuses.append(200)
        headers = [("content-length", "0")]
        http.send(h11.Response(status_code=200, headers=headers))
        http.send(h11.EndOfMessage())
        if http.our_state is not h11.DONE:
            return requests, statuses
        http.start_next_cycle()


def fetch(method: str, parts: list[bytes], reset: bool = False) -> Exchange:
    """Returns the first final response in received bytes."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
    http.send(h11.EndOfMessage())
    waiting = [*parts, *([] if reset else [b""])]
    try:
        message = _read(http, waiting)
    except (h11.RemoteProtocolError, IndexError):
        return Exchange(None, False)
    done = http.their_state is h11.DONE and http.our_state is h11.DONE
    rest, closed = http.trailing_data
    reusable = message is not None and done and not rest and not closed
    return Exchange(message, reusable)


def parse_responses(data: bytes, methods: list[str]) -> list[Message]:
    """Parses all responses in received bytes.

    Args:
        data: The responses.
        methods: Methods of the requests; GET for further responses.
    """
    responses = []
    while data:
        http = h11.Connection(h11.CLIENT)
        method = methods[len(responses)] if methods[len(responses) :] else "GET"
        http.send(
            h11.Request(method=method, target="/", headers=[("host", "")])
        )
        http.send(h11.EndOfMessage())
        responses.append(_read(http, [data, b""]))
        data = http.trailing_data[0]
    return responses


def _read(http: h11.Connection, waiting: list[bytes]) -> Message | None:
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(waiting.pop(0))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return _message(head, body)
        elif not isinstance(event, h11.InformationalResponse):
            return None


def _message(head: h11.Request | h11.Response, body: bytes) -> Message:
    if isinstance(head, h11.Request):
        start = head.method.decode(), head.target.decode()
    else:
        start = str(head.status_code), head.reason.decode("latin-1")
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    return Message(start, headers, body)
