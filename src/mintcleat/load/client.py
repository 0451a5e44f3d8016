"""An HTTP client of the entries that measures each request."""

from collections.abc import Iterator
import json
from typing import Any
from typing import NamedTuple

import urllib3

from mintcleat.domain import answer_ends
from mintcleat.domain import server_sent_events
from mintcleat.ports import timers as timers_port

_CONNECT_SECONDS = 5.0
_PROGRAM_TIMEOUT_SECONDS = 30.0
_FIRST_ERROR_STATUS = 400


class Answer(NamedTuple):
    """The result of one request.

    Attributes:
        kind: Kind of the error; empty if the answer is complete.
        outcome: `ran`, `not_run` or `unknown`.
        first_seconds: Time to the first part of the answer.
        total_seconds: Time to its end.
        gaps: Seconds between the parts of a stream.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens that the engine had in its cache.
        completion_tokens: Tokens of the answer.
        text: Text of the answer.
        retry_after: Seconds to wait before a retry, as the error says.
    """

    kind: str
    outcome: str
    first_seconds: float
    total_seconds: float
    gaps: list[float]
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    text: str = ""
    retry_after: float = 0.0


class Client:
    """Sends requests to the entries in turn, as a load balancer does."""

    def __init__(
        self,
        entries: list[str],
        timers: timers_port.Timers,
        pool: urllib3.PoolManager,
    ) -> None:
        """Initializes a client.

        Args:
            entries: Their addresses.
            timers: Measure its requests.
            pool: Raises an error for an answer without a valid final status.
        """
        self.entries = entries
        self.timers = timers
        self.next_entry = 0
        self.pool = pool

    def create(self, body: dict[str, Any], key: str = "") -> tuple[str, Answer]:
        """Creates a program; returns its id, empty on error, and the result."""
        started = self.timers.now()
        try:
            response = self._send(
                "POST",
                "/v1/programs",
                body,
                authorization(key),
                _PROGRAM_TIMEOUT_SECONDS,
            )
            value = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return "", self._connection_error(error, started)
        if response.status >= _FIRST_ERROR_STATUS:
            return "", self._error_answer(value, started, response.status)
        seconds = self.timers.now() - started
        return value.get("id", ""), Answer("", "ran", seconds, seconds, [])

    def close(self, program: str, key: str = "") -> None:
        """Closes a program; errors are ignored, as they are not measured."""
        path = f"/v1/programs/{program}"
        try:
            self._send(
                "DELETE",
                path,
                None,
                authorization(key),
                _PROGRAM_TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return

    def call_service(
        self, method: str, path: str, headers: dict[str, str], deadline: float
    ) -> Answer:
        """Calls a plain service.

        `deadline` is the longest wait in seconds for data from the entry.
        """
        started = self.timers.now()
        try:
            response = self._send(method, path, None, headers, deadline)
        except urllib3.exceptions.HTTPError as error:
            return self._connection_error(error, started)
        if response.status >= _FIRST_ERROR_STATUS:
            value = _parse_object(response.data)
            return self._error_answer(value, started, response.status)
        seconds = self.timers.now() - started
        return Answer("", "ran", seconds, seconds, [])

    def chat(
        self, body: dict[str, Any], headers: dict[str, str], deadline: float
    ) -> Answer:
        """Sends a chat completion request, streamed or not.

        `deadline` is the longest wait in seconds for data from the entry.
        """
        started = self.timers.now()
        try:
            response = self._send(
                "POST",
                "/v1/chat/completions",
                body,
                headers,
                deadline,
                stream=True,
            )
            if response.status >= _FIRST_ERROR_STATUS:
                value = _parse_object(response.read())
                return self._error_answer(value, started, response.status)
            if body.get("stream"):
                return self._read_stream(response, started)
            return self._read_whole(_parse_object(response.read()), started)
        except urllib3.exceptions.HTTPError as error:
            return self._connection_error(error, started)

    def _read_whole(self, value: dict[str, Any], started: float) -> Answer:
        seconds = self.timers.now() - started
        text = value["choices"][0]["message"].get("content") or ""
        return _with_usage(
            Answer("", "ran", seconds, seconds, [], text=text), value["usage"]
        )

    def _read_stream(
        self, response: urllib3.BaseHTTPResponse, started: float
    ) -> Answer:
        parts: list[str] = []
        gaps: list[float] = []
        first_seconds = 0.0
        usage: dict[str, Any] = {}
        done = False
        last_part_at = started
        for event in read_events(response):
            now = self.timers.now()
            if event == "[DONE]":
                done = True
                break
            value = json.loads(event)
            if "error" in value:
                return self._error_answer(
                    value["error"], started, response.status
                )
            usage = value.get("usage") or usage
            content = value["choices"][0]["delta"].get("content")
            if not content:
                continue
            if parts:
                gaps.append(now - last_part_at)
            else:
                first_seconds = now - started
            last_part_at = now
            parts.append(content)
        response.release_conn()
        total_seconds = self.timers.now() - started
        if not done:
            return Answer(
                "cut_stream", "unknown", first_seconds, total_seconds, gaps
            )
        answer = Answer(
            "", "ran", first_seconds, total_seconds, gaps, text="".join(parts)
        )
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
        """Sends a request; returns its answer.

        Raises:
            urllib3.exceptions.HTTPError: The answer is incomplete.
        """
        entry = self.entries[self.next_entry % len(self.entries)]
        self.next_entry += 1
        data = None if body is None else json.dumps(body).encode()
        response = self.pool.request(
            method,
            f"http://{entry}{path}",
            body=data,
            headers={"Content-Type": "application/json", **headers},
            timeout=urllib3.Timeout(connect=_CONNECT_SECONDS, read=deadline),
            retries=False,
            preload_content=not stream,
        )
        if not answer_ends.states_end(response.status, response.headers):
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"Expected a length or chunks in the answer of {entry} with "
                f"status {response.status}, found neither."
            )
        return response

    def _error_answer(
        self, value: dict[str, Any], started: float, status: int
    ) -> Answer:
        seconds = self.timers.now() - started
        return Answer(
            # A service's own error states none.
            value.get("kind") or f"status_{status}",
            value.get("outcome", "ran"),
            seconds,
            seconds,
            [],
            retry_after=float(value.get("retry_after") or 0.0),
        )

    def _connection_error(self, error: Exception, started: float) -> Answer:
        seconds = self.timers.now() - started
        return Answer(type(error).__name__, "unknown", seconds, seconds, [])


def authorization(key: str) -> dict[str, str]:
    """Returns the Authorization header; none if the key is empty."""
    return {"Authorization": f"Bearer {key}"} if key else {}


def read_events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yields the data of each server-sent event in a response."""
    buffer = server_sent_events.EventBuffer()
    for chunk in response.stream(65536, decode_content=True):
        for event in buffer.feed(chunk):
            if event.data:
                yield event.data.decode()


def _with_usage(answer: Answer, usage: dict[str, Any]) -> Answer:
    details = usage.get("prompt_tokens_details") or {}
    return answer._replace(
        prompt_tokens=usage.get("prompt_tokens", 0),
        completion_tokens=usage.get("completion_tokens", 0),
        cached_tokens=details.get("cached_tokens", 0),
    )


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        value = json.loads(data)
    except ValueError:
        value = {"kind": "no_json", "outcome": "unknown"}
    return value
