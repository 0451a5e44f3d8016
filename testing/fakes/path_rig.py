"""Real entries, sidecars and control with stand-in upstreams, in-process."""

from collections.abc import Callable
from typing import Any

import eventlet

from fakes import log as fake_log
from fakes import program_rig
from fakes import service_rig
import histories
from mintcleat.adapters import engine_http
from mintcleat.adapters import plain_http
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import requests
from mintcleat.programs import placement as groups
from mintcleat.roles import control_client
from mintcleat.roles.control.programs import service as program_service
from mintcleat.roles.entry import entry
from mintcleat.roles.entry import placement
from mintcleat.roles.sidecar import sidecar
from mintcleat.standins import engine
from mintcleat.standins import service

TIMERS = timers.EventletTimers()
GROUPS = groups.group_names(2)
ANY = "127.0.0.1:0"
# Sidecars that die at the same time; two can leave a service without any.
MAX_DEATHS = 2
SERVICES = {
    "chat": manifest.Service(kind="model", model="model-1"),
    "desk": manifest.Service(kind="plain"),
}


class NoMetrics:
    """Discards all metrics."""

    def count(self, name: str, **labels: str) -> None:
        return None

    def gauge(self, name: str, value: float, **labels: str) -> None:
        return None

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        return None


class Directory(service_rig.FakeDirectory):
    """Lists the running sidecars."""

    def __init__(self) -> None:
        super().__init__()
        self.value = manifest.Manifest(services=SERVICES)
        self.sidecars: list[RestartableSidecar] = []
        self.subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        self.subscribers.append(callback)

    def notify(self) -> None:
        """Notifies the entries of a change after a delay."""
        eventlet.sleep(0.05)
        for subscriber in self.subscribers:
            subscriber()

    def members(self, service: str) -> list[member_messages.Announcement]:
        return [
            side.sidecar.announcement()
            for side in self.sidecars
            if side.service == service and side.sidecar is not None
        ]


class RecordingEngine(engine.Engine):
    """Records each sequence that it receives.

    A prompt is the program's history and one new message, which identifies the
    call.

    Attributes:
        hangs: Whether sequences are recorded but never answered.
    """

    def __init__(self, rig: "Rig") -> None:
        self.rig = rig
        self.hangs = False
        super().__init__(ANY)

    def submit(self, sequence: Any) -> None:
        program, key, turn = self.rig.sent[sequence.prompt[-1]]
        taken = self.rig.record.now()
        run = histories.Run(program, key, turn, 0, taken, taken, 0)
        self.rig.record.runs.append(run)
        if not self.hangs:
            super().submit(sequence)


class RecordingService(service.Service):
    """Records each execution; the request's body is the call's key."""

    def __init__(self, record: histories.Record) -> None:
        self.record = record
        super().__init__(ANY, service.ServiceOptions(seconds=0.015))

    def execute(self, key: str, path: str) -> None:
        start = self.record.now()
        super().execute(key, path)
        program = path.strip("/").split("/")[-1]
        run = histories.Run(program, key, 0, 0, start, self.record.now(), 0)
        self.record.runs.append(run)


class RestartableSidecar:
    """A sidecar that can die and restart, with its upstream."""

    def __init__(self, rig: "Rig", name: str, service: str) -> None:
        self.rig = rig
        self.name = name
        self.service = service
        self.epoch = 0
        self.address = ANY
        if service == "chat":
            self.upstream = RecordingEngine(rig)
            self.adapter = engine_http.HttpEngine(self.upstream.address)
        else:
            self.upstream = RecordingService(rig.record)
            self.adapter = plain_http.HttpService(self.upstream.address)
        self.start()

    def start(self) -> None:
        self.epoch += 1
        self.streams = streams.TcpStreams(self.address)
        self.address = self.streams.address
        kind = "model" if self.service == "chat" else "plain"
        self.sidecar = sidecar.Sidecar(
            identities.Incarnation(self.name, self.epoch),
            sidecar.SidecarOptions(self.service, kind, release_on_stop=False),
            streams=self.streams,
            timers=TIMERS,
            upstream=self.adapter,
            control=self.rig.client(self.streams),
            directory=self.rig.directory,
        )
        self.sidecar.start()

    def die(self) -> None:
        """Closes the connections first, as the death of a process does."""
        self.streams.stop()
        if self.sidecar is not None:
            self.sidecar.stop(0.0)
        self.sidecar = None


class Rig:
    """The whole path, with faults between its parts and control."""

    def __init__(self, seed: int) -> None:
        self.faults = program_rig.Faults(seed)
        self.record = histories.Record()
        self.sent: dict[str, tuple[str, str, int]] = {}
        self.cluster = fake_log.Cluster()
        self.hubs = [streams.TcpStreams(ANY) for _ in range(3)]
        for hub in self.hubs:
            log = fake_log.MemoryLog(self.cluster, hub.address)
            program_service.ProgramService(
                program_rig.FaultyLog(log, self.faults),
                hub,
                TIMERS,
                GROUPS,
                manifest.Policies,
            )
            log.start()
        self.cluster.elect(self.hubs[0].address)
        self.directory = Directory()
        for name, service_name in (
            ("e1", "chat"),
            ("e2", "chat"),
            ("d1", "desk"),
            ("d2", "desk"),
        ):
            self.directory.sidecars.append(
                RestartableSidecar(self, name, service_name)
            )
        self.entries = [self.new_entry(f"entry-{n}") for n in (1, 2)]

    def client(self, hub: streams.TcpStreams) -> control_client.ControlClient:
        return control_client.ControlClient(
            program_rig.FaultyStreams(hub, self.faults),
            TIMERS,
            [control.address for control in self.hubs],
            len(GROUPS),
        )

    def new_entry(self, name: str) -> entry.Entry:
        hub = streams.TcpStreams(ANY)
        self.hubs_of_entries = [*getattr(self, "hubs_of_entries", []), hub]
        placing = placement.Placement(name, hub, TIMERS, self.directory)
        placing.start()
        return entry.Entry(
            self.client(hub), self.directory, placing, hub, TIMERS, NoMetrics()
        )

    def inject_fault(self, step: int) -> None:
        """Alternates between a change of leader and deaths of sidecars."""
        if step % 2:
            hub = self.faults.random.choice(self.hubs)
            self.cluster.elect(hub.address)
            return
        count = self.faults.random.randint(1, MAX_DEATHS)
        for side in self.faults.random.sample(self.directory.sidecars, count):
            side.die()
        self.directory.notify()
        for side in self.directory.sidecars:
            if side.sidecar is None:
                side.start()
        self.directory.notify()

    def stop(self) -> None:
        for side in self.directory.sidecars:
            side.die()
            side.upstream.stop()
        for hub in [*self.hubs, *self.hubs_of_entries]:
            hub.stop()

    def turn(self, program: str, number: int, text: str) -> Any:
        """Sends a turn through a random entry; returns its error, or None."""
        call = requests.ChatCall(
            request="",
            program=program,
            customer="",
            model="chat",
            turn=number,
            key=f"turn{number}",
            messages=[text],
            parameters='{"max_tokens":4}',
            deadline=10.0,
            max_tokens=4,
            streamed=False,
        )
        self.sent[text] = (program, call.key, number)
        name = (program, call.key, number, True, text)

        def run(through: entry.Entry) -> str:
            events = list(through.chat(call))
            return events[-1].message

        return self._recorded(name, run)

    def act(self, program: str, key: str) -> Any:
        """Sends an action that must not run twice."""
        call = requests.ServiceCall(
            request="",
            program=program,
            customer="",
            service="desk",
            key=key,
            method="POST",
            path=f"/book/{program}",
            headers=[],
            body=key.encode(),
            deadline=10.0,
        )

        def run(through: entry.Entry) -> str:
            return through.service(call).body.decode()

        return self._recorded((program, key, 0, False, key), run)

    def read(self, program: str) -> None:
        """Reads a program through a random entry and records the view."""
        start = self.record.now()
        through = self.faults.random.choice(self.entries)
        try:
            view = through.show_program(program)
        except errors.ControlUnavailable:
            return
        read = histories.Read(start, self.record.now(), view)
        self.record.reads.append(read)

    def finish(self, programs: list[str]) -> None:
        """Records the final state once the faults have stopped."""
        self.faults.active = False
        for program in programs:
            view = self.entries[0].show_program(program)
            turns = self.entries[0].history(program).turns
            self.record.finals[program] = histories.Final(view, turns)

    def _recorded(self, name: tuple[Any, ...], run: Any) -> Any:
        start = self.record.now()
        through = self.faults.random.choice(self.entries)
        outcome, answer, refusal = errors.RAN, "", None
        try:
            answer = run(through)
        except errors.MintcleatError as error:
            refusal = error
            outcome = error.outcome
        end = self.record.now()
        operation = histories.Operation(*name, start, end, outcome, answer)
        self.record.operations.append(operation)
        return refusal
