"""Steady load of programs with bookings, checked against what really ran."""

import json
import time
from typing import Any
from typing import NamedTuple
import uuid

import eventlet
from hdrh import histogram
import urllib3

from bench import faults_system
from mintcleat.standins import batch

# Upper end of the latency histogram.
_MAX_MICROSECONDS = 120_000_000
_TURNS_PER_PROGRAM = 3
_MAX_TOKENS = 8
_MAX_ATTEMPTS = 60
_RETRY_SECONDS = 0.1
_WARMUP_SECONDS = 1.0
_RELEASE_TIMEOUT_SECONDS = 20.0


class Reply(NamedTuple):
    """Response to one request; status 0 if the connection broke."""

    status: int
    body: Any

    @property
    def outcome(self) -> str:
        """Outcome that a refusal states, such as `not_run`; else empty."""
        return self.body.get("outcome", "") if self.body else ""


class Report:
    """Counts and latencies of one run; see `faults.run` for the columns."""

    def __init__(self) -> None:
        self.injections = 0
        self.calls = 0
        self.wrong = 0
        self.doubled = 0
        self.untrue = 0
        self.refused = 0
        self.unknown = 0
        self.resent = 0
        self.leftover_tokens = 0
        self.refusal_kinds: dict[str, int] = {}
        self.latencies = histogram.HdrHistogram(1, _MAX_MICROSECONDS, 3)

    def line(self, name: str) -> str:
        """Returns the run as a line of the table."""
        p50 = self.latencies.get_value_at_percentile(50) / 1000
        p99 = self.latencies.get_value_at_percentile(99) / 1000
        refusal_kinds = " ".join(
            f"{key}={n}" for key, n in sorted(self.refusal_kinds.items())
        )
        return (
            f"{name:<16}{self.injections:>3}{self.calls:>6}{self.wrong:>6}"
            f"{self.doubled:>8}{self.untrue:>7}{self.refused:>8}"
            f"{self.unknown:>8}{self.resent:>7}{self.leftover_tokens:>6}"
            f"{p50:>8.0f}{p99:>8.0f}  {refusal_kinds}"
        )


class Load:
    """Callers that run one program after another, until `stopped`."""

    def __init__(self, system: faults_system.FaultSystem) -> None:
        self.system = system
        self.report = Report()
        self.pool = urllib3.PoolManager(maxsize=64, retries=False)
        self.stopped = False
        self.entry = 0

    def caller(self) -> None:
        """Runs programs until the load stops."""
        while not self.stopped:
            self.program()

    def program(self) -> None:
        """Runs one program, with a booking after each turn."""
        program = f"p{uuid.uuid4().hex[:12]}"
        body = {"id": program, "agent": "triage"}
        self.call("POST", "/v1/programs", body, {}, lambda: 0)
        asked: list[str] = []
        for turn in range(1, _TURNS_PER_PROGRAM + 1):
            if not self.turn(program, turn, asked):
                break
            self.book(program, turn)
        self.call("DELETE", f"/v1/programs/{program}", None, {}, lambda: 0)

    def turn(self, program: str, turn: int, asked: list[str]) -> bool:
        """Runs one turn and checks its answer; returns whether it was answered.

        The answer must be one that the engine gives to a prompt that it ran
        for this turn, and that prompt must end with the turn's message.
        """
        message = {"role": "user", "content": f"{program} says {turn}"}
        headers = {
            "Mintcleat-Program": program,
            "Mintcleat-Turn": str(turn),
            "Idempotency-Key": f"{program}-{turn}",
        }
        body = {"max_tokens": _MAX_TOKENS, "messages": [message]}
        reply = self.call("POST", "/v1/chat/completions", body, headers, None)
        if reply.status != 200:
            return False
        text = reply.body["choices"][0]["message"]["content"]
        prompts = [
            run.messages
            for engine in self.system.engines()
            for run in engine.runs
            if run.program == program and len(run.messages) == 2 * turn - 1
        ]
        expected = [
            "".join(batch.answer_tokens(p, _MAX_TOKENS)) for p in prompts
        ]
        contents = [json.loads(p[-1])["content"] for p in prompts]
        own_prompts = all(content == message["content"] for content in contents)
        if not own_prompts or text not in expected:
            self.report.wrong += 1
        return True

    def book(self, program: str, turn: int) -> None:
        """Sends one booking and counts whether it ran twice."""
        key = f"{program}-book-{turn}"
        path = "/v1/services/dispatch/book"

        def runs() -> int:
            services = self.system.services()
            return sum(service.runs[key, "/book"] for service in services)

        headers = {"Idempotency-Key": key, "Mintcleat-Program": program}
        reply = self.call("POST", path, {"part": key}, headers, runs)
        self.report.doubled += runs() > 1
        if reply.status == 200 and reply.body["key"] != key:
            self.report.wrong += 1

    def call(
        self,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str],
        runs: Any,
    ) -> Reply:
        """Sends a call, with retries, until its result is final.

        Args:
            method: HTTP method.
            path: Path at the entry.
            body: JSON value, or None.
            headers: Extra headers.
            runs: Returns how often the call ran; None for a call that may run
                more than once.
        """
        started = time.monotonic()
        self.report.calls += 1
        reply = Reply(0, None)
        for number in range(_MAX_ATTEMPTS):
            self.report.resent += number > 0
            reply = self.send(method, path, body, headers)
            if 200 <= reply.status < 300:
                break
            if reply.outcome == "not_run" and runs and runs():
                self.report.untrue += 1
            if reply.outcome == "unknown" and runs:
                break
            eventlet.sleep(_RETRY_SECONDS)
        self.count_result(reply)
        microseconds = int((time.monotonic() - started) * 1e6)
        self.report.latencies.record_value(microseconds)
        return reply

    def count_result(self, reply: Reply) -> None:
        """Counts the last response to a call, if it is no answer."""
        if 200 <= reply.status < 300:
            return
        kind = (reply.body or {}).get("kind", str(reply.status))
        self.report.refusal_kinds[kind] = (
            self.report.refusal_kinds.get(kind, 0) + 1
        )
        if reply.outcome == "unknown":
            self.report.unknown += 1
        else:
            self.report.refused += 1

    def send(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> Reply:
        """Sends one request; entries are chosen in turn."""
        self.entry += 1
        addresses = self.system.http()
        address = addresses[self.entry % len(addresses)]
        try:
            reply = self.pool.request(
                method,
                f"http://{address}{path}",
                body=json.dumps(body).encode(),
                headers={**headers, "Mintcleat-Deadline": "10"},
                timeout=15.0,
            )
        except urllib3.exceptions.HTTPError:
            return Reply(0, None)
        return Reply(reply.status, faults_system.parse(reply.data))


def run(
    system: faults_system.FaultSystem, fault: str, seconds: float, callers: int
) -> Report:
    """Runs the load, and injects the fault about once a second.

    Args:
        system: The running system.
        fault: One of `faults_system.FAULTS`.
        seconds: Duration of the load after the warm-up.
        callers: Programs that run at a time.
    """
    load = Load(system)
    threads = [eventlet.spawn(load.caller) for _ in range(callers)]
    eventlet.sleep(_WARMUP_SECONDS)
    # The first connections and elections are no part of steady load.
    load.report.latencies.reset()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        eventlet.sleep(1.0)
        if fault != "none":
            system.inject(fault)
            load.report.injections += 1
    load.stopped = True
    for thread in threads:
        thread.wait()
    load.report.leftover_tokens = wait_for_release(system)
    return load.report


def wait_for_release(system: faults_system.FaultSystem) -> int:
    """Returns the tokens that the engines hold, 0 once all are released.

    Waits up to `_RELEASE_TIMEOUT_SECONDS` for the release.
    """
    until = time.monotonic() + _RELEASE_TIMEOUT_SECONDS
    held = 1
    while held and time.monotonic() < until:
        held = sum(engine.cache.used_tokens for engine in system.engines())
        eventlet.sleep(0.2)
    return held


def crashing(
    system: faults_system.FaultSystem, sends: int, callers: int
) -> str:
    """Sends a request that crashes its engine repeatedly during other load.

    Returns:
        Lines with the number of lost engines, the answers to that request, and
        the report of the other callers.
    """
    for engine in system.engines():
        engine.crash_on = "poison"
        engine.restart_after = 1.0
    load = Load(system)
    threads = [eventlet.spawn(load.caller) for _ in range(callers)]
    eventlet.sleep(1.0)
    body = {
        "model": "triage",
        "max_tokens": _MAX_TOKENS,
        "messages": [{"role": "user", "content": "poison"}],
    }
    ends: dict[str, int] = {}
    for _ in range(sends):
        reply = load.send("POST", "/v1/chat/completions", body, {})
        kind = (reply.body or {}).get("kind", str(reply.status))
        ends[kind] = ends.get(kind, 0) + 1
        eventlet.sleep(0.3)
    load.stopped = True
    for thread in threads:
        thread.wait()
    lost = sum(engine.crashes for engine in system.engines())
    return (
        f"{sends} sends of one crashing request: {lost} engines lost,"
        f" answers {ends}; beside it:\n{load.report.line('innocent')}"
    )
