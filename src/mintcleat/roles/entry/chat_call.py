"""One chat call at the entry: context, token limits and answer events."""

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
# Assumed answer length of a call without a limit, in tokens. Placement compares
# upstreams by it, so its error is the same for all of them.
EXPECTED_TOKENS = 128
_CHARACTERS_PER_TOKEN = 4
_TEMPLATE_TOKENS = 16


class RequestContext(NamedTuple):
    """What all attempts of one call have in common.

    Attributes:
        digest: Hash of the call's content.
        deadline_at: Deadline by the entry's monotonic clock, in seconds.
        resident: Sidecar that holds the program's prefix cache, if known.
        context_tokens: Tokens of the conversation so far.
        tokens_left: Tokens left in the cached view's budget; -1 without one.
        refusal: Why this entry takes no new work, if it doesn't. Then the call
            only gets what an earlier send of it left.
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
    delivery: delivery_module.Delivery, message: str, software: str
) -> Iterator[requests.AnswerText]:
    """Yields the part of the complete answer that the caller lacks.

    Args:
        delivery: What the caller has.
        message: The complete assistant message, as JSON.
        software: Version of the software that made it; empty if not known.
    """
    text = answer_text(message)
    if delivery.seen == len(text):
        return
    delivery.restart()
    new = delivery.add(0, text, software)
    if new:
        yield requests.AnswerText(new)


def place_call(context: RequestContext, attempts: int) -> calls.Call:
    """Returns the call as input of the placement decision."""
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
    """Returns an estimate of the number of tokens in the new messages."""
    characters = sum(len(message) for message in call.messages)
    return characters // _CHARACTERS_PER_TOKEN + 1


def prompt_bound(call: requests.ChatCall) -> int:
    """Returns an upper bound of the number of tokens in the new messages.

    A tokenizer makes at most one token per byte. The prompt template adds a
    few per message, the preceding answer included. With an estimate instead,
    the last turn of a program could exceed its budget.
    """
    size = sum(len(message.encode()) for message in call.messages)
    return size + _TEMPLATE_TOKENS * (len(call.messages) + 1)


def completion_limit(context: RequestContext) -> int:
    """Returns the maximum number of tokens of the answer.

    Without a limit from the caller it is the default, or the rest of the
    budget if that is less.
    """
    call = context.call
    if call.max_tokens:
        return call.max_tokens
    if context.tokens_left < 0:
        return DEFAULT_COMPLETION_TOKENS
    left = context.tokens_left - prompt_bound(call)
    return max(1, min(DEFAULT_COMPLETION_TOKENS, left))


def bounded_parameters(context: RequestContext) -> str:
    """Returns the parameters with a limit on the completion's tokens.

    Without it an engine could generate more tokens than were reserved and
    exceed the program's budget.
    """
    call = context.call
    if call.max_tokens or not call.program:
        return call.parameters
    parameters = json.loads(call.parameters)
    parameters["max_tokens"] = completion_limit(context)
    return json.dumps(parameters)


def answer_text(message: str) -> str:
    """Returns the text of an assistant message given as JSON."""
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
    """Returns the end event of a recorded answer."""
    return requests.AnswerEnd(
        reply.answer.decode(), "stop", reply.usage, reply.attempt, replayed=True
    )
