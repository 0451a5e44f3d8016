"""The control client with scripted replies."""

from collections.abc import Callable
import time
from typing import Any

import eventlet
from eventlet import patcher
import testtools
from testtools import matchers

from mintcleat.adapters import timers
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import placement
from mintcleat.roles import control_client

TIMED_OUT = errors.StreamTimeout("No answer.")
UNREACHABLE = errors.StreamClosed("Not connected.", outcome=errors.NOT_RUN)
BEGIN = program_messages.BeginCall(
    "p",
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
# Blocks the whole process.
_time = patcher.original("time")
SIDECAR = identities.Incarnation("e1", 1)


class ScriptedStreams:
    """Replies to each batch with a function of address and requests."""

    def __init__(self, script: Callable[[str, list[Any]], list[Any]]) -> None:
        self.script = script
        self.asked: list[tuple[str, list[Any]]] = []

    def ask(self, address: str, message: Any, timeout: float) -> Any:
        eventlet.sleep(0.001)
        requests = [codec.decode(item) for item in message.items]
        self.asked.append((address, requests))
        replies = self.script(address, requests)
        return identities.Batch([codec.encode(reply) for reply in replies])


class ControlClientTest(testtools.TestCase):
    def client(
        self, script: Callable[[str, list[Any]], list[Any]]
    ) -> control_client.ControlClient:
        self.streams = ScriptedStreams(script)
        return control_client.ControlClient(
            self.streams, timers.EventletTimers(), ["a", "b", "c"], 4
        )

    def addresses(self) -> list[str]:
        return [address for address, _ in self.streams.asked]

    def test_redirect_is_followed_and_remembered(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            if address == "c":
                return [identities.Done() for _ in requests]
            return [errors.NotLeader("c").failure() for _ in requests]

        client = self.client(script)
        for _ in range(2):
            reply = client.ask("p", program_messages.CloseProgram("p"), 5.0)
            self.assertEqual(identities.Done(), reply)
        self.assertEqual(["a", "c", "c"], self.addresses())

    def test_reply_that_arrives_during_a_pause_of_this_process_counts(
        self,
    ) -> None:
        # Guards against turns that are refused although they were opened.
        def script(address: str, requests: list[Any]) -> list[Any]:
            del address
            eventlet.sleep(0.05)
            return [identities.Done() for _ in requests]

        client = self.client(script)
        eventlet.spawn_after(0.01, _time.sleep, 0.6)
        message = program_messages.CloseProgram("p")
        self.assertEqual(identities.Done(), client.ask("p", message, 0.3))

    def count_together(self, calls: int, granted: int) -> list[Any]:
        """Returns the outcomes of calls of one program that come together."""

        def script(address: str, requests: list[Any]) -> list[Any]:
            del address
            return [self.answer_count(one, granted) for one in requests]

        client = self.client(script)
        client.leaders[placement.group_of("farm/", 4)] = "a"
        limit = program_messages.RateLimit(10.0, 0.0, 5.0)
        outcomes: list[Any] = []

        def count(program: str) -> None:
            message = program_messages.CountCall("farm", program, limit)
            try:
                outcomes.append(client.ask("farm/", message, 5.0))
            except errors.LimitReached as error:
                outcomes.append(error)

        threads = [eventlet.spawn(count, "p") for _ in range(calls)]
        threads.append(eventlet.spawn(count, "other"))
        for thread in threads:
            thread.wait()
        return outcomes

    def answer_count(self, count: Any, granted: int) -> Any:
        refused = count.calls - granted
        if count.program == "other" or refused <= 0:
            return program_messages.CallCounted()
        failure = errors.LimitReached("Full.", retry_after=1.0).failure()
        return program_messages.CallCounted(
            0, program_messages.RefusedCalls(refused, failure)
        )

    def test_calls_of_a_program_that_wait_together_share_a_count(self) -> None:
        outcomes = self.count_together(6, 6)
        self.assertEqual([program_messages.CallCounted()] * 7, outcomes)
        counts = [one for _, batch in self.streams.asked for one in batch]
        self.assertEqual(
            [("p", 6), ("other", 1)],
            [(count.program, count.calls) for count in counts],
        )

    def test_part_of_a_shared_count_is_refused(self) -> None:
        # Guards against an answer to all of them if only some were counted.
        outcomes = self.count_together(6, 4)
        refused = [
            one for one in outcomes if isinstance(one, errors.LimitReached)
        ]
        self.assertEqual([1.0, 1.0], [error.retry_after for error in refused])
        self.assertEqual(5, len(outcomes) - len(refused))

    def test_request_that_gives_up_leaves_a_shared_count(self) -> None:
        channel = control_client.BatchChannel(
            ScriptedStreams(lambda address, requests: []),
            timers.EventletTimers(),
            "a",
        )
        channel.in_flight = control_client.MAX_IN_FLIGHT
        limit = program_messages.RateLimit(10.0, 0.0, 5.0)
        message = program_messages.CountCall("farm", "p", limit, ids=[1])
        stays = eventlet.spawn(channel.ask, message, 5.0, True)
        eventlet.sleep(0)
        leaves = message._replace(ids=[2])
        error = self.assertRaises(
            errors.StreamTimeout, channel.ask, leaves, 0.01, True
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)
        self.assertEqual([message], [one.message for one in channel.waiting])
        stays.kill()

    def test_count_without_an_answer_comes_again_alone_under_its_id(
        self,
    ) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            if address == "a":
                raise TIMED_OUT
            return [program_messages.CallCounted() for _ in requests]

        client = self.client(script)
        client.leaders[placement.group_of("farm/", 4)] = "a"
        limit = program_messages.RateLimit(10.0, 0.0, 5.0)
        message = program_messages.CountCall("farm", "p", limit)
        threads = [
            eventlet.spawn(client.ask, "farm/", message, 5.0) for _ in range(4)
        ]
        for thread in threads:
            thread.wait()
        tries: dict[str, list[list[int]]] = {"a": [], "other": []}
        for address, batch in self.streams.asked:
            place = address if address == "a" else "other"
            tries[place].extend(count.ids for count in batch)
        sent = sorted(one for ids in tries["a"] for one in ids)
        again = [ids for ids in tries["other"] if set(ids) & set(sent)]
        self.assertEqual([[one] for one in sent], sorted(again))

    def test_unresponsive_instance_is_replaced_by_another_one(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            if address == "a":
                raise TIMED_OUT
            return [identities.Done() for _ in requests]

        client = self.client(script)
        reply = client.ask("p", program_messages.CloseProgram("p"), 5.0)
        self.assertEqual(identities.Done(), reply)

    def test_hanging_leader_is_tried_once_per_election(self) -> None:
        """A leader hangs, and the next one is elected 0.25 s later.

        Until then the other instances redirect to the hanging leader. A caller
        that followed them would wait for a second timeout, though there is a
        new leader soon after the first one.
        """
        began = time.monotonic()

        def script(address: str, requests: list[Any]) -> list[Any]:
            elected = time.monotonic() - began > 0.25
            if address == "a":
                eventlet.sleep(0.2)
                raise TIMED_OUT
            if address == "c" and elected:
                return [identities.Done() for _ in requests]
            leader = "c" if elected else "a"
            return [errors.NotLeader(leader).failure() for _ in requests]

        client = self.client(script)
        client.try_timeout = 0.2
        client.leaders[placement.group_of("p", 4)] = "a"
        reply = client.ask("p", program_messages.CloseProgram("p"), 5.0)
        self.assertEqual(identities.Done(), reply)
        # A second timeout would make it 0.42 s.
        self.assertThat(time.monotonic() - began, matchers.LessThan(0.37))
        self.assertEqual(1, self.addresses().count("a"))

    def test_leader_that_resumes_is_tried_again_after_an_election_time(
        self,
    ) -> None:
        """A leader hangs for a moment and keeps its leadership."""
        asked = []

        def script(address: str, requests: list[Any]) -> list[Any]:
            if address != "a":
                return [errors.NotLeader("a").failure() for _ in requests]
            asked.append(address)
            if len(asked) == 1:
                raise TIMED_OUT
            return [identities.Done() for _ in requests]

        client = self.client(script)
        client.try_timeout = 0.1
        reply = client.ask("p", program_messages.CloseProgram("p"), 5.0)
        self.assertEqual(identities.Done(), reply)
        self.assertEqual(2, len(asked))

    def test_instance_without_a_handler_is_skipped(self) -> None:
        """A control instance restarts and gets a request before it is ready.

        It has no handler for batches yet. The request goes to the next
        instance, and the caller gets no error.
        """

        def script(address: str, requests: list[Any]) -> list[Any]:
            if address == "a":
                raise errors.BadRequest("No handler here for Batch.")
            return [identities.Done() for _ in requests]

        client = self.client(script)
        reply = client.ask("p", program_messages.CloseProgram("p"), 5.0)
        self.assertEqual(identities.Done(), reply)

    def test_undelivered_request_is_reported_as_not_run(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            if address == "b":
                return [errors.NotLeader("").failure() for _ in requests]
            raise UNREACHABLE

        client = self.client(script)
        error = self.assertRaises(
            errors.ControlUnavailable, client.ask, "p", BEGIN, 0.2
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_one_lost_reply_makes_the_outcome_unknown(self) -> None:
        """The first instance may have received the request; then all are down.

        The request may still be committed later, so the outcome is not "not
        run".
        """
        for loss in (TIMED_OUT, errors.ProposalLost("Lost.")):
            tries = []

            def script(
                address: str,
                requests: list[Any],
                tries: list[str] = tries,
                loss: errors.MintcleatError = loss,
            ) -> list[Any]:
                tries.append(address)
                if len(tries) > 1:
                    raise UNREACHABLE
                if isinstance(loss, errors.ProposalLost):
                    return [loss.failure() for _ in requests]
                raise loss

            client = self.client(script)
            error = self.assertRaises(
                errors.OutcomeUnknown, client.ask, "p", BEGIN, 0.2
            )
            self.assertEqual(errors.UNKNOWN, error.outcome)

    def test_unanswered_read_is_reported_as_not_run(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            raise TIMED_OUT

        client = self.client(script)
        self.assertRaises(
            errors.ControlUnavailable,
            client.ask,
            "p",
            program_messages.ShowProgram("p"),
            0.2,
        )

    def test_resends_of_a_begin_share_a_nonce_and_new_begins_do_not(
        self,
    ) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            if len(self.streams.asked) % 3:
                raise TIMED_OUT
            return [identities.Done() for _ in requests]

        client = self.client(script)
        client.ask("p", BEGIN, 5.0)
        client.ask("p", BEGIN, 5.0)
        nonces = [batch[0].nonce for _, batch in self.streams.asked]
        self.assertEqual(6, len(nonces))
        self.assertEqual(2, len(set(nonces)))
        self.assertThat(nonces, matchers.Not(matchers.Contains(0)))

    def test_refusal_of_the_group_is_raised_and_not_retried(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            return [errors.WrongTurn("No.").failure() for _ in requests]

        client = self.client(script)
        self.assertRaises(errors.WrongTurn, client.ask, "p", BEGIN, 5.0)
        self.assertEqual(1, len(self.streams.asked))

    def test_concurrent_requests_share_batches_and_get_their_own_answers(
        self,
    ) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            return [identities.Done(one.group) for one in requests]

        def ask(number: int) -> str:
            request = program_messages.ListPrograms(str(number))
            return client.ask("p", request, 5.0).detail

        client = self.client(script)
        pool = eventlet.GreenPool()
        self.assertEqual(
            [str(number) for number in range(100)],
            list(pool.imap(ask, range(100))),
        )
        self.assertThat(len(self.streams.asked), matchers.LessThan(10))

    def test_each_history_has_its_own_batch(self) -> None:
        def script(address: str, requests: list[Any]) -> list[Any]:
            return [identities.Done() for _ in requests]

        client = self.client(script)
        request = program_messages.FetchHistory("p")
        pool = eventlet.GreenPool()
        list(pool.imap(lambda _: client.ask("p", request, 5.0), range(5)))
        sizes = [len(requests) for _, requests in self.streams.asked]
        self.assertEqual([1] * 5, sizes)

    def test_ended_programs_are_requested_from_each_group(self) -> None:
        names = [f"p{number}" for number in range(40)]
        silent = placement.group_of("p0", 4)

        def script(address: str, requests: list[Any]) -> list[Any]:
            (request,) = requests
            groups = {placement.group_of(n, 4) for n in request.programs}
            self.assertEqual(1, len(groups))
            if silent in groups:
                raise UNREACHABLE
            return [program_messages.EndedPrograms(request.programs)]

        client = self.client(script)
        expected = {n for n in names if placement.group_of(n, 4) != silent}
        self.assertEqual(
            expected, set(client.ended_programs(SIDECAR, names, 0.1))
        )
