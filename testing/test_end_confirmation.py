"""Tests which upstreams are asked after an answer without a marked end."""

import eventlet
import testtools

from mintcleat.configuration import directory
from mintcleat.domain import answer_ends
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import end_confirmation

Kind = answer_ends.Kind
CLOSED = answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, Kind.CLOSED)


def registration(
    state: str = "ready", started: int = 1
) -> member_messages.Registration:
    return member_messages.Registration(
        "u1", "s", "a:1", "d1", "v1", 4, state, 1, 0.0, started
    )


class Upstreams:
    """A client of upstreams that all give one answer to a probe.

    Attributes:
        lost: Number of the first probes that get no answer.
        seconds: Time that each answer takes.
        report_seconds: Time that a report takes.
    """

    def __init__(self, answer: routed_calls.Reachability) -> None:
        self.answer = answer
        self.lost = 0
        self.seconds = 0.0
        self.report_seconds = 0.0
        self.probed = 0
        self.identified = 0

    def probe(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        self.probed += 1
        if self.probed <= self.lost:
            eventlet.sleep(60.0)
        eventlet.sleep(self.seconds)
        return self.answer

    def identify(
        self, upstream: member_messages.Registration
    ) -> routed_calls.Reachability:
        self.identified += 1
        eventlet.sleep(self.report_seconds)
        return self.probe(upstream)


class Followed:
    def __init__(self) -> None:
        self.registered = directory.Directory()


class EndConfirmationTest(testtools.TestCase):
    is_stream = False

    def setUp(self) -> None:
        super().setUp()
        self.configuration = Followed()
        self.configuration.registered.register(registration())
        self.upstreams = Upstreams(routed_calls.Reachability.REFUSES)

    def confirm(
        self, end: answer_ends.AnswerEnd = CLOSED, enabled: bool = True
    ) -> Kind:
        confirmation = end_confirmation.EndConfirmation(
            self.configuration, self.upstreams, enabled
        )
        return confirmation.confirm(registration(), end, self.is_stream).kind

    def test_process_that_replaced_the_one_of_a_stream_shows_a_crash(
        self,
    ) -> None:
        self.is_stream = True
        self.upstreams.answer = routed_calls.Reachability.REPLACED
        self.assertEqual(Kind.CRASHED, self.confirm())
        self.assertEqual(1, self.upstreams.identified)

    def test_late_report_of_another_process_shows_a_crash(self) -> None:
        # Guards against streams that a crash broke off and that end as whole.
        self.is_stream = True
        self.upstreams.answer = routed_calls.Reachability.REPLACED
        self.upstreams.report_seconds = 0.15
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_restart_that_is_registered_while_nothing_answers_is_a_crash(
        self,
    ) -> None:
        # Guards against a directory that is read before the wait only.
        self.upstreams.lost = 100
        eventlet.spawn_after(
            0.05,
            self.configuration.registered.register,
            registration(started=2),
        )
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_address_that_another_upstream_has_taken_confirms_no_end(
        self,
    ) -> None:
        # Guards against half answers that the next process there confirms.
        self.upstreams.answer = routed_calls.Reachability.ACCEPTS
        self.configuration.registered.register(
            registration(started=2)._replace(upstream="u2")
        )
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_upstream_that_resets_connections_for_a_moment_confirms_an_end(
        self,
    ) -> None:
        # Guards against whole streams that are cut as questions are reset.
        self.is_stream = True
        self.upstreams.answer = routed_calls.Reachability.UNKNOWN
        eventlet.spawn_after(
            0.1,
            setattr,
            self.upstreams,
            "answer",
            routed_calls.Reachability.ACCEPTS,
        )
        self.assertEqual(Kind.CONFIRMED, self.confirm())

    def test_service_of_a_plain_answer_is_not_asked_for_a_report(self) -> None:
        self.confirm()
        self.assertEqual(
            (1, 0), (self.upstreams.probed, self.upstreams.identified)
        )

    def test_upstream_that_refuses_connections_has_crashed(self) -> None:
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_other_ends_are_taken_without_asking(self) -> None:
        for kind in Kind:
            if kind is not Kind.CLOSED:
                self.assertEqual(kind, self.confirm(CLOSED._replace(kind=kind)))
        self.assertEqual(0, self.upstreams.probed)

    def drain(self) -> None:
        self.configuration.registered.register(registration("draining"))

    def test_leaving_upstream_that_still_listens_confirms_its_end(
        self,
    ) -> None:
        self.drain()
        self.upstreams.answer = routed_calls.Reachability.ACCEPTS
        self.assertEqual(Kind.CONFIRMED, self.confirm())

    def test_leaving_upstream_that_refuses_and_deregisters_proves_nothing(
        self,
    ) -> None:
        # Guards against streams that a planned exit cuts, in either order.
        for seconds in (0.0, 0.02, 0.05):
            self.drain()
            eventlet.spawn_after(
                seconds, self.configuration.registered.leave, "u1", True
            )
            self.assertEqual(Kind.CRASHED, self.confirm())

    def test_replacement_of_a_leaving_upstream_is_not_its_deregistration(
        self,
    ) -> None:
        # Guards against half streams of a process that was killed.
        self.drain()
        eventlet.spawn_after(
            0.05,
            self.configuration.registered.register,
            registration(started=2),
        )
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_leaving_upstream_that_is_gone_without_a_word_has_crashed(
        self,
    ) -> None:
        self.drain()
        with eventlet.Timeout(10.0):
            self.assertEqual(Kind.CRASHED, self.confirm())

    def test_upstream_that_deregistered_before_the_end_and_is_gone_has_crashed(
        self,
    ) -> None:
        self.configuration.registered.leave("u1", True)
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_end_of_a_leaving_upstream_that_does_not_answer_is_not_whole(
        self,
    ) -> None:
        self.drain()
        self.upstreams.answer = routed_calls.Reachability.UNKNOWN
        self.assertEqual(Kind.UNCONFIRMED, self.confirm())

    def test_upstream_that_has_restarted_has_crashed(self) -> None:
        self.configuration.registered.register(registration(started=2))
        self.assertEqual(Kind.CRASHED, self.confirm())
        self.assertEqual(0, self.upstreams.probed)

    def test_upstream_that_registers_anew_while_it_is_asked_has_crashed(
        self,
    ) -> None:
        # Guards against half streams of a process that was killed.
        self.upstreams.lost = 100
        eventlet.spawn_after(
            0.02,
            self.configuration.registered.register,
            registration(started=2),
        )
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_busy_process_that_answers_late_shows_a_crash(self) -> None:
        # Guards against half streams that end as whole on a busy machine.
        self.is_stream = True
        self.upstreams.answer = routed_calls.Reachability.REPLACED
        self.upstreams.seconds = 0.2
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_upstream_that_does_not_answer_delays_the_end_briefly(self) -> None:
        self.upstreams.lost = 100
        with eventlet.Timeout(10.0):
            self.assertEqual(Kind.UNCONFIRMED, self.confirm())

    def test_whole_answer_of_a_distant_upstream_is_confirmed(self) -> None:
        # Guards against whole answers that a slow link breaks off.
        self.upstreams.answer = routed_calls.Reachability.ACCEPTS
        self.upstreams.seconds = 0.08
        self.assertEqual(Kind.CONFIRMED, self.confirm())

    def test_lost_packet_does_not_hide_a_crash(self) -> None:
        self.upstreams.lost = 2
        self.assertEqual(Kind.CRASHED, self.confirm())

    def test_experiment_may_do_without(self) -> None:
        self.assertEqual(Kind.CLOSED, self.confirm(enabled=False))
