"""Checks whether a waiting call may start: slots, memory and prefill.

A running call is never preempted, so some slots and memory are kept free for
calls of customers below their share and for interactive calls.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mintcleat.decisions import calls
from mintcleat.decisions import class_queue
from mintcleat.decisions import order
from mintcleat.decisions import speed
from mintcleat.decisions import workingset

# Fraction of the slots that a customer above its share may not take. Without
# it a burst fills all slots, and the next call of another customer waits until
# one of them ends.
HEADROOM = 1 / 8
# Fraction of the slots that batch calls may not take, for the same reason.
INTERACTIVE_RESERVE = 1 / 4
# Prompt tokens that may be in prefill at once, in seconds of engine time. More
# would queue inside the engine, where each call already holds memory and the
# scheduling order no longer applies.
PREFILL_SECONDS = 1.0
# The same limit for calls whose history is cached is this many times as high.
# They add few tokens, and their cache stays pinned while they wait.
RESIDENT_PREFILL_FACTOR = 3.0
# After this wait, a returning call may evict caches that will be used soon.
PROTECTED_WAIT_SECONDS = 20.0
# After this wait, a call of a started program blocks others until it starts.
STARVATION_SECONDS = 30.0


class Options(NamedTuple):
    """Scheduling options; replaced as a whole when the manifest changes.

    Attributes:
        shares: Weight by customer; others have `default_share`.
        default_share: Weight of customers that `shares` does not list.
        max_running: Calls of a customer that may run here at once; 0 or
            absent for no limit.
        max_wait: Longest predicted wait in the queue, in seconds.
        memory: Tokens of context that the upstream can hold; 0 for no limit.
        working_set: Whether first calls wait until their program fits into
            `memory` together with the programs in progress.
        prefill: Limit on concurrent prefill, in seconds; 0 for no limit.
        protect: Whether calls wait rather than evict caches that will be used
            again soon.
        adaptive: Whether the concurrency limit adapts to latency.
        fair: Whether customers get fair shares; otherwise they share a queue.
        bounded: Whether calls are refused by predicted wait and deadline.
        classes: Whether interactive calls take precedence over batch calls.
        ordering: Parts of the scheduling order within a customer.
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
    """A started call.

    Attributes:
        item: The call with its scheduling values.
        started: When it started, in seconds.
        backlog: Prompt tokens of other calls in prefill at its start.
    """

    item: class_queue.QueueItem
    started: float
    backlog: int


class Slots:
    """The running calls of one upstream and the resources they hold.

    Attributes:
        running: Running calls by call id.
        running_by_customer: Number of running calls by customer.
        batch: Number of running batch calls.
        suspects: Number of running suspect calls.
        tokens: Context tokens of all running calls.
        protected: Tokens of paused caches that will be used again soon.
        prefilling: Prompt tokens by call id, of calls without a first token.
        prefill_tokens: Sum of `prefilling`.
    """

    def __init__(self, options: Options, estimated_speed: speed.Speed) -> None:
        self.options = options
        self.speed = estimated_speed
        self.working_set = workingset.WorkingSet()
        self.running: dict[str, Running] = {}
        self.running_by_customer: dict[str, int] = {}
        self.batch = 0
        self.suspects = 0
        self.tokens = 0
        self.protected = 0
        self.prefilling: dict[str, int] = {}
        self.prefill_tokens = 0

    def configure(self, options: Options) -> None:
        """Replaces the options."""
        self.options = options

    def start(self, item: class_queue.QueueItem, now: float) -> None:
        """Counts a call as started."""
        call = item.call
        backlog = self.prefill_tokens
        self.running[call.call_id] = Running(item, now, backlog)
        self.running_by_customer[item.flow] = (
            self.running_by_customer.get(item.flow, 0) + 1
        )
        self.batch += item.klass == calls.BATCH
        self.suspects += call.suspect
        self.tokens += context(call)
        self.prefilling[call.call_id] = call.new_tokens
        self.prefill_tokens += call.new_tokens
        self.working_set.enter(
            call.program, call.agent, item.flow, item.footprint
        )
        if item.need == class_queue.NEW_PROGRAM:
            self.working_set.admitted(item.footprint, item.arrived, now)

    def prefilled(self, call_id: str) -> None:
        """Records that a call's prompt is computed."""
        self.prefill_tokens -= self.prefilling.pop(call_id, 0)

    def release(self, call_id: str) -> bool:
        """Frees the slot of a started call; returns whether it had one."""
        running = self.running.pop(call_id, None)
        if running is None:
            return False
        self.prefilled(call_id)
        item = running.item
        self.running_by_customer[item.flow] -= 1
        if not self.running_by_customer[item.flow]:
            del self.running_by_customer[item.flow]
        self.batch -= item.klass == calls.BATCH
        self.suspects -= item.call.suspect
        self.tokens -= context(item.call)
        return True

    def weight(self, flow: str) -> float:
        """Returns the customer's weight in the manifest."""
        weight = self.options.shares.get(flow, self.options.default_share)
        return max(weight, 1e-6)

    def over_share(self, flow: str, limit: int) -> bool:
        """Returns whether the customer has used up its share of the slots.

        The share is its weight relative to all customers with running calls.
        """
        share = self._share(flow, self.running_by_customer)
        return self.running_by_customer.get(flow, 0) >= limit * share

    def allows(self, item: class_queue.QueueItem, limit: int) -> bool:
        """Returns whether the call may take a slot, memory aside."""
        free = limit - len(self.running)
        if free <= 0:
            return False
        if item.call.suspect and self.suspects:
            return False
        max_running = self.options.max_running.get(item.call.customer, 0)
        if (
            max_running
            and self.running_by_customer.get(item.flow, 0) >= max_running
        ):
            return False
        if item.klass == calls.BATCH:
            batch_slots = max(1, limit - int(limit * INTERACTIVE_RESERVE))
            if self.batch >= batch_slots:
                return False
        if not self.options.fair or free > int(limit * HEADROOM):
            return True
        return not self.over_share(item.flow, limit)

    def fits(self, item: class_queue.QueueItem, now: float) -> bool:
        """Returns whether the call fits into memory and the prefill limit.

        An idle upstream accepts any call: it can evict only caches of paused
        programs, which is better than staying idle.
        """
        if not self.running:
            return True
        if item.need == class_queue.NEW_PROGRAM and not self.fits_working_set(
            item
        ):
            return False
        return self._memory_fits(item, now) and self._prefill_fits(item)

    def fits_working_set(self, item: class_queue.QueueItem) -> bool:
        """Returns whether a new program fits beside those in progress."""
        if not self.options.memory or not self.options.working_set:
            return True
        if not self.running:
            return True
        members = self.working_set
        memory = self.options.memory * workingset.MEMORY_FACTOR
        footprint = members.footprint(item.call.agent, item.footprint)
        if self.options.fair:
            used = members.used.get(item.flow, 0.0) + footprint
            if used > memory * self._share(item.flow, members.used):
                memory *= 1 - workingset.OVER_SHARE_HEADROOM
        return members.fits(footprint, memory)

    def _share(self, flow: str, active: Iterable[str]) -> float:
        """Returns a customer's fraction of the weight of active customers."""
        weight = self.weight(flow)
        others = sum(self.weight(other) for other in active if other != flow)
        return weight / (weight + others)

    def _memory_fits(self, item: class_queue.QueueItem, now: float) -> bool:
        """Returns whether the engine's memory can hold all contexts.

        Otherwise the engine would evict tokens that running calls need, or
        caches of programs that are about to resume.
        """
        memory = self.options.memory
        if not memory:
            return True
        call_tokens = context(item.call)
        if self.tokens + call_tokens > memory:
            return False
        if not self.options.protect or item.need == class_queue.RESIDENT:
            return True
        waited = now - item.arrived
        if (
            item.need == class_queue.RETURNING
            and waited >= PROTECTED_WAIT_SECONDS
        ):
            return True
        return self.tokens + self.protected + call_tokens <= memory

    def _prefill_fits(self, item: class_queue.QueueItem) -> bool:
        seconds = self.options.prefill
        if not seconds or not self.prefill_tokens:
            return True
        if item.need == class_queue.RESIDENT:
            seconds *= RESIDENT_PREFILL_FACTOR
        tokens = self.prefill_tokens + item.call.new_tokens
        return tokens <= seconds * self.speed.prefill_rate


def context(call: calls.Call) -> int:
    """Returns the tokens of context that a call holds when it ends."""
    return call.prompt_tokens + call.expected_tokens
