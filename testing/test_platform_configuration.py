"""Conversion of the platform's configuration to a manifest."""

import json
from typing import Any

import testtools

from fakes import platform_system
from mintcleat.domain import manifest
from mintcleat.platform import configuration

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
        text = configuration.to_manifest(json.dumps(fields).encode(), {})
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
