"""Turns that an entry opens under admission control."""

from collections.abc import Callable
from typing import Any

import testtools

from fakes import waiting_clock
from mintcleat.configuration import directory
from mintcleat.decisions import policy
from mintcleat.decisions import shared_load
from mintcleat.domain import answer_ends
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import events
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import turn_demand
from mintcleat.roles.entry import upstream_loads

CALL = routed_calls.RoutedCall(
    "r1",
    "POST",
    "",
    "/",
    (),
    b"x",
    program=routed_calls.ProgramContext("p", finish_within=2.0),
    generation=routed_calls.Generation("m", 900, 100),
    customer="farm",
)
OPENED = program_messages.TurnOpened([], "")
SERVICE = manifest.Service(kind="model", memory_tokens=5000)
WHOLE = answer_ends.AnswerEnd(
    answer_ends.Framing.CHUNKS, answer_ends.Kind.MARKED
)


class CallerGone(BaseException):
    """The caller's disconnect, which ends the request's green thread."""


class Clock(waiting_clock.Clock):
    """A clock on which background tasks run at once."""

    def spawn(self, function: Any, *args: Any) -> None:
        function(*args)


class Control:
    """Answers requests by a script.

    Attributes:
        asked: The requests that were sent.
        closing: Called while a CloseTurn is not yet answered.
    """

    groups = 1

    def __init__(self, answer: Callable[[int], Any]) -> None:
        self.answer = answer
        self.asked: list[Any] = []
        self.closing: Callable[[], None] = lambda: None

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        self.asked.append(message)
        if isinstance(message, program_messages.CloseTurn):
            self.closing()
            return None
        reply = self.answer(len(self.asked))
        if isinstance(reply, BaseException):
            raise reply
        return reply


class Configuration:
    """A configuration with upstreams and without customers."""

    def __init__(self) -> None:
        self.registered = directory.Directory()

    def subscribe(self, callback: Any) -> None:
        return None

    def manifest(self) -> manifest.Manifest:
        return manifest.Manifest()

    def lease_left(self) -> float:
        return 1.0


class TurnClientTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.configuration = Configuration()
        for number in range(3):
            self.configuration.registered.register(
                member_messages.Registration(
                    f"e{number}", "lm", f"h:{number}", "", "", 4, "ready", 1
                )
            )
        self.loads = upstream_loads.UpstreamLoads(
            self.configuration,
            self.clock,
            events.NullEventReporter(),
            lambda incarnation: None,
            "a1",
            policy.DEFAULT,
        )
        self.loads.refresh()

    def client(self, answer: Callable[[int], Any]) -> turn_client.TurnClient:
        self.control = Control(answer)
        limiter = rate_limiter.RateLimiter(
            self.control,
            self.clock,
            events.NullEventReporter(),
            self.configuration,
        )
        return turn_client.TurnClient(
            self.control, limiter, self.clock, events.NullEventReporter()
        )

    def open(self, answer: Callable[[int], Any]) -> Any:
        client = self.client(answer)
        admission = turn_demand.Admission(
            self.demand, self.loads.report, self.clock.now() + 1.5
        )
        return client.open(CALL, 100, 60.0, self.loads.report, admission)

    def open_without_admission(self, client: turn_client.TurnClient) -> Any:
        return client.open(CALL, 100, 60.0, self.loads.report_for_summary, None)

    def test_reply_without_a_summary_changes_nothing(self) -> None:
        # An entry that took it for "no other entry has requests" would send
        # its own to upstreams that are full.
        summary = OPENED._replace(others={"u": 3})
        replies = [summary, OPENED, OPENED, summary]
        control = Control(lambda count: replies[count - 1])
        limiter = rate_limiter.RateLimiter(
            control, self.clock, events.NullEventReporter(), self.configuration
        )
        client = turn_client.TurnClient(
            control, limiter, self.clock, events.NullEventReporter()
        )
        asked = self.open_without_admission(client)
        self.assertEqual({"u": 3}, asked.others.running)
        self.loads.update_others(asked.others)
        self.assertIsNone(self.open_without_admission(client).others)
        self.clock.sleep(shared_load.INTERVAL)
        empty = self.open_without_admission(client)
        self.assertEqual({}, empty.others.running)
        self.loads.update_others(empty.others)
        # A leader of an earlier release sends it even if it isn't asked.
        earlier = self.open_without_admission(client)
        self.assertEqual({"u": 3}, earlier.others.running)

    def demand(self) -> program_messages.TurnDemand:
        return turn_demand.demand_of(
            CALL,
            "turns",
            "lm",
            SERVICE,
            0,
            0,
            1.0,
            self.clock.now(),
            2.0 - self.clock.now(),
            turn_demand.capacity_of(self.loads, "lm"),
        )

    def test_demand_states_capacity_and_running_requests(self) -> None:
        self.loads.began("e1", "other", 1.0)
        demand = self.demand()
        self.assertEqual((12, 15000), (demand.places, demand.memory_tokens))
        self.assertEqual((1000, 2.0), (demand.tokens, demand.finish_within))
        self.assertEqual(1, demand.running)

    def test_one_failure_takes_no_capacity(self) -> None:
        # Guards against turns that are refused beside idle slots, as some
        # upstream of a small service broke off an answer a moment ago.
        for name in ("e0", "e1"):
            self.loads.failed(self.loads.known[name])
        demand = self.demand()
        self.assertEqual((12, 15000), (demand.places, demand.memory_tokens))

    def test_rare_failures_take_no_capacity(self) -> None:
        for _ in range(20):
            self.loads.failed(self.loads.known["e1"])
            self.assertEqual(12, self.demand().places)
            for _ in range(3):
                self.clock.sleep(0.1)
                self.loads.answered("e1", self.clock.now() - 0.05)

    def test_second_failure_in_a_row_takes_capacity(self) -> None:
        for _ in range(2):
            self.loads.failed(self.loads.known["e1"])
        self.assertEqual(8, self.demand().places)

    def test_failing_upstreams_are_no_capacity(self) -> None:
        for _ in range(20):
            self.loads.failed(self.loads.known["e1"])
        self.assertEqual(8, self.demand().places)

    def test_deferred_turn_asks_again_until_it_is_granted(self) -> None:
        deferred = errors.TurnDeferred("It waits.", retry_after=0.05)
        self.open(lambda count: deferred if count < 4 else OPENED)
        waits = [request.demand.waited for request in self.control.asked]
        self.assertEqual([0.0, 0.05, 0.1, 0.15], waits)
        self.assertEqual(
            {"r1"}, {request.turn for request in self.control.asked}
        )

    def test_turn_that_waits_too_long_is_refused_in_time(self) -> None:
        deferred = errors.TurnDeferred("It waits.", retry_after=0.05)
        error = self.assertRaises(
            errors.Overloaded, self.open, lambda count: deferred
        )
        self.assertIs(errors.Overloaded, type(error))
        self.assertEqual(errors.NOT_RUN, error.outcome)
        self.assertTrue(1.3 < self.clock.now() <= 1.5)

    def test_refusal_is_passed_on(self) -> None:
        refused = errors.ShareExceeded("Too much.", retry_after=0.7)
        error = self.assertRaises(
            errors.ShareExceeded, self.open, lambda count: refused
        )
        self.assertEqual(0.7, error.retry_after)
        self.assertEqual(1, len(self.control.asked))

    def test_grant_of_a_caller_that_has_gone_is_released(self) -> None:
        # The grant may be on its way when the caller's thread ends.
        self.assertRaises(CallerGone, self.open, lambda count: CallerGone())
        opened, closed = self.control.asked
        self.assertIsInstance(closed, program_messages.CloseTurn)
        self.assertEqual(opened.turn, closed.turn)

    def test_reservation_of_a_caller_that_has_gone_is_released(self) -> None:
        # The program's budget would be used up by turns that never ran.
        client = self.client(lambda count: CallerGone())
        self.assertRaises(CallerGone, self.open_without_admission, client)
        opened, closed = self.control.asked
        self.assertIsInstance(closed, program_messages.CloseTurn)
        self.assertEqual((opened.turn, 0), (closed.turn, closed.tokens))

    def closing(
        self, close: Callable[[turn_client.TurnClient, Any], None]
    ) -> Any:
        """Returns what the entry states while a CloseTurn is on the way."""
        client = self.client(lambda count: OPENED)
        turn = client.open(CALL, 100, 60.0, self.loads.report)
        self.loads.began("e1", "r1", 1.0)
        self.loads.began("e1", "other", 1.0)
        found = []
        self.control.closing = lambda: found.append(
            turn_demand.capacity_of(self.loads, "lm", client.ending)
        )
        close(client, turn)
        self.assertEqual({}, client.ending)
        (capacity,) = found
        return capacity

    def test_turn_has_ended_while_its_commit_is_on_the_way(self) -> None:
        # Guards against a slot that stays in use until a late CloseTurn, and
        # against a turn that counts as ended and as running.
        capacity = self.closing(
            lambda client, turn: client.commit(
                turn, 5, "e1", b"", self.loads.report(), WHOLE
            )
        )
        self.assertEqual(1, capacity.running)
        ended = program_messages.EndedTurn("farm", "r1")
        self.assertEqual([ended], capacity.ended)

    def test_answer_that_broke_off_is_not_recorded_as_a_turn(self) -> None:
        for kind in answer_ends.Kind:
            end = WHOLE._replace(kind=kind)
            if not end.is_whole:
                self.assertRaises(
                    ValueError,
                    self.closing,
                    lambda client, turn, end=end: client.commit(
                        turn, 5, "e1", b"", self.loads.report(), end
                    ),
                )

    def test_interrupted_turn_has_ended_while_it_is_settled(self) -> None:
        def settle(client: turn_client.TurnClient, turn: Any) -> None:
            self.loads.ended("e1", "r1")
            client.settle(turn, 5, "e1", True)

        capacity = self.closing(settle)
        self.assertEqual(1, capacity.running)
        ended = program_messages.EndedTurn("farm", "r1")
        self.assertEqual([ended], capacity.ended)

    def test_number_of_ended_turns_in_a_demand_is_bounded(self) -> None:
        ending = {
            program_messages.EndedTurn("farm", str(number)): ""
            for number in range(200)
        }
        capacity = turn_demand.capacity_of(self.loads, "lm", ending)
        self.assertEqual(program_messages.MAX_ENDED, len(capacity.ended))
        self.assertEqual("199", capacity.ended[-1].turn)
