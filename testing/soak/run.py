"""One run of the soak test."""

import asyncio
import contextlib
import pathlib
import random
import shutil
import tempfile
import time
from typing import Any
from typing import NamedTuple

from bench import hosted_processes
from testing.soak import callers as callers_module
from testing.soak import changes
from testing.soak import checks as checks_module
from testing.soak import event_loop
from testing.soak import faults as faults_module
from testing.soak import move_faults
from testing.soak import moving_upstreams
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders
from testing.soak import report
from testing.soak import schedule
from testing.soak import upstreams

ENTRIES = 3
# Time within which all processes must be ready.
_START_SECONDS = 30.0
# Time after the first configuration before the readiness of entries is
# examined.
_SETTLE_SECONDS = 2.0
# Intervals of the samples of processes and of engines.
_USAGE_SECONDS = 0.5
_ENGINES_SECONDS = 0.1
# Stand-ins are asked to answer some questions within 0.25 s.
_LATE_SECONDS = 0.1
# Time on a processor and time without one, in nanoseconds, and time slices.
_SCHEDULING = pathlib.Path("/proc/self/schedstat")
# Concurrent readers of the configuration.
_READERS = 3
# Time before the end, without faults, in which every customer must be served.
# The schedule's quiet end is longer by the time after which turns of lost
# entries stop counting.
_CALM_SECONDS = 4.0
_LONG_STREAMS = 2
_LONG_PROGRAMS = 4
# Slots of each engine for long streams.
_LONG_SLOTS = 6
_PROGRAMS_PER_CUSTOMER = {"anna": 3, "berta": 3, "carl": 3, "noisy": 2}


class Result(NamedTuple):
    """The result of a run.

    Attributes:
        checks: Observations and violations.
        text: Summary.
        folder: Where logs, settings and disks are; deleted if there was no
            violation.
        seconds_to_find: From the start of the load to the first violation.
    """

    checks: checks_module.Checks
    text: str
    folder: pathlib.Path
    seconds_to_find: float | None


class Soak:
    """All parts of one run; see `run` for the arguments."""

    def __init__(
        self, seed: int, seconds: float, fault: str, keep: bool, controls: int
    ) -> None:
        self.keep = keep
        self.seed = seed
        self.seconds = seconds
        generator = random.Random(seed)
        # Several runs at a time need different addresses, so that the second
        # byte doesn't follow from the seed.
        network = processes.free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.checks = checks_module.Checks()
        self.fleet = processes.Fleet(
            network, self.folder, controls, ENTRIES, fault
        )
        self.fleet.backups = True
        clients = [_client(node.ip) for node in self.fleet.controls]
        self.move_faults = move_faults.MoveFaults(
            seed, self.fleet, self.checks, self._log
        )
        self.move_faults.is_on = False
        self.recorder = recorder = recorders.MovingRecorder(
            self.checks, self.move_faults.reached
        )
        self.network = moving_upstreams.Network(recorder, breaks=True)
        self.engines = [
            moving_upstreams.Upstream(f"lm-{number}", self.network, clients)
            for number in range(1, 4)
        ]
        self.long_engines = [
            moving_upstreams.Upstream(
                f"{operators.LONG_SERVICE}-{number}",
                self.network,
                clients,
                operators.LONG_SERVICE,
            )
            for number in range(1, 4)
        ]
        for engine in self.long_engines:
            engine.slots = _LONG_SLOTS
        for engine in (*self.engines, *self.long_engines):
            engine.sends_unasked = True
        desks = [
            upstreams.Upstream(f"desk-{number}", "desk", recorder, clients)
            for number in range(1, 4)
        ]
        for desk in desks:
            desk.answers_early = True
        self.upstreams = [*self.engines, *self.long_engines, *desks]
        # Without faults of their own: they show what the configuration does.
        self.calm_upstreams = [
            upstreams.Upstream(
                f"{service}-{number}", service, recorder, clients
            )
            for service, count in ((changes.ALTERNATIVE, 2), (changes.PART, 1))
            for number in range(1, count + 1)
        ]
        recorder.upstreams = {
            one.name: one for one in (*self.upstreams, *self.calm_upstreams)
        }
        self.clients = clients
        self.operator = operators.Operator(clients, self.checks, generator)
        engine = moving_upstreams.ENGINE
        self.operator.engine = {**engine, "slots": upstreams.SLOTS}
        self.operator.long_engine = {**engine, "slots": _LONG_SLOTS}
        self.balancer = callers_module.Balancer(self.fleet.entries, generator)
        self.callers = callers_module.Callers(
            self.balancer, self.checks, self.operator, generator
        )
        self.injector = faults_module.Injector(
            self.fleet,
            self.upstreams,
            self.callers,
            self.checks,
            self._log,
            self.move_faults,
            self._replace_control,
        )
        self.pushing: asyncio.Task | None = None
        # Seconds by which timers of this process were late. Stand-ins that
        # answer late look like faults of the product.
        self.lags: list[float] = []
        self.start = time.monotonic()
        self.tasks: list[asyncio.Task] = []

    def _log(self, text: str) -> None:
        with (self.folder / "soak.log").open("a") as file:
            at = time.monotonic() - self.start
            file.write(f"{time.time():.3f} {at:8.3f} {text}\n")

    async def run(self, until_found: bool) -> Result:
        """Runs the load and the faults, and ends all processes.

        Args:
            until_found: Whether to end at the first violation.
        """
        faults = schedule.make(self.seed, self.seconds)
        report.write_schedule(self.folder, self.seed, faults)
        try:
            await self._start()
            self.start = time.monotonic()
            self._start_load()
            self._spawn(self.injector.run(faults, self.start))
            while time.monotonic() < self._end():
                await asyncio.sleep(0.2)
                self._raise_failures()
                if until_found and self.checks.violations:
                    break
            else:
                now = time.monotonic()
                self.checks.check_starvation(now, now - _CALM_SECONDS)
                self.checks.check_added_routes(now, now - _CALM_SECONDS)
                self.checks.check_idle_capacity(now, now - _CALM_SECONDS)
                await self._lose_at_the_end()
                self._raise_failures()
            self.checks.check_shares(time.monotonic())
            self.checks.check_limits(time.monotonic(), operators.LIMITS)
            self._check_moves()
        finally:
            tasks = (*self.tasks, *self.move_faults.tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.callers.connections.close()
            await self.fleet.stop()
        return self._result()

    def _check_moves(self) -> None:
        observed = self.recorder.observed
        observed.read_logs(self.fleet.logged("stream_continued"))
        observed.interruptions = self.fleet.interruptions()
        observed.check(time.monotonic(), self.network.copies)

    def _end(self) -> float:
        """Returns when the run ends, after a quiet time in any case."""
        quiet = schedule.END_SECONDS
        if not self.injector.applied:
            return self.start + self.seconds
        return max(self.start + self.seconds, self.injector.ended_at + quiet)

    def _result(self) -> Result:
        text = report.summary(self.checks, self.injector.applied, self.start)
        text += report.moves(
            self.checks,
            self.recorder.observed,
            self.network.copies,
            self.move_faults,
        )
        if self.lags:
            mean = sum(self.lags) / len(self.lags)
            late = sum(lag > _LATE_SECONDS for lag in self.lags)
            text += (
                f"\n  timers of the soak itself: {mean:.3f} s late on average, "
                f"{max(self.lags):.3f} s at most, {late} of {len(self.lags)} "
                f"by over {_LATE_SECONDS:g} s"
            )
        found = self.checks.violations
        self._log(text)
        report.write_timeline(self.folder, self.checks, self.start)
        if not found and not self.keep:
            shutil.rmtree(self.folder)
        first = min((one.at for one in found), default=None)
        return Result(
            self.checks,
            text,
            self.folder,
            None if first is None else first - self.start,
        )

    def _spawn(self, coroutine: Any) -> None:
        self.tasks.append(asyncio.create_task(coroutine))

    def _raise_failures(self) -> None:
        """Raises the exception of a task that has failed."""
        for task in self.tasks:
            if task.done():
                task.result()

    async def _start(self) -> None:
        await self.fleet.start()
        for upstream in (*self.upstreams, *self.calm_upstreams):
            await upstream.start()
        async with asyncio.timeout(_START_SECONDS):
            await self.operator.push()
            self._spawn(self.balancer.watch_forever())
            await asyncio.sleep(_SETTLE_SECONDS)
            while any(self.balancer.failures.values()):
                await asyncio.sleep(0.1)

    def _start_load(self) -> None:
        callers = self.callers
        for customer, count in _PROGRAMS_PER_CUSTOMER.items():
            for _ in range(count):
                self._spawn(callers.forever(callers.run_program, customer))
            self._spawn(callers.forever(callers.stream, customer))
        for _ in range(_LONG_PROGRAMS):
            self._spawn(callers.forever(callers.run_long_program, "anna"))
        for _ in range(_LONG_STREAMS):
            self._spawn(callers.forever(callers.long_stream, "anna"))
        for act in (
            callers.call_limited,
            callers.call_limited,
            callers.probe_revision,
            callers.probe_key,
            callers.probe_change,
            callers.probe_change,
            callers.probe_timeout,
            callers.upload,
            callers.upload,
        ):
            self._spawn(callers.forever(act))
        self._spawn(self.operator.push_forever())
        self.pushing = self.tasks[-1]
        for _ in range(_READERS):
            self._spawn(self.operator.read_forever())
        for node in self.fleet.controls:
            self._read_at(node.ip)
        self._spawn(self._watch_processes())
        self._spawn(self._watch_engines())

    def _read_at(self, host: str) -> None:
        """Reads at one control all the time, and over connections of its own.

        A process that is being stopped answers on open connections only.
        """
        for keeps in (True, False):
            reader = self.operator.read_at_forever(_client(host), keeps)
            self._spawn(reader)

    def _replace_control(self, old: str, new: str) -> None:
        """Turns to the control that has replaced another one."""
        for number, client in enumerate(self.clients):
            if client.host == old:
                self.clients[number] = _client(new)
        self._read_at(new)

    async def _lose_at_the_end(self) -> None:
        """Loses everything right after an acknowledgement, and reads back."""
        self.tasks.remove(self.pushing)
        self.pushing.cancel()
        await asyncio.gather(self.pushing, return_exceptions=True)
        loss = schedule.final_loss(self.seed)
        await self.operator.push()
        await asyncio.gather(
            self.injector.apply_final(loss),
            self.operator.read_back(loss.seconds),
        )

    async def _watch_engines(self) -> None:
        while True:
            due = time.monotonic() + _ENGINES_SECONDS
            await asyncio.sleep(_ENGINES_SECONDS)
            now = time.monotonic()
            self.lags.append(now - due)
            if now > due + _LATE_SECONDS:
                self.recorder.observed.lags.append(
                    checks_module.Disturbance("", due, now)
                )
            engines = self.engines
            self.checks.engines_sampled(
                checks_module.EnginesSample(
                    now,
                    _mean([engine.busy_fraction() for engine in engines]),
                    _mean([engine.taken_fraction() for engine in engines]),
                    sum(engine.waiting() for engine in engines),
                    _processor_wait(),
                )
            )

    async def _watch_processes(self) -> None:
        while True:
            await asyncio.sleep(_USAGE_SECONDS)
            now = time.monotonic()
            for node in self.fleet.running():
                if node.has_ended() and not node.planned:
                    code = node.process.returncode
                    self.checks.process_ended(now, node.name, code)
                    node.start()
                usage = node.usage()
                if usage is not None:
                    self.checks.used(now, node.name, *usage)


def _processor_wait() -> float:
    """Returns the seconds that this process waited for a processor.

    0 where the kernel doesn't count it.
    """
    if not _SCHEDULING.exists():
        return 0.0
    return int(_SCHEDULING.read_text().split()[1]) / 1e9


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _client(host: str) -> hosted_processes.Caller:
    """Returns a client of a control instance."""
    address = f"{host}:{hosted_processes.CONTROL_PORT}"
    return hosted_processes.Caller(address, "control", 1.0)


async def _run(soak: Soak, until_found: bool) -> Result:
    with contextlib.suppress(asyncio.CancelledError):
        return await soak.run(until_found)
    raise RuntimeError("The run was cancelled.")


def run(
    seed: int,
    seconds: float,
    fault: str = "",
    until_found: bool = False,
    keep: bool = False,
    controls: int = 3,
) -> Result:
    """Runs the soak test once.

    Args:
        seed: Seed of the schedule and of the load.
        seconds: Duration after the start of all processes.
        fault: Known fault to reintroduce; see `reintroduced.FAULTS`.
        until_found: Whether to end at the first violation.
        keep: Whether to keep the logs even if there was no violation.
        controls: Number of control instances, 3 or 5.
    """
    soak = Soak(seed, seconds, fault, keep, controls)
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        return runner.run(_run(soak, until_found))
