"""A planned stop of one entry, as a real process, with callers that end late.

    python -m testing.stop_world FOLDER

Prints what became of each request, as JSON. It is a process of its own: other
tests replace the sockets that asyncio needs.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time
from typing import Any
from typing import NamedTuple

# Before `bench`, which makes sockets green.
from testing.soak import event_loop  # isort: split

from bench import hosted_processes
from testing.soak import processes
from testing.soak import upstreams

HOST = "callers.example"
# Time for which an upstream runs a request of neither kind below.
RUN_SECONDS = 2.5
EVENTS = 5
# Runs that take a moment, and that end after the process of the entry.
QUICK = "quick"
LONG = "long"
_LONG_SECONDS = 30.0
_DEADLINE_MS = 10_000
_SHORT_DEADLINE_MS = 1500
_SLOTS = 200
_START_SECONDS = 30.0
_ANSWER_SECONDS = 12.0
# Time within which a request on a connection in use begins to run, or else was
# refused; less than its run takes.
_BEGIN_SECONDS = 2.0
_POLL_SECONDS = 0.1
# Where the bytes that are sent late begin.
HEAD = "head"
BODY = "body"
CHUNK = "chunk"
# The connection: opened before the SIGTERM, one that has carried a request
# before, one that carries another request, or one that is opened late.
OPENED = "opened"
KEPT = "kept"
PIPELINED = "pipelined"
NEW = "new"
KINDS = ("safe", "unsafe", "stream", "turn")


class Sending(NamedTuple):
    """A request.

    Attributes:
        part: Part that is sent late.
        connection: Connection that it is sent on.
        ends_at: Seconds after the SIGTERM at which its last byte is sent; None
            if it never is.
        run: Kind of its run; a `QUICK` one names a short deadline.
    """

    name: str
    kind: str
    part: str
    connection: str
    ends_at: float | None
    run: str = "usual"

    def parts(self) -> tuple[bytes, bytes]:
        """Returns the bytes that are sent early, and those sent late."""
        deadline = _SHORT_DEADLINE_MS if self.run == QUICK else _DEADLINE_MS
        fields = {
            "Host": HOST,
            "X-Request-Id": self.name,
            "X-Deadline-Milliseconds": str(deadline),
            "X-Token-Counts": f"10,{EVENTS}",
            "X-Model": "m",
        }
        if self.kind == "turn":
            fields["X-Program-Id"] = f"program-{self.name}"
            fields["X-Token-Budget"] = "1000"
        body = b"abcd"
        if self.part == CHUNK:
            fields["Transfer-Encoding"] = "chunked"
            body = b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"
        else:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        target = f"/{self.kind}/{self.run}"
        head = f"POST {target} HTTP/1.1\r\n{lines}\r\n".encode()
        data = head + body
        cut = len(head) // 2 if self.part == HEAD else len(data) - 3
        return data[:cut], data[cut:]


class Seen(NamedTuple):
    """What the caller of a request has seen.

    Attributes:
        status: HTTP status; 0 if no head arrived.
        whole: Whether the response ended as its framing announced.
        runs: Number of its runs at upstreams.
        at: Seconds after the SIGTERM at which its connection or its response
            ended.
        error: Body of a response other than 200.
    """

    sending: Sending
    status: int
    headers: dict[str, str]
    whole: bool
    runs: int
    at: float
    error: str


class Runs:
    """Implements `upstreams.Observer`: counts the runs of each request."""

    def __init__(self) -> None:
        self.requests: list[str] = []

    def run_began(
        self, request: str, upstream: str, customer: str, body: bytes
    ) -> None:
        """Counts a run."""
        self.requests.append(request)


class SteadyUpstream(upstreams.Upstream):
    """An upstream whose runs take `RUN_SECONDS`."""

    def heartbeat(self) -> dict[str, Any]:
        """Returns the next registration."""
        return super().heartbeat() | {"slots": _SLOTS}

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.startswith("GET "):
            await super()._answer(head, headers, body, writer)
            return
        request = headers["x-request-id"]
        self.observer.run_began(request, self.name, "", body)
        times = {QUICK: 0.0, LONG: _LONG_SECONDS}
        run = head.split()[1].rpartition("/")[2]
        seconds = times.get(run, RUN_SECONDS)
        common = f"X-Request-Id: {request}\r\nX-Response-Signature: s\r\n"
        if self.service == "desk":
            await asyncio.sleep(seconds)
            form = upstreams.Form(upstreams.LENGTH)
            text = upstreams.plain_body(request)
            writer.write(upstreams.head_of(form, common, text) + text)
            return
        form = upstreams.Form()
        common += "Content-Type: text/event-stream\r\n"
        writer.write(upstreams.head_of(form, common, b""))
        for number in range(1, EVENTS + 1):
            event = upstreams.EventText(request, number, self.version)
            data = upstreams.event_bytes(event, form.line_end)
            upstreams.write_part(writer, form, data)
            await asyncio.sleep(seconds / EVENTS)
        writer.write(b"0\r\n\r\n")


class Stop:
    """One planned stop.

    Attributes:
        entry: The entry that is stopped.
        stopped: Set when SIGTERM has been sent.
        began: Monotonic time of that.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        network = processes.free_network()
        self.fleet = processes.Fleet(network, folder, 1, 1, "")
        (self.entry,) = self.fleet.entries
        self.runs = Runs()
        self.stopped = asyncio.Event()
        self.began = 0.0

    async def run(self, sendings: list[Sending]) -> list[Seen]:
        """Sends the requests around a stop; returns what became of them."""
        await self.fleet.start()
        address = f"{self.fleet.controls[0].ip}:{hosted_processes.CONTROL_PORT}"
        control = hosted_processes.Caller(address, "control", 1.0)
        started = [
            SteadyUpstream(f"{service}-1", service, self.runs, [control])
            for service in ("desk", "lm")
        ]
        try:
            for upstream in started:
                await upstream.start()
            async with asyncio.timeout(_START_SECONDS):
                await self._configure(control)
                await asyncio.gather(*map(self._until_served, KINDS))
                tasks = await self._prepare(sendings)
            self.entry.signal(signal.SIGTERM)
            self.began = time.monotonic()
            self.stopped.set()
            return await asyncio.gather(*tasks)
        finally:
            for upstream in started:
                upstream.heartbeat_task.cancel()
                upstream.server.close()
            await self.fleet.stop()

    async def _configure(self, control: hosted_processes.Caller) -> None:
        body = json.dumps(_configuration()).encode()
        path = "/v1/Configuration.Put"
        while (await control.ask("POST", path, {}, body)).status != 200:
            await asyncio.sleep(_POLL_SECONDS)

    async def _until_served(self, kind: str) -> None:
        number = 0
        while True:
            number += 1
            sending = Sending(
                f"{kind}-first-{number}", kind, BODY, OPENED, 0.0, QUICK
            )
            seen = await self._exchange(sending, b"".join(sending.parts()))
            if seen.status == 200:
                return
            await asyncio.sleep(_POLL_SECONDS)

    async def _exchange(self, sending: Sending, data: bytes) -> Seen:
        host, _, port = self.entry.address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return self._seen(sending, 0, {}, False)
        try:
            writer.write(data)
            return await self._read(sending, reader)
        finally:
            writer.transport.abort()

    async def _prepare(
        self, sendings: list[Sending]
    ) -> list[asyncio.Task[Seen]]:
        """Begins all requests; returns once their connections are as stated.

        Requests of connections that are in use come last, since theirs must
        still run when the entry is stopped.
        """
        tasks = []
        for is_in_use in (False, True):
            opened = []
            for sending in sendings:
                if (sending.connection == PIPELINED) == is_in_use:
                    ready = asyncio.Event()
                    task = asyncio.create_task(self._send(sending, ready))
                    tasks.append(task)
                    opened.append(ready.wait())
            await asyncio.gather(*opened)
        return tasks

    async def _send(self, sending: Sending, ready: asyncio.Event) -> Seen:
        """Sends a request; sets `ready` once its connection is as stated."""
        early, late = sending.parts()
        if sending.connection == NEW:
            ready.set()
            await self._until(sending.ends_at)
            return await self._exchange(sending, early + late)
        connection = await self._connect(sending)
        try:
            connection.writer.write(early)
            ready.set()
            ending = asyncio.create_task(
                self._end(sending, connection.writer, late)
            )
            if sending.connection == PIPELINED:
                first = sending._replace(name=f"{sending.name}-first")
                seen = await self._read(first, connection.reader)
                if seen.headers.get("connection") == "close":
                    ending.cancel()
                    return seen
            try:
                return await self._read(sending, connection.reader)
            finally:
                ending.cancel()
        finally:
            connection.writer.transport.abort()

    async def _connect(self, sending: Sending) -> hosted_processes.Connection:
        """Returns a connection that has carried what the request needs.

        A connection whose own first request was refused is given up for
        another one: a busy machine's stand-ins may be late.
        """
        host, _, port = self.entry.address.rpartition(":")
        while True:
            opened = await asyncio.open_connection(host, int(port))
            connection = hosted_processes.Connection(*opened)
            if await self._carries_first(sending, connection):
                return connection
            connection.writer.transport.abort()
            await asyncio.sleep(_POLL_SECONDS)

    async def _carries_first(
        self, sending: Sending, connection: hosted_processes.Connection
    ) -> bool:
        """Sends the request before; returns whether it was taken."""
        first = sending._replace(name=f"{sending.name}-first")
        if sending.connection == KEPT:
            first = first._replace(part=BODY, run=QUICK)
            connection.writer.write(b"".join(first.parts()))
            seen = await self._read(first, connection.reader)
            is_kept = seen.headers.get("connection") != "close"
            return seen.status == 200 and seen.whole and is_kept
        if sending.connection == PIPELINED:
            connection.writer.write(b"".join(first.parts()))
            return await self._begins_to_run(first)
        return True

    async def _begins_to_run(self, sending: Sending) -> bool:
        """Returns whether a request runs within the time for an answer."""
        try:
            async with asyncio.timeout(_BEGIN_SECONDS):
                while sending.name not in self.runs.requests:
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    async def _end(
        self, sending: Sending, writer: asyncio.StreamWriter, late: bytes
    ) -> None:
        """Sends the rest of a request when it is due."""
        await self.stopped.wait()
        if sending.ends_at is not None:
            await self._until(sending.ends_at)
            writer.write(late)

    async def _until(self, at: float) -> None:
        """Waits until some seconds after the SIGTERM."""
        await self.stopped.wait()
        await asyncio.sleep(max(0.0, self.began + at - time.monotonic()))

    async def _read(
        self, sending: Sending, reader: asyncio.StreamReader
    ) -> Seen:
        status, headers, whole, error = 0, {}, False, ""
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                first, headers = await hosted_processes.read_head(reader)
                status = int(first.split()[1])
                body = await hosted_processes.read_body(reader, headers)
                whole = True
                if status != 200:
                    error = body.decode()
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        return self._seen(sending, status, headers, whole, error)

    def _seen(
        self,
        sending: Sending,
        status: int,
        headers: dict,
        whole: bool,
        error: str = "",
    ) -> Seen:
        runs = self.runs.requests.count(sending.name)
        at = round(time.monotonic() - self.began, 2)
        return Seen(sending, status, headers, whole, runs, at, error)


def _configuration() -> dict[str, Any]:
    def route(name: str, kind: str, service: str, **more: Any) -> dict:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeoutMs": _DEADLINE_MS,
            "targetLatencyMs": 3000,
            "targetGapMs": 2000,
            "priority": 0,
            "attempts": 2,
            **more,
        }

    return {
        "version": 1,
        "routes": [
            route("safe", "safe", "desk"),
            route("unsafe", "unsafe", "desk"),
            route("stream", "stream", "lm", resumable=True),
            route("turn", "stream", "lm", retainContext=True, retentionS=60.0),
        ],
        "services": [
            {"name": "desk", "maxConnections": _SLOTS},
            {
                "name": "lm",
                "maxConnections": _SLOTS,
                "engine": {"stride": 1, "models": [{"name": "m"}]},
            },
        ],
        # Requests are sent more slowly than that.
        "limits": {"headerTimeoutMs": 20_000, "idleTimeoutMs": 20_000},
    }


def sendings() -> list[Sending]:
    """Returns requests of all kinds that end early and late in the grace."""
    found = []

    def add(kind: str, part: str, connection: str, *more: Any) -> None:
        name = f"{kind}-{part}-{connection}-{len(found)}"
        found.append(Sending(name, kind, part, connection, *more))

    for kind in KINDS:
        for at in (0.2, 2.4, 4.7, 5.6, 6.6, None):
            add(kind, BODY, OPENED, at)
        add(kind, CHUNK, OPENED, 5.0)
        add(kind, HEAD, OPENED, 5.2)
        add(kind, BODY, KEPT, 4.8)
        add(kind, HEAD, KEPT, None)
        add(kind, BODY, PIPELINED, 4.9)
        for at in (1.0, 2.5, 5.0):
            add(kind, BODY, NEW, at)
        add(kind, BODY, OPENED, 3.5, QUICK)
    for kind in ("safe", "unsafe"):
        add(kind, BODY, OPENED, 0.1, LONG)
    return found


async def main() -> None:
    """Runs one stop and prints what became of the requests."""
    stop = Stop(pathlib.Path(sys.argv[1]))
    for seen in await stop.run(sendings()):
        fields = seen._asdict() | {"sending": seen.sending._asdict()}
        print(json.dumps(fields))


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(main())
