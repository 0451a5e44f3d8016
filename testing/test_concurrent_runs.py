"""Concurrent runs of service and client under faults, checked as histories."""

from collections.abc import Callable
import itertools
import pathlib

import eventlet
import pytest

from fakes import log as fake_log
from fakes import program_rig
import histories
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import log as log_ports
from mintcleat.programs import placement
from mintcleat.roles import control_client
from mintcleat.roles.control.programs import service as program_service
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import (
    snapshots as replication_snapshots,
)

TIMERS = timers.EventletTimers()
GROUPS = placement.group_names(2)
NAMES = ("c1", "c2", "c3")
ROOTS = ("p1", "p2", "p3", "p4")


def attach_service(
    log: log_ports.ReplicatedLog,
    hub: streams.TcpStreams,
    faults: program_rig.Faults,
) -> None:
    """Attaches a program service to a log that loses outcomes."""
    program_service.ProgramService(
        program_rig.FaultyLog(log, faults),
        hub,
        TIMERS,
        GROUPS,
        manifest.Policies,
    )


def run_program(rig: program_rig.Rig, program: str, turns: int) -> None:
    """Sends turns and actions like an agent, with idempotency keys."""
    for turn in range(1, turns + 1):
        call = program_rig.Call(
            program, f"turn{turn}", turn, True, f"{program} says {turn}"
        )
        if not send_until_final(rig, call):
            return
        key = f"act{turn}"
        send_until_final(rig, program_rig.Call(program, key, 0, False, key))
        rig.read(program)


def send_until_final(rig: program_rig.Rig, call: program_rig.Call) -> bool:
    """Sends a call until its result is final; returns whether it ran.

    Now and then the call is sent through two entries at once.
    """
    for _ in range(12):
        duplicate = None
        if rig.faults.happens(0.3):
            duplicate = eventlet.spawn(rig.call, call)
        refusal = rig.call(call)
        if duplicate is not None:
            duplicate.wait()
        if refusal is None:
            return True
        if isinstance(refusal, errors.BudgetExhausted):
            return False
        if isinstance(refusal, errors.OutcomeUnknown) and not call.idempotent:
            return False
        eventlet.sleep(0.02)
    return False


def run_all(
    rig: program_rig.Rig, turns: int, inject_fault: Callable[[int], None]
) -> list[histories.Violation]:
    """Runs every program while `inject_fault` is called periodically.

    The budget of a root covers most, but not all, of the turns of it and its
    sub-agent, so that the last ones race for the rest.

    Returns:
        Violations found in the recorded history.
    """
    budget = identities.Budget(3 * turns * program_rig.TOKENS)
    programs = []
    for root in ROOTS:
        for name, parent in ((root, ""), (f"{root}.c", root)):
            create = program_messages.CreateProgram(
                name,
                "farm",
                "triage",
                "batch",
                identities.Budget() if parent else budget,
                parent,
            )
            create_until_accepted(rig, name, create)
            programs.append(name)
    threads = [
        eventlet.spawn(run_program, rig, name, turns) for name in programs
    ]
    fault_thread = eventlet.spawn(inject_forever, inject_fault)
    for thread in threads:
        thread.wait()
    fault_thread.kill()
    eventlet.sleep(0.2)
    rig.finish(programs)
    return histories.check(rig.record)


def create_until_accepted(
    rig: program_rig.Rig, name: str, create: program_messages.CreateProgram
) -> None:
    while True:
        try:
            rig.ask(name, create)
            return
        except (errors.OutcomeUnknown, errors.ControlUnavailable):
            eventlet.sleep(0.05)


def inject_forever(inject_fault: Callable[[int], None]) -> None:
    for step in itertools.count():
        eventlet.sleep(0.06)
        inject_fault(step)


def check_enough_happened(rig: program_rig.Rig) -> None:
    """Checks that calls ran and faults occurred, or the run proves nothing."""
    assert len(rig.record.operations) > len(rig.record.runs) > 20
    assert rig.faults.count > 20


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_promises_hold_while_leaders_change_and_answers_are_lost(
    seed: int,
) -> None:
    """Guards against lost or repeated calls when leaders change.

    Requests and answers are lost, repeated and delayed; sidecars restart.
    Leadership moves between three instances, and proposals report an unknown
    outcome before, after and long before they commit. Callers resend by key,
    also through two entries at once.
    """
    faults = program_rig.Faults(seed)
    cluster = fake_log.Cluster()
    hubs = [streams.TcpStreams("127.0.0.1:0") for _ in NAMES]
    for hub in hubs:
        log = fake_log.MemoryLog(cluster, hub.address)
        attach_service(log, hub, faults)
        log.start()
    cluster.elect(hubs[0].address)
    client_hub = streams.TcpStreams("127.0.0.1:0")
    client = control_client.ControlClient(
        program_rig.FaultyStreams(client_hub, faults),
        TIMERS,
        [hub.address for hub in hubs],
        len(GROUPS),
    )
    rig = program_rig.Rig(client, faults)

    def inject_fault(step: int) -> None:
        if step % 2:
            cluster.elect(faults.random.choice(hubs).address)
        else:
            faults.random.choice(list(rig.upstreams.values())).restart()

    violations = run_all(rig, 12, inject_fault)
    for hub in [*hubs, client_hub]:
        hub.stop()
    assert violations == []
    check_enough_happened(rig)


class Instance:
    """A control instance with a disk, which can be stopped and restarted."""

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.folder = folder / name
        self.epoch = 0
        self.address = "127.0.0.1:0"
        self.open_streams()

    def open_streams(self) -> None:
        self.epoch += 1
        self.hub = streams.TcpStreams(self.address)
        self.address = self.hub.address

    def start(
        self, members: list[replication.Member], faults: program_rig.Faults
    ) -> None:
        options = replication.Options(
            core=types.Settings(
                heartbeat=0.03, election=0.15, resend=0.1, hello=0.1
            ),
            snapshots=replication_snapshots.Limits(
                entries=60, bytes=20_000, kept=10
            ),
        )
        self.log = replication.GroupLog(
            identities.Incarnation(self.name, self.epoch),
            self.address,
            members,
            wal.FileWal(self.folder),
            GROUPS,
            streams=self.hub,
            timers=TIMERS,
            options=options,
        )
        attach_service(self.log, self.hub, faults)
        self.log.start()

    def stop(self) -> None:
        self.log.stop()
        self.hub.stop()


def test_promises_hold_while_leaders_are_killed_and_restarted(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against lost or repeated calls when leaders restart.

    The leader of three instances with disks is killed repeatedly; it recovers
    from its disk or a snapshot. Meanwhile sidecars restart and answers are
    lost, as in the test above.
    """
    faults = program_rig.Faults(4)
    instances = [Instance(name, tmp_path) for name in NAMES]
    members = [
        replication.Member(one.name, one.address, one.name, "r")
        for one in instances
    ]
    for one in instances:
        one.start(members, faults)
    client_hub = streams.TcpStreams("127.0.0.1:0")
    client = control_client.ControlClient(
        program_rig.FaultyStreams(client_hub, faults),
        TIMERS,
        [one.address for one in instances],
        len(GROUPS),
    )
    rig = program_rig.Rig(client, faults)
    kills = []

    def inject_fault(step: int) -> None:
        faults.random.choice(list(rig.upstreams.values())).restart()
        leading = [one for one in instances if one.log.leads(GROUPS[0])]
        if step % 8 == 3 and leading and len(kills) < 4:
            kills.append(step)
            leading[0].stop()
            eventlet.sleep(0.3)
            leading[0].open_streams()
            leading[0].start(members, faults)

    violations = run_all(rig, 25, inject_fault)
    for one in instances:
        one.stop()
    client_hub.stop()
    assert violations == []
    assert kills
    check_enough_happened(rig)
