"""Management of the engine's prefix cache.

Evicts the prefixes of ended programs and, under pressure, of paused ones.
"""

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

# Programs in one RenewResidency request.
_RENEW_BATCH = 512
_ASK_TIMEOUT = 5.0
# Length of a program id that an entry generated.
_RENEWAL_BYTES = 36
# Long-poll timeout of a request for cache events.
_EVENT_WAIT = 1.0
# Seconds between two requests for cache events. Without a pause there would be
# a request per turn; the delay does no harm, since the engine's events are late
# in any case.
_EVENT_PAUSE = 0.2
_RETRY_SECONDS = 0.5
# Paused programs are evicted when the cache is filled to the first fraction,
# until it is down to the second. Otherwise the engine would evict prefixes
# that are about to be used, since it knows nothing of pauses.
_EVICTION_START = 0.9
_EVICTION_TARGET = 0.8


class Exports:
    """Exported prefixes by program; the oldest is dropped first.

    Attributes:
        limit: Maximum total size in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blobs: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.size = 0

    def put(self, program: str, blob: bytes) -> None:
        """Adds an export and drops the oldest ones above the limit."""
        self.pop(program)
        self.blobs[program] = blob
        self.size += len(blob)
        while self.size > self.limit:
            self.pop(next(iter(self.blobs)))

    def pop(self, program: str) -> bytes | None:
        """Removes and returns an export; None if there is none."""
        blob = self.blobs.pop(program, None)
        if blob is not None:
            self.size -= len(blob)
        return blob


# Programs whose usage is kept, at about 200 bytes each.
_MAX_USAGES = 20_000


class ProgramUsage(NamedTuple):
    """Totals of a program at the end of its last turn here.

    Attributes:
        agent: Name of the agent; empty if unknown.
        tokens: Tokens served to the root program so far.
        turns: Turns of this program so far.
    """

    agent: str
    tokens: int
    turns: int


class CacheManager:
    """Tracks and evicts the cached prefixes of one engine.

    Attributes:
        on_program_ended: Called with each program that its group no longer
            has.
        ledger: Cached tokens by program, as known here.
        paused_caches: Decides which paused programs to evict.
        exports: Prefixes that were exported from the cache.
        usages: Totals of the programs that ran here, the latest last.
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
        """Starts to follow cache events and to renew residency.

        Args:
            renew_interval: Seconds between two renewals, at least.
        """
        self.timers.spawn(self._follow_events_forever)
        self.timers.spawn(self._renew_forever, renew_interval)

    def resize(self, info: upstream_port.EngineInfo) -> None:
        """Adopts the cache size that the engine announces."""
        rate = (
            self.paused_caches.options.prefill_rate * 8
            if info.kv_export
            else 0.0
        )
        self.paused_caches.options = cache_retention.Options(
            memory=info.memory, export_rate=rate
        )

    def resident_tokens(self, program: str) -> int:
        """Returns the cached tokens of a program."""
        return self.ledger.tokens.get(program, 0)

    def called(self, program: str) -> int:
        """Records a queued turn of a program; returns its cached tokens."""
        self.paused_caches.called(program, self.timers.now())
        return self.resident_tokens(program)

    def refused(self, program: str) -> None:
        """Records that the queued turn of a program is not run here."""
        self.paused_caches.refused(program, self.timers.now())

    def prepare(self, program: str) -> None:
        """Restores an exported prefix before a program's turn starts."""
        self.paused_caches.started(program)
        blob = self.exports.pop(program)
        if blob is None:
            return
        try:
            self.engine.import_cache(blob)
        except errors.MintcleatError as error:
            # The engine computes the prefix again, which only takes time.
            logger.info(
                "Could not import the prefix of {}: {}", program, error.detail
            )

    def pause(self, program: str, agent: str, tokens: int) -> None:
        """Decides whether to keep a prefix while the program's tool runs.

        Args:
            program: The program; empty for none.
            agent: Name of its agent.
            tokens: Tokens of the conversation so far.
        """
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
        """Keeps a program's totals for the estimator until it ends."""
        self.usages[program] = usage
        self.usages.move_to_end(program)
        if len(self.usages) > _MAX_USAGES:
            self.usages.popitem(last=False)

    def _learn(self, program: str) -> None:
        usage = self.usages.pop(program, None)
        if usage is not None and usage.agent:
            self.admission.learn(usage.agent, usage.tokens, usage.turns)

    def sweep(self) -> None:
        """Evicts programs that have been paused for too long."""
        now = self.timers.now()
        for action in self.paused_caches.sweep(now):
            self._execute(action)
            self.admission.remove_programs([action.program])
        self.admission.protect(self.paused_caches.expected_soon(now))

    def renew(self) -> None:
        """Asks the groups which programs have ended and evicts these."""
        programs = list(self.ledger.tokens)
        for start in range(0, len(programs), _RENEW_BATCH):
            batch = programs[start : start + _RENEW_BATCH]
            ended = self.control.ended_programs(self.node, batch, _ASK_TIMEOUT)
            for program in ended:
                self.paused_caches.program_ended(program)
                self.exports.pop(program)
                self.on_program_ended(program)
                self._learn(program)
            # Only ended programs leave the working set. A program that was
            # evicted under pressure comes back; if it left the working set,
            # too many new programs would be admitted.
            self.admission.remove_programs(ended)
            # A turn that ends later fills the cache again. The ledger records
            # it, and the next renewal evicts it.
            self.release(ended)

    def release(self, programs: list[str]) -> None:
        """Evicts programs; after a failure they stay in the ledger.

        The next renewal then finds those that have ended again.
        """
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
        """Evicts all programs before a planned stop."""
        self.stopped = True
        try:
            self.ledger.mend(self.engine.cache_listing())
        except errors.MintcleatError as error:
            logger.info(
                "Could not list the cache at the stop: {}", error.detail
            )
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
            logger.info(
                "Could not truncate the prefix of {}: {}", program, error.detail
            )
            return
        self.ledger.truncated(program, keep)

    def _export(self, program: str) -> None:
        try:
            self.exports.put(program, self.engine.export_cache(program))
        except errors.MintcleatError as error:
            logger.info(
                "Could not export the prefix of {}: {}", program, error.detail
            )

    def _follow_events_forever(self) -> None:
        """Applies cache events, and a listing whenever events are missing."""
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
        # Missing events may only be late. Waiting for them costs less than a
        # listing each time.
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
                logger.info("Could not renew residency: {}", error.detail)
