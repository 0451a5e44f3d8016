"""A scheduler with complete information, as a reference for real policies.

It sees the true state of every engine and the whole course of every program
that has begun, without reports, delays or commits.

It is a strong reference and not an upper bound:

- It knows neither programs that will begin nor faults that will happen.
- Programs begin greedily, by worth per work, while engines have places for all
  that have begun. The best set is a hard problem.
- It takes the present pace of the engines for the coming one. Where engines
  hold far more turns than their targets allow, as at twice the load of
  hard-uneven.json, many programs begin that end late.

On the other hand it may do what real policies may not: a program can wait for
any time and is refused only when it is certain to fail, programs in progress
are given up for better ones, and no customer has a share.
"""

import bisect
import itertools
from typing import Any
from typing import NamedTuple

import simpy

from mintcleat.decisions import load_balancing
from mintcleat.domain import routed_calls
from mintcleat.emulator import control as control_module
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import forecast
from mintcleat.emulator import plan
from mintcleat.emulator import programs
from mintcleat.emulator import worth
from mintcleat.roles.entry import upstream_loads

# Seconds for which the set of programs to finish is used before it is chosen
# anew. Turns take some hundred milliseconds.
_REFRESH_SECONDS = 0.04
# A program that begins must be able to take this many times the present pace.
# With 1 and 1.6, worth at twice the load is 0.61 and 0.62 instead of 0.67 on
# hard-uneven.json; on hard-competing.json it is 0.83 instead of 0.82.
_START_MARGIN = 1.25
# Added to the rank of turns of programs that have begun, so that they come
# first. Worth per second of work is far below.
_BEGUN = 1e9
# Waiting turns that are tried in one round after the first one found no engine.
_MAX_TRIES = 12
# Engines are filled until a mean turn takes this many times what the mean
# program has for it. Programs differ, and slow engines are better than none:
# with 0.85 the slow engines of placement/uneven.json stayed idle (worth at load
# 1 of 0.60, with 5 of 0.94).
_USED_SLACK = 5.0


class _Program:
    """A program that has begun.

    Attributes:
        course: Its whole course.
        value: What it is worth if it ends within its target.
        deadline: Time until which it ends within its target.
        late_deadline: Time until which it is worth anything.
        completed: Number of turns that have ended.
        has_begun: Whether a turn has been given to an engine.
        engine: Engine that ran or runs its latest turn; empty for none.
        left: Time at idle engines of the turns from each one on.
    """

    def __init__(
        self, course: forecast.Forecast, now: float, value: float
    ) -> None:
        self.course = course
        self.value = value
        self.deadline = now + course.target
        self.late_deadline = now + programs.MAX_LATE_FACTOR * course.target
        self.completed = 0
        self.has_begun = False
        self.engine = ""
        seconds = [turn.seconds for turn in reversed(course.turns)]
        self.left = [*reversed(list(itertools.accumulate(seconds))), 0.0]

    @property
    def work(self) -> float:
        """Remaining time at idle engines in seconds."""
        return self.left[min(self.completed, len(self.left) - 1)]

    @property
    def path(self) -> float:
        """Remaining seconds to the end on idle upstreams."""
        if self.completed >= len(self.course.turns):
            return 0.0
        return (
            self.course.duration - self.course.turns[self.completed].starts_at
        )

    def engine_part(self, stretch: float) -> float:
        """Returns the part of its remaining time that it spends at engines.

        Args:
            stretch: Time of turns as a multiple of that at idle engines.
        """
        path = self.path
        engines = min(self.work, path) * stretch
        return engines / max(1e-6, engines + path - min(self.work, path))

    def stretch(self, now: float, deadline: float) -> float:
        """Returns how many times longer its turns may take."""
        path = self.path
        engines = max(1e-6, min(self.work, path))
        return (deadline - now - (path - engines)) / engines


class _Waiting(NamedTuple):
    """A turn that waits for an engine."""

    program: _Program
    call: routed_calls.RoutedCall
    output: int
    granted: simpy.Event


class _EngineState(NamedTuple):
    """What placement needs of an engine, at one time.

    Attributes:
        turns: Turns there, also those on their way to it.
        prefill: Prompt tokens that are to be processed before a new turn.
        context: Tokens of the turns in the batch.
        held: Tokens that all turns there hold or may come to hold.
        scale: Time of a step as a multiple of that at speed 1.
    """

    turns: int
    prefill: int
    context: int
    held: int
    scale: float


class _Assigned(NamedTuple):
    """A turn that was given to an engine.

    Attributes:
        uncached: Prompt tokens that the engine has to process.
        tokens: Tokens that it will hold, without shared parts.
    """

    engine: str
    uncached: int
    tokens: int


class Oracle:
    """Decides when and where turns run.

    Attributes:
        programs: Programs that have begun and not ended, by id.
        waiting: Turns that wait for an engine, by request.
        assigned: Turns at engines, by request.
        counts: Number of these, by engine.
        unsent: Requests that were assigned but have not reached the engine.
        chosen: Ids of the programs that are to be finished.
    """

    def __init__(
        self,
        env: simpy.Environment,
        experiment: plan.Plan,
        fleet: entry_module.Fleet,
        seed: int,
    ) -> None:
        self.env = env
        self.plan = experiment
        self.model = experiment.engine
        self.fleet = fleet
        self.seed = seed
        self.worths = worth.by_kind(experiment)
        self.programs: dict[str, _Program] = {}
        self.waiting: dict[str, _Waiting] = {}
        self.assigned: dict[str, _Assigned] = {}
        self.counts = dict.fromkeys(fleet.engines, 0)
        self.unsent: dict[str, set[str]] = {name: set() for name in self.counts}
        self.chosen: set[str] = set()
        self._chosen_at = -1.0
        self._densities: dict[str, float] = {}
        self._states: dict[str, _EngineState] = {}
        self._states_at = -1.0
        self._limits: dict[str, int] = {}
        self._turns = 0
        self._means = [0.0, 0.0, 0.0]
        self._programs = 0
        self._stretch = 0.0
        env.process(self._tick())

    def await_engine(
        self,
        call: routed_calls.RoutedCall,
        output: int,
        terms: entry_module.TurnTerms,
    ) -> Any:
        """Waits until the turn may run; returns the id of its engine.

        Raises:
            entry.NotServed: Its program can't end in time.
        """
        program = self._program(call, terms)
        waiting = _Waiting(program, call, output, self.env.event())
        self.waiting[call.request] = waiting
        self._dispatch()
        try:
            engine = yield waiting.granted
        finally:
            self.waiting.pop(call.request, None)
        if not engine:
            raise entry_module.NotServed
        return engine

    def sent(self, request: str) -> None:
        """Records that an assigned turn has reached its engine."""
        found = self.assigned.get(request)
        if found is not None:
            self.unsent[found.engine].discard(request)

    def ended(self, call: routed_calls.RoutedCall, ran: bool) -> None:
        """Frees the place of a turn, which ran or failed."""
        found = self.assigned.pop(call.request, None)
        if found is not None:
            self.counts[found.engine] -= 1
            self._states.pop(found.engine, None)
            self.unsent[found.engine].discard(call.request)
        program = self.programs.get(call.program.program)
        if ran and program is not None:
            program.completed += 1
            if program.completed >= len(program.course.turns):
                del self.programs[call.program.program]
        self._dispatch()

    def place(
        self,
        call: routed_calls.RoutedCall,
        output: int,
        excluded: set[str],
        *,
        limits: dict[str, int] | None = None,
        waits_at: str = "",
    ) -> str:
        """Returns the engine at which a turn delays programs least.

        That is the expected time to its own end, and the time by which it
        delays each of the turns that run there.

        Args:
            call: The turn.
            output: Tokens of its answer.
            excluded: Engines that are left out, by id.
            limits: Largest number of turns, by engine, where engines may not
                be filled further; without it, turns may queue.
            waits_at: Engine at which it may wait nevertheless, as it has the
                cache of the program.

        Returns:
            Its id; empty if there is none, or if the turn should rather wait
            for a place at `waits_at`.
        """
        best, best_seconds, best_is_full = "", float("inf"), False
        for name, engine in self.fleet.engines.items():
            if not engine.is_up or name in excluded:
                continue
            limit = self.model.slots if limits is None else limits[name]
            may_wait = limits is None or name == waits_at
            if not limit or (self.counts[name] >= limit and not may_wait):
                continue
            state = self._state(name)
            seconds = max(0.0, engine.stalled_until - self.env.now)
            is_full = state.turns >= limit or not self._fits(
                name, state, call, output
            )
            if is_full:
                seconds += self._place_seconds(name, state, limit)
            seconds += self._added_seconds(name, state, call, output)
            if seconds < best_seconds:
                best, best_seconds, best_is_full = name, seconds, is_full
        return "" if best_is_full and limits is not None else best

    def _tick(self) -> Any:
        while True:
            yield self.env.timeout(_REFRESH_SECONDS)
            if self.waiting:
                self._dispatch()

    def _program(
        self, call: routed_calls.RoutedCall, terms: entry_module.TurnTerms
    ) -> _Program:
        name = call.program.program
        program = self.programs.get(name)
        if program is None:
            course = forecast.forecast(
                self.plan,
                self.seed,
                terms.kind,
                name.removeprefix(f"{terms.kind}-"),
                call.customer,
            )
            program = _Program(course, self.env.now, self.worths[terms.kind])
            self.programs[name] = program
            self._observe(program)
        return program

    def _observe(self, program: _Program) -> None:
        """Adds a program to the means of turns and of allowed stretches."""
        for turn in program.course.turns:
            self._turns += 1
            sizes = (turn.prompt, turn.context, turn.output)
            self._means = [
                mean + (size - mean) / self._turns
                for mean, size in zip(self._means, sizes, strict=True)
            ]
        self._programs += 1
        stretch = program.stretch(self.env.now, program.deadline)
        self._stretch += (stretch - self._stretch) / self._programs

    # --- Dispatch -------------------------------------------------------------

    def _dispatch(self) -> None:
        """Gives waiting turns of chosen programs to engines."""
        if not self.waiting:
            return
        now = self.env.now
        if now - self._chosen_at >= _REFRESH_SECONDS:
            self._refuse_hopeless()
            self._choose()
        limits = self._limits
        if all(self.counts[name] >= limits[name] for name in limits):
            return
        ready = [
            waiting
            for waiting in self.waiting.values()
            if waiting.call.program.program in self.chosen
            and not waiting.granted.triggered
        ]
        ready.sort(
            key=lambda item: self._densities[item.call.program.program],
            reverse=True,
        )
        failed = 0
        for waiting in ready:
            name = self.place(
                waiting.call,
                waiting.output,
                set(),
                limits=limits,
                waits_at=waiting.program.engine,
            )
            if name:
                self._assign(waiting, name)
            else:
                failed += 1
                if failed > _MAX_TRIES:
                    return

    def _assign(self, waiting: _Waiting, name: str) -> None:
        request = waiting.call.request
        uncached = self._uncached(name, waiting.call)
        tokens = self._own_tokens(name, waiting.call, waiting.output)
        self.assigned[request] = _Assigned(name, uncached, tokens)
        self.counts[name] += 1
        waiting.program.has_begun = True
        waiting.program.engine = name
        self.unsent[name].add(request)
        self._states.pop(name, None)
        waiting.granted.succeed(name)

    def _choose(self) -> None:
        """Chooses the programs to finish.

        Programs that have begun are finished. Others begin by their worth per
        work, while the engines have places for all that have begun: then no
        turn waits for a place, and each program ends as its start promised.
        """
        self._chosen_at = self.env.now
        self._limits = {name: self._limit(name) for name in self.counts}
        stretch = self._current_stretch()
        places = sum(self._places(name) for name in self.counts)
        candidates: list[tuple[float, float, str]] = []
        self.chosen = set()
        self._densities = {}
        for name, program in self.programs.items():
            density = self._density(program, stretch)
            part = program.engine_part(stretch)
            if program.has_begun:
                places -= part
                self.chosen.add(name)
                self._densities[name] = _BEGUN + density
            else:
                candidates.append((density, part, name))
        candidates.sort(reverse=True)
        for density, part, name in candidates:
            if part > places:
                break
            places -= part
            self.chosen.add(name)
            self._densities[name] = density

    def _density(self, program: _Program, stretch: float) -> float:
        """Returns the worth of a program per second of its remaining work.

        Args:
            program: The program.
            stretch: Present time of turns as a multiple of that at idle
                engines.
        """
        density = program.value / max(1e-6, program.work)
        needed = stretch * (1.0 if program.has_begun else _START_MARGIN)
        if program.stretch(self.env.now, program.deadline) < needed:
            # At the pace of the engines, it would be late.
            density *= worth.LATE_WORTH
        return density

    def _refuse_hopeless(self) -> None:
        """Refuses the turns of programs that can't end in time."""
        now = self.env.now
        hopeless = {
            name
            for name, program in self.programs.items()
            if now + program.path > program.late_deadline
        }
        for name in hopeless:
            del self.programs[name]
        for waiting in list(self.waiting.values()):
            is_hopeless = waiting.call.program.program in hopeless
            if is_hopeless and not waiting.granted.triggered:
                waiting.granted.succeed("")

    # --- Engines --------------------------------------------------------------

    def _batch_seconds(self, count: int) -> float:
        """Returns the time of a mean turn among `count`, at speed 1."""
        prompt, context, output = self._means
        model = self.model
        step = model.step + model.step_per_request * count
        step += model.step_per_thousand * count * context / 1000.0
        milliseconds = (
            model.first + count * prompt / model.read_per_ms + output * step
        )
        return milliseconds / 1000.0

    def _limit(self, name: str) -> int:
        """Returns how many turns an engine may have.

        Beyond it, turns would take longer than programs have for them.
        """
        engine = self.fleet.engines[name]
        if not engine.is_up or not self._turns:
            return 0 if not engine.is_up else self.model.slots
        allowed = max(1.0, _USED_SLACK * self._stretch)
        allowed *= self._batch_seconds(1) * engine.speed / engine.slow
        counts = range(1, self.model.slots + 1)
        return bisect.bisect_right(counts, allowed, key=self._batch_seconds)

    def _current_stretch(self) -> float:
        """Returns how many times longer turns take now than at idle engines.

        It is the mean over the engines that may take turns.
        """
        stretches = []
        for name, limit in self._limits.items():
            if limit:
                engine = self.fleet.engines[name]
                count = min(limit, self.counts[name] + 1)
                seconds = self._batch_seconds(count) * engine.slow
                stretches.append(seconds / engine.speed)
        if not stretches:
            return 1.0
        return sum(stretches) / len(stretches) / self._batch_seconds(1)

    def _places(self, name: str) -> float:
        """Returns how many mean turns an engine has places and memory for."""
        count = self._limits[name]
        if not self._turns:
            return float(count)
        _, context, output = self._means
        return min(count, self.model.memory / max(1.0, context + output))

    def _state(self, name: str) -> _EngineState:
        """Returns the state of an engine; it is computed once for each time."""
        if self._states_at != self.env.now:
            self._states.clear()
            self._states_at = self.env.now
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = self._observed(name)
        return state

    def _observed(self, name: str) -> _EngineState:
        engine = self.fleet.engines[name]
        unsent = [self.assigned[request] for request in self.unsent[name]]
        prefill = sum(request.to_prefill for request in engine.batch)
        prefill += sum(
            min(request.to_prefill, request.parts[-1].tokens)
            for request in engine.waiting
        )
        if self.model.preempts:
            held = engine.held_tokens
            held += sum(one.output - one.generated for one in engine.batch)
            held += sum(
                one.output + one.parts[-1].tokens for one in engine.waiting
            )
        else:
            held = sum(one.prompt + one.output for one in engine.batch)
            held += sum(one.prompt + one.output for one in engine.waiting)
        return _EngineState(
            engine.load + len(unsent),
            prefill + sum(item.uncached for item in unsent),
            sum(request.context for request in engine.batch),
            held + sum(item.tokens for item in unsent),
            engine.slow / engine.speed,
        )

    def _added_seconds(
        self,
        name: str,
        state: _EngineState,
        call: routed_calls.RoutedCall,
        output: int,
    ) -> float:
        """Returns by how much a turn delays its program and those there."""
        model = self.model
        uncached = self._uncached(name, call)
        prompt = call.generation.prompt_tokens
        added = model.step_per_request
        added += model.step_per_thousand * prompt / 1000.0
        step = model.step + model.step_per_request * state.turns
        step += model.step_per_thousand * state.context / 1000.0 + added
        # Each of the others will end meanwhile, and another turn will begin.
        later = state.turns * self._means[0] if self.waiting else 0.0
        own = (
            model.first
            + (uncached + state.prefill + later) / model.read_per_ms
            + output * step
        )
        others = uncached / model.read_per_ms + output * added
        return (own + state.turns * others) * state.scale / 1000.0

    def _place_seconds(
        self, name: str, state: _EngineState, limit: int
    ) -> float:
        """Returns the mean time until an engine has a free place."""
        count = min(state.turns, limit)
        turns = 1 + max(0, state.turns - limit)
        seconds = self._batch_seconds(max(1, count)) * state.scale
        return seconds * turns / max(1, count)

    def _uncached(self, name: str, call: routed_calls.RoutedCall) -> int:
        cached = self.fleet.engines[name].cache.cached_prefix(
            call.generation.parts
        )
        return call.generation.prompt_tokens - cached

    def _own_tokens(
        self, name: str, call: routed_calls.RoutedCall, output: int
    ) -> int:
        """Returns the tokens that a turn would add to those at an engine."""
        if not self.model.preempts:
            return call.generation.prompt_tokens + output
        users = self.fleet.engines[name].part_users
        return output + sum(
            part.tokens for part in call.generation.parts if not users[part.id]
        )

    def _fits(
        self,
        name: str,
        state: _EngineState,
        call: routed_calls.RoutedCall,
        output: int,
    ) -> bool:
        needed = self._own_tokens(name, call, output)
        return not state.turns or state.held + needed <= self.model.memory


class OracleEntry(entry_module.Entry):
    """An entry whose turns the oracle places, and schedules if asked to.

    Attributes:
        oracle: The oracle of all entries.
        variant: What it decides.
    """

    def __init__(
        self,
        env: simpy.Environment,
        name: str,
        fleet: entry_module.Fleet,
        control: control_module.Control,
        variant: plan.Variant,
        oracle: Oracle,
    ) -> None:
        super().__init__(env, name, fleet, control, variant)
        self.oracle = oracle
        self.variant = variant
        self.granted: dict[str, str] = {}

    def turn(
        self,
        call: routed_calls.RoutedCall,
        hint: str,
        output: int,
        silence_timeout: float,
        terms: entry_module.TurnTerms,
    ) -> Any:
        """Runs a turn; the arguments are those of `entry.Entry.turn`."""
        if self.variant.turns != "oracle":
            return (
                yield from super().turn(
                    call, hint, output, silence_timeout, terms
                )
            )
        ran = False
        try:
            granted = yield from self.oracle.await_engine(call, output, terms)
            self.granted[call.request] = granted
            if self.variant.placement == "oracle":
                incarnation = yield from self._run_placed(
                    call, hint, output, silence_timeout
                )
            else:
                incarnation = yield from self._run_opened(
                    call, hint, output, silence_timeout
                )
            ran = True
            return incarnation
        except simpy.Interrupt:
            raise entry_module.NotServed from None
        finally:
            self.granted.pop(call.request, None)
            self.oracle.ended(call, ran)

    def _choose(
        self,
        service: str,
        tried: set[str],
        placement: upstream_loads.PlacementRequest,
        size: Any,
    ) -> upstream_loads.Placement | None:
        if self.variant.placement != "oracle":
            return super()._choose(service, tried, placement, size)
        entries = self.fleet.registered.entries
        excluded = {
            name for name, item in entries.items() if item.incarnation in tried
        }
        if service == entry_module.MODEL_SERVICE:
            request = placement.call.request
            name = self.granted.pop(request, "")
            self.oracle.sent(request)
            if not name or name in excluded:
                name = self.oracle.place(placement.call, size, excluded)
        else:
            name = self._plain_service(excluded)
        if not name:
            return None
        return upstream_loads.Placement(
            entries[name],
            load_balancing.Choice(entries[name].incarnation, "oracle"),
            len(entries),
        )

    def _plain_service(self, excluded: set[str]) -> str:
        """Returns the instance that is expected to answer first."""
        found = {
            name: item
            for name, item in self.fleet.plain_services.items()
            if name not in excluded
        }

        def seconds(name: str) -> float:
            item = found[name]
            waiting = max(0, item.load + 1 - item.slots.capacity)
            rounds = 1.0 + waiting / item.slots.capacity
            return rounds * item.slow * (1.0 + item.losing + item.failing)

        return min(found, key=seconds, default="")
