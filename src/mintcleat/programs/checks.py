"""Validation of requests before they are proposed to the log.

Every replica applies what is in the log, so values that no correct peer sends,
such as a negative reservation, must be refused before they get there.
"""

import re
from typing import Any

from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import program_messages

MAX_ID_LENGTH = 256
_ID = re.compile(r"[A-Za-z0-9_~-][A-Za-z0-9_.~-]{0,199}")
_DIGEST_BYTES = 16


def check(request: Any) -> None:
    """Checks that the fields of a request are in range.

    Raises:
        errors.BadRequest: A field is out of range.
    """
    match request:
        case program_messages.CreateProgram():
            _check_id(request.program)
            _check_counts("budget", request.budget)
            _check_counts("repeat_limit", (request.repeat_limit,))
        case program_messages.BeginCall():
            _check_key(request.key)
            _check_counts("turn and reserve", (request.turn, request.reserve))
            if request.turn and not request.program:
                raise errors.BadRequest(
                    "A request with a turn number needs a program id."
                )
            if len(request.digest) != _DIGEST_BYTES:
                raise errors.BadRequest(
                    f"The digest must have {_DIGEST_BYTES} bytes, but has"
                    f" {len(request.digest)}."
                )
        case program_messages.OpenTurn():
            _check_open_turn(request)
        case program_messages.CloseTurn():
            _check_key(request.program)
            _check_key(request.turn)
            _check_customer(request.customer)
            _check_counts("tokens", (request.tokens, request.retention))
            _check_counts("staged content", request.staged or ())
        case content_messages.StageContent() | content_messages.SendContent():
            _check_content(request)
        case program_messages.CountCall():
            _check_customer(request.customer)
            _check_counts("limit", (*request.limit, request.ahead))
            if not 1 <= request.calls <= program_messages.MAX_CALLS:
                raise errors.BadRequest(
                    f"A count must be of 1 to {program_messages.MAX_CALLS} "
                    f"calls, but is of {request.calls}."
                )
            if request.ids and len(request.ids) != request.calls:
                raise errors.BadRequest(
                    f"A count of {request.calls} calls must have as many ids "
                    f"or none, but has {len(request.ids)}."
                )
            _check_counts("ids", tuple(request.ids))
        case program_messages.RecordStream():
            _check_stream(request)
            _check_begun(request.stream)
        case program_messages.FindStream():
            _check_stream(request)
        case program_messages.ShowLoad():
            _check_counts("customers", (request.customers,))
        case program_messages.FindCall():
            _check_key(request.key)
            _check_counts("turn", (request.turn,))
        case program_messages.FinishCall():
            _check_key(request.key)
            _check_counts("usage", request.usage)
        case program_messages.SettleCall():
            _check_key(request.key)
            outcomes = (errors.NOT_RUN, errors.UNKNOWN, errors.RAN)
            if request.outcome not in outcomes:
                raise errors.BadRequest(
                    f"The outcome must be one of {outcomes}, but is"
                    f" {request.outcome!r}."
                )


def _check_id(program: str) -> None:
    if not _ID.fullmatch(program):
        raise errors.BadRequest(
            "A program id must consist of 1 to 200 letters, digits, '_', '-',"
            " '~' or dots and must not start with a dot."
        )


def _check_key(key: str) -> None:
    if not 0 < len(key) <= MAX_ID_LENGTH:
        raise errors.BadRequest(
            f"A key or an id must have 1 to {MAX_ID_LENGTH} characters, but"
            f" has {len(key)}."
        )


def _check_open_turn(request: program_messages.OpenTurn) -> None:
    _check_key(request.program)
    _check_key(request.turn)
    _check_customer(request.customer)
    _check_counts("budget", (request.budget, request.ahead))
    _check_counts("reserve", (request.reserve, request.retention))
    _check_counts("input_bytes", (request.input_bytes,))
    if request.stream is not None:
        _check_begun(request.stream)
    if request.demand is not None:
        # All fields but the names of the service and the route, and
        # the turns that have ended.
        _, _, *counts, ended = request.demand
        _check_counts("demand", tuple(counts))
        if len(ended) > program_messages.MAX_ENDED:
            raise errors.BadRequest(
                "A demand may name at most "
                f"{program_messages.MAX_ENDED} turns that have ended, "
                f"but names {len(ended)}."
            )


def _check_content(
    request: content_messages.StageContent | content_messages.SendContent,
) -> None:
    _check_key(request.program)
    _check_key(request.turn)
    _check_customer(request.customer)
    _check_counts("nonce", (request.nonce,))
    match request:
        case content_messages.StageContent():
            _check_counts("offset", (request.offset,))
            size = request.offset + len(request.data)
            if len(request.data) > content_messages.MAX_PART_BYTES:
                raise errors.BadRequest(
                    f"A part may have {content_messages.MAX_PART_BYTES} bytes, "
                    f"but has {len(request.data)}."
                )
        case content_messages.SendContent():
            _check_counts("size", (request.size,))
            size = request.size
    if size > content_messages.MAX_CONTENT_BYTES:
        raise errors.TooLarge(
            "The content of a turn may have "
            f"{content_messages.MAX_CONTENT_BYTES} bytes, but has {size}."
        )


def _check_stream(
    request: program_messages.RecordStream | program_messages.FindStream,
) -> None:
    _check_key(request.request)
    _check_customer(request.customer)
    if len(request.program) > MAX_ID_LENGTH:
        raise errors.BadRequest(
            f"A program id must have {MAX_ID_LENGTH} characters at most, but"
            f" has {len(request.program)}."
        )


def _check_begun(stream: program_messages.BegunStream) -> None:
    _check_counts("seconds of a stream", (stream.seconds,))
    if any(len(name) > MAX_ID_LENGTH for name in stream.origin):
        raise errors.BadRequest(
            "The service and the version of a stream must have"
            f" {MAX_ID_LENGTH} characters at most."
        )


def _check_customer(customer: str) -> None:
    if len(customer) > MAX_ID_LENGTH:
        raise errors.BadRequest(
            f"A customer's name must have {MAX_ID_LENGTH} characters at most,"
            f" but has {len(customer)}."
        )


def _check_counts(name: str, values: tuple[float, ...]) -> None:
    if not all(0 <= value < 2**62 for value in values):
        raise errors.BadRequest(
            f"The {name} must be at least 0 and below 2**62, but is {values}."
        )
