"""Stand-in upstreams that register themselves and report what they run."""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import json
import math
import random
import time
from typing import Any
from typing import NamedTuple
from typing import Protocol

from bench import hosted_processes
from testing.soak import changes
from testing.soak import links

_HEARTBEAT_SECONDS = 0.5
SLOTS = 4
# Requests that are taken for each slot. More are refused with the header that
# says that they were not run.
RUNNING_PER_SLOT = 2
_EVENT_SECONDS = 0.01
_PLAIN_SECONDS = 0.02
# Longer than the time-outs of the route that tries them.
_LATE_SECONDS = 4.0
_SLOW_FACTOR = 8.0
# Pause before a slow upstream reads a body.
_SLOW_READ_SECONDS = 0.3
# Text of an event of a stream that fills the buffers of slow readers.
_LARGE_TEXT = "x" * 100_000
# In targets of requests that crash the upstream which runs them, and the time
# after which they do.
CRASHING = "/crash-"
_CRASH_SECONDS = 0.045
# Part of the answers that an upstream breaks off itself.
_BROKEN_PART = 0.04
# Part of the answers to requests to go on that don't, and of the others that
# send an event twice.
_DISORDERED_PART = 0.1
_TWICE_PART = 0.01
# Part of the answers of more events that lack one, after so many.
_LEFT_OUT_PART = 0.02
_LEFT_OUT_AFTER = 3
# Part of the requests on a connection that was used before which an answer to
# nobody precedes.
_UNASKED_PART = 0.03
# Size from which a body is an upload, and the part of them that an upstream
# answers before it has read them.
UPLOAD_BYTES = 400_000
_EARLY_PART = 0.7
LENGTH = "length"
CHUNKS = "chunks"
CLOSE = "close"


class Form(NamedTuple):
    """How an upstream gives an answer.

    Attributes:
        framing: What ends its body: a length, a last chunk or the end of its
            connection.
        line_end: End of the lines of a stream.
        broken_at: Where the upstream breaks it off, as a part of its bytes; 1
            for a whole answer.
    """

    framing: str = CHUNKS
    line_end: str = "\n"
    broken_at: float = 1.0

    def cut(self, body: bytes) -> int:
        """Returns how many bytes of a body are sent.

        A body without a mark of its end isn't cut between two events, nor a
        plain one at all: nothing would show it.
        """
        if self.broken_at >= 1.0:
            return len(body)
        size = int(self.broken_at * len(body))
        blank = (2 * self.line_end).encode()
        if self.framing == CLOSE:
            if not body.endswith(blank):
                return len(body)
            between = (blank, blank[:-1])
            while size < len(body) and body[:size].endswith(between):
                size += 1
        return size


def form_of(request: str, upstream: str) -> Form:
    """Returns the form of an upstream's answer to a request."""
    generator = random.Random(f"{request} at {upstream}")
    framing = generator.choice((LENGTH, CHUNKS, CHUNKS, CLOSE))
    line_end = generator.choice(("\n", "\n", "\r\n", "\r"))
    broken_at = 1.0
    if generator.random() < _BROKEN_PART:
        broken_at = generator.random()
    return Form(framing, line_end, broken_at)


def numbers_of(
    request: str, upstream: str, after: int, base: int, last: int
) -> tuple[list[int], bool]:
    """Returns the numbers of the events that an upstream sends.

    Some upstreams that are asked to go on send the last event again, go back or
    begin anew, and some send an event twice or leave one out.

    Args:
        request: Id of the request.
        upstream: Name of the upstream.
        after: Number of the event after which it is to go on.
        base: Number before that of the first event.
        last: Number of the last event.

    Returns:
        The numbers, and whether they are those that were asked for.
    """
    numbers = list(range(after + 1, last + 1))
    generator = random.Random(f"{request} at {upstream}, numbers")
    is_take_up = after > base
    draw = generator.random()
    if is_take_up and draw < _DISORDERED_PART:
        first = generator.choice((after, max(base + 1, after - 1), base + 1))
        return list(range(first, last + 1)), False
    if numbers and draw > 1.0 - _TWICE_PART:
        place = generator.randrange(len(numbers))
        numbers.insert(place, numbers[place])
        return numbers, False
    is_late = draw > 1.0 - _TWICE_PART - _LEFT_OUT_PART
    # Nothing would show that the last one is missing.
    if is_late and len(numbers) > _LEFT_OUT_AFTER + 1:
        del numbers[generator.randrange(_LEFT_OUT_AFTER, len(numbers) - 1)]
        return numbers, False
    return numbers, True


class Early(NamedTuple):
    """How an upstream answers an upload before it has read it.

    Attributes:
        framing: What ends the body; see `Form`.
        is_whole: Whether it sends the whole body.
        is_reset: Whether it resets the connection then; else it reads on, and
            ends its own side before if nothing else ends the body.
    """

    framing: str
    is_whole: bool
    is_reset: bool


def early_of(request: str, upstream: str) -> Early | None:
    """Returns how an upstream answers an upload early; None for not so."""
    generator = random.Random(f"{request} at {upstream}, early")
    if generator.random() >= _EARLY_PART:
        return None
    framing = generator.choice((LENGTH, CHUNKS, CLOSE))
    is_reset = generator.random() < 0.5
    return Early(framing, not is_reset or generator.random() < 0.5, is_reset)


def unasked_answer(request: str, upstream: str) -> bytes:
    """Returns an answer to nobody before that to a request; mostly none."""
    generator = random.Random(f"{request} at {upstream}, before")
    if generator.random() >= _UNASKED_PART:
        return b""
    status, fields = generator.choice(
        (
            ("200 OK", ""),
            ("200 OK", "Content-Type: text/event-stream\r\n"),
            ("500 No", ""),
            ("503 No", "X-Not-Executed: 1\r\n"),
        )
    )
    body = event_bytes(EventText("nobody", 1, "v1"), "\n")
    return (
        f"HTTP/1.1 {status}\r\nX-Response-Signature: s\r\n{fields}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Observer(Protocol):
    """Receives the start of each run."""

    def run_began(
        self, request: str, upstream: str, customer: str, body: bytes
    ) -> None:
        """An upstream begins to run a request."""

    def broke_off(self, request: str) -> None:
        """An upstream breaks off its answer to a request."""

    def crashed(self, request: str, upstream: str) -> None:
        """An upstream crashes under a request."""

    def restarted(self, upstream: str) -> None:
        """An upstream that crashed serves again."""


class EventText(NamedTuple):
    """The data of an event.

    Attributes:
        request: Request that the upstream ran.
        number: Number of the event.
        version: Version of the upstream's software.
        filler: Further text.
        run: Number of the run that made it; 0 if its upstream states none.
    """

    request: str
    number: int
    version: str
    filler: str = ""
    run: int = 0

    def text(self) -> str:
        """Returns it as it is sent."""
        maker = f"{self.version}~{self.run}" if self.run else self.version
        return f"{self.request}#{self.number}@{maker} {self.filler}"


def parse_event(data: str) -> EventText:
    """Returns the parts of an event's data.

    Raises:
        ValueError: It is no such text.
    """
    name, _, rest = data.partition("@")
    request, _, number = name.partition("#")
    maker, _, filler = rest.partition(" ")
    version, _, run = maker.partition("~")
    return EventText(request, int(number), version, filler, int(run or 0))


def filler_of(large: bool) -> str:
    """Returns the further text of an event."""
    return _LARGE_TEXT if large else ""


def event_bytes(event: EventText, line_end: str) -> bytes:
    """Returns an event with a line end."""
    number, data = event.number, event.text()
    return line_end.join((f"id: {number}", f"data: {data}", "", "")).encode()


def events_of(
    text: EventText, numbers: list[int], line_end: str
) -> list[bytes]:
    """Returns events that differ in their numbers."""
    return [
        event_bytes(text._replace(number=number), line_end)
        for number in numbers
    ]


def head_of(form: Form, common: str, body: bytes) -> bytes:
    """Returns the head of an answer with this whole body."""
    fields = {
        LENGTH: f"Content-Length: {len(body)}",
        CHUNKS: "Transfer-Encoding: chunked",
        CLOSE: "Connection: close",
    }
    return f"HTTP/1.1 200 OK\r\n{common}{fields[form.framing]}\r\n\r\n".encode()


def write_part(writer: asyncio.StreamWriter, form: Form, data: bytes) -> None:
    """Writes a part of a body."""
    if form.framing == CHUNKS and data:
        data = b"%x\r\n%b\r\n" % (len(data), data)
    writer.write(data)


def plain_body(request: str) -> bytes:
    """Returns the body of a plain service's response."""
    return f"done {request}".encode()


class Upstream:
    """One upstream behind a proxy.

    Attributes:
        controls: Clients of the control instances.
        preferred: Index of the control instance that is asked first.
        link: Proxy between the entries and this upstream.
        born: Start of the present process, in ms since 1970.
        states_start: Whether it tells that to others.
        version: Version of its software.
        state: State in its registrations.
        running: Requests that it runs.
        turns: Those of them that belong to a program.
        heartbeats: Whether it registers itself.
        sequence: Number of its last registration.
        slowness: Time of its work as a multiple of the usual time.
        reads_slowly: Whether it pauses before it reads a body.
        sends_unasked: Whether it sends answers that nobody asked for.
        answers_early: Whether it answers uploads before it has read them.
        tasks: Its connections.
        crash_number: Number of crashes under requests.
        crash_task: The latest of them, until it has restarted.
        slots: Number of requests that it runs at full speed.
        draining_since: Monotonic time at which control acknowledged that it
            drains; 0 if it doesn't.
    """

    def __init__(
        self,
        name: str,
        service: str,
        observer: Observer,
        controls: list[hosted_processes.Caller],
    ) -> None:
        self.name = name
        self.service = service
        self.observer = observer
        self.controls = controls
        self.link = links.Link("")
        self.born = int(time.time() * 1000)
        self.states_start = True
        self.version = "v1"
        self.state = "ready"
        self.heartbeats = True
        self.sequence = 0
        self.running = 0
        self.turns = 0
        self.slowness = 1.0
        self.reads_slowly = False
        self.sends_unasked = False
        self.answers_early = False
        self.draining_since = 0.0
        self.server: asyncio.Server | None = None
        self.crash_number = 0
        self.crash_task: asyncio.Task | None = None
        self.tasks: set[asyncio.Task] = set()
        self.preferred = 0
        self.slots = SLOTS

    async def start(self) -> None:
        """Starts to listen and to register."""
        await self._listen()
        await self.link.start("127.0.0.1", 0)
        self.heartbeat_task = asyncio.create_task(self._register_forever())

    async def start_instead_of(self, other: "Upstream") -> None:
        """Starts at the address of an upstream whose process has ended."""
        self.link = other.link
        await self._listen()
        await self.link.reopen()
        self.heartbeat_task = asyncio.create_task(self._register_forever())

    async def _listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.link.target = f"{host}:{port}"

    def crash(self, quietly: bool = False) -> None:
        """Ends the process: it neither answers nor registers.

        Args:
            quietly: Whether its connections are closed in order and its address
                refuses new ones, as after the end of a process; otherwise they
                are reset, and new ones too.
        """
        self.heartbeats = False
        self.server.close()
        if quietly:
            self.link.refuse()
        for task in list(self.tasks):
            task.cancel()
        if not quietly:
            self.link.abort()

    async def restart(self) -> None:
        """Starts a new process under the same id."""
        await self.link.reopen()
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.stay()
        self.heartbeats = True
        await self._listen()

    async def _crash_under(self, request: str) -> None:
        """Crashes under a request, and restarts after a second or two.

        Of three crashes one resets its connections and refuses new ones, one
        accepts and resets them, and one closes them in order and refuses.
        """
        self.observer.crashed(request, self.name)
        self.crash_number += 1
        way = (self.crash_number + 1) % 3
        self.crash(quietly=way == 2)
        if way == 1:
            self.link.close()
        await asyncio.sleep(1.0 + self.crash_number % 3 * 0.4)
        await self.restart()
        self.observer.restarted(self.name)

    async def drain(self) -> None:
        """Registers as draining until control has acknowledged it."""
        self.state = "draining"
        while self.state == "draining" and not self.draining_since:
            born = self.born
            is_known = await self.register() == 200 and born == self.born
            if is_known and self.state == "draining":
                self.draining_since = time.monotonic()
            else:
                await asyncio.sleep(0.1)

    def stay(self) -> None:
        """Takes new work again after a drain."""
        self.state = "ready"
        self.draining_since = 0.0

    async def deregister(self) -> None:
        """Ends its registration; returns when control has acknowledged that."""
        self.heartbeats = False
        path = f"/v1/Instances.Leave/{self.name}"
        for control in itertools.cycle(self.controls):
            if (await control.ask("POST", path, {})).status == 200:
                break
            await asyncio.sleep(0.1)

    def heartbeat(self) -> dict[str, Any]:
        """Returns the next registration."""
        self.sequence += 1
        start = {"born": self.born} if self.states_start else {}
        return {
            "service": self.service,
            "address": self.link.address,
            "zone": "z1",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            **start,
        }

    async def register(self, fields: dict[str, Any] | None = None) -> int:
        """Sends a registration to a control that answers.

        Returns:
            The status; 0 if no control answered.
        """
        body = json.dumps(fields or self.heartbeat()).encode()
        path = f"/v1/Instances.Heartbeat/{self.name}"
        for _ in self.controls:
            control = self.controls[self.preferred]
            answer = await control.ask("POST", path, {}, body)
            if answer.status in (200, 400):
                return answer.status
            self.preferred = (self.preferred + 1) % len(self.controls)
        return 0

    async def _register_forever(self) -> None:
        while True:
            if self.heartbeats:
                await self.register()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        ended = (OSError, EOFError, asyncio.CancelledError)
        is_used = False
        try:
            with contextlib.suppress(*ended):
                while True:
                    head, headers = await hosted_processes.read_head(reader)
                    if early := self._early(headers):
                        await self._answer_early(early, headers, reader, writer)
                        continue
                    if self.reads_slowly:
                        await asyncio.sleep(_SLOW_READ_SECONDS)
                    body = await hosted_processes.read_body(reader, headers)
                    request = headers.get("x-request-id")
                    if request and is_used and self.sends_unasked:
                        writer.write(unasked_answer(request, self.name))
                    is_used = is_used or bool(request)
                    await self._answer(head, headers, body, writer)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_expected = headers.get("x-expect-instance") == self.name
        if head.startswith("GET /v1/report ") and is_expected:
            fields = {"born": self.born} if self.states_start else {}
            report = json.dumps(fields).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(report), report)
            )
            return
        if not is_expected:
            writer.write(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
            return
        request = headers["x-request-id"]
        common = f"X-Request-Id: {request}\r\nX-Response-Signature: s\r\n"
        if self.is_full():
            writer.write(
                f"HTTP/1.1 503 No\r\n{common}X-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        customer = headers.get("x-tenant", "")
        self.observer.run_began(request, self.name, customer, body)
        with self._counted(headers):
            if CRASHING in head:
                await asyncio.sleep(_CRASH_SECONDS)
                if self.crash_task is None or self.crash_task.done():
                    self.crash_task = asyncio.create_task(
                        self._crash_under(request)
                    )
                await asyncio.sleep(math.inf)
            elif self.service.startswith("lm"):
                await self._stream(headers, common, writer)
            else:
                is_late = changes.LATE in head
                seconds = _LATE_SECONDS if is_late else _PLAIN_SECONDS
                await asyncio.sleep(seconds * self.slowness)
                form = form_of(request, self.name)
                text = plain_body(request)
                cut = form.cut(text)
                writer.write(head_of(form, common, text))
                write_part(writer, form, text[:cut])
                await self._end(request, form, cut < len(text), writer)

    def _early(self, headers: dict) -> Early | None:
        """Returns how it answers a request early; None for not so."""
        is_upload = int(headers.get("content-length", 0)) >= UPLOAD_BYTES
        is_expected = headers.get("x-expect-instance") == self.name
        if not (self.answers_early and is_upload and is_expected):
            return None
        if self.is_full():
            return None
        return early_of(headers["x-request-id"], self.name)

    async def _answer_early(
        self,
        early: Early,
        headers: dict,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers an upload before it has read it.

        Raises:
            EOFError: Its connection ends with it.
        """
        request = headers["x-request-id"]
        self.observer.run_began(
            request, self.name, headers.get("x-tenant", ""), b""
        )
        with self._counted(headers):
            form = Form(early.framing)
            text = plain_body(request)
            common = f"X-Request-Id: {request}\r\nX-Response-Signature: s\r\n"
            writer.write(head_of(form, common, text))
            sent = text if early.is_whole else text[: len(text) // 2]
            write_part(writer, form, sent)
            if early.is_whole and form.framing == CHUNKS:
                writer.write(b"0\r\n\r\n")
            if early.is_reset:
                self.observer.broke_off(request)
                links.reset(writer)
                raise EOFError
            if form.framing == CLOSE:
                writer.write_eof()
            await hosted_processes.read_body(reader, headers)
            if form.framing == CLOSE:
                raise EOFError

    def is_full(self) -> bool:
        """Returns whether it refuses requests."""
        return self.running >= RUNNING_PER_SLOT * self.slots

    @contextlib.contextmanager
    def _counted(self, headers: dict) -> Iterator[None]:
        """Counts a request as running."""
        is_turn = "x-program-id" in headers
        self.running += 1
        self.turns += is_turn
        try:
            yield
        finally:
            self.running -= 1
            self.turns -= is_turn

    async def _stream(
        self, headers: dict, common: str, writer: asyncio.StreamWriter
    ) -> None:
        request = headers["x-request-id"]
        count = int(headers["x-token-counts"].partition(",")[2])
        base = int(headers.get("x-base") or 0)
        after = int(headers.get("last-event-id") or base)
        pause = int(headers.get("x-pause-ms") or 0) / 1000 or _EVENT_SECONDS
        large = "x-large" in headers
        form = Form() if large else form_of(request, self.name)
        numbers, is_asked_for = numbers_of(
            request, self.name, after, base, base + count
        )
        if not is_asked_for:
            self.observer.broke_off(request)
        text = EventText(request, 0, self.version, filler_of(large))
        events = events_of(text, numbers, form.line_end)
        # Engines send the head with the first token.
        await asyncio.sleep(_PLAIN_SECONDS * self.slowness)
        common += "Content-Type: text/event-stream\r\n"
        body = b"".join(events)
        writer.write(head_of(form, common, body))
        size = form.cut(body)
        left = size
        for event in events:
            if not large:
                await asyncio.sleep(pause * self.slowness)
            write_part(writer, form, event[:left])
            left -= min(left, len(event))
            await writer.drain()
            if not left:
                break
        await self._end(request, form, size < len(body), writer)

    async def _end(
        self,
        request: str,
        form: Form,
        is_broken: bool,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Ends an answer.

        Raises:
            EOFError: Its connection ends with it.
        """
        if is_broken:
            self.observer.broke_off(request)
        elif form.framing == CHUNKS:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if is_broken or form.framing == CLOSE:
            raise EOFError

    def busy_fraction(self) -> float:
        """Returns the part of the slots that run a turn of a program."""
        return self.turns / self.slots

    def taken_fraction(self) -> float:
        """Returns the part of the slots that run any request."""
        return min(self.running, self.slots) / self.slots

    def waiting(self) -> int:
        """Returns the requests beyond the slots."""
        return max(0, self.running - self.slots)

    def slow_down(self) -> None:
        """Makes all later events slower."""
        self.slowness = _SLOW_FACTOR

    def recover(self) -> None:
        """Ends slowness of work and of reading."""
        self.slowness = 1.0
        self.reads_slowly = False
