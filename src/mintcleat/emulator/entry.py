"""An entry, with the decisions that the real one makes."""

from collections.abc import Callable
import itertools
from typing import Any

import simpy

from mintcleat.configuration import directory
from mintcleat.decisions import evidence
from mintcleat.decisions import policy as policy_module
from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.emulator import control as control_module
from mintcleat.emulator import engine as engine_module
from mintcleat.emulator import plain as plain_module
from mintcleat.ports import events
from mintcleat.roles.entry import routed_run
from mintcleat.roles.entry import upstream_loads

MODEL = "model"
PLAIN = "plain"
_ERRORS = {
    "refused": errors.UpstreamBusy,
    "broke": errors.StreamClosed,
    "failed": errors.UpstreamFailed,
}


class Failed(Exception):
    """The request was not served; the caller may send it once more."""


class Clock:
    """The emulator's time as decisions see it."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env

    def now(self) -> float:
        """Returns seconds since the start of the play."""
        return self.env.now


class Fleet:
    """The upstreams, and the directory that entries follow.

    Attributes:
        engines: Model engines by id.
        plains: Instances of the plain service by id.
    """

    def __init__(
        self,
        engines: dict[str, engine_module.Engine],
        plains: dict[str, plain_module.Plain],
        slots: int,
        plain_slots: int,
    ) -> None:
        self.engines = engines
        self.plains = plains
        self.registered = directory.Directory()
        self.subscribers: list[Callable[[], None]] = []
        self.sequence = 0
        self.slots = {
            **dict.fromkeys(engines, slots),
            **dict.fromkeys(plains, plain_slots),
        }
        for name in self.slots:
            self.register(name, 1)

    def register(self, name: str, started: int) -> None:
        """Registers a life of an upstream."""
        self.sequence += 1
        service = MODEL if name in self.engines else PLAIN
        self.registered.register(
            member_messages.Registration(
                name, service, name, "", "", self.slots[name],
                "ready", self.sequence, 0.0, started,
            )
        )  # fmt: skip
        for callback in self.subscribers:
            callback()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change."""
        self.subscribers.append(callback)


class Entry:
    """One entry.

    Attributes:
        loads: What the real entry knows of the upstreams.
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
        self.loads = upstream_loads.UpstreamLoads(
            fleet,
            Clock(env),
            events.NullEventReporter(),
            lambda incarnation: None,
            name,
            policy,
        )
        self.loads.refresh()

    def turn(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        patience: float,
    ) -> Any:
        """Runs a turn; returns the life of the engine that ran it.

        Raises:
            Failed: It was not served, or not recorded.
        """
        try:
            others = yield from self.control.ask(self.loads.report())
        except control_module.Outage:
            raise Failed from None
        self.loads.update_others(others)
        wanted = upstream_loads.PlacementRequest(call, hint, "", False)
        incarnation = yield from self._offer(
            MODEL, wanted, self._run_turn, patience, output
        )
        try:
            yield from self.control.ask(self.loads.report())
        except control_module.Outage:
            raise Failed from None
        return incarnation

    def call(
        self, call: routed_calls.RoutedCall, work: float, repeatable: bool
    ) -> Any:
        """Calls the plain service.

        Raises:
            Failed: It was not served.
        """
        wanted = upstream_loads.PlacementRequest(call, "", "", repeatable)
        yield from self._offer(PLAIN, wanted, self._run_call, 1.0, work)

    def _offer(
        self,
        service: str,
        wanted: upstream_loads.PlacementRequest,
        run: Callable[..., Any],
        patience: float,
        size: Any,
    ) -> Any:
        tried: set[str] = set()
        while True:
            found = self.loads.choose(service, tried, wanted)
            if found is None or len(tried) >= routed_run.MAX_OFFERS:
                raise Failed
            upstream = found[0]
            tried.add(upstream.incarnation)
            request = f"{wanted.call.request}/{next(self.numbers)}"
            sent_at = self.env.now
            self.loads.began(upstream.incarnation, request, patience)
            try:
                yield from run(upstream, wanted.call, request, size)
            except engine_module.Ended as ended:
                error = _ERRORS[ended.reason](ended.reason)
                self._note(upstream, evidence.of_error(error), sent_at)
                again = ended.reason == "refused" or wanted.repeatable
                if not again:
                    raise Failed from None
            except simpy.Interrupt:
                silent = self.env.now - max(
                    sent_at,
                    self.loads.silence_detector.last_received.get(
                        upstream.incarnation, 0.0
                    ),
                )
                said = evidence.of_cancellation(False, silent, patience)
                self._note(upstream, said, sent_at)
                raise Failed from None
            else:
                self._note(upstream, evidence.Evidence.SUCCESS, sent_at)
                return upstream.incarnation
            finally:
                self.loads.ended(upstream.incarnation, request)

    def _run_turn(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: str,
        output: int,
    ) -> Any:
        incarnation = upstream.incarnation
        server = self.fleet.engines[upstream.upstream]
        last = 0.0

        def told() -> None:
            nonlocal last
            now = self.env.now
            self.loads.arrived(incarnation)
            if last:
                self.loads.observe(incarnation, now - last)
            last = now

        run = engine_module.Run(
            self.env, call.generation.parts, call.request, output, told
        )
        server.submit(run)
        try:
            yield run.done
        finally:
            if not run.done.triggered:
                run.done.defused = True
                server.leave(run)

    def _run_call(
        self,
        upstream: member_messages.Registration,
        call: routed_calls.RoutedCall,
        request: str,
        work: float,
    ) -> Any:
        sent_at = self.env.now
        yield from self.fleet.plains[upstream.upstream].serve(work)
        self.loads.arrived(upstream.incarnation)
        self.loads.observe(upstream.incarnation, self.env.now - sent_at)

    def _note(
        self,
        upstream: member_messages.Registration,
        said: evidence.Evidence,
        sent_at: float,
    ) -> None:
        match said:
            case evidence.Evidence.FAILURE:
                self.loads.failed(upstream)
            case evidence.Evidence.SUCCESS:
                self.loads.answered(upstream.incarnation, sent_at)
