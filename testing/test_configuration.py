"""The state machine of the config group, tested by its commands."""

from typing import Any

from hypothesis import given
from hypothesis import strategies
import msgspec
import testtools

from mintcleat.configuration import audit
from mintcleat.configuration import commands
from mintcleat.configuration import document
from mintcleat.configuration import machine
from mintcleat.configuration import permits
from mintcleat.configuration import quarantine
from mintcleat.domain import errors


def push(
    expected: int,
    push_id: str,
    changed: dict[str, str] | None = None,
    removed: list[str] | None = None,
) -> commands.Push:
    return commands.Push(
        1,
        expected,
        push_id,
        changed or {},
        removed or [],
        "anna",
        "ip",
        "",
        0.0,
    )


class MachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = machine.ConfigMachine()
        self.index = 0
        self.apply(commands.StartLeaderEpoch("control-0", 0.0))

    def apply(self, command: Any) -> Any:
        self.index += 1
        return self.machine.apply(self.index, commands.encode(command))

    def order(self, model: str, epoch: int = 1) -> int:
        return self.apply(
            commands.PlanOrder(1, "s", "engine", epoch, "load", model, 0.0)
        )

    def test_every_push_is_audited_even_if_refused(self) -> None:
        self.apply(push(0, "a"))
        self.apply(push(0, "b"))
        self.apply(push(0, "a"))
        outcomes = [e.outcome for e in self.machine.trail.after(0, 10)]
        self.assertEqual("accepted as 1", outcomes[0])
        self.assertIn("refused: Revision 1 is in force, not 0", outcomes[1])
        self.assertEqual("resend of 1", outcomes[2])

    def test_conflict_names_the_push_that_took_the_revision(self) -> None:
        for revision, push_id in enumerate(("a", "b", "c")):
            self.apply(push(revision, push_id))
        error = self.apply(push(1, "late"))
        self.assertIsInstance(error, errors.RevisionConflict)
        self.assertIn("won revision 2 with push b", error.detail)

    def test_repeated_order_keeps_its_token_until_it_has_an_outcome(
        self,
    ) -> None:
        """A new leader plans the order that the one before it committed."""
        first = self.order("v2")
        self.assertEqual(first, self.order("v2"))
        self.apply(commands.EndOrder(1, "s", "engine", first, "failed", 0.0))
        self.assertEqual(first + 1, self.order("v2"))
        self.assertEqual(first + 2, self.order("v2", epoch=2))
        self.assertEqual(
            first + 2, self.machine.ledger.highest_fencing_token("engine")
        )

    def test_outcome_of_an_older_order_is_ignored(self) -> None:
        first = self.order("v1")
        self.order("v2")
        self.assertFalse(
            self.apply(commands.EndOrder(1, "s", "engine", first, "done", 0.0))
        )
        self.assertEqual("sent", self.machine.ledger.orders["engine"].outcome)

    def test_restored_snapshot_has_the_whole_state(self) -> None:
        self.apply(push(0, "a", {"policies": "{}"}))
        self.order("v1")
        self.apply(commands.TakePermit(1, "x", 60.0, 2, 5.0))
        self.apply(commands.SetDrain("instance", "e", True, "a", "ip", 6.0))
        self.apply(commands.RecordCrash("c", "u", [b"d"], 60.0, 7.0))
        self.apply(
            commands.SetControlInstance("c1", "addr", "fd", "a", "ip", 8.0)
        )
        self.apply(commands.StartRollout(1, "s", "v2", "v1", 9.0))
        state = self.machine.snapshot()
        other = machine.ConfigMachine()
        other.restore(state)
        self.assertEqual(state, other.snapshot())
        self.assertEqual(1, other.apply(9, commands.encode(push(0, "a")))[0])

    def test_snapshot_of_an_unknown_format_is_refused(self) -> None:
        state = b"\x91\x63"
        self.assertRaises(errors.StorageDamaged, self.machine.restore, state)


class DocumentTest(testtools.TestCase):
    @given(
        strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from("abcde"),
                strategies.sampled_from("123"),
            ),
            min_size=1,
            max_size=8,
        ),
        strategies.data(),
    )
    def test_update_from_any_revision_yields_the_revision_in_force(
        self, wanted: list[dict[str, str]], data: strategies.DataObject
    ) -> None:
        source = document.Document()
        relay = document.Document()
        held = [{}]
        for number, target in enumerate(wanted):
            removed = [key for key in source.sections if key not in target]
            source.push(push(number, str(number), target, removed))
            held.append(dict(source.sections))
            if data.draw(strategies.booleans()):
                relay.apply_update(source.update_since(relay.revision))
        start = data.draw(strategies.integers(0, relay.revision))
        for serving in (source, relay):
            update = serving.update_since(start)
            got = {} if update.whole else dict(held[start])
            got.update(update.sections)
            got = {key: text for key, text in got.items() if text}
            self.assertEqual(held[serving.revision], got)

    def test_node_older_than_the_kept_removals_gets_all_sections(self) -> None:
        """A removal is dropped after `REMOVALS_KEPT` later ones.

        A delta without it would leave the removed section in force at the
        node for good.
        """
        source = document.Document()
        sections = {f"k{n}": "x" for n in range(document.REMOVALS_KEPT + 2)}
        source.push(push(0, "a", sections))
        for number, key in enumerate(list(sections)[:-1], start=1):
            source.push(push(number, str(number), {}, [key]))
        self.assertTrue(source.update_since(1).whole)
        self.assertEqual({"k5001": "x"}, source.update_since(1).sections)

    def test_section_that_cant_be_decoded_is_reported_each_time(self) -> None:
        # Guards against decisions on an old manifest as if it were in force.
        source = document.Document()
        good = '{"kind":"plain"}'
        source.push(push(0, "a", {"services/s": good}))
        source.manifest()
        source.push(push(1, "b", {"services/s": '{"later":1}'}))
        for _ in range(2):
            self.assertRaises(msgspec.ValidationError, source.manifest)
        source.push(push(2, "c", {"services/t": good}))
        self.assertRaises(msgspec.ValidationError, source.manifest)
        source.push(push(3, "d", {"services/s": good}))
        self.assertEqual({"s", "t"}, set(source.manifest().services))

    def test_node_that_is_ahead_keeps_its_revision(self) -> None:
        source = document.Document()
        source.push(push(0, "a", {"a": "1"}))
        update = source.update_since(7)
        self.assertEqual((1, False, {}), tuple(update))


class UpgradeTest(testtools.TestCase):
    """State stored by a release that named the sections differently."""

    stored = {
        "partners/farmers": '{"max_running":0,"share":2.0}',
        "policies": '{"default_partner":"farmers"}',
    }

    def check(self, held: document.Document) -> None:
        policies = held.manifest().policies
        self.assertEqual("farmers", policies.default_customer)
        self.assertEqual(2.0, policies.customers["farmers"].share)

    def test_snapshot_with_earlier_names_is_read(self) -> None:
        held = document.Document()
        changed = dict.fromkeys(self.stored, 7)
        held.load([7, self.stored, changed, {}, 0, {}, 3, ""])
        self.check(held)
        self.assertIn("customers/farmers", held.update_since(6).sections)

    def test_logged_push_with_earlier_names_is_read(self) -> None:
        held = document.Document()
        pushed = commands.PushVersion(0, 3, "a", self.stored, "", "o", "h", 0.0)
        held.push_version(commands.decode(commands.encode(pushed)))
        self.check(held)


class BucketTest(testtools.TestCase):
    def take(self, bucket: permits.Bucket, holder: str, at: float) -> bool:
        return bucket.take(holder, 60.0, 2, at) is True

    def test_clock_that_steps_back_refills_no_interval_twice(self) -> None:
        """The wall clock of a new leader is 10 s behind the old one's."""
        bucket = permits.Bucket()
        taken = [self.take(bucket, f"a{n}", 100.0) for n in range(3)]
        self.assertEqual([True, True, False], taken)
        self.assertFalse(self.take(bucket, "b", 90.0))
        self.assertFalse(self.take(bucket, "c", 100.0))
        self.assertTrue(self.take(bucket, "d", 101.0))

    def test_repeated_request_of_a_holder_takes_one_permit(self) -> None:
        bucket = permits.Bucket()
        self.assertTrue(all(self.take(bucket, "a", 0.0) for _ in range(5)))
        self.assertTrue(self.take(bucket, "b", 0.0))


class QuarantineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = quarantine.Registry()
        self.crashes = 0

    def crash(self, upstream: str, *digests: bytes) -> list[bytes]:
        self.crashes += 1
        return self.registry.record_crash(
            str(self.crashes), upstream, list(digests), 60.0, 0.0
        )

    def test_only_common_suspect_of_two_crashes_is_quarantined(self) -> None:
        """A request crashes each upstream that runs it, among other requests.

        In the first crash it is one of three suspects. In the second it is
        the only suspect in flight, so it is quarantined before it crashes a
        third upstream. The other requests never are.
        """
        self.assertEqual([], self.crash("u1", b"bad", b"x", b"y"))
        self.assertEqual([b"bad"], self.crash("u2", b"bad", b"z"))
        self.assertEqual([], self.crash("u3", b"x", b"w", b"y"))
        self.assertEqual([b"bad"], self.registry.quarantined())

    def test_report_of_a_crash_sent_twice_counts_once(self) -> None:
        for upstream in ("u1", "u2"):
            self.registry.record_crash("same", upstream, [b"bad"], 60.0, 0.0)
        self.assertEqual([], self.registry.quarantined())

    def test_two_crashes_of_one_upstream_quarantine_nothing(self) -> None:
        self.crash("u1", b"x")
        self.assertEqual([], self.crash("u1", b"x"))


class TrailTest(testtools.TestCase):
    def entry(self, at: float) -> audit.Entry:
        return audit.Entry(at, "anna", "ip", "push", "s" * 1000, "ok")

    def test_expired_entry_is_dropped_and_its_number_not_reused(self) -> None:
        trail = audit.Trail()
        trail.add(self.entry(0.0))
        trail.add(self.entry(audit.KEPT_SECONDS + 1))
        found = trail.after(0, 10)
        self.assertEqual([2], [entry.number for entry in found])
        self.assertEqual(audit.SUMMARY_CHARACTERS, len(found[0].subject))

    def test_page_starts_after_the_given_number(self) -> None:
        trail = audit.Trail()
        for _ in range(5):
            trail.add(self.entry(0.0))
        found = trail.after(2, 2)
        self.assertEqual([3, 4], [entry.number for entry in found])
