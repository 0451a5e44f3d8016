"""Placement on upstreams whose speed nobody has measured yet."""

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
    def test_unmeasured_upstream_gets_its_part_of_the_calls(self) -> None:
        """Two engines are alike and one has answered a call already.

        The other was counted at a usual 30 ms a token against 1 ms, looked
        slow, got no call, and so was never measured: one engine of two took
        all the load of a running system.
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
