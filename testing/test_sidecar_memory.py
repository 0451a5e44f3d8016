"""The engine's prefix cache: ledger, renewal and eviction."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from fakes import engine_faults
from fakes import service_rig
from mintcleat.domain import call_messages
from mintcleat.domain import identities
from mintcleat.ports import upstream
from mintcleat.roles.sidecar import ledger as sidecar_ledger
from mintcleat.standins import cache


class ReleaseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = engine_faults.FaultyEngine(engine_faults.slow(0.002))
        self.rig = service_rig.Rig(self.engine)
        self.addCleanup(self.rig.stop)

    def cached_tokens(self) -> int:
        return self.engine.cache.used_tokens

    def assert_cache_becomes_empty(self) -> None:
        self.rig.wait_until(lambda: not self.cached_tokens())
        self.assertEqual({}, dict(self.engine.cache.tokens_by_program))

    def test_closed_program_is_evicted(self) -> None:
        self.rig.call(service_rig.turn())
        self.assertThat(self.cached_tokens(), matchers.GreaterThan(0))
        self.rig.control.open_programs = set()
        self.assert_cache_becomes_empty()

    def test_open_program_is_kept(self) -> None:
        self.rig.control.open_programs = {"p"}
        self.rig.call(service_rig.turn("gone"))
        self.rig.call(service_rig.turn("p"))
        self.rig.wait_until(
            lambda: set(self.engine.cache.tokens_by_program) == {"p"}
        )

    def test_program_of_a_lost_event_is_evicted(self) -> None:
        """The cache holds a program whose events the sidecar did not get.

        This happens after a restart of the sidecar. The gap in the sequence
        numbers makes the ledger unsure, and the listing includes the program.
        """
        self.engine.hidden.add("hidden")
        self.engine.cache.store("hidden", [service_rig.user("x" * 100)])
        self.engine.cache.store("seen", [service_rig.user("y" * 100)])
        self.rig.control.open_programs = set()
        self.assert_cache_becomes_empty()

    def test_program_closed_during_a_turn_is_cancelled_and_evicted(
        self,
    ) -> None:
        """A program is closed while the engine runs its turn.

        The turn is cancelled, since its answer is no longer needed, and the
        program is evicted from the cache.
        """
        long = service_rig.turn(parameters='{"max_tokens":100000}')
        exchange = self.rig.open(long)
        exchange.receive(5.0)
        self.rig.control.open_programs = set()
        self.engine.cache.store("p", long.messages)
        _, end = service_rig.read_rest(exchange)
        self.assertEqual("program_closed", end.failure.kind)
        self.assert_cache_becomes_empty()

    def test_restarted_sidecar_evicts_programs_closed_meanwhile(self) -> None:
        """A sidecar crashes, and programs are closed before it restarts.

        No group knows these programs any more. The new process finds them in
        the engine's listing.
        """
        self.rig.call(service_rig.turn())
        self.rig.sidecar.options = self.rig.sidecar.options._replace(
            release_on_stop=False
        )
        self.rig.sidecar.stop(0.0)
        later = service_rig.Rig(
            self.engine, node=identities.Incarnation("side-1", 2)
        )
        self.addCleanup(later.stop)
        self.assertThat(self.cached_tokens(), matchers.GreaterThan(0))
        later.control.open_programs = set()
        self.assert_cache_becomes_empty()

    def test_planned_stop_evicts_everything(self) -> None:
        self.rig.call(service_rig.turn())
        self.assertEqual(0, self.rig.sidecar.stop(1.0))
        self.assertEqual(0, self.cached_tokens())

    def test_events_of_a_restarted_engine_are_followed_from_its_start(
        self,
    ) -> None:
        self.rig.call(service_rig.turn())
        memory = self.rig.sidecar.cache_manager
        self.rig.wait_until(lambda: memory.ledger.seq)
        self.engine.crash()
        self.engine.restart()
        self.engine.cache.store("q", [service_rig.user("z" * 100)])
        self.rig.wait_until(lambda: set(memory.ledger.tokens) == {"q"})


# Program, tokens, whether the event arrives, whether a batch ends with it. Most
# events arrive and few batches end, so that gaps occur within batches too.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.integers(1, 5),
        strategies.sampled_from([True, True, False]),
        strategies.sampled_from([False, False, False, True]),
    ),
    max_size=8,
)


@hypothesis.given(EVENTS)
def test_ledger_is_right_or_unsure(
    changes: list[tuple[str, int, bool, bool]],
) -> None:
    """Events come late, in batches, and some never.

    Whatever is lost, the ledger either equals the engine's memory or says
    that it is unsure, and a listing then mends it.
    """
    engine: dict[str, int] = {}
    ledger = sidecar_ledger.Ledger()
    ledger.mend(upstream.CacheListing(1, 0, {}))
    pending: list[upstream.CacheEvent] = []
    for seq, (program, tokens, arrives, ends) in enumerate(changes, 1):
        engine[program] = tokens
        if arrives:
            pending.append(upstream.CacheEvent(seq, program, tokens))
        if ends:
            ledger.take(upstream.CacheEvents(1, seq, pending))
            pending = []
    ledger.take(upstream.CacheEvents(1, len(changes), pending))
    if not ledger.unsure:
        assert ledger.tokens == engine
    ledger.mend(upstream.CacheListing(1, len(changes), engine))
    assert ledger.tokens == engine


def test_event_from_before_a_listing_changes_nothing() -> None:
    ledger = sidecar_ledger.Ledger()
    ledger.mend(upstream.CacheListing(1, 5, {}))
    late = upstream.CacheEvent(4, "a", 10)
    ledger.take(upstream.CacheEvents(1, 5, [late]))
    assert ledger.tokens == {}
    assert not ledger.unsure


class PressureTest(testtools.TestCase):
    def test_full_cache_evicts_programs_that_return_last(self) -> None:
        """The programs exceed the engine's cache.

        The sidecar evicts paused programs before the engine, which knows
        nothing of pauses, evicts those that are needed next. An evicted
        program still gets a correct answer.
        """
        options = engine_faults.slow(0.001)._replace(memory_tokens=600)
        engine = engine_faults.FaultyEngine(options)
        rig = service_rig.Rig(engine)
        self.addCleanup(rig.stop)
        text = service_rig.user("x" * 300)
        for number in range(8):
            _, end = rig.call(
                service_rig.turn(f"p{number}", messages=[text + " " * number])
            )
            self.assertIsInstance(end, call_messages.AttemptFinished)
        memory = rig.sidecar.cache_manager
        self.assertThat(memory.ledger.total(), matchers.LessThan(541))
        self.assertThat(engine.cache.used_tokens, matchers.LessThan(601))

    def test_truncated_prefix_keeps_its_beginning(self) -> None:
        blocks = cache.PrefixCache(1000)
        said = [service_rig.user(f"{n}" * 100) for n in range(4)]
        blocks.store("p", said)
        one = cache.count_tokens(said[0])
        blocks.truncate("p", 2 * one)
        self.assertEqual(2 * one, blocks.cached_tokens(said))
        self.assertEqual(2 * one, blocks.used_tokens)
