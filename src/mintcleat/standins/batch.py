"""Continuous batching of the stand-in engine.

Each step generates one token for every sequence in the batch.
"""

import itertools
import json
from typing import NamedTuple

import eventlet
from eventlet import event
import xxhash

from mintcleat.standins import cache


class Speed(NamedTuple):
    """Timing of the stand-in engine.

    Attributes:
        token_time: Seconds of one step.
        prefill_rate: Prompt tokens per second.
        slots: Maximum number of sequences in the batch.
        slowdown: Fraction of `token_time` that each sequence beyond the
            first adds to a step.
    """

    token_time: float = 0.001
    prefill_rate: float = 200_000.0
    slots: int = 16
    slowdown: float = 0.0


class Sequence:
    """The generation of one answer.

    It is independent of the connection that requested it, so that a reader
    can disconnect and resume.

    Attributes:
        request: The caller's id of the request.
        program: Program whose cache the answer is stored in; may be empty.
        prompt: JSON texts of the messages.
        priority: Lower values are admitted to the batch first.
        tokens: The whole answer, known from the start.
        generated: Number of tokens generated so far.
        cached_tokens: Prompt tokens found in the prefix cache.
        prefill_seconds: Time left until the prompt is processed.
        finish_reason: OpenAI's finish reason, or `crashed`; empty while the
            sequence runs.
        readers: Number of responses that are reading the answer.
        changed: Sent whenever the text or `finish_reason` changes, and then
            replaced by a new event.
    """

    def __init__(
        self,
        request: str,
        program: str,
        prompt: list[str],
        max_tokens: int,
        priority: int,
    ) -> None:
        self.request = request
        self.program = program
        self.prompt = prompt
        self.priority = priority
        self.tokens = answer_tokens(prompt, max_tokens)
        self.generated = 0
        self.cached_tokens = 0
        self.prefill_seconds = 0.0
        self.finish_reason = ""
        self.readers = 0
        self.changed = event.Event()

    @property
    def text(self) -> str:
        """The text generated so far."""
        return "".join(self.tokens[: self.generated])

    def notify(self) -> None:
        """Wakes every reader."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def finish(self, reason: str) -> None:
        """Finishes the sequence; no effect if it is finished already."""
        if not self.finish_reason:
            self.finish_reason = reason
            self.notify()


class Batch:
    """Runs sequences step by step in one green thread.

    Attributes:
        waiting: Queued sequences by priority and arrival.
        running: Sequences in the batch.
        stalled: Whether steps pass without generating anything.
        stopped: Whether the batch has been stopped for good.
        work: Sent when a sequence is queued.
    """

    def __init__(self, speed: Speed, prefix_cache: cache.PrefixCache) -> None:
        self.speed = speed
        self.prefix_cache = prefix_cache
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.running: list[Sequence] = []
        self.arrivals = itertools.count()
        self.stalled = False
        self.stopped = False
        self.work = event.Event()
        self.thread = eventlet.spawn(self._run)

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence behind those of the same priority."""
        self.waiting.append((sequence.priority, next(self.arrivals), sequence))
        self.waiting.sort(key=lambda entry: entry[:2])
        if not self.work.ready():
            self.work.send()

    def stop(self) -> None:
        """Aborts all sequences at once, like a crash of the process."""
        self.stopped = True
        self.thread.kill()
        for sequence in [*self.running, *(item[2] for item in self.waiting)]:
            sequence.finish("crashed")
        self.running.clear()
        self.waiting.clear()

    def _run(self) -> None:
        while not self.stopped:
            if not self.running and not self.waiting:
                self.work = event.Event()
                self.work.wait()
            self._admit()
            extra = self.speed.slowdown * max(0, len(self.running) - 1)
            step_seconds = self.speed.token_time * (1.0 + extra)
            eventlet.sleep(step_seconds)
            if not self.stalled:
                self._step(step_seconds)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.speed.slots:
            sequence = self.waiting.pop(0)[2]
            if sequence.finish_reason:
                continue
            total = sum(map(cache.count_tokens, sequence.prompt))
            sequence.cached_tokens = self.prefix_cache.cached_tokens(
                sequence.prompt
            )
            sequence.prefill_seconds = (
                total - sequence.cached_tokens
            ) / self.speed.prefill_rate
            self.running.append(sequence)

    def _step(self, step_seconds: float) -> None:
        for sequence in self.running:
            if sequence.finish_reason:
                continue
            if sequence.prefill_seconds > 0:
                sequence.prefill_seconds -= step_seconds
                continue
            sequence.generated += 1
            if sequence.generated >= len(sequence.tokens):
                self._cache_answer(sequence)
                sequence.finish("stop")
            else:
                sequence.notify()
        self.running = [item for item in self.running if not item.finish_reason]

    def _cache_answer(self, sequence: Sequence) -> None:
        answer = answer_message(sequence.text)
        self.prefix_cache.store(sequence.program, [*sequence.prompt, answer])


def answer_message(text: str) -> str:
    """Returns the JSON text of an assistant message."""
    message = {"role": "assistant", "content": text}
    return json.dumps(message, separators=(",", ":"), ensure_ascii=False)


def answer_tokens(prompt: list[str], max_tokens: int) -> list[str]:
    """Returns the tokens of the answer, which the prompt determines.

    Each token contains a digest of the prompt and its own position, so that
    a test can detect an answer to another prompt and a missing token.
    """
    digest = xxhash.xxh3_64_hexdigest("\n".join(prompt).encode())[:6]
    return [f"{digest}.{position} " for position in range(max(1, max_tokens))]
