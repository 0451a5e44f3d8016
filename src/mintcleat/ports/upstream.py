"""The interface of a sidecar to its upstream."""

from collections.abc import Iterator
from typing import NamedTuple
from typing import Protocol

from mintcleat.domain import identities


class EngineInfo(NamedTuple):
    """Properties that a model engine reports of itself.

    Attributes:
        life: Number of the engine process; it changes with a restart, which
            empties the cache.
        model: Name of the loaded model.
        capacity: Number of sequences that the engine runs concurrently.
        state: State of the engine, as it reports it.
        fencing: Whether it rejects orders with an outdated fencing token.
        kv_export: Whether it can export and import cached prefixes.
        priority: Whether it orders calls by priority.
        resume: Whether a lost stream can be resumed.
        memory: Capacity of the prefix cache in tokens; 0 if unknown.
    """

    life: int
    model: str
    capacity: int
    state: str
    fencing: bool
    kv_export: bool
    priority: bool
    resume: bool
    memory: int = 0


class EngineLoad(NamedTuple):
    """A load report of the engine, which may be out of date.

    Attributes:
        running: Sequences in progress.
        waiting: Sequences in the engine's queue.
        free_memory: Free space of the prefix cache in tokens.
    """

    running: int
    waiting: int
    free_memory: int


class EngineCall(NamedTuple):
    """A chat completion request.

    Attributes:
        request: Id of the request, used to resume or cancel it.
        program: Program that owns the cached prefix; empty for none.
        messages: All messages of the conversation, each as JSON.
        parameters: The other fields of the request body, as JSON.
        priority: Calls with a lower value run first.
        software: Version of the engine's software that has made what the caller
            has of the answer; other engines refuse it. Empty for any.
    """

    request: str
    program: str
    messages: list[str]
    parameters: str
    priority: int = 0
    software: str = ""


class TextChunk(NamedTuple):
    """The next part of the generated text.

    Attributes:
        software: Version of the software that made it; empty if not stated.
    """

    text: str
    software: str = ""


class End(NamedTuple):
    """The end of an answer, as the engine reports it.

    Attributes:
        total: Length of the whole answer in characters.
        reason: Finish reason, as the engine gives it.
        usage: Tokens of the prompt and of the answer.
    """

    total: int
    reason: str
    usage: identities.Usage


class CacheEvent(NamedTuple):
    """A change in the cached prefix of a program.

    Attributes:
        seq: Sequence number of the event.
        program: Program that owns the prefix.
        tokens: Cached tokens of the program after the change.
    """

    seq: int
    program: str
    tokens: int


class CacheEvents(NamedTuple):
    """Cache events, in order.

    Attributes:
        life: Number of the engine process; see EngineInfo.
        seq: Sequence number of the engine's newest event.
        events: The events that were asked for.
    """

    life: int
    seq: int
    events: list[CacheEvent]


class CacheListing(NamedTuple):
    """The content of the engine's prefix cache.

    Attributes:
        life: Number of the engine process; see EngineInfo.
        seq: Sequence number of the last event included.
        programs: Cached tokens by program.
    """

    life: int
    seq: int
    programs: dict[str, int]


class Reply(NamedTuple):
    """The complete response of a plain service."""

    status: int
    headers: list[list[str]]
    body: bytes


class ModelEngine(Protocol):
    """A client of a model engine.

    Every method raises errors.NoUpstream if the request was not delivered,
    errors.StreamClosed if the connection was lost after delivery, and
    errors.UpstreamFailed if the engine responded with an error.
    """

    def info(self) -> EngineInfo:
        """Returns the engine's properties."""

    def load(self) -> EngineLoad:
        """Returns the engine's load report."""

    def run(self, call: EngineCall) -> Iterator[TextChunk | End]:
        """Runs a call; the answer is complete only once `End` is yielded.

        Raises:
            errors.NoUpstream: Also if the engine has other software than the
                call asks for.
        """

    def resume(self, request: str, offset: int) -> Iterator[TextChunk | End]:
        """Continues the stream of a running call from a character offset."""

    def cancel(self, request: str) -> None:
        """Cancels a call."""

    def events(self, after: int, wait: float) -> CacheEvents:
        """Returns the cache events with a sequence number above `after`.

        Blocks for up to `wait` seconds until there is one.
        """

    def cache_listing(self) -> CacheListing:
        """Returns the content of the whole cache."""

    def release(self, programs: list[str]) -> None:
        """Evicts the cached prefixes of the programs."""

    def truncate(self, program: str, keep: int) -> None:
        """Evicts a program's cached prefix beyond its first `keep` tokens."""

    def pin(self, program: str) -> None:
        """Protects a program's cached prefix from eviction until `release`."""

    def export_cache(self, program: str) -> bytes:
        """Returns a program's cached prefix, to be imported elsewhere."""

    def import_cache(self, exported: bytes) -> None:
        """Adds a prefix that another engine exported to the cache."""

    def order(self, fencing_token: int, action: str, model: str) -> None:
        """Executes an order, such as loading a model.

        Raises:
            errors.FencedOff: The engine has seen a higher fencing token.
        """


class PlainService(Protocol):
    """A client of a plain service."""

    def alive(self) -> bool:
        """Returns whether the service accepts connections."""

    def send(
        self,
        method: str,
        path: str,
        headers: list[list[str]],
        body: bytes,
        timeout: float,
    ) -> Reply:
        """Sends a request and returns the complete response.

        Raises:
            errors.NoUpstream: The request was not delivered.
            errors.StreamClosed: The connection was lost after delivery.
            errors.StreamTimeout: The response was not complete within
                `timeout` seconds.
        """
