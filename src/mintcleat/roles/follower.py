"""The configuration and members as an entry or a sidecar follows them.

Implements `ports.directory.Directory`.
"""

from collections.abc import Callable
from typing import Any

from loguru import logger
import msgspec

from mintcleat.configuration import directory
from mintcleat.configuration import lease
from mintcleat.configuration import sections
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import stream as config_stream

# A node on another control instance than its preferred one goes back after
# this time, so that load evens out when a control instance returns.
REBALANCE = 60.0
# After a failover, a control instance may not have heard of every upstream
# yet. Upstreams missing from its first list are kept for this time; one that
# really left refuses by itself.
MISSING_GRACE = lease.MEMBER_LEASE
# Rounds of renewals after which a node in touch has heard of a push, for one
# that is late.
_WORD_ROUNDS = 1.5

Announcer = Callable[[], member_messages.Announcement | None]


class Follower:
    """Keeps a node's manifest, lease and members up to date.

    Attributes:
        node: This life of the node.
        announcer: Returns the upstream's announcement, on sidecars.
        duplicate: Whether a newer process announces this node's name.
        restrictions: Draining and quarantine, as last told.
        on_restrictions: Called after each change of `restrictions`.
        registered: Upstreams that registered themselves.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        role: str,
        failure_domain: str,
        address: str,
        *,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        control_addresses: list[str],
        announcer: Announcer | None = None,
        times: lease.Times = lease.DEFAULT,
    ) -> None:
        self.times = times
        self.node = node
        self.role = role
        self.failure_domain = failure_domain
        self.own_address = address
        self.streams = streams
        self.timers = timers
        self.control_addresses = list(control_addresses)
        self.announcer = announcer
        self.lease = lease.Lease()
        self.assembly = sections.Assembly()
        self.current = manifest.Manifest()
        self.current_revision = 0
        self.by_instance: dict[str, member_messages.Announcement] = {}
        self.by_service: dict[str, list[member_messages.Announcement]] = {}
        self.kept_until: dict[str, float] = {}
        self.restrictions = config_messages.Restrictions(0, [], [], [])
        self.registered = directory.Directory()
        self.drains: frozenset[str] = frozenset()
        self.quarantine: frozenset[bytes] = frozenset()
        self.suspects: frozenset[bytes] = frozenset()
        self.duplicate = False
        self.announced: member_messages.Announcement | None = None
        self.callbacks: list[Callable[[], None]] = []
        self.subscriptions: list[timer_ports.Subscription] = []
        self.stream = config_stream.ConfigStream(
            self, streams, timers, times.renew, times.move_after
        )

    def start(self) -> None:
        """Starts following; returns at once."""
        self.stream.start()
        self.subscriptions = [
            self.timers.every(REBALANCE, self._rebalance),
            self.timers.every(self.times.renew, self._drop_missing),
        ]

    def stop(self) -> None:
        """Stops following; the lease runs out by itself."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.stream.stop()

    # --- ports.directory.Directory --------------------------------------------

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied here."""
        return self.current

    def revision(self) -> int:
        """Returns the revision applied here; 0 before the first."""
        return self.current_revision

    def has_lease(self) -> bool:
        """Tells whether new work may be taken on this revision."""
        return self.lease_left() > 0

    def lease_left(self) -> float:
        """Returns the seconds left of the lease."""
        return self.lease.left(self.timers.now())

    def key_seconds(self) -> float:
        """Returns for how long customers' keys may still be taken."""
        if not self.current_revision:
            return 0.0
        return self.lease.left(self.timers.now(), self.times.key_grace)

    def known_until(self) -> float:
        """Returns the clock up to which no accepted push is unknown here.

        The leader granted at most `max_lease` when nothing newer than this
        revision was in force, and no relay adds to what it was granted.
        """
        return self.lease.expires - self.times.max_lease

    def word_seconds(self) -> float:
        """Returns within which time a node in touch hears of every push."""
        return _WORD_ROUNDS * (self.times.renew + self.times.relay_renew)

    def may_serve_stale(self) -> bool:
        """Tells whether idempotent plain calls go on without a lease."""
        return (
            self.current_revision > 0
            and self.current.policies.stale_lease == "serve"
        )

    def members(self, service: str) -> list[member_messages.Announcement]:
        """Returns the live upstreams of a service, sorted by instance."""
        return list(self.by_service.get(service, ()))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of manifest or members."""
        self.callbacks.append(callback)

    # --- Restrictions ---------------------------------------------------------

    def draining(self, instance: str, failure_domain: str) -> bool:
        """Tells whether an operator drains the instance or its domain."""
        return (
            f"instance/{instance}" in self.drains
            or f"failure_domain/{failure_domain}" in self.drains
        )

    def quarantined(self, digest: bytes) -> bool:
        """Tells whether a request is refused everywhere."""
        return digest in self.quarantine

    def suspect(self, digest: bytes) -> bool:
        """Tells whether a request may run beside no other suspect only."""
        return digest in self.suspects

    # --- Asking control -------------------------------------------------------

    def ask(self, message: Any, timeout: float) -> Any:
        """Asks the config leader, going through any control instance.

        The message must be safe to repeat.

        Raises:
            errors.ControlUnavailable: No control instance gave an answer.
        """
        deadline = self.timers.now() + timeout
        pending = self.addresses()
        while pending and self.timers.now() < deadline:
            address = pending.pop(0)
            left = deadline - self.timers.now()
            try:
                return self.streams.ask(address, message, left)
            except errors.NotLeader as error:
                if error.leader and error.leader != address:
                    pending.insert(0, error.leader)
                else:
                    self.timers.sleep(0.1)
                    pending = pending or self.addresses()
            except (errors.StreamClosed, errors.StreamTimeout):
                self.timers.sleep(0.1)
                pending = pending or self.addresses()
        raise errors.ControlUnavailable("No config leader answered.")

    def announce(self) -> None:
        """Sends a changed announcement at once, not at the next renewal."""
        self.stream.report()

    # --- config_stream.Owner --------------------------------------------------

    def select_address(self, attempt: int) -> str:
        """Returns the control instance to try."""
        order = self.addresses()
        return order[attempt % len(order)] if order else ""

    def follow_request(self) -> config_messages.FollowConfiguration:
        """Returns the first message of a stream."""
        return config_messages.FollowConfiguration(
            self.node,
            self.role,
            self.failure_domain,
            self.own_address,
            self.current_revision,
            self.registered.version,
        )

    def applied_revision(self) -> int:
        """Returns the revision applied here."""
        return self.current_revision

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns the announcement when the control instance lacks it."""
        announcement = self.announcer() if self.announcer else None
        if announcement is None:
            return []
        unnumbered = announcement._replace(counter=0)
        if not first and unnumbered == self.announced:
            return []
        self.announced = unnumbered
        return [member_messages.Announce(announcement)]

    def handle_message(self, message: Any) -> None:
        """Handles a message of the control instance."""
        match message:
            case config_messages.ConfigUpdate():
                self._take_config(message)
            case member_messages.MembersUpdate():
                self._take_members(message)
            case config_messages.Restrictions():
                self._take_restrictions(message)
            case member_messages.DirectoryUpdate():
                if self.registered.apply_update(message):
                    self._notify()
            case member_messages.LeaseRenewed(duplicate=duplicate):
                self.duplicate = duplicate
            case _:
                logger.warning("Unexpected {}", type(message).__name__)

    # --- Updates --------------------------------------------------------------

    def _take_config(self, update: config_messages.ConfigUpdate) -> None:
        if update.revision < self.current_revision:
            # A control instance that lags must not take the node back.
            return
        if not update.whole and update.base > self.current_revision:
            # What these changes rest on could not be read here.
            return
        if update.revision > self.current_revision:
            if not self._apply(update):
                return
            self.lease.renew(update.echo, update.lease)
            self.stream.report()
            self._notify()
            return
        self.lease.renew(update.echo, update.lease)

    def _apply(self, update: config_messages.ConfigUpdate) -> bool:
        """Applies an update whole or not at all."""
        assembly = sections.Assembly() if update.whole else self.assembly
        try:
            assembly.put(list(update.sections.items()))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            # No renewal follows, so the node refuses new work instead of
            # acting on a manifest that is not in force.
            logger.error(
                "Revision {} can't be read by this release: {}",
                update.revision,
                error,
            )
            return False
        self.assembly = assembly
        self.current = assembly.manifest()
        self.current_revision = update.revision
        return True

    def _take_members(self, update: member_messages.MembersUpdate) -> None:
        now = self.timers.now()
        if update.whole:
            listed = {item.sidecar.instance for item in update.members}
            for instance in self.by_instance:
                if instance not in listed:
                    self.kept_until.setdefault(instance, now + MISSING_GRACE)
        for announcement in update.members:
            instance = announcement.sidecar.instance
            self.by_instance[instance] = announcement
            self.kept_until.pop(instance, None)
        for sidecar in update.gone:
            held = self.by_instance.get(sidecar.instance)
            if held is not None and held.sidecar == sidecar:
                self._remove(sidecar.instance)
        self._index()

    def _drop_missing(self) -> None:
        now = self.timers.now()
        late = [name for name, at in self.kept_until.items() if at <= now]
        for instance in late:
            self._remove(instance)
        if late:
            self._index()

    def _remove(self, instance: str) -> None:
        self.by_instance.pop(instance, None)
        self.kept_until.pop(instance, None)

    def _index(self) -> None:
        """Sorts the members by service and marks the drained ones."""
        index: dict[str, list[member_messages.Announcement]] = {}
        for name in sorted(self.by_instance):
            item = self.by_instance[name]
            if self.draining(name, item.failure_domain):
                item = item._replace(state="draining")
            index.setdefault(item.service, []).append(item)
        self.by_service = index
        self._notify()

    def _take_restrictions(self, update: config_messages.Restrictions) -> None:
        if update.version < self.restrictions.version:
            return
        self.restrictions = update
        self.drains = frozenset(update.drains)
        self.quarantine = frozenset(update.quarantined)
        self.suspects = frozenset(update.suspects)
        self._index()

    def addresses(self) -> list[str]:
        """Returns the control instances' stream addresses, by preference."""
        known = [*self.control_addresses, *self.restrictions.control]
        return config_stream.rank_addresses(self.node.instance, known)

    def _rebalance(self) -> None:
        home = self.select_address(0)
        if not self.stream.address or self.stream.address == home:
            return
        try:
            # Moving to an instance that is cut off could cost the lease.
            self.streams.ask(home, config_messages.Ping(), 1.0)
        except errors.MintcleatError:
            return
        self.stream.return_to_preferred()

    def _notify(self) -> None:
        for callback in self.callbacks:
            callback()
