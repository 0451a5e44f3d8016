"""A model of a request that crashes the engines which run it.

It is sent again and again, through any entry. Control decides by
`configuration.crash_evidence`, as on real machines.
"""

import random
from typing import Any

import simpy

from mintcleat.configuration import crash_evidence
from mintcleat.configuration import lost_runs
from mintcleat.domain import routed_calls
from mintcleat.emulator import engine as engine_module
from mintcleat.emulator import entry as entry_module
from mintcleat.emulator import plan
from mintcleat.roles.entry import crash_watch
from mintcleat.roles.entry import upstream_loads

# Time for which the request runs before its engine crashes, and until the
# engine is back.
RUN_SECONDS = 0.045
RESTART_SECONDS = 2.0
# Time from a crash until every entry knows what control made of it.
REPORT_SECONDS = 0.02


class CrashingRequest:
    """One such request.

    Attributes:
        evidence: What control knows of crashes.
        crashes: Number of engines that it crashed.
        refused: Number of repetitions that were refused.
    """

    def __init__(
        self,
        env: simpy.Environment,
        fleet: entry_module.Fleet,
        entries: list[entry_module.Entry],
        rng: random.Random,
    ) -> None:
        self.env = env
        self.fleet = fleet
        self.entries = entries
        self.rng = rng
        self.evidence = crash_evidence.CrashEvidence()
        self.digest = rng.randbytes(16)
        self.crashes = 0
        self.refused = 0

    def send_repeatedly(self, fault: plan.Fault) -> Any:
        """Sends it `times` times a second on average while the fault lasts."""
        until = self.env.now + fault.seconds
        while True:
            yield self.env.timeout(self.rng.expovariate(fault.times))
            if self.env.now >= until:
                return
            self.env.process(self._send(self.rng.choice(self.entries)))

    def _send(self, entry: entry_module.Entry) -> Any:
        """Sends it through one entry, which may try several engines."""
        tried: set[str] = set()
        before = ""
        known = self.digest in self.evidence.suspects()
        most = crash_watch.MAX_CRASHES - known
        if not entry.loads.policy.quarantine:
            most = crash_watch.MAX_CRASHES
        while len(tried) < most:
            if (
                entry.loads.policy.quarantine
                and self.digest in self.evidence.quarantine
            ):
                self.refused += 1
                return
            placed = entry.loads.choose(
                entry_module.MODEL_SERVICE,
                tried,
                upstream_loads.PlacementRequest(
                    routed_calls.RoutedCall("", "", "", "", (), b""),
                    "",
                    "",
                    True,
                    self.fleet.memory,
                ),
            )
            if placed is None:
                return
            tried.add(placed.upstream.incarnation)
            if not self.fleet.engines[placed.upstream.upstream].is_up:
                entry.loads.failed(placed.upstream)
                continue
            yield from self._run(entry, placed, before)
            before = placed.upstream.incarnation

    def _run(
        self,
        entry: entry_module.Entry,
        placed: upstream_loads.Placement,
        before: str,
    ) -> Any:
        """Runs it at an engine, which crashes, and reports that."""
        upstream = placed.upstream
        engine = self.fleet.engines[upstream.upstream]
        began = self.env.now
        starts = engine.start_count
        yield self.env.timeout(RUN_SECONDS)
        entry.loads.failed(upstream)
        if not engine.is_up or engine.start_count != starts:
            return
        self.crashes += 1
        losses = [
            self._loss(self.digest, began, before),
            *(
                self._loss(request.cache_id.encode(), began, "")
                for request in (*engine.batch, *engine.waiting)
            ),
        ]
        engine.crash()
        self.env.process(self._restart(upstream.upstream, engine))
        yield self.env.timeout(REPORT_SECONDS)
        self.evidence.record(
            upstream.incarnation, losses, self.env.now, crash_evidence.Limits()
        )

    def _loss(
        self, digest: bytes, began: float, before: str
    ) -> crash_evidence.Loss:
        return crash_evidence.Loss(
            digest,
            lost_runs.Run(began, self.env.now, before),
            crash_evidence.Subject(entry_module.MODEL_SERVICE),
        )

    def _restart(self, name: str, engine: engine_module.Engine) -> Any:
        yield self.env.timeout(RESTART_SECONDS)
        engine.restart()
        self.fleet.register(name, engine.start_count)
