"""Customers and their API keys, in the manifest and at the entry."""

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
    def test_digest_represents_a_key_but_does_not_authenticate(self) -> None:
        held = keys.digest(KEY)
        self.assertEqual(held, keys.as_digest(held))
        self.assertNotEqual(held, keys.digest(held))

    def test_only_a_single_field_of_valid_length_is_a_key(self) -> None:
        self.assertEqual(keys.digest(KEY), keys.digest_from_fields([KEY]))
        # Headers are read byte by byte, and keys are configured as text.
        sent = "clé".encode().decode("latin-1")
        self.assertEqual(keys.digest("clé"), keys.digest_from_fields([sent]))
        for fields in ([], [""], [KEY, KEY], ["x" * 1_000_000]):
            self.assertEqual("", keys.digest_from_fields(fields))

    def test_bytes_that_are_not_text_are_accepted_as_a_key(self) -> None:
        self.assertNotEqual("", keys.digest_from_fields(["\udcff\x00"]))


class ManifestTest(testtools.TestCase):
    def faults(self, text: str) -> str:
        error = self.assertRaises(errors.InvalidManifest, manifest.parse, text)
        return error.detail

    def test_parsed_manifest_contains_only_digests(self) -> None:
        parsed = manifest.parse(policies(farmers={"keys": [KEY]}))
        for text in (manifest.compact(parsed), manifest.render(parsed)):
            self.assertNotIn(KEY, text)
        self.assertEqual(parsed, manifest.parse(manifest.render(parsed)))

    def test_diff_does_not_show_keys(self) -> None:
        before = manifest.parse(policies(farmers={"keys": []}))
        after = manifest.parse(policies(farmers={"keys": [KEY]}))
        self.assertNotIn(KEY, str(manifest.diff(before, after)))

    def test_error_names_a_shared_key_by_its_digest(self) -> None:
        detail = self.faults(
            policies(farmers={"keys": [KEY]}, studios={"keys": [KEY]})
        )
        self.assertIn("$.policies.customers.studios.keys[0]", detail)
        self.assertIn(keys.short_digest(keys.digest(KEY)), detail)
        self.assertNotIn(KEY, detail)

    def test_key_and_its_digest_count_as_duplicate_keys(self) -> None:
        self.faults(policies(farmers={"keys": [KEY, keys.digest(KEY)]}))

    def test_empty_key_is_rejected(self) -> None:
        self.assertIn("keys[0]", self.faults(policies(farmers={"keys": [""]})))

    def test_errors_never_show_values_that_may_be_keys(self) -> None:
        # Operators' errors are copied to terminals, tickets and logs.
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
    """A configuration whose times the test sets.

    Attributes:
        keys_left: Seconds for which keys may still be accepted.
        updates: Pairs of when an update from control arrived, and the time up
            to which it covers accepted pushes.
    """

    def __init__(
        self, held: manifest.Manifest, clock: waiting_clock.Clock
    ) -> None:
        self.held = held
        self.clock = clock
        self.keys_left = 3.0
        self.updates = [(0.0, -0.2)]

    def manifest(self) -> manifest.Manifest:
        return self.held

    def revision(self) -> int:
        return 1

    def key_seconds(self) -> float:
        return self.keys_left

    def push_propagation_seconds(self) -> float:
        return 0.7

    def known_until(self) -> float:
        return max(until for at, until in self.updates if at <= self.clock.at)


def digest_of(key: str) -> str:
    """Returns the digest under which the entry gets a key."""
    return keys.digest_from_fields([key] if key else [])


class AuthenticatorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        held = manifest.parse(policies(farmers={"keys": [KEY], "priority": 2}))
        self.clock = waiting_clock.Clock()
        self.configuration = FakeConfiguration(held, self.clock)
        self.authenticator = authentication.Authenticator(
            self.configuration, self.clock, events.NullEventReporter()
        )

    def test_key_identifies_the_customer_and_its_priority(self) -> None:
        found = self.authenticator.caller(digest_of(KEY), False)
        self.assertEqual(customers.Caller("farmers", 2), found)

    def test_key_added_by_a_new_revision_is_accepted_at_once(self) -> None:
        self.assertIsNone(self.authenticator.caller(digest_of("new"), False))
        self.configuration.held = manifest.parse(
            policies(farmers={"keys": ["new"]})
        )
        found = self.authenticator.caller(digest_of("new"), False)
        self.assertEqual("farmers", found.customer)
        self.assertIsNone(self.authenticator.caller(digest_of(KEY), False))

    def test_entry_rejects_keys_after_long_control_outage(self) -> None:
        self.configuration.keys_left = 0.0
        error = self.assertRaises(
            errors.LeaseExpired,
            self.authenticator.caller,
            digest_of(KEY),
            False,
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_public_route_needs_neither_key_nor_control(self) -> None:
        self.configuration.keys_left = 0.0
        self.assertEqual(
            customers.UNKNOWN_CALLER,
            self.authenticator.caller(digest_of(""), True),
        )

    def test_public_route_rejects_a_key_that_may_be_revoked(
        self,
    ) -> None:
        self.configuration.keys_left = 0.0
        self.assertRaises(
            errors.LeaseExpired, self.authenticator.caller, digest_of(KEY), True
        )

    def test_every_caller_is_served_if_no_customers_are_configured(
        self,
    ) -> None:
        self.configuration.held = manifest.Manifest()
        self.configuration.keys_left = 0.0
        self.assertEqual(
            customers.UNKNOWN_CALLER,
            self.authenticator.caller(digest_of("any"), False),
        )

    def test_key_that_is_shown_counts_although_none_is_required(self) -> None:
        # Without the lookup a wrong key was let in, and the customer of a
        # right one wasn't named.
        policies_without = msgspec.structs.replace(
            self.configuration.held.policies, require_keys=False
        )
        self.configuration.held = manifest.Manifest(policies=policies_without)
        found = self.authenticator.caller(digest_of(KEY))
        self.assertEqual(customers.Caller("farmers", 2), found)
        self.assertIsNone(self.authenticator.caller(digest_of("wrong")))
        self.assertRaises(
            errors.Unauthorized,
            self.authenticator.confirmed_caller,
            digest_of("wrong"),
        )
        self.assertEqual(
            customers.UNKNOWN_CALLER, self.authenticator.caller(digest_of(""))
        )

    def test_caller_without_a_key_needs_no_control_if_none_is_required(
        self,
    ) -> None:
        policies_without = msgspec.structs.replace(
            self.configuration.held.policies, require_keys=False
        )
        self.configuration.held = manifest.Manifest(policies=policies_without)
        self.configuration.keys_left = 0.0
        self.assertEqual(
            customers.UNKNOWN_CALLER, self.authenticator.caller(digest_of(""))
        )
        self.assertRaises(
            errors.LeaseExpired, self.authenticator.caller, digest_of(KEY)
        )

    def test_unknown_key_is_confirmed_after_an_update_from_control(
        self,
    ) -> None:
        # Without the wait, an entry that has not received a new key yet answers
        # 401, and callers don't retry after that.
        self.configuration.updates.append((0.1, 0.05))
        self.authenticator.await_updates("r1", digest_of("new"), 0.0)
        self.assertGreaterEqual(self.clock.now(), 0.1)

    def test_unknown_key_at_a_partitioned_entry_is_not_a_401(self) -> None:
        error = self.assertRaises(
            errors.ControlUnavailable,
            self.authenticator.await_updates,
            "r1",
            digest_of("new"),
            self.clock.now() + 1.0,
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_unknown_key_waits_no_longer_than_an_update_takes(self) -> None:
        # Guards against callers that a partitioned entry holds for long.
        with self.assertRaises(errors.ControlUnavailable):
            self.authenticator.await_updates("r1", digest_of("new"), 1.0)
        longest = self.configuration.push_propagation_seconds()
        self.assertAlmostEqual(longest, self.clock.now(), delta=0.03)

    def test_number_of_waiting_requests_with_unknown_keys_is_bounded(
        self,
    ) -> None:
        self.authenticator.unconfirmed = authentication.MAX_UNCONFIRMED
        began = self.clock.now()
        self.assertRaises(
            errors.ControlUnavailable,
            self.authenticator.await_updates,
            "r1",
            digest_of("new"),
            began + 1.0,
        )
        self.assertEqual(began, self.clock.now())

    def test_lookup_uses_one_index_for_many_customers(self) -> None:
        many = {
            f"c{n}": manifest.Customer(keys=[keys.digest(str(n))])
            for n in range(4200)
        }
        base = manifest.Policies(require_keys=True)
        register = customers.CallerIndex(
            msgspec.structs.replace(base, customers=many)
        )
        self.assertEqual("c4199", register.find(keys.digest("4199")).customer)
        self.assertEqual(4200, len(register.by_key))
