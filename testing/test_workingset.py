"""Working-set admission of programs at one upstream."""

import testtools

from mintcleat.decisions import calls
from mintcleat.decisions import queue
from mintcleat.decisions import slots
from mintcleat.decisions import workingset

OPTIONS = queue.Options(memory=10_000, adaptive=False)


def first_call(number: int, customer: str = "farms") -> calls.Call:
    name = f"p{number}"
    return calls.Call(
        f"c{number}",
        name,
        name,
        customer,
        "agent",
        prompt_tokens=2900,
        new_tokens=100,
        expected_tokens=100,
    )


def three_programs() -> queue.Gate:
    """Returns a gate with two paused programs and a running one."""
    gate = queue.Gate(OPTIONS, 8)
    for number in range(3):
        gate.offer(first_call(number), 0.0)
        gate.first_token(f"c{number}")
    for number in range(2):
        outcome = calls.Outcome(1.0, 0.1, 100, 100)
        gate.finished(f"c{number}", 1.0, outcome)
    return gate


class WorkingSetTest(testtools.TestCase):
    def test_a_new_program_waits_until_another_ends(self) -> None:
        """Three programs fill the memory and two of them pause.

        A fourth one would evict a cache that is needed again within seconds,
        so it starts only when one of the three ends.
        """
        gate = three_programs()
        self.assertIsInstance(gate.offer(first_call(3), 1.0), queue.Queued)
        self.assertIs(None, gate.next(1.0))
        gate.program_left("p0")
        self.assertIsNot(None, gate.next(1.0))

    def test_a_hung_program_frees_its_memory(self) -> None:
        gate = three_programs()
        gate.offer(first_call(3), 1.0)
        gate.expire(1.0 + workingset.ABSENT_SECONDS)
        self.assertIsNot(None, gate.next(1.0 + workingset.ABSENT_SECONDS))

    def test_a_customer_above_its_share_leaves_memory_free(self) -> None:
        gate = queue.Gate(OPTIONS, 8)
        gate.offer(first_call(0, "burst"), 0.0)
        gate.offer(first_call(1, "calm"), 0.0)
        gate.offer(first_call(2, "burst"), 0.0)
        self.assertEqual({"c0", "c1"}, set(gate.slots.running))
        gate.offer(first_call(3, "other"), 0.0)
        ready = gate.next(0.0)
        assert ready is not None
        self.assertEqual("c3", ready.call_id)

    def test_agents_that_mostly_pause_have_a_small_footprint(self) -> None:
        members = workingset.WorkingSet()
        now = 0.0
        for _ in range(200):
            members.enter("p", "agent", "farms", 1000.0)
            members.paused("p", now)
            now += 95.0
            members.resumed("p", 5.0, now)
        members.enter("p", "agent", "farms", 1000.0)
        self.assertTrue(100.0 < members.tokens < 200.0)


class IdleTest(testtools.TestCase):
    def test_idle_upstream_accepts_a_program_beyond_its_memory(self) -> None:
        """Paused programs fill the memory and no call runs.

        Guards against refusing a new program with `deadline_unmet` while the
        engine is idle, because it is predicted to wait for memory.
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
