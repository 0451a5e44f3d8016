"""Requests that are passed on along a route, as the roles see them."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """One part of a prompt, in order; requests share parts by id."""

    id: str
    tokens: int


class ProgramContext(NamedTuple):
    """What a request says of the agent program that it belongs to.

    Attributes:
        program: Id of the program; empty for a request outside of any.
        session: Line of turns within it; sub-agents have their own.
        previous: Turn that this one goes on from; empty for none.
        budget: Tokens that the program may be handed in all; 0 for no limit.
        finish_within: Target time of the program in seconds; 0 for none.
    """

    program: str = ""
    session: str = ""
    previous: str = ""
    budget: int = 0
    finish_within: float = 0.0


class Generation(NamedTuple):
    """What a request says of the tokens that it costs.

    Attributes:
        prompt_tokens: Tokens to read.
        max_tokens: Most tokens to generate.
        parts: The prompt in parts, shared ones first.
    """

    model: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()


class RoutedCall(NamedTuple):
    """A request as its caller sent it.

    Attributes:
        request: Id of this attempt of the caller; another try has another.
        headers: Header fields to pass on, in order.
        deadline: Seconds that the caller will wait; 0 when it did not say.
        affinity: Object that the request concerns; empty for none.
        last_event: Id of the event after which a broken stream goes on.
        key: Digest of the customer's key; empty for none.
        customer: Whose request it is; empty until the entry has told, and
            for nobody that the manifest knows.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class ResponseHead(NamedTuple):
    """Start of an upstream's answer, to be passed on unchanged.

    Attributes:
        length: Bytes of the body; None when it is not known beforehand.
        events: Whether the body is a stream of server-sent events.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    length: int | None
    events: bool


class UpstreamRequest(NamedTuple):
    """How a call goes to one upstream.

    Attributes:
        body: What the upstream is to receive.
        deadline: Seconds after which its work is of no use any more.
        last_event: Id of the event after which it is to go on.
        urgency: 0 to 9; a lower one is admitted first.
    """

    body: bytes
    deadline: float
    last_event: str
    urgency: int
