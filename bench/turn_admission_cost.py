"""Measures the CPU time of a decision on a turn at the design size.

    python bench/turn_admission_cost.py

860 entries, 4,200 customers, 3,000 engines of 8 slots, and thousands of turns
that wait. Prints microseconds for each kind of operation.
"""

from collections.abc import Callable
import random
import time
from typing import Any

from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages

ENTRIES = 860
CUSTOMERS = 4200
SLOTS = 3000 * 8
WAITING = 5000
ROUNDS = 20_000
# Time between two messages at the leader, in seconds.
INTERVAL = 1e-5
# Tokens that a turn generated.
ANSWER_TOKENS = 60


def ask_of(number: int, rng: random.Random) -> turn_queue.Ask:
    """Returns a turn of a random customer and entry."""
    demand = program_messages.TurnDemand(
        "lm",
        "turns",
        rng.choice((0, 2)),
        1.0,
        rng.randrange(500, 4000),
        30.0,
        0.0,
        SLOTS,
        0,
        30.0,
    )
    customer = f"c{rng.randrange(CUSTOMERS)}"
    return turn_queue.Ask(
        turn_queue.TurnKey(customer, f"t{number}"),
        f"p{number}",
        rng.random() < 0.25,
        f"a{rng.randrange(ENTRIES)}",
        demand.tokens // 2,
        demand,
    )


def main() -> None:
    """Runs the measurement."""
    rng = random.Random(1)
    schedule = turn_admission.ServiceSchedule()
    now = 0.0
    number = 0
    waiting: dict[turn_queue.TurnKey, turn_queue.Ask] = {}
    while len(waiting) < WAITING:
        ask = ask_of(number, rng)
        number += 1
        now += INTERVAL
        if isinstance(schedule.ask(ask, now), turn_decisions.Defer):
            waiting[ask.key] = ask
    spent = {"ask": 0.0, "ask again": 0.0, "release": 0.0}
    longest = dict.fromkeys(spent, 0.0)

    def timed(name: str, function: Callable[..., Any], *arguments: Any) -> Any:
        began = time.perf_counter()
        result = function(*arguments)
        seconds = time.perf_counter() - began
        spent[name] += seconds
        longest[name] = max(longest[name], seconds)
        return result

    keys = list(waiting)
    for _ in range(ROUNDS):
        now += INTERVAL
        again = waiting.get(keys[rng.randrange(len(keys))])
        if again is not None:
            timed("ask again", schedule.ask, again, now)
        ask = ask_of(number, rng)
        number += 1
        timed("ask", schedule.ask, ask, now)
        key = next(iter(schedule.running))
        timed("release", schedule.release, key, ANSWER_TOKENS, True, now)
    for name, seconds in spent.items():
        print(
            f"{name:10} {seconds / ROUNDS * 1e6:6.1f} us, "
            f"longest {longest[name] * 1e3:.1f} ms"
        )


if __name__ == "__main__":
    main()
