"""Admission control at the leader: grants, refusals, releases and failures."""

from typing import Any

import testtools

from fakes import log as fake_log
from mintcleat.adapters import timers
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import manifest
from mintcleat.domain import messages
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import placement
from mintcleat.roles.control.programs import service as program_service

GROUPS = placement.group_names(1)
DEMAND = program_messages.TurnDemand(
    "lm", "turns", 0, 1.0, 1000, 2.0, 0.0, 20, 0, timeout=3.0
)


class NoStreams:
    """Discards the handlers; requests are passed to the service directly."""

    def handle(self, kind: type, handler: Any) -> None:
        return None


class Events:
    """Records the emitted events."""

    def __init__(self) -> None:
        self.emitted: list[Any] = []

    def emit(self, event: Any) -> None:
        self.emitted.append(event)


def opening(turn: str, **fields: Any) -> program_messages.OpenTurn:
    demand = fields.pop("demand", DEMAND)
    running = program_messages.RunningCounts(fields.pop("entry", "a1"), {})
    given = {"customer": "farm", "program": f"p-{turn}", **fields}
    program = given.pop("program")
    previous = given.pop("previous", "")
    return program_messages.OpenTurn(
        program,
        turn,
        previous,
        0,
        10,
        60.0,
        running=running,
        demand=demand,
        **given,
    )


def closing(turn: str, **fields: Any) -> program_messages.CloseTurn:
    given = {"customer": "farm", "upstream": "e1", **fields}
    program = given.pop("program", f"p-{turn}")
    return program_messages.CloseTurn(
        program, turn, 10, retention=60.0, **given
    )


class ContentionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = fake_log.Cluster()
        self.timers = timers.VirtualTimers()
        self.events = Events()
        self.policies = manifest.Policies(admission="programs")
        self.service = self.serve("c1:1")
        self.cluster.elect("c1:1")

    def serve(self, address: str) -> program_service.ProgramService:
        return program_service.ProgramService(
            fake_log.MemoryLog(self.cluster, address),
            NoStreams(),
            self.timers,
            GROUPS,
            lambda: self.policies,
            events=self.events,
        )

    def ask(self, request: Any) -> Any:
        (reply,) = self.service.answer([request])
        return reply

    def fill(self) -> list[str]:
        """Opens turns until one is deferred; returns the opened ones."""
        opened = []
        for number in range(100):
            turn = f"t{number}"
            if not isinstance(
                self.ask(opening(turn)), program_messages.TurnOpened
            ):
                # The deferred turn doesn't ask again and is dropped.
                self.timers.advance(0.6)
                return opened
            opened.append(turn)
        raise AssertionError("No turn was deferred.")

    def commands(self) -> list[Any]:
        return [
            request
            for found in self.cluster.commands.values()
            for data in found
            for request in commands.decode(data).requests
        ]

    def test_turns_above_the_bound_are_deferred_and_not_committed(self) -> None:
        opened = self.fill()
        self.assertTrue(0 < len(opened) < DEMAND.places)
        self.assertEqual(len(opened), len(self.commands()))
        reply = self.ask(opening("late"))
        self.assertIsInstance(reply, errors.TurnDeferred)
        self.assertTrue(0 < reply.retry_after < 0.2)

    def test_demand_is_not_logged(self) -> None:
        # Replicas of earlier releases refuse commands with unknown fields.
        self.ask(opening("t1"))
        (logged,) = self.commands()
        self.assertIsNone(logged.demand)
        self.assertIsNone(logged.running)
        left_out = messages.OPTIONAL_FIELDS[program_messages.OpenTurn]
        self.assertEqual(
            1 + len(logged) - left_out,
            len(codec.to_wire(logged)),
            "a tag, and none of the fields that earlier releases don't know",
        )

    def test_closed_turn_frees_its_place(self) -> None:
        opened = self.fill()
        self.ask(opening("late"))
        self.ask(closing(opened[0]))
        self.ask(closing(opened[0]))
        self.assertIsInstance(
            self.ask(opening("late")), program_messages.TurnOpened
        )
        self.assertIsInstance(self.ask(opening("later")), errors.TurnDeferred)

    def test_turn_that_its_entry_ended_frees_its_place(self) -> None:
        # Guards against slots that stay in use while CloseTurns are late.
        opened = self.fill()
        ended = [program_messages.EndedTurn("farm", opened[0])]
        demand = DEMAND._replace(ended=ended)
        self.assertIsInstance(
            self.ask(opening("next", demand=demand)),
            program_messages.TurnOpened,
        )
        self.assertIsInstance(self.ask(opening("later")), errors.TurnDeferred)
        # Its CloseTurn frees no second place.
        self.ask(closing(opened[0]))
        self.assertIsInstance(self.ask(opening("later")), errors.TurnDeferred)

    def test_entry_ends_no_turns_of_other_entries(self) -> None:
        opened = self.fill()
        ended = [program_messages.EndedTurn("farm", opened[0])]
        demand = DEMAND._replace(ended=ended)
        self.assertIsInstance(
            self.ask(opening("next", demand=demand, entry="a2")),
            errors.TurnDeferred,
        )

    def test_resent_turn_is_granted_once(self) -> None:
        opened = self.fill()
        view = self.service.contention.views()["lm"]
        for turn in opened:
            self.assertIsInstance(
                self.ask(opening(turn)), program_messages.TurnOpened
            )
        again = self.service.contention.views()["lm"]
        self.assertEqual(view.running, again.running)
        self.assertEqual(view.granted, again.granted)

    def test_turn_that_the_group_refuses_is_released(self) -> None:
        limit = program_messages.RateLimit(1.0, 0.0, 1.0)
        self.ask(opening("t1", limit=limit))
        refused = self.ask(opening("t2", limit=limit))
        self.assertIsInstance(refused, errors.LimitReached)
        self.assertEqual(1, self.service.contention.views()["lm"].running)

    def test_lost_proposal_is_released(self) -> None:
        self.cluster.lose_next = 1
        reply = self.ask(opening("t1"))
        self.assertIsInstance(reply, errors.ProposalLost)
        self.assertEqual(0, self.service.contention.views()["lm"].running)

    def test_deferred_turns_do_not_count_against_the_rate_limit(self) -> None:
        opened = self.fill()
        limit = program_messages.RateLimit(1.0, 0.0, 1.0)
        for _ in range(5):
            reply = self.ask(opening("late", limit=limit))
            self.assertIsInstance(reply, errors.TurnDeferred)
        self.ask(closing(opened[0]))
        reply = self.ask(opening("late", limit=limit))
        self.assertIsInstance(reply, program_messages.TurnOpened)

    def test_turns_of_a_lost_entry_are_released_by_their_timeout(self) -> None:
        self.fill()
        self.timers.advance(DEMAND.timeout + 0.1)
        view = self.service.contention.views()["lm"]
        self.assertEqual(0, view.running)
        self.assertTrue(view.expired)

    def test_pause_of_the_process_drops_no_waiting_turn(self) -> None:
        opened = self.fill()
        self.ask(opening("waits"))
        self.timers.clock += 0.8
        self.ask(opening("late"))
        self.assertEqual(2, self.service.contention.views()["lm"].waiting)
        self.ask(closing(opened[0]))
        self.assertIsInstance(self.ask(opening("late")), errors.TurnDeferred)
        self.assertIsInstance(
            self.ask(opening("waits")), program_messages.TurnOpened
        )

    def test_silent_entry_and_pause_are_logged(self) -> None:
        for number in range(20):
            self.ask(opening(f"r{number}"))
            self.timers.advance(0.1)
            self.ask(closing(f"r{number}"))
        self.ask(opening("lost"))
        self.timers.advance(0.6)
        self.ask(opening("other", entry="a2"))
        self.timers.advance(0.1)
        self.timers.clock += 0.8
        self.timers.advance(0.1)
        found = [
            event
            for event in self.events.emitted
            if isinstance(event, events.EntrySilent | events.LeaderPaused)
        ]
        self.assertEqual(
            [events.EntrySilent("a1", "lm", 1), "LeaderPaused"],
            [found[0], *(type(event).__name__ for event in found[1:])],
        )
        self.assertTrue(0.7 < found[1].seconds < 1.0)

    def test_new_leader_starts_empty_and_learns_from_reports(self) -> None:
        opened = self.fill()
        self.ask(opening("late"))
        self.service = self.serve("c2:1")
        self.cluster.heal()
        self.cluster.elect("c2:1")
        # Nothing is known: the turn that waited is granted.
        self.assertIsInstance(
            self.ask(opening("late")), program_messages.TurnOpened
        )
        # The entry reports what its predecessor granted.
        report = DEMAND._replace(running=len(opened) + 1)
        self.assertIsInstance(
            self.ask(opening("next", demand=report)), errors.TurnDeferred
        )
        for turn in opened:
            self.ask(closing(turn))
        self.assertIsInstance(
            self.ask(opening("next", demand=DEMAND)),
            program_messages.TurnOpened,
        )

    def test_leader_forgets_its_turns_when_it_is_elected_again(self) -> None:
        self.fill()
        self.cluster.elect("c2:1")
        self.cluster.elect("c1:1")
        self.assertEqual({}, self.service.contention.views())

    def test_followers_decide_nothing(self) -> None:
        self.cluster.elect("c2:1")
        self.assertIsInstance(self.ask(opening("t1")), errors.NotLeader)
        self.assertEqual({}, self.service.contention.views())

    def test_without_the_policy_all_turns_are_opened(self) -> None:
        self.policies = manifest.Policies()
        for number in range(20):
            reply = self.ask(opening(f"t{number}"))
            self.assertIsInstance(reply, program_messages.TurnOpened)
        self.assertEqual({}, self.service.contention.views())

    def test_program_in_progress_is_never_refused(self) -> None:
        self.ask(opening("first", program="p"))
        self.ask(closing("first", program="p", keep=True))
        self.fill()
        demand = DEMAND._replace(finish_within=0.01, waited=100.0)
        replies = [
            self.ask(
                opening(
                    f"n{number}", program="p", previous="first", demand=demand
                )
            )
            for number in range(4)
        ]
        kinds = [type(reply) for reply in replies]
        # They use the room that first turns leave, then they wait.
        self.assertIs(program_messages.TurnOpened, kinds[0])
        self.assertIs(errors.TurnDeferred, kinds[-1])
        self.assertNotIn(errors.Overloaded, kinds)

    def test_first_turn_that_waited_too_long_is_refused(self) -> None:
        self.fill()
        late = DEMAND._replace(waited=1.9)
        reply = self.ask(opening("late", demand=late))
        self.assertIs(errors.Overloaded, type(reply))
        self.assertEqual(errors.NOT_RUN, reply.outcome)
        self.assertTrue(reply.retry_after > 0)

    def test_each_deferred_turn_is_logged_once(self) -> None:
        self.fill()
        self.events.emitted.clear()
        for _ in range(3):
            self.ask(opening("late"))
        late = DEMAND._replace(waited=1.9)
        self.ask(opening("late", demand=late))
        kinds = [type(event) for event in self.events.emitted]
        self.assertEqual([events.TurnDeferred, events.TurnRefused], kinds)

    def test_share_of_the_manifest_replaces_that_of_the_entry(self) -> None:
        self.policies = manifest.Policies(
            admission="programs",
            customers={"farm": manifest.Customer(share=7.0)},
        )
        self.ask(opening("t1"))
        schedule = self.service.contention.schedules[GROUPS[0], "lm"]
        self.assertEqual(7.0, schedule.shares.usages["farm"].weight)

    def test_turns_of_a_removed_customer_count_until_closed(self) -> None:
        self.policies = manifest.Policies(
            admission="programs", customers={"farm": manifest.Customer()}
        )
        self.ask(opening("t1", demand=DEMAND._replace(timeout=100.0)))
        self.policies = manifest.Policies(admission="programs")
        self.timers.advance(1.0)
        self.assertEqual(1, self.service.contention.views()["lm"].running)
        self.ask(closing("t1"))
        self.timers.advance(60.0)
        view = self.service.contention.views()["lm"]
        self.assertEqual(0, view.running)
        self.assertEqual([], view.customers)

    def test_invalid_demand_is_refused(self) -> None:
        ended = [program_messages.EndedTurn("farm", "t")] * 100
        for changes in (
            {"share": -1.0},
            {"tokens": -1},
            {"waited": -0.1},
            {"ended": ended},
        ):
            demand = DEMAND._replace(**changes)
            reply = self.ask(opening("t1", demand=demand))
            self.assertIsInstance(reply, errors.BadRequest)

    def test_messages_with_a_demand_are_decoded_alike(self) -> None:
        ended = [program_messages.EndedTurn("farm", "t0")]
        request = opening("t1", demand=DEMAND._replace(ended=ended))
        self.assertEqual(request, codec.decode(codec.encode(request)))
