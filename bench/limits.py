"""Ways of keeping customers' limits over many entries, in virtual time.

`python -m bench.limits ways` plays programs of many customers through entries
and a leader that is lost now and then, and prints for each way what was
refused although the window had room, how far the fullest window went over the
limit, and how many requests had to ask control first. `python -m bench.limits
cost` measures what a count costs at control and on the way.
"""

import argparse
import collections
import random
import time
from typing import Any

from mintcleat.decisions import limits as decisions
from mintcleat.domain import codec
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import limits

WINDOW = 5.0
LIMIT = program_messages.RateLimit(10.0, 10.0, WINDOW, 0.1, 20.0)
SECONDS = 60.0
# A turn and the calls of tools that follow it; a program has some of these.
CALLS = 1.2
ROUNDS = 6
TURN_SECONDS = 0.2
LOSS_EVERY = 15.0
AWAY = 0.7
WAYS = ("shares", "bucket", "counted", "ahead")


class Entry:
    """One entry's own part of a way."""

    def __init__(self) -> None:
        self.ahead = decisions.CountAhead()
        self.sent: dict[str, collections.deque[float]] = {}


class World:
    """Entries, a leader, and the customers' programs.

    Attributes:
        arrivals: When requests were sent on, by customer.
        refused: Requests that were refused.
        owed: Of these, those whose window had room by what arrived.
        asked: Requests that had to ask control for themselves alone.
    """

    def __init__(self, way: str, entries: int, customers: int) -> None:
        self.way = way
        self.random = random.Random(entries + customers)
        self.entries = [Entry() for _ in range(entries)]
        self.customers = [f"c{n}" for n in range(customers)]
        self.held = limits.CustomerLimits()
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.requests = self.refused = self.owed = self.asked = 0
        self.lost = 0.0
        self.levels: dict[str, tuple[float, float]] = {}

    def play(self, share: float) -> None:
        """Plays demand at a share of each customer's limit."""
        rate = share * LIMIT.window_limit() / WINDOW / (ROUNDS * (1 + CALLS))
        due: list[tuple[float, str, str, int, Entry]] = []
        for customer in self.customers:
            at = self.random.expovariate(rate)
            while at < SECONDS:
                entry = self.random.choice(self.entries)
                due.extend(self._program(customer, at, entry))
                at += self.random.expovariate(rate)
        due.sort(key=lambda item: item[0])
        next_loss = LOSS_EVERY
        for now, customer, program, is_turn, entry in due:
            if now > next_loss:
                next_loss += LOSS_EVERY
                self._lose_leader(now)
            self._request(now, customer, program, is_turn, entry)

    def _program(self, customer: str, at: float, entry: Entry) -> Any:
        name = f"{customer}-{at}"
        for _ in range(ROUNDS):
            yield at, customer, name, 1, entry
            at += self.random.expovariate(1 / TURN_SECONDS)
            for _ in range(self.random.choice((0, 1, 1, 2, 2))):
                yield at, customer, name, 0, entry
            at += self.random.uniform(0.05, 0.2)

    def _lose_leader(self, now: float) -> None:
        self.lost = now
        # A successor that knows nothing of what was sent begins with nothing.
        self.levels = dict.fromkeys(self.customers, (now + AWAY, 0.0))

    def _request(
        self, now: float, customer: str, program: str, is_turn: int, entry: Any
    ) -> None:
        if now < self.lost + AWAY:
            return
        self.requests += 1
        if self._allowed(now, customer, program, is_turn, entry):
            self.arrivals[customer].append(now)
            return
        self.refused += 1
        recent = [at for at in self.arrivals[customer] if now - at < WINDOW]
        self.owed += len(recent) + 1 <= LIMIT.window_limit()

    def _allowed(
        self, now: float, customer: str, program: str, is_turn: int, entry: Any
    ) -> bool:
        if self.way == "shares":
            sent = entry.sent.setdefault(customer, collections.deque())
            while sent and now - sent[0] >= WINDOW:
                sent.popleft()
            if len(sent) + 1 > max(
                1.0, LIMIT.window_limit() / len(self.entries)
            ):
                return False
            sent.append(now)
            return True
        if self.way == "bucket":
            self.asked += not is_turn
            return self._from_bucket(now, customer)
        held = self.way == "ahead" and not is_turn
        if held and entry.ahead.take(customer, now):
            return True
        self.asked += not is_turn
        if self.held.admit(customer, program, LIMIT, now) is not None:
            return False
        if self.way == "ahead" and is_turn:
            wanted = entry.ahead.requests_ahead(customer, now)
            given = self.held.count_ahead(customer, wanted, LIMIT, now)
            entry.ahead.put(customer, given, now + limits.AHEAD_SECONDS)
        return True

    def _from_bucket(self, now: float, customer: str) -> bool:
        """Takes from a bucket in the leader's memory.

        It holds the burst and the tolerance, so that no window goes over.
        """
        most = LIMIT.burst + LIMIT.tolerance()
        at, level = self.levels.get(customer, (0.0, most))
        level = min(most, level + LIMIT.rate * max(0.0, now - at))
        taken = level >= 1.0
        self.levels[customer] = (max(at, now), level - taken)
        return taken

    def fullest(self) -> int:
        """Returns the most requests of a customer in a window."""
        most = 0
        for times in self.arrivals.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] >= WINDOW:
                    first += 1
                most = max(most, last - first + 1)
        return most


def ways() -> None:
    """Prints the table of ways."""
    print(
        f"limit {LIMIT.window_limit():g} in {WINDOW:g} s, "
        f"{LIMIT.window_limit() + LIMIT.tolerance():g} with its tolerance"
    )
    head = ("way", "entries", "customers", "demand", "requests", "refused",
            "owed", "fullest", "asked alone")  # fmt: skip
    print("".join(f"{name:>12}" for name in head))
    for entries, customers in ((20, 73), (860, 400)):
        for share in (0.62, 1.5):
            for way in WAYS:
                world = World(way, entries, customers)
                world.play(share)
                row = (way, entries, customers, share, world.requests,
                       f"{world.refused / world.requests:.4f}",
                       f"{world.owed / world.requests:.4f}",
                       world.fullest(),
                       f"{world.asked / world.requests:.3f}")  # fmt: skip
                print("".join(f"{item!s:>12}" for item in row))


def cost(customers: int = 4200, counts: int = 200_000) -> None:
    """Prints what one count costs, and its size."""
    held = limits.CustomerLimits()
    names = [f"customer-{n}" for n in range(customers)]
    started = time.process_time()
    for number in range(counts):
        name = names[number % customers]
        held.admit(name, f"p{number % 9}", LIMIT, number / 35_000)
    taken = time.process_time() - started
    count = program_messages.CountCall(names[0], "p" * 14, LIMIT, 2)
    command = commands.Command(1.0, 1.0, [count])
    print(f"count: {taken / counts * 1e6:.1f} us with {customers} customers")
    print(f"message: {len(codec.encode(count))} bytes")
    print(f"log entry: {len(commands.encode(command))} bytes")
    state = codec.msgpack.packb(held.state())
    print(f"state: {len(state) / customers:.0f} bytes a busy customer")


def main() -> None:
    """Runs the command that is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", choices=("ways", "cost"))
    {"ways": ways, "cost": cost}[parser.parse_args().command]()


if __name__ == "__main__":
    main()
