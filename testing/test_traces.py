"""From a request's id to its cause, through lines that may be missing."""

import json

import testtools

from mintcleat.domain import events
from mintcleat.domain import traces
from mintcleat.main import event_page


def line(at: float, number: int, event: str, **fields: object) -> str:
    body = {"at": at, "instance": "e1", "event": event, "n": number, **fields}
    return json.dumps(body)


WHOLE = [
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
    def test_refusal_names_the_failure_before_it(self) -> None:
        found = traces.trace("r1", traces.parse(WHOLE))
        self.assertEqual(4, len(found.steps))
        self.assertIn("outcome_unknown", found.verdict)
        self.assertIn("u1 broke off", found.verdict)
        self.assertTrue(found.certain)
        self.assertEqual([], found.gaps)

    def test_prefixes_and_other_text_are_passed_over(self) -> None:
        texts = ["no line", "{broken", *(f"12.3 host {one}" for one in WHOLE)]
        self.assertEqual(4, len(traces.parse(texts)))

    def test_hole_in_the_numbers_makes_the_verdict_uncertain(self) -> None:
        kept = [WHOLE[0], WHOLE[3]]
        found = traces.trace("r1", traces.parse(kept))
        self.assertFalse(found.certain)
        self.assertIn("2 lines are missing at e1", found.gaps[0])

    def test_request_without_an_end_says_so(self) -> None:
        found = traces.trace("r1", traces.parse(WHOLE[:2]))
        self.assertIn("call_placed at e1", found.verdict)
        self.assertIn("No line tells how it ended.", found.gaps)
        self.assertFalse(found.certain)

    def test_clock_that_went_back_is_told(self) -> None:
        back = line(8.0, 6, "call_placed", request="r1", upstream="u1")
        found = traces.trace("r1", traces.parse([WHOLE[0], back, WHOLE[3]]))
        self.assertTrue(any("went back by 2.00 s" in g for g in found.gaps))

    def test_state_around_is_shown_for_its_upstreams_only(self) -> None:
        around = [
            line(9.0, 3, "upstream_avoided", upstream="u1", service="s"),
            line(9.1, 4, "upstream_avoided", upstream="u2", service="s"),
        ]
        found = traces.trace("r1", traces.parse([*around, *WHOLE]))
        self.assertEqual(["u1"], [a.fields["upstream"] for a in found.around])

    def test_unknown_request_is_told_as_such(self) -> None:
        found = traces.trace("r9", traces.parse(WHOLE))
        self.assertEqual([], found.steps)
        self.assertFalse(found.certain)


class PageTest(testtools.TestCase):
    def test_page_is_what_the_events_say(self) -> None:
        from test_docs import REFERENCE

        self.assertEqual(event_page.page(), (REFERENCE / "logs.md").read_text())

    def test_every_event_of_a_request_names_it(self) -> None:
        for kind in events.KINDS:
            if events.severity_of_kind(kind) != events.STATE:
                self.assertEqual("request", kind._fields[0], kind)
