"""The config group on one control instance.

The leader decides; the others relay its configuration and leases to the
nodes, and pass operators' requests on to it.
"""

from typing import Any

from loguru import logger

from mintcleat.configuration import commands
from mintcleat.configuration import directory
from mintcleat.configuration import document
from mintcleat.configuration import lease
from mintcleat.configuration import machine
from mintcleat.configuration import members
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import operator_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import log as log_ports
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import feed as config_feed
from mintcleat.roles.control.configuration import membership
from mintcleat.roles.control.configuration import registrar
from mintcleat.roles.control.configuration import relay as config_relay
from mintcleat.roles.control.configuration import requests as config_requests
from mintcleat.roles.control.replication import evacuation

PROPOSE_SECONDS = 5.0
# A push may wait MAX_LEASE for leases of an earlier leader to end. A leader
# that is cut off silently never answers; then the next one is asked.
TRY_MARGIN = 1.0
ASK_SECONDS = 3 * (lease.MAX_LEASE + TRY_MARGIN)
RETRY_PAUSE = 0.1
# How often a change of leadership is looked for. A leader that lost its lease
# stops granting at once; this only bounds how soon a new one starts.
TICK = 0.1
# Restrictions and members change far less often than this under one epoch.
LEADER_EPOCH_STEP = 10**9


class ConfigService:
    """Serves nodes and operators; a `config_feed.Source`.

    Attributes:
        machine: This instance's replica of the config group.
        leader_epoch: The epoch in which this instance leads; 0 for none.
        old_leases_end_at: Clock from which a push may be accepted here.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        failure_domain: str,
        address: str,
        *,
        log: log_ports.ReplicatedLog,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        replica: machine.ConfigMachine | None = None,
        times: lease.Times = lease.DEFAULT,
        events: event_ports.EventReporter = event_ports.NULL_EVENT_REPORTER,
    ) -> None:
        self.times = times
        self.events = events
        self.told_members: list[str] = []
        self.members_changes = 0
        self.node = node
        self.failure_domain = failure_domain
        self.address = address
        self.log = log
        self.streams = streams
        self.timers = timers
        self.machine = replica or machine.ConfigMachine()
        self.membership = membership.Membership(timers)
        self.table: members.Table = self.membership.table
        self.leader_epoch = 0
        self.old_leases_end_at = float("inf")
        self.starting_leader_epoch = False
        self.subscriptions: list[timer_ports.Subscription] = []
        self.served = (0, 0, 0)
        self.feed = config_feed.Feed(node.instance, self, timers, times)
        self.relay = config_relay.Relay(
            config_messages.FollowConfiguration(
                node, config_feed.CONTROL, failure_domain, address, 0
            ),
            self.machine,
            self.table,
            find_leader=lambda: log.leader(machine.GROUP),
            streams=streams,
            timers=timers,
            on_change=self.feed.wake_all,
            times=times,
        )
        self.dated = 0.0
        self.dated_at = 0.0
        self.registrar = registrar.Registrar(self)
        self.evacuation = evacuation.Evacuation(log, streams)
        self.requests = config_requests.Requests(self)
        log.attach(machine.GROUP, self.machine, self._tick)
        self.machine.subscribers.append(self._on_applied)

    def start(self) -> None:
        """Serves streams; the log must have been started."""
        for kind in config_requests.KINDS:
            self.streams.handle(kind, self._serve_request)
        self.streams.handle(
            config_messages.FollowConfiguration, self.feed.serve
        )
        self.streams.handle(operator_messages.ShowNodes, self._serve_nodes)
        self.streams.handle(config_messages.Ping, self._serve_ping)
        self.subscriptions = [
            self.timers.every(TICK, self._tick),
            self.timers.every(membership.COALESCE, self._tick_members),
        ]
        self.relay.stream.start()

    def stop(self) -> None:
        """Stops relaying; streams end with the process's listener."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.relay.stream.stop()

    def leads(self) -> bool:
        """Tells whether this instance may decide and grant leases now."""
        return (
            self.leader_epoch > 0
            and self.machine.leader_epoch.number == self.leader_epoch
            and self.log.leads(machine.GROUP)
        )

    def steady_time(self) -> float:
        """Returns seconds since 1970, going on from the epoch's start.

        Expiry, pauses and permits of the group's state are counted with it.
        With a time of day that jumps by minutes, a quarantine would end early
        or an order that is being carried out would count as stuck.
        """
        return self.dated + self.timers.now() - self.dated_at

    def ask(self, message: Any, timeout: float = ASK_SECONDS) -> Any:
        """Answers an operator's request, here or at the leader.

        Every such request is safe to repeat, so it is tried until a leader
        answers.

        Raises:
            errors.ControlUnavailable: No leader could be asked.
            errors.OutcomeUnknown: A leader was asked and did not answer.
        """
        deadline = self.timers.now() + timeout
        asked = False
        while self.timers.now() < deadline:
            try:
                if self.leads():
                    asked = True
                    return self.requests.answer(message)
                leader = self.log.leader(machine.GROUP)
                if leader and leader != self.address:
                    left = deadline - self.timers.now()
                    longest = self.times.max_lease + TRY_MARGIN
                    return self.streams.ask(leader, message, min(left, longest))
            except errors.NotLeader:
                pass
            except errors.ProposalLost:
                asked = True
            except (errors.StreamClosed, errors.StreamTimeout) as error:
                asked = asked or error.outcome != errors.NOT_RUN
            self.timers.sleep(RETRY_PAUSE)
        if asked:
            raise errors.OutcomeUnknown(
                "The config leader was asked and gave no answer.",
                remedy="Send the same request again; it takes effect once.",
            )
        raise errors.ControlUnavailable("No config leader could be asked.")

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""
        return self.log.propose(
            machine.GROUP, commands.encode(command), PROPOSE_SECONDS
        )

    # --- config_feed.Source ---

    def document(self) -> document.Document:
        """Returns the document to serve."""
        return self.machine.document if self.leads() else self.relay.document

    def lease_left(self) -> float:
        """Returns the seconds for which a lease may be granted."""
        return self.times.max_lease if self.leads() else self.relay.lease_left()

    def confirmed_at(self) -> float:
        """Returns a clock at which the document surely was in force."""
        return self.timers.now() if self.leads() else self.relay.lease.echo

    def confirm(self) -> None:
        """Asks the leader now, for a node that waits."""
        if not self.leads():
            self.relay.stream.report()

    def restrictions(self) -> config_messages.Restrictions:
        """Returns what operators and crashes forbid."""
        if not self.leads():
            return self.relay.restrictions
        state = self.machine
        listed = {member.address for member in state.control_instances.values()}
        return config_messages.Restrictions(
            self.leader_epoch * LEADER_EPOCH_STEP
            + state.restrictions_version
            + self.members_changes,
            sorted(state.drains),
            state.quarantine.quarantined(),
            state.quarantine.suspects(),
            sorted(listed.union(self.told_members)),
        )

    def directory(self) -> directory.Directory:
        """Returns the upstreams that registered themselves."""
        if self.leads():
            return self.machine.directory
        return self.relay.directory

    def serves_control(self) -> bool:
        """Tells whether other control instances may follow this one."""
        return self.leads()

    # --- Leadership ---

    def _tick(self) -> None:
        leads = self.log.leads(machine.GROUP)
        holds = (
            self.leader_epoch
            and self.machine.leader_epoch.number == self.leader_epoch
        )
        if leads and not holds and not self.starting_leader_epoch:
            self.starting_leader_epoch = True
            self.timers.spawn(self._start_leader_epoch)
        if not leads and self.leader_epoch:
            logger.info("No longer the config leader")
            self.leader_epoch = 0
            self.feed.close_control()
        self.relay.active = not leads
        if self.leads():
            self._tell_members()
            self.registrar.tick()
        self._leave_old_leader()
        self.feed.tick()

    def _tell_members(self) -> None:
        """Tells nodes of control instances that came or went.

        What nodes are told is numbered by the leader's epoch first, which
        the log makes grow. Numbered by a wall clock, a new leader's changes
        could look older than those of the one before, and would be dropped.
        """
        found = sorted(self.log.addresses())
        if found != self.told_members:
            self.told_members = found
            self.members_changes += 1
            self.feed.wake_all()

    def _leave_old_leader(self) -> None:
        """Follows a new leader as soon as the log names it.

        An old leader that is silent would be noticed after MOVE_AFTER only,
        and nodes of this relay could be out of lease for a moment.
        """
        stream = self.relay.stream
        leader = self.log.leader(machine.GROUP)
        if stream.address and leader not in ("", stream.address):
            stream.close()

    def _start_leader_epoch(self) -> None:
        """Takes a number, after which older leaders' commands are void.

        Its commit also shows that every earlier command was applied here.
        Leases that an earlier leader granted may still run for MAX_LEASE. A
        push accepted before their end would be in force here while a cut-off
        control instance still renews the old revision to its nodes.
        """
        self.dated_at = self.timers.now()
        self.dated = max(self.timers.wall_time(), self.machine.leader_epoch.at)
        try:
            command = commands.StartLeaderEpoch(self.node.instance, self.dated)
            leader_epoch = self.propose(command)
        except errors.MintcleatError as error:
            logger.info("Did not take the lead: {}", error.detail)
            return
        finally:
            self.starting_leader_epoch = False
        first = leader_epoch.number == 1
        wait = 0.0 if first else self.times.max_lease
        self.old_leases_end_at = self.timers.now() + wait
        self.leader_epoch = leader_epoch.number
        self.membership.on_elected()
        self.registrar.on_elected()
        logger.info("Config leader under office {}", leader_epoch.number)
        self.feed.wake_all()

    def _tick_members(self) -> None:
        if self.membership.tick():
            self.feed.wake_all()
            self.relay.stream.report()

    def _on_applied(self) -> None:
        self.log.evacuate(self.machine.emptied())
        if not self.leads():
            return
        served = (
            self.machine.document.revision,
            self.machine.restrictions_version,
            self.machine.directory.version,
        )
        if served != self.served:
            self.served = served
            self.feed.wake_all()

    # --- Requests ---

    def _serve_request(
        self, exchange: stream_ports.Exchange, message: Any
    ) -> None:
        if not self.leads():
            raise errors.NotLeader(self.log.leader(machine.GROUP))
        exchange.send(self.requests.answer(message))

    def _serve_nodes(
        self,
        exchange: stream_ports.Exchange,
        message: operator_messages.ShowNodes,
    ) -> None:
        revision = self.document().revision
        exchange.send(operator_messages.Instances(revision, self.feed.nodes()))

    def _serve_ping(
        self, exchange: stream_ports.Exchange, message: config_messages.Ping
    ) -> None:
        if self.lease_left() <= 0:
            raise errors.ControlUnavailable("This instance is cut off.")
        exchange.send(identities.Done())

    def wait_for_old_leases(self) -> None:
        """Blocks until no lease of an earlier leader can be alive."""
        wait = self.old_leases_end_at - self.timers.now()
        if wait > 0:
            self.timers.sleep(wait)
        if not self.leads():
            raise errors.NotLeader(self.log.leader(machine.GROUP))
