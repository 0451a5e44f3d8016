"""Multiplexed msgpack streams over TCP, on eventlet.

One connection between two processes carries all exchanges that one of them
opened. Flow control is per exchange, so a slow reader blocks only its own
sender.
"""

import contextlib
import socket
import time
from typing import Any

import eventlet
from eventlet import event
from loguru import logger

from mintcleat.adapters import streams_connection
from mintcleat.adapters import streams_exchange
from mintcleat.adapters import streams_limits
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.ports import streams

_FLUSH_SECONDS = 1.0


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `IP:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class TcpStreams:
    """Implements `ports.streams.Streams` over TCP.

    Attributes:
        address: `IP:PORT` that this instance listens on.
        dialled: Connections that this process opened, by address.
        accepted: Connections that peers opened.
        pending_dials: Dials in progress, by address. The event is sent the
            connection or the error.
    """

    def __init__(
        self, listen: str, limits: streams_limits.Limits | None = None
    ) -> None:
        self.limits = limits or streams_limits.Limits()
        self.listener = eventlet.listen(split_address(listen), backlog=1024)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.handlers: dict[type, streams.Handler] = {}
        self.dialled: dict[str, streams_connection.Connection] = {}
        self.accepted: set[streams_connection.Connection] = set()
        self.pending_dials: dict[str, event.Event] = {}
        self.stopped = False
        eventlet.spawn(self._accept_forever)
        eventlet.spawn(self._heartbeat_forever)

    def open(self, address: str, message: Any) -> streams_exchange.TcpExchange:
        """Opens an exchange with a first message."""
        return self._connection(address).open(message)

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        """Sends a message and returns the peer's first reply."""
        exchange = self.open(address, message)
        try:
            return exchange.receive(timeout)
        finally:
            exchange.close()

    def handle(self, kind: type, handler: streams.Handler) -> None:
        """Registers the handler of exchanges opened by a message type."""
        self.handlers[kind] = handler

    def serve(
        self, exchange: streams_exchange.TcpExchange, message: Any
    ) -> None:
        """Runs the handler of one exchange and closes it."""
        handler = self.handlers.get(type(message))
        try:
            if handler is None:
                raise errors.BadRequest(
                    f"This process has no handler for {type(message).__name__}."
                )
            handler(exchange, message)
        except errors.MintcleatError as error:
            self._send_failure(exchange, error)
        except Exception:
            logger.exception("The handler of an exchange failed.")
            self._send_failure(
                exchange, errors.MintcleatError("A handler failed.")
            )
        finally:
            exchange.close()

    def stop(self) -> None:
        """Closes the listener, and all connections once they are flushed."""
        self.stopped = True
        # The accept loop closes the socket; see Connection._thread_ended.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        until = time.monotonic() + _FLUSH_SECONDS
        for connection in [*self.dialled.values(), *self.accepted]:
            connection.sender.flush(until - time.monotonic())
            connection.abort()

    def buffer_usage(self) -> dict[str, int]:
        """Returns the bytes in send and receive buffers, for diagnostics."""
        connections = [*self.dialled.values(), *self.accepted]
        exchanges = [e for c in connections for e in c.exchanges.values()]
        return {
            "unwritten_bytes": sum(c.sender.size for c in connections),
            "untaken_bytes": sum(e.unread for e in exchanges),
            "exchanges": len(exchanges),
        }

    def remove(self, connection: streams_connection.Connection) -> None:
        """Removes a lost connection."""
        self.accepted.discard(connection)
        if self.dialled.get(connection.peer) is connection:
            del self.dialled[connection.peer]

    def _send_failure(
        self,
        exchange: streams_exchange.TcpExchange,
        error: errors.MintcleatError,
    ) -> None:
        try:
            exchange.send(error.failure())
        except errors.StreamClosed:
            return

    def _connection(self, address: str) -> streams_connection.Connection:
        """Returns the connection to an address; concurrent calls share a dial.

        Raises:
            errors.StreamClosed: The address is unreachable.
        """
        found = self.dialled.get(address)
        if found is not None:
            return found
        pending = self.pending_dials.get(address)
        if pending is None:
            pending = self.pending_dials[address] = event.Event()
            eventlet.spawn(self._dial, address, pending)
        result = pending.wait()
        if isinstance(result, errors.MintcleatError):
            raise errors.from_failure(result.failure())
        return result

    def _dial(self, address: str, pending: event.Event) -> None:
        try:
            with eventlet.Timeout(self.limits.connect_timeout, TimeoutError):
                sock = eventlet.connect(split_address(address))
            connection = self._new_connection(sock, address)
            self.dialled[address] = connection
            connection.start()
            result: Any = connection
        except (OSError, TimeoutError, ValueError) as error:
            result = errors.StreamClosed(
                f"{address} is unreachable: {error}.",
                outcome=errors.NOT_RUN,
            )
        del self.pending_dials[address]
        pending.send(result)

    def _new_connection(
        self, sock: socket.socket, peer: str
    ) -> streams_connection.Connection:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return streams_connection.Connection(
            sock, peer, self.limits, self.serve, self.remove
        )

    def _accept_forever(self) -> None:
        try:
            self._accept_until_stopped()
        finally:
            self.listener.close()

    def _accept_until_stopped(self) -> None:
        while not self.stopped:
            try:
                sock, address = self.listener.accept()
            except OSError:
                if self.stopped:
                    return
                # Out of file descriptors, or the peer closed before the accept.
                eventlet.sleep(0.1)
                continue
            if len(self.accepted) >= self.limits.connections:
                sock.close()
                continue
            peer = f"{address[0]}:{address[1]}"
            connection = self._new_connection(sock, peer)
            self.accepted.add(connection)
            connection.start()

    def _heartbeat_forever(self) -> None:
        period = self.limits.heartbeat / 2
        expected = time.monotonic() + period
        while not self.stopped:
            eventlet.sleep(timers.seconds_to_next(period))
            now = time.monotonic()
            late = now - expected
            expected = now + period
            for connection in [*self.dialled.values(), *self.accepted]:
                if late > self.limits.heartbeat:
                    # This process was suspended, so data of the peers may be
                    # unread. Only the pause is no silence of theirs: a process
                    # that is often late would never find a lost peer.
                    connection.last_received = min(
                        now, connection.last_received + late
                    )
                connection.check_heartbeat(now)
