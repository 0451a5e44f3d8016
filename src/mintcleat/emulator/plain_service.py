"""A model of one instance of a plain service."""

from typing import Any

import simpy

from mintcleat.emulator import engine


class PlainService:
    """One instance of the plain service, with a bounded queue.

    Attributes:
        queue: Maximum number of waiting requests.
        slots: Serves requests, so many at a time.
        slow: Factor on the time of each request.
        losing: Fraction of requests whose answer is lost.
        failing: Fraction of requests that are answered with an error.
    """

    def __init__(
        self, env: simpy.Environment, slots: int, queue: int, rng: Any
    ) -> None:
        self.env = env
        self.queue = queue
        self.slots = simpy.Resource(env, slots)
        self.rng = rng
        self.slow = 1.0
        self.losing = 0.0
        self.failing = 0.0

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.slots.count + len(self.slots.queue)

    def serve(self, work: float) -> Any:
        """Serves a request that takes `work` seconds.

        Raises:
            engine.RequestFailed: The queue was full, the request failed, or
                its answer was lost.
        """
        if len(self.slots.queue) >= self.queue:
            raise engine.RequestFailed("refused")
        with self.slots.request() as slot:
            yield slot
            yield self.env.timeout(work * self.slow)
        if self.rng.random() < self.failing:
            raise engine.RequestFailed("failed")
        if self.rng.random() < self.losing:
            raise engine.RequestFailed("broke")
