"""Stand-in engines that move running requests, by the published protocol.

Engines of one `Group` copy memory to each other. An engine generates events
`id: 1` to `id: COUNT` of a request, with a pause after each, and checks what
the protocol promises: a handle continues a run once, a copy takes a slot at its
destination, and a stopped run's stream is closed without its end.
"""

import itertools
import json
import socket
from typing import Any

import eventlet
from eventlet import patcher

from fakes import platform_engine

MOVE_PATH = "/v1/kv-move"
HANDLE_PATH = "/v1/kv-handle/"
HELD_AT = 12
# A copy is dropped when its time is well exceeded: after this many times of it.
_WELL_EXCEEDED = 1.25
# Its `sleep` stops the whole process, not only a green thread.
_TIME = patcher.original("time")


class Run:
    """A run of a request at an engine.

    Attributes:
        made: Number of the last generated event.
        is_stopped: Whether a move has stopped it.
        is_muted: Whether its stream stays open after that.
    """

    def __init__(self, request: str, made: int) -> None:
        self.request = request
        self.made = made
        self.is_stopped = False
        self.is_muted = False


class Copy:
    """Memory of a run that is kept under a handle.

    Attributes:
        destination: Engine that has a copy; None if only the source has it.
        expires_at: Time by the clock of the loop; later uses are refused.
        is_told: Whether its handle reached the caller of a call.
    """

    def __init__(
        self, run: Run, destination: "Engine | None", expires_at: float
    ) -> None:
        self.run = run
        self.destination = destination
        self.expires_at = expires_at
        self.is_told = False


class Group:
    """Engines that reach each other.

    Attributes:
        engines: The engines by address.
        generated: Each event that was generated: request, number, engine.
        times: The time of each of them.
        ended: Requests of which an engine has marked the end of its stream.
        handle_seconds: Time after which a handle expires.
        copy_seconds: Time that a copy of the whole memory takes.
        rest_seconds: Time that a copy of the rest takes.
        stall_seconds: Time for which the process stops during each call.
        timed_out: Id and `last` of the calls that the caller gave up.
    """

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.generated: list[tuple[str, int, str]] = []
        self.times: list[float] = []
        self.ended: set[str] = set()
        self.handle_seconds = 5.0
        self.copy_seconds = 0.03
        self.rest_seconds = 0.005
        self.stall_seconds = 0.0
        self.timed_out: set[tuple[str, bool]] = set()
        self.numbers = itertools.count(1)


class Engine(platform_engine.Engine):
    """An engine with moves.

    Attributes:
        count: Number of the last event of each request.
        pause: Seconds after each event.
        runs: Its runs by request id.
        copies: Copies that it made, by handle.
        reserved: Number of copies that other engines made here.
        slots: Number of copies that it takes.
        calls: Moves that were requested: id, destination, last.
        freed: Handles that were freed.
        left: Handles that reached their callers and were neither used nor
            freed until they expired.
        holds: Whether runs wait at event `HELD_AT`.
        faults: What to do with the next calls of moves instead, in order:
            a status; `lost` to stop the run if it is asked to and to reset the
            connection; `mute` to do so and never to answer; `silent` like
            `mute`, but with the stream left open; None for no fault.
        backups: Backups of other engines' runs, by request id.
        break_at: Number of the event after which it resets the connection of
            a new run; 0 for none.
        is_framed: Whether the end of its streams is marked; otherwise they end
            with their connections.
        refuse_copies: Whether requests with a copy are refused.
        break_copies: Whether they are broken off before their head.
        sent_again: Number of earlier events that they begin with.
        goes_back: Whether a run that is stopped, or broken off, sends its first
            event once more before that.
        is_unnamed: Whether events have no ids.
    """

    def __init__(
        self, name: str, group: Group, count: int = 30, pause: float = 0.02
    ) -> None:
        super().__init__(name, self._handle)
        self.group = group
        self.count = count
        self.pause = pause
        self.runs: dict[str, Run] = {}
        self.copies: dict[str, Copy] = {}
        self.reserved = 0
        self.slots = 4
        self.calls: list[tuple[str, str, bool]] = []
        self.freed: list[str] = []
        self.left: list[str] = []
        self.faults: list[Any] = []
        self.holds = False
        self.backups: dict[str, Run] = {}
        self.break_at = 0
        self.is_framed = True
        self.refuse_copies = False
        self.break_copies = False
        self.sent_again = 0
        self.goes_back = False
        self.is_unnamed = False
        group.engines[self.address] = self

    @property
    def requests(self) -> list[platform_engine.ReceivedRequest]:
        """The requests without the calls of moves."""
        return [
            received
            for received in self.received
            if not received.target.startswith("/v1/")
        ]

    def runs_made(self) -> list[str]:
        """The requests of which it has generated events, with repeats."""
        numbers = [
            (request, number)
            for request, number, name in self.group.generated
            if name == self.name
        ]
        return [
            request
            for index, (request, number) in enumerate(numbers)
            if index == 0 or numbers[index - 1] != (request, number - 1)
        ]

    def _handle(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        # A call with the id of a request is taken for a request to run.
        is_request = "x-request-id" in received.headers
        if received.target == MOVE_PATH and not is_request:
            return self._move(connection, received)
        if received.target.startswith(HANDLE_PATH) and not is_request:
            handle = received.target.removeprefix(HANDLE_PATH)
            self.freed.append(handle)
            self._drop(handle)
            _answer(connection, 200, {})
            return True
        return self._stream(connection, received)

    def _stream(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        source = received.headers.get("kv-from")
        if source is not None:
            if self.break_copies:
                connection.reset()
                return False
            if self.refuse_copies or not self._take(source, received.request):
                # Only responses to moves state no id of a request.
                connection.send(
                    b"HTTP/1.1 503 No\r\nX-Request-Id: %b\r\n"
                    b"Content-Length: 0\r\n\r\n" % received.request.encode()
                )
                return True
        request = received.request
        made = int(received.headers.get("last-event-id", "0"))
        run = self.runs[request] = Run(request, made)
        backup = received.headers.get("x-kv-backup")
        if backup is not None and backup in self.group.engines:
            self.group.engines[backup].backups[request] = run
        write = connection.chunk
        if self.is_framed:
            connection.begin_stream(received)
        else:
            write = connection.send
            kind = {"Content-Type": "text/event-stream"}
            connection.send(connection.head(received, kind))
        again = self.sent_again if source is not None else 0
        for number in range(made + 1 - again, made + 1):
            write(platform_engine.event(number))
        try:
            while run.made < self.count:
                while self.holds and run.made >= HELD_AT:
                    if _is_closed(connection):
                        break
                    eventlet.sleep(self.pause)
                if _is_closed(connection):
                    # As most engines do; a write would show it only later.
                    received.dropped = True
                    return False
                run.made += 1
                self.group.generated.append((request, run.made, self.name))
                self.group.times.append(_now())
                event = platform_engine.event(run.made)
                if self.is_unnamed:
                    event = event[event.index(b"data") :]
                write(event)
                eventlet.sleep(self.pause)
                is_broken = source is None and run.made == self.break_at
                if self.goes_back and (is_broken or run.is_stopped):
                    write(platform_engine.event(1))
                    eventlet.sleep(self.pause)
                if is_broken:
                    connection.reset()
                    return False
                if run.is_stopped:
                    while run.is_muted:
                        if not connection.sock.recv(1):
                            received.dropped = True
                            break
                    return False
            if self.is_framed:
                connection.end_stream()
                self.group.ended.add(request)
            return self.is_framed
        finally:
            if self.runs.get(request) is run:
                del self.runs[request]

    def _take(self, source: str, request: str) -> bool:
        """Returns whether a run continues from a copy, which it uses up."""
        address, _, handle = source.partition("/")
        if address == self.address and handle in self.backups:
            return self.backups.pop(handle).request == request
        origin = self.group.engines.get(address)
        copy = origin.copies.get(handle) if origin else None
        if origin is None or copy is None or copy.run.request != request:
            return False
        has_memory = copy.destination is self or (
            origin is self and copy.run.is_stopped
        )
        if not has_memory or _now() > copy.expires_at:
            return False
        origin._drop(handle)
        return True

    def _drop(self, handle: str) -> None:
        copy = self.copies.pop(handle, None)
        if copy is not None and copy.destination is not None:
            copy.destination.reserved -= 1

    def _move(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        fields = json.loads(received.body)
        request, last = fields["id"], fields["last"]
        self.calls.append((request, fields["to"], last))
        fault = self.faults.pop(0) if self.faults else None
        run = self.runs.get(request)
        if isinstance(fault, int):
            _answer(connection, fault, {})
            return True
        if run is None:
            _answer(connection, 404, {})
            return True
        if last:
            run.is_muted = fault == "silent"
            run.is_stopped = True
        if fault == "lost":
            connection.reset()
            return False
        if fault in ("mute", "silent"):
            connection.sock.recv(1)
            return False
        group = self.group
        if group.stall_seconds:
            eventlet.spawn_after(0.0, _TIME.sleep, group.stall_seconds)
        eventlet.sleep(group.rest_seconds if last else group.copy_seconds)
        destination = group.engines.get(fields["to"])
        status = 200
        if fault == "refused":
            destination = None
        known = [
            handle
            for handle, copy in self.copies.items()
            if copy.run is run and copy.destination is destination
        ]
        if destination is None or (
            not known and destination.reserved >= destination.slots
        ):
            status, destination = 503, None
            if not last:
                _answer(connection, status, {})
                return True
            for handle, copy in list(self.copies.items()):
                if copy.run is run:
                    self._drop(handle)
            known = []
        if known:
            handle = known[0]
            self.copies[handle].expires_at = _now() + group.handle_seconds
        else:
            handle = f"h{next(group.numbers)}"
            self.copies[handle] = Copy(
                run, destination, _now() + group.handle_seconds
            )
            if destination is not None:
                destination.reserved += 1
            self._expire_later(handle)
        copy = self.copies[handle]
        is_open = not _is_closed(connection)
        _answer(connection, status, {"handle": handle, "made": run.made})
        if (
            is_open
            and _is_read(connection)
            and (request, last) not in group.timed_out
        ):
            copy.is_told = True
        return False

    def _expire_later(self, handle: str) -> None:
        seconds = max(0.0, _WELL_EXCEEDED * self.group.handle_seconds)
        eventlet.spawn_after(seconds, self._expire, handle)

    def _expire(self, handle: str) -> None:
        """Drops a copy unless a later call has extended its time."""
        copy = self.copies.get(handle)
        if copy is None:
            return
        if _now() <= copy.expires_at:
            self._expire_later(handle)
            return
        if copy.is_told:
            self.left.append(handle)
        self._drop(handle)


def _is_closed(connection: platform_engine.Connection) -> bool:
    """Returns whether the other end has closed a connection already."""
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not connection.sock.fd.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _is_read(connection: platform_engine.Connection) -> bool:
    """Returns whether an answer was read before its connection was closed.

    Each call has a connection of its own. One that is closed with an answer
    unread is reset.
    """
    try:
        return not connection.sock.recv(1)
    except OSError:
        return False


def _answer(
    connection: platform_engine.Connection, status: int, fields: dict[str, Any]
) -> None:
    body = json.dumps(fields).encode()
    connection.send(
        f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def _now() -> float:
    return eventlet.hubs.get_hub().clock()
