"""Admission and scheduling of calls at one upstream."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools
from testtools import matchers

from mintcleat.decisions import admission
from mintcleat.decisions import calls
from mintcleat.decisions import queue

OPTIONS = queue.Options(adaptive=False)


def make_call(
    number: int, customer: str = "farms", **more: object
) -> calls.Call:
    name = f"c{number}"
    fields = {"expected_tokens": 100, "new_tokens": 500, **more}
    return calls.Call(name, f"p{number}", f"p{number}", customer, "a", **fields)


def fill(gate: queue.Gate, count: int, customer: str, **more: object) -> None:
    for number in range(count):
        gate.offer(make_call(1000 + number, customer, **more), 0.0)


def outcome(seconds: float = 1.0) -> calls.Outcome:
    return calls.Outcome(seconds, 0.1, 500, 100)


class GateTest(testtools.TestCase):
    def test_starts_a_call_at_once_when_slots_are_free(self) -> None:
        gate = queue.Gate(OPTIONS, 2)
        self.assertEqual(queue.Admit(), gate.offer(make_call(1), 0.0))

    def test_least_attained_program_goes_first(self) -> None:
        gate = queue.Gate(OPTIONS, 1)
        gate.offer(make_call(1), 0.0)
        gate.offer(make_call(2, attained=5000), 0.0)
        gate.offer(make_call(3, attained=50), 0.1)
        gate.finished("c1", 1.0, outcome())
        first = gate.next(1.0)
        assert first is not None
        self.assertEqual("c3", first.call_id)

    def test_a_long_program_is_not_overtaken_for_ever(self) -> None:
        gate = queue.Gate(OPTIONS, 1)
        gate.offer(make_call(1), 0.0)
        gate.offer(make_call(2, attained=10**9), 0.0)
        gate.offer(make_call(3), 31.0)
        gate.finished("c1", 32.0, outcome())
        first = gate.next(32.0)
        assert first is not None
        self.assertEqual("c2", first.call_id)

    def test_refuses_a_call_that_cannot_meet_its_deadline(self) -> None:
        gate = queue.Gate(OPTIONS, 1)
        answer = gate.offer(make_call(1, deadline_at=1.0), 0.0)
        self.assertThat(answer, matchers.IsInstance(admission.Refuse))

    def test_a_burst_leads_to_refusals_of_its_own_customer_only(self) -> None:
        """One customer sends a thousand calls at once.

        Its calls beyond the maximum wait are refused. A later call of another
        customer is queued and starts next.
        """
        gate = queue.Gate(OPTIONS, 4)
        fill(gate, 1000, "burst", expected_tokens=1000)
        last = make_call(1, "burst", expected_tokens=1000)
        refused = gate.offer(last, 0.0)
        self.assertThat(refused, matchers.IsInstance(admission.Refuse))
        queued = gate.offer(make_call(2, "calm"), 0.0)
        self.assertThat(queued, matchers.IsInstance(queue.Queued))
        gate.finished("c1000", 1.0, outcome())
        first = gate.next(1.0)
        assert first is not None
        self.assertEqual("c2", first.call_id)

    def test_a_large_context_is_not_starved(self) -> None:
        """Guards against starvation of a call that needs most of the memory.

        Small calls keep arriving and one of them always runs, so the large
        one never fits. After 30 s they are blocked until it has started.
        """
        gate = queue.Gate(OPTIONS._replace(memory=10_000), 8)
        gate.offer(make_call(0, attained=1, prompt_tokens=2000), 0.0)
        large = make_call(1, attained=1, prompt_tokens=9000, new_tokens=9000)
        gate.offer(large, 0.0)
        started = 0.0
        for number in range(2, 200):
            now = number * 0.5
            small = make_call(number, attained=1, prompt_tokens=2000)
            gate.offer(small, now)
            while (ready := gate.next(now)) is not None:
                started = now if ready.call_id == "c1" else started
            if len(gate.slots.running) > 1 or gate.waiting:
                oldest = next(iter(gate.slots.running))
                gate.finished(oldest, now, outcome())
        self.assertThat(started, matchers.GreaterThan(29.0))
        self.assertThat(started, matchers.LessThan(35.0))

    def test_calls_that_block_their_program_go_first(self) -> None:
        gate = queue.Gate(OPTIONS, 1)
        gate.offer(make_call(1), 0.0)
        gate.offer(make_call(2, gating=False), 0.0)
        gate.offer(make_call(3), 1.0)
        gate.finished("c1", 2.0, outcome())
        first = gate.next(2.0)
        assert first is not None
        self.assertEqual("c3", first.call_id)

    def test_batch_calls_leave_slots_to_interactive_ones(self) -> None:
        gate = queue.Gate(OPTIONS, 8)
        fill(gate, 50, "batch", klass=calls.BATCH)
        while gate.next(0.0) is not None:
            pass
        self.assertEqual(6, len(gate.slots.running))
        answer = gate.offer(make_call(1, "desk"), 0.0)
        gate_starts = isinstance(answer, queue.Admit) or gate.next(0.0)
        self.assertTrue(gate_starts)

    def test_new_options_apply_to_waiting_calls(self) -> None:
        gate = queue.Gate(OPTIONS._replace(max_running={"a": 1}), 4)
        fill(gate, 2, "a")
        self.assertIs(None, gate.next(0.0))
        gate.configure(OPTIONS)
        self.assertIsNot(None, gate.next(0.0))

    def test_calls_that_would_be_late_expire_before_they_start(self) -> None:
        gate = queue.Gate(OPTIONS, 1)
        gate.offer(make_call(1), 0.0)
        gate.offer(make_call(2, deadline_at=20.0), 0.0)
        self.assertEqual([], gate.expire(10.0))
        self.assertEqual(["c2"], [call.call_id for call in gate.expire(19.0)])
        self.assertIs(None, gate.next(19.0))

    def test_suspect_calls_never_run_together(self) -> None:
        gate = queue.Gate(OPTIONS, 4)
        gate.offer(make_call(1, suspect=True), 0.0)
        gate.offer(make_call(2, suspect=True), 0.0)
        self.assertIs(None, gate.next(0.0))
        gate.finished("c1", 1.0, outcome())
        second = gate.next(1.0)
        assert second is not None
        self.assertEqual("c2", second.call_id)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["a", "b", "c"]),
                strategies.sampled_from([calls.INTERACTIVE, calls.BATCH]),
                strategies.integers(0, 20000),
                strategies.booleans(),
                strategies.sampled_from(["offer", "cancel", "end"]),
            ),
            max_size=60,
        )
    )
    def test_no_call_is_lost_or_started_twice(self, steps: list[tuple]) -> None:
        """Each accepted call that is not cancelled starts exactly once.

        Offers, cancellations and ends are drawn in any order; after them all
        calls end one by one.
        """
        gate = queue.Gate(OPTIONS, 3)
        accepted: set[str] = set()
        started: list[str] = []
        cancelled: set[str] = set()
        now = 0.0
        for number, (customer, klass, attained, suspect, step) in enumerate(
            steps
        ):
            now += 0.1
            call = make_call(
                number,
                customer,
                klass=klass,
                attained=attained,
                suspect=suspect,
            )
            answer = gate.offer(call, now)
            if isinstance(answer, queue.Admit):
                started.append(call.call_id)
            if not isinstance(answer, admission.Refuse):
                accepted.add(call.call_id)
            if step == "cancel" and gate.waiting:
                name = min(gate.waiting)
                gate.cancel(name)
                cancelled.add(name)
            if step == "end" and gate.slots.running:
                gate.finished(min(gate.slots.running), now, outcome())
            while (ready := gate.next(now)) is not None:
                started.append(ready.call_id)
        while gate.slots.running:
            now += 1.0
            gate.finished(min(gate.slots.running), now, outcome())
            while (ready := gate.next(now)) is not None:
                started.append(ready.call_id)
        self.assertEqual(sorted(accepted - cancelled), sorted(started))
        self.assertEqual({}, gate.waiting)
