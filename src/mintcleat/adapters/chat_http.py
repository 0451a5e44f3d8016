"""The OpenAI-compatible format of chat requests and responses."""

from collections.abc import Iterator
import json
from typing import Any

from mintcleat.adapters import http_request
from mintcleat.adapters import problems
from mintcleat.domain import errors
from mintcleat.domain import requests

_DONE = b"data: [DONE]\n\n"


def parse(environ: http_request.Environ, request_id: str) -> requests.ChatCall:
    """Returns the chat call described by a request.

    Raises:
        errors.BadRequest: A header or a field is missing or invalid.
    """
    body = http_request.read_object(environ)
    program = http_request.header(environ, "Mintcleat-Program")
    turn = http_request.number(
        http_request.header(environ, "Mintcleat-Turn"), "Mintcleat-Turn", int
    )
    if program and turn < 1:
        raise errors.BadRequest(
            "A call of a program needs the header Mintcleat-Turn, 1 or more."
        )
    deadline = http_request.header(environ, "Mintcleat-Deadline")
    messages = parse_messages(body.pop("messages", None))
    return requests.ChatCall(
        request=request_id,
        program=program,
        customer=http_request.header(environ, "Mintcleat-Customer"),
        model=http_request.checked_field(body.get("model"), "model", str, ""),
        turn=turn,
        key=http_request.header(environ, "Idempotency-Key"),
        messages=messages,
        parameters=json.dumps(body, sort_keys=True),
        deadline=http_request.number(deadline, "Mintcleat-Deadline"),
        max_tokens=max_tokens(body),
        streamed=http_request.checked_field(
            body.get("stream"), "stream", bool, False
        ),
    )


def parse_messages(value: Any) -> list[str]:
    """Returns the messages, each serialized as JSON."""
    if not isinstance(value, list) or not value:
        raise errors.BadRequest("`messages` must be a non-empty list.")
    for message in value:
        if not isinstance(message, dict) or "role" not in message:
            raise errors.BadRequest(
                "Each message must be an object with the field `role`."
            )
    return [json.dumps(message, sort_keys=True) for message in value]


def max_tokens(body: dict[str, Any]) -> int:
    """Returns the completion limit, given in either of OpenAI's fields."""
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    return http_request.checked_field(value, "max_tokens", int, 0)


def completion_body(
    call: requests.ChatCall,
    events: Iterator[requests.AnswerText | requests.AnswerEnd],
) -> bytes:
    """Returns the body of a response that is not streamed."""
    for event in events:
        if isinstance(event, requests.AnswerEnd):
            return json.dumps(completion(call, event)).encode()
    raise errors.UpstreamFailed("The response ended without its last event.")


def completion(
    call: requests.ChatCall, end: requests.AnswerEnd
) -> dict[str, Any]:
    """Returns OpenAI's chat.completion object."""
    choice = {
        "index": 0,
        "message": json.loads(end.message),
        "finish_reason": end.reason,
    }
    return {
        "id": call.request,
        "object": "chat.completion",
        "model": call.model,
        "choices": [choice],
        "usage": usage(end),
    }


def usage(end: requests.AnswerEnd) -> dict[str, Any]:
    """Returns OpenAI's usage object."""
    counts = end.usage
    return {
        "prompt_tokens": counts.prompt_tokens,
        "completion_tokens": counts.completion_tokens,
        "total_tokens": counts.prompt_tokens + counts.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": counts.cached_tokens},
    }


def stream_events(
    call: requests.ChatCall,
    events: Iterator[requests.AnswerText | requests.AnswerEnd],
) -> Iterator[bytes]:
    """Yields server-sent events; an error is sent as the last event.

    A failed stream has no `[DONE]`, so that a client does not mistake an
    incomplete response for a complete one.
    """
    try:
        for event in events:
            if isinstance(event, requests.AnswerText):
                yield chunk(call, {"content": event.text}, None)
            else:
                yield chunk(call, {}, event.reason, usage(event))
                yield _DONE
    except errors.MintcleatError as error:
        body = json.dumps({"error": problems.problem(error, call.request)})
        yield f"data: {body}\n\n".encode()


def chunk(
    call: requests.ChatCall,
    delta: dict[str, str],
    reason: str | None,
    counts: dict[str, Any] | None = None,
) -> bytes:
    """Returns one OpenAI chat.completion.chunk event."""
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    body: dict[str, Any] = {
        "id": call.request,
        "object": "chat.completion.chunk",
        "model": call.model,
        "choices": [choice],
    }
    if counts is not None:
        body["usage"] = counts
    return b"data: " + json.dumps(body).encode() + b"\n\n"
