"""eventlet's WSGI server with our limits and a graceful stop."""

import socket
from typing import Any

import eventlet
from eventlet import wsgi
from loguru import logger

from mintcleat.adapters import problems
from mintcleat.adapters import streams
from mintcleat.domain import errors

# Idle keep-alive connections are closed after this many seconds. It must be
# longer than the balancer's own idle time, or the balancer may send a request
# on a connection that is just being closed.
_SOCKET_SECONDS = 75.0
_MAX_CONNECTIONS = 10_000


class HttpServer:
    """Serves one WSGI application.

    Attributes:
        address: `IP:PORT` that it listens on.
        active: Requests that are being answered, streams included.
    """

    def __init__(self, listen: str, app: Any) -> None:
        self.app = app
        self.listener = eventlet.listen(
            streams.split_address(listen), backlog=1024
        )
        # Accepted sockets inherit it. Without it the kernel holds back each
        # small event until the caller has acknowledged the one before, and
        # tokens come in bursts of 40 ms.
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.active = 0
        self.pool = eventlet.GreenPool(_MAX_CONNECTIONS)
        self.server = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Stops accepting; what is under way goes on."""
        self.server.kill()
        self.listener.close()

    def _serve(self) -> None:
        wsgi.server(
            self.listener,
            self._counted,
            custom_pool=self.pool,
            protocol=TypedProtocol,
            log=_Quiet(),
            log_output=False,
            debug=False,
            socket_timeout=_SOCKET_SECONDS,
            minimum_chunk_size=0,
        )

    def _counted(self, environ: Any, start: Any) -> Any:
        self.active += 1
        try:
            body = self.app(environ, start)
        except BaseException:
            self.active -= 1
            raise
        if isinstance(body, list):
            self.active -= 1
            return body
        return self._stream(body)

    def _stream(self, body: Any) -> Any:
        """Yields a streamed body and counts it as active until it ends."""
        try:
            yield from body
        finally:
            self.active -= 1
            if hasattr(body, "close"):
                body.close()


class TypedProtocol(wsgi.HttpProtocol):
    """Refuses what can't be parsed as problem+json, like everything else."""

    def parse_request(self) -> bool:
        """Reads the request line and the headers; False ends the request."""
        try:
            return super().parse_request()
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            self._refuse(errors.TooLarge("A header is over its size limit."))
            return False

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Answers a malformed request line or header."""
        self._refuse(errors.BadRequest(f"{message or explain or code}."))

    def _refuse(self, error: errors.MintcleatError) -> None:
        body = problems.body(error, "")
        lines = [
            f"HTTP/1.1 {problems.status_line(error.status)}",
            f"Content-Type: {problems.CONTENT_TYPE}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.wfile.write(head + body)
        self.close_connection = 1


class _Quiet:
    """The server's own log lines, passed on at debug level."""

    def write(self, text: str) -> None:
        """Takes a line of the server's log."""
        logger.debug("{}", text.rstrip())

    def info(self, text: str) -> None:
        """Takes a line of the server's log."""
        logger.debug("{}", text.rstrip())

    debug = info
