"""Tests settings files: all errors are reported, with field and remedy."""

import pathlib
import tempfile

import testtools
from testtools import matchers

from mintcleat.adapters import settings
from mintcleat.domain import errors

GOOD = """{
  // A comment, as operators write them.
  "instance": "entry-1", "failure_domain": "bauska",
  "listen": "127.0.0.1:0", "roles": ["entry"],
  "control": ["127.0.0.1:7001"], "entry": {"http": "127.0.0.1:0"},
}"""


class SettingsTest(testtools.TestCase):
    def load(self, text: str) -> settings.Settings:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "settings.json")
        path.write_text(text)
        return settings.load(path)

    def load_errors(self, text: str) -> list[str]:
        group = self.assertRaises(ExceptionGroup, self.load, text)
        for error in group.exceptions:
            self.assertIsInstance(error, errors.InvalidSettings)
            self.assertNotEqual("", error.remedy)
        return [error.detail for error in group.exceptions]

    def test_comments_and_trailing_commas_are_allowed(self) -> None:
        loaded = self.load(GOOD)
        self.assertEqual("127.0.0.1:0", loaded.entry.http)

    def test_all_errors_are_reported_at_once(self) -> None:
        found = self.load_errors(
            '{"instance": 3, "failure_domain": "a", "listen": "here",'
            ' "roles": ["cook"], "control": [], "colour": 1}'
        )
        self.assertThat(found, matchers.HasLength(4))
        for path in ("instance", "listen", "roles[0]", "colour"):
            self.assertThat(
                [line.split(":")[0] for line in found],
                matchers.Contains(path),
            )

    def test_a_role_needs_its_section(self) -> None:
        found = self.load_errors(
            GOOD.replace('["entry"]', '["entry", "sidecar"]')
        )
        self.assertEqual(["sidecar: is missing for the role sidecar."], found)

    def test_invalid_json_is_one_error(self) -> None:
        self.assertThat(self.load_errors("{"), matchers.HasLength(1))
