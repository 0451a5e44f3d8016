"""How many programs may be under way at one upstream."""

import testtools

from mintcleat.decisions import calls
from mintcleat.decisions import queue
from mintcleat.decisions import slots


class IdleTest(testtools.TestCase):
    def test_idle_upstream_takes_a_newcomer_over_its_memory(self) -> None:
        """Programs that pause fill the memory and no call runs.

        A newcomer was refused as too late while the engine stood idle.
        """
        gate = queue.Gate(slots.Options(memory=100), capacity=4)
        for number in range(3):
            call = calls.Call(
                f"c{number}", f"p{number}", f"p{number}", "a", "agent",
                prompt_tokens=60, new_tokens=60, deadline_at=1_700.0,
            )  # fmt: skip
            self.assertEqual(queue.Admit(), gate.offer(call, 1_600.0))
            done = calls.Outcome(seconds=0.1, generated=1)
            gate.finished(call.call_id, 1_600.1, done)
