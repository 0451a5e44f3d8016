"""Heads of answers that stop, between the product's own processes.

    python -m testing.soak.cut_heads PATH STEP WAYS

An entry, a control and sidecars before a stand-in engine and a stand-in service
are real processes. PATH is one of `PATHS`, or `all`. On it, every STEP-th byte
of a head is the last one of an answer or, with `requests`, of a request. There
are six ways to stop at a byte of an answer: three ends of the connection, once
or each time; WAYS of them are played at each byte, in turn. Prints what came of
the requests as JSON.
"""

import collections
from collections.abc import Callable
import contextlib
import functools
import http.client
import io
import itertools
import json
import re
import socket
import sys
import time
from typing import Any
from typing import NamedTuple

from bench import processes
from bench import rig
import eventlet
from testing.soak import head_cutter

from mintcleat.adapters import engine_http
from mintcleat.adapters import response_checks
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.load import client as load_client
import mintcleat.main as green
from mintcleat.main import cli_client
from mintcleat.ports import upstream

assert green

PATHS = ("entry", "engine", "operator", "load", "requests")
_ALL = "all"

_SECONDS = 10.0
_RECOVERY_SECONDS = 10.0
# Time within which a sidecar asks its engine something.
_CONTROL_SECONDS = 2.0
_TOKENS = 4
_CHAT = rb"POST /v1/chat/completions "
_WAYS = tuple(itertools.product(head_cutter.ENDS, (False, True)))
_RUNS = rb"POST /v1/chat/completions |GET /control/streams/"
_SERVICE = rb"(GET|POST) /tool "
_CONTROL = rb"\w+ /control/"
_DONE = "[DONE]"
_MESSAGE = {"role": "user", "content": "say it"}
# The stand-in's tokens are a digest of the prompt and their positions.
_CONTENT = r"(\w+)\.0 \1\.1 \1\.2 \1\.3 "
_CALL = upstream.EngineCall(
    request="r1", program="", messages=[json.dumps(_MESSAGE)], parameters=""
)
_REGISTRATION = json.dumps(
    {
        "service": "dispatch",
        "address": "127.0.0.1:9",
        "failure_domain": "z1",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
    }
).encode()
# What a caller may get for a part of a request; empty for the end of its
# connection.
_REFUSALS = ("", "400")
# Calls of a sidecar to its engine, by their targets.
_ENGINE_CALLS: dict[str, Callable[[engine_http.HttpEngine], Any]] = {
    "run": lambda engine: list(engine.run(_CALL)),
    "info": lambda engine: engine.info(),
    "load": lambda engine: engine.load(),
    "events": lambda engine: engine.events(0, 0.0),
    "cache": lambda engine: engine.cache_listing(),
    "release": lambda engine: engine.release(["p"]),
    "shorten": lambda engine: engine.truncate("p", 1),
    "hold": lambda engine: engine.pin("p"),
    "export": lambda engine: engine.export_cache("p"),
    "orders": lambda engine: engine.order(1, "load", "model-1"),
}


class System(processes.System):
    """Processes whose connections to stand-ins go through proxies.

    Attributes:
        cutters: The proxies.
    """

    def __init__(self, **sizes: int) -> None:
        self.cutters: list[head_cutter.Cutter] = []
        super().__init__(**sizes)

    def _settings(self, name: str, domain: int, **more: Any) -> list[str]:
        if "sidecar" in more:
            cutter = head_cutter.Cutter(more["sidecar"]["upstream"])
            self.cutters.append(cutter)
            more["sidecar"] = {**more["sidecar"], "upstream": cutter.address}
        return super()._settings(name, domain, **more)


class Answer(NamedTuple):
    """What a caller has of its answer.

    Attributes:
        status: 0 without a whole head.
        text: The content, or the outcome of an error.
        is_whole: Whether it ended as its framing announces.
    """

    status: int
    text: str
    is_whole: bool


def ask(address: str, method: str, path: str, body: bytes) -> Answer:
    """Sends a request to an entry; returns what comes."""
    connection = http.client.HTTPConnection(address, timeout=_SECONDS)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        # An entry always says where its answer ends.
        if response.length is None and not response.chunked:
            return Answer(0, "", False)
        data = response.read()
        return Answer(response.status, data.decode(), True)
    except (OSError, http.client.HTTPException):
        return Answer(0, "", False)
    finally:
        connection.close()


def send_part(address: str, data: bytes) -> str:
    """Sends the first part of a request, then its end; returns the status."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), _SECONDS) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        answer = b""
        while part := sock.recv(4096):
            answer += part
    return answer[9:12].decode()


def chat_body(is_stream: bool, content: str = "say it") -> bytes:
    """Returns a chat request."""
    fields = {
        "model": "triage",
        "stream": is_stream,
        "max_tokens": _TOKENS,
        "messages": [{"role": "user", "content": content}],
    }
    return json.dumps(fields).encode()


def content_of(answer: Answer) -> str:
    """Returns the text of a chat completion; empty if it isn't whole."""
    with contextlib.suppress(ValueError, KeyError, IndexError):
        if not answer.text.startswith("data: "):
            message = json.loads(answer.text)["choices"][0]["message"]
            return message["content"]
        events = answer.text.split("\n\n")
        data = [one.removeprefix("data: ") for one in events if one]
        if data[-1] != _DONE:
            return ""
        parts = [json.loads(one)["choices"][0]["delta"] for one in data[:-1]]
        return "".join(part.get("content", "") for part in parts)
    return ""


def problem_of(answer: Answer) -> dict[str, Any]:
    """Returns the problem that an answer tells; empty for none."""
    text = answer.text
    if text.startswith("data: "):
        text = text.rstrip().rpartition("data: ")[2]
    with contextlib.suppress(ValueError):
        fields = json.loads(text)
        if isinstance(fields, dict):
            return fields.get("error", fields)
    return {}


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        name: Its name in the report.
        cutter: The proxy that cuts answers.
        requests: See `head_cutter.Cut`.
        ask: Sends one; returns `whole` for what it gets undisturbed, or the
            outcome or error that its caller sees.
        allowed: What its caller may see if each of its answers is spoilt.
        runs: What requests begin with that run what is asked for, as a regular
            expression. With none of them, it wasn't run.
        is_retried: Whether an answer that was spoilt once may be followed by a
            whole one.
    """

    name: str
    cutter: head_cutter.Cutter
    requests: bytes
    ask: Callable[[], str]
    allowed: frozenset[str]
    runs: bytes = b""
    is_retried: bool = False


class Scenario:
    """The processes, and what came of each kind of request.

    Attributes:
        counts: Number of each result, by the kind of request.
        wrong: Results that must not be.
        spoilt: Answers that were spoilt, and parts of requests.
    """

    def __init__(self, system: System, step: int, ways: int) -> None:
        self.system = system
        self.step = step
        self.ways = ways
        self.next_way = 0
        self.entry = system.http()[0]
        self.engine, self.service = system.cutters
        self.counts: dict[str, dict[str, int]] = {}
        self.wrong: list[str] = []
        self.spoilt = 0

    def play_path(self, path: str) -> None:
        """Plays one path."""
        if path == "requests":
            self.cut_requests()
            return
        for kind in self.kinds(path):
            self.play(kind)

    def play(self, kind: Kind) -> None:
        """Cuts the heads of answers of one kind at each STEP-th byte."""
        counter: collections.Counter[str] = collections.Counter()
        cutter = kind.cutter
        self.until_whole(kind)
        size = max(
            size
            for line, size in cutter.heads.items()
            if re.match(kind.requests, line)
        )
        for number in range(0, size, self.step):
            for _ in range(self.ways):
                end, once = _WAYS[self.next_way % len(_WAYS)]
                self.next_way += 1
                cut = head_cutter.Cut(kind.requests, number, end, once)
                counter[self.spoil(kind, cut)] += 1
                self.until_whole(kind)
        # Otherwise each byte of the next kind would stop in the same ways.
        self.next_way += 1
        self.counts[kind.name] = dict(counter)

    def spoil(self, kind: Kind, fault: head_cutter.Fault) -> str:
        """Spoils an answer; returns what its caller sees."""
        cutter = kind.cutter
        before = cutter.count
        cutter.requests.clear()
        cutter.fault = fault
        found = kind.ask()
        cutter.fault = None
        spoilt = cutter.count - before
        self.spoilt += spoilt
        is_run = any(re.match(kind.runs, one) for one in cutter.requests)
        is_right = (
            found in kind.allowed
            or (found == "not_run" and not is_run)
            or (found == "whole" and not spoilt)
            or (found == "whole" and fault.once and kind.is_retried)
        )
        if not is_right:
            self.wrong.append(f"{kind.name}, {fault}: {found}")
        return found if spoilt else f"{found}, not spoilt"

    def until_whole(self, kind: Kind) -> None:
        """Waits until a request is served again."""
        until = time.monotonic() + _RECOVERY_SECONDS
        while (found := kind.ask()) != "whole":
            if time.monotonic() > until:
                raise RuntimeError(f"{kind.name} is served no more: {found}")
            eventlet.sleep(0.02)

    def cut_requests(self) -> None:
        """Cuts requests to an entry and to a control instance themselves."""
        token = self.system.folder / "control-0" / "admin-token"
        key = f"Authorization: Bearer {token.read_text().strip()}"
        admin, entry = self.system.admin, self.entry
        chat = chat_body(False)
        for address, start, field, body in (
            (admin, "POST /admin/v1/control/snapshot", key, b"{}"),
            (admin, "DELETE /admin/v1/programs/p1", key, b""),
            (admin, "PUT /admin/v1/registrations/u12345", key, _REGISTRATION),
            (entry, "POST /v1/programs", "Host: a", b"{}"),
            (entry, "POST /v1/chat/completions", "Host: a", chat),
        ):
            self._cut_request(address, start, field, body)
        client = cli_client.AdminClient(admin, str(token))
        # A shortened name, or fields without the last ones.
        known = json.dumps(client.get("upstreams"))
        if re.search(r"u1|127\.0\.0\.1:9\b", known):
            self.wrong.append(f"registered: {known}")

    def _cut_request(
        self, address: str, start: str, field: str, body: bytes
    ) -> None:
        """Sends the parts of a request that end at each STEP-th byte."""
        lines = (
            f"{start} HTTP/1.1",
            field,
            f"Content-Length: {len(body)}",
            "",
            "",
        )
        request = "\r\n".join(lines).encode() + body
        counter: collections.Counter[str] = collections.Counter()
        for size in range(1, len(request), self.step):
            status = send_part(address, request[:size])
            counter[status] += 1
            self.spoilt += 1
            if status not in _REFUSALS:
                self.wrong.append(f"{start}, {size} bytes: {status}")
        self.counts[f"cut {start}"] = dict(counter)

    def kinds(self, path: str) -> list[Kind]:
        """Returns the kinds of requests of a path."""
        match path:
            case "entry":
                return self._callers()
            case "engine":
                return self._engine_calls()
            case "operator":
                return self._operators()
            case "load":
                return self._loads()
        raise ValueError(f"Expected one of {PATHS}, found {path!r}.")

    def _callers(self) -> list[Kind]:
        """Callers of an entry, whose upstreams stop within their heads."""
        chat = functools.partial(self._chat, False)
        stream = functools.partial(self._chat, True)
        get = functools.partial(self._call_service, "GET")
        post = functools.partial(self._call_service, "POST")
        failed = frozenset({"unknown", "ran", "broken"})
        whole = failed | {"whole"}
        return [
            # What broke off is taken up by another request.
            Kind("chat", self.engine, _CHAT, chat, whole, _CHAT),
            Kind("chat stream", self.engine, _CHAT, stream, whole, _CHAT),
            Kind("chat, all", self.engine, _RUNS, chat, failed, _CHAT, True),
            Kind(
                "stream, all", self.engine, _RUNS, stream, failed, _CHAT, True
            ),
            Kind("GET", self.service, _SERVICE, get, failed),
            Kind("POST", self.service, _SERVICE, post, failed),
            # A call may do without what the control API would have told.
            Kind("control", self.engine, _CONTROL, self._chats, whole, _CHAT),
        ]

    def _chat(self, is_stream: bool) -> str:
        body = chat_body(is_stream)
        answer = ask(self.entry, "POST", "/v1/chat/completions", body)
        return result_of(answer, content_of(answer), _CONTENT)

    def _chats(self) -> str:
        """Chats until an answer was cut; returns the last result."""
        before = self.engine.count
        until = time.monotonic() + _CONTROL_SECONDS
        while (found := self._chat(False)) == "whole":
            if self.engine.fault is None or time.monotonic() > until:
                break
            if self.engine.count > before:
                break
            # What ran for a whole answer says nothing of the next request.
            self.engine.requests.clear()
        return found

    def _call_service(self, method: str) -> str:
        path = "/v1/services/dispatch/tool"
        answer = ask(self.entry, method, path, b"")
        content = ""
        with contextlib.suppress(ValueError):
            content = json.loads(answer.text).get("path", "")
        return result_of(answer, content, "/tool")

    def _engine_calls(self) -> list[Kind]:
        """The calls of a sidecar to its engine."""
        # The sidecar itself would take cuts at the proxy before it.
        target = "{}:{}".format(*self.engine.target)

        def kind(name: str, call: Callable[..., Any]) -> Kind:
            cutter = head_cutter.Cutter(target)

            def run() -> str:
                engine = engine_http.HttpEngine(cutter.address)
                try:
                    with eventlet.Timeout(_SECONDS):
                        call(engine)
                except errors.MintcleatError as error:
                    return type(error).__name__
                return "whole"

            return Kind(
                f"engine {name}",
                cutter,
                b"",
                run,
                frozenset({"StreamClosed"}),
            )

        return [kind(name, call) for name, call in _ENGINE_CALLS.items()]

    def _operators(self) -> list[Kind]:
        """Commands to a control instance's admin interface."""
        cutter = head_cutter.Cutter(self.system.admin)
        token = self.system.folder / "control-0" / "admin-token"

        def kind(
            name: str, line: bytes, call: Callable[..., Any], code: int
        ) -> Kind:
            def run() -> str:
                client = cli_client.AdminClient(cutter.address, str(token))
                try:
                    with contextlib.redirect_stderr(io.StringIO()):
                        call(client)
                except SystemExit as error:
                    return f"exit {error.code}"
                return "whole"

            return Kind(name, cutter, line, run, frozenset({f"exit {code}"}))

        unknown = cli_client.UNKNOWN_OUTCOME
        unavailable = cli_client.UNAVAILABLE
        return [
            kind(
                "operator GET",
                b"GET ",
                lambda client: client.get("status"),
                unavailable,
            ),
            kind(
                "operator POST",
                b"POST ",
                lambda client: client.post("control/snapshot", {}),
                unknown,
            ),
            kind(
                "operator DELETE",
                b"DELETE ",
                lambda client: client.delete("registrations/none"),
                unknown,
            ),
        ]

    def _loads(self) -> list[Kind]:
        """Requests of the load generator."""
        timer = timers.EventletTimers()

        def kind(name: str, call: Callable[..., Any]) -> Kind:
            cutter = head_cutter.Cutter(self.entry)

            def run() -> str:
                pool = response_checks.PoolManager()
                client = load_client.Client([cutter.address], timer, pool)
                try:
                    answer = call(client)
                except (LookupError, TypeError, ValueError) as error:
                    return repr(error)
                return answer.outcome if answer.kind else "whole"

            return Kind(name, cutter, b"", run, frozenset({"unknown"}))

        bodies = [json.loads(chat_body(one)) for one in (False, True)]
        return [
            kind(
                "load program",
                lambda client: client.create({"program": "triage"})[1],
            ),
            *(
                kind(
                    f"load service {method}",
                    lambda client, method=method: client.call_service(
                        method, "/v1/services/dispatch/tool", {}, _SECONDS
                    ),
                )
                for method in ("GET", "POST")
            ),
            *(
                kind(
                    f"load chat {body['stream']}",
                    lambda client, body=body: client.chat(body, {}, _SECONDS),
                )
                for body in bodies
            ),
        ]


def result_of(answer: Answer, content: str, expected: str) -> str:
    """Returns what came of a request: `whole`, `broken` or an outcome.

    Args:
        answer: What its caller got.
        content: Its content; empty if the answer says that it isn't whole.
        expected: Content of the whole answer, as a regular expression.
    """
    if not answer.is_whole:
        return "broken"
    if answer.status == 200 and re.fullmatch(expected, content):
        return "whole"
    outcome = problem_of(answer).get("outcome", "")
    return outcome if outcome and not content else f"wrong: {answer}"


def run(make: Callable[[System], Scenario], paths: tuple[str, ...]) -> None:
    """Plays some paths of a scenario between new processes; prints the result.

    Args:
        make: Makes the scenario.
        paths: Its paths.
    """
    sizes = {"controls": 1, "entries": 1, "engines": 1, "services": 1}
    system = System(**sizes)
    try:
        rig.push(system, rig.MANIFEST)
        rig.wait_ready(system)
        scenario = make(system)
        for path in paths:
            scenario.play_path(path)
    finally:
        codes = system.stop()
    print(
        json.dumps(
            {
                "spoilt": scenario.spoilt,
                "counts": scenario.counts,
                "wrong": scenario.wrong,
                "exit codes": codes,
            }
        )
    )


def main() -> None:
    """Runs one path."""
    path, step, ways = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    run(
        lambda system: Scenario(system, step, ways),
        PATHS if path == _ALL else (path,),
    )


if __name__ == "__main__":
    main()
