"""A plain service's instance: a few places, a queue, failures."""

from typing import Any

import simpy

from mintcleat.emulator import engine


class Plain:
    """One instance of the plain service.

    Attributes:
        slow: Factor on all its times.
        losing: Share of answers that are lost.
        failing: Share of requests that are answered with a failure.
        load: Requests that run or wait.
    """

    def __init__(
        self, env: simpy.Environment, slots: int, queue: int, chance: Any
    ) -> None:
        self.env = env
        self.queue = queue
        self.places = simpy.Resource(env, slots)
        self.chance = chance
        self.slow = 1.0
        self.losing = 0.0
        self.failing = 0.0

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.places.count + len(self.places.queue)

    def serve(self, work: float) -> Any:
        """Works on a request for `work` seconds.

        Raises:
            engine.Ended: It was refused, failed, or its answer was lost.
        """
        if len(self.places.queue) >= self.queue:
            raise engine.Ended("refused")
        with self.places.request() as place:
            yield place
            yield self.env.timeout(work * self.slow)
        if self.chance.random() < self.failing:
            raise engine.Ended("failed")
        if self.chance.random() < self.losing:
            raise engine.Ended("broke")
