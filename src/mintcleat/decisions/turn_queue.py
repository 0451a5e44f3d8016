"""The order of the turns that wait for a service.

More urgent turns come first: if the many turns of less urgent programs in
progress came before the first turns of urgent programs, the urgent programs
would be the ones that end late. Among turns of one priority, those of programs
in progress come first, as delaying them wastes the work done for their
programs. A turn in progress yields to more urgent ones for a part of its
program's remaining time only, so that less urgent programs that have begun end
in time as well. First turns of customers over their share come last of all.

Within a rank, the customer that has received the least work relative to its
weight comes first.

Every operation takes logarithmic time in the number of waiting turns.
"""

import collections
from typing import NamedTuple

import sortedcontainers

from mintcleat.decisions import admission
from mintcleat.decisions import leader_pauses
from mintcleat.domain import program_messages

# Stages of a program; among turns of one priority, lower ones come first.
IN_PROGRESS = 0
FIRST = 1
# Part of the time that remains to a program's target for which its next turn
# yields to more urgent ones. So a program of seven turns loses at most half of
# its time.
YIELD_FRACTION = 0.1
# Seconds for which a turn without a target yields.
YIELD_SECONDS = 0.25
# Seconds after which a waiter that has not asked again is dropped. Waiters ask
# again after 0.1 s at most; the rest allows for a busy entry.
LOST_SECONDS = 0.5


class TurnKey(NamedTuple):
    """Identifies a turn.

    Attributes:
        customer: Customer that sent it.
        turn: Id of the turn, unique for this customer.
    """

    customer: str
    turn: str


class Rank(NamedTuple):
    """Group of turns that are served before those with a greater rank.

    Attributes:
        over_share: Whether it is a first turn of a customer over its share.
        priority: Priority of the customer, or else of the route.
        route_priority: Priority of the route.
        stage: `IN_PROGRESS` or `FIRST`.
    """

    over_share: bool
    priority: int
    route_priority: int
    stage: int

    @property
    def urgency(self) -> tuple[int, int]:
        """The priorities; smaller ones are more urgent."""
        return self.priority, self.route_priority


# Rank of turns that yield to no others.
MOST_URGENT = Rank(False, 0, 0, IN_PROGRESS)


class Ask(NamedTuple):
    """A turn that asks to run.

    Attributes:
        key: Identifies the turn.
        program: Id of its program.
        first: Whether it is the first turn of its program.
        entry: Entry that asks.
        prompt: Tokens of the prompt.
        demand: What it demands.
    """

    key: TurnKey
    program: str
    first: bool
    entry: str
    prompt: int
    demand: program_messages.TurnDemand


class Waiter(NamedTuple):
    """A waiting turn.

    Attributes:
        ask: The turn as it first asked.
        rank: Its present rank.
        tag: Virtual start time by fair queueing.
        number: Order of arrival.
        since: When it began to wait at its entry, by the clock of the queue.
    """

    ask: Ask
    rank: Rank
    tag: float
    number: int
    since: float


class TurnQueue:
    """Waiting turns of one service.

    Attributes:
        clock: Fair queueing among customers by tokens.
        waiters: Waiting turns by key.
        asked: When each waiting turn last asked; the oldest first.
        order: Sort keys of the waiting turns, in order.
        in_progress: Number of waiting turns of programs in progress.
        first_turns: Number of waiting first turns by customer.
    """

    def __init__(self) -> None:
        self.clock = admission.FairClock()
        self.waiters: dict[TurnKey, Waiter] = {}
        self.asked: collections.OrderedDict[TurnKey, float] = (
            collections.OrderedDict()
        )
        self.order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.in_progress = 0
        self.first_turns: collections.Counter[str] = collections.Counter()
        self._count = 0

    def __len__(self) -> int:
        return len(self.waiters)

    def refund(self, ask: Ask) -> None:
        """Takes back the charge of a turn that doesn't run."""
        demand = ask.demand
        self.clock.correct(ask.key.customer, demand.share, -demand.tokens)

    def add(self, ask: Ask, rank: Rank, now: float) -> Waiter:
        """Adds a turn."""
        self._count += 1
        waiter = Waiter(
            ask, rank, self._charge(ask), self._count, now - ask.demand.waited
        )
        self.waiters[ask.key] = waiter
        self.order.add(_sort_key(waiter))
        if rank.stage == IN_PROGRESS:
            self.in_progress += 1
        else:
            self.first_turns[ask.key.customer] += 1
        self.asked[ask.key] = now
        return waiter

    def asked_again(self, key: TurnKey, now: float) -> None:
        """Records that a waiting turn asked again."""
        self.asked[key] = now
        self.asked.move_to_end(key)

    def promote(self, key: TurnKey, now: float) -> Waiter:
        """Raises a turn in progress that has yielded for long enough.

        Returns:
            The turn with its present rank.
        """
        waiter = self.waiters[key]
        if waiter.rank.stage != IN_PROGRESS or waiter.rank == MOST_URGENT:
            return waiter
        target = waiter.ask.demand.finish_within
        seconds = YIELD_FRACTION * target if target > 0 else YIELD_SECONDS
        if now - waiter.since < seconds:
            return waiter
        self.order.remove(_sort_key(waiter))
        promoted = waiter._replace(rank=MOST_URGENT)
        self.waiters[key] = promoted
        self.order.add(_sort_key(promoted))
        return promoted

    def remove(self, key: TurnKey) -> Waiter:
        """Removes a turn."""
        waiter = self.waiters.pop(key)
        del self.asked[key]
        self.order.remove(_sort_key(waiter))
        if waiter.rank.stage == IN_PROGRESS:
            self.in_progress -= 1
            return waiter
        self.first_turns[key.customer] -= 1
        if not self.first_turns[key.customer]:
            del self.first_turns[key.customer]
        return waiter

    def drop_lost(
        self, now: float, limit: float, pauses: leader_pauses.LeaderPauses
    ) -> int:
        """Removes the turns that have not asked again.

        Args:
            now: The current time in seconds.
            limit: Maximum number of turns to remove.
            pauses: Times in which none could ask.

        Returns:
            The number of removed turns.
        """
        lost = 0
        while self.asked and lost < limit:
            key, asked = next(iter(self.asked.items()))
            if pauses.awake(asked, now) <= LOST_SECONDS:
                break
            self.refund(self.remove(key).ask)
            lost += 1
        return lost

    def ahead(self, waiter: Waiter) -> int:
        """Returns how many turns come before a waiting one."""
        return self.order.bisect_left(_sort_key(waiter))

    def ahead_of_rank(self, rank: Rank) -> int:
        """Returns how many turns have a smaller rank."""
        return self.order.bisect_left((rank,))

    def _charge(self, ask: Ask) -> float:
        """Charges a customer for a turn; returns the turn's tag."""
        demand = ask.demand
        return self.clock.tag(ask.key.customer, demand.share, demand.tokens)


def _sort_key(waiter: Waiter) -> tuple[Rank, float, int]:
    return waiter.rank, waiter.tag, waiter.number
