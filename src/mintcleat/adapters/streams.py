"""Multiplexed msgpack streams over TCP, on eventlet.

A frame on the wire is a 4-byte big-endian length and a msgpack array
`[exchange, flags, message or None]`. The dialling side numbers exchanges.
"""

import contextlib
import socket
import struct
from typing import Any

import eventlet
from eventlet import queue
from loguru import logger
import msgpack

from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.ports import streams

MAX_FRAME = 64 * 1024 * 1024
_OPEN = 1
_CLOSE = 2
_CONNECT_SECONDS = 2.0
_HEADER = struct.Struct(">I")
_CLOSED = object()


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class TcpExchange:
    """One exchange on a connection; see `ports.streams.Exchange`."""

    def __init__(self, connection: "Connection", number: int) -> None:
        self.connection = connection
        self.number = number
        self.peer = connection.peer
        self.inbox: queue.LightQueue = queue.LightQueue()
        self.closed = False

    def send(self, message: Any) -> None:
        """Sends a message."""
        if self.closed:
            raise errors.StreamClosed(f"The exchange with {self.peer} closed.")
        self.connection.write(self.number, 0, message)

    def receive(self, timeout: float | None = None) -> Any:
        """Returns the next message; a Failure is raised as its error."""
        try:
            message = self.inbox.get(timeout=timeout)
        except queue.Empty:
            raise errors.StreamTimeout(
                f"No message from {self.peer} within {timeout} s."
            ) from None
        if message is _CLOSED:
            self.inbox.put(_CLOSED)
            raise errors.StreamClosed(f"The exchange with {self.peer} closed.")
        if isinstance(message, errors.Failure):
            raise errors.from_failure(message)
        return message

    def close(self) -> None:
        """Ends the exchange for both sides."""
        if self.closed:
            return
        self.closed = True
        self.connection.forget(self.number)
        self.inbox.put(_CLOSED)


class Connection:
    """One TCP connection and the exchanges on it."""

    def __init__(
        self, sock: socket.socket, peer: str, hub: "TcpStreams"
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.hub = hub
        self.exchanges: dict[int, TcpExchange] = {}
        self.next_number = 1
        self.lost = False
        self.write_lock = eventlet.semaphore.Semaphore()

    def open(self, message: Any) -> TcpExchange:
        """Opens an exchange from this side."""
        number = self.next_number
        self.next_number += 1
        exchange = TcpExchange(self, number)
        self.exchanges[number] = exchange
        self.write(number, _OPEN, message)
        return exchange

    def write(self, number: int, flags: int, message: Any) -> None:
        """Writes one frame; a failed write loses the connection."""
        body = None if message is None else codec.to_wire(message)
        data = msgpack.packb([number, flags, body], use_bin_type=True)
        if len(data) > MAX_FRAME:
            raise errors.TooLarge(f"A message of {len(data)} bytes.")
        try:
            with self.write_lock:
                self.sock.sendall(_HEADER.pack(len(data)) + data)
        except OSError as error:
            self.lose()
            raise errors.StreamClosed(
                f"{self.peer} is lost: {error}."
            ) from None

    def forget(self, number: int) -> None:
        """Drops an exchange and tells the peer."""
        if self.exchanges.pop(number, None) is not None and not self.lost:
            try:
                self.write(number, _CLOSE, None)
            except errors.StreamClosed:
                return

    def read_forever(self) -> None:
        """Reads frames until the connection ends or the peer errs."""
        try:
            reader = self.sock.makefile("rb")
            while True:
                header = reader.read(_HEADER.size)
                if len(header) < _HEADER.size:
                    return
                (length,) = _HEADER.unpack(header)
                if length > MAX_FRAME:
                    logger.warning("{} sent an oversized frame", self.peer)
                    return
                data = reader.read(length)
                if len(data) < length:
                    return
                self._take(data)
        except OSError:
            return
        except (errors.BadRequest, ValueError, TypeError) as error:
            logger.warning("Closing the connection to {}: {}", self.peer, error)
        finally:
            self.lose()

    def _take(self, data: bytes) -> None:
        number, flags, body = msgpack.unpackb(
            data, raw=False, strict_map_key=False
        )
        message = None if body is None else codec.from_wire(body)
        if flags & _OPEN:
            exchange = TcpExchange(self, number)
            self.exchanges[number] = exchange
            eventlet.spawn(self.hub.serve, exchange, message)
            return
        exchange = self.exchanges.get(number)
        if exchange is None:
            return
        if flags & _CLOSE:
            del self.exchanges[number]
            exchange.closed = True
            exchange.inbox.put(_CLOSED)
            return
        exchange.inbox.put(message)

    def lose(self) -> None:
        """Closes the socket and every exchange."""
        if self.lost:
            return
        self.lost = True
        self.hub.drop(self)
        for exchange in list(self.exchanges.values()):
            exchange.closed = True
            exchange.inbox.put(_CLOSED)
        self.exchanges.clear()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()


class TcpStreams:
    """Dials and serves; see `ports.streams.Streams`.

    Attributes:
        address: `IP:PORT` that this instance listens on.
    """

    def __init__(self, listen: str) -> None:
        self.listener = eventlet.listen(split_address(listen), backlog=1024)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.handlers: dict[type, streams.Handler] = {}
        self.dialled: dict[str, Connection] = {}
        self.accepted: set[Connection] = set()
        self.dial_locks: dict[str, eventlet.semaphore.Semaphore] = {}
        self.stopped = False
        eventlet.spawn(self._accept_forever)

    def open(self, address: str, message: Any) -> TcpExchange:
        """Opens an exchange with a first message."""
        return self._connection(address).open(message)

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        """Sends one message and returns the one reply."""
        exchange = self.open(address, message)
        try:
            return exchange.receive(timeout)
        finally:
            exchange.close()

    def handle(self, kind: type, handler: streams.Handler) -> None:
        """Runs `handler` for each exchange that opens with `kind`."""
        self.handlers[kind] = handler

    def serve(self, exchange: TcpExchange, message: Any) -> None:
        """Runs the handler of one exchange and closes it."""
        handler = self.handlers.get(type(message))
        try:
            if handler is None:
                raise errors.BadRequest(
                    f"No handler here for {type(message).__name__}."
                )
            handler(exchange, message)
        except errors.MintcleatError as error:
            self._send_failure(exchange, error)
        except Exception:
            logger.exception("A handler failed.")
            self._send_failure(
                exchange, errors.MintcleatError("A handler failed.")
            )
        finally:
            exchange.close()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self.stopped = True
        self.listener.close()
        for connection in [*self.dialled.values(), *self.accepted]:
            connection.lose()

    def drop(self, connection: Connection) -> None:
        """Forgets a lost connection."""
        self.accepted.discard(connection)
        if self.dialled.get(connection.peer) is connection:
            del self.dialled[connection.peer]

    def _send_failure(
        self, exchange: TcpExchange, error: errors.MintcleatError
    ) -> None:
        try:
            exchange.send(error.failure())
        except errors.StreamClosed:
            return

    def _connection(self, address: str) -> Connection:
        lock = self.dial_locks.setdefault(
            address, eventlet.semaphore.Semaphore()
        )
        with lock:
            found = self.dialled.get(address)
            if found is not None and not found.lost:
                return found
            connection = self._dial(address)
            self.dialled[address] = connection
            eventlet.spawn(connection.read_forever)
            return connection

    def _dial(self, address: str) -> Connection:
        try:
            with eventlet.Timeout(_CONNECT_SECONDS, TimeoutError):
                sock = eventlet.connect(split_address(address))
        except (OSError, TimeoutError) as error:
            raise errors.StreamClosed(
                f"{address} cannot be reached: {error}.",
                outcome=errors.NOT_RUN,
            ) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock, address, self)

    def _accept_forever(self) -> None:
        while not self.stopped:
            try:
                sock, address = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer = f"{address[0]}:{address[1]}"
            connection = Connection(sock, peer, self)
            self.accepted.add(connection)
            eventlet.spawn(connection.read_forever)
