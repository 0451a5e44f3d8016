"""Conversion of the platform's configuration to a manifest."""

import json
from typing import Any

import testtools

from fakes import platform_system
from mintcleat.domain import errors
from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.domain import manifest_errors
from mintcleat.platform import configuration
from mintcleat.platform import json_text
from mintcleat.platform import names
from mintcleat.platform import translation

DIGEST = "0" * 32
ENGINE = {
    "stride": 3,
    "models": [{"name": "m"}],
    "moves": True,
    "kvTokenBytes": 1024,
    "linkMbps": 800,
    "handle_s": 2.5,
}


class MovesTest(testtools.TestCase):
    def service(self, **changes: Any) -> manifest.Service:
        fields = platform_system.configuration()
        fields["services"][1]["engine"] = {**ENGINE, **changes}
        parsed = platform_system.valid_configuration(
            json.dumps(fields).encode()
        )
        text = translation.to_manifest(parsed, {})
        return manifest.parse(text).services["lm"]

    def test_engine_that_moves_has_its_numbers(self) -> None:
        found = self.service()
        self.assertEqual(
            (True, 1024, 800.0, 2.5),
            (
                found.moves,
                found.token_bytes,
                found.link_mbps,
                found.handle_seconds,
            ),
        )

    def test_engine_without_moves_has_no_numbers(self) -> None:
        self.assertEqual(self.service(moves=False), self.service(moves=None))
        self.assertEqual(0, self.service(moves=False).token_bytes)

    def test_backups_need_no_numbers(self) -> None:
        found = self.service(moves=False, backups=True)
        self.assertEqual((False, True), (found.moves, found.backups))

    def test_incomplete_numbers_leave_moves_off(self) -> None:
        # The rest of the configuration must stay in force.
        for changes in (
            {"linkMbps": 0},
            {"linkMbps": None},
            {"kvTokenBytes": "many"},
            {"handle_s": True},
        ):
            self.assertFalse(self.service(**changes).moves, changes)


class TranslationTest(testtools.TestCase):
    def manifest(self, fields: dict[str, Any]) -> manifest.Manifest:
        parsed = platform_system.valid_configuration(
            json.dumps(fields).encode()
        )
        return manifest.parse(translation.to_manifest(parsed, {}))

    def test_hosts_are_looked_up_in_lower_case(self) -> None:
        route = platform_system.route("a", "safe", host="Callers.EXAMPLE")
        found = self.manifest(platform_system.configuration(1, route))
        self.assertEqual("callers.example", found.routes["a"].host)

    def test_routes_of_one_name_are_all_kept(self) -> None:
        routes = [
            platform_system.route(name, "safe", pathPrefix=f"/{number}/")
            for number, name in enumerate(("a", "a 2", "a", "a", "a 3"))
        ]
        found = self.manifest(platform_system.configuration(1, *routes))
        prefixes = sorted(route.prefix for route in found.routes.values())
        self.assertEqual(["/0/", "/1/", "/2/", "/3/", "/4/"], prefixes)

    def test_limits_of_zero_are_the_defaults(self) -> None:
        fields = platform_system.configuration()
        fields["limits"] = dict.fromkeys(fields["limits"], 0)
        self.assertEqual(manifest.Limits(), self.manifest(fields).limits)

    def test_smallest_and_largest_times_stay_in_bounds(self) -> None:
        for timeout in (5e-324, 1e-7, 1e300):
            route = platform_system.route("a", "safe", timeoutMs=timeout)
            found = self.manifest(platform_system.configuration(1, route))
            seconds = found.routes["a"].timeout
            self.assertTrue(0 < seconds < 1e8, (timeout, seconds))

    def test_key_of_the_form_of_a_digest_is_a_key_like_others(self) -> None:
        # Otherwise one who has read a manifest could act as its customer.
        key = keys.digest("secret")
        fields = platform_system.configuration()
        fields["tenants"] = [{"name": "one", "apiKeys": [key]}]
        held = self.manifest(fields).policies.customers["one"].keys
        self.assertEqual([keys.digest(key)], held)


class WeightsTest(testtools.TestCase):
    def test_integers_are_kept(self) -> None:
        self.assertEqual(
            [90, 10, 0], translation.integer_weights([90.0, 10.0, 0.0])
        )

    def test_fractions_keep_their_ratio(self) -> None:
        for weights, expected in (
            ([0.5, 0.5], [1, 1]),
            ([0.1, 0.9], [1, 9]),
            ([33.3, 66.7], [333, 667]),
        ):
            self.assertEqual(expected, translation.integer_weights(weights))

    def test_extremes_keep_a_share_above_zero(self) -> None:
        for weights in ([5e-324, 1.0], [1e308, 1e-308], [1e308, 1e308]):
            found = translation.integer_weights(weights)
            self.assertGreater(min(found), 0)
            self.assertLess(sum(found), 2**53)


class NamesTest(testtools.TestCase):
    def test_names_that_fit_are_kept(self) -> None:
        for name in ("a", "r-hh2b9wu", "a.b_c-d", "9" * 128):
            self.assertEqual(name, names.in_manifest(name))

    def test_other_names_never_become_the_same(self) -> None:
        given = ["", " ", "a b", "a-b", "ü", "_a", "a\n", "x" * 129, "x" * 130]
        given += [f"a-{DIGEST}", *map(names.in_manifest, given)]
        found = [names.in_manifest(name) for name in given]
        self.assertEqual(len(set(given)), len(set(found)))
        for name in found:
            self.assertRegex(name, manifest_errors.NAME_PATTERN)

    def test_line_ends_are_not_sent_in_a_header(self) -> None:
        self.assertEqual("a%0D%0Ab", names.in_header("a\r\nb"))


class JsonTest(testtools.TestCase):
    def refused(self, text: bytes) -> str:
        error = self.assertRaises(json_text.InvalidJson, json_text.decode, text)
        return str(error)

    def test_nesting_is_bounded(self) -> None:
        depth = json_text.MAX_DEPTH
        deepest = b"[" * depth + b"]" * depth
        json_text.decode(deepest)
        self.assertIn("nested", self.refused(b"[" + deepest + b"]"))

    def test_brackets_in_strings_are_no_nesting(self) -> None:
        text = json.dumps({"a": '\\"[' * 1000}).encode()
        self.assertEqual(json.loads(text), json_text.decode(text))

    def test_integers_are_exact_however_they_are_written(self) -> None:
        for text, value in (
            (b"7.0", 7),
            (b"70e-1", 7),
            (b"18446744073709551615", 2**64 - 1),
            (b"18446744073709551615.0", 2**64 - 1),
        ):
            found = json_text.decode(text)
            self.assertEqual((value, int), (found, type(found)))

    def test_error_of_a_repeated_key_names_it(self) -> None:
        self.assertIn("'b'", self.refused(b'{"a":{"b":1,"c":2,"b":1}}'))


class ErrorsTest(testtools.TestCase):
    def detail(self, fields: dict[str, Any]) -> str:
        error = self.assertRaises(
            errors.InvalidManifest,
            platform_system.valid_configuration,
            json.dumps(fields).encode(),
        )
        return error.detail

    def test_error_has_the_index_of_the_route(self) -> None:
        fields = platform_system.configuration()
        fields["routes"][2]["timeoutMs"] = True
        detail = self.detail(fields)
        self.assertIn("$.routes[2]", detail)
        self.assertIn("timeoutMs", detail)

    def test_error_has_the_service_of_the_engine(self) -> None:
        fields = platform_system.configuration()
        fields["services"][1]["engine"]["stride"] = "3"
        self.assertIn("$.services[1].engine", self.detail(fields))

    def test_error_of_a_shared_key_does_not_show_it(self) -> None:
        fields = platform_system.configuration()
        fields["tenants"] = [
            {"name": name, "apiKeys": ["secret"]} for name in ("one", "two")
        ]
        self.assertNotIn("secret", self.detail(fields))

    def test_error_names_a_limited_number_of_problems(self) -> None:
        routes = [
            platform_system.route(f"r{number}", "safe", service="none")
            for number in range(1000)
        ]
        detail = self.detail(platform_system.configuration(1, *routes))
        self.assertEqual(21, len(detail.splitlines()))


class PlaceTest(testtools.TestCase):
    def test_two_routes_at_one_place_are_refused_however_it_is_written(
        self,
    ) -> None:
        # The manifest's own check would refuse them later, without an index.
        for host, prefix in (
            ("HOST.example", "/a~/"),
            ("host.example.", "/a~/"),
            ("host.example:80", "/a~/"),
            ("host.example", "/%61%7E/"),
        ):
            route = platform_system.route
            fields = platform_system.configuration(
                1,
                route("a", "safe", host="host.example", pathPrefix="/a~/"),
                route("b", "safe", host=host, pathPrefix=prefix),
            )
            read = configuration.read(json.dumps(fields).encode())
            error = self.assertRaises(
                errors.InvalidManifest, configuration.check, read
            )
            self.assertIn("same host and prefix", error.detail)


class KeysTest(testtools.TestCase):
    def customers(self, *held: list[str]) -> configuration.Configuration:
        fields = platform_system.configuration()
        fields["tenants"] = [
            {"name": f"c{number}", "apiKeys": some}
            for number, some in enumerate(held)
        ]
        return configuration.read(json.dumps(fields).encode())

    def test_blanks_around_a_key_are_no_part_of_it(self) -> None:
        # Requests show the key without them.
        text = translation.to_manifest(self.customers([" k\t"]), {})
        customer = manifest.parse(text).policies.customers["c0"]
        self.assertEqual([keys.digest("k")], customer.keys)

    def test_key_that_two_customers_share_but_for_blanks_is_refused(
        self,
    ) -> None:
        self.assertRaises(
            errors.InvalidManifest,
            configuration.check,
            self.customers(["k"], ["k "]),
        )
