"""Validation of the registrations of upstreams, which are unauthenticated."""

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies
import testtools

from mintcleat.domain import errors
from mintcleat.domain import member_messages
from mintcleat.domain import registrations
from mintcleat.platform import control_api

VALID = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 1500,
    "sequence": 7,
    "born": 1_764_000_000_123,
}


def read(**changed: Any) -> member_messages.Registration:
    body = {**VALID, **changed}
    return control_api.parse_registration("e1", json.dumps(body).encode())


class HeartbeatTest(testtools.TestCase):
    """An invalid heartbeat must not evict a healthy upstream.

    Applied in part, one with the state `broken` would count as ready, and one
    with an invalid service or address would replace the upstream with the
    same id or address.
    """

    def test_every_field_is_read(self) -> None:
        expected = member_messages.Registration(
            "e1", "desk", "10.0.0.9:8080", "z1", "v1", 4, "ready", 7, 1.5,
            1_764_000_000_123,
        )  # fmt: skip
        self.assertEqual(expected, read(stage="both", models=[]))

    def test_start_is_optional(self) -> None:
        body = {name: v for name, v in VALID.items() if name != "born"}
        found = control_api.parse_registration("e1", json.dumps(body).encode())
        self.assertEqual(("e1", 0), (found.incarnation, found.started))

    def test_wrong_field_is_named(self) -> None:
        wrong = {
            "state": ["broken", "", None, 1, "Ready"],
            "service": ["", None, 7, ["desk"], "x" * 300],
            "address": [
                "", "desk", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0",
                "10.0.0.9:65536", "10.0.0:80", "10.0.0.9:8x", "host:80", 80,
                "10.0.0.9:80\n", "10.0.0.256:80", "10.0.0.9:\u0667",
            ],
            "slots": [0, -1, True, "4", 1.5, None, 10**30],
            "sequence": [-1, True, "7", 1.5, None, 2**63, 10**40],
            "coldRemainingMs": [-1, True, "0", None, 10**12],
            "born": [-1, True, "7", 1.5, None, 2**63],
            "zone": [None, 3],
            "version": [None, 3],
        }  # fmt: skip
        named = {
            "zone": "failure_domain",
            "coldRemainingMs": "cold",
            "born": "started",
        }
        for name, values in wrong.items():
            for value in values:
                error = self.assertRaises(
                    errors.BadRequest, read, **{name: value}
                )
                self.assertIn(named.get(name, name), error.detail)

    def test_missing_field_is_named(self) -> None:
        for name in VALID.keys() - {"born", "coldRemainingMs", "zone"}:
            body = {key: v for key, v in VALID.items() if key != name}
            error = self.assertRaises(
                errors.BadRequest,
                control_api.parse_registration,
                "e1",
                json.dumps(body).encode(),
            )
            self.assertIn(name, error.detail)

    def test_body_that_is_no_registration_is_refused(self) -> None:
        bodies = [
            b"", b"[]", b"null", b"7", b'"x"', b"{", b"\xff\xfe", b"{}",
            b"[" * 100_000, b" " * 4 * 1024 * 1024, b'{"service":"\\ud800"}',
        ]  # fmt: skip
        for body in bodies:
            self.assertRaises(
                errors.BadRequest, control_api.parse_registration, "e1", body
            )

    def test_length_of_the_id_is_limited(self) -> None:
        body = json.dumps(VALID).encode()
        for name in ("", "x" * 300):
            self.assertRaises(
                errors.BadRequest, control_api.parse_registration, name, body
            )

    @given(strategies.binary(max_size=300))
    def test_any_bytes_are_a_registration_or_an_error(
        self, body: bytes
    ) -> None:
        self._read_or_refuse(body)

    @given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(VALID)),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.floats(allow_nan=False, allow_infinity=False)
                | strategies.text(max_size=8)
                | strategies.sampled_from(list(VALID.values())),
                lambda inner: strategies.lists(inner, max_size=2),
                max_leaves=3,
            ),
            max_size=9,
        )
    )
    def test_any_fields_are_a_registration_or_an_error(
        self, changed: dict[str, Any]
    ) -> None:
        self._read_or_refuse(json.dumps({**VALID, **changed}).encode())

    def _read_or_refuse(self, body: bytes) -> None:
        try:
            found = control_api.parse_registration("e1", body)
        except errors.BadRequest:
            return
        self.assertIn(
            found.state, (registrations.READY, registrations.DRAINING)
        )
        self.assertIs(int, type(found.slots))
        self.assertTrue(found.service)


class LeavingTest(testtools.TestCase):
    def test_start_is_optional(self) -> None:
        self.assertEqual(0, control_api.parse_deregistration(b""))
        self.assertEqual(0, control_api.parse_deregistration(b"{}"))
        self.assertEqual(5, control_api.parse_deregistration(b'{"born": 5}'))

    def test_unreadable_body_is_refused(self) -> None:
        for body in (b"{", b"[]", b'{"born": "5"}', b'{"born": true}'):
            self.assertRaises(
                errors.BadRequest, control_api.parse_deregistration, body
            )
