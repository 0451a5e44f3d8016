"""Measures the parts of routed requests.

    python -m bench.routed

Prints one line each for registrations, the directory, turns, choices and
events: what was measured, its size, and the cost of one.
"""

import io
import time
import tracemalloc

import msgspec

from mintcleat.adapters import event_log
from mintcleat.configuration import directory
from mintcleat.decisions import load_balancing
from mintcleat.domain import events
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.programs import branches

REGISTRATIONS = 3000
TURNS = 20000
CALLS = 5000
TURN_BYTES = 4096


def registration(number: int) -> member_messages.Registration:
    """Returns the registration of one engine."""
    return member_messages.Registration(
        f"i-{number:010x}",
        "agent",
        f"10.0.{number // 250}.{number % 250}:8080",
        "zone-a",
        "v1",
        32,
        "ready",
        number,
    )


def measure_directory() -> None:
    """Prints time and memory of a registration, and sizes of updates."""
    tracemalloc.start()
    members = directory.Directory()
    started = time.process_time()
    for number in range(REGISTRATIONS):
        members.register(registration(number), 0.0)
    register_seconds = (time.process_time() - started) / REGISTRATIONS
    memory = tracemalloc.get_traced_memory()[0] / REGISTRATIONS
    tracemalloc.stop()
    full_size = len(msgspec.msgpack.encode(members.update_since(0)))
    started = time.process_time()
    delta = members.update_since(members.version - 1)
    seconds = time.process_time() - started
    size = len(msgspec.msgpack.encode(delta))
    print_row(
        "register",
        REGISTRATIONS,
        f"{register_seconds * 1e6:.0f} us, {memory:.0f} B",
    )
    print_row("directory, whole", REGISTRATIONS, f"{full_size} B")
    print_row(
        "directory, one change",
        REGISTRATIONS,
        f"{size} B, {seconds * 1e6:.0f} us",
    )


def measure_turns() -> None:
    """Prints time and memory of a turn, opened and closed, in a group."""
    content = b"x" * TURN_BYTES
    group = branches.Branches()
    tracemalloc.start()
    started = time.process_time()
    for number in range(TURNS):
        program, turn = f"p{number // 10}", f"t{number}"
        previous = f"t{number - 1}" if number % 10 else ""
        group.open(
            program_messages.OpenTurn(
                program, turn, previous, 10**6, 45, 60.0, True
            ),
            0.0,
        )
        group.close(
            program_messages.CloseTurn(
                program, turn, 33, "i-1", True, previous, bytes(content),
                b"y" * 500, 60.0,
            ),
            0.0,
        )  # fmt: skip
    seconds = (time.process_time() - started) / TURNS
    memory = tracemalloc.get_traced_memory()[0] / TURNS
    tracemalloc.stop()
    print_row(
        "turn, opened and kept",
        TURNS,
        f"{seconds * 1e6:.0f} us, {memory:.0f} B",
    )


def measure_choice() -> None:
    """Prints the time of one choice among upstreams."""
    for count in (5, 32):
        candidates = [
            load_balancing.Candidate(f"u{n}", n % 5, 32) for n in range(count)
        ]
        started = time.process_time()
        for number in range(CALLS):
            load_balancing.choose(candidates, "u1", f"p{number}", "r")
        seconds = (time.process_time() - started) / CALLS
        print_row("choice among upstreams", count, f"{seconds * 1e6:.0f} us")


def measure_event() -> None:
    """Prints the time of writing one event."""
    budget = event_log.Budget(lines=1e9, burst=1e9)
    log = event_log.EventLog("e", budget, io.StringIO())
    event = events.CallEnded(
        "r1", "a", "p", "u", 200, "whole", 1, 0.1, 0.0, 0.4, 33
    )
    started = time.process_time()
    for _ in range(CALLS):
        log.emit(event)
    log.close(2.0)
    seconds = (time.process_time() - started) / CALLS
    print_row("event written", CALLS, f"{seconds * 1e6:.0f} us")


def print_row(what: str, size: int, cost: str) -> None:
    """Prints one line of the table."""
    print(f"{what:28} {size:8} {cost}")


if __name__ == "__main__":
    measure_directory()
    measure_turns()
    measure_choice()
    measure_event()
