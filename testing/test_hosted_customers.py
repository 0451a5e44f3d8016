"""Customers over real sockets: keys, owners of turns, what leaves the entry."""

import json
from typing import Any

import eventlet

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events
from mintcleat.domain import keys

FARMERS = "92cqf75rjvz48wuakn2f"
STUDIOS = "timaj3nr26tta828m82t"
LATER = "key-that-comes-later"


def customer(name: str, *held: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(held), **fields}


def plan(version: int, *customers: dict[str, Any]) -> dict[str, Any]:
    routes = platform_system.plan()["routes"]
    routes.append(platform_system.route("open", "safe", public=True))
    return {
        **platform_system.plan(version, *routes),
        "tenants": list(customers),
    }


BOTH = (customer("farmers", FARMERS, priority=1), customer("studios", STUDIOS))


class CustomersTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.assertEqual(200, self.system.put(plan(1, *BOTH)).status)
        self.desk = self.system.add("e1", "desk")
        self.lm = self.system.add("e2", "lm", platform_engine.stream())
        self.system.settle()

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

    def test_upstream_is_told_the_customer_and_never_the_key(self) -> None:
        self.assertEqual(200, self.get(api_key=FARMERS).status)
        (seen,) = self.desk.seen
        self.assertEqual("farmers", seen.headers["x-tenant"])
        self.assertNotIn(FARMERS, str(seen.headers))

    def test_customers_rank_goes_before_the_routes(self) -> None:
        self.get(api_key=FARMERS)
        self.get(api_key=STUDIOS)
        first, second = self.desk.seen
        self.assertEqual("5", first.headers["x-request-urgency"])
        self.assertEqual("4", second.headers["x-request-urgency"])

    def test_callers_own_word_on_who_it_is_counts_nothing(self) -> None:
        # It would run under another customer's name.
        self.get(api_key=FARMERS, x_tenant="studios")
        self.get("/open/a", x_tenant="studios")
        named, anonymous = self.desk.seen
        self.assertEqual("farmers", named.headers["x-tenant"])
        self.assertNotIn("x-tenant", anonymous.headers)

    def test_public_route_tells_who_it_is_where_a_key_does(self) -> None:
        self.assertEqual(200, self.get("/open/a", api_key=STUDIOS).status)
        self.assertEqual(200, self.get("/open/a", api_key="none").status)
        self.assertEqual("studios", self.desk.seen[0].headers["x-tenant"])
        self.assertNotIn("x-tenant", self.desk.seen[1].headers)

    def test_unknown_key_and_none_are_401_and_run_nowhere(self) -> None:
        self.assertEqual(401, self.get(api_key="no-such-key").status)
        self.assertEqual(401, self.get().status)
        self.assertEqual([], self.desk.seen)

    def test_key_that_is_added_and_taken_away(self) -> None:
        self.assertEqual(401, self.get(api_key=LATER).status)
        more = customer("farmers", FARMERS, LATER)
        self.system.put(plan(2, more, BOTH[1]))
        # Nothing waits for the entry here: it asks before it refuses.
        self.assertEqual(200, self.get(api_key=LATER).status)
        self.system.put(plan(3, customer("farmers", LATER), BOTH[1]))
        self.system.settle()
        self.assertEqual(401, self.get(api_key=FARMERS).status)
        self.assertEqual(200, self.get(api_key=LATER).status)

    def test_customer_without_any_key_left_is_refused(self) -> None:
        self.system.put(plan(2, customer("farmers"), customer("studios")))
        self.system.settle()
        self.assertEqual(401, self.get(api_key=FARMERS).status)

    def test_two_customers_with_one_key_are_no_configuration(self) -> None:
        shared = customer("studios", FARMERS)
        answer = self.system.put(plan(2, BOTH[0], shared))
        self.assertEqual(400, answer.status)
        self.assertNotIn(FARMERS.encode(), answer.body)

    def test_another_customers_turn_is_one_that_never_was(self) -> None:
        # The stranger was handed the farmers' conversation.
        self.assertEqual(200, self.turn("t1", FARMERS).status)
        self.assertEqual(404, self.turn("t2", STUDIOS, "t1").status)
        self.assertEqual(200, self.turn("t3", FARMERS, "t1").status)
        self.assertEqual([b"t1"], [seen.body for seen in self.lm.seen][:1])
        self.assertEqual(2, len(self.lm.seen))

    def test_no_line_that_a_run_with_keys_wrote_shows_one(self) -> None:
        self.turn("t1", FARMERS)
        self.turn("t2", "no-such-key-at-all")
        self.turn("t3", STUDIOS, "t1")
        self.system.put(plan(2, BOTH[0], customer("studios", FARMERS)))
        self.system.put(plan(2, customer("farmers", LATER)))
        written = "\n".join(
            json.dumps(event._asdict(), default=str)
            for event in self.system.told.events
        )
        for key in (FARMERS, STUDIOS, LATER, "no-such-key-at-all"):
            self.assertNotIn(key, written)
        shown = keys.short_digest(keys.digest("no-such-key-at-all"))
        self.assertIn(shown, written)
        trail = self.system.control.wrapped.config.machine.trail.state()
        self.assertNotIn(LATER, str(trail))

    def test_disk_of_an_entry_or_a_section_holds_digests_alone(self) -> None:
        sections = self.system.control.wrapped.config.machine.document.sections
        self.assertNotIn(FARMERS, str(sections))
        self.assertIn(keys.digest(FARMERS), str(sections))

    def test_odd_keys_cost_a_401_and_nothing_else(self) -> None:
        for key in ("x" * 9000, "\xff\xfe", "a b", "'; --"):
            self.assertEqual(401, self.get(api_key=key).status)
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_key_of_a_megabyte_is_over_the_limits(self) -> None:
        answer = self.get(api_key="x" * 1_000_000)
        self.assertIn(answer.status, (0, 431))
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_entry_without_control_serves_for_a_bounded_time(self) -> None:
        # A key that was taken away meanwhile must not work here for ever.
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

    def test_entry_that_is_cut_off_is_not_ready_and_refuses_turns_soon(
        self,
    ) -> None:
        # The balancer went on sending callers to an entry that could record
        # no turn, and each was held there for two seconds.
        follower = self.system.entry.follower
        self.assertTrue(self.system.entry.gateway.ready())
        self.system.control_common.streams.stop()
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while follower.has_lease():
                eventlet.sleep(0.05)
        self.assertFalse(self.system.entry.gateway.ready())
        self.system.told.events.clear()
        self.assertEqual(503, self.turn("t1", FARMERS).status)
        (refused,) = self.system.told.of(events.CallRefused)
        self.assertLess(refused.after_s, 1.0)
        # A caller that kept its connection would be refused on it again.
        answer = self.get(api_key=FARMERS)
        self.assertEqual("close", answer.headers["connection"])

    def test_first_answer_without_a_lease_closes_its_connection(self) -> None:
        # The entry looked at its lease ten times a second. An answer between
        # the loss and the next look kept its caller, who was refused again.
        follower = self.system.entry.follower
        for held in (True, False) * 20:
            follower.has_lease = lambda held=held: held
            headers = self.get(api_key=FARMERS).headers
            self.assertEqual(held, "connection" not in headers)

    def test_call_at_a_start_is_held_until_the_lease_has_come(self) -> None:
        # After a loss of all power a leader that was just elected sent the
        # configuration some hundredths of a second before a lease on it. Calls
        # that were held for it were refused in between and told to come back
        # half a second later.
        entry = self.system.entry
        follower, gateway = entry.follower, entry.gateway
        now = follower.timers.now()
        gateway.started, gateway.informed = now, False

        def granted() -> float:
            return follower.timers.now() - now - 0.2

        follower.has_lease = lambda: granted() > 0
        follower.key_seconds = granted
        self.assertEqual(200, self.get(api_key=FARMERS).status)

    def test_refusal_tells_the_customer_in_its_line(self) -> None:
        self.turn("t1", FARMERS, "no-such-turn")
        (refused,) = self.system.told.of(events.CallRefused)
        self.assertEqual("farmers", refused.customer)
