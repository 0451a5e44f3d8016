"""Types that several kinds of messages share.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One run of an instance, from a start to the next.

    Attributes:
        instance: Name of the instance.
        epoch: Increases with each start of the instance.
    """

    instance: str
    epoch: int

    def __str__(self) -> str:
        """Returns the form used in logs, `instance@epoch`."""
        return f"{self.instance}@{self.epoch}"


class Budget(NamedTuple):
    """Limits of a program, including its sub-agents; 0 means no limit."""

    tokens: int = 0
    turns: int = 0
    seconds: float = 0.0


class Usage(NamedTuple):
    """Token counts of one call as reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Turn(NamedTuple):
    """One finished turn of a program's history.

    Attributes:
        turn: Number of the turn, starting at 1.
        messages: JSON texts of the caller's new messages and of the answer.
        digest: Digest of this turn and all turns before it; see `digests`.
    """

    turn: int
    messages: list[str]
    digest: bytes


class Done(NamedTuple):
    """The request was carried out, now or when it was first sent.

    Attributes:
        detail: Result as a word, for requests that have several; else empty.
    """

    detail: str = ""


class Batch(NamedTuple):
    """Several requests to a program group in one message.

    The answer is a Batch with one answer per request, in the same order.

    Attributes:
        items: Encoded messages.
    """

    items: list[bytes]
