"""Random histories of pushes and faults, checked against invariants."""

import random

from testing.fakes import config_links
import testtools

from mintcleat.configuration import lease
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.roles import follower

SEEDS = 25
STEPS = 60
# Seconds after the accepted push within which a removed customer key must stop
# working everywhere.
KEY_BOUND = 6.0
KEY_GRACE = KEY_BOUND - lease.MAX_LEASE_SECONDS


class History:
    """A cluster under random pushes, partitions, elections and restarts.

    Attributes:
        key_grace: Seconds for which nodes accept keys after their lease.
        rng: Source of all random choices.
        accepted_at: Virtual time at which each revision was accepted.
        outcome: Revision by push id, as answered to operators.
        pushes: All pushes that were sent.
        highest: Highest revision that was applied by each node name.
        faults: Violated invariants.
        live: The running nodes by name.
    """

    def __init__(self, seed: int, key_grace: float = KEY_GRACE) -> None:
        self.key_grace = key_grace
        self.rng = random.Random(seed)
        self.cluster = config_links.Cluster(3)
        self.timers = self.cluster.timers
        self.accepted_at: dict[int, float] = {}
        self.outcome: dict[str, int] = {}
        self.pushes: list[config_messages.PushManifest] = []
        self.highest: dict[str, int] = {}
        self.faults: list[str] = []
        self.live = {f"node-{n}": self.node(f"node-{n}") for n in range(5)}
        for service in self.cluster.control:
            service.machine.subscribers.append(self.note_revisions)
        self.timers.every(config_links.STEP, self.check)

    def node(self, name: str, epoch: int = 1) -> follower.Follower:
        """Starts a node that accepts keys for `key_grace` after its lease."""
        node = self.cluster.node(name, epoch)
        node.times = node.times._replace(key_grace=self.key_grace)
        return node

    def note_revisions(self) -> None:
        """Records the present time for new revisions."""
        newest = max(
            service.machine.document.revision
            for service in self.cluster.control
        )
        for revision in range(1, newest + 1):
            self.accepted_at.setdefault(revision, self.timers.now())

    def run(self) -> None:
        """Runs random steps, then heals all faults and waits."""
        steps = (
            self.push,
            self.push,
            self.push,
            self.resend,
            self.lose_answer,
            self.cut,
            self.heal,
            self.elect,
            self.restart,
        )
        for _ in range(STEPS):
            self.rng.choice(steps)()
            self.timers.advance(self.rng.choice((0.05, 0.3, 1.0, 3.0)))
        self.heal()
        self.timers.advance(15.0)

    def push(self) -> None:
        """Pushes a manifest based on the revision in force, or one earlier."""
        newest = max(self.accepted_at, default=0)
        expected = max(0, newest - self.rng.choice((0, 0, 1)))
        number = len(self.pushes)
        request = config_messages.PushManifest(
            expected,
            f"push-{number}",
            config_links.manifest_text(str(number)),
            f"operator-{number}",
            "test",
        )
        self.pushes.append(request)
        self.send(request)

    def resend(self) -> None:
        """Sends a former push again, as after a lost answer."""
        if self.pushes:
            self.send(self.rng.choice(self.pushes))

    def send(self, request: config_messages.PushManifest) -> None:
        """Sends through any control instance and checks the answer."""
        service = self.rng.choice(self.cluster.control)
        try:
            answer = service.ask(request)
        except errors.RevisionConflict:
            if request.push_id in self.outcome:
                self.faults.append(
                    f"{request.push_id} was refused after it was accepted"
                )
            return
        except errors.MintcleatError:
            return
        known = self.outcome.setdefault(request.push_id, answer.revision)
        if known != answer.revision:
            self.faults.append(f"{request.push_id} has two revisions")
        if answer.revision != request.expected + 1:
            self.faults.append(
                f"{request.push_id} was accepted as an unexpected revision"
            )

    def lose_answer(self) -> None:
        """Loses the answer to the next proposal, which is committed."""
        self.cluster.log.lose_next = 1

    def cut(self) -> None:
        """Partitions off a control instance, possibly with some nodes."""
        name = self.rng.choice(self.cluster.control).address
        cut_off = {name}
        for node in self.live.values():
            if self.rng.random() < 0.3:
                cut_off.add(node.own_address)
        self.cluster.network.cut_off = cut_off
        self.cluster.log.lag = {name}
        if self.cluster.log.leader == name:
            self.elect()

    def heal(self) -> None:
        """Ends all partitions and lags."""
        self.cluster.network.cut_off = set()
        self.cluster.log.heal()

    def elect(self) -> None:
        """Elects an instance that isn't partitioned off."""
        able = [
            service.address
            for service in self.cluster.control
            if service.address not in self.cluster.log.lag
        ]
        self.cluster.log.elect(self.rng.choice(able))

    def restart(self) -> None:
        """Restarts a node, which loses its revision."""
        name = self.rng.choice(sorted(self.live))
        old = self.live[name]
        old.stop()
        old.stream.stop()
        epoch = old.node.epoch + 1
        self.live[name] = self.node(name, epoch)
        if old.own_address in self.cluster.network.cut_off:
            self.cluster.network.cut_off.add(self.live[name].own_address)

    def check(self) -> None:
        """Checks the invariants of all nodes now."""
        now = self.timers.now()
        for name, node in self.live.items():
            revision = node.revision()
            if revision and revision < self.highest.get(name, 0):
                self.faults.append(f"{name} went back to revision {revision}")
            self.highest[name] = max(revision, self.highest.get(name, 0))
            newer = self.accepted_at.get(revision + 1)
            if not revision or newer is None:
                continue
            self.check_keys(name, node, newer)
            if not node.has_lease():
                continue
            if now > newer + lease.MAX_LEASE_SECONDS + config_links.STEP:
                late = now - newer
                self.faults.append(
                    f"{name} acts on revision {revision} {late} s after the "
                    "next one was accepted"
                )

    def check_keys(
        self, name: str, node: follower.Follower, newer: float
    ) -> None:
        """Checks a node that lacks the revision accepted at `newer`."""
        late = self.timers.now() - newer
        if node.key_seconds() > 0 and late > KEY_BOUND + config_links.STEP:
            self.faults.append(f"{name} accepts an old key after {late} s")
        if node.known_until() > newer:
            self.faults.append(f"{name} would reject a new key as unknown")


class HistoryTest(testtools.TestCase):
    def test_accepted_manifest_is_in_force_in_time_and_never_reverts(
        self,
    ) -> None:
        """Operators race and resend; instances are partitioned; nodes restart.

        At any time, no node acts on a revision that was replaced more than
        4 s ago or goes back to an earlier one, not even in a restart. No node
        accepts a key that was removed more than 6 s ago, or considers a key
        unknown while it may have missed the push that added it. Each push has
        one outcome, whichever instance is asked. In the end all nodes have
        the newest revision.
        """
        accepted = 0
        for seed in range(SEEDS):
            history = History(seed)
            history.run()
            self.assertEqual([], history.faults, f"seed {seed}")
            newest = max(history.accepted_at)
            held = {node.revision() for node in history.live.values()}
            self.assertEqual({newest}, held, f"seed {seed}")
            for node in history.live.values():
                self.assertTrue(node.has_lease(), f"seed {seed}")
            accepted += newest
        # Too few accepted pushes would make the test meaningless.
        self.assertTrue(accepted > SEEDS * 3, accepted)

    def test_checker_finds_keys_that_are_accepted_for_too_long(self) -> None:
        """The same histories with a grace that is 1 s too long."""
        found = []
        for seed in range(SEEDS):
            history = History(seed, KEY_GRACE + 1.0)
            history.run()
            found.extend(history.faults)
        self.assertTrue(any("accepts an old key" in fault for fault in found))
