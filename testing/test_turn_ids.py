"""Turns of one id that entries run, over real sockets."""

import eventlet

from fakes import platform_engine
from fakes import platform_system


class SameIdTest(platform_system.HostedTest):
    def setUp(self) -> None:
        super().setUp()
        self.system.add_entry()
        (self.engine,) = self.start_engines(
            ("e1", "lm", platform_engine.stream(2, 0.1))
        )

    def turn(
        self,
        entry: int,
        request: str,
        body: bytes,
        program: str = "p",
        previous: str = "",
    ) -> platform_system.Answer:
        headers = {"X_Previous_Turn": previous} if previous else {}
        return self.system.call(
            "POST",
            "/turns/a",
            body,
            request,
            entry=entry,
            X_Program_Id=program,
            X_Token_Counts="10,9",
            **headers,
        )

    def assert_continued_alike(self) -> None:
        """Checks that each entry continues the same turn."""
        sent = []
        for entry in range(2):
            answer = self.turn(entry, f"t2-{entry}", b"two;", previous="t1")
            self.assertEqual((200, True), (answer.status, answer.whole))
            sent.append(self.engine.received[-1].body)
        self.assertEqual(sent[0], sent[1])

    def test_turns_of_one_id_at_two_entries_at_once_continue_alike(
        self,
    ) -> None:
        calls = [
            eventlet.spawn(self.turn, entry, "t1", body)
            for entry, body in enumerate((b"one;", b"other;"))
        ]
        whole = [call.wait().whole for call in calls]
        self.assert_continued_alike()
        self.assertEqual(1, whole.count(True))

    def test_turns_of_one_id_in_two_programs_continue_alike(self) -> None:
        self.assertTrue(self.turn(0, "t1", b"one;").whole)
        self.turn(1, "t1", b"other;", program="q")
        self.assert_continued_alike()
