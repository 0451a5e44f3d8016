"""Streams between processes in virtual time, with network failures.

A network partition does not lose data at once: as with TCP, it is delivered
later, unless the connection times out first.
"""

import collections
from collections.abc import Callable
import random
from typing import Any

import eventlet
from testing.fakes import virtual_time

from mintcleat.adapters import streams_signal
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.ports import streams as stream_ports

SILENCE_TIMEOUT = 1.2
_WATCH_SECONDS = 0.1


class Network:
    """A simulated network with its connections and failures.

    Attributes:
        cut: Ordered pairs of addresses between which no data passes.
        delay: Mean one-way delay in seconds.
        loss: Probability that a transmission needs a retransmission.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.cut: set[tuple[str, str]] = set()
        self.delay = 0.0005
        self.loss = 0.0
        self.listening: dict[str, VirtualStreams] = {}
        self.connections: list[Connection] = []
        eventlet.spawn(self._watch)

    def passes(self, source: str, target: str) -> bool:
        return (source, target) not in self.cut

    def isolate(self, one: str, others: list[str]) -> None:
        """Partitions an address from others; no connection is reset."""
        for other in others:
            if other != one:
                self.cut |= {(one, other), (other, one)}

    def heal(self) -> None:
        self.cut.clear()
        for connection in list(self.connections):
            connection.flush()

    def flush(self) -> None:
        """Delivers pending data, after a process has been resumed."""
        for connection in list(self.connections):
            connection.flush()

    def reset(self, address: str, share: float) -> None:
        for connection in list(self.connections):
            ends = (connection.sides[0].address, connection.sides[1].address)
            if address in ends and self.rng.random() < share:
                connection.abort()

    def _watch(self) -> None:
        """Closes connections that could not deliver data for too long."""
        while True:
            eventlet.sleep(_WATCH_SECONDS)
            for connection in list(self.connections):
                connection.watch(_WATCH_SECONDS)


class Connection:
    """One connection; side 0 opened it.

    Attributes:
        blocked_seconds: Time for which a direction has been blocked.
        pending: For each sender, deliveries that are blocked.
        last: For each sender, the arrival time of its last transmission.
    """

    def __init__(
        self,
        network: Network,
        dialler: "VirtualStreams",
        other: "VirtualStreams",
    ) -> None:
        self.network = network
        self.sides = (dialler, other)
        self.lost = False
        self.blocked_seconds = 0.0
        self.pending: tuple[
            collections.deque[Callable[[], None]],
            collections.deque[Callable[[], None]],
        ] = (collections.deque(), collections.deque())
        self.last = [0.0, 0.0]
        self.exchanges: dict[VirtualExchange, None] = {}
        network.connections.append(self)

    def blocked(self, side: int) -> bool:
        """Returns whether data of this side cannot be delivered now."""
        source, target = self.sides[side], self.sides[1 - side]
        return (
            target.process.suspended
            or target.process.dead
            or not self.network.passes(source.address, target.address)
        )

    def transmit(self, side: int, action: Callable[[], None]) -> None:
        """Runs `action` at the other side after a delay, in sending order."""
        network = self.network
        now = eventlet.hubs.get_hub().time
        delay = network.rng.expovariate(1 / network.delay)
        if network.rng.random() < network.loss:
            delay += 0.2
        at = max(now + delay, self.last[side])
        self.last[side] = at
        eventlet.spawn_after(at - now, self._arrive, side, action)

    def _arrive(self, side: int, action: Callable[[], None]) -> None:
        if self.lost:
            return
        self.pending[side].append(action)
        self.flush()

    def flush(self) -> None:
        for side in (0, 1):
            while (
                self.pending[side] and not self.blocked(side) and not self.lost
            ):
                self.pending[side].popleft()()

    def watch(self, step: float) -> None:
        connected = not self.blocked(0) and not self.blocked(1)
        self.blocked_seconds = 0.0 if connected else self.blocked_seconds + step
        if self.blocked_seconds > SILENCE_TIMEOUT:
            self.abort()

    def abort(self) -> None:
        if self.lost:
            return
        self.lost = True
        self.network.connections.remove(self)
        self.sides[0].dialled.pop(self.sides[1].address, None)
        for exchange in list(self.exchanges):
            exchange.end()


class VirtualExchange:
    """One side of an exchange."""

    def __init__(self, connection: Connection, side: int) -> None:
        self.connection = connection
        self.side = side
        self.peer = connection.sides[1 - side].address
        self.process = connection.sides[side].process
        self.other: VirtualExchange | None = None
        self.inbox: collections.deque[Any] = collections.deque()
        self.closed = False
        self.arrived = streams_signal.Signal()
        connection.exchanges[self] = None

    def send(self, message: Any) -> None:
        self.process.check()
        if not self.try_send(message):
            raise errors.StreamClosed(
                f"The exchange with {self.peer} is closed."
            )

    def try_send(self, message: Any) -> bool:
        if self.closed or self.process.dead:
            return False
        body = codec.encode(message)
        other = self.other
        self.connection.transmit(
            self.side, lambda: other.deliver(codec.decode(body))
        )
        return True

    def deliver(self, message: Any) -> None:
        if not self.closed:
            self.inbox.append(message)
            self.arrived.send()

    def receive(self, timeout: float | None = None) -> Any:
        now = eventlet.hubs.get_hub().time
        until = None if timeout is None else now + timeout
        while not self.inbox:
            if self.closed:
                raise errors.StreamClosed("The exchange is closed.")
            left = None
            if until is not None:
                left = until - eventlet.hubs.get_hub().time
                if left <= 0:
                    raise errors.StreamTimeout("No message arrived.")
            self.arrived.wait(left)
            self.process.check()
        self.process.check()
        message = self.inbox.popleft()
        if isinstance(message, errors.Failure):
            raise errors.from_failure(message)
        return message

    def close(self) -> None:
        if not self.closed:
            self.end()
            if not self.process.dead:
                self.connection.transmit(self.side, self.other.end)

    def end(self) -> None:
        self.closed = True
        self.connection.exchanges.pop(self, None)
        self.arrived.send()


class VirtualStreams:
    """Implements `ports.streams.Streams` for a simulated process."""

    def __init__(
        self,
        network: Network,
        address: str,
        process: virtual_time.VirtualProcess,
    ) -> None:
        self.network = network
        self.address = address
        self.process = process
        self.handlers: dict[type, stream_ports.Handler] = {}
        self.dialled: dict[str, Connection] = {}
        network.listening[address] = self

    def handle(self, kind: type, handler: stream_ports.Handler) -> None:
        self.handlers[kind] = handler

    def open(self, address: str, message: Any) -> VirtualExchange:
        self.process.check()
        connection = self.dialled.get(address)
        if connection is None:
            connection = self._dial(address)
        mine = VirtualExchange(connection, 0)
        theirs = VirtualExchange(connection, 1)
        mine.other, theirs.other = theirs, mine
        body = codec.encode(message)
        server = connection.sides[1]
        connection.transmit(0, lambda: server.serve(theirs, codec.decode(body)))
        return mine

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        exchange = self.open(address, message)
        try:
            return exchange.receive(timeout)
        finally:
            exchange.close()

    def serve(self, exchange: VirtualExchange, message: Any) -> None:
        eventlet.spawn(self._serve, exchange, message)

    def abort(self) -> None:
        """Closes all connections, as the end of a process does."""
        for connection in list(self.network.connections):
            if self in connection.sides:
                connection.abort()

    def stop(self) -> None:
        self.abort()

    def _dial(self, address: str) -> Connection:
        waited = 0.0
        while waited < 2.0:
            eventlet.sleep(2 * self.network.delay)
            self.process.check()
            target = self.network.listening.get(address)
            reached = self.network.passes(self.address, address)
            if target is not None and reached and not target.process.suspended:
                if target.process.dead:
                    break
                found = self.dialled.get(address)
                if found is None:
                    found = Connection(self.network, self, target)
                    self.dialled[address] = found
                return found
            eventlet.sleep(0.2)
            waited += 0.2
        raise errors.StreamClosed(
            f"{address} is unreachable.", outcome=errors.NOT_RUN
        )

    def _serve(self, exchange: VirtualExchange, message: Any) -> None:
        self.process.check()
        handler = self.handlers.get(type(message))
        try:
            if handler is None:
                raise errors.BadRequest(f"No handler for {message!r}.")
            handler(exchange, message)
        except errors.MintcleatError as error:
            exchange.try_send(error.failure())
        finally:
            exchange.close()
