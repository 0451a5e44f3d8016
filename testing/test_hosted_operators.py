"""Operators' and upstreams' requests in the platform's protocol."""

import json
from typing import Any

import eventlet

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import control_events
from mintcleat.domain import manifest


class PushEventsTest(platform_system.HostedTest):
    """Each push leaves one event at the instance that received it."""

    def push(self, body: Any) -> control_events.PushAnswered:
        before = len(self.system.reporter.of(control_events.PushAnswered))
        self.system.put(body)
        events = self.system.reporter.of(control_events.PushAnswered)
        (event,) = events[before:]
        return event

    def test_event_tells_the_version_and_the_one_in_force(self) -> None:
        event = self.push(platform_system.configuration(7))
        self.assertEqual(
            ("acknowledged", 200, 7, 7, ""),
            (
                event.outcome,
                event.status,
                event.version,
                event.in_force,
                event.detail,
            ),
        )
        event = self.push(platform_system.configuration(5))
        self.assertEqual((5, 7), (event.version, event.in_force))
        self.assertIn("127.0.0.1:", event.peer)

    def test_event_tells_why_a_push_was_refused(self) -> None:
        fields = platform_system.configuration(7)
        fields["routes"][1]["timeoutMs"] = 0
        event = self.push(fields)
        self.assertEqual(
            ("refused", 400, 7), (event.outcome, event.status, event.version)
        )
        self.assertIn("$.routes[1].timeoutMs", event.detail)

    def test_event_of_an_unreadable_push_is_bounded(self) -> None:
        event = self.push(json.dumps({"x" * 10_000: 1}).encode() * 100)
        self.assertEqual(("refused", 0), (event.outcome, event.version))
        self.assertLess(len(json.dumps(event)), 1000)

    def test_repeated_push_has_the_same_digest(self) -> None:
        first = self.push(platform_system.configuration(7))
        again = self.push(platform_system.configuration(7))
        other = self.push(platform_system.configuration(8))
        self.assertEqual(first.digest, again.digest)
        self.assertNotEqual(first.digest, other.digest)


class OperatorTest(platform_system.HostedTest):
    def get(self) -> platform_system.Answer:
        return self.system.ask_control("GET", "/v1/Configuration.Get")

    def test_highest_version_wins_and_is_returned_as_sent(self) -> None:
        for version in (5, 3, 9, 9, 8):
            configuration = platform_system.configuration(version)
            self.assertEqual(200, self.system.put(configuration).status)
        self.assertEqual(platform_system.configuration(9), self.get().json())

    def test_largest_version_is_taken_and_the_next_one_refused(self) -> None:
        largest = 2**64 - 1
        for version, status in ((largest + 1, 400), (largest, 200)):
            fields = platform_system.configuration(version)
            self.assertEqual(status, self.system.put(fields).status)
        self.assertEqual(largest, self.get().json()["version"])

    def test_other_content_under_the_same_version_changes_nothing(
        self,
    ) -> None:
        self.system.put(platform_system.configuration(4))
        other = platform_system.configuration(
            4, platform_system.route("new", "safe")
        )
        self.assertEqual(200, self.system.put(other).status)
        self.assertEqual(platform_system.configuration(4), self.get().json())

    def test_invalid_configurations_are_rejected(self) -> None:
        self.system.put(platform_system.configuration(4))
        whole = json.dumps(platform_system.configuration(5)).encode()
        route = platform_system.route
        broken = {
            "cut short": whole[: len(whole) // 2],
            "unknown service": platform_system.configuration(
                5, route("a", "safe", service="none")
            ),
            "same place": platform_system.configuration(
                5, route("a", "safe"), route("b", "safe", pathPrefix="/a/")
            ),
            "no weight": platform_system.configuration(
                5,
                route("a", "safe", split=[{"service": "desk", "weight": 0}]),
            ),
            "no time-out": platform_system.configuration(
                5, route("a", "safe", timeoutMs=0)
            ),
            "no object": b"[]",
            "no text": b"\xff\xfe",
        }
        for name, configuration in broken.items():
            self.assertEqual(400, self.system.put(configuration).status, name)
        self.assertEqual(platform_system.configuration(4), self.get().json())

    def test_unknown_fields_are_preserved(self) -> None:
        configuration = platform_system.configuration(4)
        configuration["later"] = {"any": 1}
        configuration["routes"][0]["later"] = 1
        self.assertEqual(200, self.system.put(configuration).status)
        self.assertEqual(configuration, self.get().json())

    def test_whole_uri_as_target_reaches_the_operators_interface(self) -> None:
        url = "http://control/v1/Configuration."
        body = json.dumps(platform_system.configuration(4)).encode()
        answer = self.system.ask_control("POST", f"{url}Put", body)
        self.assertEqual(200, answer.status)
        answer = self.system.ask_control("GET", f"{url}Get")
        self.assertEqual(4, answer.json()["version"])

    def test_missing_configuration_gets_503(self) -> None:
        self.assertEqual(503, self.get().status)

    def test_changed_route_takes_effect_at_the_entry(self) -> None:
        self.start_engines(("e1", "desk"), ("e2", "lm"))
        moved = platform_system.route("safe", "safe", service="lm")
        self.system.put(platform_system.configuration(2, moved))
        self.system.settle()
        answer = self.system.call("GET", "/safe/a")
        self.assertEqual(b"e2 /safe/a", answer.body)

    def test_upstream_that_came_before_its_service_serves_an_added_route(
        self,
    ) -> None:
        # It was known only after its next heartbeat, which is up to seconds
        # later.
        self.start_engines(("e1", "desk"))
        early = platform_engine.Engine("e2", platform_engine.whole)
        self.system.engines.append(early)
        self.assertEqual(404, self.system.heartbeat(early, "later").status)
        configuration = platform_system.configuration(
            2, platform_system.route("added", "safe", service="later")
        )
        configuration["services"].append({"name": "later"})
        self.assertEqual(200, self.system.put(configuration).status)
        entries = self.system.control.wrapped.config.machine.directory.entries
        with eventlet.Timeout(platform_system.ANSWER_SECONDS):
            while "e2" not in entries:
                eventlet.sleep(0.01)
        self.system.settle()
        answer = self.system.call("GET", "/added/a")
        self.assertEqual(b"e2 /added/a", answer.body)

    def test_push_that_is_sent_again_is_not_parsed_by_the_leader(self) -> None:
        # A large one would hold up the leader at each resend.
        configuration = platform_system.configuration(5)
        self.assertEqual(200, self.system.put(configuration).status)
        self.patch(manifest, "parse", None)
        self.assertEqual(200, self.system.put(configuration).status)

    def test_route_whose_prefix_has_other_letters_is_served(self) -> None:
        fields = platform_system.configuration(
            1, platform_system.route("added", "safe", pathPrefix="/Grüße 1/")
        )
        self.assertEqual(200, self.system.put(fields).status)
        self.system.add("e1", "desk")
        self.system.settle()
        target = "/Gr%c3%bc%C3%9Fe%201/a"
        answer = self.system.call("GET", target)
        self.assertEqual(f"e1 {target}".encode(), answer.body)

    def test_services_and_routes_of_any_name_are_served(self) -> None:
        name = "desk & Grüße/2"
        fields = platform_system.configuration(
            1, platform_system.route(name, "safe", pathPrefix="/a/")
        )
        fields["routes"][0]["service"] = name
        fields["services"].append({"name": name})
        self.assertEqual(200, self.system.put(fields).status)
        self.system.add("e1", name)
        self.system.settle()
        self.assertEqual(200, self.system.call("GET", "/a/b").status)

    def test_draining_upstream_gets_no_requests_once_acknowledged(
        self,
    ) -> None:
        first, second = self.start_engines(("e1", "desk"), ("e2", "desk"))
        answer = self.system.heartbeat(first, "desk", "draining")
        self.assertEqual(200, answer.status)
        self.system.settle()
        for number in range(10):
            self.system.call("GET", "/safe/a", request=f"r{number}")
        self.assertEqual((0, 10), (len(first.received), len(second.received)))

    def test_late_heartbeat_does_not_restore_a_deregistered_upstream(
        self,
    ) -> None:
        first, _ = self.start_engines(("e1", "desk"), ("e2", "desk"))
        self.system.leave(first)
        self.assertEqual(200, self.system.heartbeat(first, "desk").status)
        self.system.settle()
        self.assertNotIn("e1", self.system.entry.follower.registered.entries)

    def test_late_heartbeat_does_not_end_a_drain(self) -> None:
        first, _ = self.start_engines(("e1", "desk"), ("e2", "desk"))
        self.system.heartbeat(first, "desk", "draining", sequence=90)
        self.system.heartbeat(first, "desk", "ready", sequence=80)
        self.system.settle()
        entries = self.system.entry.follower.registered.entries
        self.assertEqual("draining", entries["e1"].state)

    def test_new_upstream_at_an_address_replaces_the_old_one(self) -> None:
        (engine,) = self.start_engines(("e1", "desk"))
        engine.name = "e9"
        self.system.heartbeat(engine, "lm")
        self.system.settle()
        entries = self.system.entry.follower.registered.entries
        self.assertEqual({"e9"}, set(entries))

    def test_malformed_heartbeat_is_rejected(self) -> None:
        path = "/v1/Instances.Heartbeat/e1"
        # Of a repeated field, two readers may take two values.
        twice = b'{"service": "desk", "service": "lm", "address": "10.0.0.1:1"}'
        for body in (b"{", twice):
            answer = self.system.ask_control("POST", path, body)
            self.assertEqual(400, answer.status)
            self.assertIn(b"JSON", answer.body)

    def test_evacuation_reports_unknown_instances_and_too_few_voters(
        self,
    ) -> None:
        ask = self.system.ask_control
        body = b'{"durationS": 10}'
        self.assertEqual(404, ask("POST", "/v1/Retire.Start/x", body).status)
        self.assertEqual(
            409, ask("POST", "/v1/Retire.Start/store-1", body).status
        )
