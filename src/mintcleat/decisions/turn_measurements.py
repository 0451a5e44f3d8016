"""What the ended turns of a service tell of its speed and its programs.

Turns that ended while the leader heard nothing are reported late and would seem
slow; they are left out.

Handles several thousand ended turns a second: each takes a few microseconds,
and what follows from all kinds of programs is computed a few times a second.
"""

import math

from mintcleat.decisions import granted_turns
from mintcleat.decisions import moving_average
from mintcleat.decisions import program_times
from mintcleat.decisions import turn_pace
from mintcleat.decisions import turn_queue

# Part of a target that expected durations may take; programs vary.
TARGET_FRACTION = 0.9
# Average delay of programs from which on turns count as too slow. While
# programs end in time, fewer running turns would only finish less: engines
# finish more turns in a full batch, though each takes longer.
_LATE_DELAY = 0.8
# Closed turns from which on the speed of the service counts as known. Nothing
# is predicted, and so nothing refused by prediction, before.
_MIN_CLOSED_TURNS = 16
# With at least this many turns running, messages arrive many times within the
# duration of a turn. If none does for that time, and for at least the second
# constant, this leader was cut off.
_SILENT_TURNS = 8
_MIN_SILENCE_SECONDS = 0.1
# Work of a turn in units: a generated token counts 1. Engines process prompt
# tokens about two orders of magnitude faster than they generate.
_UNITS_PER_PROMPT_TOKEN = 0.01
# Constant part of a turn's time, in units: placement, first token, commits.
_TURN_UNITS = 4.0
# Time between two updates of what is derived from the programs of each kind.
_REFRESH_SECONDS = 0.25


class TurnMeasurements:
    """Speed of one service and durations of its programs.

    Attributes:
        pace: Limit by the time that turns take.
        times: Durations of programs.
        turn_seconds: Moving average of the time of a turn.
        closed: Closed turns that have run.
        delay: Moving average of the ratio by which programs are behind their
            targets; see `program_times.ProgramTimes.delay`.
    """

    def __init__(self) -> None:
        self.pace = turn_pace.PaceLimit()
        self.times = program_times.ProgramTimes()
        self.turn_seconds = 0.0
        self.closed = 0
        self.delay = 0.0
        # Allowed seconds per unit of work; inf while programs end in time.
        self._allowed_seconds = math.inf
        # Mean number of turns of a program, by known kinds.
        self._mean_turns: dict[str, float] = {}
        self._refresh_at = -math.inf
        self._silent_until = -math.inf

    def known(self) -> bool:
        """Returns whether the speed of the service is known."""
        return self.closed >= _MIN_CLOSED_TURNS

    def shared_work(self, ask: turn_queue.Ask) -> float:
        """Returns the tokens that a turn counts for in its customer's share.

        A first turn counts for its whole program, so that a customer that
        begins many programs is recognized before their later turns arrive.
        """
        turns = self._mean_turns.get(kind_of(ask))
        if turns is None:
            return float(ask.demand.tokens)
        return ask.demand.tokens * turns if ask.first else 0.0

    def expected(
        self, ask: turn_queue.Ask, target: float
    ) -> program_times.Expected:
        """Returns the expected duration of a new program at present."""
        return self.times.expected(kind_of(ask), target, self.pace.pace)

    def silence(self, running: int, seconds: float, now: float) -> None:
        """Takes the time for which no message has arrived.

        Args:
            running: Running turns.
            seconds: Time from the last message to this one.
            now: The current time in seconds.
        """
        if running >= _SILENT_TURNS and seconds > max(
            self.turn_seconds, _MIN_SILENCE_SECONDS
        ):
            self._silent_until = now

    def granted(self, ask: turn_queue.Ask, now: float) -> None:
        """Records that a turn begins."""
        self.times.opened(
            program_key(ask),
            kind_of(ask),
            ask.first,
            ask.demand.finish_within,
            now,
        )

    def ended(
        self,
        ended: granted_turns.EndedTurn,
        tokens: int,
        ran: bool,
        capacity: float,
        now: float,
    ) -> None:
        """Measures a turn that was closed, or whose timeout has passed.

        Args:
            ended: The turn.
            tokens: Tokens that it generated.
            ran: Whether it ran; others say nothing about the speed.
            capacity: Bound on running turns by slots and memory.
            now: The current time in seconds.
        """
        ask = ended.turn.ask
        units = 0.0
        if ran:
            units = tokens + ask.prompt * _UNITS_PER_PROMPT_TOKEN + _TURN_UNITS
            self._observe_turn(ended, units, capacity, now)
        self.times.closed(program_key(ask), units, now)
        delay = self.times.delay(program_key(ask), now)
        if delay is not None:
            self.delay = moving_average.update(self.delay, delay)

    def _observe_turn(
        self,
        ended: granted_turns.EndedTurn,
        units: float,
        capacity: float,
        now: float,
    ) -> None:
        turn = ended.turn
        if ended.silent or turn.at < self._silent_until:
            return
        seconds = ended.at - turn.at
        self.closed += 1
        self.turn_seconds = moving_average.update(self.turn_seconds, seconds)
        if now >= self._refresh_at:
            self._refresh_at = now + _REFRESH_SECONDS
            self._allowed_seconds = self._pace_to_hold()
            self._mean_turns = self._mean_turns_by_kind()
        self.pace.observe(
            seconds, units, turn.level, capacity, self._allowed_seconds, now
        )

    def _pace_to_hold(self) -> float:
        """Returns the pace above which running turns are reduced.

        Returns:
            Seconds per unit of work; inf while programs end in time, or if
            full batches alone would not make them late.
        """
        if self.delay <= _LATE_DELAY:
            return math.inf
        allowed = self._allowed_pace()
        return allowed if self.pace.at_capacity() > allowed else math.inf

    def _mean_turns_by_kind(self) -> dict[str, float]:
        """Returns the mean number of turns of programs, by known kinds."""
        found = {
            kind: self.times.expected(kind, 0.0, self.pace.pace)
            for kind in self.times.kinds
        }
        return {kind: one.turns for kind, one in found.items() if one.known}

    def _allowed_pace(self) -> float:
        """Returns the pace at which programs of all kinds end in time.

        Returns:
            Seconds per unit of work; 0 if it isn't known.
        """
        paces = [
            self.times.allowed_pace(kind, TARGET_FRACTION)
            for kind in self.times.kinds
        ]
        return min(filter(None, paces), default=0.0)


def kind_of(ask: turn_queue.Ask) -> str:
    """Returns the kind of the turn's program: its route and priority."""
    return f"{ask.demand.kind}/{ask.demand.priority}"


def program_key(ask: turn_queue.Ask) -> str:
    """Returns the id of the turn's program, unique for all customers."""
    return f"{ask.key.customer}/{ask.program}"
