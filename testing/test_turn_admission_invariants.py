"""Invariants of admission under random load, loss and late or wrong reports.

Entries are modelled with what is on its way to and from each of them: grants,
CloseTurns, and messages that are sent again.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mintcleat.decisions import leader_pauses
from mintcleat.decisions import shared_load
from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_queue
from mintcleat.decisions import turn_ranks
from mintcleat.domain import program_messages

DEMAND = program_messages.TurnDemand(
    "lm", "turns", 0, 1.0, 1000, 2.0, 0.0, 10, 0, timeout=3.0
)
CUSTOMERS = ["a", "b", "c"]
PRIORITIES = list(range(6))
ENTRIES = ["e1", "e2", "e3"]
STEP_SECONDS = 0.05


class Entry:
    """One entry.

    Attributes:
        waiting: Its turns that wait for a grant.
        arriving: Granted turns whose grant is on its way.
        running: Turns that run at engines.
        closing: Ended turns whose CloseTurn is on its way.
        frozen: Whether it neither sends nor receives.
    """

    def __init__(self) -> None:
        self.waiting: dict[turn_queue.TurnKey, turn_queue.Ask] = {}
        self.arriving: dict[turn_queue.TurnKey, None] = {}
        self.running: dict[turn_queue.TurnKey, None] = {}
        self.closing: dict[turn_queue.TurnKey, None] = {}
        self.frozen = False

    def start_all(self) -> None:
        """Receives the grants that are on their way."""
        self.running.update(self.arriving)
        self.arriving.clear()


class Machine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.schedule = turn_admission.ServiceSchedule()
        self.entries = {name: Entry() for name in ENTRIES}
        self.sent: collections.deque[turn_queue.Ask] = collections.deque(
            maxlen=200
        )
        # When granted turns are released at the latest, and turns that ended.
        self.expires: dict[turn_queue.TurnKey, float] = {}
        self.ended: set[turn_queue.TurnKey] = set()
        self.places = 10
        self.now = 0.0
        self.count = 0

    # --- Messages -------------------------------------------------------------

    def with_report(self, ask: turn_queue.Ask) -> turn_queue.Ask:
        entry = self.entries[ask.entry]
        demand = ask.demand._replace(
            places=self.places,
            running=len(entry.running),
            ended=[program_messages.EndedTurn(*key) for key in entry.closing],
        )
        return ask._replace(demand=demand)

    def ask(self, ask: turn_queue.Ask) -> bool:
        """Asks for a turn; returns whether it was granted."""
        entry = self.entries[ask.entry]
        self.sent.append(ask)
        was_counted = ask.key in self.schedule.turns.uncounted
        before = self.schedule.running_turns()
        decision = self.schedule.ask(ask, self.now)
        match decision:
            case turn_decisions.Grant(again=again):
                # Reports arrive with the same message, so they may only have
                # made the number smaller than it was before.
                after = self.schedule.running_turns()
                assert again or after <= max(1.0, self.schedule.bound()), (
                    before,
                    after,
                )
                assert not was_counted or again
                entry.waiting.pop(ask.key, None)
                if not again:
                    self.expires[ask.key] = self.now + ask.demand.timeout
                if ask.key not in entry.running and ask.key not in self.ended:
                    entry.arriving[ask.key] = None
                return True
            case turn_decisions.Defer(retry_after=seconds):
                assert 0 < seconds < 0.2
                entry.waiting[ask.key] = ask
            case turn_decisions.Refuse(retry_after=seconds):
                assert ask.first
                assert 0 < seconds <= 10.0
                entry.waiting.pop(ask.key, None)
        return False

    def new_ask(
        self, entry: str, customer: str, first: bool, **changes: object
    ) -> turn_queue.Ask:
        self.count += 1
        name = f"t{self.count}"
        key = turn_queue.TurnKey(customer, name)
        demand = DEMAND._replace(**changes)
        return turn_queue.Ask(key, f"p-{name}", first, entry, 900, demand)

    def pass_time(self, seconds: float) -> None:
        """Passes time in which the leader runs."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + leader_pauses.TICK_SECONDS)
            self.schedule.tick(self.now)

    def close(self, entry: Entry, key: turn_queue.TurnKey) -> None:
        entry.closing.pop(key, None)
        self.schedule.release(key, 50, True, self.now)
        assert key not in self.schedule.running
        assert not self.schedule.release(key, 50, True, self.now)

    # --- Rules ----------------------------------------------------------------

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        customer=strategies.sampled_from(CUSTOMERS),
        first=strategies.booleans(),
        priority=strategies.sampled_from(PRIORITIES),
        finish_within=strategies.sampled_from([0.0, 0.5, 3.0]),
        count=strategies.integers(1, 12),
    )
    def arrive(
        self,
        entry: str,
        customer: str,
        first: bool,
        priority: int,
        finish_within: float,
        count: int,
    ) -> None:
        if self.entries[entry].frozen:
            return
        for _ in range(count):
            ask = self.new_ask(
                entry,
                customer,
                first,
                priority=priority,
                finish_within=finish_within,
            )
            self.ask(self.with_report(ask))

    @stateful.rule(seconds=strategies.floats(0.001, 0.3))
    def ask_again(self, seconds: float) -> None:
        self.pass_time(seconds)
        for entry in self.entries.values():
            if not entry.frozen:
                for ask in list(entry.waiting.values()):
                    self.ask(self.with_report(ask))

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def receive_grants(self, name: str) -> None:
        if not self.entries[name].frozen:
            self.entries[name].start_all()

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES), count=strategies.integers(1, 8)
    )
    def end(self, name: str, count: int) -> None:
        """Turns end; their CloseTurns are on the way."""
        entry = self.entries[name]
        for key in list(entry.running)[:count]:
            del entry.running[key]
            entry.closing[key] = None
            self.ended.add(key)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES), count=strategies.integers(1, 8)
    )
    def receive_closes(self, name: str, count: int) -> None:
        entry = self.entries[name]
        for key in list(entry.closing)[-count:]:
            self.close(entry, key)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def lose_closes(self, name: str) -> None:
        self.entries[name].closing.clear()

    @stateful.rule(data=strategies.data(), uncounted=strategies.booleans())
    def receive_again(
        self, data: strategies.DataObject, uncounted: bool
    ) -> None:
        """An OpenTurn arrives a second time, with the report of then."""
        turns = self.schedule.turns
        keys = turns.uncounted.keys() if uncounted else turns.granted.keys()
        found = [ask for ask in self.sent if ask.key in keys]
        if not found:
            return
        ask = data.draw(strategies.sampled_from(found))
        before = turns.count()
        counted = ask.key in turns.granted
        self.ask(ask)
        if counted and ask.key in turns.granted:
            assert turns.count() <= before

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        running=strategies.integers(0, 40),
        data=strategies.data(),
    )
    def contradict(
        self, name: str, running: int, data: strategies.DataObject
    ) -> None:
        """A report names turns of others, and a number that is wrong."""
        keys = sorted(self.schedule.running)
        named = data.draw(
            strategies.lists(
                strategies.sampled_from(keys or [("a", "none")]), max_size=5
            )
        )
        others = [
            program_messages.EndedTurn(*key)
            for key in named
            if key not in self.schedule.running
            or self.schedule.running[key].ask.entry != name
        ]
        counted = {key for key in named if key in self.schedule.running}
        ask = self.new_ask(
            name, "a", True, running=running, ended=others, places=self.places
        )
        still = {
            key
            for key in counted
            if self.schedule.running[key].ask.entry != name
            and self.schedule.running[key].expires > self.now
        }
        silenced = self.schedule.turns.silenced
        self.ask(ask)
        if self.schedule.turns.silenced == silenced:
            assert still <= self.schedule.running.keys()

    @stateful.rule(name=strategies.sampled_from(ENTRIES[:2]))
    def freeze(self, name: str) -> None:
        """An entry freezes, while another one is heard; or it continues."""
        entry = self.entries[name]
        entry.frozen = not entry.frozen
        if entry.frozen:
            self.pass_time(1.0)
            self.ask(self.with_report(self.new_ask("e3", "a", False)))

    @stateful.rule()
    def learn_speed(self) -> None:
        """Turns run one after the other until the speed is known."""
        self.places = 10
        entry = self.entries["e3"]
        for _ in range(20):
            self.ask(self.with_report(self.new_ask("e3", "b", False)))
            entry.start_all()
            self.pass_time(STEP_SECONDS)
            for key in list(entry.running):
                self.end("e3", 1)
                self.close(entry, key)

    @stateful.rule(seconds=strategies.floats(0.25, 3.0))
    def pause_leader(self, seconds: float) -> None:
        """The leader stops; afterwards all waiting turns ask again."""
        self.pass_time(leader_pauses.TICK_SECONDS)
        for entry in self.entries.values():
            for ask in list(entry.waiting.values()):
                self.ask(self.with_report(ask))
        waiting = set(self.schedule.queue.waiters)
        silenced = self.schedule.turns.silenced
        self.now += seconds
        self.schedule.tick(self.now)
        self.ask(self.with_report(self.new_ask("e1", "a", False)))
        waiting -= set(self.entries["e1"].arriving)
        assert waiting <= set(self.schedule.queue.waiters) | set(
            self.schedule.running
        )
        assert self.schedule.turns.silenced == silenced

    @stateful.rule(places=strategies.integers(1, 30))
    def resize(self, places: int) -> None:
        self.places = places

    @stateful.rule()
    def new_leader(self) -> None:
        """The next leader knows nothing but what entries report."""
        self.schedule = turn_admission.ServiceSchedule()
        self.expires.clear()
        for entry in self.entries.values():
            entry.start_all()

    @stateful.rule()
    def shares_are_conserved(self) -> None:
        self.pass_time(1.0)
        shares = self.schedule.shares
        shares.refresh(self.now)
        usages = shares.usages.values()
        given = sum(
            min(one.demanded, shares.level * one.weight)
            for one in usages
            if one.demanded
        )
        demanded = sum(one.demanded for one in usages)
        assert given <= min(shares.total, demanded) * 1.001 + 1e-6

    @stateful.rule()
    def drain(self) -> None:
        """Each waiting turn is granted, refused or dropped in bounded time."""
        self.continue_all()
        for _ in range(400):
            if not any(entry.waiting for entry in self.entries.values()):
                break
            self.step()
        else:
            raise AssertionError("Turns starve.")
        self.pass_time(turn_queue.LOST_SECONDS + 2 * STEP_SECONDS)
        self.schedule.view(self.now)
        assert not self.schedule.queue.waiters

    @stateful.rule(
        customer=strategies.sampled_from(CUSTOMERS),
        priority=strategies.sampled_from(PRIORITIES),
    )
    def nobody_starves(self, customer: str, priority: int) -> None:
        """A program begins though more urgent ones always wait."""
        self.drain()
        self.step()
        self.pass_time(shared_load.MAX_AGE + DEMAND.timeout)
        self.places = 4
        mine = self.new_ask(
            "e1", customer, True, priority=priority, finish_within=1000.0
        )
        for _ in range(12):
            other = self.new_ask("e2", "a", True, finish_within=1000.0)
            self.ask(self.with_report(other))
        ranks = 4 * len(PRIORITIES)
        for _ in range(turn_ranks.GUARANTEED_INTERVAL * ranks):
            self.pass_time(STEP_SECONDS)
            if self.ask(self.with_report(mine)):
                return
            urgent = self.entries["e2"]
            for ask in list(urgent.waiting.values()):
                self.ask(self.with_report(ask))
            if len(urgent.waiting) < self.places:
                other = self.new_ask("e2", "a", True, finish_within=1000.0)
                self.ask(self.with_report(other))
            urgent.start_all()
            if urgent.running:
                key = next(iter(urgent.running))
                self.end("e2", 1)
                self.close(urgent, key)
        raise AssertionError("The program starves.")

    @stateful.rule()
    def lose_everything(self) -> None:
        """All entries are lost with what they have."""
        self.entries = {name: Entry() for name in ENTRIES}
        self.expires.clear()
        self.pass_time(DEMAND.timeout + shared_load.MAX_AGE)
        self.schedule.view(self.now)
        assert self.schedule.running_turns() == 0
        assert not self.schedule.turns.uncounted

    def continue_all(self) -> None:
        for entry in self.entries.values():
            entry.frozen = False
            entry.start_all()

    def step(self) -> None:
        """All running turns end and are closed; all waiting turns ask."""
        self.pass_time(STEP_SECONDS)
        for entry in self.entries.values():
            entry.start_all()
            entry.closing.update(entry.running)
            self.ended.update(entry.running)
            entry.running.clear()
            for key in list(entry.closing):
                self.close(entry, key)
        for entry in self.entries.values():
            for ask in list(entry.waiting.values()):
                self.ask(self.with_report(ask))

    # --- Invariants -----------------------------------------------------------

    @stateful.invariant()
    def counts_agree(self) -> None:
        turns, queue = self.schedule.turns, self.schedule.queue
        by_entry = collections.Counter(
            turn.ask.entry for turn in turns.granted.values()
        )
        assert by_entry == turns.reports.granted
        assert by_entry.keys() == turns.heard.keys()
        assert not turns.granted.keys() & turns.uncounted.keys()
        assert turns.reports.total == sum(turns.reports.excess.values())
        assert all(excess > 0 for excess in turns.reports.excess.values())
        assert turns.count() >= len(turns.granted)
        assert len(queue.order) == len(queue.waiters) == len(queue.asked)
        first = collections.Counter(
            key.customer
            for key, waiter in queue.waiters.items()
            if waiter.rank.stage == turn_queue.FIRST
        )
        assert first == queue.first_turns
        assert queue.in_progress + first.total() == len(queue.waiters)

    @stateful.invariant()
    def running_turns_count(self) -> None:
        """Only silence and the timeout release a turn that has not ended."""
        turns = self.schedule.turns
        for entry in self.entries.values():
            for key in (*entry.arriving, *entry.running):
                if self.expires.get(key, 0.0) <= self.now:
                    continue
                silenced = turns.uncounted.get(key)
                assert key in turns.granted or (silenced and silenced.silent)


Machine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
InvariantsTest = Machine.TestCase
