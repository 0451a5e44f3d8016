"""Errors as `application/problem+json` (RFC 9457)."""

import http
import json
from typing import TypedDict

from mintcleat.domain import errors

CONTENT_TYPE = "application/problem+json"


class Problem(TypedDict):
    """The body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    outcome: str
    remedy: str
    retry_after: float
    request_id: str


def problem(error: errors.MintcleatError, request_id: str) -> Problem:
    """Returns the body of an error response."""
    return Problem(
        type=f"urn:mintcleat:{error.kind}",
        title=error.kind.replace("_", " "),
        status=error.status,
        detail=error.detail,
        kind=error.kind,
        outcome=error.outcome,
        remedy=error.remedy,
        retry_after=error.retry_after,
        request_id=request_id,
    )


def status_line(status: int) -> str:
    """Returns the WSGI status line, such as `404 Not Found`."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unassigned"


def headers(error: errors.MintcleatError) -> list[tuple[str, str]]:
    """Returns the headers of an error response."""
    fields = [("Content-Type", CONTENT_TYPE)]
    if error.retry_after > 0:
        # Retry-After is in whole seconds; rounding down would make the caller
        # retry too early.
        fields.append(("Retry-After", str(int(error.retry_after + 0.999))))
    return fields


def body(error: errors.MintcleatError, request_id: str) -> bytes:
    """Returns the encoded body of an error response."""
    return json.dumps(problem(error, request_id)).encode()
