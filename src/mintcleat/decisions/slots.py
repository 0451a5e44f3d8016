"""Which waiting call may start now: slots, customers, memory and prefill.

Slots are not preempted, so each rule here keeps something free for the call
that will come next.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import class_queue
from mintcleat.decisions import order
from mintcleat.decisions import speed
from mintcleat.decisions import workingset

# Of the slots, the part that a customer over its share may not take. Without
# it a burst fills all of them, and the next call of another customer waits for
# one to end.
HEADROOM = 1 / 8
# Of the slots, the part that batch calls may not take, for the same reason.
INTERACTIVE_ONLY = 1 / 4
# Prompt computing that may be under way at once, in seconds of the engine.
# More would only queue inside the engine, where each call already holds its
# memory and no order is kept.
PREFILL_SECONDS = 1.0
RESIDENT_FACTOR = 3.0
# A returning call that waited so long may evict caches expected back soon.
PATIENCE = 20.0
# One that waited so long holds all others back until it fits.
HOLD_BACK_SECONDS = 30.0


class Options(NamedTuple):
    """Policies in force; replaced whole when the manifest changes.

    Attributes:
        shares: Weight by customer; others have `default_share`.
        max_running: Calls of a customer that may run here at once; 0 or
            absent for no limit.
        max_wait: Longest predicted wait in the queue, in seconds.
        memory: Tokens of context that the upstream can hold; 0 for no limit.
        working_set: Whether newcomers wait for room in `memory`.
        prefill: Seconds of prompt computing under way at once; 0 for any.
        protect: Whether calls wait for caches that are expected back soon.
        adaptive: Whether the concurrency limit is learned.
        fair: Whether customers get fair shares; else one common queue.
        bounded: Whether calls are refused by predicted wait and deadline.
        classes: Whether interactive calls go before batch calls.
    """

    shares: dict[str, float] = {}
    default_share: float = 1.0
    max_running: dict[str, int] = {}
    max_wait: float = 30.0
    memory: int = 0
    working_set: bool = True
    prefill: float = PREFILL_SECONDS
    protect: bool = True
    adaptive: bool = True
    fair: bool = True
    bounded: bool = True
    classes: bool = True
    ordering: order.Switches = order.ALL_ON


class Running(NamedTuple):
    """A started call; `backlog` is the prompt tokens ahead of its own."""

    entry: class_queue.Entry
    started: float
    backlog: int


class Slots:
    """The calls at the upstream, and what they take of it.

    Attributes:
        protected: Tokens of paused caches that are expected back soon.
        computing: Prompt tokens of started calls before their first token.
    """

    def __init__(self, options: Options, pace: speed.Speed) -> None:
        self.options = options
        self.speed = pace
        self.working_set = workingset.WorkingSet()
        self.running: dict[str, Running] = {}
        self.running_of: dict[str, int] = {}
        self.batch = 0
        self.suspects = 0
        self.tokens = 0
        self.protected = 0
        self.computing: dict[str, int] = {}
        self.computing_tokens = 0

    def configure(self, options: Options) -> None:
        """Puts other policies in force."""
        self.options = options

    def start(self, entry: class_queue.Entry, now: float) -> None:
        """Counts a call as started."""
        call = entry.call
        backlog = self.computing_tokens
        self.running[call.call_id] = Running(entry, now, backlog)
        self.running_of[entry.flow] = self.running_of.get(entry.flow, 0) + 1
        self.batch += entry.klass == calls.BATCH
        self.suspects += call.suspect
        self.tokens += context(call)
        self.computing[call.call_id] = call.new_tokens
        self.computing_tokens += call.new_tokens
        self.working_set.enter(
            call.program, call.agent, entry.flow, entry.footprint
        )
        if entry.need == class_queue.NEWCOMER:
            self.working_set.let_in(entry.footprint, entry.arrived, now)

    def prefilled(self, call_id: str) -> None:
        """Notes that a call's prompt is computed."""
        self.computing_tokens -= self.computing.pop(call_id, 0)

    def release(self, call_id: str) -> bool:
        """Frees the slot of a started call; tells whether there was one."""
        running = self.running.pop(call_id, None)
        if running is None:
            return False
        self.prefilled(call_id)
        entry = running.entry
        self.running_of[entry.flow] -= 1
        if not self.running_of[entry.flow]:
            del self.running_of[entry.flow]
        self.batch -= entry.klass == calls.BATCH
        self.suspects -= entry.call.suspect
        self.tokens -= context(entry.call)
        return True

    def weight(self, flow: str) -> float:
        """Returns the share that the manifest gives a customer."""
        weight = self.options.shares.get(flow, self.options.default_share)
        return max(weight, 1e-6)

    def over_share(self, flow: str, limit: int) -> bool:
        """Tells whether the customer holds more slots than its weight earns.

        The weights are those of customers with calls running here.
        """
        share = self._share(flow, self.running_of)
        return self.running_of.get(flow, 0) >= limit * share

    def allows(self, entry: class_queue.Entry, limit: int) -> bool:
        """Tells whether the call may take a slot."""
        free = limit - len(self.running)
        if free <= 0:
            return False
        if entry.call.suspect and self.suspects:
            return False
        top = self.options.max_running.get(entry.call.customer, 0)
        if top and self.running_of.get(entry.flow, 0) >= top:
            return False
        if entry.klass == calls.BATCH:
            batch_slots = max(1, limit - int(limit * INTERACTIVE_ONLY))
            if self.batch >= batch_slots:
                return False
        if not self.options.fair or free > int(limit * HEADROOM):
            return True
        return not self.over_share(entry.flow, limit)

    def fits(self, entry: class_queue.Entry, now: float) -> bool:
        """Tells whether memory and prefill have room for the call.

        An idle upstream takes any call: whatever it evicts belongs to a
        program that is paused, and idling would serve nobody.
        """
        if not self.running:
            return True
        if entry.need == class_queue.NEWCOMER and not self.has_room(entry):
            return False
        return self._memory_fits(entry, now) and self._prefill_fits(entry)

    def has_room(self, entry: class_queue.Entry) -> bool:
        """Tells whether a newcomer fits among the programs under way."""
        if not self.options.memory or not self.options.working_set:
            return True
        if not self.running:
            return True
        members = self.working_set
        memory = self.options.memory * workingset.PART
        footprint = members.footprint(entry.call.agent, entry.footprint)
        if self.options.fair:
            used = members.used.get(entry.flow, 0.0) + footprint
            if used > memory * self._share(entry.flow, members.used):
                memory *= 1 - workingset.HEADROOM
        return members.fits(footprint, memory)

    def _share(self, flow: str, active: Iterable[str]) -> float:
        """Returns a customer's part of what the active ones share."""
        weight = self.weight(flow)
        others = sum(self.weight(other) for other in active if other != flow)
        return weight / (weight + others)

    def _memory_fits(self, entry: class_queue.Entry, now: float) -> bool:
        """Tells whether the contexts fit the engine's memory together.

        Beyond it the engine would evict what running calls still need, or
        what programs need that are about to come back.
        """
        memory = self.options.memory
        if not memory:
            return True
        need = context(entry.call)
        if self.tokens + need > memory:
            return False
        if not self.options.protect or entry.need == class_queue.RESIDENT:
            return True
        waited = now - entry.arrived
        if entry.need == class_queue.RETURNING and waited >= PATIENCE:
            return True
        return self.tokens + self.protected + need <= memory

    def _prefill_fits(self, entry: class_queue.Entry) -> bool:
        seconds = self.options.prefill
        if not seconds or not self.computing_tokens:
            return True
        if entry.need == class_queue.RESIDENT:
            # It takes little, and its cache stays locked while it waits.
            seconds *= RESIDENT_FACTOR
        tokens = self.computing_tokens + entry.call.new_tokens
        return tokens <= seconds * self.speed.prefill_rate


def context(call: calls.Call) -> int:
    """Returns the tokens that a call holds at its end."""
    return call.prompt_tokens + call.expected_tokens
