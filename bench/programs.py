"""Measures the cost of program records: processor time, memory, snapshots.

`python -m bench.programs machine` measures the state machine alone, without
log and sockets, with histories in files. `python -m bench.programs path`
measures a begin and a finish of a call (a pair) through client, streams,
service and one disk.
"""

import gc
import pathlib
import tempfile
import time
import tracemalloc
from typing import NamedTuple

import eventlet
import fire

from mintcleat.adapters import histories as file_histories
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import placement
from mintcleat.roles import control_client
from mintcleat.roles.control.programs import service as program_service
from mintcleat.roles.control.replication import replication

SIDECAR = identities.Incarnation("engine-1", 1)
MESSAGE = '{"role":"user","content":"' + "x" * 400 + '"}'
ANSWER = ('{"role":"assistant","content":"' + "y" * 800 + '"}').encode()
COMMAND_REQUESTS = 64
MAX_TURNS = 340


class Row(NamedTuple):
    """Figures with one number of programs.

    Attributes:
        programs: Number of programs.
        pair_us: Processor time of a begin and a finish, in microseconds.
        bytes_each: Python memory per program.
        snapshot_ms: Processor time of a snapshot, in milliseconds.
        snapshot_bytes: Size of the snapshot.
        restore_ms: Processor time of a restore, in milliseconds.
    """

    programs: int
    pair_us: float
    bytes_each: float
    snapshot_ms: float
    snapshot_bytes: int
    restore_ms: float


def create(program: str) -> program_messages.CreateProgram:
    """Returns a request as an entry sends it to create a program."""
    return program_messages.CreateProgram(
        program,
        "farm",
        "triage",
        "interactive",
        identities.Budget(160_000, MAX_TURNS, 3600.0),
        repeat_limit=8,
    )


def begin(program: str, turn: int) -> program_messages.BeginCall:
    """Returns a request as an entry sends it to begin a turn."""
    return program_messages.BeginCall(
        program,
        "farm",
        "chat",
        turn,
        f"auto-{program}-{turn}",
        turn.to_bytes(16, "little"),
        [MESSAGE],
        200,
        True,
        SIDECAR,
        "10.0.0.1:7000",
        nonce=turn,
    )


def apply(group: machine.ProgramMachine, requests: list) -> list:
    """Applies requests in batches, as the service does; returns the replies."""
    replies = []
    for start in range(0, len(requests), COMMAND_REQUESTS):
        batch = requests[start : start + COMMAND_REQUESTS]
        data = commands.encode(commands.Command(1.0, 1.0, batch))
        replies += group.apply(1, data)
    return replies


def run_turns(
    group: machine.ProgramMachine, programs: list[str], turn: int
) -> float:
    """Runs one turn of each program; returns the processor seconds.

    Only the application of the requests is timed.
    """
    begins = [begin(program, turn) for program in programs]
    started = time.process_time()
    grants = apply(group, begins)
    seconds = time.process_time() - started
    finishes = [
        program_messages.FinishCall(
            request.program,
            "farm",
            request.key,
            granted.attempt,
            SIDECAR,
            ANSWER,
            identities.Usage(100, 80, 0),
        )
        for request, granted in zip(begins, grants, strict=True)
    ]
    started = time.process_time()
    apply(group, finishes)
    return seconds + time.process_time() - started


def fill(group: machine.ProgramMachine, programs: int, turns: int) -> float:
    """Runs programs in a group; returns the processor seconds of a pair."""
    names = [f"program-{number:08d}" for number in range(programs)]
    apply(group, [create(name) for name in names])
    seconds = sum(run_turns(group, names, turn + 1) for turn in range(turns))
    return seconds / (programs * turns)


def measure(programs: int, turns: int, folder: pathlib.Path) -> Row:
    """Returns the figures with one number of programs.

    Args:
        programs: Number of programs.
        turns: Finished turns of each program.
        folder: Folder of the histories.
    """
    timed = machine.ProgramMachine(
        file_histories.FileHistoryStore(folder / f"timed-{programs}")
    )
    pair = fill(timed, programs, turns)
    started = time.process_time()
    state = timed.snapshot()
    snapshot = time.process_time() - started
    copy = machine.ProgramMachine(
        file_histories.FileHistoryStore(folder / f"copy-{programs}")
    )
    started = time.process_time()
    copy.restore(state)
    restore = time.process_time() - started
    for group in (timed, copy):
        group.histories.clear()
    del timed, copy
    memory = measure_memory(programs, turns, folder / f"weighed-{programs}")
    return Row(
        programs, pair * 1e6, memory, snapshot * 1e3, len(state), restore * 1e3
    )


def measure_memory(programs: int, turns: int, folder: pathlib.Path) -> float:
    """Returns the bytes of Python memory per program."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    group = machine.ProgramMachine(file_histories.FileHistoryStore(folder))
    fill(group, programs, turns)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    group.histories.clear()
    return size / programs


class ControlRig:
    """One control instance with a disk, and a client of it."""

    def __init__(self, folder: pathlib.Path) -> None:
        service_hub = streams.TcpStreams("127.0.0.1:0")
        client_hub = streams.TcpStreams("127.0.0.1:0")
        timer_service = timers.EventletTimers()
        groups = placement.group_names(4)
        member = replication.Member("c1", service_hub.address, "a", "r")
        self.log = replication.GroupLog(
            identities.Incarnation("c1", 1),
            service_hub.address,
            [member],
            wal.FileWal(folder / "log"),
            groups,
            streams=service_hub,
            timers=timer_service,
        )
        program_service.ProgramService(
            self.log,
            service_hub,
            timer_service,
            groups,
            manifest.Policies,
            histories=lambda group: file_histories.FileHistoryStore(
                folder / group
            ),
        )
        self.log.start()
        self.client = control_client.ControlClient(
            client_hub, timer_service, [service_hub.address], len(groups)
        )

    def run_pairs(self, program: str, turns: int) -> list[float]:
        """Creates a program and runs its turns; returns the seconds of each."""
        self.client.ask(program, create(program), 10.0)
        latencies = []
        for turn in range(1, turns + 1):
            started = time.perf_counter()
            request = begin(program, turn)._replace(nonce=0)
            granted = self.client.ask(program, request, 10.0)
            finish = program_messages.FinishCall(
                program,
                "farm",
                request.key,
                granted.attempt,
                SIDECAR,
                ANSWER,
                identities.Usage(100, 80, 0),
            )
            self.client.ask(program, finish, 10.0)
            latencies.append(time.perf_counter() - started)
        return latencies


def path(callers: tuple[int, ...] = (1, 64, 512), pairs: int = 2000) -> None:
    """Prints the cost of pairs through client, streams, service and disk.

    Client and control instance run in this process, so the processor time is
    the sum of both. The log has one replica.

    Args:
        callers: Numbers of concurrent programs.
        pairs: Pairs of begin and finish at each number of callers.
    """
    print(
        f"{'callers':>8} {'pairs/s':>8} {'cpu us/pair':>12} {'p50 ms':>7}"
        f" {'p99 ms':>7}"
    )
    for number in callers:
        with tempfile.TemporaryDirectory() as name:
            control = ControlRig(pathlib.Path(name))
            turns = min(max(2, pairs // number), MAX_TURNS)
            cpu, wall = time.process_time(), time.perf_counter()
            threads = [
                eventlet.spawn(control.run_pairs, f"program-{n}", turns)
                for n in range(number)
            ]
            latencies = sorted(
                seconds for thread in threads for seconds in thread.wait()
            )
            wall = time.perf_counter() - wall
            cpu = time.process_time() - cpu
            control.log.stop()
        count = len(latencies)
        print(
            f"{number:>8} {count / wall:>8.0f} {cpu / count * 1e6:>12.0f}"
            f" {latencies[count // 2] * 1e3:>7.2f}"
            f" {latencies[count * 99 // 100] * 1e3:>7.2f}"
        )


def main(sizes: tuple[int, ...] = (1000, 4000, 16000), turns: int = 3) -> None:
    """Prints a row for each size, and slopes from the first to the last.

    Args:
        sizes: Numbers of programs in one group.
        turns: Finished turns of each program.
    """
    with tempfile.TemporaryDirectory() as name:
        rows = [measure(size, turns, pathlib.Path(name)) for size in sizes]
    print(
        f"{'programs':>9} {'us/pair':>8} {'bytes/program':>13}"
        f" {'snapshot ms':>11} {'snapshot MB':>11} {'restore ms':>10}"
    )
    for row in rows:
        print(
            f"{row.programs:>9} {row.pair_us:>8.1f} {row.bytes_each:>13.0f}"
            f" {row.snapshot_ms:>11.1f} {row.snapshot_bytes / 1e6:>11.2f}"
            f" {row.restore_ms:>10.1f}"
        )
    first, last = rows[0], rows[-1]
    growth = last.programs - first.programs
    memory = last.bytes_each * last.programs - first.bytes_each * first.programs
    snapshot = last.snapshot_ms - first.snapshot_ms
    restore = last.restore_ms - first.restore_ms
    print(f"slope: {memory / growth:.0f} bytes a program with {turns} turns")
    print(f"slope: {snapshot / growth * 1e3:.1f} us of snapshot a program")
    print(f"slope: {restore / growth * 1e3:.1f} us of restore a program")
    print(
        f"ratio of us/pair, largest to smallest size: "
        f"{last.pair_us / first.pair_us:.2f}"
    )


if __name__ == "__main__":
    fire.Fire({"machine": main, "path": path})
