"""A model of an entry.

It places requests with the code that the real entry uses.
"""

from collections.abc import Callable
import itertools
import random
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.configuration import directory
from mintcleat.decisions import answer_end
from mintcleat.decisions import evidence
from mintcleat.decisions import policy as policy_module
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_queue
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins
from mintcleat.emulator import control as control_module
from mintcleat.emulator import engine as engine_module
from mintcleat.emulator import plain_service
from mintcleat.emulator import plan
from mintcleat.ports import events
from mintcleat.roles.entry import run_attempts
from mintcleat.roles.entry import turn_demand
from mintcleat.roles.entry import upstream_loads

MODEL_SERVICE = "model"
PLAIN_SERVICE = "plain"
_ERRORS = {
    "refused": errors.UpstreamBusy,
    "broke": errors.StreamClosed,
    "failed": errors.UpstreamFailed,
}
# Part of the answers without a marked end that a crash breaks off within an
# event.
_INSIDE_EVENT_PART = 0.5
# Version of all engines before a rollout.
FIRST_VERSION = "v1"


class NotServed(Exception):
    """A request was not served; the caller may send it again."""


class TurnTerms(NamedTuple):
    """What a caller states about a turn, for the leader's admission.

    Attributes:
        kind: Kind of its program.
        priority: Priority of its program.
        deadline: Seconds after which its caller gives up.
    """

    kind: str
    priority: int
    deadline: float


class Clock:
    """The simulated time, for the code of the real entry."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env

    def now(self) -> float:
        """Returns the seconds since the start of the simulation."""
        return self.env.now


class Fleet:
    """The upstreams and their registrations, as the entries see them.

    Attributes:
        engines: Engines by upstream id.
        plain_services: Instances of the plain service by upstream id.
        registered: The directory that the entries read.
        subscribers: Called after each change of the directory.
        sequence: Number of the latest registration.
        slots: Capacity by upstream id.
        memory: Tokens that an engine holds.
        unmarked: Fraction of the engines' answers whose end nothing marks.
        cut_short: Answers that had broken off and were ended as whole.
        resumable: Whether turns that break off are resumed elsewhere.
        versions: Versions of the engines' software by upstream id.
        resumed: Turns that were resumed.
        mixed: Turns that were resumed at another version.
    """

    def __init__(
        self,
        engines: dict[str, engine_module.Engine],
        plain_services: dict[str, plain_service.PlainService],
        slots: int,
        plain_slots: int,
        memory: int = 0,
        unmarked: float = 0.0,
        rng: random.Random | None = None,
        resumable: bool = False,
    ) -> None:
        self.resumable = resumable
        self.versions = dict.fromkeys(engines, FIRST_VERSION)
        self.resumed = 0
        self.mixed = 0
        self.unmarked = unmarked
        self.rng = rng or random.Random()
        self.cut_short = 0
        self.engines = engines
        self.plain_services = plain_services
        self.memory = memory
        self.registered = directory.Directory()
        self.subscribers: list[Callable[[], None]] = []
        self.sequence = 0
        self.slots = {
            **dict.fromkeys(engines, slots),
            **dict.fromkeys(plain_services, plain_slots),
        }
        for name in self.slots:
            self.register(name, 1)

    def register(self, name: str, start_count: int) -> None:
        """Registers an upstream that has just started.

        Args:
            name: Id of the upstream.
            start_count: Number of its starts, which distinguishes its
                incarnations.
        """
        self.sequence += 1
        service = MODEL_SERVICE if name in self.engines else PLAIN_SERVICE
        self.registered.register(
            member_messages.Registration(
                name, service, name, "", self.versions.get(name, ""),
                self.slots[name], "ready", self.sequence, 0.0, start_count,
            )
        )  # fmt: skip
        for callback in self.subscribers:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Adds a callback that is called after each change."""
        self.subscribers.append(callback)


class Entry:
    """One entry.

    Attributes:
        numbers: Numbers for the ids of requests.
        loads: The real entry's knowledge about upstreams, with which it
            chooses one.
        continued_from: Version before it of each request that is resumed.
        keeps_version: Whether a turn goes on only at the version that began it.
    """

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        fleet: Fleet,
        control: control_module.Control,
        policy: policy_module.Policy,
    ) -> None:
        self.env = env
        self.fleet = fleet
        self.control = control
        self.numbers = itertools.count()
        self.name = name
        self.policy = policy
        self.keeps_version = (
            not isinstance(policy, plan.Variant) or policy.versions
        )
        self.loads = upstream_loads.UpstreamLoads(
            fleet,
            Clock(env),
            events.NullEventReporter(),
            lambda incarnation: None,
            name,
            policy,
        )
        self.continued_from: dict[str, str] = {}
        self.loads.refresh()

    def turn(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        silence_timeout: float,
        terms: TurnTerms,
    ) -> Any:
        """Runs a turn; returns the incarnation of the engine that ran it.

        Args:
            call: The turn.
            hint: Incarnation of the engine that ran the program last; empty
                if there is none.
            output: Number of tokens to generate.
            silence_timeout: Seconds without a token after which an engine
                counts as silent.
            terms: What the caller states about it.

        Raises:
            NotServed: No upstream served the turn, there was no leader to
                commit its start or end, or it was refused.
        """
        if self.control.schedule is None or not self.loads.policy.admission:
            return (
                yield from self._run_opened(call, hint, output, silence_timeout)
            )
        key = turn_queue.TurnKey(call.customer, call.request)
        ran = False
        try:
            yield from self._await_grant(key, call, terms)
            incarnation = yield from self._run_opened(
                call, hint, output, silence_timeout
            )
            ran = True
            return incarnation
        except simpy.Interrupt:
            # The caller gave up.
            raise NotServed from None
        finally:
            self.env.process(
                self.control.release(key, output if ran else 0, ran)
            )

    def _await_grant(
        self,
        key: turn_queue.TurnKey,
        call: routed_calls.RoutedCall,
        terms: TurnTerms,
    ) -> Any:
        """Asks the leader until it grants the turn.

        Raises:
            NotServed: The leader refused the turn, or there was none.
        """
        began = self.env.now
        service = manifest.Service(
            kind="model", memory_tokens=self.fleet.memory
        )
        while True:
            demand = turn_demand.demand_of(
                call,
                terms.kind,
                MODEL_SERVICE,
                service,
                terms.priority,
                terms.priority,
                1.0,
                self.env.now - began,
                terms.deadline,
                turn_demand.capacity_of(self.loads, MODEL_SERVICE),
            )
            ask = turn_queue.Ask(
                key,
                call.program.program,
                not call.program.previous,
                self.name,
                call.generation.prompt_tokens,
                demand,
            )
            try:
                decision = yield from self.control.ask(ask)
            except control_module.NoLeader:
                raise NotServed from None
            match decision:
                case turn_decisions.Grant():
                    return
                case turn_decisions.Refuse():
                    raise NotServed
            yield self.env.timeout(decision.retry_after)

    def _run_opened(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        silence_timeout: float,
    ) -> Any:
        """Commits the start of a turn, runs it and commits its end."""
        try:
            others = yield from self.control.commit(self.loads.report())
        except control_module.NoLeader:
            raise NotServed from None
        self.loads.update_others(others)
        incarnation = yield from self._run_placed(
            call, hint, output, silence_timeout
        )
        try:
            yield from self.control.commit(self.loads.report())
        except control_module.NoLeader:
            raise NotServed from None
        return incarnation

    def _run_placed(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        silence_timeout: float,
    ) -> Any:
        """Runs a turn at an engine, without commits."""
        placement = upstream_loads.PlacementRequest(
            call, hint, "", False, self.fleet.memory
        )
        return (
            yield from self._run_on_upstreams(
                MODEL_SERVICE,
                placement,
                self._run_turn,
                silence_timeout,
                output,
            )
        )

    def call(
        self, call: routed_calls.RoutedCall, work: float, repeatable: bool
    ) -> Any:
        """Calls the plain service.

        Args:
            call: The call.
            work: Seconds that it takes.
            repeatable: Whether it may be executed twice.

        Raises:
            NotServed: No upstream served the call.
        """
        placement = upstream_loads.PlacementRequest(call, "", "", repeatable)
        yield from self._run_on_upstreams(
            PLAIN_SERVICE, placement, self._run_call, 1.0, work
        )

    def _run_on_upstreams(
        self,
        service: str,
        placement: upstream_loads.PlacementRequest,
        run: Callable[..., Any],
        silence_timeout: float,
        size: Any,
    ) -> Any:
        """Tries upstreams in turn; returns the incarnation that succeeded.

        `size` is the argument of `run`: tokens of output, or seconds of work.
        """
        tried: set[str] = set()
        while True:
            placed = self._choose(service, tried, placement, size)
            if placed is None or len(tried) >= run_attempts.MAX_OFFERS:
                raise NotServed
            upstream = placed.upstream
            tried.add(upstream.incarnation)
            request = f"{placement.call.request}/{next(self.numbers)}"
            sent_at = self.env.now
            self.loads.began(
                upstream.incarnation, request, silence_timeout, placed
            )
            try:
                yield from run(upstream, placement.call, request, size)
            except engine_module.RequestFailed as failure:
                error = _ERRORS[failure.reason](failure.reason)
                self._record(upstream, evidence.of_error(error), sent_at)
                if failure.generated and self.fleet.resumable:
                    placement, size = self._resumed(
                        placement, upstream, size, failure.generated
                    )
                    continue
                may_retry = failure.reason == "refused" or placement.repeatable
                if not may_retry:
                    raise NotServed from None
            except simpy.Interrupt:
                silent_seconds = self.env.now - max(
                    sent_at,
                    self.loads.silence_detector.last_received.get(
                        upstream.incarnation, 0.0
                    ),
                )
                verdict = evidence.of_cancellation(
                    False, silent_seconds, silence_timeout
                )
                self._record(upstream, verdict, sent_at)
                raise NotServed from None
            else:
                self._record(upstream, evidence.Evidence.SUCCESS, sent_at)
                return upstream.incarnation
            finally:
                self.loads.ended(upstream.incarnation, request)

    def _resumed(
        self,
        placement: upstream_loads.PlacementRequest,
        upstream: member_messages.Registration,
        output: int,
        generated: int,
    ) -> tuple[upstream_loads.PlacementRequest, int]:
        """Returns the rest of a turn that broke off, and its tokens."""
        self.fleet.resumed += 1
        call = placement.call
        said = routed_calls.PromptPart(f"{call.request} said", generated)
        generation = call.generation
        call = call._replace(
            generation=generation._replace(
                prompt_tokens=generation.prompt_tokens + generated,
                parts=(*generation.parts, said),
            )
        )
        origin = stream_origins.KnownOrigin(
            stream_origins.StreamOrigin(upstream.service, upstream.version),
            stream_origins.Source.OWN,
        )
        if not self.keeps_version:
            origin = None
        self.continued_from[call.request] = upstream.version
        return placement._replace(call=call, origin=origin), output - generated

    def _choose(
        self,
        service: str,
        tried: set[str],
        placement: upstream_loads.PlacementRequest,
        size: Any,
    ) -> upstream_loads.Placement | None:
        """Chooses an upstream; `size` is that of `_run_on_upstreams`."""
        return self.loads.choose(service, tried, placement)

    def _run_turn(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: str,
        output: int,
    ) -> Any:
        incarnation = upstream.incarnation
        begun_at = self.continued_from.pop(call.request, upstream.version)
        self.fleet.mixed += begun_at != upstream.version
        engine = self.fleet.engines[upstream.upstream]
        last_event_at = 0.0

        def on_event() -> None:
            nonlocal last_event_at
            now = self.env.now
            self.loads.arrived(incarnation)
            if last_event_at:
                self.loads.observe(incarnation, now - last_event_at)
            else:
                self.loads.first_event(incarnation, request)
            last_event_at = now

        submitted = engine_module.Request(
            self.env, call.generation.parts, call.request, output, on_event
        )
        engine.submit(submitted)
        try:
            yield submitted.done
        except engine_module.RequestFailed as failure:
            if failure.reason != "broke" or not self._seems_whole(submitted):
                failure.generated = min(submitted.generated, output - 1)
                raise
            self.fleet.cut_short += 1
        finally:
            if not submitted.done.triggered:
                submitted.done.defused = True
                engine.cancel(submitted)

    def _seems_whole(self, request: engine_module.Request) -> bool:
        """Returns whether an answer that a crash broke off counts as whole.

        Its end may be marked, so that it doesn't, or its connection has been
        closed in order, within an event or between two.
        """
        fleet = self.fleet
        if not fleet.unmarked or fleet.rng.random() >= fleet.unmarked:
            return False
        end = answer_ends.AnswerEnd(
            answer_ends.Framing.CLOSE, answer_ends.Kind.CLOSED
        )
        if not self.policy.ends:
            return end.is_whole
        is_inside_event = fleet.rng.random() < _INSIDE_EVENT_PART
        end = answer_end.of_stream(
            end,
            answer_end.ReceivedStream(request.generated, is_inside_event),
        )
        if end.is_whole:
            refuses = routed_calls.Reachability.REFUSES
            end = answer_end.confirmed(end, refuses)
        return end.is_whole

    def _run_call(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: str,
        work: float,
    ) -> Any:
        sent_at = self.env.now
        yield from self.fleet.plain_services[upstream.upstream].serve(work)
        self.loads.arrived(upstream.incarnation)
        self.loads.observe(upstream.incarnation, self.env.now - sent_at)

    def _record(
        self,
        upstream: member_messages.Registration,
        verdict: evidence.Evidence,
        sent_at: float,
    ) -> None:
        match verdict:
            case evidence.Evidence.FAILURE:
                self.loads.failed(upstream)
            case evidence.Evidence.SUCCESS:
                self.loads.answered(upstream.incarnation, sent_at)
