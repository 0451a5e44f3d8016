"""Answers of sidecars of earlier releases, at an entry."""

import testtools

from fakes import path_rig
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import requests
from mintcleat.ports import upstream

_PROGRAM = "p1"
_INVALID = (0, 99, 199, 600, 999)


class StatusTest(testtools.TestCase):
    """Sidecars of earlier releases pass on any status of their service."""

    def setUp(self) -> None:
        super().setUp()
        self.rig = path_rig.Rig(1)
        self.addCleanup(self.rig.stop)
        self.rig.faults.active = False
        self.entry = self.rig.entries[0]
        self.entry.create_program(
            requests.NewProgram(_PROGRAM, "", "", "", "", identities.Budget())
        )

    def answer_with(self, status: int) -> None:
        """Makes all sidecars of the service pass on and record a status."""
        reply = upstream.Reply(status, [], b"x")
        for side in self.rig.directory.sidecars:
            if side.service == "desk":
                side.adapter.send = lambda *_: reply

    def send(self, method: str, key: str) -> requests.ServiceAnswer:
        return self.entry.service(
            requests.ServiceCall(
                request="",
                program=_PROGRAM,
                customer="",
                service="desk",
                key=key,
                method=method,
                path=f"/book/{_PROGRAM}",
                headers=[],
                body=b"",
                deadline=5.0,
            )
        )

    def test_invalid_status_of_an_action_is_no_answer(self) -> None:
        for status in _INVALID:
            self.answer_with(status)
            # The second time it is the recorded answer.
            for _ in range(2):
                self.assertRaises(
                    errors.OutcomeUnknown, self.send, "POST", f"k{status}"
                )
        self.answer_with(404)
        self.assertEqual(404, self.send("POST", "k404").status)
        self.assertTrue(self.send("POST", "k404").replayed)

    def test_invalid_status_of_a_repeatable_call_is_no_answer(self) -> None:
        for status in _INVALID:
            self.answer_with(status)
            self.assertRaises(
                errors.OutcomeUnknown, self.send, "GET", f"k{status}"
            )
        self.answer_with(599)
        self.assertEqual(599, self.send("GET", "k599").status)
