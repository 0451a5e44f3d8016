"""The configuration and members at an entry or a sidecar.

Implements `ports.directory.Directory` and `ports.membership.Membership`.
"""

from collections.abc import Callable
import math
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

# Interval at which a node tries to return to its preferred control instance, so
# that the load is even again after a control instance has restarted.
REBALANCE_SECONDS = 60.0
# After a failover, a control instance may not know every upstream yet.
# Upstreams that are missing from its first list are kept for this time. This
# is safe: one that has really left accepts no calls.
MISSING_GRACE_SECONDS = lease.MEMBER_LEASE_SECONDS
# Number of renewal rounds within which a connected node receives a push, with
# half a round of margin.
_LATE_PUSH_ROUNDS = 1.5

Announcer = Callable[[], member_messages.Announcement | None]


class Follower:
    """Keeps the manifest, lease and members of a node up to date.

    Attributes:
        node: Incarnation of the node.
        announcer: Returns the upstream's announcement; None on entries.
        duplicate: Whether a newer process announces this node's name.
        assembly: Sections of the applied manifest.
        by_instance: Announcements of the members by instance.
        by_service: The same by service, with drained members marked.
        missing_until: When members missing from a full list are removed.
        restrictions: The latest drains, quarantine and suspects.
        registered: Upstreams that registered themselves.
        announced: The announcement sent last, without its counter.
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
        self.missing_until: dict[str, float] = {}
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
        """Starts to follow the configuration; does not block."""
        self.stream.start()
        self.subscriptions = [
            self.timers.every(REBALANCE_SECONDS, self._rebalance),
            self.timers.every(self.times.renew, self._drop_missing),
        ]

    def stop(self) -> None:
        """Stops following the configuration; the lease is left to expire."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.stream.stop()

    # --- ports.directory.Directory --------------------------------------------

    def manifest(self) -> manifest.Manifest:
        """Returns the applied manifest."""
        return self.current

    def revision(self) -> int:
        """Returns the applied revision; 0 before the first."""
        return self.current_revision

    def has_lease(self) -> bool:
        """Returns whether new work may be accepted on this revision."""
        return self.lease_left() > 0

    def lease_left(self) -> float:
        """Returns the seconds until the lease expires; 0 if it has."""
        return self.lease.left(self.timers.now())

    def key_seconds(self) -> float:
        """Returns the seconds for which customers' keys are still accepted."""
        if not self.current_revision:
            return 0.0
        return self.lease.left(self.timers.now(), self.times.key_grace)

    def known_until(self) -> float:
        """Returns the time up to which every accepted push is known here.

        When the leader granted the lease, for at most `max_lease`, it had no
        newer revision than this one, and relays never extend a lease.

        Returns:
            Monotonic time in seconds.
        """
        return self.lease.expires - self.times.max_lease

    def push_propagation_seconds(self) -> float:
        """Returns the seconds within which a connected node gets a push."""
        return _LATE_PUSH_ROUNDS * (self.times.renew + self.times.relay_renew)

    def may_serve_stale(self) -> bool:
        """Returns whether idempotent plain calls are served without a lease."""
        return (
            self.current_revision > 0
            and self.current.policies.stale_lease == "serve"
        )

    def members(self, service: str) -> list[member_messages.Announcement]:
        """Returns the live upstreams of a service, sorted by instance."""
        return list(self.by_service.get(service, ()))

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each change of the manifest or members."""
        self.callbacks.append(callback)

    # --- Restrictions ---------------------------------------------------------

    def is_draining(self, instance: str, failure_domain: str) -> bool:
        """Returns whether the instance or its failure domain is drained."""
        return (
            f"instance/{instance}" in self.drains
            or f"failure_domain/{failure_domain}" in self.drains
        )

    def is_quarantined(self, digest: bytes) -> bool:
        """Returns whether a request is quarantined, that is, never run."""
        return digest in self.quarantine

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a request is suspected of crashing upstreams.

        A suspect may run beside other requests, but not beside other suspects.
        """
        return digest in self.suspects

    # --- Asking control -------------------------------------------------------

    def ask(
        self, message: Any, timeout: float, try_timeout: float = math.inf
    ) -> Any:
        """Sends a request to the config leader and returns its reply.

        The request may be sent more than once, so it must be idempotent.

        Args:
            message: The request.
            timeout: Seconds within which a reply must come.
            try_timeout: Seconds after which another control instance is asked;
                one that stands still never answers.

        Raises:
            errors.ControlUnavailable: No control instance answered in time.
        """
        deadline = self.timers.now() + timeout
        pending = self.addresses()
        while pending and self.timers.now() < deadline:
            address = pending.pop(0)
            left = deadline - self.timers.now()
            try:
                return self.streams.ask(
                    address, message, min(left, try_timeout)
                )
            except errors.NotLeader as error:
                if error.leader and error.leader != address:
                    pending.insert(0, error.leader)
                else:
                    self.timers.sleep(0.1)
                    pending = pending or self.addresses()
            except (errors.StreamClosed, errors.StreamTimeout):
                self.timers.sleep(0.1)
                pending = pending or self.addresses()
        raise errors.ControlUnavailable(
            f"No config leader answered within {timeout:g} s."
        )

    def announce(self) -> None:
        """Sends a changed announcement now, not at the next renewal."""
        self.stream.report()

    # --- config_stream.Owner --------------------------------------------------

    def select_address(self, attempt: int) -> str:
        """Returns the address of the control instance to try.

        Args:
            attempt: Number of instances tried before.
        """
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
        """Returns the applied revision."""
        return self.current_revision

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns the announcement if the control instance lacks it."""
        announcement = self.announcer() if self.announcer else None
        if announcement is None:
            return []
        unnumbered = announcement._replace(counter=0)
        if not first and unnumbered == self.announced:
            return []
        self.announced = unnumbered
        return [member_messages.Announce(announcement)]

    def handle_message(self, message: Any) -> None:
        """Handles a message from the control instance."""
        match message:
            case config_messages.ConfigUpdate():
                self._apply_config(message)
            case member_messages.MembersUpdate():
                self._apply_members(message)
            case config_messages.Restrictions():
                self._apply_restrictions(message)
            case member_messages.DirectoryUpdate():
                if self.registered.apply_update(message):
                    self._notify()
            case member_messages.LeaseRenewed(duplicate=duplicate):
                self.duplicate = duplicate
            case _:
                logger.warning(
                    "Ignored an unexpected {}", type(message).__name__
                )

    # --- Updates --------------------------------------------------------------

    def _apply_config(self, update: config_messages.ConfigUpdate) -> None:
        if update.revision < self.current_revision:
            # A control instance that lags must not make the node go back.
            return
        if not update.whole and update.base > self.current_revision:
            # The revision that these changes build on was not applied here.
            return
        if update.revision > self.current_revision:
            if not self._apply_sections(update):
                return
            self.lease.renew(update.echo, update.lease)
            self.stream.report()
            self._notify()
            return
        self.lease.renew(update.echo, update.lease)

    def _apply_sections(self, update: config_messages.ConfigUpdate) -> bool:
        """Applies an update as a whole; returns whether that succeeded."""
        assembly = sections.Assembly() if update.whole else self.assembly
        try:
            assembly.put(list(update.sections.items()))
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            # The lease is not renewed, so that the node stops accepting work
            # instead of acting on an outdated manifest.
            logger.error(
                "This release can't read revision {}: {}",
                update.revision,
                error,
            )
            return False
        self.assembly = assembly
        self.current = assembly.manifest()
        self.current_revision = update.revision
        return True

    def _apply_members(self, update: member_messages.MembersUpdate) -> None:
        now = self.timers.now()
        if update.whole:
            listed = {item.sidecar.instance for item in update.members}
            for instance in self.by_instance:
                if instance not in listed:
                    self.missing_until.setdefault(
                        instance, now + MISSING_GRACE_SECONDS
                    )
        for announcement in update.members:
            instance = announcement.sidecar.instance
            self.by_instance[instance] = announcement
            self.missing_until.pop(instance, None)
        for sidecar in update.gone:
            held = self.by_instance.get(sidecar.instance)
            if held is not None and held.sidecar == sidecar:
                self._remove(sidecar.instance)
        self._index()

    def _drop_missing(self) -> None:
        now = self.timers.now()
        late = [name for name, at in self.missing_until.items() if at <= now]
        for instance in late:
            self._remove(instance)
        if late:
            self._index()

    def _remove(self, instance: str) -> None:
        self.by_instance.pop(instance, None)
        self.missing_until.pop(instance, None)

    def _index(self) -> None:
        """Groups the members by service and marks the drained ones."""
        index: dict[str, list[member_messages.Announcement]] = {}
        for name in sorted(self.by_instance):
            item = self.by_instance[name]
            if self.is_draining(name, item.failure_domain):
                item = item._replace(state="draining")
            index.setdefault(item.service, []).append(item)
        self.by_service = index
        self._notify()

    def _apply_restrictions(self, update: config_messages.Restrictions) -> None:
        if update.version < self.restrictions.version:
            return
        self.restrictions = update
        self.drains = frozenset(update.drains)
        self.quarantine = frozenset(update.quarantined)
        self.suspects = frozenset(update.suspects)
        self._index()

    def addresses(self) -> list[str]:
        """Returns the control instances' addresses in order of preference."""
        known = [*self.control_addresses, *self.restrictions.control]
        return config_stream.rank_addresses(self.node.instance, known)

    def _rebalance(self) -> None:
        home = self.select_address(0)
        if not self.stream.address or self.stream.address == home:
            return
        try:
            # A move to an unreachable instance could let the lease expire.
            self.streams.ask(home, config_messages.Ping(), 1.0)
        except errors.MintcleatError:
            return
        self.stream.return_to_preferred()

    def _notify(self) -> None:
        for callback in self.callbacks:
            callback()
