"""Parsing and comparing manifests; matching of idempotent paths."""

import pathlib

import testtools
from testtools import matchers

from mintcleat.domain import errors
from mintcleat.domain import manifest

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples" / "manifests"


def errors_in(text: str) -> list[str]:
    try:
        manifest.parse(text)
    except errors.InvalidManifest as error:
        return error.detail.splitlines()
    return []


class ParseTest(testtools.TestCase):
    def test_examples_are_valid_and_survive_rendering(self) -> None:
        for name in ("breakdown-desk.json", "bugdesk.json"):
            parsed = manifest.parse((EXAMPLES / name).read_text())
            again = manifest.parse(manifest.render(parsed))
            self.assertThat(again, matchers.Equals(parsed))

    def test_every_schema_error_is_listed_with_its_path(self) -> None:
        found = errors_in(
            '{"programs": {"a": {"turns": "x", "class": "slow"}},'
            ' "services": {"b": {"kind": "plain", "floor": -1, "extra": 1,'
            ' "idempotent": [3]}}, "polices": {}}'
        )
        paths = sorted(line.partition(":")[0] for line in found)
        self.assertEqual(
            [
                "$.polices",
                "$.programs.a.class",
                "$.programs.a.service",
                "$.programs.a.turns",
                "$.services.b.extra",
                "$.services.b.floor",
                "$.services.b.idempotent[0]",
            ],
            paths,
        )

    def test_routes_at_one_place_are_found_however_it_is_written(self) -> None:
        # Only one of them would be served.
        share = '"shares": [{"service": "s"}]'
        for host, prefix in (
            ("H.Example", "/a~/"),
            ("h.example.", "/a~/"),
            ("h.example:80", "/a~/"),
            ("h.example", "/%61%7E/"),
        ):
            found = errors_in(
                '{"services": {"s": {"kind": "plain"}}, "routes": {'
                f'"x": {{"host": "h.example", "prefix": "/a~/", {share}}},'
                f'"y": {{"host": "{host}", "prefix": "{prefix}", {share}}}}}}}'
            )
            expected = "$.routes.y: has the same host and prefix as route 'x'."
            self.assertEqual([expected], found, (host, prefix))

    def test_every_reference_error_is_listed(self) -> None:
        found = errors_in(
            '{"programs": {"a": {"service": "none", "tools":'
            ' {"t": {"service": "m"}}}},'
            ' "services": {"m": {"kind": "model", "model": "x",'
            ' "replicas": 1, "floor": 2}},'
            ' "policies": {"default_customer": "nobody"}}'
        )
        paths = [line.partition(":")[0] for line in found]
        self.assertEqual(
            [
                "$.programs.a.service",
                "$.programs.a.tools.t.service",
                "$.services.m.floor",
                "$.policies.default_customer",
            ],
            paths,
        )

    def test_invalid_json_is_reported_as_one_error(self) -> None:
        self.assertEqual(1, len(errors_in('{"programs": ')))

    def test_a_whole_number_is_not_true_or_false(self) -> None:
        text = '{"services": {"b": {"kind": "plain", "fencing": 1}}}'
        self.assertIn("$.services.b.fencing", errors_in(text)[0])


class MovesTest(testtools.TestCase):
    """A service with moves states what planning a move needs."""

    def errors_of(self, service: str) -> list[str]:
        text = '{"services": {"m": {' + service + "}}}"
        return [line.partition(":")[0] for line in errors_in(text)]

    def test_numbers_are_required(self) -> None:
        found = self.errors_of('"kind": "model", "model": "x", "moves": true')
        self.assertEqual(
            [
                "$.services.m.token_bytes",
                "$.services.m.link_mbps",
                "$.services.m.handle_seconds",
            ],
            found,
        )

    def test_plain_service_has_no_moves(self) -> None:
        found = self.errors_of(
            '"kind": "plain", "moves": true, "token_bytes": 1, '
            '"link_mbps": 1, "handle_seconds": 1'
        )
        self.assertEqual(["$.services.m.moves"], found)

    def test_numbers_alone_are_allowed(self) -> None:
        self.assertEqual(
            [], self.errors_of('"kind": "plain", "token_bytes": 1')
        )


class IdempotentTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.service = manifest.Service(
            kind="plain",
            idempotent=["POST /search"],
            non_idempotent=["GET /dispatch", "PUT /parts"],
        )

    def is_idempotent(self, method: str, path: str) -> bool:
        return manifest.is_idempotent(self.service, method, path)

    def test_defaults_follow_the_method(self) -> None:
        self.assertTrue(self.is_idempotent("get", "status"))
        self.assertFalse(self.is_idempotent("POST", "/book"))

    def test_listed_patterns_override_the_method(self) -> None:
        self.assertTrue(self.is_idempotent("POST", "/search/parts?q=1"))
        self.assertFalse(self.is_idempotent("PUT", "/parts/7"))

    def test_prefix_of_an_idempotent_path_ends_at_a_segment(self) -> None:
        self.assertFalse(self.is_idempotent("POST", "/searching"))

    def test_dots_and_escapes_do_not_hide_a_non_idempotent_path(self) -> None:
        """A path that normalizes to a non-idempotent one is not idempotent.

        Otherwise the request would be retried after a lost answer and would
        run twice.
        """
        self.assertFalse(self.is_idempotent("GET", "/status/../dispatch"))
        self.assertFalse(self.is_idempotent("GET", "/%64ispatch"))
        self.assertFalse(self.is_idempotent("GET", "//dispatch"))
        self.assertFalse(self.is_idempotent("POST", "/search/%2e%2e/book"))


class DiffTest(testtools.TestCase):
    def test_only_changed_fields_are_listed(self) -> None:
        before = manifest.parse((EXAMPLES / "bugdesk.json").read_text())
        text = manifest.render(before).replace(
            '"version": "1"', '"version": "2"'
        )
        changes = manifest.diff(before, manifest.parse(text))
        self.assertEqual(
            [("$.services.agent-model.version", "1", "2")],
            [tuple(change) for change in changes],
        )


class SeveralErrorsTest(testtools.TestCase):
    def test_unknown_field_does_not_hide_a_dangling_reference(self) -> None:
        text = """{"colour": 1, "programs": {"a": {"service": "none"}}}"""
        error = self.assertRaises(errors.InvalidManifest, manifest.parse, text)
        self.assertThat(error.detail, matchers.Contains("$.colour"))
        self.assertThat(
            error.detail,
            matchers.Contains("$.programs.a.service"),
        )
