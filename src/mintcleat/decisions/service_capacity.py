"""How many turns of a service its slots and its memory allow.

Entries state the slots and the memory that they see with each turn. They see
them at different times, so the averages are used.
"""

import math

from mintcleat.decisions import moving_average
from mintcleat.domain import program_messages

# Fraction of slots and of memory that running turns may use. Entries place
# turns by figures that are a little old, so engines are never loaded evenly.
CAPACITY_FRACTION = 0.95


class ServiceCapacity:
    """Slots and memory of one service.

    Attributes:
        part: Fraction of the capacity that may be used; below 1 if several
            leaders share it.
        slots: Slots of the service, as entries see them.
        memory: Memory of the service in tokens, as entries see it.
        turn_tokens: Moving average of the tokens of a turn.
    """

    def __init__(self, part: float) -> None:
        self.part = part
        self.slots = 0.0
        self.memory = 0.0
        self.turn_tokens = 0.0

    def observe(self, demand: program_messages.TurnDemand) -> None:
        """Takes what an entry states with a request."""
        if demand.places:
            self.slots = moving_average.update(self.slots, demand.places)
        if demand.memory_tokens:
            self.memory = moving_average.update(
                self.memory, demand.memory_tokens
            )

    def observe_turn(self, tokens: int) -> None:
        """Takes the tokens that a new turn may use."""
        self.turn_tokens = moving_average.update(self.turn_tokens, tokens)

    def bound(self) -> float:
        """Returns the number of turns; inf if neither is known."""
        bound = math.inf
        if self.slots:
            # Rounded up: one engine with few slots can't be loaded unevenly.
            bound = math.ceil(self.slots * self.part * CAPACITY_FRACTION)
        if self.memory and self.turn_tokens:
            memory = self.memory * self.part * CAPACITY_FRACTION
            bound = min(bound, memory / self.turn_tokens)
        return max(1.0, bound)
