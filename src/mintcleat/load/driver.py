"""Runs a schedule of programs against entries and records what is seen."""

from collections import Counter
from typing import NamedTuple

from hdrh import histogram

from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.ports import timers as timers_port

_MICROSECONDS = 1_000_000
_LONGEST = 3600 * _MICROSECONDS
_DIGITS = 3
_WORDS = ("combine", "belt", "noise", "field", "north", "harvest", "stops")


class Sample(NamedTuple):
    """One ended program, for plots."""

    kind: str
    due: float
    seconds: float
    ok: bool


class Record:
    """Histograms in microseconds, and counts, of one kind of program."""

    def __init__(self) -> None:
        self.program = _histogram()
        self.turn = _histogram()
        self.first = _histogram()
        self.gap = _histogram()
        self.outcomes: Counter[str] = Counter()
        self.programs = 0
        self.finished = 0
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self.completion_tokens = 0


class Driver:
    """Starts each program when it is due, whatever the others do."""

    def __init__(
        self,
        client: client_module.Client,
        timers: timers_port.Timers,
    ) -> None:
        self.client = client
        self.timers = timers
        self.measurements: dict[str, Record] = {}
        self.samples: list[Sample] = []
        self.started = 0.0
        self.running = 0

    def run(
        self, programs: list[arrivals.Program], drain_timeout: float
    ) -> None:
        """Runs the schedule and waits `drain_timeout` seconds for its end."""
        self.started = self.timers.now()
        for program in programs:
            wait = self.started + program.due - self.timers.now()
            if wait > 0:
                self.timers.sleep(wait)
            self.running += 1
            self.timers.spawn(self._run, program)
        limit = self.timers.now() + drain_timeout
        while self.running and self.timers.now() < limit:
            self.timers.sleep(0.05)

    def _run(self, program: arrivals.Program) -> None:
        record = self.measurements.setdefault(program.kind.name, Record())
        record.programs += 1
        try:
            ok = self._run_program(program, record)
        finally:
            self.running -= 1
        seconds = self.timers.now() - self.started - program.due
        if ok:
            record.finished += 1
            _add(record.program, seconds)
        name = program.kind.name
        self.samples.append(Sample(name, program.due, seconds, ok))

    def _run_program(self, program: arrivals.Program, record: Record) -> bool:
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
            record.outcomes[f"create:{answer.kind}"] += 1
            return False
        context = 0
        for number, turn in enumerate(program.turns, start=1):
            if turn.pause:
                self.timers.sleep(turn.pause)
            if turn.tool and not self._tool(program, name, turn, record):
                return False
            if turn.sub_agent:
                self._sub_agent(program, name, number, turn, record)
            answer = self._turn(program, name, number, turn)
            self._note(record, answer, context)
            if answer.kind:
                return False
            context = answer.prompt_tokens + answer.completion_tokens
        self.client.close(name, kind.key)
        return True

    def _turn(
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
            "messages": [{"role": "user", "content": _words(name, turn.words)}],
        }
        headers = {
            "Mintcleat-Program": name,
            "Mintcleat-Turn": str(number),
            "Mintcleat-Deadline": str(kind.deadline),
            **client_module.bearer(kind.key),
        }
        return self.client.chat(body, headers, kind.deadline)

    def _tool(
        self,
        program: arrivals.Program,
        name: str,
        turn: arrivals.Turn,
        record: Record,
    ) -> bool:
        path = f"/v1/services/{turn.tool.service}{turn.tool.path}"
        headers = {
            "Mintcleat-Program": name,
            **client_module.bearer(program.kind.key),
        }
        answer = self.client.tool(
            turn.tool.method, path, headers, program.kind.deadline
        )
        record.outcomes[f"tool:{answer.kind or 'ok'}"] += 1
        return not answer.kind

    def _sub_agent(
        self,
        program: arrivals.Program,
        parent: str,
        number: int,
        turn: arrivals.Turn,
        record: Record,
    ) -> None:
        child = {"id": f"sub{number}", "parent": parent}
        child["customer"] = program.kind.customer
        name, answer = self.client.create(child, program.kind.key)
        if answer.kind:
            record.outcomes[f"create:{answer.kind}"] += 1
            return
        self._note(record, self._turn(program, name, 1, turn), 0)

    def _note(
        self, record: Record, answer: client_module.Answer, context: int
    ) -> None:
        """Counts a turn; tokens known before but built again are wasted."""
        record.outcomes[f"turn:{answer.kind or 'ok'}"] += 1
        if answer.kind:
            return
        _add(record.turn, answer.total)
        _add(record.first, answer.first)
        for gap in answer.gaps:
            _add(record.gap, gap)
        record.prompt_tokens += answer.prompt_tokens
        record.completion_tokens += answer.completion_tokens
        record.wasted_tokens += max(0, context - answer.cached_tokens)


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, _LONGEST, _DIGITS)


def _add(target: histogram.HdrHistogram, seconds: float) -> None:
    target.record_value(max(1, int(seconds * _MICROSECONDS)))


def _words(name: str, count: int) -> str:
    words = [_WORDS[number % len(_WORDS)] for number in range(count)]
    return " ".join([name, *words])
