"""The operators' interface, `/admin/v1/...`, as a WSGI application."""

from collections.abc import Callable
from collections.abc import Iterable
import hmac
from typing import Any
from typing import NamedTuple
from typing import Protocol
from urllib import parse as url

from loguru import logger
import msgspec

from mintcleat.adapters import admin_views
from mintcleat.adapters import http_request
from mintcleat.adapters import problems
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.domain import program_messages
from mintcleat.domain import registrations

PREFIX = "/admin/v1/"
# Manifests have up to 5 MB; twice that leaves a margin, and bounds the memory
# that a request uses.
MAX_BODY_BYTES = 10 * 1024 * 1024
PROGRAM_TIMEOUT_SECONDS = 10.0
PAGE_SIZE = 100

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Programs(Protocol):
    """Client of the program groups; see `roles.control_client`."""

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Sends a message to the group of a program; returns the reply."""

    def list_programs(
        self, message: program_messages.ListPrograms, timeout: float
    ) -> program_messages.Programs:
        """Returns a page of one group's programs."""

    def show_load(
        self, message: program_messages.ShowLoad, timeout: float
    ) -> program_messages.LoadView:
        """Returns the load of one group."""


class ControlActions(Protocol):
    """Operators' actions on the control instances and their logs."""

    def status(self) -> list[dict[str, Any]]:
        """Returns one row for each group: `group`, `leader` and more."""

    def replace(
        self, old: str, new: str, address: str, failure_domain: str
    ) -> str:
        """Starts replacing a lost control instance; returns a description."""

    def snapshot(self) -> str:
        """Snapshots all groups on this instance; returns a description."""


class Request(NamedTuple):
    """An authorized request.

    Attributes:
        parts: The decoded path after the prefix, split at slashes.
        origin: IP address of the client.
    """

    method: str
    parts: list[str]
    query: dict[str, str]
    body: dict[str, Any]
    origin: str

    def string(self, name: str, default: str | None = None) -> str:
        """Returns a string field of the body."""
        value = self.body.get(name, default)
        if not isinstance(value, str):
            raise errors.BadRequest(f"The field {name!r} must be a string.")
        return value

    def integer(self, name: str, default: int) -> int:
        """Returns a non-negative integer parameter of the query."""
        value = self.query.get(name, str(default))
        if not value.isdecimal():
            raise errors.BadRequest(
                f"{name!r} must be a non-negative integer, not {value[:40]!r}."
            )
        return int(value)


class AdminApp:
    """Routes operators' requests to the configuration leader and the programs.

    Attributes:
        ask: Sends a message to the configuration leader; returns the reply.
        programs: Client of the program groups.
        groups: Returns the names of the program groups.
        control: Actions on the control instances; None if not offered.
    """

    def __init__(
        self,
        token: str,
        *,
        ask: Callable[[Any], Any],
        programs: Programs,
        groups: Callable[[], list[str]],
        control: ControlActions | None = None,
    ) -> None:
        self.token = token
        self.ask = ask
        self.programs = programs
        self.groups = groups
        self.control = control

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles a request; errors are returned as problem+json."""
        try:
            self._authorize(environ)
            answer = self._route(_parse_request(environ))
            return _send_json(start_response, answer)
        except errors.MintcleatError as error:
            return _send_error(start_response, error)
        except Exception:
            logger.exception("Handling an admin request failed.")
            return _send_error(
                start_response,
                errors.MintcleatError("An internal error occurred."),
            )

    def _authorize(self, environ: dict[str, Any]) -> None:
        given = environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {self.token}"
        # Constant time, so that the duration does not show how much matches.
        if not self.token or not hmac.compare_digest(
            given.encode("latin-1", "replace"), expected.encode()
        ):
            raise errors.Unauthorized("The admin token is missing or wrong.")

    def _route(self, request: Request) -> Any:
        match request.method, request.parts:
            case "GET", ["manifest"]:
                return self._read_manifest()
            case "POST", ["manifest"]:
                return self._push_manifest(request)
            case "GET", ["status"]:
                return self._status()
            case "GET", ["instances"]:
                return self.ask(operator_messages.ShowInstances())
            case "GET", ["audit"]:
                return self.ask(
                    operator_messages.ShowAudit(
                        request.integer("after", 0),
                        request.integer("limit", 1000),
                    )
                )
            case "GET", ["upstreams"]:
                return self.ask(operator_messages.ShowUpstreams())
            case _, ["registrations", *_]:
                return self._route_registrations(request)
            case "POST", ["drains"]:
                return self._drain(request)
            case "GET", ["rollouts"]:
                return self.ask(operator_messages.ShowRollouts())
            case "GET", ["customers"]:
                return self.ask(operator_messages.ShowCustomers())
            case "GET", ["load"]:
                return self._show_load(request)
            case "GET", ["quarantine"]:
                return self.ask(operator_messages.ShowQuarantine())
            case "DELETE", ["quarantine", digest]:
                return self._release_quarantine(request, digest)
            case _, ["programs", *_]:
                return self._route_programs(request)
            case "POST", ["control", "empty"]:
                return self._evacuate(request)
            case _, ["control", *_]:
                return self._route_control(request)
            case _:
                raise _unknown_path(request)

    def _route_programs(self, request: Request) -> Any:
        match request.method, request.parts:
            case "GET", [_]:
                return self._list_programs(request)
            case "GET", [_, program]:
                return self.programs.ask(
                    program,
                    program_messages.ShowProgram(program),
                    PROGRAM_TIMEOUT_SECONDS,
                )
            case "DELETE", [_, program]:
                return self.programs.ask(
                    program,
                    program_messages.CloseProgram(program),
                    PROGRAM_TIMEOUT_SECONDS,
                )
            case _:
                raise _unknown_path(request)

    def _route_control(self, request: Request) -> Any:
        if self.control is None:
            raise errors.BadRequest(
                "This instance does not offer control actions.",
                remedy="Use the admin address of a control instance.",
            )
        match request.method, request.parts:
            case "GET", [_]:
                return {"groups": self.control.status()}
            case "POST", [_, "snapshot"]:
                return {"detail": self.control.snapshot()}
            case "POST", [_, "replace"]:
                return self._replace_instance(request, self.control)
            case _:
                raise _unknown_path(request)

    def _route_registrations(self, request: Request) -> Any:
        """Handles upstreams that register, renew or deregister themselves."""
        match request.method, request.parts:
            case "PUT", [_, upstream]:
                registration = registrations.parse(upstream, request.body)
                return self.ask(member_messages.RegisterUpstream(registration))
            case "DELETE", [_, upstream]:
                started = request.integer("started", 0)
                return self.ask(
                    member_messages.DeregisterUpstream(upstream, started)
                )
            case _:
                raise _unknown_path(request)

    def _evacuate(self, request: Request) -> Any:
        start = request.body.get("start", True)
        if not isinstance(start, bool):
            raise errors.BadRequest("'start' must be true or false.")
        return self.ask(
            operator_messages.EvacuateControl(
                request.string("instance"),
                start,
                request.string("operator", "unnamed"),
                request.origin,
            )
        )

    def _read_manifest(self) -> dict[str, Any]:
        view = self.ask(config_messages.ReadManifest())
        return {
            "revision": view.revision,
            "manifest": msgspec.Raw(view.manifest.encode()),
            "version": view.version,
            "source": view.source,
        }

    def _push_manifest(self, request: Request) -> Any:
        expected = request.body.get("expected")
        if type(expected) is not int or expected < 0:
            raise errors.BadRequest("'expected' must be a revision number.")
        version = request.body.get("version", 0)
        if type(version) is not int or version < 0:
            raise errors.BadRequest("'version' must be a non-negative integer.")
        text = request.string("manifest")
        message = config_messages.PushManifest(
            expected,
            request.string("push_id"),
            text,
            request.string("operator"),
            request.origin,
            version,
            request.string("source", ""),
        )
        if not message.push_id:
            raise errors.BadRequest("'push_id' must not be empty.")
        return self.ask(message)

    def _status(self) -> dict[str, Any]:
        instances = self.ask(operator_messages.ShowInstances())
        upstreams = self.ask(operator_messages.ShowUpstreams())
        rollouts = self.ask(operator_messages.ShowRollouts())
        listed = self.ask(operator_messages.ShowQuarantine())
        return admin_views.status(instances, upstreams, rollouts, listed)

    def _drain(self, request: Request) -> Any:
        drain = request.body.get("drain", True)
        if not isinstance(drain, bool):
            raise errors.BadRequest("'drain' must be true or false.")
        scope, name = request.string("scope"), request.string("name")
        if drain and not request.body.get("ahead", False):
            self._check_name(scope, name)
        return self.ask(
            operator_messages.DrainScope(
                scope, name, drain, request.string("operator"), request.origin
            )
        )

    def _check_name(self, scope: str, name: str) -> None:
        """Raises an error if no announced upstream has the name.

        With a mistyped name, the drain would seem to be in force, and the
        operator would stop an upstream that still gets new requests.
        """
        views = self.ask(operator_messages.ShowUpstreams()).upstreams
        announced = [view.announcement for view in views]
        names = {item.sidecar.instance for item in announced}
        if scope == "failure_domain":
            names = {item.failure_domain for item in announced}
        if name not in names:
            raise errors.UnknownUpstream(
                f"No upstream with {scope} {name!r} is announced."
            )

    def _release_quarantine(self, request: Request, digest: str) -> Any:
        try:
            raw = bytes.fromhex(digest)
        except ValueError:
            raise errors.BadRequest(
                f"The digest {digest!r} is not hexadecimal."
            ) from None
        operator = request.query.get("operator", "unnamed")
        return self.ask(
            operator_messages.ReleaseQuarantine(raw, operator, request.origin)
        )

    def _list_programs(self, request: Request) -> Any:
        """Merges the pages of all groups, each sorted by id."""
        after = request.query.get("after", "")
        limit = max(1, request.integer("limit", PAGE_SIZE))
        found = []
        for group in self.groups():
            page = self.programs.list_programs(
                program_messages.ListPrograms(group, after, limit),
                PROGRAM_TIMEOUT_SECONDS,
            )
            found.extend(page.programs)
        found.sort(key=lambda item: item.program)
        return program_messages.Programs(found[:limit])

    def _show_load(self, request: Request) -> dict[str, Any]:
        """Merges the views of all groups' leaders."""
        customers = max(1, request.integer("customers", PAGE_SIZE))
        upstreams = max(1, request.integer("upstreams", PAGE_SIZE))
        views = [
            self.programs.show_load(
                program_messages.ShowLoad(group, customers, upstreams),
                PROGRAM_TIMEOUT_SECONDS,
            )
            for group in self.groups()
        ]
        return admin_views.load(views, customers, upstreams)

    def _replace_instance(
        self, request: Request, control: ControlActions
    ) -> Any:
        old, new = request.string("old"), request.string("new")
        address = request.string("address")
        domain = request.string("failure_domain", "")
        operator = request.string("operator")
        detail = control.replace(old, new, address, domain)
        origin = request.origin
        self.ask(
            operator_messages.SetControl(new, address, domain, operator, origin)
        )
        # An instance that lost its disk is replaced by itself, so `old == new`.
        if old != new:
            self.ask(
                operator_messages.SetControl(old, "", "", operator, origin)
            )
        return {"detail": detail}


def _unknown_path(request: Request) -> errors.MintcleatError:
    path = "/".join(request.parts)
    return errors.BadRequest(
        f"{request.method} {PREFIX}{path} does not exist.",
        remedy="See the operators' reference for the paths.",
    )


def _parse_request(environ: dict[str, Any]) -> Request:
    path = environ.get("PATH_INFO", "")
    if not path.startswith(PREFIX):
        raise errors.BadRequest(
            f"The path {path[:80]!r} does not start with {PREFIX}."
        )
    query = url.parse_qsl(environ.get("QUERY_STRING", ""))
    return Request(
        environ["REQUEST_METHOD"],
        path[len(PREFIX) :].strip("/").split("/"),
        dict(query),
        _read_body(environ),
        environ.get("REMOTE_ADDR", ""),
    )


def _read_body(environ: dict[str, Any]) -> dict[str, Any]:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        raise errors.BadRequest(
            f"Content-Length must be a number, not {length[:20]!r}."
        )
    if int(length) > MAX_BODY_BYTES:
        raise errors.TooLarge(
            f"The body has {length} bytes; the limit is {MAX_BODY_BYTES}."
        )
    if int(length) == 0:
        return {}
    http_request.take_bytes(environ, int(length))
    data = http_request.read_with_timeout(environ, int(length))
    if len(data) < int(length):
        raise errors.BadRequest(
            f"The body ended after {len(data)} of {length} bytes."
        )
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.BadRequest(
            f"The body is not valid JSON: {error}."
        ) from None
    if not isinstance(body, dict):
        raise errors.BadRequest("The body must be a JSON object.")
    return body


def _send_json(start_response: StartResponse, answer: Any) -> list[bytes]:
    data = msgspec.json.encode(admin_views.plain(answer))
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response("200 OK", headers)
    return [data]


def _send_error(
    start_response: StartResponse, error: errors.MintcleatError
) -> list[bytes]:
    data = problems.body(error, "")
    headers = [
        *problems.headers(error),
        ("Content-Length", str(len(data))),
    ]
    start_response(problems.status_line(error.status), headers)
    return [data]
