"""Keeps requests that crash upstreams from running.

An upstream has crashed if it lost a request of this entry and then refuses
connections, or if another incarnation registers in its place. A connection
that was reset, a cut link, a planned stop and a broken answer are none of
these. What was lost is reported to control, which knows the crashes that other
entries saw, decides by `configuration.crash_evidence`, and tells every entry.

The same decision is made here from what this entry saw itself, so that one
entry doesn't go on crashing upstreams while it can't reach control.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import eventlet
from eventlet import event

from mintcleat.configuration import crash_evidence
from mintcleat.configuration import directory
from mintcleat.configuration import lost_runs
from mintcleat.configuration import object_evidence
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import crash_reporter

# Time that a request waits to learn whether its upstream has crashed. A refused
# connection takes one round trip; an upstream that lost power never answers.
_VERDICT_SECONDS = 0.05
# Time within which a new incarnation in the place of a lost upstream shows that
# it crashed. Services restart within some seconds.
_REPLACEMENT_SECONDS = 5.0
# Time for which a run that ended well shows that a request isn't what crashes
# an upstream; it bounds the memory for it, with the number that is kept.
_ENDED_WELL_SECONDS = 10.0
_ENDED_WELL_KEPT = 2_048
# Losses at one upstream that are remembered until it is known why.
_LOSSES_KEPT = 256
# Crashed upstreams that are remembered.
_CRASHED_KEPT = 256
# Quarantine by this entry alone. Control's decision follows within a second,
# unless it can't be reached; then a trial of one upstream in this time is what
# the request may cost.
OWN_QUARANTINE_SECONDS = 30.0
# Crashes of one request after which an entry doesn't send it on, although its
# route allows more attempts. A crash that spoke against it before counts as
# one. The next one would quarantine it, which control decides.
MAX_CRASHES = 2

_REFUSED = "refused"
_REPLACED = "replaced"


class Configuration(crash_reporter.Control, Protocol):
    """The part of the followed configuration that is used here.

    Attributes:
        registered: Upstreams that registered themselves.
        quarantine: Digests of requests that must not run.
        suspects: Digests of requests that were lost in crashes.
    """

    registered: directory.Directory
    quarantine: frozenset[bytes]
    suspects: frozenset[bytes]

    def manifest(self) -> manifest.Manifest:
        """Returns the applied manifest."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each change."""


class Sent(NamedTuple):
    """A request as it was sent to an upstream.

    Attributes:
        digest: Digest that all repetitions of the request share.
        at: Monotonic time of the sending.
        after: Incarnation of the upstream that crashed under the attempt
            before; empty for none.
        object_digest: Digest that all requests for its object share.
    """

    request: str
    digest: bytes
    route: str
    customer: str
    at: float
    after: str = ""
    object_digest: bytes = b""


class _Loss(NamedTuple):
    """A request that was lost, before it is known why."""

    sent: Sent
    service: str
    address: str
    upstream: str
    lost_at: float


class CrashWatch:
    """The requests of one entry at upstreams, and what crashes told of them.

    Attributes:
        enabled: Whether it decides anything; experiments can do without.
        own: Evidence of the crashes that this entry saw.
        own_objects: The same about objects.
        reporter: Sends them to control.
        running: Digests of this entry's requests, by upstream and request id.
        crashed: Incarnations of upstreams that crashed; the oldest first.
        lost: Requests that were lost less than `_REPLACEMENT_SECONDS` ago at
            upstreams that may have crashed, by incarnation.
        ended_well: When a request last ended well, by digest; oldest first.
        objects_ended_well: The same by the digest of its object.
        quarantined_at: When control's quarantine was learned, by digest.
    """

    def __init__(
        self,
        configuration: Configuration,
        upstreams: forwarding.UpstreamClient,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        enabled: bool = True,
    ) -> None:
        self.enabled = enabled
        self.configuration = configuration
        self.upstreams = upstreams
        self.timers = timers
        self.events = events
        self.own = crash_evidence.CrashEvidence()
        self.own_objects = object_evidence.ObjectEvidence(self.own)
        self.own_suspects: frozenset[bytes] = frozenset()
        self.own_suspected_objects: frozenset[bytes] = frozenset()
        self.reporter = crash_reporter.CrashReporter(configuration, timers)
        self.running: dict[str, dict[str, bytes]] = {}
        self.crashed: dict[str, None] = {}
        self.probes: dict[str, event.Event] = {}
        self.lost: dict[str, list[_Loss]] = {}
        self.ended_well: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.objects_ended_well: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.quarantined_at: dict[bytes, float] = {}
        configuration.subscribe(self._configuration_changed)

    # --- Decisions ------------------------------------------------------------

    def is_quarantined(self, digest: bytes) -> bool:
        """Returns whether a request must not be sent to any upstream.

        Args:
            digest: Digest of the request or of its object.
        """
        if not self.enabled:
            return False
        if digest in self.configuration.quarantine:
            return True
        now, limits = self.timers.now(), self._own_limits()
        objects = self.own_objects
        is_due = bool(objects.due) and objects.next_expiry() <= now
        if not is_due and (
            digest not in self.own.quarantine
            and digest not in objects.quarantine
        ):
            return False
        self.own.expire(now, limits)
        self.own_objects.expire(now, limits)
        self._refresh_suspects()
        return (
            digest in self.own.quarantine
            or digest in self.own_objects.quarantine
        )

    def is_suspect(self, digest: bytes) -> bool:
        """Returns whether a crash speaks against a request."""
        return self.enabled and (
            digest in self.own_suspects or digest in self.configuration.suspects
        )

    def retry_after(self, digest: bytes) -> float:
        """Returns the seconds until a quarantined request may be tried."""
        now = self.timers.now()
        since = self.quarantined_at.get(digest)
        if since is not None:
            seconds = self.configuration.manifest().policies.quarantine_seconds
            return max(1.0, since + seconds - now)
        item = self.own.quarantine.get(digest)
        if item is None:
            item = self.own_objects.quarantine.get(digest)
        return max(1.0, item.until - now) if item else 1.0

    def avoided(self, digest: bytes) -> set[str]:
        """Returns the upstreams that a request should not be sent to.

        A suspect runs where this entry runs nothing else, and nothing else is
        sent there meanwhile: a further crash then ends no other request, and
        shows which one is the cause.
        """
        if self.is_suspect(digest):
            return set(self.running)
        if not self.own_suspects and not self.configuration.suspects:
            return set()
        return {
            incarnation
            for incarnation, digests in self.running.items()
            if any(self.is_suspect(other) for other in digests.values())
        }

    # --- Course of requests ---------------------------------------------------

    def began(self, incarnation: str, sent: Sent) -> None:
        """Records that a request is sent to an upstream."""
        self.running.setdefault(incarnation, {})[sent.request] = sent.digest

    def ended(self, incarnation: str, request: str) -> None:
        """Records that a request doesn't run at an upstream any more."""
        digests = self.running.get(incarnation, {})
        digests.pop(request, None)
        if not digests:
            self.running.pop(incarnation, None)

    def responded(
        self, upstream: member_messages.Registration, sent_at: float
    ) -> None:
        """Records that an upstream began to answer a request.

        What was lost before that was sent was not lost in a crash. One that
        may start again under its id has to be known by a whole answer.
        """
        losses = self.lost.get(upstream.incarnation)
        if not losses or upstream.started:
            return
        losses[:] = [loss for loss in losses if loss.lost_at >= sent_at]
        if not losses:
            del self.lost[upstream.incarnation]

    def answered(
        self, incarnation: str, digest: bytes, object_digest: bytes
    ) -> None:
        """Records that an upstream completed a run of a request.

        What was lost there before was not lost in a crash, or was before a
        restart under the same name.
        """
        self.lost.pop(incarnation, None)
        self.crashed.pop(incarnation, None)
        now = self.timers.now()
        _remember(self.ended_well, digest, now)
        _remember(self.objects_ended_well, object_digest, now)
        if self.is_suspect(digest):
            self.own.record_end(digest, now, self._own_limits())
            self._refresh_suspects()
            self.reporter.add_ended_well(digest)
        if self._is_accused(object_digest):
            # A run that was under way when its object was quarantined acquits
            # it, too.
            self.own_objects.record_end(object_digest, now, self._own_limits())
            self._refresh_suspects()
            self.reporter.add_ended_object(object_digest)

    def _is_accused(self, object_digest: bytes) -> bool:
        """Returns whether a crash speaks against an object."""
        return self.enabled and (
            object_digest in self.own_suspected_objects
            or object_digest in self.configuration.suspects
            or self.is_quarantined(object_digest)
        )

    def connection_lost(
        self, upstream: member_messages.Registration, sent: Sent
    ) -> bool:
        """Handles a request whose connection to its upstream was lost.

        Waits up to `_VERDICT_SECONDS` for an answer. What is learned later is
        reported nevertheless.

        Returns:
            Whether the upstream is known to have crashed.
        """
        if not self.enabled:
            return False
        incarnation = upstream.incarnation
        if not self.configuration.registered.is_ready(upstream):
            # A planned stop cuts what is left at its end.
            return incarnation in self.crashed
        now = self.timers.now()
        losses = self.lost.setdefault(incarnation, [])
        losses.append(
            _Loss(
                sent,
                upstream.service,
                upstream.address,
                upstream.upstream,
                now,
            )
        )
        # An upstream that resets every connection would fill the list.
        del losses[:-_LOSSES_KEPT]
        if incarnation in self.crashed:
            self._confirm(incarnation, _REFUSED)
            return True
        probe = self.probes.get(incarnation)
        if probe is None:
            probe = self.probes[incarnation] = event.Event()
            self.timers.spawn(self._probe, upstream, probe)
        with eventlet.Timeout(_VERDICT_SECONDS, False):
            probe.wait()
        return incarnation in self.crashed

    # --- Signs of a crash -----------------------------------------------------

    def _probe(
        self, upstream: member_messages.Registration, probe: event.Event
    ) -> None:
        """Finds out whether an upstream refuses connections."""
        incarnation = upstream.incarnation
        try:
            found = self.upstreams.probe(upstream)
            if found is routed_calls.Reachability.REFUSES:
                self._confirm(incarnation, _REFUSED)
        finally:
            del self.probes[incarnation]
            probe.send()

    def _configuration_changed(self) -> None:
        """Looks for upstreams that were replaced, and for quarantines."""
        now = self.timers.now()
        quarantine = self.configuration.quarantine
        if quarantine != self.quarantined_at.keys():
            for digest in self.quarantined_at.keys() - quarantine:
                # An operator released it, or it ended well elsewhere.
                del self.quarantined_at[digest]
                self.own.release(digest, now)
                self.own_objects.release(digest, now)
            for digest in quarantine - self.quarantined_at.keys():
                self.quarantined_at[digest] = now
            self._refresh_suspects()
            self.events.emit(
                event_types.QuarantineChanged(
                    len(quarantine), len(self.configuration.suspects)
                )
            )
        for incarnation in list(self.lost):
            losses = self.lost[incarnation]
            if losses[-1].lost_at < now - _REPLACEMENT_SECONDS:
                del self.lost[incarnation]
            elif self._is_replaced(incarnation, losses[0]):
                self._confirm(incarnation, _REPLACED)

    def _is_replaced(self, incarnation: str, loss: _Loss) -> bool:
        """Returns whether another incarnation took an upstream's place."""
        entries = self.configuration.registered.entries
        current = entries.get(loss.upstream)
        if current is not None and current.incarnation != incarnation:
            return True
        return any(
            item.address == loss.address and item.incarnation != incarnation
            for item in entries.values()
        )

    def _confirm(self, incarnation: str, sign: str) -> None:
        """Records and reports the requests lost in a crash."""
        losses = self.lost.pop(incarnation, [])
        if not losses:
            return
        is_new = incarnation not in self.crashed
        self.crashed[incarnation] = None
        while len(self.crashed) > _CRASHED_KEPT:
            del self.crashed[next(iter(self.crashed))]
        first_lost_at = min(loss.lost_at for loss in losses)
        suspected = [
            loss
            for loss in losses
            if loss.sent.at < first_lost_at
            and loss.sent.digest not in self.ended_well
        ]
        if suspected:
            self._report(incarnation, suspected, sign == _REPLACED)
        # Only refused connections show when an upstream crashed. If it was
        # replaced, a request may have been sent to it after that, and this
        # entry may be the only one that it was sent through.
        if suspected and sign == _REFUSED:
            self._record(incarnation, suspected)
        if is_new:
            first = losses[0]
            self.events.emit(
                event_types.UpstreamCrashed(
                    first.upstream,
                    first.service,
                    sign,
                    len(losses),
                    [loss.sent.request for loss in suspected],
                )
            )

    def _record(self, incarnation: str, losses: list[_Loss]) -> None:
        found = [
            crash_evidence.Loss(
                loss.sent.digest,
                lost_runs.Run(loss.sent.at, loss.lost_at, loss.sent.after),
                crash_evidence.Subject(
                    loss.service,
                    loss.sent.route,
                    loss.sent.customer,
                    loss.sent.request,
                ),
            )
            for loss in losses
        ]
        objects = {
            loss.sent.digest: loss.sent.object_digest
            for loss in losses
            if self._speaks_against_object(loss)
        }
        self.own_objects.record_contents(
            incarnation, found, objects, self.timers.now(), self._own_limits()
        )
        self._refresh_suspects()

    def _speaks_against_object(self, loss: _Loss) -> bool:
        """Returns whether nothing of a lost request's object ended well."""
        return loss.sent.object_digest not in self.objects_ended_well

    def _report(
        self, incarnation: str, losses: list[_Loss], is_replaced: bool
    ) -> None:
        replaced_at = self.timers.now() if is_replaced else 0.0
        for loss in losses:
            self.reporter.add_loss(
                incarnation,
                loss.service,
                loss.lost_at,
                member_messages.LostRequest(
                    loss.sent.digest,
                    loss.lost_at - loss.sent.at,
                    loss.sent.after,
                    loss.sent.route,
                    loss.sent.customer,
                    loss.sent.request,
                ),
                loss.sent.object_digest
                if self._speaks_against_object(loss)
                else b"",
                replaced_at,
            )

    def _own_limits(self) -> crash_evidence.Limits:
        policies = self.configuration.manifest().policies
        return crash_evidence.Limits(
            policies.quarantine_crashes,
            min(OWN_QUARANTINE_SECONDS, policies.quarantine_seconds),
            policies.suspicion_seconds,
        )

    def _refresh_suspects(self) -> None:
        self.own_suspects = frozenset(self.own.suspects())
        self.own_suspected_objects = frozenset(self.own_objects.suspects())


def _remember(
    ended: collections.OrderedDict[bytes, float], digest: bytes, now: float
) -> None:
    """Notes that a request has ended well, and forgets what is too old."""
    ended[digest] = now
    ended.move_to_end(digest)
    while (
        len(ended) > _ENDED_WELL_KEPT
        or next(iter(ended.values())) < now - _ENDED_WELL_SECONDS
    ):
        ended.popitem(last=False)
