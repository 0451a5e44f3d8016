"""Schemes that keep customers' rate limits over many entries.

`python -m bench.limits ways` simulates, in virtual time, programs of many
customers that send requests through many entries, and a leader that fails now
and then. For each scheme it prints the fraction of requests that were refused
and of those refused although the window had room (`owed`), the most requests
in one window (`fullest`), and the fraction of requests that had to ask control
on their own before they were sent (`asked alone`). The schemes:

- `shares`: each entry enforces an equal part of the limit on its own.
- `bucket`: a token bucket in the leader's memory, lost with the leader.
- `counted`: control counts each request in its replicated state.
- `ahead`: as `counted`, and a turn counts ahead for the tool calls that
  follow it.

`python -m bench.limits bursts` plays bursts of customers that are usually below
their limits; see `bench.limits_burst`.

`python -m bench.limits commits` prints the batches that an entry sends to the
leader for one call, and how long a call waits, if the calls of a program come
together. A batch takes one commit.

`python -m bench.limits cost` measures what one count costs: processor time at
control, and bytes of the message, the log entry and the state.
"""

import argparse
import collections
import random
import time
from typing import Any

import eventlet

from bench import limits_burst
from mintcleat.adapters import timers
from mintcleat.decisions import limits as decisions
from mintcleat.domain import codec
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import events
from mintcleat.programs import commands
from mintcleat.programs import limits
from mintcleat.roles import control_client
from mintcleat.roles.entry import rate_limiter

WINDOW_SECONDS = 5.0
LIMIT = program_messages.RateLimit(10.0, 10.0, WINDOW_SECONDS, 0.1, 20.0)
DEMAND_SECONDS = 60.0
# Mean number of tool calls after each turn of a program.
TOOL_CALLS_PER_TURN = 1.2
TURNS_PER_PROGRAM = 6
# Mean duration of a turn.
TURN_SECONDS = 0.2
LEADER_LOSS_PERIOD_SECONDS = 15.0
# No request is answered for this long after the leader failed.
FAILOVER_SECONDS = 0.7
# Duration of a commit, with the way to the leader and back.
COMMIT_SECONDS = 0.01
SCHEMES = ("shares", "bucket", "counted", "ahead")


class Entry:
    """State that one entry holds for a scheme.

    Attributes:
        counted_ahead: Requests that control has counted in advance, for tool
            calls, under `ahead`.
        sent_at: Times of the requests sent on within the last window, by
            customer, under `shares`.
    """

    def __init__(self) -> None:
        self.counted_ahead = decisions.CountAhead()
        self.sent_at: dict[str, collections.deque[float]] = {}


class Simulation:
    """Entries, a leader, and the customers' programs under one scheme.

    Attributes:
        arrivals: Times of the requests that were sent on, by customer.
        request_count: Requests made while there was a leader.
        refused: Requests that were refused.
        unjustified: Refused requests whose window had room.
        asked_alone: Requests that had to ask control on their own.
        buckets: (time, level) of the last use of each customer's bucket.
    """

    def __init__(self, scheme: str, entries: int, customers: int) -> None:
        self.scheme = scheme
        self.random = random.Random(entries + customers)
        self.entries = [Entry() for _ in range(entries)]
        self.customers = [f"c{n}" for n in range(customers)]
        self.counters = limits.CustomerLimits()
        self.arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self.request_count = self.refused = self.unjustified = (
            self.asked_alone
        ) = 0
        self.leader_lost_at = 0.0
        self.buckets: dict[str, tuple[float, float]] = {}

    def run(self, demand: float) -> None:
        """Runs programs whose requests add up to `demand` times the limits."""
        rate = (
            demand
            * LIMIT.window_limit()
            / WINDOW_SECONDS
            / (TURNS_PER_PROGRAM * (1 + TOOL_CALLS_PER_TURN))
        )
        schedule: list[tuple[float, str, str, int, Entry]] = []
        for customer in self.customers:
            at = self.random.expovariate(rate)
            while at < DEMAND_SECONDS:
                entry = self.random.choice(self.entries)
                schedule.extend(self._program_requests(customer, at, entry))
                at += self.random.expovariate(rate)
        schedule.sort(key=lambda item: item[0])
        next_loss = LEADER_LOSS_PERIOD_SECONDS
        for now, customer, program, is_turn, entry in schedule:
            if now > next_loss:
                next_loss += LEADER_LOSS_PERIOD_SECONDS
                self._lose_leader(now)
            self._request(now, customer, program, is_turn, entry)

    def _program_requests(self, customer: str, at: float, entry: Entry) -> Any:
        name = f"{customer}-{at}"
        for _ in range(TURNS_PER_PROGRAM):
            yield at, customer, name, 1, entry
            at += self.random.expovariate(1 / TURN_SECONDS)
            for _ in range(self.random.choice((0, 1, 1, 2, 2))):
                yield at, customer, name, 0, entry
            at += self.random.uniform(0.05, 0.2)

    def _lose_leader(self, now: float) -> None:
        self.leader_lost_at = now
        # The new leader doesn't know what was sent, so it starts with empty
        # buckets.
        self.buckets = dict.fromkeys(
            self.customers, (now + FAILOVER_SECONDS, 0.0)
        )

    def _request(
        self, now: float, customer: str, program: str, is_turn: int, entry: Any
    ) -> None:
        if now < self.leader_lost_at + FAILOVER_SECONDS:
            return
        self.request_count += 1
        if self._allowed(now, customer, program, is_turn, entry):
            self.arrivals[customer].append(now)
            return
        self.refused += 1
        recent = [
            at for at in self.arrivals[customer] if now - at < WINDOW_SECONDS
        ]
        self.unjustified += len(recent) + 1 <= LIMIT.window_limit()

    def _allowed(
        self, now: float, customer: str, program: str, is_turn: int, entry: Any
    ) -> bool:
        if self.scheme == "shares":
            sent_at = entry.sent_at.setdefault(customer, collections.deque())
            while sent_at and now - sent_at[0] >= WINDOW_SECONDS:
                sent_at.popleft()
            if len(sent_at) + 1 > max(
                1.0, LIMIT.window_limit() / len(self.entries)
            ):
                return False
            sent_at.append(now)
            return True
        if self.scheme == "bucket":
            self.asked_alone += not is_turn
            return self._from_bucket(now, customer)
        may_be_counted = self.scheme == "ahead" and not is_turn
        if may_be_counted and entry.counted_ahead.take(customer, now):
            return True
        self.asked_alone += not is_turn
        if self.counters.admit(customer, program, LIMIT, now) is not None:
            return False
        if self.scheme == "ahead" and is_turn:
            wanted = entry.counted_ahead.requests_ahead(customer, now)
            granted = self.counters.count_ahead(customer, wanted, LIMIT, now)
            entry.counted_ahead.put(
                customer, granted, now + limits.AHEAD_SECONDS
            )
        return True

    def _from_bucket(self, now: float, customer: str) -> bool:
        """Takes a token from the customer's bucket in the leader's memory.

        The capacity is the burst and the tolerance, so that no window exceeds
        the limit by more than the tolerance.
        """
        capacity = LIMIT.burst + LIMIT.tolerance()
        at, level = self.buckets.get(customer, (0.0, capacity))
        level = min(capacity, level + LIMIT.rate * max(0.0, now - at))
        taken = level >= 1.0
        self.buckets[customer] = (max(at, now), level - taken)
        return taken

    def max_window_count(self) -> int:
        """Returns the most requests of any customer in one window."""
        most = 0
        for times in self.arrivals.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] >= WINDOW_SECONDS:
                    first += 1
                most = max(most, last - first + 1)
        return most


def compare_schemes() -> None:
    """Prints the table of schemes."""
    print(
        f"limit {LIMIT.window_limit():g} in {WINDOW_SECONDS:g} s, "
        f"{LIMIT.window_limit() + LIMIT.tolerance():g} with its tolerance"
    )
    header = ("way", "entries", "customers", "demand", "requests", "refused",
            "owed", "fullest", "asked alone")  # fmt: skip
    print("".join(f"{name:>12}" for name in header))
    for entries, customers in ((20, 73), (860, 400)):
        for demand in (0.62, 1.5):
            for scheme in SCHEMES:
                simulation = Simulation(scheme, entries, customers)
                simulation.run(demand)
                row = (
                    scheme,
                    entries,
                    customers,
                    demand,
                    simulation.request_count,
                    f"{simulation.refused / simulation.request_count:.4f}",
                    f"{simulation.unjustified / simulation.request_count:.4f}",
                    simulation.max_window_count(),
                    f"{simulation.asked_alone / simulation.request_count:.3f}",
                )
                print("".join(f"{item!s:>12}" for item in row))


class Leader:
    """Stands in for the streams to a leader; each batch takes a commit."""

    def __init__(self) -> None:
        self.batches = 0
        self.requests = 0

    def ask(self, address: str, batch: Any, timeout: float) -> Any:
        """Grants the counts of a batch after the time of a commit."""
        del address, timeout
        self.batches += 1
        self.requests += len(batch.items)
        eventlet.sleep(COMMIT_SECONDS)
        reply = codec.encode(program_messages.CallCounted())
        return identities.Batch([reply] * len(batch.items))


class LimitedConfiguration:
    """A configuration with one customer that has a limit."""

    def manifest(self) -> manifest.Manifest:
        """Returns a manifest with the customer."""
        customers = {"c": manifest.Customer(rate=1000.0)}
        return manifest.Manifest(
            policies=manifest.Policies(customers=customers)
        )

    def lease_left(self) -> float:
        """Returns the seconds left of a lease that is in force."""
        return 1.0


def measure_commits(programs: int = 200, seconds: float = 4.0) -> None:
    """Prints the batches for one call at several numbers of calls together.

    Args:
        programs: Programs that make calls.
        seconds: Time in which they begin.
    """
    for together in (1, 3, 8):
        leader = Leader()
        service = timers.EventletTimers()
        limiter = rate_limiter.RateLimiter(
            control_client.ControlClient(leader, service, ["leader"], 1),
            service,
            events.NullEventReporter(),
            LimitedConfiguration(),
        )
        rng = random.Random(together)
        waits: list[float] = []

        def call(program: str, at: float, limiter: Any, waits: Any) -> None:
            eventlet.sleep(at)
            began = time.monotonic()
            limiter.admit("c", program, "r")
            waits.append(time.monotonic() - began)

        threads = []
        for number in range(programs):
            at = rng.uniform(0.0, seconds)
            for _ in range(together):
                # The calls of a program come within a few milliseconds.
                when = at + rng.uniform(0.0, 0.005)
                threads.append(
                    eventlet.spawn(call, f"p{number}", when, limiter, waits)
                )
        for thread in threads:
            thread.wait()
        waits.sort()
        print(
            f"{together} calls together: {leader.batches / len(waits):.3f} "
            f"batches and {leader.requests / len(waits):.3f} messages a call, "
            f"median wait {waits[len(waits) // 2] * 1000:.1f} ms, 95th "
            f"percentile {waits[len(waits) * 95 // 100] * 1000:.1f} ms"
        )


def measure_cost(customers: int = 4200, counts: int = 200_000) -> None:
    """Prints the processor time and the bytes of one count.

    Args:
        customers: Customers among which the counts are spread.
        counts: Number of counts.
    """
    counters = limits.CustomerLimits()
    names = [f"customer-{n}" for n in range(customers)]
    started = time.process_time()
    for number in range(counts):
        name = names[number % customers]
        counters.admit(name, f"p{number % 9}", LIMIT, number / 35_000)
    taken = time.process_time() - started
    count = program_messages.CountCall(names[0], "p" * 14, LIMIT, 2)
    command = commands.Command(1.0, 1.0, [count])
    print(f"count: {taken / counts * 1e6:.1f} us with {customers} customers")
    print(f"message: {len(codec.encode(count))} bytes")
    print(f"log entry: {len(commands.encode(command))} bytes")
    state = codec.msgpack.packb(counters.state())
    print(f"state: {len(state) / customers:.0f} bytes a busy customer")


def main() -> None:
    """Runs the command that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "command", choices=("ways", "bursts", "commits", "cost")
    )
    {
        "ways": compare_schemes,
        "bursts": limits_burst.compare,
        "commits": measure_commits,
        "cost": measure_cost,
    }[parser.parse_args().command]()


if __name__ == "__main__":
    main()
