"""Random histories of pushes and faults, checked against what must hold."""

import random

from testing.fakes import config_links
import testtools

from mintcleat.configuration import lease
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.roles import follower

SEEDS = 25
STEPS = 60
# Within which a key that was taken away must have stopped working, from the
# acceptance of the push on.
KEY_BOUND = 6.0
KEY_GRACE = KEY_BOUND - lease.MAX_LEASE


class History:
    """A cluster under random pushes, cuts, elections and restarts.

    Attributes:
        accepted_at: When each revision was accepted, by the test's clock.
        outcome: Revision by push id, as operators were told.
        highest: Highest revision that each node name ever applied.
        faults: What did not hold.
    """

    def __init__(self, seed: int, key_grace: float = KEY_GRACE) -> None:
        self.key_grace = key_grace
        self.chance = random.Random(seed)
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
        """Starts a node that takes keys for a while after its lease."""
        node = self.cluster.node(name, epoch)
        node.times = node.times._replace(key_grace=self.key_grace)
        return node

    def note_revisions(self) -> None:
        """Notes new revisions with the present time."""
        newest = max(
            service.machine.document.revision
            for service in self.cluster.control
        )
        for revision in range(1, newest + 1):
            self.accepted_at.setdefault(revision, self.timers.now())

    def run(self) -> None:
        """Takes random steps, then heals everything and waits."""
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
            self.chance.choice(steps)()
            self.timers.advance(self.chance.choice((0.05, 0.3, 1.0, 3.0)))
        self.heal()
        self.timers.advance(15.0)

    def push(self) -> None:
        """An operator pushes over the revision in force, or an older one."""
        newest = max(self.accepted_at, default=0)
        expected = max(0, newest - self.chance.choice((0, 0, 1)))
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
        """An operator who may have lost the answer sends again."""
        if self.pushes:
            self.send(self.chance.choice(self.pushes))

    def send(self, request: config_messages.PushManifest) -> None:
        """Sends through any control instance and checks the answer."""
        service = self.chance.choice(self.cluster.control)
        try:
            answer = service.ask(request)
        except errors.RevisionConflict:
            if request.push_id in self.outcome:
                self.faults.append(f"{request.push_id} lost after it won")
            return
        except errors.MintcleatError:
            return
        known = self.outcome.setdefault(request.push_id, answer.revision)
        if known != answer.revision:
            self.faults.append(f"{request.push_id} got two revisions")
        if answer.revision != request.expected + 1:
            self.faults.append(f"{request.push_id} won a foreign revision")

    def lose_answer(self) -> None:
        """The next commit happens, and its proposer does not hear of it."""
        self.cluster.log.lose_next = 1

    def cut(self) -> None:
        """Cuts a control instance off, with or without some nodes."""
        name = self.chance.choice(self.cluster.control).address
        cut_off = {name}
        for node in self.live.values():
            if self.chance.random() < 0.3:
                cut_off.add(node.own_address)
        self.cluster.network.cut_off = cut_off
        self.cluster.log.lag = {name}
        if self.cluster.log.leader == name:
            self.elect()

    def heal(self) -> None:
        """Joins everything again."""
        self.cluster.network.cut_off = set()
        self.cluster.log.heal()

    def elect(self) -> None:
        """Moves the lead to an instance that is not cut off."""
        able = [
            service.address
            for service in self.cluster.control
            if service.address not in self.cluster.log.lag
        ]
        self.cluster.log.elect(self.chance.choice(able))

    def restart(self) -> None:
        """Restarts a node, which forgets its revision."""
        name = self.chance.choice(sorted(self.live))
        old = self.live[name]
        old.stop()
        old.stream.stop()
        epoch = old.node.epoch + 1
        self.live[name] = self.node(name, epoch)
        if old.own_address in self.cluster.network.cut_off:
            self.cluster.network.cut_off.add(self.live[name].own_address)

    def check(self) -> None:
        """Checks every node at one moment."""
        now = self.timers.now()
        for name, node in self.live.items():
            revision = node.revision()
            if revision and revision < self.highest.get(name, 0):
                self.faults.append(f"{name} went back to {revision}")
            self.highest[name] = max(revision, self.highest.get(name, 0))
            newer = self.accepted_at.get(revision + 1)
            if not revision or newer is None:
                continue
            self.check_keys(name, node, newer)
            if not node.has_lease():
                continue
            if now > newer + lease.MAX_LEASE + config_links.STEP:
                late = now - newer
                self.faults.append(f"{name} acts on {revision}, {late} s late")

    def check_keys(
        self, name: str, node: follower.Follower, newer: float
    ) -> None:
        """Checks a node that lacks the revision accepted at `newer`."""
        late = self.timers.now() - newer
        if node.key_seconds() > 0 and late > KEY_BOUND + config_links.STEP:
            self.faults.append(f"{name} takes an old key {late} s late")
        if node.known_until() > newer:
            self.faults.append(f"{name} would call a key of then unknown")


class HistoryTest(testtools.TestCase):
    def test_accepted_manifest_is_in_force_in_time_and_never_reverts(
        self,
    ) -> None:
        """Operators race and resend; instances are cut off; nodes restart.

        At each moment: no node acts on a revision that was replaced more
        than 4 s ago, none goes back, also over a restart; no node takes a key
        that was taken away 6 s ago, or is sure that a key is unknown which it
        has not heard of; and each push has one outcome, whoever is asked. In
        the end all nodes have the newest.
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
        # The walk must not have been idle.
        self.assertTrue(accepted > SEEDS * 3, accepted)

    def test_keys_that_outlive_the_bound_are_found(self) -> None:
        """The same walk, with nodes that take keys for a second too long."""
        found = []
        for seed in range(SEEDS):
            history = History(seed, KEY_GRACE + 1.0)
            history.run()
            found.extend(history.faults)
        self.assertTrue(any("takes an old key" in fault for fault in found))
