"""The replicated log of one instance, on its consensus core, disk and streams.

Implements `ports.log.ReplicatedLog`.
"""

from collections.abc import Callable
import itertools
from typing import Any

from eventlet import event

from mintcleat.consensus import lease
from mintcleat.consensus import placement
from mintcleat.consensus import repair
from mintcleat.consensus import replica as replicas
from mintcleat.consensus import replication
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import events as event_ports
from mintcleat.ports import log
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.ports import wal as wal_ports
from mintcleat.roles.control.replication import driver as replication_driver
from mintcleat.roles.control.replication import links as replication_links
from mintcleat.roles.control.replication import proposals
from mintcleat.roles.control.replication import status as replication_status
from mintcleat.roles.control.replication import usage

Member = types.Member
Options = replication_driver.Options

_TRANSFER_POLL_SECONDS = 0.02
_RECOVERY_POLL_SECONDS = 0.002
# An instance counts as live for this many hello intervals after it was last
# heard from.
_LIVE_PERIODS = 5


class GroupLog:
    """All groups of one instance; see `ports.log.ReplicatedLog`.

    Attributes:
        node: The instance's incarnation; its epoch grows with each start.
        members: The instances in the settings, which establish the groups.
        group_names: Names of all groups.
        own: This instance as a member; None to look it up in `members`.
        on_lead: By group, called once for each term in which this replica
            leads it.
        led_terms: By group, the last term for which `on_lead` was called.
        driver: Set by `start`.
        read_tokens: Tokens that match linearizable reads to their answers.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        address: str,
        members: list[types.Member],
        wal: wal_ports.WriteAheadLog,
        groups: list[str],
        *,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        options: replication_driver.Options | None = None,
        worker: wal_ports.DiskWorker | None = None,
        own: types.Member | None = None,
        events: event_ports.EventReporter = event_ports.NULL_EVENT_REPORTER,
    ) -> None:
        self.events = events
        self.node = node
        self.address = address
        self.members = members
        self.wal = wal
        self.group_names = groups
        self.streams = streams
        self.timers = timers
        self.options = options or replication_driver.Options()
        self.worker = worker or wal_ports.InlineWorker(lambda: timers.sleep(0))
        self.own = own
        self.machines: dict[str, log.StateMachine] = {}
        self.on_lead: dict[str, Callable[[], None]] = {}
        self.led_terms: dict[str, int] = {}
        self.driver: replication_driver.Driver | None = None
        self.links: replication_links.Links | None = None
        self.ticker: timer_ports.Subscription | None = None
        self.read_tokens = itertools.count(1)

    def attach(
        self,
        group: str,
        machine: log.StateMachine,
        on_lead: Callable[[], None] | None = None,
    ) -> None:
        """Registers the machine of a group, before `start`."""
        self.machines[group] = machine
        if on_lead is not None:
            self.on_lead[group] = on_lead

    def start(self) -> None:
        """Recovers from disk, then takes part in elections.

        An instance that is the only member of its groups has applied its
        whole log on return.

        Raises:
            errors.StorageDamaged: The disk must be replaced.
            errors.StorageFailed: The disk cannot be used.
        """
        self.links = replication_links.Links(
            self.streams, self.timers, self._receive
        )
        self.driver = replication_driver.Driver(
            self.node,
            self.address,
            self.members,
            self.wal,
            {group: self.machines[group] for group in self.group_names},
            links=self.links,
            timers=self.timers,
            options=self.options,
            worker=self.worker,
            own=self.own,
            events=self.events,
            on_progress=self._notify_leading,
        )
        for _ in range(3):
            self.driver.tick()
            while self.driver.disk.persisting:
                self.timers.sleep(_RECOVERY_POLL_SECONDS)
        period = self.options.core.heartbeat
        self.ticker = self.timers.every(period, self.driver.tick)

    def failure(self) -> errors.MintcleatError | None:
        """Returns why this replica has stopped by itself, if it has."""
        return self.driver.failed if self.driver else None

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        """Commits a command and returns what `apply` returned for it."""
        driver = self._running(group)
        if len(command) > replication_driver.MAX_COMMAND_BYTES:
            raise errors.TooLarge(
                f"A command has {len(command)} bytes; at most "
                f"{replication_driver.MAX_COMMAND_BYTES} are accepted."
            )
        ticket = driver.core.replicas[group].propose(command, self.timers.now())
        if ticket is None:
            raise errors.NotLeader(self._other_leader(group))
        term, index = ticket
        done = event.Event()
        waiter = proposals.Waiter(term, done)
        driver.proposals.waiters[group][index] = waiter
        driver.wake()
        outcome = done.wait(timeout)
        if outcome is None:
            # If this replica has lost the lead and won it again meanwhile,
            # another proposer may wait at this index.
            if driver.proposals.waiters[group].get(index) is waiter:
                del driver.proposals.waiters[group][index]
            raise errors.ProposalLost(
                f"The proposal was not committed within {timeout} s."
            )
        if isinstance(outcome[0], errors.MintcleatError):
            raise outcome[0]
        return outcome[0]

    def barrier(self, group: str, timeout: float) -> None:
        """Returns once the local machine may answer a linearizable read."""
        driver = self._running(group)
        replica = driver.core.replicas[group]
        if self.leads(group) and replica.state.applied >= replica.state.commit:
            return
        token = next(self.read_tokens)
        done = event.Event()
        driver.proposals.readers[token] = done
        replica.read(token, self.timers.now())
        driver.wake()
        ready = done.wait(timeout)
        driver.proposals.readers.pop(token, None)
        if ready is None or not ready.granted:
            raise errors.NotLeader(self._other_leader(group))
        if replica.state.applied < ready.index:
            raise errors.NotLeader("")

    def leader(self, group: str) -> str:
        """Returns the leader's stream address, or an empty string.

        An instance that holds no replica of the group returns the address of
        one that should hold one.
        """
        if self.driver is None or self.driver.failed:
            return ""
        core = self.driver.core
        replica = core.replicas.get(group)
        if replica is None:
            return ""
        leader = core.leader(group, self.timers.now())
        if leader.instance == self.node.instance:
            return self.address
        if leader.instance:
            return core.roster.address(leader.instance)
        if replica.state.configuration.voters:
            return ""
        return self._expected_voter(group)

    def leads(self, group: str) -> bool:
        """Returns whether this replica leads with a valid lease."""
        if self.driver is None or self.driver.failed:
            return False
        replica = self.driver.core.replicas.get(group)
        if replica is None or not replica.holds_lease(self.timers.now()):
            return False
        # The lease starts with the message that commits the leader's first
        # entry, but the machine applies what earlier leaders committed only
        # in the event loop's next turn. A read answered in between would miss
        # acknowledged changes.
        return replica.state.applied >= replica.state.term_start

    def _notify_leading(self) -> None:
        """Calls `on_lead` for the groups that this replica begins to lead.

        It is called after each round of work. Polled by a timer, a new leader
        would start up to 0.1 s later, and all clients wait for it.
        """
        if self.driver is None:
            return
        for group, callback in self.on_lead.items():
            state = self.driver.core.replicas[group].state
            if (
                state.role != types.LEADER
                or self.led_terms.get(group) == state.term
            ):
                continue
            if self.leads(group):
                self.led_terms[group] = state.term
                callback()

    def position(self, group: str) -> log.Position:
        """Returns the replica's position in the log, for operators."""
        if self.driver is None:
            return log.Position(0, 0, 0, 0.0)
        state = self.driver.core.replicas[group].state
        left = max(0.0, lease.left(state, self.timers.now()))
        return log.Position(state.term, state.commit, state.applied, left)

    def holders(self, group: str, index: int) -> list[str]:
        """Returns the voters known to hold an entry on disk.

        Only the leader knows about others; names are `instance@epoch`.
        """
        if self.driver is None:
            return []
        state = self.driver.core.replicas[group].state
        return [
            str(peer.replica)
            for peer in state.configuration.voters
            if replication.match_index(state, peer.replica) >= index
        ]

    def groups(self) -> list[str]:
        """Returns the names of all groups."""
        return list(self.group_names)

    def addresses(self) -> list[str]:
        """Returns the stream addresses of the live instances, sorted."""
        if self.driver is None:
            return []
        roster = self.driver.core.roster
        found = {self.address}
        for name in self.live_instances():
            if name != self.node.instance:
                found.add(roster.address(name))
        return sorted(found)

    def live_instances(self) -> dict[str, str]:
        """Returns the labels of the live instances by name, with its own."""
        if self.driver is None:
            return {}
        roster = self.driver.core.roster
        period = self.options.core.hello
        oldest = self.timers.now() - _LIVE_PERIODS * period
        found = {roster.own.instance: roster.own.label}
        for member in roster.seen_since(oldest):
            found[member.instance] = member.label
        return found

    def evacuate(self, instances: frozenset[str]) -> None:
        """Moves replicas off these instances and places no others there."""
        if self.driver is not None:
            self.driver.core.roster.evacuated = instances

    def transfer_leadership(self, timeout: float) -> None:
        """Transfers every leadership before a planned stop.

        Args:
            timeout: Seconds after which it gives up.
        """
        if self.driver is None or self.driver.failed:
            return
        end = self.timers.now() + timeout
        while self.timers.now() < end:
            leading = [
                replica
                for replica in self.driver.core.replicas.values()
                if replica.state.role == types.LEADER
                and len(replica.state.configuration.voters) > 1
            ]
            if not leading:
                return
            for replica in leading:
                self._transfer(replica)
            self.driver.wake()
            self.timers.sleep(_TRANSFER_POLL_SECONDS)

    def replace(self, group: str, old: str, new: str) -> list[str]:
        """Starts replacing a voter; returns the groups where it started.

        Args:
            group: A group that this instance leads, or empty for all.
            old: Instance whose replica is removed.
            new: Instance that gets the new replica; it may be the same
                instance after its disk was emptied.

        Raises:
            errors.NotLeader: This instance does not lead the group.
            errors.BadRequest: `new` was never heard from, or the change is
                not possible in `group`.
        """
        driver = self._running(group or self.group_names[0])
        observed = driver.core.roster.observed.get(new)
        if observed is None:
            raise errors.BadRequest(
                f"Instance {new} has not contacted this instance yet."
            )
        started = [
            name
            for name in ([group] if group else self.group_names)
            if self._replace(driver.core.replicas[name], old, observed.peer)
        ]
        if group and not started:
            raise errors.BadRequest(
                f"{old} is not a voter of {group}, {new} already is one, or "
                "another change is in progress.",
                remedy="See `mintcleat control status`, then try again.",
            )
        driver.wake()
        return started

    def snapshot(self) -> list[str]:
        """Starts snapshots of all groups; returns those that were started."""
        driver = self._running(self.group_names[0])
        return [name for name in self.group_names if driver.snapshot(name)]

    def resource_usage(self) -> dict[str, int]:
        """Returns the resources that the groups use here; see `usage`."""
        return usage.measure(self.driver) if self.driver else {}

    def status(self) -> list[replication_status.GroupStatus]:
        """Returns the state of every group as this instance sees it."""
        if self.driver is None:
            return []
        return [
            replication_status.of_group(
                self.driver.core.replicas[group],
                self.position(group),
                self.leader(group),
                self.timers.now(),
            )
            for group in self.group_names
        ]

    def leaders(self) -> list[replication_status.GroupLeader]:
        """Returns the leader of every group as this instance sees it."""
        if self.driver is None:
            return []
        replicas_here = self.driver.core.replicas
        return [
            replication_status.leader_of(
                replicas_here[group], self.leader(group)
            )
            for group in self.group_names
        ]

    def stop(self) -> None:
        """Stops replication, and syncs and closes the write-ahead log."""
        if self.ticker is not None:
            self.ticker.cancel()
        if self.links is not None:
            self.links.stop()
        if self.driver is not None and self.driver.failed is None:
            self.driver.stop(errors.Draining("The instance is stopping."))
        self.worker.run(self.wal.close)
        self.worker.close()

    def _receive(self, payload: bytes) -> None:
        if self.driver is not None:
            self.driver.receive(payload)

    def _running(self, group: str) -> replication_driver.Driver:
        driver = self.driver
        if driver is None or driver.failed is not None:
            raise errors.NotLeader("")
        if group not in driver.core.replicas:
            raise errors.BadRequest(f"There is no group {group}.")
        return driver

    def _other_leader(self, group: str) -> str:
        address = self.leader(group)
        return "" if address == self.address else address

    def _expected_voter(self, group: str) -> str:
        """Returns the address of another instance that should be a voter."""
        size = self.options.core.group_size
        for member in placement.voters(group, self.members, size):
            if member.instance != self.node.instance:
                return member.address
        return ""

    def _transfer(self, replica: replicas.Replica) -> None:
        state = replica.state
        if state.transfer_to != types.NO_REPLICA:
            return
        voters = [
            (progress.last_contact, progress.match, follower)
            for follower, progress in state.progress.items()
            if state.configuration.is_voter(follower)
        ]
        if voters:
            replica.transfer(max(voters)[2], self.timers.now())

    def _replace(
        self, replica: replicas.Replica, old: str, successor: types.Peer
    ) -> bool:
        if replica.state.role != types.LEADER:
            return False
        for voter in replica.state.configuration.voters:
            if voter.replica.instance == old:
                return repair.replace(
                    replica.state, voter.replica, successor, self.timers.now()
                )
        return False
