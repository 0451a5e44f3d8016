"""Operators' actions on control instances, with a fake log."""

import json
from typing import Any

import testtools

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import operator_messages
from mintcleat.roles.control import actions


class Log:
    """A log that knows one instance that is not in the settings."""

    def addresses(self) -> list[str]:
        return ["a:1", "c:1"]


class Streams:
    """Answers for each address; `c:1` leads, `b:1` is unreachable."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def handle(self, kind: type, handler: Any) -> None:
        """Does nothing; no request arrives in these tests."""

    def ask(self, address: str, message: Any, seconds: float) -> Any:
        self.asked.append(address)
        if address == "b:1":
            raise errors.StreamClosed("gone")
        leads = address == "c:1"
        if isinstance(message, operator_messages.ShowGroups):
            role = "leader" if leads else "follower"
            row = {"group": "config", "role": role, "term": 3}
            return operator_messages.Groups([json.dumps(row)])
        return identities.Done("began 1 groups" if leads else "nothing")


class ControlActionsTest(testtools.TestCase):
    """The leader replaced another instance and is missing from the settings.

    The settings name `a:1` and `b:1`. If only these two were asked, the status
    would show no leader and a replacement would never start.
    """

    def setUp(self) -> None:
        super().setUp()
        self.streams = Streams()
        self.actions = actions.ControlActions(
            "a", Log(), self.streams, ["a:1", "b:1"]
        )

    def test_status_comes_from_a_leader_not_in_the_settings(self) -> None:
        (row,) = self.actions.status()
        self.assertEqual("leader", row["role"])

    def test_replacement_reaches_a_leader_not_in_the_settings(self) -> None:
        found = self.actions.replace("b", "d", "d:1", "hall-a")
        self.assertIn("began", found)

    def test_each_instance_is_asked_once(self) -> None:
        self.actions.snapshot()
        self.assertEqual(["a:1", "b:1", "c:1"], self.streams.asked)
