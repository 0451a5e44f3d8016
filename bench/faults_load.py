"""Steady load of programs with bookings, checked against the witness."""

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

_MAX_MICROSECONDS = 120_000_000
_TURNS = 3
_TOKENS = 8
_TRIES = 60
_PAUSE = 0.1
_WARM_SECONDS = 1.0
_MEMORY_SECONDS = 20.0


class Reply(NamedTuple):
    """What a caller got; status 0 when the connection broke."""

    status: int
    body: Any

    @property
    def outcome(self) -> str:
        """The outcome that a refusal tells."""
        return self.body.get("outcome", "") if self.body else ""


class Report:
    """What the callers of one run saw."""

    def __init__(self) -> None:
        self.strikes = 0
        self.calls = 0
        self.wrong = 0
        self.doubled = 0
        self.untrue = 0
        self.refused = 0
        self.unknown = 0
        self.resent = 0
        self.left = 0
        self.kinds: dict[str, int] = {}
        self.times = histogram.HdrHistogram(1, _MAX_MICROSECONDS, 3)

    def line(self, name: str) -> str:
        """Returns the run as a line of the table."""
        p50 = self.times.get_value_at_percentile(50) / 1000
        p99 = self.times.get_value_at_percentile(99) / 1000
        kinds = " ".join(f"{key}={n}" for key, n in sorted(self.kinds.items()))
        return (
            f"{name:<16}{self.strikes:>3}{self.calls:>6}{self.wrong:>6}"
            f"{self.doubled:>8}{self.untrue:>7}{self.refused:>8}"
            f"{self.unknown:>8}{self.resent:>7}{self.left:>6}"
            f"{p50:>8.0f}{p99:>8.0f}  {kinds}"
        )


class Load:
    """Callers that run one program after another."""

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
        """Runs one program: turns with a booking after each."""
        program = f"p{uuid.uuid4().hex[:12]}"
        body = {"id": program, "agent": "triage"}
        self.call("POST", "/v1/programs", body, {}, lambda: 0)
        asked: list[str] = []
        for turn in range(1, _TURNS + 1):
            if not self.turn(program, turn, asked):
                break
            self.book(program, turn)
        self.call("DELETE", f"/v1/programs/{program}", None, {}, lambda: 0)

    def turn(self, program: str, turn: int, asked: list[str]) -> bool:
        """Runs one turn; tells whether it was answered."""
        message = {"role": "user", "content": f"{program} says {turn}"}
        headers = {
            "Mintcleat-Program": program,
            "Mintcleat-Turn": str(turn),
            "Idempotency-Key": f"{program}-{turn}",
        }
        body = {"max_tokens": _TOKENS, "messages": [message]}
        reply = self.call("POST", "/v1/chat/completions", body, headers, None)
        if reply.status != 200:
            return False
        text = reply.body["choices"][0]["message"]["content"]
        prompts = [
            run.messages
            for one in self.system.engines()
            for run in one.runs
            if run.program == program and len(run.messages) == 2 * turn - 1
        ]
        right = ["".join(batch.answer_tokens(p, _TOKENS)) for p in prompts]
        said = [json.loads(p[-1])["content"] for p in prompts]
        own = all(one == message["content"] for one in said)
        if not own or text not in right:
            self.report.wrong += 1
        return True

    def book(self, program: str, turn: int) -> None:
        """Sends one booking, which must not run twice."""
        key = f"{program}-book-{turn}"
        path = "/v1/services/dispatch/book"

        def runs() -> int:
            services = self.system.services()
            return sum(one.runs[key, "/book"] for one in services)

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
        """Sends a call again until it is final, as a caller would.

        Args:
            method: HTTP method.
            path: Path at the entry.
            body: JSON value, or None.
            headers: Extra headers.
            runs: Returns how often it ran; None for a call that may repeat.
        """
        started = time.monotonic()
        self.report.calls += 1
        reply = Reply(0, None)
        for number in range(_TRIES):
            self.report.resent += number > 0
            reply = self.send(method, path, body, headers)
            if 200 <= reply.status < 300:
                break
            if reply.outcome == "not_run" and runs and runs():
                self.report.untrue += 1
            if reply.outcome == "unknown" and runs:
                break
            eventlet.sleep(_PAUSE)
        self.count_end(reply)
        spent = int((time.monotonic() - started) * 1e6)
        self.report.times.record_value(spent)
        return reply

    def count_end(self, reply: Reply) -> None:
        """Counts a call that got no answer."""
        if 200 <= reply.status < 300:
            return
        kind = (reply.body or {}).get("kind", str(reply.status))
        self.report.kinds[kind] = self.report.kinds.get(kind, 0) + 1
        if reply.outcome == "unknown":
            self.report.unknown += 1
        else:
            self.report.refused += 1

    def send(
        self, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> Reply:
        """Sends one request to one entry after another."""
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
    """Runs steady load with the fault about once a second."""
    load = Load(system)
    threads = [eventlet.spawn(load.caller) for _ in range(callers)]
    eventlet.sleep(_WARM_SECONDS)
    # First dials and elections are no part of the steady load.
    load.report.times.reset()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        eventlet.sleep(1.0)
        if fault != "none":
            system.strike(fault)
            load.report.strikes += 1
    load.stopped = True
    for thread in threads:
        thread.wait()
    load.report.left = memory_left(system)
    return load.report


def memory_left(system: faults_system.FaultSystem) -> int:
    """Returns the tokens that the engines still hold after a while."""
    until = time.monotonic() + _MEMORY_SECONDS
    held = 1
    while held and time.monotonic() < until:
        held = sum(one.cache.used_tokens for one in system.engines())
        eventlet.sleep(0.2)
    return held


def crashing(
    system: faults_system.FaultSystem, sends: int, callers: int
) -> str:
    """Sends one crashing request again and again beside innocent load."""
    for one in system.engines():
        one.crash_on = "poison"
        one.restart_after = 1.0
    load = Load(system)
    threads = [eventlet.spawn(load.caller) for _ in range(callers)]
    eventlet.sleep(1.0)
    body = {
        "model": "triage",
        "max_tokens": _TOKENS,
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
    lost = sum(one.crashes for one in system.engines())
    return (
        f"{sends} sends of one crashing request: {lost} engines lost,"
        f" answers {ends}; beside it:\n{load.report.line('innocent')}"
    )
