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
from mintcleat.adapters import problems
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.domain import program_messages
from mintcleat.domain import registrations

PREFIX = "/admin/v1/"
# Manifests reach 5 MB; twice that leaves room and bounds what a client costs.
MAX_BODY = 10 * 1024 * 1024
PROGRAM_SECONDS = 10.0
PAGE = 100

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Programs(Protocol):
    """How the program groups are asked; see `roles.control_client`."""

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Asks the group of a program."""

    def list_programs(
        self, message: program_messages.ListPrograms, timeout: float
    ) -> program_messages.Programs:
        """Returns a page of one group's programs."""


class ControlActions(Protocol):
    """What operators do with the control instances and their logs."""

    def status(self) -> list[dict[str, Any]]:
        """Returns one row for each group: `group`, `leader` and more."""

    def replace(
        self, old: str, new: str, address: str, failure_domain: str
    ) -> str:
        """Replaces a lost control instance; returns what was started."""

    def snapshot(self) -> str:
        """Takes snapshots of all groups here; returns what was done."""


class Request(NamedTuple):
    """An authorized request.

    Attributes:
        parts: The path after the prefix, split at slashes and decoded.
        origin: IP address of the client.
    """

    method: str
    parts: list[str]
    query: dict[str, str]
    body: dict[str, Any]
    origin: str

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a text field of the body."""
        value = self.body.get(name, default)
        if not isinstance(value, str):
            raise errors.BadRequest(f"The field {name!r} must be a text.")
        return value

    def number(self, name: str, default: int) -> int:
        """Returns a whole number of the query."""
        value = self.query.get(name, str(default))
        if not value.isdecimal():
            raise errors.BadRequest(f"{name!r} must be a whole number.")
        return int(value)


class AdminApp:
    """Routes operators' requests to the config leader and the programs.

    Attributes:
        ask: Asks the config leader, from any control instance.
        programs: Asks the program groups.
        groups: Returns the names of the program groups.
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
        """Answers one request; every failure is problem+json."""
        try:
            self._authorize(environ)
            answer = self._route(_request(environ))
            return _answer(start_response, answer)
        except errors.MintcleatError as error:
            return _refuse(start_response, error)
        except Exception:
            logger.exception("An admin request failed.")
            return _refuse(
                start_response, errors.MintcleatError("A fault in the daemon.")
            )

    def _authorize(self, environ: dict[str, Any]) -> None:
        given = environ.get("HTTP_AUTHORIZATION", "")
        expected = f"Bearer {self.token}"
        # The comparison takes the same time wherever the texts differ.
        if not self.token or not hmac.compare_digest(
            given.encode("latin-1", "replace"), expected.encode()
        ):
            raise errors.Unauthorized("The admin token is missing or wrong.")

    def _route(self, request: Request) -> Any:
        match request.method, request.parts:
            case "GET", ["manifest"]:
                return self._manifest()
            case "POST", ["manifest"]:
                return self._push(request)
            case "GET", ["status"]:
                return self._status()
            case "GET", ["instances"]:
                return self.ask(operator_messages.ShowInstances())
            case "GET", ["audit"]:
                return self.ask(
                    operator_messages.ShowAudit(
                        request.number("after", 0),
                        request.number("limit", 1000),
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
            case "GET", ["quarantine"]:
                return self.ask(operator_messages.ShowQuarantine())
            case "DELETE", ["quarantine", digest]:
                return self._release(request, digest)
            case _, ["programs", *_]:
                return self._route_programs(request)
            case "POST", ["control", "empty"]:
                return self._empty(request)
            case _, ["control", *_]:
                return self._route_control(request)
            case _:
                raise _unknown(request)

    def _route_programs(self, request: Request) -> Any:
        match request.method, request.parts:
            case "GET", [_]:
                return self._list_programs(request)
            case "GET", [_, program]:
                return self.programs.ask(
                    program,
                    program_messages.ShowProgram(program),
                    PROGRAM_SECONDS,
                )
            case "DELETE", [_, program]:
                return self.programs.ask(
                    program,
                    program_messages.CloseProgram(program),
                    PROGRAM_SECONDS,
                )
            case _:
                raise _unknown(request)

    def _route_control(self, request: Request) -> Any:
        if self.control is None:
            raise errors.BadRequest(
                "This instance offers no control actions.",
                remedy="Ask the admin port of a control instance.",
            )
        match request.method, request.parts:
            case "GET", [_]:
                return {"groups": self.control.status()}
            case "POST", [_, "snapshot"]:
                return {"detail": self.control.snapshot()}
            case "POST", [_, "replace"]:
                return self._replace(request, self.control)
            case _:
                raise _unknown(request)

    def _route_registrations(self, request: Request) -> Any:
        """Upstreams register, renew and leave by themselves."""
        match request.method, request.parts:
            case "PUT", [_, upstream]:
                registration = registrations.parse(upstream, request.body)
                return self.ask(member_messages.RegisterUpstream(registration))
            case "DELETE", [_, upstream]:
                started = request.number("started", 0)
                return self.ask(
                    member_messages.DeregisterUpstream(upstream, started)
                )
            case _:
                raise _unknown(request)

    def _empty(self, request: Request) -> Any:
        start = request.body.get("start", True)
        if not isinstance(start, bool):
            raise errors.BadRequest("'start' must be true or false.")
        return self.ask(
            operator_messages.EvacuateControl(
                request.text("instance"),
                start,
                request.text("operator", "unnamed"),
                request.origin,
            )
        )

    def _manifest(self) -> dict[str, Any]:
        view = self.ask(config_messages.ReadManifest())
        return {
            "revision": view.revision,
            "manifest": msgspec.Raw(view.manifest.encode()),
            "version": view.version,
            "source": view.source,
        }

    def _push(self, request: Request) -> Any:
        expected = request.body.get("expected")
        if type(expected) is not int or expected < 0:
            raise errors.BadRequest("'expected' must be a revision.")
        version = request.body.get("version", 0)
        if type(version) is not int or version < 0:
            raise errors.BadRequest("'version' must be a whole number.")
        text = request.text("manifest")
        message = config_messages.PushManifest(
            expected,
            request.text("push_id"),
            text,
            request.text("operator"),
            request.origin,
            version,
            request.text("source", ""),
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
        scope, name = request.text("scope"), request.text("name")
        if drain and not request.body.get("ahead", False):
            self._check_listed(scope, name)
        return self.ask(
            operator_messages.DrainScope(
                scope, name, drain, request.text("operator"), request.origin
            )
        )

    def _check_listed(self, scope: str, name: str) -> None:
        """Refuses a name that no announced upstream bears.

        A slip in a name would otherwise look like a drain that holds, and
        the upstream be stopped while it gets new work.
        """
        views = self.ask(operator_messages.ShowUpstreams()).upstreams
        announced = [view.announcement for view in views]
        names = {item.sidecar.instance for item in announced}
        if scope == "failure_domain":
            names = {item.failure_domain for item in announced}
        if name not in names:
            raise errors.UnknownUpstream(f"No {scope} {name} is announced.")

    def _release(self, request: Request, digest: str) -> Any:
        try:
            raw = bytes.fromhex(digest)
        except ValueError:
            raise errors.BadRequest(f"{digest!r} is no digest.") from None
        operator = request.query.get("operator", "unnamed")
        return self.ask(
            operator_messages.ReleaseQuarantine(raw, operator, request.origin)
        )

    def _list_programs(self, request: Request) -> Any:
        """Merges the groups' pages; each group lists in id order."""
        after = request.query.get("after", "")
        limit = max(1, request.number("limit", PAGE))
        found = []
        for group in self.groups():
            page = self.programs.list_programs(
                program_messages.ListPrograms(group, after, limit),
                PROGRAM_SECONDS,
            )
            found.extend(page.programs)
        found.sort(key=lambda item: item.program)
        return program_messages.Programs(found[:limit])

    def _replace(self, request: Request, control: ControlActions) -> Any:
        old, new = request.text("old"), request.text("new")
        address = request.text("address")
        domain = request.text("failure_domain", "")
        operator = request.text("operator")
        detail = control.replace(old, new, address, domain)
        origin = request.origin
        self.ask(
            operator_messages.SetControl(new, address, domain, operator, origin)
        )
        # An instance whose disk was emptied is replaced by itself.
        if old != new:
            self.ask(
                operator_messages.SetControl(old, "", "", operator, origin)
            )
        return {"detail": detail}


def _unknown(request: Request) -> errors.MintcleatError:
    path = "/".join(request.parts)
    return errors.BadRequest(
        f"No {request.method} {PREFIX}{path}.",
        remedy="See the operators' reference for the paths.",
    )


def _request(environ: dict[str, Any]) -> Request:
    path = environ.get("PATH_INFO", "")
    if not path.startswith(PREFIX):
        raise errors.BadRequest(f"The admin interface is at {PREFIX}.")
    query = url.parse_qsl(environ.get("QUERY_STRING", ""))
    return Request(
        environ["REQUEST_METHOD"],
        path[len(PREFIX) :].strip("/").split("/"),
        dict(query),
        _body(environ),
        environ.get("REMOTE_ADDR", ""),
    )


def _body(environ: dict[str, Any]) -> dict[str, Any]:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        raise errors.BadRequest("Content-Length must be a number.")
    if int(length) > MAX_BODY:
        raise errors.TooLarge(f"A body of {length} bytes, over {MAX_BODY}.")
    if int(length) == 0:
        return {}
    data = environ["wsgi.input"].read(int(length))
    if len(data) < int(length):
        raise errors.BadRequest("The body was cut short.")
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise errors.BadRequest(f"The body is no JSON: {error}.") from None
    if not isinstance(body, dict):
        raise errors.BadRequest("The body must be a JSON object.")
    return body


def _answer(start_response: StartResponse, answer: Any) -> list[bytes]:
    data = msgspec.json.encode(admin_views.plain(answer))
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response("200 OK", headers)
    return [data]


def _refuse(
    start_response: StartResponse, error: errors.MintcleatError
) -> list[bytes]:
    data = problems.body(error, "")
    headers = [
        *problems.headers(error),
        ("Content-Length", str(len(data))),
    ]
    start_response(problems.status_line(error.status), headers)
    return [data]
