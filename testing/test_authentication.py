"""Customers and their keys, at the manifest and at the entry."""

import json

import msgspec
import testtools

from fakes import waiting_clock
from mintcleat.decisions import customers
from mintcleat.domain import errors
from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.ports import events
from mintcleat.roles.entry import authentication

KEY = "92cqf75rjvz48wuakn2f"


def policies(**customers_by_name: dict) -> str:
    return json.dumps(
        {"policies": {"customers": customers_by_name, "require_keys": True}}
    )


class KeyTest(testtools.TestCase):
    def test_digest_stands_for_a_key_and_opens_nothing(self) -> None:
        held = keys.digest(KEY)
        self.assertEqual(held, keys.as_digest(held))
        self.assertNotEqual(held, keys.digest(held))

    def test_only_one_field_of_sound_length_is_a_key(self) -> None:
        self.assertEqual(keys.digest(KEY), keys.digest_from_fields([KEY]))
        for fields in ([], [""], [KEY, KEY], ["x" * 1_000_000]):
            self.assertEqual("", keys.digest_from_fields(fields))

    def test_bytes_that_are_no_text_are_a_key_like_any(self) -> None:
        self.assertNotEqual("", keys.digest_from_fields(["\udcff\x00"]))


class ManifestTest(testtools.TestCase):
    def faults(self, text: str) -> str:
        error = self.assertRaises(errors.InvalidManifest, manifest.parse, text)
        return error.detail

    def test_parsed_manifest_holds_digests_alone(self) -> None:
        parsed = manifest.parse(policies(farmers={"keys": [KEY]}))
        for text in (manifest.compact(parsed), manifest.render(parsed)):
            self.assertNotIn(KEY, text)
        self.assertEqual(parsed, manifest.parse(manifest.render(parsed)))

    def test_diff_shows_no_key(self) -> None:
        before = manifest.parse(policies(farmers={"keys": []}))
        after = manifest.parse(policies(farmers={"keys": [KEY]}))
        self.assertNotIn(KEY, str(manifest.diff(before, after)))

    def test_two_customers_with_one_key_are_told_by_its_digest(self) -> None:
        detail = self.faults(
            policies(farmers={"keys": [KEY]}, studios={"keys": [KEY]})
        )
        self.assertIn("$.policies.customers.studios.keys[0]", detail)
        self.assertIn(keys.short_digest(keys.digest(KEY)), detail)
        self.assertNotIn(KEY, detail)

    def test_key_beside_its_own_digest_is_one_key_twice(self) -> None:
        self.faults(policies(farmers={"keys": [KEY, keys.digest(KEY)]}))

    def test_empty_key_is_refused(self) -> None:
        self.assertIn("keys[0]", self.faults(policies(farmers={"keys": [""]})))

    def test_faults_never_show_what_may_be_a_key(self) -> None:
        # An operator's error goes to terminals, tickets and logs.
        for value in (KEY, [12345678], {"a": KEY}, [[KEY]]):
            detail = self.faults(policies(farmers={"keys": value}))
            self.assertNotIn(KEY, detail)
            self.assertNotIn("12345678", detail)

    def test_priority_is_a_number_or_null(self) -> None:
        for priority in (None, 0, 3):
            manifest.parse(policies(farmers={"priority": priority}))
        self.faults(policies(farmers={"priority": "high"}))
        self.faults(policies(farmers={"priority": -1}))


class FakeConfiguration:
    """A configuration whose clocks the test sets."""

    def __init__(
        self, held: manifest.Manifest, clock: waiting_clock.Clock
    ) -> None:
        self.held = held
        self.clock = clock
        self.keys_left = 3.0
        # When word came from control, and up to when it told of pushes.
        self.words = [(0.0, -0.2)]

    def manifest(self) -> manifest.Manifest:
        return self.held

    def revision(self) -> int:
        return 1

    def key_seconds(self) -> float:
        return self.keys_left

    def word_seconds(self) -> float:
        return 0.7

    def known_until(self) -> float:
        return max(until for at, until in self.words if at <= self.clock.at)


def sent(key: str) -> str:
    """Returns what the entry has of a key."""
    return keys.digest_from_fields([key] if key else [])


class IdentityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        held = manifest.parse(policies(farmers={"keys": [KEY], "priority": 2}))
        self.clock = waiting_clock.Clock()
        self.configuration = FakeConfiguration(held, self.clock)
        self.authenticator = authentication.Authenticator(
            self.configuration, self.clock, events.NullEventReporter()
        )

    def test_key_tells_the_customer_and_its_rank(self) -> None:
        found = self.authenticator.caller(sent(KEY), False)
        self.assertEqual(customers.Caller("farmers", 2), found)

    def test_key_added_by_a_new_revision_opens_at_once(self) -> None:
        self.assertIsNone(self.authenticator.caller(sent("new"), False))
        self.configuration.held = manifest.parse(
            policies(farmers={"keys": ["new"]})
        )
        found = self.authenticator.caller(sent("new"), False)
        self.assertEqual("farmers", found.customer)
        self.assertIsNone(self.authenticator.caller(sent(KEY), False))

    def test_entry_without_control_for_long_takes_no_key(self) -> None:
        self.configuration.keys_left = 0.0
        error = self.assertRaises(
            errors.LeaseExpired, self.authenticator.caller, sent(KEY), False
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_public_route_needs_no_key_and_no_control(self) -> None:
        self.configuration.keys_left = 0.0
        self.assertEqual(
            customers.UNKNOWN_CALLER, self.authenticator.caller(sent(""), True)
        )

    def test_public_route_is_not_served_under_a_key_that_may_be_void(
        self,
    ) -> None:
        self.configuration.keys_left = 0.0
        self.assertRaises(
            errors.LeaseExpired, self.authenticator.caller, sent(KEY), True
        )

    def test_without_customers_everybody_is_served(self) -> None:
        self.configuration.held = manifest.Manifest()
        self.configuration.keys_left = 0.0
        self.assertEqual(
            customers.UNKNOWN_CALLER,
            self.authenticator.caller(sent("any"), False),
        )

    def test_unknown_key_is_sure_after_word_from_control(self) -> None:
        # An entry that had not heard of a new key yet told its customer 401,
        # and no caller tries again after that.
        self.configuration.words.append((0.1, 0.05))
        self.authenticator.await_updates("r1", sent("new"), 0.0)
        self.assertGreaterEqual(self.clock.now(), 0.1)

    def test_unknown_key_at_an_entry_out_of_touch_is_no_401(self) -> None:
        error = self.assertRaises(
            errors.ControlUnavailable,
            self.authenticator.await_updates,
            "r1",
            sent("new"),
            self.clock.now() + 1.0,
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_strangers_who_try_keys_wait_in_bounded_number(self) -> None:
        self.authenticator.unconfirmed = authentication.MAX_UNCONFIRMED
        began = self.clock.now()
        self.assertRaises(
            errors.ControlUnavailable,
            self.authenticator.await_updates,
            "r1",
            sent("new"),
            began + 1.0,
        )
        self.assertEqual(began, self.clock.now())

    def test_look_up_costs_the_same_with_many_customers(self) -> None:
        many = {
            f"c{n}": manifest.Customer(keys=[keys.digest(str(n))])
            for n in range(4200)
        }
        base = manifest.Policies(require_keys=True)
        register = customers.CallerIndex(
            msgspec.structs.replace(base, customers=many)
        )
        self.assertEqual("c4199", register.find(keys.digest("4199")).customer)
        self.assertEqual(4200, len(register.callers))
