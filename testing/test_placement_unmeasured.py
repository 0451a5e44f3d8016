"""Placement on upstreams whose speed has not been measured yet."""

import testtools
from testtools import matchers

from mintcleat.decisions import calls
from mintcleat.decisions import placement
from mintcleat.domain import call_messages
from mintcleat.domain import identities


def report(name: str, token_time: float) -> call_messages.LoadReport:
    return call_messages.LoadReport(
        identities.Incarnation(name, 1),
        counter=1,
        running=0,
        queued=0,
        limit=8,
        wait=0.0,
        token_time=token_time,
        prefill_rate=0.0,
        free_memory=0,
        state="ready",
    )


class UnmeasuredTest(testtools.TestCase):
    def test_unmeasured_upstream_gets_its_share_of_the_calls(self) -> None:
        """Two engines are equally fast, but only one is measured.

        Guards against a default for the other one, such as 30 ms per token
        against a measured 1 ms: it looks slow, gets no calls and is never
        measured, and one engine takes the whole load.
        """
        fleet = placement.Fleet()
        fleet.watch(["known", "fresh"])
        fleet.report(report("known", 0.001), 0.0)
        fleet.report(report("fresh", 0.0), 0.0)
        chosen = [
            placement.choose(
                fleet,
                calls.Call(f"c{number}", "", "", "p", "", expected_tokens=8),
                None,
                placement.Weights(),
                float(number),
            ).name
            for number in range(200)
        ]
        self.assertThat(chosen.count("fresh"), matchers.GreaterThan(50))
