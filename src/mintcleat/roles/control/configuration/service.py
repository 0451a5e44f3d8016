"""The config group on one control instance.

The leader answers requests and grants leases. The other instances relay its
configuration and leases to their nodes, and forward operators' requests to it.
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
from mintcleat.roles.control.configuration import crash_reports
from mintcleat.roles.control.configuration import feed as config_feed
from mintcleat.roles.control.configuration import membership
from mintcleat.roles.control.configuration import registrar
from mintcleat.roles.control.configuration import relay as config_relay
from mintcleat.roles.control.configuration import requests as config_requests
from mintcleat.roles.control.replication import evacuation

PROPOSE_SECONDS = 5.0
# A leader is asked for at most `max_lease` plus this margin, because a push
# can wait `max_lease` for the leases of an earlier leader to end. A leader
# that is cut off never answers; after that time the next one is asked.
ATTEMPT_MARGIN_SECONDS = 1.0
ASK_SECONDS = 3 * (lease.MAX_LEASE_SECONDS + ATTEMPT_MARGIN_SECONDS)
RETRY_SECONDS = 0.1
# Interval at which a change of leadership is checked for. A leader that lost
# its lease stops granting at once; this only bounds how soon a new one starts.
TICK_SECONDS = 0.1
# The restrictions and the control instances change far fewer times than this
# within one leader epoch.
LEADER_EPOCH_STEP = 10**9


class ConfigService:
    """Serves nodes and operators; implements `config_feed.Source`.

    Attributes:
        machine: This instance's replica of the config group.
        leader_epoch: The epoch in which this instance leads; 0 for none.
        old_leases_end_at: Clock reading at which the last lease granted by
            an earlier leader has ended; infinite before the first epoch.
            Pushes are accepted from then on.
        control_addresses: Addresses of the control instances as nodes were
            last sent them.
        control_changes: Number of changes of `control_addresses`.
        own_restrictions: The restrictions as last computed while this instance
            led; every node is sent the same.
        served_versions: Versions of the document, the restrictions and the
            directory for which the nodes were last notified.
        steady_base: Value of `steady_time` at the start of the epoch.
        steady_base_at: Monotonic clock at the start of the epoch.
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
        self.control_addresses: list[str] = []
        self.control_changes = 0
        self.own_restrictions = config_messages.Restrictions(-1, [], [], [])
        self.node = node
        self.failure_domain = failure_domain
        self.address = address
        self.log = log
        self.streams = streams
        self.timers = timers
        self.machine = replica or machine.ConfigMachine()
        self.membership = membership.Membership(timers, times)
        self.table: members.Table = self.membership.table
        self.leader_epoch = 0
        self.old_leases_end_at = float("inf")
        self.starting_leader_epoch = False
        self.subscriptions: list[timer_ports.Subscription] = []
        self.served_versions = (0, 0, 0)
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
        self.steady_base = 0.0
        self.steady_base_at = 0.0
        self.registrar = registrar.Registrar(self)
        self.crash_reports = crash_reports.CrashReports(self)
        self.evacuation = evacuation.Evacuation(log, streams)
        self.requests = config_requests.Requests(self)
        log.attach(machine.GROUP, self.machine, self._tick)
        self.machine.subscribers.append(self._on_applied)

    def start(self) -> None:
        """Starts serving; the replicated log must have been started."""
        for kind in config_requests.REQUEST_TYPES:
            self.streams.handle(kind, self._serve_request)
        self.streams.handle(
            config_messages.FollowConfiguration, self.feed.serve
        )
        self.streams.handle(operator_messages.ShowNodes, self._serve_nodes)
        self.streams.handle(config_messages.Ping, self._serve_ping)
        self.subscriptions = [
            self.timers.every(TICK_SECONDS, self._tick),
            self.timers.every(membership.COALESCE_SECONDS, self._tick_members),
        ]
        self.relay.stream.start()

    def stop(self) -> None:
        """Stops relaying; open streams end with the process's listener."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.relay.stream.stop()

    def leads(self) -> bool:
        """Returns whether this instance may commit and grant leases now."""
        return (
            self.leader_epoch > 0
            and self.machine.leader_epoch.number == self.leader_epoch
            and self.log.leads(machine.GROUP)
        )

    def steady_time(self) -> float:
        """Returns seconds since 1970, unaffected by clock steps.

        It is the wall time at the start of the leader epoch, or the start of
        the previous epoch if that is later, advanced by the monotonic clock.
        Expiry, pauses and permits in the group's state are measured with it.
        With a wall clock that steps by minutes, a quarantine would end early,
        or an order in progress would count as stuck.
        """
        return self.steady_base + self.timers.now() - self.steady_base_at

    def epoch_seconds(self) -> float:
        """Returns the seconds since this instance began to lead."""
        return self.timers.now() - self.steady_base_at

    def ask(self, message: Any, timeout: float = ASK_SECONDS) -> Any:
        """Answers an operator's request here, or forwards it to the leader.

        Every such request is safe to repeat, so it is retried until a leader
        answers or `timeout` seconds have passed.

        Raises:
            errors.ControlUnavailable: No leader could be reached.
            errors.OutcomeUnknown: A leader was reached and did not answer.
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
                    longest = self.times.max_lease + ATTEMPT_MARGIN_SECONDS
                    return self.streams.ask(leader, message, min(left, longest))
            except errors.NotLeader:
                pass
            except errors.ProposalLost:
                asked = True
            except (errors.StreamClosed, errors.StreamTimeout) as error:
                asked = asked or error.outcome != errors.NOT_RUN
            self.timers.sleep(RETRY_SECONDS)
        if asked:
            raise errors.OutcomeUnknown(
                "The config leader received the request but did not answer.",
                remedy="Send the same request again; it takes effect once.",
            )
        raise errors.ControlUnavailable("No config leader could be reached.")

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
        """Returns the longest lease that may be granted now, in seconds."""
        return self.times.max_lease if self.leads() else self.relay.lease_left()

    def confirmed_at(self) -> float:
        """Returns the latest time at which the document was in force for sure.

        The time is a reading of this instance's monotonic clock.
        """
        return self.timers.now() if self.leads() else self.relay.lease.echo

    def confirm(self) -> None:
        """Asks the leader for a newer `confirmed_at`, if this is a relay."""
        if not self.leads():
            self.relay.stream.report()

    def restrictions(self) -> config_messages.Restrictions:
        """Returns the drains, the quarantine and the control instances."""
        if not self.leads():
            return self.relay.restrictions
        version = (
            self.leader_epoch * LEADER_EPOCH_STEP
            + self.machine.restrictions_version
            + self.control_changes
        )
        if self.own_restrictions.version != version:
            self.own_restrictions = self._new_restrictions(version)
        return self.own_restrictions

    def _new_restrictions(self, version: int) -> config_messages.Restrictions:
        state = self.machine
        listed = {member.address for member in state.control_instances.values()}
        return config_messages.Restrictions(
            version,
            sorted(state.drains),
            [
                *state.quarantine.quarantined(),
                *state.crash_evidence.quarantine,
                *state.object_evidence.quarantine,
            ],
            [
                *state.quarantine.suspects(),
                *state.crash_evidence.suspects(),
                *state.object_evidence.suspects(),
            ],
            sorted(listed.union(self.control_addresses)),
        )

    def directory(self) -> directory.Directory:
        """Returns the upstreams that registered themselves."""
        if self.leads():
            return self.machine.directory
        return self.relay.directory

    def serves_control(self) -> bool:
        """Returns whether other control instances may follow this one."""
        return self.leads()

    # --- Leadership ---

    def _tick(self) -> None:
        leads = self.log.leads(machine.GROUP)
        has_epoch = (
            self.leader_epoch
            and self.machine.leader_epoch.number == self.leader_epoch
        )
        if leads and not has_epoch and not self.starting_leader_epoch:
            self.starting_leader_epoch = True
            self.timers.spawn(self._start_leader_epoch)
        if not leads and self.leader_epoch:
            logger.info("No longer the config leader")
            if self.own_restrictions.version > self.relay.restrictions.version:
                self.relay.restrictions = self.own_restrictions
            self.leader_epoch = 0
            self.feed.close_control()
        self.relay.active = not leads
        self.relay.stream.idle = leads
        if self.leads():
            self._announce_control_instances()
            self.registrar.tick()
            self.crash_reports.tick()
        self._evacuate_replicas()
        self._follow_new_leader()
        self.feed.tick()

    def _announce_control_instances(self) -> None:
        """Tells nodes about control instances that joined or left.

        The version of the restrictions starts with the leader epoch, which
        grows with each leader because it comes from the log. If it came from
        the wall clock, a new leader's changes could look older than those of
        its predecessor, and nodes would drop them.
        """
        found = sorted(self.log.addresses())
        if found != self.control_addresses:
            self.control_addresses = found
            self.control_changes += 1
            self.feed.wake_all()

    def _follow_new_leader(self) -> None:
        """Follows a new leader as soon as the log names it.

        A silent old leader would otherwise be noticed only after
        `move_after`, and the leases of this relay's nodes could lapse.
        """
        stream = self.relay.stream
        leader = self.log.leader(machine.GROUP)
        if stream.address and leader not in ("", stream.address):
            stream.close()

    def _start_leader_epoch(self) -> None:
        """Starts a new leader epoch, which voids older leaders' commands.

        Its commit also shows that every earlier command was applied here.
        Leases granted by an earlier leader can still run for `max_lease`. If
        a push were accepted before they end, it would be in force here while
        a control instance that is cut off still grants leases on the old
        revision to its nodes.
        """
        self.steady_base_at = self.timers.now()
        self.steady_base = max(
            self.timers.wall_time(), self.machine.leader_epoch.at
        )
        try:
            command = commands.StartLeaderEpoch(
                self.node.instance, self.steady_base
            )
            leader_epoch = self.propose(command)
        except errors.MintcleatError as error:
            logger.info("Could not start a leader epoch: {}", error.detail)
            return
        finally:
            self.starting_leader_epoch = False
        first = leader_epoch.number == 1
        wait = 0.0 if first else self.times.max_lease
        self.old_leases_end_at = self.timers.now() + wait
        self.leader_epoch = leader_epoch.number
        self.membership.on_elected()
        self.registrar.on_elected()
        logger.info("Config leader in leader epoch {}", leader_epoch.number)
        self.feed.wake_all()

    def _tick_members(self) -> None:
        if self.membership.tick():
            self.feed.wake_all()
            self.relay.stream.report()

    def _evacuate_replicas(self) -> None:
        """Tells this instance's groups which instances are evacuated.

        An instance outside the config group may lead other groups. What it
        knows of evacuations comes from the leader's stream.
        """
        restrictions = self.restrictions()
        known = restrictions.version > 0
        drains = restrictions.drains if known else self.machine.drains
        self.log.evacuate(machine.evacuated_control_instances(drains))

    def _on_applied(self) -> None:
        self._evacuate_replicas()
        if not self.leads():
            return
        versions = (
            self.machine.document.revision,
            self.machine.restrictions_version,
            self.machine.directory.version,
        )
        if versions != self.served_versions:
            self.served_versions = versions
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
            raise errors.ControlUnavailable(
                "This instance holds no lease from the config leader."
            )
        exchange.send(identities.Done())

    def wait_for_old_leases(self) -> None:
        """Blocks until every lease granted by an earlier leader has ended.

        Raises:
            errors.NotLeader: This instance no longer leads.
        """
        wait = self.old_leases_end_at - self.timers.now()
        if wait > 0:
            self.timers.sleep(wait)
        if not self.leads():
            raise errors.NotLeader(self.log.leader(machine.GROUP))
