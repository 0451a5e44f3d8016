"""Keeps the engine's memory free of programs that nobody continues."""

import collections
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from mintcleat.decisions import cache_retention
from mintcleat.decisions import send_interval
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import control as control_port
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles.sidecar import admission as sidecar_admission
from mintcleat.roles.sidecar import ledger as sidecar_ledger

# Programs asked about in one message to a program group.
_RENEW_BATCH = 512
_ASK_TIMEOUT = 5.0
# One program's id in a renewal, as entries make ids.
_RENEWAL_BYTES = 36
_EVENT_WAIT = 1.0
# Each turn makes events. Asked for one by one they cost a request a turn; a
# ledger that is this much behind costs nothing, for the engine's own events
# come late in any case.
_EVENT_PAUSE = 0.2
_RETRY_SECONDS = 0.5
# Caches are put out from this part of the engine's memory on, down to the
# other, so that the engine need not evict what is about to be used.
_EVICTION_START = 0.9
_EVICTION_TARGET = 0.8


class Exports:
    """Exported caches, the oldest dropped first; `limit` in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blobs: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.size = 0

    def put(self, program: str, blob: bytes) -> None:
        """Keeps an export."""
        self.pop(program)
        self.blobs[program] = blob
        self.size += len(blob)
        while self.size > self.limit:
            self.pop(next(iter(self.blobs)))

    def pop(self, program: str) -> bytes | None:
        """Takes an export out."""
        blob = self.blobs.pop(program, None)
        if blob is not None:
            self.size -= len(blob)
        return blob


# Programs whose usage is remembered, at about 200 bytes each.
_MAX_USAGES = 20_000


class ProgramUsage(NamedTuple):
    """What a program had when its last turn here ended.

    Attributes:
        tokens: Tokens served to the whole (root) program.
    """

    agent: str
    tokens: int
    turns: int


class CacheManager:
    """The ledger of one engine, its renewal and the retain decisions.

    Attributes:
        on_program_ended: Called with each program that its group gave up.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        engine: upstream_port.ModelEngine,
        control: control_port.Control,
        timers: timers_port.Timers,
        *,
        admission: sidecar_admission.Admission,
        export_bytes: int,
        on_program_ended: Callable[[str], None],
    ) -> None:
        self.node = node
        self.engine = engine
        self.control = control
        self.timers = timers
        self.admission = admission
        self.on_program_ended = on_program_ended
        self.ledger = sidecar_ledger.Ledger()
        self.paused_caches = cache_retention.PausedCaches(
            cache_retention.Options(memory=0)
        )
        self.exports = Exports(export_bytes)
        self.usages: collections.OrderedDict[str, ProgramUsage] = (
            collections.OrderedDict()
        )
        self.stopped = False

    def start(self, renew_interval: float) -> None:
        """Begins to follow the engine and to renew residency."""
        self.timers.spawn(self._follow_events_forever)
        self.timers.spawn(self._renew_forever, renew_interval)

    def resize(self, info: upstream_port.EngineInfo) -> None:
        """Takes the size that the engine announces."""
        rate = (
            self.paused_caches.options.prefill_rate * 8
            if info.kv_export
            else 0.0
        )
        self.paused_caches.options = cache_retention.Options(
            memory=info.memory, export_rate=rate
        )

    def resident_tokens(self, program: str) -> int:
        """Returns the tokens that the engine holds for a program."""
        return self.ledger.tokens.get(program, 0)

    def called(self, program: str) -> int:
        """Notes that a program's next turn waits; returns what is cached."""
        self.paused_caches.called(program, self.timers.now())
        return self.resident_tokens(program)

    def refused(self, program: str) -> None:
        """Notes that the turn is not run here."""
        self.paused_caches.refused(program, self.timers.now())

    def prepare(self, program: str) -> None:
        """Prepares the engine for a program's turn that starts now."""
        self.paused_caches.started(program)
        blob = self.exports.pop(program)
        if blob is None:
            return
        try:
            self.engine.import_cache(blob)
        except errors.MintcleatError as error:
            # The engine rebuilds the prefix instead; only time is lost.
            logger.info("No import for {}: {}", program, error.detail)

    def pause(self, program: str, agent: str, tokens: int) -> None:
        """Decides what becomes of a cache while the program's tool runs."""
        if not program:
            return
        self.ledger.record_turn(program, tokens)
        now = self.timers.now()
        self._execute(self.paused_caches.paused(program, agent, tokens, now))
        memory = self.paused_caches.options.memory
        used = self.ledger.total()
        if memory and used > _EVICTION_START * memory:
            needed = int(used - _EVICTION_TARGET * memory)
            for action in self.paused_caches.victims(needed, now):
                self._execute(action)
        self.admission.protect(self.paused_caches.expected_soon(now))

    def record_usage(self, program: str, usage: ProgramUsage) -> None:
        """Keeps what a program had, for the learner once it is gone."""
        self.usages[program] = usage
        self.usages.move_to_end(program)
        if len(self.usages) > _MAX_USAGES:
            self.usages.popitem(last=False)

    def _learn(self, program: str) -> None:
        usage = self.usages.pop(program, None)
        if usage is not None and usage.agent:
            self.admission.learn(usage.agent, usage.tokens, usage.turns)

    def sweep(self) -> None:
        """Puts out what has been paused for too long."""
        now = self.timers.now()
        for action in self.paused_caches.sweep(now):
            self._execute(action)
            self.admission.remove_programs([action.program])
        self.admission.protect(self.paused_caches.expected_soon(now))

    def renew(self) -> None:
        """Asks which programs are gone and releases them."""
        programs = list(self.ledger.tokens)
        for start in range(0, len(programs), _RENEW_BATCH):
            batch = programs[start : start + _RENEW_BATCH]
            gone = self.control.ended_programs(self.node, batch, _ASK_TIMEOUT)
            for program in gone:
                self.paused_caches.gone(program)
                self.exports.pop(program)
                self.on_program_ended(program)
                self._learn(program)
            # Only a program that is gone leaves the working set. One whose
            # cache was evicted under pressure comes back; counted as gone it
            # made room for newcomers, and the engine took in too many.
            self.admission.remove_programs(gone)
            # A turn that ends after this fills the cache again; the ledger
            # hears of it, and the next renewal releases it.
            self.release(gone)

    def release(self, programs: list[str]) -> None:
        """Frees programs; what fails stays in the ledger for the next time."""
        if not programs:
            return
        try:
            self.engine.release(programs)
        except errors.MintcleatError as error:
            logger.warning(
                "Could not evict programs from the cache: {}", error.detail
            )
            return
        self.ledger.released(programs)

    def release_all(self) -> None:
        """Frees everything, for a planned stop."""
        self.stopped = True
        try:
            self.ledger.mend(self.engine.cache_listing())
        except errors.MintcleatError as error:
            logger.info("No listing at the stop: {}", error.detail)
        self.release(list(self.ledger.tokens))

    def _execute(self, action: cache_retention.Action) -> None:
        match action:
            case cache_retention.Export(program):
                self._export(program)
                self.release([program])
            case cache_retention.Drop(program, 0):
                self.release([program])
            case cache_retention.Drop(program, keep):
                self._truncate(program, keep)
            case cache_retention.Hold():
                return

    def _truncate(self, program: str, keep: int) -> None:
        try:
            self.engine.truncate(program, keep)
        except errors.MintcleatError as error:
            logger.info("{} is not shortened: {}", program, error.detail)
            return
        self.ledger.truncated(program, keep)

    def _export(self, program: str) -> None:
        try:
            self.exports.put(program, self.engine.export_cache(program))
        except errors.MintcleatError as error:
            logger.info("No export of {}: {}", program, error.detail)

    def _follow_events_forever(self) -> None:
        """Takes in events as they come, and listings where they are lacking."""
        while not self.stopped:
            try:
                self._follow_events()
            except errors.MintcleatError:
                self.ledger.unsure = True
                self.timers.sleep(_RETRY_SECONDS)

    def _follow_events(self) -> None:
        if self.ledger.unsure:
            self.ledger.mend(self.engine.cache_listing())
        events = self.engine.events(self.ledger.seq, _EVENT_WAIT)
        self.ledger.take(events)
        # Late events may still come; a listing at each of them would cost
        # more than the wait.
        unsure = self.ledger.unsure
        self.timers.sleep(_RETRY_SECONDS if unsure else _EVENT_PAUSE)

    def _renew_forever(self, seconds: float) -> None:
        while not self.stopped:
            size = len(self.ledger.tokens) * _RENEWAL_BYTES
            wait = send_interval.for_budget(
                seconds, size, send_interval.RENEWAL_BUDGET
            )
            self.timers.sleep(wait)
            if self.stopped:
                return
            try:
                self.sweep()
                self.renew()
            except errors.MintcleatError as error:
                logger.info("Residency is not renewed: {}", error.detail)
