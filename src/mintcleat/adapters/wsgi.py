"""An HTTP server for WSGI applications, on eventlet's WSGI server."""

import resource
import socket
from typing import Any

import eventlet
from eventlet import wsgi
from loguru import logger

from mintcleat.adapters import http1_heads
from mintcleat.adapters import http_request
from mintcleat.adapters import problems
from mintcleat.adapters import streams
from mintcleat.domain import errors
from mintcleat.domain import head_lines

# Idle keep-alive connections are closed after this time. It must exceed the
# load balancer's idle timeout, or the balancer may send a request on a
# connection that is being closed.
_IDLE_TIMEOUT_SECONDS = 75.0
_MAX_CONNECTIONS = 10_000
# Part of the process's file descriptors for the connections of one server. It
# may have two; the rest is for streams and files.
_DESCRIPTOR_FRACTION = 0.4
# Bounds on a line before a chunk and on all trailers, and on what is read of a
# body that the application has left; eventlet has none. A caller within the
# limits may send its whole body before it reads the refusal.
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 16 * 1024
_MAX_DISCARDED_BYTES = http_request.MAX_BODY_BYTES


def max_connections() -> int:
    """Returns how many connections one server of this process may have."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return _MAX_CONNECTIONS
    return min(
        _MAX_CONNECTIONS, max(1, int(descriptors * _DESCRIPTOR_FRACTION))
    )


class HttpServer:
    """Serves one WSGI application.

    Attributes:
        address: `IP:PORT` that the server listens on.
        active: Number of requests in progress, including streamed responses.
        bodies: Bytes of their bodies.
    """

    def __init__(self, listen: str, app: Any) -> None:
        self.app = app
        self.listener = eventlet.listen(
            streams.split_address(listen), backlog=1024
        )
        # Accepted sockets inherit the option. Otherwise Nagle's algorithm
        # delays each small event until the previous one has been acknowledged,
        # and tokens arrive in bursts of 40 ms.
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.active = 0
        self.bodies = http_request.BodyBytes()
        self.pool = eventlet.GreenPool(max_connections())
        self.server = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Stops accepting connections; requests in progress continue."""
        self.server.kill()
        self.listener.close()

    def _serve(self) -> None:
        wsgi.server(
            self.listener,
            self._run_app,
            custom_pool=self.pool,
            protocol=ProblemProtocol,
            log=_DebugLog(),
            log_output=False,
            debug=False,
            socket_timeout=_IDLE_TIMEOUT_SECONDS,
            minimum_chunk_size=0,
        )

    def _run_app(self, environ: Any, start: Any) -> Any:
        self.active += 1
        environ[http_request.BODIES] = self.bodies
        try:
            body = self.app(environ, start)
        except BaseException:
            self._ended(environ)
            raise
        if isinstance(body, list):
            self._ended(environ)
            return body
        return self._count_streamed(environ, body)

    def _ended(self, environ: Any) -> None:
        self.active -= 1
        self.bodies.release(environ)

    def _count_streamed(self, environ: Any, body: Any) -> Any:
        """Yields a streamed body; it counts as active until it ends."""
        try:
            yield from body
        finally:
            self._ended(environ)
            if hasattr(body, "close"):
                body.close()


class ProblemProtocol(wsgi.HttpProtocol):
    """Responds to malformed requests with problem+json."""

    def parse_request(self) -> bool:
        """Parses the request line and headers; returns whether it succeeded."""
        lines = self.rfile = head_lines.HeadLines(self.rfile)
        try:
            if not super().parse_request():
                return False
            if not lines.is_complete:
                self._send_problem(
                    errors.BadRequest(
                        "The head of the request ended before its blank line."
                    )
                )
                return False
            return self._split_target()
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            self._send_problem(
                errors.TooLarge("The headers exceed the size limit.")
            )
            return False

    def _split_target(self) -> bool:
        """Splits a target that is a whole URI; returns whether it is valid."""
        try:
            absolute = http1_heads.split_absolute(self.path)
        except http1_heads.ProtocolError as error:
            self._send_problem(errors.BadRequest(str(error)))
            return False
        if absolute is not None:
            host, self.path = absolute
            del self.headers["Host"]
            self.headers["Host"] = host
        return True

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Responds to a malformed request line or header."""
        self._send_problem(errors.BadRequest(f"{message or explain or code}."))

    def _send_problem(self, error: errors.MintcleatError) -> None:
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

    def get_environ(self) -> dict[str, Any]:
        """Returns the environment of a request, with a bounded body."""
        environ = super().get_environ()
        body = environ["wsgi.input"]
        environ["wsgi.input"] = environ["eventlet.input"] = _BoundedInput(
            _BoundedLines(body.rfile),
            body.content_length,
            body._sock,
            body.wfile,
            body.wfile_line,
            body.chunked_input,
        )
        return environ


class _BoundedLines:
    """Reads bytes and whole lines that are not too long."""

    def __init__(self, file: Any) -> None:
        self.file = file
        self.read = file.read

    def readline(self, size: int = -1) -> bytes:
        """Returns a line, or a part of it of that size.

        Raises:
            OSError: The line is too long, or the connection ended within it.
        """
        if size >= 0:
            return self.file.readline(size)
        line = self.file.readline(_MAX_LINE_BYTES + 1)
        if len(line) > _MAX_LINE_BYTES:
            raise OSError(f"a line exceeds {_MAX_LINE_BYTES} bytes")
        if not line.endswith(b"\n"):
            raise OSError("the connection ended within a line")
        return line


class _BoundedInput(wsgi.Input):
    """The body of a request, of which little is read beside its content."""

    def discard(self, buffer_size: int = 16 * 1024) -> None:
        """Drops what the application has not read.

        Raises:
            OSError: It is too much or takes too long; eventlet closes the
                connection then.
        """
        late = OSError("the rest of the body takes too long")
        size = 0
        with eventlet.Timeout(http_request.BODY_TIMEOUT_SECONDS, late):
            while data := self.read(buffer_size):
                size += len(data)
                if size > _MAX_DISCARDED_BYTES:
                    raise OSError(
                        "the rest of the body exceeds "
                        f"{_MAX_DISCARDED_BYTES} bytes"
                    )

    def _discard_trailers(self, rfile: _BoundedLines) -> None:
        size = 0
        while (line := rfile.readline()) not in (b"\r\n", b"\n"):
            size += len(line)
            if size > _MAX_TRAILER_BYTES:
                raise OSError(f"the trailers exceed {_MAX_TRAILER_BYTES} bytes")


class _DebugLog:
    """Forwards the log of eventlet's server at debug level."""

    def write(self, text: str) -> None:
        """Logs a line at debug level."""
        logger.debug("{}", text.rstrip())

    def info(self, text: str) -> None:
        """Logs a line at debug level."""
        logger.debug("{}", text.rstrip())

    debug = info
    error = info
