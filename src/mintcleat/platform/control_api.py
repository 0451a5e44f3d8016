"""What the platform's operators and upstreams ask of control."""

from typing import Any
from typing import Protocol

import msgspec
import xxhash

from mintcleat.adapters import http1_server
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.domain import registrations
from mintcleat.platform import plan
from mintcleat.ports import events as event_ports

_OPERATOR = "platform"
_HEARTBEAT = "/v1/Instances.Heartbeat/"
_LEAVE = "/v1/Instances.Leave/"
_EMPTY = "/v1/Retire.Start/"
_EMPTIED = "/v1/Retire.Get/"
_STARTED = "born"
_FIELDS = {
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
# A heartbeat has some 300 bytes; one with many models a few thousand.
_LARGEST_HEARTBEAT = 64 * 1024
# Characters of a stranger's text that a log line repeats.
_SHOWN = 160


class Config(Protocol):
    """The config service of this instance."""

    def ask(self, message: Any, timeout: float) -> Any:
        """Answers a request, here or at the leader."""


class ControlApi:
    """Handles the requests of the control listener.

    Attributes:
        seconds: Within which an answer, or a refusal, is given.
        policies: What the platform sets apart from the configuration.
    """

    def __init__(
        self,
        config: Config,
        seconds: float,
        told: event_ports.EventReporter,
        policies: dict[str, Any],
    ) -> None:
        self.config = config
        self.policies = policies
        self.seconds = seconds
        self.events = told

    def handle(
        self, request: http1_server.Request, reply: http1_server.Reply
    ) -> None:
        """Answers one request."""
        try:
            status, body = 200, self._answer(request)
        except errors.MintcleatError as error:
            status, body = _status_of(error), _problem(error)
        reply.send(status, [("content-type", "application/json")], body)

    def _answer(self, request: http1_server.Request) -> bytes:
        path = request.target.partition("?")[0]
        match request.method, path:
            case "POST", "/v1/Configuration.Put":
                return self._put(request)
            case "GET", "/v1/Configuration.Get":
                return self._get()
            case "POST", text if text.startswith(_HEARTBEAT):
                upstream = text.removeprefix(_HEARTBEAT)
                return self._heartbeat(upstream, request)
            case "POST", text if text.startswith(_LEAVE):
                upstream = text.removeprefix(_LEAVE)
                return self._leave(upstream, request.body)
            case "POST", text if text.startswith(_EMPTY):
                return self._empty(text.removeprefix(_EMPTY), True)
            case "GET", text if text.startswith(_EMPTIED):
                return self._empty(text.removeprefix(_EMPTIED), False)
        raise errors.UnknownRoute(f"No {request.method} {path} here.")

    def _ask(self, message: Any) -> bytes:
        self.config.ask(message, self.seconds)
        return b"{}"

    def _put(self, request: http1_server.Request) -> bytes:
        body = request.body
        return self._ask(
            config_messages.PushManifest(
                0,
                xxhash.xxh3_128_hexdigest(body),
                plan.to_manifest(body, self.policies),
                _OPERATOR,
                request.peer,
                plan.version_of(body),
                body.decode(),
            )
        )

    def _get(self) -> bytes:
        view = self.config.ask(config_messages.ReadManifest(), self.seconds)
        if not view.version:
            raise errors.ControlUnavailable("No configuration was pushed yet.")
        return view.source.encode()

    def _heartbeat(self, upstream: str, request: http1_server.Request) -> bytes:
        try:
            registration = parse_registration(upstream, request.body)
            return self._ask(member_messages.RegisterUpstream(registration))
        except (errors.BadRequest, errors.UnknownService) as error:
            self.events.emit(
                events.RegistrationRefused(
                    upstream[:_SHOWN], request.peer, error.detail[:_SHOWN]
                )
            )
            raise

    def _leave(self, upstream: str, body: bytes) -> bytes:
        started = parse_deregistration(body)
        return self._ask(member_messages.DeregisterUpstream(upstream, started))

    def _empty(self, label: str, start: bool) -> bytes:
        found = self.config.ask(
            operator_messages.EvacuateControl(
                label, start, _OPERATOR, _OPERATOR
            ),
            self.seconds,
        )
        state = "done" if found.done else "running"
        return msgspec.json.encode({"state": state})


def parse_registration(
    upstream: str, body: bytes
) -> member_messages.Registration:
    """Returns an upstream's heartbeat as a registration.

    Fields that are not known are left out: new ones may come at any time.

    Raises:
        errors.BadRequest: It can't be read, or a field is missing, of another
            type or out of range.
    """
    fields = _object(body)
    named = {
        name: fields[wire] for wire, name in _FIELDS.items() if wire in fields
    }
    cold = named.get("cold")
    if type(cold) in (int, float):
        named["cold"] = cold / 1000.0
    return registrations.parse(upstream, named)


def parse_deregistration(body: bytes) -> int:
    """Returns the start of the life that leaves; 0 when it does not say.

    An upstream that leaves may send no body at all.

    Raises:
        errors.BadRequest: There is a body that can't be read.
    """
    started = _object(body).get(_STARTED, 0) if body else 0
    if (
        type(started) is not int
        or not 0 <= started <= registrations.MAX_INTEGER
    ):
        raise errors.BadRequest(f"No start of a life: {_STARTED}.")
    return started


def _object(body: bytes) -> dict[str, Any]:
    if len(body) > _LARGEST_HEARTBEAT:
        raise errors.BadRequest(f"No heartbeat: {len(body)} bytes.")
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise errors.BadRequest(f"No heartbeat: {error}.") from None
    if not isinstance(fields, dict):
        raise errors.BadRequest("No heartbeat: not an object.")
    return fields


def _status_of(error: errors.MintcleatError) -> int:
    """Returns a status; one that is not certain sends the caller elsewhere."""
    if isinstance(error, errors.InvalidManifest):
        return 400
    if error.outcome == errors.NOT_RUN:
        return error.status
    return 503


def _problem(error: errors.MintcleatError) -> bytes:
    return msgspec.json.encode({"kind": error.kind, "detail": error.detail})
