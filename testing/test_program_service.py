"""The program service with a replicated log in memory."""

import random
from typing import Any

import testtools
from testtools import matchers

from fakes import log as fake_log
from mintcleat.adapters import timers
from mintcleat.decisions import shared_load
from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.programs import placement
from mintcleat.roles.control.programs import service as program_service

GROUPS = placement.group_names(3)
# A request of the customer whose limit the soak test checks.
SOAK_COUNT = program_messages.CountCall(
    "limited", "", program_messages.RateLimit(4.0, 4.0, 5.0, 0.1)
)


class NoStreams:
    """Records the handlers; requests are passed to the service directly."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}

    def handle(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler


class Exchange:
    """Records the messages that a handler sends."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        self.sent.append(message)


def create(program: str) -> program_messages.CreateProgram:
    return program_messages.CreateProgram(
        program, "farm", "triage", "batch", identities.Budget()
    )


def begin(program: str, **changes: Any) -> program_messages.BeginCall:
    request = program_messages.BeginCall(
        program,
        "farm",
        "chat",
        1,
        "key",
        b"d" * 16,
        ["hello"],
        10,
        True,
        identities.Incarnation("e1", 1),
        "10.0.0.1:1",
    )
    return request._replace(**changes)


class ProgramServiceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = fake_log.Cluster()
        self.timers = timers.VirtualTimers()
        self.streams = NoStreams()
        self.policies = manifest.Policies(
            program_idle=100.0, record_retention=1000.0
        )
        self.is_current = True
        self.service = self.serve("c1:1")
        self.cluster.elect("c1:1")

    def serve(self, address: str) -> program_service.ProgramService:
        log = fake_log.MemoryLog(self.cluster, address)
        return program_service.ProgramService(
            log,
            self.streams,
            self.timers,
            GROUPS,
            lambda: self.policies,
            is_current=lambda: self.is_current,
        )

    def batch(self, requests: list[Any]) -> list[Any]:
        exchange = Exchange()
        items = [codec.encode(request) for request in requests]
        handler = self.streams.handlers[identities.Batch]
        handler(exchange, identities.Batch(items))
        return [codec.decode(item) for item in exchange.sent[0].items]

    def commands(self) -> int:
        return sum(len(found) for found in self.cluster.commands.values())

    def test_follower_refuses_and_names_the_leader(self) -> None:
        self.cluster.elect("c2:1")
        for request in (create("p"), program_messages.ShowProgram("p")):
            (reply,) = self.service.answer([request])
            self.assertThat(reply, matchers.IsInstance(errors.NotLeader))
            self.assertEqual("c2:1", reply.leader)
        self.assertEqual(0, self.commands())

    def test_batch_is_answered_in_order_with_one_commit_per_group(self) -> None:
        names = [f"p{number}" for number in range(20)]
        requests = [create(name) for name in names]
        requests.insert(3, program_messages.ShowProgram("nobody"))
        replies = self.batch(requests)
        self.assertEqual("unknown_program", replies.pop(3).kind)
        self.assertEqual(names, [reply.program for reply in replies])
        self.assertEqual(len(GROUPS), self.commands())

    def test_requests_of_one_program_are_applied_in_their_order(self) -> None:
        replies = self.batch(
            [create("p"), begin("p"), begin("p", key="other", digest=b"o" * 16)]
        )
        self.assertThat(
            replies[1], matchers.IsInstance(program_messages.AttemptGranted)
        )
        self.assertEqual("call_running", replies[2].kind)

    def test_lost_proposal_is_reported_as_lost(self) -> None:
        self.cluster.lose_next = 1
        (reply,) = self.service.answer([create("p")])
        self.assertThat(reply, matchers.IsInstance(errors.ProposalLost))

    def test_malformed_requests_are_not_proposed(self) -> None:
        limit = program_messages.RateLimit(1.0, 0.0, 5.0)
        bad = [
            config_messages.Ping(),
            create("no spaces"),
            create(""),
            begin("p", reserve=-5),
            begin("p", digest=b"short"),
            begin("p", key=""),
            begin("", turn=1),
            program_messages.CountCall("c", "p", limit, calls=0),
            program_messages.CountCall("c", "p", limit, calls=10**9),
            program_messages.ListPrograms("programs-99"),
            program_messages.RenewResidency(
                identities.Incarnation("e1", 1), []
            ),
        ]
        for reply in self.service.answer(bad):
            self.assertThat(reply, matchers.IsInstance(errors.BadRequest))
        self.assertEqual(0, self.commands())

    def test_call_counted_when_its_limit_was_just_removed_fails_nobody(
        self,
    ) -> None:
        farm = manifest.Customer(rate=0.0)
        self.policies = manifest.Policies(customers={"farm": farm})
        limit = program_messages.RateLimit(1.0, 0.0, 5.0)
        count = program_messages.CountCall("farm", "", limit)
        replies = self.batch([count, create("p")])
        self.assertEqual(
            [program_messages.CallCounted, program_messages.ProgramView],
            [type(reply) for reply in replies],
        )

    def count_until_refused(self, rate: float) -> int:
        """Counts calls that are within the limit of the sender."""
        limit = program_messages.RateLimit(rate, 0.0, 5.0)
        count = program_messages.CountCall("farm", "", limit)
        for number in range(200):
            (reply,) = self.service.answer([count])
            if isinstance(reply, errors.LimitReached):
                return number
        return 200

    def limit_farm(self, rate: float) -> None:
        farm = manifest.Customer(rate=rate)
        self.policies = manifest.Policies(customers={"farm": farm})

    def test_limit_in_force_replaces_the_limit_of_the_sender(self) -> None:
        self.limit_farm(10.0)
        self.assertEqual(50, self.count_until_refused(2.0))

    def test_outdated_limit_does_not_replace_a_lower_one_of_the_sender(
        self,
    ) -> None:
        self.limit_farm(10.0)
        self.is_current = False
        self.assertEqual(10, self.count_until_refused(2.0))

    def test_outdated_unlimited_customer_keeps_the_limit_of_the_sender(
        self,
    ) -> None:
        self.limit_farm(0.0)
        self.is_current = False
        self.assertEqual(10, self.count_until_refused(2.0))

    def test_limit_of_the_sender_does_not_replace_a_lower_outdated_one(
        self,
    ) -> None:
        # The sender's configuration may be the older one.
        self.limit_farm(2.0)
        self.is_current = False
        self.assertEqual(10, self.count_until_refused(10.0))

    def test_outdated_retention_ends_no_program_and_deletes_no_record(
        self,
    ) -> None:
        # A longer retention may have been confirmed since.
        self.service.answer([create("p")])
        self.is_current = False
        self.timers.advance(2000.0)
        (kept,) = self.service.answer([program_messages.ShowProgram("p")])
        self.is_current = True
        self.timers.advance(10.0)
        (ended,) = self.service.answer([program_messages.ShowProgram("p")])
        self.assertEqual(["open", "expired"], [kept.state, ended.state])

    def test_idle_groups_log_their_clock_rarely_and_empty_ones_never(
        self,
    ) -> None:
        self.service.answer([create("p")])
        self.timers.advance(65.0)
        self.assertEqual(2, self.commands())

    def test_abandoned_program_expires_by_the_group_clock(self) -> None:
        self.service.answer([create("p")])
        self.timers.advance(110.0)
        (view,) = self.service.answer([program_messages.ShowProgram("p")])
        self.assertEqual("expired", view.state)

    def test_new_leader_continues_the_group_clock(self) -> None:
        """Leadership moves to a replica that started much later.

        The monotonic clock of its process has another origin. If the group's
        clock were taken from it, idle programs would never expire or all would
        expire at once, so it continues from the last clock in the log.
        """
        self.service.answer([create("p"), create("q")])
        self.timers.advance(60.0)
        self.service.answer([begin("p")])
        other = self.serve("c2:1")
        self.cluster.heal()
        self.cluster.elect("c2:1")
        self.timers.advance(60.0)
        views = other.answer(
            [
                program_messages.ShowProgram("p"),
                program_messages.ShowProgram("q"),
            ]
        )
        self.assertEqual(["open", "expired"], [view.state for view in views])

    def test_limit_holds_when_a_leader_follows_one_that_lost_time(
        self,
    ) -> None:
        # Guards against a window that is counted again after each failover.
        limit = program_messages.RateLimit(1.0, 1.0, 5.0)
        count = program_messages.CountCall("farm", "", limit)
        follower = self.serve("c2:1")
        self.service.tick()
        follower.tick()
        self.timers.advance(10.0)
        # It knows nothing of the ten seconds without a command.
        restarted = self.serve("c3:1")
        self.cluster.elect("c3:1")
        counted = [restarted.answer([count])[0] for _ in range(7)]
        self.assertIsInstance(counted[5], program_messages.CallCounted)
        self.assertIsInstance(counted[6], errors.LimitReached)
        self.cluster.elect("c2:1")
        (reply,) = follower.answer([count])
        self.assertIsInstance(reply, errors.LimitReached)

    def check_limit_before_the_lease_of(
        self, leader: program_service.ProgramService
    ) -> None:
        limit = program_messages.RateLimit(1.0, 1.0, 2.0)
        count = program_messages.CountCall("farm", "", limit)
        leader.tick()
        self.timers.advance(3.0)
        # It knows nothing of the three seconds without a command.
        restarted = self.serve("c3:1")
        self.cluster.elect("c3:1")
        for _ in range(3):
            (reply,) = restarted.answer([count])
            self.assertIsInstance(reply, program_messages.CallCounted)
        self.timers.advance(1.5)
        self.cluster.elect(leader.log.address, is_confirmed=False)
        (reply,) = leader.answer([count])
        self.assertIsInstance(reply, errors.LimitReached)
        self.cluster.confirm()
        (reply,) = leader.answer([count])
        self.assertIsInstance(reply, errors.LimitReached)

    def test_limit_holds_before_the_lease_of_a_former_follower(self) -> None:
        # Guards against a window that is counted again after a failover.
        self.check_limit_before_the_lease_of(self.serve("c2:1"))

    def test_limit_holds_before_the_lease_of_a_former_leader(self) -> None:
        # Guards against a window that is counted again after a failover.
        self.check_limit_before_the_lease_of(self.service)

    def counted_over_random_leaders(self, seed: int) -> list[float]:
        """Returns when requests were counted, at leaders that change."""
        generator = random.Random(seed)
        self.cluster = fake_log.Cluster()
        services = {name: self.serve(name) for name in ("c1:1", "c2:1", "c3:1")}
        found = []
        for _ in range(400):
            self.timers.advance(generator.expovariate(12.0))
            if generator.random() < 0.03:
                self.cluster.leader = ""
                self.timers.advance(generator.uniform(0.1, 2.0))
                self.cluster.elect(
                    generator.choice(list(services)), is_confirmed=False
                )
            elif generator.random() < 0.1 and self.cluster.leader:
                self.cluster.confirm()
            if self.cluster.leader:
                (reply,) = services[self.cluster.leader].answer([SOAK_COUNT])
                if isinstance(reply, program_messages.CallCounted):
                    found.append(self.timers.now())
        return found

    def test_no_window_exceeds_the_limit_while_leaders_change(self) -> None:
        # Guards against requests that leave the window early at a new leader.
        limit = SOAK_COUNT.limit
        allowed = int(limit.window_limit() + limit.tolerance())
        for seed in range(20):
            counted = self.counted_over_random_leaders(seed)
            self.assertGreater(len(counted), 2 * allowed)
            for first, after in zip(counted, counted[allowed:], strict=False):
                self.assertGreater(after - first, limit.window, f"seed {seed}")

    def test_turn_gets_what_the_other_entries_report(self) -> None:
        def opened(
            entry: str, turn: str, *report: Any
        ) -> program_messages.TurnOpened:
            running = program_messages.RunningCounts(entry, *report)
            (reply,) = self.batch(
                [
                    program_messages.OpenTurn(
                        f"p{turn}", turn, "", 0, 9, 60.0, running=running
                    )
                ]
            )
            return reply

        opened("e1", "t1", {"u": 2, "v": 1}, [900, 50], [460, 100])
        opened("e2", "t2", {"u": 1}, [300], [480])
        reply = opened("e3", "t3", {})
        self.assertEqual({"u": 3, "v": 1}, reply.others)
        self.assertEqual([1200, 50], reply.others_tokens)
        self.assertEqual([460, 100], reply.slowdowns)
        # A summary that isn't asked for isn't sent.
        sent = shared_load.without_summary(
            shared_load.SentReport({"u": 1}, [7], [480])
        )
        reply = opened("e2", "t4", *(type(f)(f) for f in sent))
        self.assertEqual(
            ({}, [], []), (reply.others, reply.others_tokens, reply.slowdowns)
        )
        reply = opened("e3", "t5", {})
        self.assertEqual(({"u": 3, "v": 1}), reply.others)
        self.assertEqual([907, 50], reply.others_tokens)
        # They are soft state: the log holds no report.
        for commands in self.cluster.commands.values():
            for command in commands:
                self.assertNotIn(b"e1", command)

    def test_list_continues_after_a_name(self) -> None:
        names = [f"p{number}" for number in range(9)]
        self.service.answer([create(name) for name in names])
        found = []
        for group in GROUPS:
            after = ""
            while True:
                request = program_messages.ListPrograms(group, after, 2)
                (page,) = self.service.answer([request])
                if not page.programs:
                    break
                found += [view.program for view in page.programs]
                after = found[-1]
        self.assertEqual(names, sorted(found))
