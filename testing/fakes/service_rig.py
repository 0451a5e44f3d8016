"""Fakes of a sidecar's ports, and a sidecar with real streams on loopback."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import event

from mintcleat.adapters import engine_http
from mintcleat.adapters import plain_http
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.domain import call_messages
from mintcleat.domain import config_messages
from mintcleat.domain import digests
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.roles.sidecar import sidecar
from mintcleat.standins import engine
from mintcleat.standins import service

NODE = identities.Incarnation("side-1", 1)


class FakeControl:
    """A program group that commits every request and records it.

    Attributes:
        requests: Requests in the order of their arrival.
        open_programs: Programs that are open; None if all are.
        failure: Error to raise for each request; None to reply.
    """

    def __init__(self) -> None:
        self.requests: list[Any] = []
        self.groups = 1
        self.open_programs: set[str] | None = None
        self.failure: Exception | None = None

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        if self.failure is not None:
            raise self.failure
        self.requests.append(message)
        return identities.Done()

    def ended_programs(
        self,
        sidecar: identities.Incarnation,
        programs: list[str],
        timeout: float,
    ) -> list[str]:
        if self.open_programs is None:
            return []
        return [name for name in programs if name not in self.open_programs]

    def requests_of(self, kind: type) -> list[Any]:
        return [item for item in self.requests if isinstance(item, kind)]


class FakeDirectory:
    """Configuration, members and restrictions that a test sets.

    Attributes:
        value: The manifest.
        lease: Whether the configuration lease is valid.
        duplicate: Whether a newer process has the sidecar's name.
        drained: Whether an operator drains the sidecar.
        fencing_token: Highest committed fencing token.
        asked: Requests to the config leader.
        held: Event on which the replies wait; None for immediate replies.
    """

    def __init__(self) -> None:
        self.value = manifest.Manifest()
        self.lease = True
        self.duplicate = False
        self.drained = False
        self.fencing_token = 0
        self.quarantine: set[bytes] = set()
        self.suspects: set[bytes] = set()
        self.asked: list[Any] = []
        self.held: event.Event | None = None

    def manifest(self) -> manifest.Manifest:
        return self.value

    def revision(self) -> int:
        return 1

    def has_lease(self) -> bool:
        return self.lease

    def members(self, service: str) -> list[member_messages.Announcement]:
        return []

    def subscribe(self, callback: Callable[[], None]) -> None:
        return None

    def may_serve_stale(self) -> bool:
        return self.value.policies.stale_lease == "serve"

    def is_draining(self, instance: str, failure_domain: str) -> bool:
        return self.drained

    def is_quarantined(self, digest: bytes) -> bool:
        return digest in self.quarantine

    def is_suspect(self, digest: bytes) -> bool:
        return digest in self.suspects

    def announce(self) -> None:
        return None

    def ask(self, message: Any, timeout: float) -> Any:
        self.asked.append(message)
        if self.held is not None:
            self.held.wait()
        if isinstance(message, config_messages.ReadFencingToken):
            return config_messages.FencingToken(self.fencing_token)
        return identities.Done()


class Rig:
    """One sidecar with real streams and an upstream of `standins`."""

    def __init__(
        self,
        upstream: engine.Engine | service.Service,
        options: sidecar.SidecarOptions | None = None,
        node: identities.Incarnation = NODE,
    ) -> None:
        plain = isinstance(upstream, service.Service)
        self.upstream = upstream
        self.control = FakeControl()
        self.directory = FakeDirectory()
        self.server = streams.TcpStreams("127.0.0.1:0")
        self.client = streams.TcpStreams("127.0.0.1:0")
        kind = "plain" if plain else "model"
        defaults = sidecar.SidecarOptions("svc", kind, renew_interval=0.05)
        adapter = plain_http.HttpService if plain else engine_http.HttpEngine
        self.sidecar = sidecar.Sidecar(
            node,
            options or defaults,
            streams=self.server,
            timers=timers.EventletTimers(),
            upstream=adapter(upstream.address),
            control=self.control,
            directory=self.directory,
        )
        self.sidecar.start()

    def stop(self) -> None:
        self.sidecar.stop(0.0)
        self.client.stop()
        self.server.stop()
        self.upstream.stop()

    def sleep(self) -> None:
        """Waits long enough for sent messages to arrive."""
        eventlet.sleep(0.03)

    def wait_until(self, probe: Callable[[], Any], limit: float = 5.0) -> Any:
        """Waits until the probe returns something true, and returns it."""
        return wait_until(probe, limit)

    def open(self, message: Any) -> Any:
        return self.client.open(self.server.address, message)

    def call(self, message: Any, timeout: float = 5.0) -> tuple[str, Any]:
        """Sends a request; returns the answer's text and the last message."""
        return read_answer(self.open(message), timeout)


def wait_until(probe: Callable[[], Any], limit: float = 5.0) -> Any:
    """Waits until the probe returns something true, and returns it."""
    for _ in range(int(limit / 0.01)):
        found = probe()
        if found:
            return found
        eventlet.sleep(0.01)
    raise AssertionError(f"The condition is still false after {limit:g} s.")


def read_rest(exchange: Any, timeout: float = 5.0) -> tuple[str, Any]:
    """Reads the rest of an answer, of which a part was read before."""
    text = ""
    while True:
        message = exchange.receive(timeout)
        if not isinstance(message, call_messages.Chunk):
            return text, message
        text += message.text


def read_answer(exchange: Any, timeout: float = 5.0) -> tuple[str, Any]:
    """Reads an answer to its end and checks the offsets of its chunks."""
    text = ""
    while True:
        message = exchange.receive(timeout)
        if not isinstance(message, call_messages.Chunk):
            exchange.close()
            return text, message
        assert message.offset == len(text)
        text += message.text


def user(text: str) -> str:
    """Returns the JSON text of a user message, as the engine encodes it."""
    return f'{{"role":"user","content":"{text}"}}'


def turn(program: str = "p", attempt: int = 1, **fields: Any) -> Any:
    """Returns a RunTurn; fields override the defaults."""
    values = {
        "program": program,
        "customer": "",
        "service": "svc",
        "key": f"k{attempt}",
        "attempt": attempt,
        "sidecar": NODE,
        "base_turn": 0,
        "base_digest": digests.EMPTY,
        "history": [],
        "messages": [user(f"{program} asks")],
        "parameters": "{}",
        "deadline": 60.0,
        "klass": "interactive",
        "agent": "a",
        "root": program,
        "attained": 0,
        "digest": b"d" * 16,
        "idempotent": True,
    }
    return call_messages.RunTurn(**{**values, **fields})


def tool(program: str = "p", attempt: int = 1, **fields: Any) -> Any:
    """Returns a RunTool of a non-idempotent request."""
    values = {
        "program": program,
        "customer": "",
        "service": "svc",
        "key": f"k{attempt}",
        "attempt": attempt,
        "sidecar": NODE,
        "method": "POST",
        "path": "/book",
        "headers": [["Idempotency-Key", f"{program}-k{attempt}"]],
        "body": b"part 7",
        "deadline": 60.0,
        "klass": "interactive",
        "digest": b"d" * 16,
        "idempotent": False,
    }
    return call_messages.RunTool(**{**values, **fields})
