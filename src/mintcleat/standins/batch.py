"""Continuous batching for the stand-in engine: one token a step for each."""

import itertools
import json
from typing import NamedTuple

import eventlet
from eventlet import event
import xxhash

from mintcleat.standins import cache


class Speed(NamedTuple):
    """How fast the stand-in is.

    Attributes:
        token_time: Seconds of one step, in which each sequence gets a token.
        prefill_rate: Prompt tokens a second.
        slots: Sequences in the batch at once.
        slowdown: Share by which each further sequence lengthens the step.
    """

    token_time: float = 0.001
    prefill_rate: float = 200_000.0
    slots: int = 16
    slowdown: float = 0.0


class Sequence:
    """One answer in the making; it outlives the connection that asked.

    Attributes:
        request: The caller's id of the request.
        prompt: JSON texts of the messages.
        reason: OpenAI's finish reason, empty while it runs.
    """

    def __init__(
        self,
        request: str,
        program: str,
        prompt: list[str],
        limit: int,
        priority: int,
    ) -> None:
        self.request = request
        self.program = program
        self.prompt = prompt
        self.priority = priority
        self.tokens = answer_tokens(prompt, limit)
        self.sent = 0
        self.cached = 0
        self.prefill = 0.0
        self.finish_reason = ""
        self.readers = 0
        self.changed = event.Event()

    @property
    def text(self) -> str:
        """What has been generated so far."""
        return "".join(self.tokens[: self.sent])

    def notify(self) -> None:
        """Wakes every reader."""
        changed, self.changed = self.changed, event.Event()
        changed.send()

    def end(self, reason: str) -> None:
        """Ends the sequence; safe to repeat."""
        if not self.finish_reason:
            self.finish_reason = reason
            self.notify()


class Batch:
    """Runs sequences in steps on one green thread."""

    def __init__(self, speed: Speed, blocks: cache.PrefixCache) -> None:
        self.speed = speed
        self.blocks = blocks
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.running: list[Sequence] = []
        self.numbers = itertools.count()
        self.stalled = False
        self.stopped = False
        self.work = event.Event()
        self.thread = eventlet.spawn(self._run)

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence, behind those of the same priority."""
        self.waiting.append((sequence.priority, next(self.numbers), sequence))
        self.waiting.sort(key=lambda entry: entry[:2])
        if not self.work.ready():
            self.work.send()

    def stop(self) -> None:
        """Ends all work at once, as a crash does."""
        self.stopped = True
        self.thread.kill()
        for sequence in [*self.running, *(item[2] for item in self.waiting)]:
            sequence.end("crashed")
        self.running.clear()
        self.waiting.clear()

    def _run(self) -> None:
        while not self.stopped:
            if not self.running and not self.waiting:
                self.work = event.Event()
                self.work.wait()
            self._admit()
            extra = self.speed.slowdown * max(0, len(self.running) - 1)
            pause = self.speed.token_time * (1.0 + extra)
            eventlet.sleep(pause)
            if not self.stalled:
                self._step(pause)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.speed.slots:
            sequence = self.waiting.pop(0)[2]
            if sequence.finish_reason:
                continue
            total = sum(map(cache.count_tokens, sequence.prompt))
            sequence.cached = self.blocks.cached_tokens(sequence.prompt)
            sequence.prefill = (
                total - sequence.cached
            ) / self.speed.prefill_rate
            self.running.append(sequence)

    def _step(self, pause: float) -> None:
        for sequence in self.running:
            if sequence.finish_reason:
                continue
            if sequence.prefill > 0:
                sequence.prefill -= pause
                continue
            sequence.sent += 1
            if sequence.sent >= len(sequence.tokens):
                self._keep(sequence)
                sequence.end("stop")
            else:
                sequence.notify()
        self.running = [item for item in self.running if not item.finish_reason]

    def _keep(self, sequence: Sequence) -> None:
        answer = answer_message(sequence.text)
        self.blocks.store(sequence.program, [*sequence.prompt, answer])


def answer_message(text: str) -> str:
    """Returns the JSON text of an assistant message."""
    message = {"role": "assistant", "content": text}
    return json.dumps(message, separators=(",", ":"), ensure_ascii=False)


def answer_tokens(prompt: list[str], limit: int) -> list[str]:
    """Returns the tokens of the one right answer to a prompt.

    Each token names the digest of the prompt and its own place, so that a
    test can tell whose answer it reads and whether a part is missing.
    """
    mark = xxhash.xxh3_64_hexdigest("\n".join(prompt).encode())[:6]
    return [f"{mark}.{place} " for place in range(max(1, limit))]
