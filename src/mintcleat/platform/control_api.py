"""The HTTP API of control for the platform's operators and upstreams."""

import pathlib
import reprlib
import traceback
from typing import Any
from typing import Protocol

from loguru import logger
import msgspec

from mintcleat.adapters import http1_server
from mintcleat.domain import config_messages
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.domain import registrations
from mintcleat.platform import configuration
from mintcleat.platform import json_text
from mintcleat.platform import names
from mintcleat.platform import push_events
from mintcleat.platform import translation
from mintcleat.ports import events as event_ports

_OPERATOR = "platform"
_HEARTBEAT = "/v1/Instances.Heartbeat/"
_LEAVE = "/v1/Instances.Leave/"
_EVACUATE_START = "/v1/Retire.Start/"
_EVACUATE_STATUS = "/v1/Retire.Get/"
_STARTED = "born"
_FIELD_NAMES = {
    "service": "service",
    "address": "address",
    "zone": "failure_domain",
    "version": "version",
    "slots": "slots",
    "state": "state",
    "sequence": "sequence",
    "coldRemainingMs": "cold",
    _STARTED: "started",
}
# A heartbeat has about 300 bytes, or a few thousand with many models.
_MAX_HEARTBEAT_BYTES = 64 * 1024
# Integers above it are refused also when they are taken for seconds, and some
# are beyond a float.
_MAX_COLD_MS = 10**15
# Limit on unauthenticated text that is copied to a log line.
_MAX_LOGGED_CHARS = 160
_STATUS_FAILED = 500
_FAILURE = errors.MintcleatError(
    "An unexpected error occurred in this process.",
    remedy="Send the request to another control instance and report a bug.",
)


class Config(Protocol):
    """The config service of this instance."""

    def ask(self, message: Any, timeout: float) -> Any:
        """Responds to a request, or forwards it to the leader."""


class ControlApi:
    """Handles the requests on the control listener.

    Attributes:
        timeout: Seconds within which a response or an error is sent.
        policies: Policies that the platform sets outside the configuration.
    """

    def __init__(
        self,
        config: Config,
        timeout: float,
        event_reporter: event_ports.EventReporter,
        policies: dict[str, Any],
    ) -> None:
        self.config = config
        self.policies = policies
        self.timeout = timeout
        self.event_reporter = event_reporter

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        """Responds to one request, whatever it is and whatever happens here.

        Callers take a connection that ends without a response for a lost
        response, and send the same request again.
        """
        try:
            status, body = 200, self._dispatch(request)
        except errors.MintcleatError as error:
            status, body = _status_of(error), _error_body(error)
        except Exception as error:
            self._report_failure(request, error)
            status, body = _STATUS_FAILED, _error_body(_FAILURE)
        reply.send(status, [("content-type", "application/json")], body)

    def _report_failure(
        self, request: http1_server.Request, error: Exception
    ) -> None:
        path = _path_of(request)
        logger.exception("{} {} failed.", request.method, path)
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.event_reporter.emit(
            control_events.RequestFailed(
                request.method[:_MAX_LOGGED_CHARS],
                path,
                request.peer,
                type(error).__name__,
                f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}",
            )
        )

    def _dispatch(self, request: http1_server.Request) -> bytes:
        path = request.target.partition("?")[0]
        match request.method, path:
            case "POST", "/v1/Configuration.Put":
                return self._put_configuration(request)
            case "GET", "/v1/Configuration.Get":
                return self._get_configuration()
            case "POST", text if text.startswith(_HEARTBEAT):
                upstream = text.removeprefix(_HEARTBEAT)
                return self._heartbeat(upstream, request)
            case "POST", text if text.startswith(_LEAVE):
                upstream = text.removeprefix(_LEAVE)
                return self._deregister(upstream, request.body)
            case "POST", text if text.startswith(_EVACUATE_START):
                return self._evacuate(text.removeprefix(_EVACUATE_START), True)
            case "GET", text if text.startswith(_EVACUATE_STATUS):
                return self._evacuate(
                    text.removeprefix(_EVACUATE_STATUS), False
                )
        raise errors.UnknownRoute(
            f"The control API has no {request.method} {path}."
        )

    def _submit(self, message: Any) -> bytes:
        self.config.ask(message, self.timeout)
        return b"{}"

    def _put_configuration(self, request: http1_server.Request) -> bytes:
        record = push_events.PushRecord(request)
        try:
            self._push(request, record)
        except errors.MintcleatError as error:
            record.fail(error, _status_of(error))
            raise
        except Exception as error:
            record.fail(error, _STATUS_FAILED)
            raise
        finally:
            self.event_reporter.emit(record.event())
        return b"{}"

    def _push(
        self, request: http1_server.Request, record: push_events.PushRecord
    ) -> None:
        _check_encoding(request)
        read = configuration.read(request.body)
        record.version = read.version
        configuration.check(read)
        pushed = self.config.ask(
            config_messages.PushManifest(
                0,
                record.digest,
                translation.to_manifest(read, self.policies),
                _OPERATOR,
                request.peer,
                read.version,
                request.body.decode(),
            ),
            self.timeout,
        )
        record.acknowledge(pushed.version)

    def _get_configuration(self) -> bytes:
        view = self.config.ask(config_messages.ReadManifest(), self.timeout)
        if not view.version:
            raise errors.ControlUnavailable(
                "No configuration has been pushed yet; push one with "
                "POST /v1/Configuration.Put."
            )
        return view.source.encode()

    def _heartbeat(self, upstream: str, request: http1_server.Request) -> bytes:
        try:
            registration = parse_registration(upstream, request.body)
            return self._submit(member_messages.RegisterUpstream(registration))
        except (errors.BadRequest, errors.UnknownService) as error:
            self.event_reporter.emit(
                events.RegistrationRefused(
                    upstream[:_MAX_LOGGED_CHARS],
                    request.peer,
                    error.detail[:_MAX_LOGGED_CHARS],
                )
            )
            raise

    def _deregister(self, upstream: str, body: bytes) -> bytes:
        started = parse_deregistration(body)
        return self._submit(
            member_messages.DeregisterUpstream(upstream, started)
        )

    def _evacuate(self, label: str, start: bool) -> bytes:
        status = self.config.ask(
            operator_messages.EvacuateControl(
                label, start, _OPERATOR, _OPERATOR
            ),
            self.timeout,
        )
        state = "done" if status.done else "running"
        return msgspec.json.encode({"state": state})


def parse_registration(
    upstream: str, body: bytes
) -> member_messages.Registration:
    """Converts the heartbeat of an upstream to a registration.

    Unknown fields are ignored: the platform may add fields at any time.

    Raises:
        errors.BadRequest: The body is not a JSON object, or a field is
            missing, of the wrong type or out of range.
    """
    fields = _decode_object(body)
    named = {
        name: fields[wire]
        for wire, name in _FIELD_NAMES.items()
        if wire in fields
    }
    cold: Any = named.get("cold")
    # Other values are refused with the registration.
    if type(cold) is float or (type(cold) is int and cold <= _MAX_COLD_MS):
        named["cold"] = cold / 1000.0
    parsed = registrations.parse(upstream, named)
    return parsed._replace(service=names.in_manifest(parsed.service))


def parse_deregistration(body: bytes) -> int:
    """Returns the start time of the upstream process that deregisters.

    It is 0 if the body is empty or has no start time; both are allowed.

    Raises:
        errors.BadRequest: The body is not a JSON object, or the start time is
            not an integer in range.
    """
    started = _decode_object(body).get(_STARTED, 0) if body else 0
    if (
        type(started) is not int
        or not 0 <= started <= registrations.MAX_INTEGER
    ):
        raise errors.BadRequest(
            f"{_STARTED} must be an integer from 0 to "
            f"{registrations.MAX_INTEGER}, but is "
            f"{reprlib.repr(started)}."
        )
    return started


def _check_encoding(request: http1_server.Request) -> None:
    """Checks that a body is sent as it is.

    Raises:
        errors.InvalidManifest: It is compressed.
    """
    encoding = request.header("content-encoding")
    if encoding.lower() not in ("", "identity"):
        raise errors.InvalidManifest(
            "$: must be sent without a Content-Encoding, but has "
            f"{reprlib.repr(encoding)}."
        )


def _path_of(request: http1_server.Request) -> str:
    """Returns the path of a request for a log line."""
    return request.target.partition("?")[0][:_MAX_LOGGED_CHARS]


def _decode_object(body: bytes) -> dict[str, Any]:
    if len(body) > _MAX_HEARTBEAT_BYTES:
        raise errors.BadRequest(
            f"The body has {len(body)} bytes; at most {_MAX_HEARTBEAT_BYTES} "
            "are allowed."
        )
    try:
        fields = json_text.decode(body)
    except json_text.InvalidJson as error:
        raise errors.BadRequest(
            f"The body must be a JSON object: {error}."
        ) from None
    if not isinstance(fields, dict):
        raise errors.BadRequest(
            "The body must be a JSON object, but is of type "
            f"{type(fields).__name__}."
        )
    return fields


def _status_of(error: errors.MintcleatError) -> int:
    """Returns the HTTP status of an error.

    It is 503 if the request may have taken effect; the caller then asks
    another control instance.
    """
    if isinstance(error, errors.InvalidManifest):
        return 400
    if error.outcome == errors.NOT_RUN:
        return error.status
    return 503


def _error_body(error: errors.MintcleatError) -> bytes:
    return msgspec.json.encode({"kind": error.kind, "detail": error.detail})
