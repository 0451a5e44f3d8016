"""Measures memory and time of the configuration's state.

    python bench/config_state.py

Everything runs in this process. Memory is what Python's allocator counts;
times are the best of three.
"""

from collections.abc import Callable
import pathlib
import sys
import time
import tracemalloc
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

import fire

from mintcleat.adapters import timers
from mintcleat.configuration import commands
from mintcleat.configuration import machine
from mintcleat.configuration import members
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.roles import follower


def announcement(
    number: int, state: str = "ready"
) -> member_messages.Announcement:
    """Returns an announcement whose texts differ by number."""
    return member_messages.Announcement(
        identities.Incarnation(f"sidecar-{number:05}", 1_700_000_000_000),
        number,
        f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000",
        f"service-{number % 24}",
        "model",
        f"region-{number % 4}",
        f"domain-{number % 9}",
        64,
        state,
        True,
        True,
        True,
        True,
        f"model-{number % 24}@1+a+b",
    )


def make_follower(count: int) -> follower.Follower:
    """Returns a follower that knows `count` members."""
    node = follower.Follower(
        identities.Incarnation("entry", 1),
        "entry",
        "fd",
        "",
        streams=None,
        timers=timers.VirtualTimers(),
        control_addresses=[],
    )
    items = [announcement(number) for number in range(count)]
    node.take(member_messages.MembersUpdate(True, items, []))
    return node


def make_table(count: int) -> members.Table:
    """Returns a control instance's table of `count` members."""
    table = members.Table()
    for number in range(count):
        table.announce(announcement(number), 0.0)
    return table


def make_machine(count: int) -> machine.ConfigMachine:
    """Returns a state machine that has applied `count` pushes."""
    config_machine = machine.ConfigMachine()
    config_machine.apply(
        1, commands.encode(commands.StartLeaderEpoch("control-0", 0.0))
    )
    for number in range(count):
        push = commands.Push(
            1,
            number,
            f"{number:032x}",
            {f"services/service-{number % 24}": '{"kind":"plain"}'},
            [],
            f"operator-{number % 7}",
            f"10.0.0.{number % 250}",
            f"services/service-{number % 24}",
            float(number),
        )
        config_machine.apply(number + 2, commands.encode(push))
    return config_machine


def traced_bytes(build: Callable[[int], Any], count: int) -> int:
    """Returns the bytes of Python memory that a built state takes."""
    tracemalloc.start()
    state = build(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size


def best_milliseconds(action: Callable[[], Any]) -> float:
    """Returns the shortest of three runs, in milliseconds."""
    times = []
    for _ in range(3):
        started = time.perf_counter()
        action()
        times.append((time.perf_counter() - started) * 1000)
    return min(times)


def run() -> None:
    """Prints memory and time with 1,000 and 3,000 items."""
    print("state                        1,000 MB  3,000 MB  bytes each")
    for name, build in (
        ("members at a node", make_follower),
        ("members at a control instance", make_table),
        ("pushes and audit trail", make_machine),
    ):
        small, large = traced_bytes(build, 1000), traced_bytes(build, 3000)
        each = (large - small) / 2000
        print(f"{name:29}{small / 1e6:8.2f}  {large / 1e6:8.2f}  {each:10.0f}")
    print("time                                       1,000 ms  3,000 ms")
    for name, action in (
        ("one change of state, at a node", _change_at_node),
        ("one change of state, at control", _change_at_control),
        ("one tick of expiry, at control", _expire),
        ("one push, applied", _apply),
        ("snapshot", _snapshot),
    ):
        print(f"{name:43}{action(1000):8.3f}  {action(3000):8.3f}")


def _change_at_node(count: int) -> float:
    node = make_follower(count)
    update = member_messages.MembersUpdate(
        False, [announcement(5, "draining")], []
    )
    return best_milliseconds(lambda: node.take(update))


def _change_at_control(count: int) -> float:
    table = make_table(count)
    states = ["draining", "ready"] * 2

    def change() -> None:
        version = table.version
        table.announce(announcement(5, states.pop()), 0.0)
        table.update_since(version)

    return best_milliseconds(change)


def _expire(count: int) -> float:
    table = make_table(count)
    return best_milliseconds(lambda: table.expire(1.0))


def _apply(count: int) -> float:
    config_machine = make_machine(count)
    numbers = list(range(count, count + 3))

    def push() -> None:
        number = numbers.pop(0)
        command = commands.Push(
            1, number, f"x{number}", {"policies": "{}"}, [], "a", "b", "c", 1e6
        )
        config_machine.apply(number, commands.encode(command))

    return best_milliseconds(push)


def _snapshot(count: int) -> float:
    config_machine = make_machine(count)
    return best_milliseconds(config_machine.snapshot)


if __name__ == "__main__":
    fire.Fire(run)
