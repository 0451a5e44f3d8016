"""Monitoring of the upstream and the state that a sidecar announces."""

import itertools
from typing import Any
from typing import NamedTuple

from loguru import logger

from mintcleat.domain import call_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.ports import membership as membership_port
from mintcleat.ports import timers as timers_port
from mintcleat.ports import upstream as upstream_port
from mintcleat.roles.sidecar import admission as sidecar_admission
from mintcleat.roles.sidecar import memory as sidecar_memory

LOADING = "loading"
READY = "ready"
DRAINING = "draining"
DOWN = "down"

_UNKNOWN_ENGINE = upstream_port.EngineInfo(
    life=0,
    model="",
    capacity=0,
    state=LOADING,
    fencing=False,
    kv_export=False,
    priority=False,
    resume=False,
)


class SidecarOptions(NamedTuple):
    """Settings of one sidecar; sizes in bytes, times in seconds.

    Attributes:
        kind: `model` for a model engine, `plain` for a plain service.
        capacity: Calls that the upstream runs concurrently; 0 to use what the
            engine announces.
        history_bytes: Maximum size of the stored histories; counted in
            characters.
        export_bytes: Maximum size of the exported prefixes.
        retention: Time for which the state of an ended attempt is kept.
        answer_retention: Time for which a caller can attach to an ended
            attempt.
        attach_timeout: Time for which AttachAttempt waits for the request to
            run the attempt.
        load_interval: Time between two load reports, at least.
        probe_interval: Time between two probes of the upstream.
        renew_interval: Time between two renewals of residency, at least.
        release_on_stop: Whether a planned stop evicts all programs from the
            engine's cache.
    """

    service: str
    kind: str
    region: str = ""
    failure_domain: str = ""
    capacity: int = 0
    history_bytes: int = 64 * 1024 * 1024
    export_bytes: int = 64 * 1024 * 1024
    retention: float = 120.0
    answer_retention: float = 30.0
    attach_timeout: float = 1.0
    load_interval: float = 0.5
    probe_interval: float = 1.0
    renew_interval: float = 5.0
    release_on_stop: bool = True


class UpstreamMonitor:
    """Probes the upstream and describes it to entries and control.

    Attributes:
        upstream_state: State of the upstream at the last probe.
        life: Number of the upstream's process at the last probe; 0 if it was
            down.
        executing_order: Whether an order is being executed.
        draining: Whether this sidecar was asked to refuse new work.
        info: The latest properties of a model engine.
        free_memory: Free tokens of the engine's cache at the last probe.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        options: SidecarOptions,
        address: str,
        *,
        upstream: upstream_port.ModelEngine | upstream_port.PlainService,
        directory: membership_port.Membership,
        timers: timers_port.Timers,
        admission: sidecar_admission.Admission,
        cache_manager: sidecar_memory.CacheManager,
    ) -> None:
        self.node = node
        self.options = options
        self.address = address
        self.upstream = upstream
        self.directory = directory
        self.timers = timers
        self.admission = admission
        self.cache_manager = cache_manager
        self.is_model = options.kind == "model"
        self.upstream_state = LOADING
        self.life = 0
        self.executing_order = False
        self.draining = False
        self.info = _UNKNOWN_ENGINE
        self.free_memory = 0
        self.reports = itertools.count(1)
        self.announced: member_messages.Announcement | None = None

    def probe(self) -> None:
        """Probes the upstream and announces a changed state."""
        before = self.state()
        self.life = self.read_life()
        if not self.life:
            self.upstream_state = DOWN
        else:
            self.upstream_state = self.info.state if self.is_model else READY
        if self.state() != before:
            logger.info("The upstream's state is now {}", self.state())
            self.directory.announce()

    def read_life(self) -> int:
        """Returns the number of the upstream's process; 0 if it is down.

        A plain service has the number 1.
        """
        if not self.is_model:
            return int(self.upstream.alive())
        try:
            self.info = self.upstream.info()
            self.free_memory = self.upstream.load().free_memory
        except errors.StreamTimeout:
            # A slow engine is not down; its calls have their own deadlines.
            return self.life
        except errors.MintcleatError:
            return 0
        self.cache_manager.resize(self.info)
        capacity = self.options.capacity or self.info.capacity
        self.admission.resize(capacity, self.info.memory)
        return self.info.life

    def state(self) -> str:
        """Returns the state that is announced."""
        if self.is_draining():
            return DRAINING
        return LOADING if self.executing_order else self.upstream_state

    def is_draining(self) -> bool:
        """Returns whether this sidecar refuses new work to drain."""
        return self.draining or self.directory.is_draining(
            self.node.instance, self.options.failure_domain
        )

    def refusal(self, request: Any) -> errors.MintcleatError | None:
        """Returns why a request is refused now; None if it is not.

        Args:
            request: A RunTurn or RunTool.
        """
        if request.service != self.options.service:
            return errors.UnknownService(
                f"The request is for service {request.service}, but this"
                f" sidecar serves {self.options.service}."
            )
        if self.is_draining():
            return errors.Draining("This sidecar is draining.")
        if self.directory.duplicate:
            return errors.Draining(
                f"A newer process has the name {self.node.instance}."
            )
        state = self.state()
        if state != "ready":
            return errors.NoUpstream(f"The upstream is {state}, not ready.")
        if self.directory.is_quarantined(request.digest):
            return errors.Quarantined(
                "The request is quarantined because upstreams crashed on it."
            )
        if not self.directory.has_lease() and not self._serves_stale(request):
            return errors.LeaseExpired(
                "The configuration lease of this sidecar has expired."
            )
        return None

    def _serves_stale(self, request: Any) -> bool:
        plain = not self.is_model and request.idempotent
        return plain and self.directory.may_serve_stale()

    def begin_order(self) -> None:
        """Refuses new work until `end_order`."""
        self.executing_order = True
        self.directory.announce()

    def end_order(self) -> None:
        """Probes the upstream after an order and announces its state."""
        self.executing_order = False
        self.probe()
        self.directory.announce()

    def announcement(self) -> member_messages.Announcement:
        """Returns the description of the upstream for control.

        Its counter is incremented with each change.
        """
        last = self.announced
        counter = last.counter if last else 0
        present = member_messages.Announcement(
            sidecar=self.node,
            counter=counter,
            address=self.address,
            service=self.options.service,
            kind=self.options.kind,
            region=self.options.region,
            failure_domain=self.options.failure_domain,
            capacity=self.admission.gate.limit.capacity,
            state=self.state(),
            fencing=self.info.fencing,
            kv_export=self.info.kv_export,
            priority=self.info.priority,
            resume=self.info.resume,
            model=self.info.model,
        )
        if present != last:
            present = present._replace(counter=counter + 1)
            self.announced = present
        return present

    def load(self) -> call_messages.LoadReport:
        """Returns a load report of this moment."""
        load = self.admission.gate.load(self.timers.now())
        return call_messages.LoadReport(
            sidecar=self.node,
            counter=next(self.reports),
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            wait=load.wait,
            token_time=load.token_time,
            prefill_rate=load.prefill_rate,
            free_memory=self.free_memory,
            state=self.state(),
            first_call_wait=load.first_call_wait,
        )
