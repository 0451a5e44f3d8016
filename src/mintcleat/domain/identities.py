"""What messages of all conversations name: lives of instances, budgets, turns.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One life of one instance; a later start has a larger epoch."""

    instance: str
    epoch: int

    def __str__(self) -> str:
        """Returns how log lines name it."""
        return f"{self.instance}@{self.epoch}"


class Budget(NamedTuple):
    """Limits of a program, sub-agents included; 0 means no limit."""

    tokens: int = 0
    turns: int = 0
    seconds: float = 0.0


class Usage(NamedTuple):
    """Tokens of one call as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Turn(NamedTuple):
    """One finished turn of a program's history.

    Attributes:
        turn: Its number, from 1.
        messages: JSON texts, the caller's new messages and then the answer.
        digest: Rolling digest over this turn and all before it.
    """

    turn: int
    messages: list[str]
    digest: bytes


class Done(NamedTuple):
    """The request was committed, now or before."""

    detail: str = ""


class Batch(NamedTuple):
    """Many program group requests in one; answered by one Batch in order.

    Each item is an encoded message (`[tag, fields...]` in msgpack).
    """

    items: list[bytes]
