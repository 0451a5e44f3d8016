"""Stand-in upstreams that move running requests and keep backups of them.

Upstreams of one `Network` copy memory to each other. What they do wrong follows
from ids, so that a seed plays the same faults again.
"""

import asyncio
import itertools
import json
import math
import random
import time
from typing import Any
from typing import Protocol

from bench import hosted_processes
from testing.soak import upstreams

_MOVE_PATH = "POST /v1/kv-move "
_HANDLE_PATH = "DELETE /v1/kv-handle/"
# Time for which a copy is kept, and the part of it after which it is gone: it
# expires when that time is well exceeded.
HANDLE_SECONDS = 2.0
_WELL_EXCEEDED = 1.25
# What the platform's configuration says of such engines.
ENGINE = {
    "kvCapacityTokens": 100_000,
    "kvTokenBytes": 60_000,
    "linkMbps": 400,
    "moves": True,
    "backups": True,
    "handle_s": HANDLE_SECONDS,
}
# Seconds that a copy takes: most are fast, some exceed what entries allow.
_COPY_SECONDS = (0.01, 0.15)
_SLOW_COPY_SECONDS = (0.3, 0.9)
_SLOW_PART = 0.15
# An answer that takes longer may come after its entry has given up the call.
PROMPT_SECONDS = 0.45
_LATE_SECONDS = 2.5
_BACKUP_SECONDS = 0.15
# Steps in which a run looks whether it was stopped.
_STEP_SECONDS = 0.02
_FRAMINGS = (
    upstreams.LENGTH,
    upstreams.CHUNKS,
    upstreams.CLOSE,
    upstreams.CLOSE,
)
# Answers of calls, and how often they come.
_FAULTS = {
    "": 78,
    "unknown": 3,
    "busy": 4,
    "no_room": 6,
    "no_handle": 2,
    "lost": 4,
    "late": 3,
}
# How a run goes on that continues from a copy, and how often.
_CONTINUATIONS = {"": 90, "again": 4, "back": 3, "refused": 3}


def _draw(text: str, weights: dict[str, int]) -> str:
    generator = random.Random(text)
    return generator.choices(list(weights), list(weights.values()))[0]


class Run:
    """A run of a request; it goes on where its memory is copied to.

    Attributes:
        serial: Number that no other run has; its events state it.
        body: Body of the request.
        made: Number of the last event that was generated.
        upstream: Upstream that runs it.
        started: Monotonic time at which that has begun with it.
        is_stopped: Whether a move has stopped it.
        is_copying: Whether a call for a copy is in progress.
        calls: Number of calls for copies.
    """

    def __init__(
        self, request: str, serial: int, body: bytes, made: int, upstream: str
    ) -> None:
        self.request = request
        self.serial = serial
        self.body = body
        self.made = made
        self.upstream = upstream
        self.started = time.monotonic()
        self.is_stopped = False
        self.is_copying = False
        self.calls = 0


class Copy:
    """Memory of a run that is kept under a handle, or as a backup.

    Attributes:
        source: The upstream that made it.
        destination: The upstream that holds it; None if only the source does.
        source_lost_at: When the source has crashed since; infinity if not.
        expires_at: Monotonic time from which it can't be used.
        asked_at: When the call arrived that was answered so.
        told_at: When its handle was stated in a prompt answer; 0 before.
        is_usable: Whether the run has been stopped with it.
        end: How it ended: `used`, `freed`, `expired`, `crashed` or empty.
    """

    def __init__(
        self,
        handle: str,
        run: Run,
        source: "Upstream",
        destination: "Upstream | None",
    ) -> None:
        self.handle = handle
        self.run = run
        self.source = source
        self.destination = destination
        self.source_lost_at = math.inf
        self.expires_at = 0.0
        self.asked_at = 0.0
        self.told_at = 0.0
        self.is_usable = False
        self.end = ""
        self.extend()

    def extend(self) -> None:
        """Keeps it for the whole time from now."""
        self.expires_at = time.monotonic() + _WELL_EXCEEDED * HANDLE_SECONDS

    def crashed(self, upstream: "Upstream") -> None:
        """Records that the memory of an upstream is lost."""
        if upstream is self.source:
            self.source_lost_at = min(self.source_lost_at, time.monotonic())
        if upstream is self.destination:
            self.destination = None
        is_left = self.is_usable and not self.is_source_lost
        if self.destination is None and not is_left and self.is_kept():
            self.end = "crashed"

    @property
    def is_source_lost(self) -> bool:
        """Whether the source has crashed since."""
        return self.source_lost_at < math.inf

    def is_at(self, upstream: "Upstream") -> bool:
        """Returns whether an upstream can continue the run from it."""
        if upstream is self.source:
            return not self.is_source_lost
        return upstream is self.destination

    def is_kept(self) -> bool:
        """Returns whether it still takes memory."""
        if not self.end and time.monotonic() > self.expires_at:
            self.end = "expired"
        return not self.end


class Observer(upstreams.Observer, Protocol):
    """Receives what upstreams with moves do."""

    def generated(self, run: Run, upstream: str, number: int) -> None:
        """An upstream generates an event."""

    def worked(self, run: Run, upstream: str) -> None:
        """An upstream has stopped to work on a run."""

    def used_again(self, copy: Copy) -> None:
        """A handle is used that was used before."""

    def used_by_another(self, copy: Copy, request: str) -> None:
        """A request names the memory of another one."""

    async def reached(self, point: str, copy: Copy | None, run: Run) -> None:
        """A move is at a point; the observer may disturb it there."""


class Network:
    """Upstreams that reach each other.

    Attributes:
        breaks: Whether upstreams break off answers and disorder events, as
            those without moves do; otherwise half of their answers have no
            mark of their end, so that a stop looks like it.
        upstreams: The upstreams by address.
        copies: All copies that were made, in order.
    """

    def __init__(self, observer: Observer, breaks: bool = False) -> None:
        self.observer = observer
        self.breaks = breaks
        self.upstreams: dict[str, Upstream] = {}
        self.copies: list[Copy] = []
        self.numbers = itertools.count(1)

    def held_at(self, upstream: "Upstream") -> int:
        """Returns the number of copies that take slots of an upstream."""
        return sum(
            copy.destination is upstream and copy.is_kept()
            for copy in self.copies
            if not copy.end
        )


class Upstream(upstreams.Upstream):
    """An upstream with moves and backups.

    Attributes:
        network: The upstreams that it reaches.
        runs: Its runs by request.
        backups: Copies of other upstreams' runs, by request.
        awake: Set unless its process stands still.
        is_isolated: Whether other upstreams can't reach it.
        has_room: Whether it takes copies of other upstreams' runs.
    """

    def __init__(
        self,
        name: str,
        network: Network,
        controls: list[hosted_processes.Caller],
        service: str = "lm",
    ) -> None:
        super().__init__(name, service, network.observer, controls)
        self.network = network
        self.runs: dict[str, Run] = {}
        self.backups: dict[str, Copy] = {}
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.awake = asyncio.Event()
        self.awake.set()
        self.is_isolated = False
        self.has_room = True

    async def register(self, fields: dict[str, Any] | None = None) -> int:
        """Sends a registration unless the process stands still."""
        await self.awake.wait()
        return await super().register(fields)

    def is_full(self) -> bool:
        """Returns whether it refuses requests."""
        held = self.network.held_at(self)
        return self.running + held >= upstreams.RUNNING_PER_SLOT * self.slots

    async def start(self) -> None:
        """Starts to listen and to register."""
        await super().start()
        self.network.upstreams[self.link.address] = self

    def crash(self, quietly: bool = False) -> None:
        """Ends the process; its memory is lost."""
        super().crash(quietly)
        for copy in self.network.copies:
            copy.crashed(self)
        self.runs.clear()
        self.backups.clear()

    def stand_still(self) -> None:
        """Stops the process as SIGSTOP does."""
        self.awake.clear()
        self.link.apply("silent")

    def go_on(self) -> None:
        """Ends a stop of the process."""
        self.awake.set()
        self.link.restore()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.readers[writer] = reader
        try:
            await super()._serve(reader, writer)
        finally:
            del self.readers[writer]

    async def _answer(
        self,
        head: str,
        headers: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self.awake.wait()
        is_expected = headers.get("x-expect-instance") == self.name
        is_without_moves = (
            head.startswith("GET /v1/report ")
            or upstreams.CRASHING in head
            or "x-large" in headers
        )
        if not is_expected or is_without_moves:
            await super()._answer(head, headers, body, writer)
        elif head.startswith(_MOVE_PATH):
            await self._move(json.loads(body), writer)
        elif head.startswith(_HANDLE_PATH):
            self._free(head.split()[1].rpartition("/")[2])
            _write_answer(writer, 200, {})
        elif "kv-from" in headers:
            await self._continue(headers, body, writer)
        elif self.is_full():
            writer.write(
                "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
        else:
            await self._begin(headers, body, writer)

    # --- Runs -----------------------------------------------------------------

    async def _begin(
        self, headers: dict, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request = headers["x-request-id"]
        customer = headers.get("x-tenant", "")
        self.observer.run_began(request, self.name, customer, body)
        base = int(headers.get("x-base") or 0)
        after = int(headers.get("last-event-id") or base)
        serial = next(self.network.numbers)
        run = Run(request, serial, body, after, self.name)
        last = base + _count_of(headers)
        numbers = list(range(after + 1, last + 1))
        if self.network.breaks:
            numbers, is_asked_for = upstreams.numbers_of(
                request, self.name, after, base, last
            )
            if not is_asked_for:
                self.observer.broke_off(request)
        await self._run(run, headers, writer, numbers)

    async def _continue(
        self, headers: dict, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Continues a run from a copy, or refuses the request."""
        request = headers["x-request-id"]
        address, _, handle = headers["kv-from"].partition("/")
        copy = self._copy_at(address, handle)
        how = _draw(f"{request} {handle} at {self.name}", _CONTINUATIONS)
        is_same = copy is not None and copy.run.request == request
        if copy is not None and not is_same:
            self.observer.used_by_another(copy, request)
        if copy is not None and copy.end == "used":
            self.observer.used_again(copy)
        if (
            copy is None
            or not is_same
            or not copy.is_kept()
            or (copy.source is self and not copy.is_usable)
            or copy.run.body != body
            or how == "refused"
        ):
            self.observer.broke_off(request)
            _write_answer(writer, 503, {}, f"X-Request-Id: {request}\r\n")
            return
        copy.end = "used"
        before = copy.run
        run = Run(request, before.serial, body, before.made, self.name)
        await self.observer.reached("continuing", copy, run)
        base = int(headers.get("x-base") or 0)
        after = int(headers.get("last-event-id") or base)
        first = after + 1
        if how == "again":
            first = max(base + 1, after)
        elif how == "back":
            first = max(base + 1, after - 2)
        if first <= after:
            self.observer.broke_off(request)
        last = base + _count_of(headers)
        await self._run(run, headers, writer, list(range(first, last + 1)))

    def _copy_at(self, address: str, handle: str) -> Copy | None:
        """Returns the copy that a request names, if it is here."""
        if address == self.link.address and handle in self.backups:
            return self.backups[handle]
        for copy in self.network.copies:
            if (copy.handle, copy.source.link.address) == (handle, address):
                return copy if copy.is_at(self) else None
        return None

    def _form_of(self, request: str) -> upstreams.Form:
        form = upstreams.form_of(request, self.name)
        if self.network.breaks:
            return form
        framing = random.Random(f"{request} at {self.name}").choice(_FRAMINGS)
        return form._replace(framing=framing, broken_at=1.0)

    async def _run(
        self,
        run: Run,
        headers: dict,
        writer: asyncio.StreamWriter,
        numbers: list[int],
    ) -> None:
        """Makes the events with some numbers, and ends the answer."""
        request = run.request
        form = self._form_of(request)
        self.runs[request] = run
        backup = None
        if "x-kv-backup" in headers:
            backup = asyncio.create_task(
                self._back_up(run, headers["x-kv-backup"])
            )
        try:
            with self._counted(headers):
                is_whole = await self._make(run, headers, writer, form, numbers)
                if self.runs.get(request) is run:
                    del self.runs[request]
                if is_whole:
                    self._drop_backup(run)
                await self._end(request, form, not is_whole, writer)
        finally:
            if backup is not None:
                backup.cancel()
            self.observer.worked(run, self.name)
            if self.runs.get(request) is run:
                del self.runs[request]

    async def _make(
        self,
        run: Run,
        headers: dict,
        writer: asyncio.StreamWriter,
        form: upstreams.Form,
        numbers: list[int],
    ) -> bool:
        """Makes and sends events; returns whether it has sent all of them."""
        pause = int(headers.get("x-pause-ms") or 10) / 1000
        await self._work(run, writer, 0.02)
        text = upstreams.EventText(run.request, 0, self.version, run=run.serial)
        events = upstreams.events_of(text, numbers, form.line_end)
        common = (
            f"X-Request-Id: {run.request}\r\nX-Response-Signature: s\r\n"
            "Content-Type: text/event-stream\r\n"
        )
        body = b"".join(events)
        writer.write(upstreams.head_of(form, common, body))
        size = left = form.cut(body)
        for number, event in zip(numbers, events, strict=True):
            if not left:
                break
            await self._work(run, writer, pause)
            run.made = number
            self.observer.generated(run, self.name, number)
            upstreams.write_part(writer, form, event[:left])
            left -= min(left, len(event))
            await writer.drain()
        return size == len(body)

    async def _work(
        self, run: Run, writer: asyncio.StreamWriter, seconds: float
    ) -> None:
        """Works for some time.

        Raises:
            EOFError: The run was stopped, or its connection has ended.
        """
        until = time.monotonic() + seconds * self.slowness
        while True:
            await self.awake.wait()
            reader = self.readers.get(writer)
            is_left = reader is None or reader.at_eof() or reader.exception()
            if run.is_stopped or is_left:
                raise EOFError
            left = until - time.monotonic()
            if left <= 0.0:
                return
            await asyncio.sleep(min(left, _STEP_SECONDS))

    def takes_copies(self) -> bool:
        """Returns whether other upstreams can copy memory to it."""
        is_reached = self.server.is_serving() and not self.is_isolated
        return is_reached and self.has_room

    # --- Moves ----------------------------------------------------------------

    async def _move(
        self, fields: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        began = time.monotonic()
        run = self.runs.get(fields["id"])
        calls = run.calls if run is not None else 0
        fault = _draw(f"{fields['id']} {self.name} {calls}", _FAULTS)
        if run is None or fault == "unknown":
            _write_answer(writer, 404, {})
            return
        run.calls += 1
        if run.is_copying or fault == "busy":
            _write_answer(writer, 409, {})
            return
        run.is_copying = True
        try:
            copy, status = await self._copy_run(run, fields, fault)
        finally:
            run.is_copying = False
        await self.awake.wait()
        if fault == "lost":
            self.observer.broke_off(run.request)
            raise EOFError
        if fault == "late":
            await asyncio.sleep(_LATE_SECONDS)
        has_handle = copy is not None and fault != "no_handle"
        is_late = time.monotonic() >= began + PROMPT_SECONDS
        if fields["last"] and (is_late or not has_handle):
            # The entry can't continue the run that has stopped.
            self.observer.broke_off(run.request)
        answer = {"handle": copy.handle, "made": run.made} if has_handle else {}
        _write_answer(writer, status, answer)
        if has_handle and not is_late:
            copy.asked_at, copy.told_at = began, time.monotonic()
        if copy is not None and fields["last"]:
            await self.observer.reached("stopped", copy, run)

    async def _copy_run(
        self, run: Run, fields: dict[str, Any], fault: str
    ) -> tuple[Copy | None, int]:
        """Copies the memory of a run; returns the copy and a status."""
        is_last = fields["last"]
        if is_last:
            run.is_stopped = True
        copy = self._copy_of(run)
        destination = self.network.upstreams.get(fields["to"])
        is_reached = (
            fault not in ("no_room", "no_handle")
            and destination is not None
            and destination.takes_copies()
        )
        if copy is not None and copy.destination is not destination:
            copy.end, copy = "freed", None
        if is_reached and copy is None:
            taken = destination.running + self.network.held_at(destination)
            is_reached = taken < self.slots
            if is_reached:
                copy = self._new_copy(run, destination)
        await self.observer.reached("last" if is_last else "copy", copy, run)
        generator = random.Random(f"{run.request} {self.name} {run.calls}")
        is_slow = generator.random() < _SLOW_PART
        bounds = _SLOW_COPY_SECONDS if is_slow else _COPY_SECONDS
        await asyncio.sleep(generator.uniform(*bounds))
        await self.awake.wait()
        if copy is not None and is_reached and copy.is_kept():
            copy.extend()
            copy.is_usable = is_last
            return copy, 200
        if copy is not None and not copy.end:
            copy.end = "freed"
        if not is_last:
            return None, 503
        copy = self._new_copy(run, None)
        copy.is_usable = True
        return copy, 503

    def _new_copy(self, run: Run, destination: "Upstream | None") -> Copy:
        handle = f"h{next(self.network.numbers)}"
        copy = Copy(handle, run, self, destination)
        self.network.copies.append(copy)
        return copy

    def _copy_of(self, run: Run) -> Copy | None:
        for copy in self.network.copies:
            is_same = copy.run is run and copy.source is self
            if is_same and not copy.is_source_lost and copy.is_kept():
                return copy
        return None

    def _free(self, handle: str) -> None:
        for copy in self.network.copies:
            is_same = copy.handle == handle and copy.source is self
            if is_same and not copy.is_source_lost and copy.is_kept():
                copy.end = "freed"

    # --- Backups --------------------------------------------------------------

    async def _back_up(self, run: Run, address: str) -> None:
        """Sends the memory of a run to another upstream as it grows."""
        other = self.network.upstreams.get(address)
        while other is not None:
            await asyncio.sleep(_BACKUP_SECONDS)
            await self.awake.wait()
            if not other.takes_copies():
                continue
            copy = other.backups.get(run.request)
            if copy is None or copy.run is not run or not copy.is_kept():
                copy = Copy(run.request, run, self, other)
                copy.is_usable = True
                other.backups[run.request] = copy
            copy.extend()

    def _drop_backup(self, run: Run) -> None:
        """Frees the backup of a run that has ended."""
        for other in self.network.upstreams.values():
            copy = other.backups.get(run.request)
            if copy is not None and copy.run.serial == run.serial:
                copy.end = copy.end or "freed"


def _count_of(headers: dict) -> int:
    """Returns the number of events of the whole stream."""
    return int(headers["x-token-counts"].partition(",")[2])


def _write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    fields: dict[str, Any],
    more: str = "",
) -> None:
    body = json.dumps(fields).encode()
    writer.write(
        f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
