"""Expected time and room of each upstream for one request.

Joins what entries know of load, memory and speed for `load_balancing`. Nothing
is computed for upstreams that a choice doesn't look at.
"""

from collections.abc import Callable
from collections.abc import Mapping

from mintcleat.decisions import engine_memory
from mintcleat.decisions import load_balancing
from mintcleat.decisions import turn_time

# Share of an engine's memory up to which running requests get new programs
# beside them. Beyond it the engine evicts the caches of programs that pause
# between two turns, and prefills their prompts again: there is one such program
# beside each running one, if pauses take as long as turns.
MAX_RUNNING_SHARE = 0.5


class TurnEstimates:
    """What is expected of the upstreams of a service for one request.

    Attributes:
        turn: Tokens of the request.
        running: Returns the requests at an upstream, of all entries.
        slots: Returns the requests that an upstream runs at once.
        memory: Tokens that an upstream holds; 0 if unknown.
        held: Tokens of this entry's requests, by upstream.
        held_elsewhere: Tokens of other entries' requests, by upstream.
        times: Rates and speeds of the service.
        slowdowns: Time divided by that of the median, by upstream that
            differs.
    """

    def __init__(
        self,
        turn: engine_memory.TurnTokens,
        running: Callable[[str], int],
        slots: Callable[[str], int],
        memory: int,
        held: Mapping[str, engine_memory.RunningTokens],
        held_elsewhere: Mapping[str, int],
        times: turn_time.ServiceTimes,
        slowdowns: Mapping[str, float],
    ) -> None:
        self.turn = turn
        self.running = running
        self.slots = slots
        self.memory = memory
        self.held = held
        self.held_elsewhere = held_elsewhere
        self.times = times
        self.slowdowns = slowdowns

    def load(self, upstream: str) -> float:
        """Returns the load with the request; 1 is a full batch."""
        return (self.running(upstream) + 1) / max(1, self.slots(upstream))

    def tokens(self, upstream: str) -> int:
        """Returns the tokens held at an upstream, without the request."""
        own = self.held.get(upstream)
        return (own.total if own else 0) + self.held_elsewhere.get(upstream, 0)

    def is_full(self, upstream: str) -> bool:
        """Returns whether the request would exceed slots or memory."""
        return self.load(upstream) > 1.0 or self.exceeds_memory(upstream)

    def is_crowded(self, upstream: str) -> bool:
        """Returns whether the request would leave the cache too little memory.

        Always so if it is full.
        """
        if self.load(upstream) > 1.0:
            return True
        if not self.memory:
            return False
        tokens = self.tokens(upstream) + self.turn.total
        return tokens > self.memory * MAX_RUNNING_SHARE

    def exceeds_memory(self, upstream: str) -> bool:
        """Returns whether the request would exceed the memory.

        An upstream without requests is never exceeded: it takes any request
        that it can run at all.
        """
        if not self.memory or not self.running(upstream):
            return False
        room = engine_memory.room(self.memory, self.tokens(upstream))
        if self.turn.total <= room:
            return False
        own = self.held.get(upstream)
        return own is None or own.needed(self.turn) > room

    def uncached(self, resident: bool) -> int:
        """Returns the prompt tokens that are not cached."""
        return self.turn.last if resident else self.turn.uncached

    def seconds(self, upstream: str, resident: bool) -> float:
        """Returns the time to the end of the request.

        Before anything was measured, the time is in batches, and a prefill
        takes as many as the cache was worth at equal speeds.
        """
        slowdown = self.slowdowns.get(upstream, 1.0)
        load = self.load(upstream)
        rates = self.times.rates
        if rates is None:
            prefill = 0.0 if resident else load_balancing.MAX_RESIDENT_EXCESS
            return load * slowdown + prefill
        seconds = rates.seconds(self.uncached(resident), load)
        if self.exceeds_memory(upstream):
            # A request there is preempted, and prefilled again while the
            # others wait.
            running = self.running(upstream)
            mean = self.tokens(upstream) / running
            seconds += rates.per_token * mean * (1 + running)
        stalled = self.times.stalled.get(upstream)
        if stalled is not None:
            # A pause is likely to last as long again as it has lasted.
            return min(seconds * slowdown, seconds + stalled)
        return seconds * slowdown

    def disturbance(self, upstream: str) -> float:
        """Returns the time that the prefill costs the requests there."""
        rates = self.times.rates
        if rates is None:
            return 0.0
        seconds = rates.per_token * self.uncached(False)
        slowdown = self.slowdowns.get(upstream, 1.0)
        return seconds * slowdown * self.running(upstream)
