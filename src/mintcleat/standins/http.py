"""A WSGI server for the stand-ins that can drop all its connections."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import json
import socket
from typing import Any

import eventlet
from eventlet import wsgi

from mintcleat.domain import head_lines

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    503: "Service Unavailable",
}


class HttpServer:
    """Serves a WSGI application on eventlet.

    Attributes:
        address: `IP:PORT` that the server listens on.
        clients: Sockets of the open connections; closed ones are removed
            when the next client connects.
    """

    def __init__(self, listen: str, application: Application) -> None:
        host, _, port = listen.rpartition(":")
        self.listener = eventlet.listen((host, int(port)), backlog=1024)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.clients: set[socket.socket] = set()
        self.original_accept = self.listener.accept
        self.listener.accept = self._accept
        self.pool = eventlet.GreenPool(4096)
        self.thread = eventlet.spawn(
            wsgi.server,
            self.listener,
            refuse_cut(application),
            log_output=False,
            custom_pool=self.pool,
            protocol=WholeHeadProtocol,
            keepalive=True,
            # Sends each token at once; the default buffers 4 KB.
            minimum_chunk_size=1,
        )

    def disconnect_clients(self) -> None:
        """Shuts down every connection, as if the process had died."""
        for client in list(self.clients):
            with contextlib.suppress(OSError):
                client.shutdown(socket.SHUT_RDWR)
        self.clients.clear()

    def stop(self) -> None:
        """Closes the listener and drops every connection."""
        self.thread.kill()
        self.listener.close()
        self.disconnect_clients()

    def _accept(self) -> tuple[socket.socket, Any]:
        client, address = self.original_accept()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.clients = {one for one in self.clients if one.fileno() >= 0}
        self.clients.add(client)
        return client, address


class WholeHeadProtocol(wsgi.HttpProtocol):
    """Answers 400 to a request whose connection ended within its head."""

    def parse_request(self) -> bool:
        """Parses the request line and headers; returns whether it succeeded."""
        lines = self.rfile = head_lines.HeadLines(self.rfile)
        if not super().parse_request():
            return False
        if not lines.is_complete:
            self.send_error(400, "The head ended before its blank line")
            self.close_connection = True
            return False
        return True


class BodyCut(Exception):
    """The connection ended within the body of a request, which must not run."""


def read_body(environ: dict[str, Any]) -> bytes:
    """Returns the whole body of a request.

    Raises:
        BodyCut: Its connection ended before its length.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length)
    if len(body) < length:
        raise BodyCut(f"Expected {length} bytes, received {len(body)}.")
    return body


def refuse_cut(application: Application) -> Application:
    """Returns an application that answers 400 to a body that was cut."""

    def serve(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        try:
            return application(environ, start_response)
        except BodyCut as error:
            return reply_json(start_response, {"error": str(error)}, 400)

    return serve


def reply_json(
    start_response: Callable[..., Any], value: Any, status: int = 200
) -> list[bytes]:
    """Starts a response and returns its body: a value as JSON."""
    data = json.dumps(value).encode()
    return reply(start_response, data, status, "application/json")


def reply(
    start_response: Callable[..., Any],
    data: bytes,
    status: int = 200,
    content_type: str = "application/octet-stream",
) -> list[bytes]:
    """Starts a response and returns its body."""
    phrase = _PHRASES.get(status, "Status")
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(data))),
    ]
    start_response(f"{status} {phrase}", headers)
    return [data]
