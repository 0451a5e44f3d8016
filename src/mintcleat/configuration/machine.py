"""The state machine of the config group; see `ports.log.StateMachine`.

It is deterministic: it reads no clock and draws no random numbers. Times come
with the commands, so that every replica reaches the same state.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import msgspec

from mintcleat.configuration import audit
from mintcleat.configuration import commands
from mintcleat.configuration import crash_evidence
from mintcleat.configuration import directory
from mintcleat.configuration import document
from mintcleat.configuration import lost_runs
from mintcleat.configuration import object_evidence
from mintcleat.configuration import permits
from mintcleat.configuration import quarantine
from mintcleat.configuration import rollouts
from mintcleat.configuration import route_moves
from mintcleat.domain import errors

# Name of the replicated group.
GROUP = "config"
# Version of the snapshot format that `snapshot` writes.
FORMAT = 2
# Older format that `restore` still reads; it has no directory of upstreams.
_FORMAT_WITHOUT_DIRECTORY = 1
# Position of the crash evidence in a snapshot; absent if there is none.
_CRASH_EVIDENCE_PLACE = 11
_OBJECT_EVIDENCE_PLACE = 12
# Draining in this scope moves all replicas off a control instance.
CONTROL_SCOPE = "control"
SCOPES = ("instance", "failure_domain", CONTROL_SCOPE)
# Outcome of a successful action in the audit trail.
ACCEPTED = "accepted"


class ControlInstance(NamedTuple):
    """A control instance that an operator added.

    Attributes:
        address: Address of its stream listener.
    """

    instance: str
    address: str
    failure_domain: str


class LeaderEpoch(NamedTuple):
    """The epoch of the present config leader.

    Attributes:
        number: Grows by 1 with each new leader; commands that carry another
            number are rejected.
        instance: Control instance that leads.
        at: Start of the epoch, in seconds since 1970.
    """

    number: int
    instance: str
    at: float


class ConfigMachine:
    """The replicated state of the config group.

    Attributes:
        leader_epoch: Epoch of the config leader.
        document: The manifest in force.
        trail: The audit trail.
        ledger: Orders to upstreams, and rollouts.
        bucket: Permits to load from the weight store.
        quarantine: Requests that crash upstreams, and suspects, as sidecars
            report them.
        crash_evidence: The same as entries report them.
        object_evidence: Objects of such requests that differ in content.
        drains: Start of each drain in seconds since 1970, by `scope/name`.
        control_instances: Control instances that operators added, by name.
        restrictions_version: Grows when `drains`, `quarantine` or
            `control_instances` changes.
        directory: Upstreams that registered themselves.
        subscribers: Called after each applied command and each restore.
        pushed_index: Log index of the numbered push in force; 0 when it came
            with a snapshot. Used in log events only; it isn't replicated
            state.
    """

    def __init__(self) -> None:
        self.leader_epoch = LeaderEpoch(0, "", 0.0)
        self.document = document.Document()
        self.trail = audit.Trail()
        self.ledger = rollouts.Ledger()
        self.bucket = permits.Bucket()
        self.quarantine = quarantine.Registry()
        self._clear_evidence()
        self.drains: dict[str, float] = {}
        self.control_instances: dict[str, ControlInstance] = {}
        self.restrictions_version = 0
        self.directory = directory.Directory()
        self.subscribers: list[Callable[[], None]] = []
        self.pushed_index = 0

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one command and returns its result.

        A rejected command changes nothing but the audit trail; its result is
        a typed error, which is returned, not raised.
        """
        decoded = commands.decode(command)
        leader_epoch = getattr(decoded, "leader_epoch", None)
        if (
            leader_epoch is not None
            and leader_epoch != self.leader_epoch.number
        ):
            # A leader that was replaced may still have commands in flight,
            # which it based on state that the new leader has changed since.
            result: Any = errors.NotLeader("")
        else:
            before = self.document.version
            result = self._apply(decoded)
            if self.document.version > before:
                self.pushed_index = index
        for callback in self.subscribers:
            callback()
        return result

    def snapshot(self) -> bytes:
        """Returns the state as msgpack bytes in the present format."""
        items = [
            FORMAT,
            list(self.leader_epoch),
            self.document.state(),
            self.trail.state(),
            self.ledger.state(),
            self.bucket.state(),
            self.quarantine.state(),
            self.drains,
            [list(item) for item in self.control_instances.values()],
            self.restrictions_version,
            self.directory.state(),
        ]
        has_objects = not self.object_evidence.is_empty()
        if has_objects or not self.crash_evidence.is_empty():
            # Earlier releases ignore what follows the directory.
            items.append(self.crash_evidence.state())
        if has_objects:
            items.append(self.object_evidence.state())
        return msgspec.msgpack.encode(items)

    def snapshot_parts(self) -> list[bytes]:
        """Returns the state as one part."""
        return [self.snapshot()]

    def restore(self, state: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            errors.StorageDamaged: The snapshot has an unknown format.
        """
        items = msgspec.msgpack.decode(state)
        if items[0] not in (FORMAT, _FORMAT_WITHOUT_DIRECTORY):
            raise errors.StorageDamaged(
                f"The config snapshot has format {items[0]}; this release "
                f"reads formats up to {FORMAT}.",
                remedy="Run the release that wrote it, or a newer one.",
            )
        self.leader_epoch = LeaderEpoch(*items[1])
        self.document.load(items[2])
        self.trail.load(items[3])
        self.ledger.load(items[4])
        self.bucket.load(items[5])
        self.quarantine.load(items[6])
        self.drains = items[7]
        instances = [ControlInstance(*item) for item in items[8]]
        self.control_instances = {
            control.instance: control for control in instances
        }
        self.restrictions_version = items[9]
        self.pushed_index = 0
        self.directory = directory.Directory()
        if items[0] == FORMAT:
            self.directory.load(items[10])
        self._clear_evidence()
        if len(items) > _CRASH_EVIDENCE_PLACE:
            self.crash_evidence.load(items[_CRASH_EVIDENCE_PLACE])
        if len(items) > _OBJECT_EVIDENCE_PLACE:
            self.object_evidence.load(items[_OBJECT_EVIDENCE_PLACE])
        for callback in self.subscribers:
            callback()

    def _clear_evidence(self) -> None:
        self.crash_evidence = crash_evidence.CrashEvidence()
        self.object_evidence = object_evidence.ObjectEvidence(
            self.crash_evidence
        )

    def is_draining(self, instance: str, failure_domain: str) -> bool:
        """Returns whether the instance or its failure domain is drained."""
        return (
            f"instance/{instance}" in self.drains
            or f"failure_domain/{failure_domain}" in self.drains
        )

    def _apply(self, command: Any) -> Any:
        match command:
            case commands.StartLeaderEpoch():
                self.leader_epoch = LeaderEpoch(
                    self.leader_epoch.number + 1, command.instance, command.at
                )
                return self.leader_epoch
            case commands.Push():
                return self._push(command)
            case commands.PushVersion():
                return self._push_version(command)
            case commands.Register(registration=registration):
                return self.directory.register(registration, command.at)
            case commands.Leave(upstream=upstream, final=final):
                return self.directory.leave(
                    upstream, final, command.started, command.at
                )
            case commands.AddAuditEntry():
                self._audit(
                    command, command.action, command.subject, command.outcome
                )
                return True
            case commands.TakeFencingTokens(count=count):
                return self.ledger.take_fencing_tokens(count)
            case commands.TakePermit():
                return self.bucket.take(
                    command.holder,
                    command.per_minute,
                    command.burst,
                    command.at,
                )
            case commands.SetDrain():
                return self._drain(command)
            case commands.RecordCrash():
                return self._record_crash(command)
            case commands.RecordCrashes():
                return self._record_crashes(command)
            case commands.Release():
                return self._release(command)
            case commands.SetControlInstance():
                return self._set_control_instance(command)
            case _:
                return self._apply_order(command)

    def _apply_order(self, command: Any) -> Any:
        match command:
            case commands.StartRollout():
                return self.ledger.start(command)
            case commands.PlanOrder():
                return self.ledger.plan(command)
            case commands.EndOrder():
                return self.ledger.end(command)
            case commands.SetRollout(service=service, reason=reason):
                changed = self.ledger.set_state(command)
                if changed:
                    self._audit_automatic(
                        command.at,
                        f"rollout {command.state}",
                        service,
                        reason or ACCEPTED,
                    )
                return changed
            case _:
                return errors.BadRequest(
                    f"The config group has no command {command!r}."
                )

    def _push(self, command: commands.Push) -> Any:
        known = command.push_id in self.document.pushes
        before = dict(self.document.sections)
        result = self.document.push(command)
        self._record_moves(before, command.at)
        subject = f"push {command.push_id}: {command.summary}"
        if isinstance(result, errors.MintcleatError):
            self._audit(command, "push", subject, f"refused: {result.detail}")
        elif known:
            self._audit(
                command, "push", subject, f"resend of {result.revision}"
            )
        else:
            self._audit(
                command, "push", subject, f"accepted as {result.revision}"
            )
        return result

    def _push_version(self, command: commands.PushVersion) -> Any:
        before = self.document.version
        sections_before = dict(self.document.sections)
        result = self.document.push_version(command)
        self._record_moves(sections_before, command.at)
        outcome = f"accepted as {result.revision}"
        if command.version <= before:
            outcome = f"no change: version {before} is in force"
        subject = f"push {command.push_id} of version {command.version}"
        self._audit(command, "push", subject, outcome)
        return result

    def _record_moves(self, before: dict[str, str], at: float) -> None:
        """Records the services between which a push has moved streams."""
        software = self.directory.software
        change = route_moves.change(
            before, self.document.sections, software.left_since(at)
        )
        software.moved(change.services, at)
        software.left(change.left, at)

    def evacuated_control_instances(self) -> frozenset[str]:
        """Returns the control instances that must hold no replica."""
        return evacuated_control_instances(self.drains)

    def _drain(self, command: commands.SetDrain) -> Any:
        if command.scope not in SCOPES:
            return errors.BadRequest(
                f"A drain has the scope {command.scope!r}; expected instance, "
                "failure_domain or control."
            )
        key = f"{command.scope}/{command.name}"
        if command.drain:
            self.drains.setdefault(key, command.at)
        else:
            self.drains.pop(key, None)
        self.restrictions_version += 1
        action = "drain" if command.drain else "undrain"
        self._audit(command, action, key, ACCEPTED)
        return True

    def _record_crash(self, command: commands.RecordCrash) -> list[bytes]:
        new = self.quarantine.record_crash(
            command.crash,
            command.upstream,
            command.digests,
            command.seconds,
            command.at,
        )
        self.restrictions_version += 1
        for digest in new:
            self._audit_automatic(
                command.at,
                "quarantine",
                digest.hex(),
                f"crashed {command.upstream}",
            )
        return new

    def _record_crashes(self, command: commands.RecordCrashes) -> list[bytes]:
        """Records reports of entries; returns the digests they quarantine."""
        evidence = self.crash_evidence
        limits = crash_evidence.Limits(
            command.crashes_to_quarantine,
            command.quarantine_seconds,
            command.suspicion_seconds,
        )
        objects = self.object_evidence
        object_of = dict(command.objects)
        before = self.listed_by_evidence()
        evidence.expire(command.at, limits)
        objects.expire(command.at, limits)
        for digest in command.ended_well:
            evidence.record_end(digest, command.at, limits)
        for digest in command.ended_objects:
            objects.record_end(digest, command.at, limits)
        for incarnation, items in command.crashes:
            losses = [
                crash_evidence.Loss(
                    digest,
                    lost_runs.Run(*run),
                    crash_evidence.Subject(*subject),
                )
                for digest, run, subject in items
            ]
            objects.record_contents(
                incarnation, losses, object_of, command.at, limits
            )
        listed = self.listed_by_evidence()
        if listed != before:
            self.restrictions_version += 1
        new = sorted(listed[0] - before[0])
        for digest in new:
            item = evidence.quarantine.get(digest)
            if item is None:
                item = objects.quarantine[digest]
            self._audit_automatic(
                command.at,
                "quarantine",
                digest.hex(),
                f"crashed {', '.join(item.upstreams)}",
            )
        for digest in sorted(before[0] - listed[0]):
            self._audit_automatic(
                command.at, "end of quarantine", digest.hex(), ACCEPTED
            )
        return new

    def listed_by_evidence(self) -> tuple[frozenset[bytes], frozenset[bytes]]:
        """Returns what entries' reports have quarantined, and the suspects.

        Both are digests of requests and of objects.
        """
        quarantined, suspects = self.crash_evidence.listed()
        objects, suspected_objects = self.object_evidence.listed()
        return quarantined | objects, suspects | suspected_objects

    def _release(self, command: commands.Release) -> bool:
        found = self.quarantine.release(command.digest)
        found |= self.crash_evidence.release(command.digest, command.at)
        found |= self.object_evidence.release(command.digest, command.at)
        self.restrictions_version += 1
        outcome = ACCEPTED if found else "refused: not listed"
        self._audit(command, "release", command.digest.hex(), outcome)
        return found

    def _set_control_instance(
        self, command: commands.SetControlInstance
    ) -> bool:
        if command.address:
            self.control_instances[command.instance] = ControlInstance(
                command.instance, command.address, command.failure_domain
            )
        else:
            self.control_instances.pop(command.instance, None)
        self.restrictions_version += 1
        subject = f"{command.instance} {command.address}".strip()
        self._audit(command, "member", subject, ACCEPTED)
        return True

    def _audit(
        self, command: Any, action: str, subject: str, outcome: str
    ) -> None:
        self.trail.add(
            audit.Entry(
                command.at,
                command.operator,
                command.origin,
                action,
                subject,
                outcome,
            )
        )

    def _audit_automatic(
        self, at: float, action: str, subject: str, outcome: str
    ) -> None:
        """Adds an audit entry for an action that no operator asked for."""
        origin = self.leader_epoch.instance
        self.trail.add(
            audit.Entry(at, "mintcleat", origin, action, subject, outcome)
        )


def evacuated_control_instances(drains: Iterable[str]) -> frozenset[str]:
    """Returns the control instances that must hold no replica.

    Those are the ones that are drained in `CONTROL_SCOPE`; some of their
    replicas may not have been moved yet.
    """
    prefix = f"{CONTROL_SCOPE}/"
    return frozenset(
        key.removeprefix(prefix) for key in drains if key.startswith(prefix)
    )


def plain_copy(state: list[Any]) -> list[Any]:
    """Returns a deep copy of data that msgpack can encode."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(state))
