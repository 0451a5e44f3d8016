"""A model engine: one batch, chunked reading, a cache of parts, a queue."""

import collections
from collections.abc import Callable
import math
from typing import Any

import simpy

from mintcleat.domain import routed_calls
from mintcleat.emulator import plan

# Of the batch's time, a wait that is shorter than this is none, in seconds.
_EPSILON = 1e-9


class Ended(Exception):
    """A run did not end whole: `reason` is `refused`, `broke` or `failed`."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Run:
    """One request at an engine.

    Attributes:
        parts: Its prompt; the last ones are the conversation's own.
        output: Tokens that it generates.
        told: Called with each event.
        done: Succeeds when it has ended whole, else fails with `Ended`.
        to_read: Prompt tokens that are not read yet.
        made: Tokens generated.
    """

    def __init__(
        self,
        env: simpy.Environment,
        parts: tuple[routed_calls.PromptPart, ...],
        keep_as: str,
        output: int,
        told: Callable[[], None],
    ) -> None:
        self.parts = parts
        self.keep_as = keep_as
        self.output = output
        self.told = told
        self.done = env.event()
        self.prompt = sum(part.tokens for part in parts)
        self.to_read = self.prompt
        self.read_again = 0
        self.made = 0
        self.starts = 0.0

    @property
    def context(self) -> int:
        """Tokens that it holds in memory."""
        return self.prompt - self.to_read + self.made


class Cache:
    """Parts that were read, the least recently used ones first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.size = 0

    def match(self, parts: tuple[routed_calls.PromptPart, ...]) -> int:
        """Returns the tokens of the leading parts that are held."""
        found = 0
        for part in parts:
            if part.id not in self.parts:
                break
            self.parts.move_to_end(part.id)
            found += part.tokens
        return found

    def put(self, part: str, tokens: int) -> None:
        """Keeps a part."""
        self.size += tokens - self.parts.pop(part, 0)
        self.parts[part] = tokens

    def shrink(self, most: int) -> None:
        """Drops parts until at most so many tokens are kept."""
        while self.parts and self.size > most:
            _, tokens = self.parts.popitem(last=False)
            self.size -= tokens


class Engine:
    """One engine.

    Attributes:
        slow: Factor on all its times.
        up: Whether it takes requests.
        life: Grows with each start.
        losing: Share of answers that are lost.
        failing: Share of requests that are answered with a failure.
        read: Prompt tokens read so far.
        stalled: Time until which it stands still.
    """

    def __init__(
        self, env: simpy.Environment, model: plan.Engine, chance: Any
    ) -> None:
        self.env = env
        self.model = model
        self.chance = chance
        self.slow = 1.0
        self.up = True
        self.life = 1
        self.losing = 0.0
        self.failing = 0.0
        self.read = 0
        self.stalled = 0.0
        self.cache = Cache()
        self.waiting: collections.deque[Run] = collections.deque()
        self.batch: list[Run] = []
        self.wake = env.event()
        env.process(self._work())

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return len(self.batch) + len(self.waiting)

    def submit(self, run: Run) -> None:
        """Takes a request, or ends it at once."""
        if not self.up:
            run.done.fail(Ended("broke"))
        elif self.load >= self.model.slots + self.model.queue:
            run.done.fail(Ended("refused"))
        elif self.chance.random() < self.failing:
            run.done.fail(Ended("failed"))
        else:
            self.waiting.append(run)
            self._rouse()

    def leave(self, run: Run) -> None:
        """Gives a request up."""
        if run in self.batch:
            self.batch.remove(run)
        elif run in self.waiting:
            self.waiting.remove(run)

    def crash(self) -> None:
        """Ends all requests and forgets everything."""
        self.up = False
        runs = [*self.batch, *self.waiting]
        self.batch.clear()
        self.waiting.clear()
        self.cache = Cache()
        for run in runs:
            if not run.done.triggered:
                run.done.fail(Ended("broke"))

    def restart(self) -> None:
        """Takes requests again, as another life."""
        self.life += 1
        self.up = True

    def _rouse(self) -> None:
        if not self.wake.triggered:
            self.wake.succeed()

    def _work(self) -> Any:
        while True:
            if self.env.now < self.stalled:
                yield self.env.timeout(self.stalled - self.env.now)
            self._admit()
            if not self.batch:
                self.wake = self.env.event()
                yield self.wake
                continue
            chunk = self._chunk()
            if chunk:
                yield self.env.timeout(self._step(sum(chunk.values())))
                self._read(chunk)
                self._generate(1)
                continue
            yield from self._many()

    def _many(self) -> Any:
        """Generates up to the next event; an arrival ends it sooner."""
        ready = [run for run in self.batch if run.starts <= self.env.now]
        if not ready:
            soonest = min(run.starts for run in self.batch) - self.env.now
            self.wake = self.env.event()
            yield self.env.timeout(max(soonest, _EPSILON)) | self.wake
            return
        stride = self.model.stride
        steps = min(
            min(stride - run.made % stride, run.output - run.made)
            for run in ready
        )
        each = self._step(0)
        began = self.env.now
        self.wake = self.env.event()
        late = [run.starts for run in self.batch if run.starts > began]
        if late:
            steps = min(steps, max(1, math.ceil((min(late) - began) / each)))
        yield self.env.timeout(steps * each) | self.wake
        passed = self.env.now - began
        done = min(steps, int(passed / each + 1e-6))
        if done < steps:
            # The step under way ends before the newcomer is taken in.
            done += 1
            yield self.env.timeout(max(0.0, done * each - passed))
        self._generate(done)

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.model.slots:
            run = self.waiting[0]
            used = sum(other.prompt + other.output for other in self.batch)
            if self.batch and used + run.prompt + run.output > (
                self.model.memory
            ):
                return
            self.waiting.popleft()
            run.to_read = run.prompt - self.cache.match(run.parts)
            run.to_read = max(run.to_read, 1)
            run.starts = self.env.now + self.model.first * self.slow / 1000.0
            self.batch.append(run)

    def _chunk(self) -> dict[Run, int]:
        left = self.model.chunk
        found: dict[Run, int] = {}
        for run in self.batch:
            if run.to_read and left:
                found[run] = min(left, run.to_read)
                left -= found[run]
        return found

    def _step(self, reading: int) -> float:
        model = self.model
        going = [run for run in self.batch if not run.to_read]
        context = sum(run.context for run in going) / 1000.0
        step = 0.0
        if going:
            step = model.step + model.step_per_request * len(going)
            step += model.step_per_thousand * context
        step += reading / model.read_per_ms
        return max(_EPSILON, step * self.slow / 1000.0)

    def _read(self, chunk: dict[Run, int]) -> None:
        for run, tokens in chunk.items():
            run.to_read -= tokens
            self.read += tokens
            if not run.to_read:
                for part in run.parts:
                    self.cache.put(part.id, part.tokens)
        held = sum(run.context for run in self.batch)
        self.cache.shrink(max(0, self.model.memory - held))

    def _generate(self, steps: int) -> None:
        for run in list(self.batch):
            if run.to_read or run.starts > self.env.now:
                continue
            before = run.made // self.model.stride
            run.made = min(run.output, run.made + steps)
            whole = run.made >= run.output
            if run.made // self.model.stride > before or whole:
                run.told()
            if whole:
                self._end(run)

    def _end(self, run: Run) -> None:
        self.batch.remove(run)
        last = run.parts[-1]
        self.cache.put(run.keep_as, last.tokens + run.output)
        if run.done.triggered:
            return
        if self.chance.random() < self.losing:
            run.done.fail(Ended("broke"))
        else:
            run.done.succeed()
