"""Requests that an entry forwards to an upstream along a route.

They do not depend on the protocol by which callers and upstreams send them.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt.

    Requests whose prompts begin with the same parts can share a prefix cache.

    Attributes:
        id: Id of the content; equal ids mean equal content.
        tokens: Length of the part.
    """

    id: str
    tokens: int


class ProgramContext(NamedTuple):
    """The agent program of a request, as stated by its caller.

    Attributes:
        program: Id of the program; empty for a request without a program.
        session: Id of the session within the program; each sub-agent has its
            own.
        previous: Turn that the request continues; empty for none.
        budget: Maximum tokens of all answers to the program; 0 for no limit.
        finish_within: Target time to the program's end in seconds; 0 for
            none.
    """

    program: str = ""
    session: str = ""
    previous: str = ""
    budget: int = 0
    finish_within: float = 0.0


class Generation(NamedTuple):
    """The prompt and the token limits of a request, as stated by its caller.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_tokens: Maximum number of generated tokens.
        parts: Parts of the prompt in order, so that shared prefixes come
            first.
    """

    model: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


class RoutedCall(NamedTuple):
    """A request as sent by its caller.

    Attributes:
        request: Id of the request; the caller uses a new one for each retry.
        host: Host in the form of `uris.normal_host`.
        target: Path and query.
        headers: Header fields to forward, in order.
        deadline: Seconds that the caller will wait; 0 if unspecified.
        affinity: Id of the object that the request concerns; empty for none.
        last_event: Id of the event after which to resume a broken stream;
            empty for none.
        resumes: Request of the same caller that brought the first event of
            that stream; empty for none, or if the caller didn't say.
        key: Digest of the customer's key; empty for none.
        customer: Customer of the request; empty until the entry has
            identified it, and for callers without a customer.
        customer_label: Name of that customer in requests to upstreams; empty
            if it is `customer`.
    """

    request: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float = 0.0
    affinity: str = ""
    last_event: str = ""
    program: ProgramContext = ProgramContext()
    generation: Generation = Generation()
    key: str = ""
    customer: str = ""
    resumes: str = ""
    customer_label: str = ""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]


class ResponseHead(NamedTuple):
    """Status line and headers of an upstream's answer, forwarded unchanged.

    Attributes:
        events: Whether the body is a stream of server-sent events.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    events: bool


class Reachability(enum.Enum):
    """What an attempt to connect to an upstream shows.

    Attributes:
        ACCEPTS: It takes connections.
        REFUSES: Nothing listens at its address, as after a crash.
        REPLACED: Another process listens at its address.
        UNKNOWN: It doesn't answer: a machine without power, or a cut link.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


class CopyStatus(enum.Enum):
    """What an upstream answered to a request to copy a run's memory.

    Attributes:
        COPIED: The memory is at the destination.
        ABSENT: The upstream has no such run.
        IN_PROGRESS: An earlier request to copy this run has not ended.
        REFUSED: The destination is unreachable or has no free capacity.
    """

    COPIED = "copied"
    ABSENT = "no such run"
    IN_PROGRESS = "copy in progress"
    REFUSED = "destination refused"


class CopyReply(NamedTuple):
    """The answer to a request to copy the memory of a run.

    Attributes:
        handle: Name of the copy, or of the memory that a source which has
            stopped the run keeps; empty for none.
        made: Events that the run has generated.
    """

    status: CopyStatus
    handle: str = ""
    made: int = 0


class Copy(NamedTuple):
    """The copied memory of a run, from which it can be continued once.

    Attributes:
        address: `IP:PORT` of the upstream that made the copy; of a backup, of
            the one that has it.
        handle: Name of the copy there; of a backup, the id of the request.
    """

    address: str
    handle: str


class ContactTimes(NamedTuple):
    """How long a request waits for an upstream before it is sent; in seconds.

    Attributes:
        connect: For each attempt to connect.
        report: For each report of the upstream on itself.
        total: For all of them.
    """

    connect: float
    report: float
    total: float


class UpstreamRequest(NamedTuple):
    """Parts of a request that depend on the attempt at an upstream.

    Attributes:
        body: Request body for the upstream, in parts that other requests may
            share.
        last_event: Id of the event after which to resume the stream; empty
            for none.
        urgency: Priority from 0 to 9; lower values are admitted first.
        contact: How long it waits for the upstream.
        before_sending: Must be called right before the request is sent. Returns
            the seconds after which its answer is no longer needed; raises a
            MintcleatError if it must not be sent any more.
        copy: Memory from which the upstream continues the run; None to begin
            a new one.
        backup: `IP:PORT` of the upstream that gets a backup of the run's
            memory; empty for none.
        is_stream: Whether the answer is a stream, which only the registered
            process may begin or continue.
        may_retry: Whether another upstream may run it after this one may have.
    """

    body: tuple[bytes, ...]
    last_event: str
    urgency: int
    contact: ContactTimes
    before_sending: Callable[[], float]
    copy: Copy | None = None
    backup: str = ""
    is_stream: bool = False
    may_retry: bool = False
