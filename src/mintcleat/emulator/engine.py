"""A model of an inference engine.

It has a queue, one batch with chunked prefill, and a prefix cache.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import math
from typing import Any

import simpy

from mintcleat.domain import routed_calls
from mintcleat.emulator import plan

# A shorter wait could be rounded to none, and the time would not advance.
_MIN_WAIT_SECONDS = 1e-9


class RequestFailed(Exception):
    """An upstream did not complete a request.

    Attributes:
        reason: `refused` if the queue was full, `broke` if the connection
            was lost, `failed` if the answer was an error.
        generated: Tokens that its caller had got before, if it can be resumed.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
        self.generated = 0


class Request:
    """One request to an engine.

    Attributes:
        parts: The prompt; parts that other prompts share come first.
        cache_id: Id under which the last part and the output are cached.
        output: Number of tokens to generate.
        on_event: Called whenever `Engine.stride` tokens have been generated,
            and at the end.
        done: Succeeds when the request is complete, or fails with
            `RequestFailed`.
        prompt: Number of prompt tokens.
        to_prefill: Number of prompt tokens that are still to be processed.
        generated: Number of tokens generated so far.
        decode_start: Earliest time at which tokens are generated.
    """

    def __init__(
        self,
        env: simpy.Environment,
        parts: tuple[routed_calls.PromptPart, ...],
        cache_id: str,
        output: int,
        on_event: Callable[[], None],
    ) -> None:
        self.parts = parts
        self.cache_id = cache_id
        self.output = output
        self.on_event = on_event
        self.done = env.event()
        self.prompt = sum(part.tokens for part in parts)
        self.to_prefill = self.prompt
        self.generated = 0
        self.decode_start = 0.0

    @property
    def context(self) -> int:
        """Number of tokens that it holds in the memory of the engine."""
        return self.prompt - self.to_prefill + self.generated


class Cache:
    """A cache of prompt parts.

    Attributes:
        parts: Size in tokens by id, the least recently used part first.
        used_tokens: Size of all parts.
    """

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0

    def match_prefix(self, parts: tuple[routed_calls.PromptPart, ...]) -> int:
        """Returns the size in tokens of the cached prefix of a prompt."""
        total = 0
        for part in parts:
            if part.id not in self.parts:
                break
            self.parts.move_to_end(part.id)
            total += part.tokens
        return total

    def cached_prefix(self, parts: tuple[routed_calls.PromptPart, ...]) -> int:
        """Returns the same as `match_prefix`, without using the parts."""
        total = 0
        for part in parts:
            if part.id not in self.parts:
                break
            total += part.tokens
        return total

    def put(self, part: str, tokens: int) -> None:
        """Stores a part as the most recently used one."""
        self.used_tokens += tokens - self.parts.pop(part, 0)
        self.parts[part] = tokens

    def evict(
        self, max_tokens: int, in_use: Collection[str] = frozenset()
    ) -> None:
        """Evicts the least recently used parts beyond `max_tokens`.

        Parts that are `in_use` stay, and count as recently used.
        """
        for part in list(self.parts):
            if self.used_tokens <= max_tokens:
                return
            if part in in_use:
                self.parts.move_to_end(part)
            else:
                self.used_tokens -= self.parts.pop(part)


class Engine:
    """One engine.

    Attributes:
        speed: Divides the time of each step.
        slow: Factor on the time of each step.
        is_up: Whether it accepts requests.
        start_count: Number of starts so far.
        losing: Fraction of requests whose answer is lost.
        failing: Fraction of requests that are answered with an error.
        prefilled_tokens: Number of prompt tokens processed so far.
        stalled_until: Time until which no step begins.
        batch: Running requests.
        part_users: Number of running requests that use a prompt part, by id.
        held_tokens: Tokens that the running requests hold. A part that
            several of them use counts once.
        preempted: Number of requests that were taken out of the batch.
        wakeup: Succeeds when a request arrives.
    """

    def __init__(
        self,
        env: simpy.Environment,
        model: plan.Engine,
        rng: Any,
        speed: float = 1.0,
    ) -> None:
        self.env = env
        self.model = model
        self.rng = rng
        self.speed = speed
        self.slow = 1.0
        self.is_up = True
        self.start_count = 1
        self.losing = 0.0
        self.failing = 0.0
        self.prefilled_tokens = 0
        self.stalled_until = 0.0
        self.cache = Cache()
        self.waiting: collections.deque[Request] = collections.deque()
        self.batch: list[Request] = []
        self.part_users: collections.Counter[str] = collections.Counter()
        self.held_tokens = 0
        self.preempted = 0
        self.wakeup = env.event()
        env.process(self._run())

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return len(self.batch) + len(self.waiting)

    def submit(self, request: Request) -> None:
        """Queues a request, or fails it at once."""
        if not self.is_up:
            request.done.fail(RequestFailed("broke"))
        elif self.load >= self.model.slots + self.model.queue:
            request.done.fail(RequestFailed("refused"))
        elif self.rng.random() < self.failing:
            request.done.fail(RequestFailed("failed"))
        else:
            self.waiting.append(request)
            self._wake_up()

    def cancel(self, request: Request) -> None:
        """Removes a request that the client has given up."""
        if request in self.batch:
            self._leave(request)
        elif request in self.waiting:
            self.waiting.remove(request)

    def crash(self) -> None:
        """Fails all requests and loses the cache."""
        self.is_up = False
        requests = [*self.batch, *self.waiting]
        self.batch.clear()
        self.part_users.clear()
        self.held_tokens = 0
        self.waiting.clear()
        self.cache = Cache()
        for request in requests:
            if not request.done.triggered:
                request.done.fail(RequestFailed("broke"))

    def restart(self) -> None:
        """Accepts requests again, as a new process."""
        self.start_count += 1
        self.is_up = True

    def _wake_up(self) -> None:
        if not self.wakeup.triggered:
            self.wakeup.succeed()

    def _run(self) -> Any:
        while True:
            if self.env.now < self.stalled_until:
                yield self.env.timeout(self.stalled_until - self.env.now)
            self._admit()
            if not self.batch:
                self.wakeup = self.env.event()
                yield self.wakeup
                continue
            chunk = self._next_chunk()
            if chunk:
                yield self.env.timeout(self._step_seconds(sum(chunk.values())))
                self._prefill(chunk)
                self._decode(1)
                continue
            yield from self._decode_steps()

    def _decode_steps(self) -> Any:
        """Generates tokens up to the next event of a request.

        These steps are simulated as one wait, with the step time at its
        start. An arrival ends it early, and so does a request that reaches
        its `decode_start`.
        """
        decoding = [
            request
            for request in self.batch
            if request.decode_start <= self.env.now
        ]
        if not decoding:
            yield from self._await_decoding()
            return
        step_seconds = self._step_seconds(0)
        started = self.env.now
        self.wakeup = self.env.event()
        steps = self._steps_to_event(decoding, step_seconds)
        yield self.env.timeout(steps * step_seconds) | self.wakeup
        elapsed = self.env.now - started
        # 1e-6 makes up for rounding in the simulated time.
        done = min(steps, int(elapsed / step_seconds + 1e-6))
        if done < steps:
            # A request that arrives during a step joins the batch after it.
            done += 1
            yield self.env.timeout(max(0.0, done * step_seconds - elapsed))
        self._decode(done)

    def _await_decoding(self) -> Any:
        """Waits until a request of the batch may decode or another arrives."""
        start = min(request.decode_start for request in self.batch)
        wait = start - self.env.now
        self.wakeup = self.env.event()
        yield self.env.timeout(max(wait, _MIN_WAIT_SECONDS)) | self.wakeup

    def _steps_to_event(
        self, decoding: list[Request], step_seconds: float
    ) -> int:
        """Returns the number of steps up to the next event of a request.

        Args:
            decoding: The requests of the batch that decode; at least one.
            step_seconds: Time of a step.
        """
        stride = self.model.stride
        steps = min(
            min(
                stride - request.generated % stride,
                request.output - request.generated,
            )
            for request in decoding
        )
        now = self.env.now
        later = [
            request.decode_start
            for request in self.batch
            if request.decode_start > now
        ]
        if not later:
            return steps
        return min(steps, max(1, math.ceil((min(later) - now) / step_seconds)))

    def _admit(self) -> None:
        while self.waiting and len(self.batch) < self.model.slots:
            request = self.waiting[0]
            if self.batch and not self._fits(request):
                return
            self.waiting.popleft()
            request.to_prefill = (
                request.prompt
                + request.generated
                - self.cache.match_prefix(request.parts)
            )
            request.to_prefill = max(request.to_prefill, 1)
            request.decode_start = (
                self.env.now
                + self.model.first * self.slow / self.speed / 1000.0
            )
            self.batch.append(request)
            self._hold(request, 1)

    def _fits(self, request: Request) -> bool:
        """Returns whether there is memory for a waiting request."""
        if not self.model.preempts:
            reserved = sum(other.prompt + other.output for other in self.batch)
            needed = request.prompt + request.output
            return reserved + needed <= self.model.memory
        needed = request.generated + sum(
            part.tokens
            for part in request.parts
            if not self.part_users[part.id]
        )
        return self.held_tokens + needed <= self.model.memory

    def _hold(self, request: Request, sign: int) -> None:
        """Adds (1) or subtracts (-1) what a request holds."""
        users = self.part_users
        self.held_tokens += sign * request.generated
        for part in request.parts:
            others = users[part.id] - (sign < 0)
            users[part.id] += sign
            if not others:
                self.held_tokens += sign * part.tokens
            if not users[part.id]:
                del users[part.id]

    def _leave(self, request: Request) -> None:
        """Takes a request out of the batch."""
        self.batch.remove(request)
        self._hold(request, -1)

    def _preempt(self) -> None:
        """Takes the latest requests out while the memory overflows."""
        if not self.model.preempts:
            return
        while self.held_tokens > self.model.memory and len(self.batch) > 1:
            request = self.batch[-1]
            self._leave(request)
            self.waiting.appendleft(request)
            self.preempted += 1

    def _next_chunk(self) -> dict[Request, int]:
        budget = self.model.chunk
        chunk: dict[Request, int] = {}
        for request in self.batch:
            if request.to_prefill and budget:
                chunk[request] = min(budget, request.to_prefill)
                budget -= chunk[request]
        return chunk

    def _step_seconds(self, prefill_tokens: int) -> float:
        model = self.model
        decoding = [request for request in self.batch if not request.to_prefill]
        context = sum(request.context for request in decoding) / 1000.0
        step = 0.0
        if decoding:
            step = model.step + model.step_per_request * len(decoding)
            step += model.step_per_thousand * context
        step += prefill_tokens / model.read_per_ms
        seconds = step * self.slow / self.speed / 1000.0
        return max(_MIN_WAIT_SECONDS, seconds)

    def _prefill(self, chunk: dict[Request, int]) -> None:
        for request, tokens in chunk.items():
            request.to_prefill -= tokens
            self.prefilled_tokens += tokens
            if not request.to_prefill:
                for part in request.parts:
                    self.cache.put(part.id, part.tokens)
        if self.model.preempts:
            # The cache and the running requests hold a prompt part once.
            uncached = sum(
                request.to_prefill + request.generated for request in self.batch
            )
            self.cache.evict(
                max(0, self.model.memory - uncached), self.part_users
            )
            return
        running = sum(request.context for request in self.batch)
        self.cache.evict(max(0, self.model.memory - running))

    def _decode(self, steps: int) -> None:
        for request in list(self.batch):
            if request.to_prefill or request.decode_start > self.env.now:
                continue
            before = request.generated // self.model.stride
            generated = min(request.output, request.generated + steps)
            self.held_tokens += generated - request.generated
            request.generated = generated
            complete = request.generated >= request.output
            if request.generated // self.model.stride > before or complete:
                request.on_event()
            if complete:
                self._complete(request)
        self._preempt()

    def _complete(self, request: Request) -> None:
        self._leave(request)
        last = request.parts[-1]
        self.cache.put(request.cache_id, last.tokens + request.output)
        if request.done.triggered:
            return
        if self.rng.random() < self.losing:
            request.done.fail(RequestFailed("broke"))
        else:
            request.done.succeed()
