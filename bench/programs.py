"""Cost of program records: processor time, memory, snapshots, as slopes.

`python -m bench.programs machine` measures the machine alone (no log, no
sockets) with histories in files; `python -m bench.programs path` the way of a
begin and a finish through client, streams, service and one disk.
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
TEXT = '{"role":"user","content":"' + "x" * 400 + '"}'
ANSWER = ('{"role":"assistant","content":"' + "y" * 800 + '"}').encode()
BATCH = 64
MAX_TURNS = 340


class Row(NamedTuple):
    """Figures of one size."""

    programs: int
    pair_us: float
    bytes_each: float
    snapshot_ms: float
    snapshot_bytes: int
    restore_ms: float


def create(program: str) -> program_messages.CreateProgram:
    """Returns a creation as an entry sends it."""
    return program_messages.CreateProgram(
        program,
        "farm",
        "triage",
        "interactive",
        identities.Budget(160_000, MAX_TURNS, 3600.0),
        repeat_limit=8,
    )


def begin(program: str, turn: int) -> program_messages.BeginCall:
    """Returns the begin of a turn as an entry sends it."""
    return program_messages.BeginCall(
        program,
        "farm",
        "chat",
        turn,
        f"auto-{program}-{turn}",
        turn.to_bytes(16, "little"),
        [TEXT],
        200,
        True,
        SIDECAR,
        "10.0.0.1:7000",
        nonce=turn,
    )


def apply(group: machine.ProgramMachine, requests: list) -> list:
    """Applies requests in commands of `BATCH`, as the service makes them."""
    replies = []
    for start in range(0, len(requests), BATCH):
        part = requests[start : start + BATCH]
        data = commands.encode(commands.Command(1.0, 1.0, part))
        replies += group.apply(1, data)
    return replies


def run_turn(
    group: machine.ProgramMachine, programs: list[str], turn: int
) -> float:
    """Begins and finishes one turn of each; returns processor seconds."""
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
    """Fills a group; returns processor seconds of a begin+finish pair."""
    names = [f"program-{number:08d}" for number in range(programs)]
    apply(group, [create(name) for name in names])
    seconds = sum(run_turn(group, names, turn + 1) for turn in range(turns))
    return seconds / (programs * turns)


def measure(programs: int, turns: int, folder: pathlib.Path) -> Row:
    """Measures one size with histories in files."""
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
    weight = weigh(programs, turns, folder / f"weighed-{programs}")
    return Row(
        programs, pair * 1e6, weight, snapshot * 1e3, len(state), restore * 1e3
    )


def weigh(programs: int, turns: int, folder: pathlib.Path) -> float:
    """Returns the bytes of Python memory that each program holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    group = machine.ProgramMachine(file_histories.FileHistoryStore(folder))
    fill(group, programs, turns)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    group.histories.clear()
    return held / programs


class Control:
    """One control instance with a disk, and a client on another hub."""

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
        """Creates a program, runs its turns; returns seconds a pair."""
        self.client.ask(program, create(program), 10.0)
        taken = []
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
            taken.append(time.perf_counter() - started)
        return taken


def path(callers: tuple[int, ...] = (1, 64, 512), pairs: int = 2000) -> None:
    """Prints the cost of pairs through client, streams, service and disk.

    Both ends run in this process, so the processor time is that of an entry
    and a control instance together; the log has one replica.

    Args:
        callers: Programs that wait at once.
        pairs: Pairs of begin and finish at each number of callers.
    """
    print(
        f"{'callers':>8} {'pairs/s':>8} {'cpu us/pair':>12} {'p50 ms':>7}"
        f" {'p99 ms':>7}"
    )
    for number in callers:
        with tempfile.TemporaryDirectory() as name:
            control = Control(pathlib.Path(name))
            turns = min(max(2, pairs // number), MAX_TURNS)
            clock, wall = time.process_time(), time.perf_counter()
            threads = [
                eventlet.spawn(control.run_pairs, f"program-{n}", turns)
                for n in range(number)
            ]
            taken = sorted(
                seconds for thread in threads for seconds in thread.wait()
            )
            wall = time.perf_counter() - wall
            clock = time.process_time() - clock
            control.log.stop()
        count = len(taken)
        print(
            f"{number:>8} {count / wall:>8.0f} {clock / count * 1e6:>12.0f}"
            f" {taken[count // 2] * 1e3:>7.2f}"
            f" {taken[count * 99 // 100] * 1e3:>7.2f}"
        )


def main(sizes: tuple[int, ...] = (1000, 4000, 16000), turns: int = 3) -> None:
    """Prints a row a size and the slopes between the ends.

    Args:
        sizes: Programs of one group.
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
    more = last.programs - first.programs
    held = last.bytes_each * last.programs - first.bytes_each * first.programs
    snapshot = last.snapshot_ms - first.snapshot_ms
    restore = last.restore_ms - first.restore_ms
    print(f"slope: {held / more:.0f} bytes a program with {turns} turns")
    print(f"slope: {snapshot / more * 1e3:.1f} us of snapshot a program")
    print(f"slope: {restore / more * 1e3:.1f} us of restore a program")
    print(
        f"ratio of us/pair, largest to smallest size: "
        f"{last.pair_us / first.pair_us:.2f}"
    )


if __name__ == "__main__":
    fire.Fire({"machine": main, "path": path})
