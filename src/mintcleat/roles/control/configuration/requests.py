"""The config leader's answers to operators, nodes and sidecars."""

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
from mintcleat.roles.control.configuration import feed as config_feed
from mintcleat.roles.control.configuration import membership
from mintcleat.roles.control.configuration import registrar
from mintcleat.roles.control.replication import evacuation

KINDS = (
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
    config_messages.ReadFencingToken,
    operator_messages.SetControl,
    member_messages.RegisterUpstream,
    member_messages.DeregisterUpstream,
    operator_messages.EvacuateControl,
)
# One answer of the trail; operators ask on from the last number.
AUDIT_PAGE = 2_000
# The most control instances that a deployment may set aside.
MAX_CONTROL = 21


class Leader(Protocol):
    """What the answers need of the config service."""

    machine: machine.ConfigMachine
    membership: membership.Membership
    registrar: registrar.Registrar
    evacuation: evacuation.Evacuation
    feed: config_feed.Feed
    streams: stream_ports.Streams
    timers: timer_ports.Timers
    events: event_ports.EventReporter
    log: log_ports.ReplicatedLog
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970 that no step of a clock changes."""

    def wait_for_old_leases(self) -> None:
        """Blocks until no lease of an earlier leader can be alive."""


class Requests:
    """Answers requests; only the leader may be asked."""

    def __init__(self, leader: Leader) -> None:
        self.leader = leader

    def answer(self, message: Any) -> Any:
        """Returns the leader's answer; raises a typed error for a refusal."""
        match message:
            case config_messages.PushManifest():
                return self._push(message)
            case config_messages.ReadManifest():
                return self._read()
            case operator_messages.ShowInstances():
                return self._instances()
            case operator_messages.ShowUpstreams():
                return operator_messages.Upstreams(
                    self.leader.membership.views(self.leader.machine.draining)
                )
            case config_messages.ReadFencingToken(instance=instance):
                return config_messages.FencingToken(
                    self.leader.machine.ledger.highest_fencing_token(instance)
                )
            case _:
                return self._answer_more(message)

    def _answer_more(self, message: Any) -> Any:
        state = self.leader.machine
        match message:
            case operator_messages.ShowAudit(after=after, limit=limit):
                entries = state.trail.after(after, min(limit, AUDIT_PAGE))
                return operator_messages.AuditTrail(
                    [operator_messages.AuditEntry(*entry) for entry in entries]
                )
            case operator_messages.EvacuateControl():
                return self._empty(message)
            case operator_messages.ShowCustomers():
                return _customers(state.document)
            case operator_messages.ShowQuarantine():
                return operator_messages.QuarantineList(
                    [
                        operator_messages.QuarantineEntry(
                            *entry, entry.quarantined
                        )
                        for entry in state.quarantine.entries.values()
                    ]
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
            case member_messages.ReportCrash(sidecar=sidecar, number=number):
                policies = self.leader.machine.document.manifest().policies
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
                    f"No answer to {type(message).__name__}."
                )

    def _push(
        self, message: config_messages.PushManifest
    ) -> config_messages.ManifestPushed:
        try:
            parsed = manifest.parse(message.manifest)
        except errors.InvalidManifest as error:
            self._note_refusal(message, error)
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

    def _push_version(
        self, message: config_messages.PushManifest, parsed: manifest.Manifest
    ) -> config_messages.ManifestPushed:
        """Commits a numbered push.

        It waits for no lease of an earlier leader: such a lease ends within
        `max_lease` of its granting, which is before this leader's election
        plus that time, so the push is in force as soon as after any other.
        """
        began = self.leader.timers.now()
        state = self.leader.machine.document
        if message.version <= state.version:
            self._tell_push(message, "not higher", began)
            return config_messages.ManifestPushed(
                state.revision, message.push_id, state.version
            )
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
        self._tell_push(message, "accepted", began)
        return config_messages.ManifestPushed(
            accepted.revision, message.push_id, state.version
        )

    def _tell_push(
        self, message: config_messages.PushManifest, outcome: str, began: float
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
                round(self.leader.timers.now() - began, 4),
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

    def _empty(
        self, message: operator_messages.EvacuateControl
    ) -> operator_messages.EvacuationStatus:
        """Starts moving replicas off an instance, or tells how far it is.

        Raises:
            errors.UnknownInstance: There is no such control instance.
            errors.TooFewInstances: The rest could not bear another loss.
        """
        keeper = self.leader.evacuation
        instance = keeper.find(message.label)
        state = self.leader.machine
        if message.start and instance not in state.emptied():
            keeper.check(instance, state.emptied())
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
            keeper.done(instance, state.emptied())
        )

    def _note_refusal(
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
        """Asks every control instance for its nodes."""
        own = self.leader.feed.nodes()
        best = {item.node: item for item in own}
        controls = [item for item in own if item.role == config_feed.CONTROL]
        # All at once: asked in turn, a few silent instances would use up the
        # operator's patience.
        pool = eventlet.GreenPool(MAX_CONTROL)
        answers = list(pool.imap(self._ask_nodes, controls))
        missing = []
        for control, answer in zip(controls, answers, strict=True):
            if answer is None and control.lease > 0:
                # Its nodes hold parts of this lease, on which revision no
                # one can tell. Without a lease of its own they have none.
                missing.append(control.node.instance)
            for item in answer.nodes if answer else ():
                held = best.get(item.node)
                if held is None or _rank(item) > _rank(held):
                    best[item.node] = item
        nodes = sorted(best.values(), key=lambda item: item.node)
        revision = self.leader.machine.document.revision
        return operator_messages.Instances(revision, nodes, missing)

    def _ask_nodes(
        self, control: operator_messages.NodeStatus
    ) -> operator_messages.Instances | None:
        """Returns a control instance's nodes; None when it can't be asked."""
        if not control.connected:
            return None
        try:
            return self.leader.streams.ask(
                control.address, operator_messages.ShowNodes(), lease.RENEW
            )
        except errors.MintcleatError:
            return None


def _rank(item: operator_messages.NodeStatus) -> tuple[bool, int, float]:
    """Orders reports of one node: a moved node is reported twice."""
    return item.connected, item.revision, item.lease


def _customers(held: document.Document) -> operator_messages.Customers:
    """Returns the customers of the manifest in force, sorted by name."""
    customers = held.manifest().policies.customers
    return operator_messages.Customers(
        [
            operator_messages.CustomerView(
                name,
                [
                    operator_messages.KeyView(
                        key, held.key_added_at.get(key, 0.0)
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
