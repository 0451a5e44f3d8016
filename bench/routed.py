"""Slopes of routed requests: registrations, turns, placing, events.

    python -m bench.routed

Prints one line for each: what, size, and the cost of one.
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


def registrations() -> None:
    """Prints memory, bytes and time of the directory."""
    tracemalloc.start()
    held = directory.Directory()
    began = time.process_time()
    for number in range(REGISTRATIONS):
        held.register(registration(number), 0.0)
    each = (time.process_time() - began) / REGISTRATIONS
    memory = tracemalloc.get_traced_memory()[0] / REGISTRATIONS
    tracemalloc.stop()
    whole = len(msgspec.msgpack.encode(held.update_since(0)))
    began = time.process_time()
    delta = held.update_since(held.version - 1)
    took = time.process_time() - began
    size = len(msgspec.msgpack.encode(delta))
    show("register", REGISTRATIONS, f"{each * 1e6:.0f} us, {memory:.0f} B")
    show("directory, whole", REGISTRATIONS, f"{whole} B")
    show(
        "directory, one change", REGISTRATIONS, f"{size} B, {took * 1e6:.0f} us"
    )


def turns() -> None:
    """Prints time and memory of turns in a program group."""
    content = b"x" * TURN_BYTES
    group = branches.Branches()
    tracemalloc.start()
    began = time.process_time()
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
    took = (time.process_time() - began) / TURNS
    memory = tracemalloc.get_traced_memory()[0] / TURNS
    tracemalloc.stop()
    show("turn, opened and kept", TURNS, f"{took * 1e6:.0f} us, {memory:.0f} B")


def placing() -> None:
    """Prints the time of one choice."""
    for count in (5, 32):
        offered = [
            load_balancing.Candidate(f"u{n}", n % 5, 32) for n in range(count)
        ]
        began = time.process_time()
        for number in range(CALLS):
            load_balancing.choose(offered, "u1", f"p{number}", "r")
        took = (time.process_time() - began) / CALLS
        show("choice among upstreams", count, f"{took * 1e6:.0f} us")


def telling() -> None:
    """Prints the time of one event."""
    budget = event_log.Budget(lines=1e9, burst=1e9)
    log = event_log.EventLog("e", budget, io.StringIO())
    event = events.CallEnded(
        "r1", "a", "p", "u", 200, "whole", 1, 0.1, 0.0, 0.4, 33
    )
    began = time.process_time()
    for _ in range(CALLS):
        log.emit(event)
    log.close(2.0)
    took = (time.process_time() - began) / CALLS
    show("event written", CALLS, f"{took * 1e6:.0f} us")


def show(what: str, size: int, cost: str) -> None:
    """Prints one line."""
    print(f"{what:28} {size:8} {cost}")


if __name__ == "__main__":
    registrations()
    turns()
    placing()
    telling()
