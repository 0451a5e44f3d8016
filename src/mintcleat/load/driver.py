"""Runs a schedule of programs against entries and measures them."""

from collections import Counter
from typing import NamedTuple

from hdrh import histogram

from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.ports import timers as timers_port

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_MICROSECONDS = 3600 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 3
_POLL_SECONDS = 0.05
_WORDS = ("combine", "belt", "noise", "field", "north", "harvest", "stops")


class Sample(NamedTuple):
    """One program that has ended, for plots.

    Attributes:
        kind: Name of its kind.
        due: Seconds from the start of the run at which it was due.
        seconds: Time from then to its end.
        ok: Whether all its turns and tool calls succeeded.
    """

    kind: str
    due: float
    seconds: float
    ok: bool


class Measurements:
    """Measurements of one kind of program; histograms in microseconds.

    Attributes:
        program: Time from when a program was due to its end, if successful.
        turn: Time of each successful turn.
        first_part: Time to the first part of each answer.
        gap: Time between the parts of each stream.
        outcomes: Number of results by request and error kind, such as
            `turn:ok` or `tool:overloaded`.
        programs: Number of programs started.
        finished: Number of successful programs.
        prompt_tokens: Prompt tokens of all turns.
        wasted_tokens: Tokens of earlier turns that an engine processed again
            because they were no longer in its cache.
        completion_tokens: Tokens of all answers.
    """

    def __init__(self) -> None:
        self.program = _histogram()
        self.turn = _histogram()
        self.first_part = _histogram()
        self.gap = _histogram()
        self.outcomes: Counter[str] = Counter()
        self.programs = 0
        self.finished = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self.completion_tokens = 0


class Driver:
    """Starts each program when it is due, without waiting for the others.

    Attributes:
        measurements: Measurements by name of the kind.
        samples: One for each program that has ended.
        started: Time at which the run started.
        running: Number of running programs.
    """

    def __init__(
        self,
        client: client_module.Client,
        timers: timers_port.Timers,
    ) -> None:
        self.client = client
        self.timers = timers
        self.measurements: dict[str, Measurements] = {}
        self.samples: list[Sample] = []
        self.started = 0.0
        self.running = 0

    def run(
        self, programs: list[arrivals.Program], drain_timeout: float
    ) -> None:
        """Runs a schedule.

        Returns when all programs have ended, or `drain_timeout` seconds after
        the last one was started.
        """
        self.started = self.timers.now()
        for program in programs:
            wait = self.started + program.due - self.timers.now()
            if wait > 0:
                self.timers.sleep(wait)
            self.running += 1
            self.timers.spawn(self._measure_program, program)
        drain_deadline = self.timers.now() + drain_timeout
        while self.running and self.timers.now() < drain_deadline:
            self.timers.sleep(_POLL_SECONDS)

    def _measure_program(self, program: arrivals.Program) -> None:
        measured = self.measurements.setdefault(
            program.kind.name, Measurements()
        )
        measured.programs += 1
        try:
            ok = self._run_program(program, measured)
        finally:
            self.running -= 1
        # Counted from the due time, so that a late start counts too.
        seconds = self.timers.now() - self.started - program.due
        if ok:
            measured.finished += 1
            _record_seconds(measured.program, seconds)
        name = program.kind.name
        self.samples.append(Sample(name, program.due, seconds, ok))

    def _run_program(
        self, program: arrivals.Program, measured: Measurements
    ) -> bool:
        kind = program.kind
        name, answer = self.client.create(
            {
                "customer": kind.customer,
                "agent": kind.agent,
                "class": kind.klass,
            },
            kind.key,
        )
        if answer.kind:
            measured.outcomes[f"create:{answer.kind}"] += 1
            return False
        context = 0
        for number, turn in enumerate(program.turns, start=1):
            if turn.pause:
                self.timers.sleep(turn.pause)
            if turn.tool and not self._call_tool(program, name, turn, measured):
                return False
            if turn.sub_agent:
                self._run_sub_agent(program, name, number, turn, measured)
            answer = self._run_turn(program, name, number, turn)
            self._add_turn(measured, answer, context)
            if answer.kind:
                return False
            context = answer.prompt_tokens + answer.completion_tokens
        self.client.close(name, kind.key)
        return True

    def _run_turn(
        self,
        program: arrivals.Program,
        name: str,
        number: int,
        turn: arrivals.Turn,
    ) -> client_module.Answer:
        kind = program.kind
        body = {
            "model": kind.model,
            "stream": kind.stream,
            "max_tokens": turn.max_tokens,
            "messages": [
                {"role": "user", "content": _message(name, turn.words)}
            ],
        }
        headers = {
            "Mintcleat-Program": name,
            "Mintcleat-Turn": str(number),
            "Mintcleat-Deadline": str(kind.deadline),
            **client_module.authorization(kind.key),
        }
        return self.client.chat(body, headers, kind.deadline)

    def _call_tool(
        self,
        program: arrivals.Program,
        name: str,
        turn: arrivals.Turn,
        measured: Measurements,
    ) -> bool:
        assert turn.tool is not None
        path = f"/v1/services/{turn.tool.service}{turn.tool.path}"
        headers = {
            "Mintcleat-Program": name,
            **client_module.authorization(program.kind.key),
        }
        answer = self.client.call_service(
            turn.tool.method, path, headers, program.kind.deadline
        )
        measured.outcomes[f"tool:{answer.kind or 'ok'}"] += 1
        return not answer.kind

    def _run_sub_agent(
        self,
        program: arrivals.Program,
        parent: str,
        number: int,
        turn: arrivals.Turn,
        measured: Measurements,
    ) -> None:
        child = {"id": f"sub{number}", "parent": parent}
        child["customer"] = program.kind.customer
        name, answer = self.client.create(child, program.kind.key)
        if answer.kind:
            measured.outcomes[f"create:{answer.kind}"] += 1
            return
        self._add_turn(measured, self._run_turn(program, name, 1, turn), 0)

    def _add_turn(
        self, measured: Measurements, answer: client_module.Answer, context: int
    ) -> None:
        """Adds a turn to the measurements.

        Args:
            measured: The measurements.
            answer: The result of the turn.
            context: Tokens that the previous turns had when they ended, all
                of which the engine could have kept in its cache.
        """
        measured.outcomes[f"turn:{answer.kind or 'ok'}"] += 1
        if answer.kind:
            return
        _record_seconds(measured.turn, answer.total_seconds)
        _record_seconds(measured.first_part, answer.first_seconds)
        for gap in answer.gaps:
            _record_seconds(measured.gap, gap)
        measured.prompt_tokens += answer.prompt_tokens
        measured.completion_tokens += answer.completion_tokens
        measured.wasted_tokens += max(0, context - answer.cached_tokens)


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)


def _record_seconds(target: histogram.HdrHistogram, seconds: float) -> None:
    target.record_value(max(1, int(seconds * _MICROSECONDS_PER_SECOND)))


def _message(name: str, count: int) -> str:
    words = [_WORDS[number % len(_WORDS)] for number in range(count)]
    return " ".join([name, *words])
