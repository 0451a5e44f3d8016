"""Traces of requests from logs that may lack lines; the page of events."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from mintcleat.domain import events
from mintcleat.domain import program_traces
from mintcleat.domain import traces
from mintcleat.main import cli
from mintcleat.main import event_page


def line(at: float, number: int, event: str, **fields: object) -> str:
    body = {"at": at, "instance": "e1", "event": event, "n": number, **fields}
    return json.dumps(body)


COMPLETE = [
    line(10.0, 5, "call_taken", request="r1", route="a"),
    line(10.1, 6, "call_placed", request="r1", upstream="u1"),
    line(
        10.2, 7, "attempt_failed", request="r1", upstream="u1",
        kind="stream_closed", detail="u1 broke off.",
    ),
    line(
        10.3, 8, "call_refused", request="r1", kind="outcome_unknown",
        outcome="unknown", detail="It may have run.", after_s=0.3,
    ),
]  # fmt: skip


class TraceTest(testtools.TestCase):
    def test_refusal_names_the_preceding_failure(self) -> None:
        found = traces.trace("r1", traces.parse(COMPLETE))
        self.assertEqual(4, len(found.steps))
        self.assertIn("outcome_unknown", found.verdict)
        self.assertIn("u1 broke off", found.verdict)
        self.assertTrue(found.certain)
        self.assertEqual([], found.gaps)

    def test_events_that_were_left_out_are_part_of_the_verdict(self) -> None:
        for outcome in ("whole", "cut"):
            ended = line(
                10.3, 8, "call_ended", request="r1", outcome=outcome,
                repeated=2,
            )  # fmt: skip
            found = traces.trace("r1", traces.parse([*COMPLETE[:3], ended]))
            self.assertIn("2 of its events came twice", found.verdict)

    def test_moves_and_resumes_are_part_of_the_verdict(self) -> None:
        moved = {
            "request": "r1", "upstream": "u1", "destination": "u2",
            "reason": "slow", "tokens": 12,
        }  # fmt: skip
        found = traces.trace(
            "r1",
            traces.parse(
                [
                    line(
                        10.2, 6, "stream_continued", **moved, pause_s=0.0,
                        result="stayed", detail="destination refused",
                    ),
                    line(
                        10.7, 7, "stream_continued", **moved, pause_s=0.04,
                        result="moved", detail="",
                    ),
                    line(
                        11.0, 8, "call_ended", request="r1", outcome="whole",
                        status=200, upstream="u2", total_s=1.0,
                    ),
                ]
            ),
        )  # fmt: skip
        self.assertIn(
            "A move from u1 to u2 (slow) failed as stayed: "
            "destination refused. It was moved from u1 to u2 (slow) after 12 "
            "tokens, with a pause of 0.04 s.",
            found.verdict,
        )

    def test_verdict_tells_how_the_end_was_known_and_that_its_upstream_ended(
        self,
    ) -> None:
        ended = {
            "request": "r1", "outcome": "whole", "status": 200,
            "upstream": "u1", "total_s": 1.0, "framing": "close",
            "end": "closed", "rest": 9,
        }  # fmt: skip
        found = traces.trace(
            "r1",
            traces.parse(
                [
                    line(11.0, 8, "call_ended", **ended),
                    line(11.02, 9, "upstream_crashed", upstream="u1"),
                ]
            ),
        )
        self.assertIn(
            "after 1.0 s, known by the end of the connection alone, with 9 "
            "bytes after the last event.",
            found.verdict,
        )
        self.assertIn("u1 was known to have crashed 0.020 s", found.verdict)

    def test_prefixes_and_other_text_are_skipped(self) -> None:
        texts = [
            "no line",
            "{broken",
            *(f"12.3 host {one}" for one in COMPLETE),
        ]
        self.assertEqual(4, len(traces.parse(texts)))

    def test_gap_in_the_numbers_makes_the_verdict_uncertain(self) -> None:
        kept = [COMPLETE[0], COMPLETE[3]]
        found = traces.trace("r1", traces.parse(kept))
        self.assertFalse(found.certain)
        self.assertIn("2 lines are missing at e1", found.gaps[0])

    def test_missing_end_of_a_request_is_reported(self) -> None:
        found = traces.trace("r1", traces.parse(COMPLETE[:2]))
        self.assertIn("call_placed at e1", found.verdict)
        self.assertIn("No line shows how the request ended.", found.gaps)
        self.assertFalse(found.certain)

    def test_clock_that_went_back_is_reported(self) -> None:
        back = line(8.0, 6, "call_placed", request="r1", upstream="u1")
        found = traces.trace(
            "r1", traces.parse([COMPLETE[0], back, COMPLETE[3]])
        )
        self.assertTrue(any("went back by 2.00 s" in g for g in found.gaps))

    def test_state_is_shown_for_upstreams_of_the_request_only(self) -> None:
        around = [
            line(9.0, 3, "upstream_avoided", upstream="u1", service="s"),
            line(9.1, 4, "upstream_avoided", upstream="u2", service="s"),
        ]
        found = traces.trace("r1", traces.parse([*around, *COMPLETE]))
        self.assertEqual(["u1"], [a.fields["upstream"] for a in found.around])

    def test_response_that_was_not_read_is_told_from_a_disconnect(self) -> None:
        stall = line(
            11.0, 5, "response_stalled", request="r1", reason="no progress"
        )
        gone = line(11.1, 6, "caller_gone", request="r1", after_s=21.0)
        found = traces.trace("r1", traces.parse([COMPLETE[0], stall, gone]))
        self.assertIn("did not read", found.verdict)

    def test_refusal_of_a_crashing_request_names_the_proof(self) -> None:
        found = traces.trace(
            "r2",
            traces.parse(
                [
                    line(
                        9.0, 1, "request_quarantined", digest="d1",
                        request="r1", upstreams=["u1", "u2", "u3"],
                        seconds=3600.0,
                    ),
                    line(10.0, 2, "call_taken", request="r2", digest="d1"),
                    line(
                        10.1, 3, "call_refused", request="r2",
                        kind="quarantined", outcome="not_run",
                    ),
                ]
            ),
        )  # fmt: skip
        self.assertIn("u1, u2, u3", found.verdict)
        self.assertIn("first under r1", found.verdict)

    def test_crash_under_a_request_is_told(self) -> None:
        crash = line(
            10.9, 7, "upstream_crashed", upstream="u1", suspects=["r1"]
        )
        found = traces.trace("r1", traces.parse([*COMPLETE, crash]))
        self.assertIn("u1 crashed while it ran it", found.verdict)

    def test_unknown_request_has_no_steps(self) -> None:
        found = traces.trace("r9", traces.parse(COMPLETE))
        self.assertEqual([], found.steps)
        self.assertFalse(found.certain)


PROGRAM = [
    line(10.0, 1, "call_taken", request="r1", program="p1", route="a"),
    line(10.1, 2, "turn_opened", request="r1", program="p1", commit_s=0.1),
    line(10.1, 3, "call_placed", request="r1", upstream="u1"),
    line(
        10.3, 4, "attempt_failed", request="r1", upstream="u1", after_s=0.2
    ),
    line(10.3, 5, "call_placed", request="r1", upstream="u2"),
    line(
        11.0, 6, "call_ended", request="r1", program="p1", route="a",
        outcome="whole", first_s=0.6, total_s=1.0,
    ),
    line(11.5, 7, "call_taken", request="r2", program="p1", route="t"),
    line(11.8, 8, "call_counted", request="r2", program="p1", commit_s=0.3),
    line(
        12.0, 9, "call_ended", request="r2", program="p1", route="t",
        outcome="whole", first_s=0.5, total_s=0.5,
    ),
    line(
        12.1, 10, "call_refused", request="r3", program="p1", route="a",
        kind="limit_reached", detail="Customer c2 is over.", after_s=0.1,
    ),
    line(12.5, 11, "call_taken", request="r4", program="p1", route="a"),
    line(12.6, 12, "call_taken", request="r5", program="other", route="a"),
]  # fmt: skip


class ProgramTraceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        lines = traces.parse(PROGRAM)
        self.found = program_traces.trace("p1", lines)

    def test_time_of_each_request_is_divided(self) -> None:
        first, second, *_ = self.found.requests
        self.assertAlmostEqual(0.1, first.open)
        self.assertAlmostEqual(0.2, first.retries)
        self.assertAlmostEqual(0.3, first.first)
        self.assertAlmostEqual(0.4, first.answer)
        self.assertAlmostEqual(0.3, second.count)
        self.assertAlmostEqual(0.2, second.first)

    def test_time_until_a_refusal_for_the_limit_is_a_wait_for_it(self) -> None:
        self.assertAlmostEqual(0.1, self.found.requests[2].count)

    def test_time_between_requests_is_told_by_what_preceded(self) -> None:
        self.assertAlmostEqual(0.5, self.found.pauses)
        self.assertAlmostEqual(0.4, self.found.after_refusals)
        self.assertAlmostEqual(2.5, self.found.total)

    def test_refusals_and_missing_ends_are_told(self) -> None:
        self.assertEqual({"limit_reached": 1}, self.found.refusals)
        self.assertEqual(["r4"], [gap.split()[4] for gap in self.found.gaps])
        self.assertIn(
            "Customer c2 is over.", program_traces.verdict(self.found)
        )

    def test_requests_of_other_programs_are_left_out(self) -> None:
        names = [item.request for item in self.found.requests]
        self.assertEqual(["r1", "r2", "r3", "r4"], names)
        self.assertIsNone(program_traces.trace("p9", traces.parse(PROGRAM)))

    def test_command_explains_programs_and_requests(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = pathlib.Path(folder.name) / "log"
        log.write_text("\n".join(PROGRAM))
        for name, words in (
            ("p1", ["program p1", "0.400 s after refusals", "limit_reached"]),
            ("r1", ["request r1", "Answered whole"]),
        ):
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                cli.main(["explain", name, str(log)])
            for word in words:
                self.assertIn(word, out.getvalue())


ADMISSION = {
    "customer": "c1", "service": "lm", "priority": 1, "wait_s": 0.3, "rank": 7,
    "running": 12, "bound": 12, "share": 0.33, "use": 0.41,
}  # fmt: skip
DECISIONS = [
    line(10.0, 1, "call_taken", request="r1", program="p1", route="a"),
    line(10.01, 2, "turn_deferred", request="r1", program="p1", **ADMISSION),
    line(
        10.05, 3, "turn_refused", request="r1", program="p1", **ADMISSION,
        kind="share_exceeded", reason="wait", retry_after_s=1.5,
    ),
    line(
        10.05, 4, "call_refused", request="r1", program="p1", route="a",
        kind="share_exceeded", detail="Over its share.", after_s=0.05,
    ),
    line(11.6, 5, "call_taken", request="r2", program="p1", route="a"),
    line(11.61, 6, "turn_deferred", request="r2", program="p1", **ADMISSION),
    line(
        12.6, 7, "call_ended", request="r2", program="p1", route="a",
        outcome="whole", first_s=0.6, total_s=1.0,
    ),
]  # fmt: skip


class DecisionTest(testtools.TestCase):
    def test_refusal_that_sent_the_caller_away_cost_the_most(self) -> None:
        found = program_traces.trace("p1", traces.parse(DECISIONS))
        self.assertEqual(2, len(found.requests))
        text = program_traces.verdict(found)
        self.assertIn(
            "Decision for request r1: refused as share_exceeded", text
        )
        self.assertIn("use of 0.41 with a share of 0.33", text)

    def test_wait_for_a_grant_is_named_without_a_refusal(self) -> None:
        found = program_traces.trace("p1", traces.parse(DECISIONS[4:]))
        text = program_traces.verdict(found)
        self.assertIn("Decision for request r2: deferred, with 12", text)

    def test_moved_stream_is_named(self) -> None:
        moved = line(
            11.9, 9, "stream_continued", request="r2", upstream="u1",
            destination="u2", reason="slow", result="moved", pause_s=0.03,
        )  # fmt: skip
        lines = [DECISIONS[4], moved, DECISIONS[6]]
        found = program_traces.trace("p1", traces.parse(lines))
        self.assertIn(
            "stream moved from u1 to u2 (slow), with a pause of 0.03 s",
            program_traces.verdict(found),
        )

    def test_program_without_a_decision_has_none(self) -> None:
        found = program_traces.trace("p1", traces.parse(PROGRAM))
        self.assertNotIn("Decision", program_traces.verdict(found))


class PageTest(testtools.TestCase):
    def test_page_matches_the_events(self) -> None:
        from test_docs import REFERENCE

        self.assertEqual(event_page.page(), (REFERENCE / "logs.md").read_text())

    def test_every_event_of_a_request_has_its_id_first(self) -> None:
        for kind in events.KINDS:
            if events.severity_of_kind(kind) != events.STATE:
                self.assertEqual("request", kind._fields[0], kind)
