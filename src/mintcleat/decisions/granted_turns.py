"""The turns of a service that count as running.

A granted turn counts from its grant to its CloseTurn. Three things would keep
slots idle that engines have free:

- A CloseTurn that is late. Entries name the turns that they have ended with
  every turn that they ask for, so a turn stops counting with the first message
  that arrives after its end. A number of running turns would not do: a turn
  whose grant is on its way is not yet among those that its entry runs, and with
  several groups it includes turns that other leaders granted.
- An entry that freezes. Its turns end at the engines, but nothing is heard of
  them. They stop counting after some multiple of the time that turns take. If
  the entry is heard from again, its report says what it still runs.
- An entry that is lost. Each turn ends with its timeout at the latest.

A turn that doesn't count any more is kept until its CloseTurn or its timeout,
so that it is never granted twice and its tokens are measured.

All operations take at most logarithmic time in the number of turns.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import leader_pauses
from mintcleat.decisions import reported_turns
from mintcleat.decisions import turn_queue

# Turns of an entry that was silent for this many times the average time of a
# turn stop counting. If times vary exponentially, 0.05 of the turns take
# longer, which is the part of the capacity that is kept free.
SILENT_TURN_TIMES = 3.0
# An entry is not silent before this time, which allows for one that is busy, as
# it does for waiting turns. It follows that the time is also longer than that
# between two asks of a waiting turn.
MIN_SILENT_SECONDS = turn_queue.LOST_SECONDS


class RunningTurn(NamedTuple):
    """A granted turn.

    Attributes:
        ask: The turn as it first asked.
        at: When it was granted.
        level: Running turns at that time, itself included.
        expires: When it is released if it was not closed.
    """

    ask: turn_queue.Ask
    at: float
    level: int
    expires: float


class EndedTurn(NamedTuple):
    """A granted turn that has ended.

    Attributes:
        turn: The turn.
        at: When the leader learned that it ended, or found its entry silent.
        counted: Whether it counted as running until its CloseTurn.
        silent: Whether its entry was silent; `at` says nothing about the time
            that it took.
        reported: Whether its entry named it as ended.
    """

    turn: RunningTurn
    at: float
    counted: bool = False
    silent: bool = False
    reported: bool = False


class GrantedTurns:
    """Granted turns of one service.

    Attributes:
        pauses: Times in which the leader heard from no entry.
        granted: Turns that count as running, by key.
        uncounted: Turns that have ended by a report of their entry, or whose
            entry is silent, and whose CloseTurn has not arrived.
        reports: Turns that entries report beyond the granted ones.
        heard: When each entry with granted turns was last heard from; the
            oldest first.
        expired: Number of turns released by their timeout.
        silenced: Number of turns that stopped counting since their entry was
            silent.
        silent_entries: The same by entry, since `take_silent_entries`.
    """

    def __init__(self, pauses: leader_pauses.LeaderPauses) -> None:
        self.pauses = pauses
        self.granted: dict[turn_queue.TurnKey, RunningTurn] = {}
        self.uncounted: dict[turn_queue.TurnKey, EndedTurn] = {}
        self.reports = reported_turns.EntryReports()
        self.heard: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.expired = 0
        self.silenced = 0
        self.silent_entries: collections.Counter[str] = collections.Counter()
        self._by_entry: dict[str, dict[turn_queue.TurnKey, None]] = {}
        self._expiries: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )

    def count(self) -> int:
        """Returns the number of running turns, as far as they are known."""
        return len(self.granted) + self.reports.total

    def hear(self, entry: str, now: float) -> None:
        """Records that a message of an entry arrived."""
        if entry in self.heard:
            self.heard[entry] = now
            self.heard.move_to_end(entry)

    def report(self, entry: str, running: int, now: float) -> None:
        """Replaces the report of an entry: the turns that it runs."""
        self.reports.report(entry, running, now)

    def report_ended(
        self, entry: str, keys: Iterable[turn_queue.TurnKey], now: float
    ) -> None:
        """Stops counting turns that their entry has ended."""
        for key in keys:
            turn = self.granted.get(key)
            if turn is not None and turn.ask.entry == entry:
                self._stop_counting(EndedTurn(turn, now, reported=True))
                continue
            ended = self.uncounted.get(key)
            if ended is not None and ended.turn.ask.entry == entry:
                self.uncounted[key] = ended._replace(reported=True)

    def grant(self, ask: turn_queue.Ask, now: float) -> None:
        """Adds a turn."""
        turn = RunningTurn(ask, now, self.count() + 1, now + ask.demand.timeout)
        self._expiries.add((turn.expires, ask.key))
        self._start_counting(turn, now)

    def grant_again(self, ask: turn_queue.Ask, now: float) -> bool:
        """Returns whether a turn is granted already.

        It counts as running again: its entry, which asks for it, has not yet
        run it.
        """
        if ask.key in self.granted:
            return True
        ended = self.uncounted.pop(ask.key, None)
        if ended is None:
            return False
        self._start_counting(ended.turn, now)
        return True

    def close(self, key: turn_queue.TurnKey, now: float) -> EndedTurn | None:
        """Removes a turn; returns it, or None if it was not granted."""
        turn = self.granted.get(key)
        if turn is not None:
            ended = EndedTurn(turn, now, counted=True)
            self._remove_counted(key)
        elif key in self.uncounted:
            ended = self.uncounted.pop(key)
        else:
            return None
        self._expiries.remove((ended.turn.expires, key))
        if not ended.reported:
            # The entry's last report may still count it. One that names a turn
            # as ended leaves it out already.
            self.reports.remove_from_report(ended.turn.ask.entry)
        return ended

    def expire(self, now: float, limit: float) -> list[EndedTurn]:
        """Removes turns whose timeout has passed.

        Args:
            now: The current time in seconds.
            limit: Maximum number of turns to remove.

        Returns:
            The removed turns.
        """
        self.reports.expire(now, self.pauses)
        removed: list[EndedTurn] = []
        while self._expiries and len(removed) < limit:
            expires, key = self._expiries[0]
            if expires > now:
                break
            ended = self.close(key, now)
            assert ended is not None
            self.expired += ended.counted
            removed.append(ended)
        return removed

    def drop_silent(self, now: float, seconds: float, limit: float) -> None:
        """Stops counting the turns of entries that are silent.

        Args:
            now: The current time in seconds.
            seconds: Time without any message after which an entry is silent.
            limit: Maximum number of turns that stop counting.
        """
        dropped = 0
        while self.heard and dropped < limit:
            entry, heard = next(iter(self.heard.items()))
            if self.pauses.awake(heard, now) <= seconds:
                return
            self.reports.forget(entry)
            key = next(iter(self._by_entry[entry]))
            self._stop_counting(EndedTurn(self.granted[key], now, silent=True))
            self.silenced += 1
            self.silent_entries[entry] += 1
            dropped += 1

    def take_silent_entries(self) -> dict[str, int]:
        """Returns the turns that stopped counting by entry since last time."""
        taken = dict(self.silent_entries)
        self.silent_entries.clear()
        return taken

    def _start_counting(self, turn: RunningTurn, now: float) -> None:
        key, entry = turn.ask.key, turn.ask.entry
        self.granted[key] = turn
        self._by_entry.setdefault(entry, {})[key] = None
        self.heard[entry] = now
        self.heard.move_to_end(entry)
        self.reports.started(entry)

    def _stop_counting(self, ended: EndedTurn) -> None:
        key = ended.turn.ask.key
        self._remove_counted(key)
        self.uncounted[key] = ended

    def _remove_counted(self, key: turn_queue.TurnKey) -> None:
        entry = self.granted.pop(key).ask.entry
        keys = self._by_entry[entry]
        del keys[key]
        if not keys:
            del self._by_entry[entry]
            del self.heard[entry]
        self.reports.ended(entry)
