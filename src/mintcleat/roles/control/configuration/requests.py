"""Answers requests of operators, nodes and sidecars on the config leader."""

import math
from typing import Any
from typing import Protocol

import eventlet

from mintcleat.configuration import commands
from mintcleat.configuration import document
from mintcleat.configuration import lease
from mintcleat.configuration import machine
from mintcleat.configuration import sections
from mintcleat.domain import config_messages
from mintcleat.domain import control_events
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import operator_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import log as log_ports
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import crash_reports
from mintcleat.roles.control.configuration import feed as config_feed
from mintcleat.roles.control.configuration import membership
from mintcleat.roles.control.configuration import quarantine_views
from mintcleat.roles.control.configuration import registrar
from mintcleat.roles.control.replication import evacuation

REQUEST_TYPES = (
    config_messages.PushManifest,
    config_messages.ReadManifest,
    operator_messages.ShowInstances,
    operator_messages.ShowUpstreams,
    operator_messages.ShowAudit,
    operator_messages.ShowQuarantine,
    operator_messages.ShowCustomers,
    operator_messages.ShowRollouts,
    operator_messages.DrainScope,
    operator_messages.ReleaseQuarantine,
    member_messages.ReportCrash,
    member_messages.ReportCrashes,
    config_messages.ReadFencingToken,
    operator_messages.SetControl,
    member_messages.RegisterUpstream,
    member_messages.DeregisterUpstream,
    member_messages.ReadSoftwareVersions,
    operator_messages.EvacuateControl,
)
# Audit entries in one answer; operators continue from its last number.
AUDIT_PAGE = 2_000
# Largest number of control instances in a deployment.
MAX_CONTROL = 21


class Leader(Protocol):
    """The part of the config service that the answers use."""

    machine: machine.ConfigMachine
    membership: membership.Membership
    registrar: registrar.Registrar
    evacuation: evacuation.Evacuation
    crash_reports: crash_reports.CrashReports
    feed: config_feed.Feed
    streams: stream_ports.Streams
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    log: log_ports.ReplicatedLog
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970, unaffected by clock steps."""

    def epoch_seconds(self) -> float:
        """Returns the seconds since the start of this leader epoch."""

    def wait_for_old_leases(self) -> None:
        """Blocks until every lease granted by an earlier leader has ended."""


class Requests:
    """Answers requests; only for use on the leader."""

    def __init__(self, leader: Leader) -> None:
        self.leader = leader

    def answer(self, message: Any) -> Any:
        """Returns the answer to a request.

        Raises:
            errors.MintcleatError: The request is refused; the subclass says
                why.
        """
        match message:
            case config_messages.PushManifest():
                return self._push(message)
            case config_messages.ReadManifest():
                return self._read()
            case operator_messages.ShowInstances():
                return self._instances()
            case operator_messages.ShowUpstreams():
                return operator_messages.Upstreams(
                    self.leader.membership.views(
                        self.leader.machine.is_draining
                    )
                )
            case member_messages.ReadSoftwareVersions():
                return self._software_versions(message)
            case config_messages.ReadFencingToken(instance=instance):
                return config_messages.FencingToken(
                    self.leader.machine.ledger.highest_fencing_token(instance)
                )
            case _:
                return self._answer_operator(message)

    def _answer_operator(self, message: Any) -> Any:
        state = self.leader.machine
        match message:
            case operator_messages.ShowAudit(after=after, limit=limit):
                entries = state.trail.after(after, min(limit, AUDIT_PAGE))
                return operator_messages.AuditTrail(
                    [operator_messages.AuditEntry(*entry) for entry in entries]
                )
            case operator_messages.EvacuateControl():
                return self._evacuate(message)
            case operator_messages.ShowCustomers():
                return _customers(state.document)
            case operator_messages.ShowQuarantine():
                return operator_messages.QuarantineList(
                    quarantine_views.entries(state)
                )
            case operator_messages.ShowRollouts():
                return operator_messages.Rollouts(
                    [
                        operator_messages.RolloutView(
                            rollout.service,
                            rollout.target,
                            rollout.previous,
                            rollout.state,
                            rollout.reason,
                            rollout.at,
                        )
                        for rollout in state.ledger.rollouts.values()
                    ]
                )
            case _:
                self._change(message)
                return identities.Done()

    def _change(self, message: Any) -> None:
        at = self.leader.steady_time()
        match message:
            case operator_messages.DrainScope():
                self.leader.propose(commands.SetDrain(*message, at))
            case operator_messages.ReleaseQuarantine():
                if not self.leader.propose(commands.Release(*message, at)):
                    raise errors.UnknownDigest(
                        f"{message.digest.hex()} is not in the quarantine."
                    )
            case member_messages.RegisterUpstream(registration=registration):
                self.leader.registrar.register(registration)
            case member_messages.DeregisterUpstream(upstream=upstream):
                self.leader.registrar.leave(upstream, message.started)
            case operator_messages.SetControl():
                self.leader.propose(commands.SetControlInstance(*message, at))
            case member_messages.ReportCrashes():
                self.leader.crash_reports.record(message)
            case member_messages.ReportCrash(sidecar=sidecar, number=number):
                policies = self.leader.machine.document.readable().policies
                self.leader.propose(
                    commands.RecordCrash(
                        f"{sidecar.instance}/{sidecar.epoch}/{number}",
                        sidecar.instance,
                        message.digests,
                        policies.quarantine_seconds,
                        at,
                    )
                )
            case _:
                raise errors.BadRequest(
                    f"{type(message).__name__} is not a request that the "
                    "config leader answers."
                )

    def _push(
        self, message: config_messages.PushManifest
    ) -> config_messages.ManifestPushed:
        if message.version and not self._is_higher(message):
            # Not parsed: each resend of a large one would hold up the leader.
            return self._not_higher(message)
        try:
            parsed = manifest.parse(message.manifest)
        except errors.InvalidManifest as error:
            self._audit_refusal(message, error)
            raise
        if message.version:
            return self._push_version(message, parsed)
        self.leader.wait_for_old_leases()
        state = self.leader.machine.document
        delta = sections.Delta({}, [])
        if message.expected == state.revision:
            delta = sections.difference(state.sections, sections.split(parsed))
        summary = ", ".join([*delta.changed, *delta.removed])
        accepted = self.leader.propose(
            commands.Push(
                self.leader.leader_epoch,
                message.expected,
                message.push_id,
                delta.changed,
                delta.removed,
                message.operator,
                message.origin,
                summary or "no change",
                self.leader.steady_time(),
            )
        )
        return config_messages.ManifestPushed(
            accepted.revision, message.push_id
        )

    def _is_higher(self, message: config_messages.PushManifest) -> bool:
        return message.version > self.leader.machine.document.version

    def _not_higher(
        self, message: config_messages.PushManifest
    ) -> config_messages.ManifestPushed:
        """Acknowledges a numbered push that changes nothing."""
        state = self.leader.machine.document
        self._report_push(message, "not higher", self.leader.timers.now())
        return config_messages.ManifestPushed(
            state.revision, message.push_id, state.version
        )

    def _push_version(
        self, message: config_messages.PushManifest, parsed: manifest.Manifest
    ) -> config_messages.ManifestPushed:
        """Commits a push that carries a version number.

        It does not wait for the leases of an earlier leader. Such a lease was
        granted before this leader's election and ends within `max_lease` of
        the grant, so the push is in force everywhere as soon as any other.
        """
        started = self.leader.timers.now()
        state = self.leader.machine.document
        accepted = self.leader.propose(
            commands.PushVersion(
                self.leader.leader_epoch,
                message.version,
                message.push_id,
                sections.split(parsed),
                message.source,
                message.operator,
                message.origin,
                self.leader.steady_time(),
            )
        )
        self._report_push(message, "accepted", started)
        return config_messages.ManifestPushed(
            accepted.revision, message.push_id, state.version
        )

    def _report_push(
        self,
        message: config_messages.PushManifest,
        outcome: str,
        started: float,
    ) -> None:
        state = self.leader.machine.document
        index = self.leader.machine.pushed_index
        log = self.leader.log
        self.leader.events.emit(
            control_events.ConfigurationPushed(
                message.version,
                state.revision,
                outcome,
                f"version {state.version} is in force",
                round(self.leader.timers.now() - started, 4),
                index,
                log.position(machine.GROUP).term,
                log.holders(machine.GROUP, index),
            )
        )

    def _read(self) -> config_messages.ManifestView:
        document = self.leader.machine.document
        position = self.leader.log.position(machine.GROUP)
        self.leader.events.emit(
            control_events.ConfigurationRead(
                document.version,
                document.revision,
                self.leader.leader_epoch,
                position.term,
                position.commit,
                position.applied,
                round(position.lease_left, 4),
            )
        )
        return config_messages.ManifestView(
            document.revision,
            manifest.compact(document.manifest()),
            document.version,
            document.source,
        )

    def _software_versions(
        self, message: member_messages.ReadSoftwareVersions
    ) -> member_messages.SoftwareVersions:
        """Returns the versions of a service since some time before now.

        A new leader's steady time may have jumped forward. It counts all ended
        versions until it has led for that time.
        """
        leader = self.leader
        since = -math.inf
        if leader.epoch_seconds() >= message.seconds:
            since = leader.steady_time() - message.seconds
        software = leader.machine.directory.software
        return member_messages.SoftwareVersions(
            sorted(software.since(message.service, since))
        )

    def _evacuate(
        self, message: operator_messages.EvacuateControl
    ) -> operator_messages.EvacuationStatus:
        """Starts the evacuation of a control instance, or returns its status.

        Raises:
            errors.UnknownInstance: There is no such control instance.
            errors.TooFewInstances: The remaining instances could not tolerate
                the loss of one more.
        """
        evacuator = self.leader.evacuation
        instance = evacuator.find(message.label)
        state = self.leader.machine
        if (
            message.start
            and instance not in state.evacuated_control_instances()
        ):
            evacuator.check(instance, state.evacuated_control_instances())
            self.leader.propose(
                commands.SetDrain(
                    machine.CONTROL_SCOPE,
                    instance,
                    True,
                    message.operator,
                    message.origin,
                    self.leader.steady_time(),
                )
            )
        return operator_messages.EvacuationStatus(
            evacuator.is_complete(instance, state.evacuated_control_instances())
        )

    def _audit_refusal(
        self,
        message: config_messages.PushManifest,
        error: errors.MintcleatError,
    ) -> None:
        self.leader.propose(
            commands.AddAuditEntry(
                message.operator,
                message.origin,
                "push",
                f"push {message.push_id}",
                f"refused: {error.detail}",
                self.leader.steady_time(),
            )
        )

    def _instances(self) -> operator_messages.Instances:
        """Collects the nodes of every control instance."""
        own = self.leader.feed.nodes()
        newest = {item.node: item for item in own}
        controls = [item for item in own if item.role == config_feed.CONTROL]
        # Asked in parallel: in turn, a few silent instances would exceed the
        # operator's timeout.
        pool = eventlet.GreenPool(MAX_CONTROL)
        answers = list(pool.imap(self._ask_nodes, controls))
        missing = []
        for control, answer in zip(controls, answers, strict=True):
            if answer is None and control.lease > 0:
                # Its nodes may hold parts of its lease, and their revisions
                # are unknown. Once its own lease has ended, so have theirs.
                missing.append(control.node.instance)
            for item in answer.nodes if answer else ():
                known = newest.get(item.node)
                if known is None or _rank(item) > _rank(known):
                    newest[item.node] = item
        nodes = sorted(newest.values(), key=lambda item: item.node)
        revision = self.leader.machine.document.revision
        return operator_messages.Instances(revision, nodes, missing)

    def _ask_nodes(
        self, control: operator_messages.NodeStatus
    ) -> operator_messages.Instances | None:
        """Returns a control instance's nodes; None if it doesn't answer."""
        if not control.connected:
            return None
        try:
            return self.leader.streams.ask(
                control.address,
                operator_messages.ShowNodes(),
                lease.RENEW_SECONDS,
            )
        except errors.MintcleatError:
            return None


def _rank(item: operator_messages.NodeStatus) -> tuple[bool, int, float]:
    """Returns a sort key that is higher for the newer report of a node.

    A node that moved is reported by two control instances.
    """
    return item.connected, item.revision, item.lease


def _customers(current: document.Document) -> operator_messages.Customers:
    """Returns the customers of the manifest in force, sorted by name."""
    customers = current.readable().policies.customers
    return operator_messages.Customers(
        [
            operator_messages.CustomerView(
                name,
                [
                    operator_messages.KeyView(
                        key, current.key_added_at.get(key, 0.0)
                    )
                    for key in customer.keys
                ],
                customer.rate,
                customer.burst,
                customer.priority,
            )
            for name, customer in sorted(customers.items())
        ]
    )
