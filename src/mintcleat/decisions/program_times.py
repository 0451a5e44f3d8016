"""Expected durations of programs, by kind.

Whether a new program can end in time depends on how many turns programs of its
kind take, on the pauses between them, and on the current pace of turns. Nothing
announces the end of a program: it counts as ended when no turn of it has run
for `IDLE_SECONDS`.

A sample of `MAX_PROGRAMS` programs is followed, so that the size is constant
for any number of programs.
"""

import collections
from typing import NamedTuple

from mintcleat.decisions import remaining_work

MAX_PROGRAMS = 512
# Longer than pauses between the turns of a program. A program that pauses for
# longer counts as two.
IDLE_SECONDS = 3.0
MAX_KINDS = 64
# First attempts that are remembered, and for how long: some retries of a
# refused caller.
MAX_ATTEMPTS = 4096
ATTEMPT_SECONDS = 10.0
# Weight of a new sample in the moving averages.
_SMOOTHING = 1 / 16
# Bounds of the factor by which the target of a program adjusts its duration.
_MAX_SCALE = 4.0


class SampledProgram:
    """A program that is followed.

    Attributes:
        kind: Its kind.
        turns: Closed turns.
        units: Work of the closed turns.
        running: Turns that are open.
        seen: When its last turn was opened or closed.
    """

    def __init__(self, kind: str, now: float) -> None:
        self.kind = kind
        self.turns = 0
        self.units = 0.0
        self.running = 0
        self.seen = now


class KindTimes:
    """Moving averages of the programs of one kind.

    Attributes:
        units: Work of a turn.
        pause: Seconds between two turns.
        target: Target duration of programs in seconds; 0 for none.
    """

    def __init__(self) -> None:
        self.units = 0.0
        self.pause = 0.0
        self.target = 0.0


class Expected(NamedTuple):
    """Expected duration of a program.

    Attributes:
        seconds: Seconds in total.
        turns: Number of turns; 1 if unknown.
        known: False if too few programs of the kind have ended.
    """

    seconds: float
    turns: float
    known: bool


class Attempt(NamedTuple):
    """The first attempt to begin a program.

    Attributes:
        at: When it was sent.
        target: Target duration of the program; 0 for none.
    """

    at: float
    target: float


class FirstAttempts:
    """When programs that could not begin at once were first sent.

    A caller that was refused tries again with a new request, and the time that
    has passed counts against the target of its program.

    Attributes:
        attempts: First attempt by program, the oldest first.
    """

    def __init__(self) -> None:
        self.attempts: collections.OrderedDict[str, Attempt] = (
            collections.OrderedDict()
        )

    def of(self, program: str, attempt: Attempt, now: float) -> Attempt:
        """Returns the first attempt of a program; the given one if none."""
        while self.attempts:
            oldest, first = next(iter(self.attempts.items()))
            if (
                now - first.at < ATTEMPT_SECONDS
                and len(self.attempts) < MAX_ATTEMPTS
            ):
                break
            del self.attempts[oldest]
        return self.attempts.setdefault(program, attempt)


class ProgramTimes:
    """Learns the durations of the programs of one service.

    Attributes:
        kinds: Averages by kind.
        programs: The sampled programs, the least recently seen first.
        estimator: Number of turns of ended programs by kind.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, KindTimes] = {}
        self.programs: collections.OrderedDict[str, SampledProgram] = (
            collections.OrderedDict()
        )
        self.estimator = remaining_work.Estimator()

    def opened(
        self, program: str, kind: str, first: bool, target: float, now: float
    ) -> None:
        """Records that a turn was granted.

        Args:
            program: Id of the program, unique with its customer.
            kind: Kind of the program.
            first: Whether this is the first turn of the program.
            target: Target duration of the program; 0 for none.
            now: The current time in seconds.
        """
        self._drop_ended(now)
        if kind not in self.kinds:
            if len(self.kinds) >= MAX_KINDS:
                return
            self.kinds[kind] = KindTimes()
        times = self.kinds[kind]
        if first and target > 0:
            times.target = _moved(times.target, target)
        sampled = self.programs.get(program)
        if sampled is None:
            if not first or len(self.programs) >= MAX_PROGRAMS:
                return
            sampled = self.programs[program] = SampledProgram(kind, now)
        elif not sampled.running:
            times.pause = _moved(times.pause, now - sampled.seen)
        sampled.running += 1
        self._see(program, sampled, now)

    def closed(self, program: str, units: float, now: float) -> None:
        """Records that a turn ended; `units` is 0 if it did not run."""
        sampled = self.programs.get(program)
        if sampled is None:
            return
        sampled.running = max(0, sampled.running - 1)
        if units:
            times = self.kinds[sampled.kind]
            times.units = _moved(times.units, units)
            sampled.turns += 1
            sampled.units += units
        self._see(program, sampled, now)

    def expected(self, kind: str, target: float, pace: float) -> Expected:
        """Returns the expected duration of a new program.

        Args:
            kind: Kind of the program.
            target: Its target duration, by which long programs are told from
                short ones of the same kind; 0 for none.
            pace: Seconds per unit of work.
        """
        times = self.kinds.get(kind)
        remaining = self.estimator.remaining(kind, 0)
        if times is None or not remaining.known:
            return Expected(0.0, 1.0, False)
        turns = max(1.0, remaining.turns)
        seconds = turns * times.units * pace + (turns - 1) * times.pause
        if target > 0 and times.target > 0:
            scale = min(_MAX_SCALE, max(1 / _MAX_SCALE, target / times.target))
            turns = max(1.0, turns * scale)
            seconds *= scale
        return Expected(seconds, turns, True)

    def allowed_pace(self, kind: str, fraction: float) -> float:
        """Returns the pace at which programs of a kind end just in time.

        Args:
            kind: Kind of the programs.
            fraction: Fraction of the target in which they must end.

        Returns:
            Seconds per unit of work; 0 if it isn't known.
        """
        times = self.kinds.get(kind)
        remaining = self.estimator.remaining(kind, 0)
        if times is None or not remaining.known or not times.target:
            return 0.0
        turns = max(1.0, remaining.turns)
        left = times.target * fraction - (turns - 1) * times.pause
        return max(0.0, left) / (turns * max(times.units, 1.0))

    def _see(self, program: str, sampled: SampledProgram, now: float) -> None:
        sampled.seen = now
        self.programs.move_to_end(program)

    def _drop_ended(self, now: float) -> None:
        while self.programs:
            program, sampled = next(iter(self.programs.items()))
            if now - sampled.seen < IDLE_SECONDS:
                return
            del self.programs[program]
            # A turn that was not closed for so long was lost with its entry.
            if sampled.turns and not sampled.running:
                self.estimator.finished(
                    sampled.kind, int(sampled.units), sampled.turns
                )


def _moved(mean: float, sample: float) -> float:
    return sample if not mean else mean + (sample - mean) * _SMOOTHING
