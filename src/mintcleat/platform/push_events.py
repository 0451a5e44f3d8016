"""Events of operators' pushes, at the instance that received them."""

import time

import xxhash

from mintcleat.adapters import http1_server
from mintcleat.domain import control_events
from mintcleat.domain import errors

_ACKNOWLEDGED = "acknowledged"
_REFUSED = "refused"
_UNAVAILABLE = "unavailable"
_UNKNOWN = "unknown"
# A detail can have a line for each route.
_MAX_DETAIL_CHARS = 300


class PushRecord:
    """What becomes known of one push while it is answered.

    Attributes:
        digest: Digest of the body.
        version: Version of the configuration; 0 until it was read.
        in_force: Highest version at the leader; 0 until it has answered.
    """

    def __init__(self, request: http1_server.Request) -> None:
        self.began = time.monotonic()
        self.request = request
        self.digest = xxhash.xxh3_128_hexdigest(request.body)
        self.version = 0
        self.in_force = 0
        # Of a push whose caller disconnects before it is answered.
        self.outcome = _UNKNOWN
        self.status = 0
        self.detail = ""

    def acknowledge(self, in_force: int) -> None:
        """Records the answer of the leader."""
        self.outcome = _ACKNOWLEDGED
        self.status = 200
        self.in_force = in_force

    def fail(self, error: Exception, status: int) -> None:
        """Records the error in place of an acknowledgement."""
        self.status = status
        if not isinstance(error, errors.MintcleatError):
            self.detail = type(error).__name__
            return
        self.detail = error.detail
        if error.outcome == errors.NOT_RUN:
            self.outcome = _REFUSED if status < 500 else _UNAVAILABLE

    def event(self) -> control_events.PushAnswered:
        """Returns the event of the push."""
        return control_events.PushAnswered(
            self.request.peer,
            len(self.request.body),
            self.digest,
            self.version,
            self.in_force,
            self.outcome,
            self.status,
            self.detail[:_MAX_DETAIL_CHARS],
            round(time.monotonic() - self.began, 4),
        )
