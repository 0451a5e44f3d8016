"""Leaving upstreams out, played without a network."""

import heapq
import itertools
import random
from typing import NamedTuple

import testtools
from testtools import matchers

from mintcleat.decisions import load_balancing
from mintcleat.decisions import upstream_health

UPSTREAMS = [f"u{n}" for n in range(6)]
SICK = "u0"
SLOTS = 8
SERVICE = 0.06
# Callers leave a request that is silent for so long.
CALLER_LEAVES = 2.0
PATIENCE = 0.3


class Outcome(NamedTuple):
    """What the callers of one play got."""

    served: int
    failed: int


class Request(NamedTuple):
    """A request; one that may be repeated is sent once more elsewhere."""

    name: str
    repeatable: bool
    tried: str = ""


class Entry:
    """One entry's own view, with the decisions of the roles."""

    def __init__(self) -> None:
        self.running = dict.fromkeys(UPSTREAMS, 0)
        self.penalties = upstream_health.FailurePenalties()
        self.silence_detector = upstream_health.SilenceDetector()

    def place(self, request: Request, now: float) -> str:
        names = [name for name in UPSTREAMS if name != request.tried]
        usable = upstream_health.healthy(
            names,
            self.penalties,
            self.silence_detector,
            request.repeatable,
            now,
        )
        found = load_balancing.choose(
            [
                load_balancing.Candidate(name, self.running[name], SLOTS)
                for name in usable
            ],
            "",
            "",
            request.name,
        )
        self.running[found.upstream] += 1
        self.silence_detector.began(found.upstream, request.name, PATIENCE, now)
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
        self.silence_detector.ended(upstream, request.name)
        if ok:
            self.silence_detector.arrived(upstream, now)
            self.penalties.answered(upstream, began, now)
        else:
            self.penalties.failed(upstream, now)


def play(share: float, how: str, seed: int = 1) -> Outcome:
    """Plays 20 s of 60 requests a second from nine entries to six upstreams.

    `share` of one upstream's requests end badly: at once (`errors`) or when
    the caller leaves (`hang`); all others take 60 ms. A third of the requests
    may be repeated, and are after an error.
    """
    chance = random.Random(seed)
    fleet = [Entry() for _ in range(9)]
    numbers = itertools.count()
    due: list[tuple] = []
    at = 0.0
    while at < 20.0:
        at += chance.expovariate(60.0)
        request = Request(f"r{at}", chance.random() < 1 / 3)
        event = (at, next(numbers), "send", chance.choice(fleet), request)
        heapq.heappush(due, event)
    served = failed = 0
    while due:
        now, _, kind, entry, request, *rest = heapq.heappop(due)
        if kind == "send":
            upstream = entry.place(request, now)
            ok = upstream != SICK or chance.random() >= share
            took = SERVICE
            if not ok:
                took = CALLER_LEAVES if how == "hang" else 0.01
            end = (now + took, next(numbers), "end", entry, request)
            heapq.heappush(due, (*end, upstream, now, ok))
            continue
        upstream, began, ok = rest
        entry.ended(upstream, request, began, ok, now)
        once_more = request.repeatable and not request.tried
        if not ok and how == "errors" and once_more:
            again = request._replace(tried=upstream)
            heapq.heappush(due, (now, next(numbers), "send", entry, again))
            continue
        served += ok
        failed += not ok
    return Outcome(served, failed)


class GreyUpstreamTest(testtools.TestCase):
    """An upstream fails a part of its requests; its health answers are good.

    Each of nine entries sends it one request a second. Where a good answer
    takes all of a failure back, requests that can't be repeated go there
    between its failures, and callers lose them for as long as it is sick: of
    1,200 requests 38 with errors and 40 with hangs, now 16 and 26.
    """

    def test_errors_reach_few_callers(self) -> None:
        self.assertThat(play(0.4, "errors").failed, matchers.LessThan(25))

    def test_hangs_reach_few_callers(self) -> None:
        self.assertThat(play(0.4, "hang").failed, matchers.LessThan(34))

    def test_upstream_that_answers_nothing_costs_each_entry_little(
        self,
    ) -> None:
        # 43 where only the end of a caller's patience tells; now 34.
        self.assertThat(play(1.0, "hang").failed, matchers.LessThan(40))

    def test_upstream_that_fails_everything_is_tried_at_no_cost(self) -> None:
        # 41 where any request tries it again; now 5.
        self.assertThat(play(1.0, "errors").failed, matchers.LessThan(12))

    def test_rare_failures_cost_no_more_than_they_are(self) -> None:
        # One answer in twenty lost is a trouble of all upstreams at times;
        # leaving them out for long would drown the rest.
        self.assertThat(play(0.05, "errors").failed, matchers.LessThan(12))
        self.assertEqual(0, play(0.0, "errors").failed)


class StandingsTest(testtools.TestCase):
    def test_pauses_double_up_to_the_cap(self) -> None:
        penalties = upstream_health.FailurePenalties()
        found = [penalties.failed("a", 0.0).until for _ in range(6)]
        self.assertEqual([0.75, 1.5, 3.0, 6.0, 6.0, 6.0], found)

    def test_pause_ends_by_itself(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        self.assertFalse(penalties.allows("a", True, 0.74))
        self.assertTrue(penalties.allows("a", True, 0.75))

    def test_answer_to_an_earlier_request_lifts_no_pause(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 10.0)
        penalties.answered("a", 9.0, 10.1)
        self.assertFalse(penalties.allows("a", True, 10.2))

    def test_answer_to_a_later_request_lifts_the_pause(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 10.0)
        penalties.answered("a", 10.05, 10.1)
        self.assertTrue(penalties.allows("a", True, 10.1))

    def test_failures_that_recur_are_not_forgotten_between(self) -> None:
        penalties = upstream_health.FailurePenalties()
        for at in (0.0, 1.0, 2.0):
            penalties.failed("a", at)
            penalties.answered("a", at + 0.1, at + 0.2)
        self.assertThat(
            penalties.failed("a", 3.0).until - 3.0, matchers.GreaterThan(2.0)
        )

    def test_requests_that_may_not_repeat_keep_away_for_longer(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        self.assertFalse(penalties.allows("a", False, 5.9))
        self.assertTrue(penalties.allows("a", False, 6.1))

    def test_good_answers_bring_all_requests_back(self) -> None:
        penalties = upstream_health.FailurePenalties()
        penalties.failed("a", 0.0)
        for at in (1.0, 1.1):
            penalties.answered("a", at, at)
        self.assertTrue(penalties.allows("a", False, 1.2))

    def test_standing_fades_without_requests(self) -> None:
        penalties = upstream_health.FailurePenalties()
        for _ in range(5):
            penalties.failed("a", 0.0)
        self.assertThat(
            penalties.failed("a", 60.0).until, matchers.LessThan(60.8)
        )


class SilencesTest(testtools.TestCase):
    def test_silence_counts_from_the_sending(self) -> None:
        silence_detector = upstream_health.SilenceDetector()
        silence_detector.began("a", "r1", 0.5, 10.0)
        self.assertFalse(silence_detector.silent("a", 10.5))
        self.assertTrue(silence_detector.silent("a", 10.6))

    def test_any_sign_of_life_ends_it(self) -> None:
        silence_detector = upstream_health.SilenceDetector()
        silence_detector.began("a", "r1", 0.5, 10.0)
        silence_detector.arrived("a", 10.6)
        self.assertFalse(silence_detector.silent("a", 10.7))
        self.assertTrue(silence_detector.silent("a", 11.2))

    def test_each_route_has_its_own_patience(self) -> None:
        silence_detector = upstream_health.SilenceDetector()
        silence_detector.began("a", "slow", 3.0, 10.0)
        self.assertFalse(silence_detector.silent("a", 12.0))
        silence_detector.began("a", "fast", 0.5, 12.0)
        self.assertTrue(silence_detector.silent("a", 12.6))

    def test_nothing_under_way_is_no_silence(self) -> None:
        silence_detector = upstream_health.SilenceDetector()
        silence_detector.began("a", "r1", 0.5, 10.0)
        silence_detector.ended("a", "r1")
        self.assertFalse(silence_detector.silent("a", 20.0))
