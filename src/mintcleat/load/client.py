"""A caller: talks HTTP to an entry and tells what it saw."""

from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

import urllib3

from mintcleat.ports import timers as timers_port

_CONNECT_SECONDS = 5.0


class Answer(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        kind: Empty for a whole answer, else the refusal's kind.
        outcome: `ran`, `not_run` or `unknown`.
        first: Seconds to the first part of the answer.
        total: Seconds to its end.
        gaps: Seconds between streamed parts.
    """

    kind: str
    outcome: str
    first: float
    total: float
    gaps: list[float]
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    text: str = ""
    retry_after: float = 0.0


class Client:
    """Sends requests to the entries in turn, as a balancer would."""

    def __init__(
        self, entries: list[str], timers: timers_port.Timers, connections: int
    ) -> None:
        self.entries = entries
        self.timers = timers
        self.next_entry = 0
        self.pool = urllib3.PoolManager(
            maxsize=connections, num_pools=len(entries) + 1, retries=False
        )

    def create(self, body: dict[str, Any], key: str = "") -> tuple[str, Answer]:
        """Creates a program; returns its id and what was seen."""
        started = self.timers.now()
        try:
            reply = self._send("POST", "/v1/programs", body, bearer(key), 30.0)
            value = json.loads(reply.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return "", self._lost(error, started)
        answer = self._refused(value, started)
        return value.get("id", ""), answer

    def close(self, program: str, key: str = "") -> None:
        """Closes a program; its failure is no part of the measurement."""
        path = f"/v1/programs/{program}"
        try:
            self._send("DELETE", path, None, bearer(key), 30.0)
        except urllib3.exceptions.HTTPError:
            return

    def tool(
        self, method: str, path: str, headers: dict[str, str], deadline: float
    ) -> Answer:
        """Calls a plain service."""
        started = self.timers.now()
        try:
            reply = self._send(method, path, None, headers, deadline)
        except urllib3.exceptions.HTTPError as error:
            return self._lost(error, started)
        if reply.status >= 400:
            return self._refused(_object(reply.data), started)
        taken = self.timers.now() - started
        return Answer("", "ran", taken, taken, [])

    def chat(
        self, body: dict[str, Any], headers: dict[str, str], deadline: float
    ) -> Answer:
        """Runs a chat call, streamed or whole."""
        started = self.timers.now()
        try:
            reply = self._send(
                "POST",
                "/v1/chat/completions",
                body,
                headers,
                deadline,
                stream=True,
            )
            if reply.status >= 400:
                return self._refused(_object(reply.read()), started)
            if body.get("stream"):
                return self._read_stream(reply, started)
            return self._read_whole(_object(reply.read()), started)
        except urllib3.exceptions.HTTPError as error:
            return self._lost(error, started)

    def _read_whole(self, value: dict[str, Any], started: float) -> Answer:
        taken = self.timers.now() - started
        text = value["choices"][0]["message"].get("content") or ""
        return _with_usage(
            Answer("", "ran", taken, taken, [], text=text), value["usage"]
        )

    def _read_stream(
        self, reply: urllib3.BaseHTTPResponse, started: float
    ) -> Answer:
        parts: list[str] = []
        gaps: list[float] = []
        first = 0.0
        usage: dict[str, Any] = {}
        done = False
        last = started
        for event in events(reply):
            now = self.timers.now()
            if event == "[DONE]":
                done = True
                break
            value = json.loads(event)
            if "error" in value:
                return self._refused(value["error"], started)
            usage = value.get("usage") or usage
            content = value["choices"][0]["delta"].get("content")
            if not content:
                continue
            if parts:
                gaps.append(now - last)
            else:
                first = now - started
            last = now
            parts.append(content)
        reply.release_conn()
        total = self.timers.now() - started
        if not done:
            return Answer("cut_stream", "unknown", first, total, gaps)
        answer = Answer("", "ran", first, total, gaps, text="".join(parts))
        return _with_usage(answer, usage)

    def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        deadline: float,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        entry = self.entries[self.next_entry % len(self.entries)]
        self.next_entry += 1
        data = None if body is None else json.dumps(body).encode()
        return self.pool.request(
            method,
            f"http://{entry}{path}",
            body=data,
            headers={"Content-Type": "application/json", **headers},
            timeout=urllib3.Timeout(connect=_CONNECT_SECONDS, read=deadline),
            preload_content=not stream,
        )

    def _refused(self, value: dict[str, Any], started: float) -> Answer:
        taken = self.timers.now() - started
        return Answer(
            value.get("kind", ""),
            value.get("outcome", "ran"),
            taken,
            taken,
            [],
            retry_after=float(value.get("retry_after") or 0.0),
        )

    def _lost(self, error: Exception, started: float) -> Answer:
        taken = self.timers.now() - started
        return Answer(type(error).__name__, "unknown", taken, taken, [])


def bearer(key: str) -> dict[str, str]:
    """Returns the header fields that show a customer's key; none for none."""
    return {"Authorization": f"Bearer {key}"} if key else {}


def events(reply: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yields the data of each server-sent event."""
    buffer = b""
    for block in reply.stream(65536, decode_content=True):
        buffer += block
        *whole, buffer = buffer.split(b"\n\n")
        for event in whole:
            yield event.decode().removeprefix("data: ")


def _with_usage(answer: Answer, usage: dict[str, Any]) -> Answer:
    details = usage.get("prompt_tokens_details") or {}
    return answer._replace(
        prompt_tokens=usage.get("prompt_tokens", 0),
        completion_tokens=usage.get("completion_tokens", 0),
        cached_tokens=details.get("cached_tokens", 0),
    )


def _object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except ValueError:
        value = {"kind": "no_json", "outcome": "unknown"}
    return value
