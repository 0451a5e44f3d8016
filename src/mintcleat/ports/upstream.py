"""What a sidecar needs of the upstream beside it."""

from collections.abc import Iterator
from typing import NamedTuple
from typing import Protocol

from mintcleat.domain import identities


class EngineInfo(NamedTuple):
    """What a model engine says of itself.

    Attributes:
        life: Changes when the engine restarts; its cache is then empty.
        capacity: Sequences that it takes at once.
        memory: Tokens that its cache can hold; 0 when it doesn't tell.
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
    """Load as the engine reports it, with a lag; memory in tokens."""

    running: int
    waiting: int
    free_memory: int


class EngineCall(NamedTuple):
    """One chat completion.

    Attributes:
        request: Id of the request, by which it is resumed and cancelled.
        program: Owner of the cached prefix; empty for none.
        messages: JSON texts of the whole conversation.
        parameters: JSON text of the other fields of the body.
        priority: Lower runs first.
    """

    request: str
    program: str
    messages: list[str]
    parameters: str
    priority: int = 0


class TextChunk(NamedTuple):
    """Text that the engine generated next."""

    text: str


class End(NamedTuple):
    """The engine's own end of an answer; `total` in characters."""

    total: int
    reason: str
    usage: identities.Usage


class CacheEvent(NamedTuple):
    """A change of what a program holds; `tokens` is its new total."""

    seq: int
    program: str
    tokens: int


class CacheEvents(NamedTuple):
    """Events since the last asked for; `seq` is the engine's newest."""

    life: int
    seq: int
    events: list[CacheEvent]


class CacheListing(NamedTuple):
    """Everything that the engine's cache holds: tokens by program."""

    life: int
    seq: int
    programs: dict[str, int]


class Reply(NamedTuple):
    """Whole answer of a plain service."""

    status: int
    headers: list[list[str]]
    body: bytes


class ModelEngine(Protocol):
    """A model engine.

    Every method raises errors.NoUpstream when nothing was delivered,
    errors.StreamClosed when the connection was lost later, and
    errors.UpstreamFailed when the engine answered with an error.
    """

    def info(self) -> EngineInfo:
        """Returns what the engine announces."""

    def load(self) -> EngineLoad:
        """Returns the engine's own load report."""

    def run(self, call: EngineCall) -> Iterator[TextChunk | End]:
        """Runs a call; the answer is whole only once `End` came."""

    def resume(self, request: str, offset: int) -> Iterator[TextChunk | End]:
        """Follows a running call again, from a character offset."""

    def cancel(self, request: str) -> None:
        """Stops a call."""

    def events(self, after: int, wait: float) -> CacheEvents:
        """Returns cache events above `after`; waits up to `wait` seconds."""

    def cache_listing(self) -> CacheListing:
        """Returns everything that the cache holds."""

    def release(self, programs: list[str]) -> None:
        """Frees what the programs hold."""

    def truncate(self, program: str, keep: int) -> None:
        """Frees what a program holds beyond its first `keep` tokens."""

    def pin(self, program: str) -> None:
        """Keeps a program's cache from eviction until it is released."""

    def export_cache(self, program: str) -> bytes:
        """Returns a program's cache."""

    def import_cache(self, exported: bytes) -> None:
        """Takes in a cache that another engine exported."""

    def order(self, fencing_token: int, action: str, model: str) -> None:
        """Carries out an order.

        Raises:
            errors.FencedOff: The engine has seen a higher fencing number.
        """


class PlainService(Protocol):
    """A plain service."""

    def alive(self) -> bool:
        """Tells whether it takes connections."""

    def send(
        self,
        method: str,
        path: str,
        headers: list[list[str]],
        body: bytes,
        timeout: float,
    ) -> Reply:
        """Sends one request and returns the whole answer.

        Raises:
            errors.NoUpstream: Nothing was delivered.
            errors.StreamClosed: The connection was lost after delivery.
            errors.StreamTimeout: No whole answer within `timeout` seconds.
        """
