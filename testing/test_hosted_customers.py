"""Customers over real sockets: keys, owners of turns, secrecy of keys."""

import json
import time
from typing import Any

import eventlet

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import events
from mintcleat.domain import keys
from mintcleat.domain import program_messages
from mintcleat.domain import program_traces
from mintcleat.domain import traces

FARMERS = "92cqf75rjvz48wuakn2f"
STUDIOS = "timaj3nr26tta828m82t"
ADDED = "key-that-comes-later"


def customer(name: str, *held: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(held), **fields}


def configuration(version: int, *customers: dict[str, Any]) -> dict[str, Any]:
    routes = platform_system.configuration()["routes"]
    routes.append(platform_system.route("open", "safe", public=True))
    return {
        **platform_system.configuration(version, *routes),
        "tenants": list(customers),
    }


CUSTOMERS = (
    customer("farmers", FARMERS, priority=1),
    customer("studios", STUDIOS),
)


class CustomersTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.assertEqual(
            200, self.system.put(configuration(1, *CUSTOMERS)).status
        )
        self.desk = self.system.add("e1", "desk")
        self.lm = self.system.add("e2", "lm", platform_engine.stream())
        self.system.settle()
        # An entry that a busy machine pauses answers 503 to an unknown key.
        self.patch(
            self.system.entry.follower,
            "push_propagation_seconds",
            lambda: platform_system.ANSWER_SECONDS,
        )

    def get(self, target: str = "/safe/a", **headers: str) -> Any:
        return self.system.call("GET", target, **headers)

    def turn(self, request: str, key: str, previous: str = "") -> Any:
        named = {"x_previous_turn": previous} if previous else {}
        return self.system.call(
            "POST",
            "/turns/a",
            request.encode(),
            request=request,
            api_key=key,
            x_program_id=f"program-of-{request}",
            x_session_id="s",
            x_token_budget="900",
            x_token_counts="10,30",
            **named,
        )

    def test_upstream_gets_the_customer_but_never_the_key(self) -> None:
        self.assertEqual(200, self.get(api_key=FARMERS).status)
        (received,) = self.desk.received
        self.assertEqual("farmers", received.headers["x-tenant"])
        self.assertNotIn(FARMERS, str(received.headers))

    def test_upstream_gets_a_name_that_a_manifest_could_not_have(self) -> None:
        name = "Grüße / studio 2"
        renamed = customer(name, FARMERS, priority=1)
        self.system.put(configuration(2, renamed, CUSTOMERS[1]))
        self.system.settle()
        self.assertEqual(200, self.get(api_key=FARMERS).status)
        (received,) = self.desk.received
        self.assertEqual(name, received.headers["x-tenant"])

    def test_priority_of_the_customer_overrides_that_of_the_route(self) -> None:
        self.get(api_key=FARMERS)
        self.get(api_key=STUDIOS)
        first, second = self.desk.received
        self.assertEqual("5", first.headers["x-request-urgency"])
        self.assertEqual("4", second.headers["x-request-urgency"])

    def test_customer_claimed_by_the_caller_is_ignored(self) -> None:
        # Otherwise a caller could run requests as another customer.
        self.get(api_key=FARMERS, x_tenant="studios")
        self.get("/open/a", x_tenant="studios")
        named, anonymous = self.desk.received
        self.assertEqual("farmers", named.headers["x-tenant"])
        self.assertNotIn("x-tenant", anonymous.headers)

    def test_public_route_forwards_the_customer_of_a_valid_key(self) -> None:
        self.assertEqual(200, self.get("/open/a", api_key=STUDIOS).status)
        self.assertEqual(200, self.get("/open/a", api_key="none").status)
        self.assertEqual("studios", self.desk.received[0].headers["x-tenant"])
        self.assertNotIn("x-tenant", self.desk.received[1].headers)

    def test_unknown_or_missing_key_gets_401_and_runs_nowhere(self) -> None:
        self.assertEqual(401, self.get(api_key="no-such-key").status)
        self.assertEqual(401, self.get().status)
        self.assertEqual([], self.desk.received)

    def test_key_is_accepted_once_added_and_rejected_once_removed(self) -> None:
        self.assertEqual(401, self.get(api_key=ADDED).status)
        more = customer("farmers", FARMERS, ADDED)
        self.system.put(configuration(2, more, CUSTOMERS[1]))
        # The test doesn't wait for the entry: it must get all updates before
        # it rejects a key.
        self.assertEqual(200, self.get(api_key=ADDED).status)
        self.system.put(
            configuration(3, customer("farmers", ADDED), CUSTOMERS[1])
        )
        self.system.settle()
        self.assertEqual(401, self.get(api_key=FARMERS).status)
        self.assertEqual(200, self.get(api_key=ADDED).status)

    def test_key_of_a_customer_without_keys_left_gets_401(self) -> None:
        self.system.put(
            configuration(2, customer("farmers"), customer("studios"))
        )
        self.system.settle()
        self.assertEqual(401, self.get(api_key=FARMERS).status)

    def test_configuration_with_a_shared_key_is_rejected(self) -> None:
        shared = customer("studios", FARMERS)
        answer = self.system.put(configuration(2, CUSTOMERS[0], shared))
        self.assertEqual(400, answer.status)
        self.assertNotIn(FARMERS.encode(), answer.body)

    def test_turn_of_another_customer_appears_unknown(self) -> None:
        # Otherwise one customer could read the conversation of another.
        self.assertEqual(200, self.turn("t1", FARMERS).status)
        self.assertEqual(404, self.turn("t2", STUDIOS, "t1").status)
        self.assertEqual(200, self.turn("t3", FARMERS, "t1").status)
        self.assertEqual(
            [b"t1"], [received.body for received in self.lm.received][:1]
        )
        self.assertEqual(2, len(self.lm.received))

    def test_events_and_audit_trail_never_contain_keys(self) -> None:
        self.turn("t1", FARMERS)
        self.turn("t2", "no-such-key-at-all")
        self.turn("t3", STUDIOS, "t1")
        self.system.put(
            configuration(2, CUSTOMERS[0], customer("studios", FARMERS))
        )
        self.system.put(configuration(2, customer("farmers", ADDED)))
        written = "\n".join(
            json.dumps(event._asdict(), default=str)
            for event in self.system.reporter.events
        )
        for key in (FARMERS, STUDIOS, ADDED, "no-such-key-at-all"):
            self.assertNotIn(key, written)
        shown = keys.short_digest(keys.digest("no-such-key-at-all"))
        self.assertIn(shown, written)
        trail = self.system.control.wrapped.config.machine.trail.state()
        self.assertNotIn(ADDED, str(trail))

    def test_stored_sections_contain_only_digests(self) -> None:
        sections = self.system.control.wrapped.config.machine.document.sections
        self.assertNotIn(FARMERS, str(sections))
        self.assertIn(keys.digest(FARMERS), str(sections))

    def test_malformed_keys_get_401(self) -> None:
        for key in ("x" * 9000, "\xff\xfe", "a b", "'; --"):
            self.assertEqual(401, self.get(api_key=key).status)
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_key_of_a_megabyte_exceeds_the_limits(self) -> None:
        answer = self.get(api_key="x" * 1_000_000)
        self.assertIn(answer.status, (0, 431))
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_entry_without_control_accepts_keys_for_a_bounded_time(
        self,
    ) -> None:
        # A key that is revoked meanwhile must not work here indefinitely.
        follower = self.system.entry.follower
        follower.times = follower.times._replace(key_grace=0.5)
        self.system.control_common.streams.stop()
        self.assertEqual(200, self.get(api_key=FARMERS).status)
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while follower.key_seconds() > 0:
                eventlet.sleep(0.05)
        refused = self.get(api_key=FARMERS)
        self.assertEqual(503, refused.status)
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(200, self.get("/open/a").status)

    def test_partitioned_entry_is_not_ready_and_refuses_turns_soon(
        self,
    ) -> None:
        # A ready entry that can't record turns would still get callers from
        # the balancer and hold each for two seconds.
        follower = self.system.entry.follower
        self.assertTrue(self.system.entry.gateway.ready())
        self.system.control_common.streams.stop()
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while follower.has_lease():
                eventlet.sleep(0.05)
        self.assertFalse(self.system.entry.gateway.ready())
        self.system.reporter.events.clear()
        self.assertEqual(503, self.turn("t1", FARMERS).status)
        (refused,) = self.system.reporter.of(events.CallRefused)
        self.assertLess(refused.after_s, 1.0)
        # A caller that keeps its connection would be refused on it again.
        answer = self.get(api_key=FARMERS)
        self.assertEqual("close", answer.headers["connection"])

    def test_first_response_without_a_lease_closes_its_connection(self) -> None:
        # If the entry only polls its lease, a response between the loss and the
        # next poll keeps the connection, and the caller is refused again.
        follower = self.system.entry.follower
        for held in (True, False) * 20:
            follower.has_lease = lambda held=held: held
            headers = self.get(api_key=FARMERS).headers
            self.assertEqual(held, "connection" not in headers)

    def test_call_at_startup_is_held_until_the_lease_arrives(self) -> None:
        # After a power failure of all machines, a newly elected leader sends
        # the configuration some hundredths of a second before a lease. If held
        # calls are released in between, they are refused with a retry delay of
        # half a second.
        entry = self.system.entry
        follower, gateway = entry.follower, entry.gateway
        now = follower.timers.now()
        gateway.started, gateway.configured = now, False

        def granted() -> float:
            return follower.timers.now() - now - 0.2

        follower.has_lease = lambda: granted() > 0
        follower.key_seconds = granted
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_refusal_event_names_the_customer(self) -> None:
        self.turn("t1", FARMERS, "no-such-turn")
        (refused,) = self.system.reporter.of(events.CallRefused)
        self.assertEqual("farmers", refused.customer)


class LimitedProgramTest(platform_system.HostedTest):
    """What operators are told about a program over its customer's limit."""

    def setUp(self) -> None:
        super().setUp()
        # Three requests in a window of 5 s.
        limited = customer("farmers", FARMERS, ratePerS=0.4, burst=1)
        self.lines: list[traces.Line] = []
        self.patch(self.system.reporter, "emit", self.record)
        self.assertEqual(200, self.system.put(configuration(1, limited)).status)
        self.system.add("e1", "desk")
        self.system.add("e2", "lm", platform_engine.stream())
        self.system.settle()

    def record(self, event: Any) -> None:
        self.lines.append(
            traces.Line(
                time.time(),
                "m1",
                events.name_of(type(event)),
                0,
                event._asdict(),
            )
        )

    def run_program(self) -> list[int]:
        """Returns the statuses of a turn and of three calls."""
        headers = {"api_key": FARMERS, "x_program_id": "p1"}
        turn = self.system.call(
            "POST",
            "/turns/a",
            b"hello",
            request="t1",
            x_session_id="s",
            x_token_budget="900",
            x_token_counts="10,30",
            **headers,
        )
        calls = [
            self.system.call("GET", "/safe/a", request=f"c{n}", **headers)
            for n in range(3)
        ]
        return [turn.status, *(call.status for call in calls)]

    def test_call_whose_count_was_not_answered_is_counted_once(self) -> None:
        streams = self.system.entry_common.streams
        ask = streams.ask
        lost: list[Any] = []

        def ask_and_lose(address: str, message: Any, timeout: float) -> Any:
            reply = ask(address, message, timeout)
            items = getattr(message, "items", [])
            kinds = [type(codec.decode(item)) for item in items]
            if not lost and program_messages.CountCall in kinds:
                lost.append(reply)
                raise errors.StreamTimeout("The reply is lost.")
            return reply

        self.patch(streams, "ask", ask_and_lose)
        self.assertEqual([200, 200, 200, 429], self.run_program())
        self.assertEqual(1, len(lost))

    def test_trace_of_the_program_shows_its_requests_and_refusals(
        self,
    ) -> None:
        self.assertEqual([200, 200, 200, 429], self.run_program())
        found = program_traces.trace("p1", self.lines)
        self.assertEqual(
            ["whole", "whole", "whole", "limit_reached"],
            [item.outcome for item in found.requests],
        )
        turn, call, *_ = found.requests
        self.assertGreater(turn.open, 0.0)
        self.assertGreater(call.count, 0.0)
        for item in found.requests:
            parts = sum(getattr(item, name) for name in program_traces.PARTS)
            self.assertLess(parts, item.total + 0.02, item)
        self.assertEqual({"limit_reached": 1}, found.refusals)

    def test_load_shows_the_limit_and_the_refusal(self) -> None:
        self.run_program()
        view = self.system.control.wrapped.client.show_load(
            program_messages.ShowLoad("programs-0"), 5.0
        )
        (farmers,) = view.customers
        self.assertEqual(("farmers", 3, 1), farmers[:1] + farmers[4:6])
        self.assertEqual(3.0, farmers.limit)
        self.assertEqual({"limit_reached": 1}, farmers.refused)
