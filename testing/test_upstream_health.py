"""Passive health checks, simulated without a network."""

import heapq
import itertools
import random
from typing import NamedTuple

import testtools
from testtools import matchers

from mintcleat.decisions import load_balancing
from mintcleat.decisions import running_requests
from mintcleat.decisions import upstream_health

UPSTREAMS = [f"u{n}" for n in range(6)]
FAILING = "u0"
SLOTS = 8
SERVICE = 0.06
# Seconds after which a caller gives up on a silent request.
CALLER_TIMEOUT = 2.0
SILENCE_TIMEOUT = 0.3


class Outcome(NamedTuple):
    """Requests of one simulation by their end."""

    served: int
    failed: int


class Request(NamedTuple):
    """A request; a repeatable one is sent once more elsewhere on an error."""

    name: str
    repeatable: bool
    tried: str = ""


class Entry:
    """One entry with its view of the upstreams."""

    def __init__(self) -> None:
        self.running = dict.fromkeys(UPSTREAMS, 0)
        self.penalties = upstream_health.FailurePenalties()
        self.requests = running_requests.RunningRequests()
        self.detector = upstream_health.SilenceDetector(self.requests)

    def place(self, request: Request, now: float) -> str:
        names = [name for name in UPSTREAMS if name != request.tried]
        healthy = upstream_health.healthy(
            names,
            self.penalties,
            self.detector,
            request.repeatable,
            now,
        )
        found = load_balancing.choose(
            [
                load_balancing.Candidate(name, self.running[name], SLOTS)
                for name in healthy
            ],
            "",
            "",
            request.name,
        )
        self.running[found.upstream] += 1
        self.requests.began(found.upstream, request.name, SILENCE_TIMEOUT, now)
        return found.upstream

    def ended(
        self,
        upstream: str,
        request: Request,
        began: float,
        ok: bool,
        now: float,
    ) -> None:
        self.running[upstream] -= 1
        self.requests.ended(upstream, request.name)
        if ok:
            self.detector.arrived(upstream, now)
            self.penalties.answered(upstream, began, now)
        else:
            self.penalties.failed(upstream, now)


def simulate(share: float, how: str, seed: int = 1) -> Outcome:
    """Simulates 20 s of 60 requests per second from 9 entries to 6 upstreams.

    `share` of one upstream's requests fail: at once (`errors`) or when the
    caller gives up (`hang`). All others take 60 ms. A third of the requests
    are repeatable, and are repeated after an error.
    """
    rng = random.Random(seed)
    fleet = [Entry() for _ in range(9)]
    numbers = itertools.count()
    events: list[tuple] = []
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(60.0)
        request = Request(f"r{at}", rng.random() < 1 / 3)
        event = (at, next(numbers), "send", rng.choice(fleet), request)
        heapq.heappush(events, event)
    served = failed = 0
    while events:
        now, _, kind, entry, request, *rest = heapq.heappop(events)
        if kind == "send":
            upstream = entry.place(request, now)
            ok = upstream != FAILING or rng.random() >= share
            duration = SERVICE
            if not ok:
                duration = CALLER_TIMEOUT if how == "hang" else 0.01
            end = (now + duration, next(numbers), "end", entry, request)
            heapq.heappush(events, (*end, upstream, now, ok))
            continue
        upstream, began, ok = rest
        entry.ended(upstream, request, began, ok, now)
        retry = request.repeatable and not request.tried
        if not ok and how == "errors" and retry:
            again = request._replace(tried=upstream)
            heapq.heappush(events, (now, next(numbers), "send", entry, again))
            continue
        served += ok
        failed += not ok
    return Outcome(served, failed)


class PartialFailureTest(testtools.TestCase):
    """An upstream fails some requests while its health checks succeed.

    Each of nine entries sends it about one request per second. If a success
    cleared the whole failure count, requests that can't be repeated would go
    there between failures: of 1,200 requests, 38 were lost to errors and 40 to
    hangs that way, against 16 and 26.
    """

    def test_errors_reach_few_callers(self) -> None:
        self.assertThat(simulate(0.4, "errors").failed, matchers.LessThan(25))

    def test_hangs_reach_few_callers(self) -> None:
        self.assertThat(simulate(0.4, "hang").failed, matchers.LessThan(34))

    def test_silent_upstream_costs_each_entry_few_requests(
        self,
    ) -> None:
        # 34 fail, and 43 if only the timeouts of callers count as failures.
        self.assertThat(simulate(1.0, "hang").failed, matchers.LessThan(40))

    def test_upstream_that_fails_everything_costs_few_requests(self) -> None:
        # 5 fail, and 41 if any request may test whether it has recovered.
        self.assertThat(simulate(1.0, "errors").failed, matchers.LessThan(12))

    def test_rare_failures_exclude_no_upstream_for_long(self) -> None:
        # One answer in twenty can fail at all upstreams at times. Excluding
        # them for long would overload the rest.
        self.assertThat(simulate(0.05, "errors").failed, matchers.LessThan(12))
        self.assertEqual(0, simulate(0.0, "errors").failed)


class FailurePenaltiesTest(testtools.TestCase):
    def test_exclusions_double_up_to_the_maximum(self) -> None:
        penalties = upstream_health.FailurePenalties()
        found = [penalties.failed("a", 0.0).until for _ in range(6)]
        self.assertEqual([0.75, 1.5, 3.0, 6.0, 6.0, 6.0], found)

    def test_exclusion_expires(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        self.assertFalse(penalties.allows("a", True, 0.74))
        self.assertTrue(penalties.allows("a", True, 0.75))

    def test_answer_to_an_earlier_request_ends_no_exclusion(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 10.0)
        penalties.answered("a", 9.0, 10.1)
        self.assertFalse(penalties.allows("a", True, 10.2))

    def test_answer_to_a_later_request_ends_the_exclusion(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 10.0)
        penalties.answered("a", 10.05, 10.1)
        self.assertTrue(penalties.allows("a", True, 10.1))

    def test_recurring_failures_add_up_despite_successes(self) -> None:
        penalties = upstream_health.FailurePenalties()
        for at in (0.0, 1.0, 2.0):
            penalties.failed("a", at)
            penalties.answered("a", at + 0.1, at + 0.2)
        self.assertThat(
            penalties.failed("a", 3.0).until - 3.0, matchers.GreaterThan(2.0)
        )

    def test_non_repeatable_requests_avoid_it_for_longer(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        self.assertFalse(penalties.allows("a", False, 5.9))
        self.assertTrue(penalties.allows("a", False, 6.1))

    def test_successes_readmit_all_requests(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        for at in (1.0, 1.1):
            penalties.answered("a", at, at)
        self.assertTrue(penalties.allows("a", False, 1.2))

    def test_penalty_decays_without_requests(self) -> None:
        penalties = upstream_health.FailurePenalties()
        for _ in range(5):
            penalties.failed("a", 0.0)
        self.assertThat(
            penalties.failed("a", 60.0).until, matchers.LessThan(60.8)
        )


class SilenceDetectorTest(testtools.TestCase):
    def test_silence_counts_from_sending(self) -> None:
        requests = running_requests.RunningRequests()
        detector = upstream_health.SilenceDetector(requests)
        requests.began("a", "r1", 0.5, 10.0)
        self.assertFalse(detector.silent("a", 10.5))
        self.assertTrue(detector.silent("a", 10.6))

    def test_any_data_ends_the_silence(self) -> None:
        requests = running_requests.RunningRequests()
        detector = upstream_health.SilenceDetector(requests)
        requests.began("a", "r1", 0.5, 10.0)
        detector.arrived("a", 10.6)
        self.assertFalse(detector.silent("a", 10.7))
        self.assertTrue(detector.silent("a", 11.2))

    def test_each_route_has_its_own_timeout(self) -> None:
        requests = running_requests.RunningRequests()
        detector = upstream_health.SilenceDetector(requests)
        requests.began("a", "slow", 3.0, 10.0)
        self.assertFalse(detector.silent("a", 12.0))
        requests.began("a", "fast", 0.5, 12.0)
        self.assertTrue(detector.silent("a", 12.6))

    def test_without_requests_there_is_no_silence(self) -> None:
        requests = running_requests.RunningRequests()
        detector = upstream_health.SilenceDetector(requests)
        requests.began("a", "r1", 0.5, 10.0)
        requests.ended("a", "r1")
        self.assertFalse(detector.silent("a", 20.0))
