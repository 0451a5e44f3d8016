"""One chat call as an entry sees it: its context, limits and events."""

from collections.abc import Iterator
import json
from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.roles.entry import attempts as attempts_module
from mintcleat.roles.entry import delivery as delivery_module

DEFAULT_COMPLETION_TOKENS = 1024
# What a call without a limit generates is unknown; only the comparison of
# upstreams uses this, where the same figure stands on both sides.
EXPECTED_TOKENS = 128
_CHARACTERS_PER_TOKEN = 4
_TEMPLATE_TOKENS = 16


class RequestContext(NamedTuple):
    """What is fixed for all attempts of one call.

    Attributes:
        context_tokens: Tokens of the conversation so far.
        tokens_left: Tokens left in the budget when last seen; -1 without one.
        refusal: Why this entry takes no new work; only what an earlier send
            of the same call left is told then.
    """

    call: requests.ChatCall
    name: attempts_module.CallName
    service: str
    agent: str
    klass: str
    digest: bytes
    deadline_at: float
    resident: identities.Incarnation | None
    context_tokens: int
    tokens_left: int = -1
    refusal: errors.MintcleatError | None = None


def replay(
    delivery: delivery_module.Delivery, message: str
) -> Iterator[requests.AnswerText]:
    """Yields what the caller lacks of the whole recorded answer."""
    text = answer_text(message)
    if delivery.seen == len(text):
        return
    delivery.restart()
    new = delivery.add(0, text)
    if new:
        yield requests.AnswerText(new)


def place_call(context: RequestContext, attempts: int) -> calls.Call:
    """Returns the call as the placement decision sees it."""
    new_tokens = prompt_tokens(context.call)
    name = context.name
    return calls.Call(
        call_id=f"{name.scope}/{context.call.request}/{attempts}",
        program=name.program,
        root=name.program.partition(".")[0],
        customer=name.customer,
        agent=context.agent,
        klass=context.klass,
        deadline_at=context.deadline_at,
        attained=context.context_tokens,
        prompt_tokens=context.context_tokens + new_tokens,
        new_tokens=new_tokens,
        expected_tokens=context.call.max_tokens or EXPECTED_TOKENS,
    )


def prompt_tokens(call: requests.ChatCall) -> int:
    """Returns an estimate of the tokens in a call's new messages."""
    characters = sum(len(message) for message in call.messages)
    return characters // _CHARACTERS_PER_TOKEN + 1


def prompt_bound(call: requests.ChatCall) -> int:
    """Returns a number of tokens that the new messages can't exceed.

    No tokenizer makes more tokens than there are bytes; the prompt template
    adds a few for each message, the answer before it included. An estimate
    would let the last turn of a program overdraw its budget.
    """
    size = sum(len(message.encode()) for message in call.messages)
    return size + _TEMPLATE_TOKENS * (len(call.messages) + 1)


def completion_limit(context: RequestContext) -> int:
    """Returns how many tokens the answer may have.

    Without the caller's own limit it is the default, or what the budget
    still allows when that is less.
    """
    call = context.call
    if call.max_tokens:
        return call.max_tokens
    if context.tokens_left < 0:
        return DEFAULT_COMPLETION_TOKENS
    left = context.tokens_left - prompt_bound(call)
    return max(1, min(DEFAULT_COMPLETION_TOKENS, left))


def bounded_parameters(context: RequestContext) -> str:
    """Returns the body's parameters with a completion limit.

    Without a limit an engine could generate past what was reserved, and the
    program's budget would not hold.
    """
    call = context.call
    if call.max_tokens or not call.program:
        return call.parameters
    parameters = json.loads(call.parameters)
    parameters["max_tokens"] = completion_limit(context)
    return json.dumps(parameters)


def answer_text(message: str) -> str:
    """Returns the text of an assistant message in JSON."""
    return json.loads(message).get("content") or ""


def finished_end(message: call_messages.AttemptFinished) -> requests.AnswerEnd:
    """Returns the end event of a finished attempt."""
    return requests.AnswerEnd(
        message.message,
        message.reason,
        message.usage,
        message.attempt,
        replayed=False,
        sidecar=message.load.sidecar,
    )


def recorded_end(reply: program_messages.CallRecorded) -> requests.AnswerEnd:
    """Returns the end event of an answer recorded earlier."""
    return requests.AnswerEnd(
        reply.answer.decode(), "stop", reply.usage, reply.attempt, replayed=True
    )
