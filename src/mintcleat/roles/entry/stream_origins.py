"""Finds and records which version of software began a stream.

A caller may take up a broken stream at any entry, also after the one that
relayed it has ended. Each stream that may be taken up has a record at a program
group, written once. While a service has one version, the record is part of the
commit that opens the turn, before anything runs. Otherwise it is written when
the first event is there, since only then the version is certain; the event
doesn't wait for it. If the entry ends in between there is no record, never a
wrong one.

An entry that doesn't know the version refuses to continue a stream.
"""

from typing import Any
from typing import Protocol

from mintcleat.decisions import control_outage
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins
from mintcleat.ports import control as control_ports
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import placement
from mintcleat.programs import streams
from mintcleat.roles.entry import upstream_loads

# A caller may take a stream up until its own deadline, which no entry knows if
# the stream began at another one. It is taken for at most this many times the
# longest time of one request, and for no less than a minute: a version that was
# over before can't have begun the stream.
TAKE_UP_FACTOR = 2.0
MIN_TAKE_UP_SECONDS = 60.0
# Time after which another control instance is asked for the versions of a
# service: some round trips, well below what a caller waits.
TRY_SECONDS = 0.25
# Longest time for which a caller's own deadline keeps a record. Callers may
# name any deadline, and every replica has the record in memory until then.
MAX_DEADLINE_SECONDS = 600.0
# Pauses before a missing record is looked up again: about the duration of one
# commit, then of two. A refusal would come too late after longer ones.
RECORD_DELAYS = (0.02, 0.03)


class Configuration(Protocol):
    """The part of the followed configuration that is used here."""

    def ask(self, message: Any, timeout: float, try_timeout: float) -> Any:
        """Sends a request to the config leader and returns its reply."""

    def lease_left(self) -> float:
        """Returns the seconds left of the configuration lease."""


class StreamOrigins:
    """Origins of the streams that pass through one entry."""

    def __init__(
        self,
        configuration: Configuration,
        control: control_ports.Control,
        loads: upstream_loads.UpstreamLoads,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
    ) -> None:
        self.configuration = configuration
        self.control = control
        self.loads = loads
        self.timers = timers
        self.events = events

    def planned(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        service: str,
    ) -> program_messages.BegunStream | None:
        """Returns the stream that a request will begin.

        None if it can't be taken up, or its version isn't certain yet.
        """
        versions = self.loads.versions.get(service, frozenset())
        if not _may_be_taken_up(route) or len(versions) != 1:
            return None
        (version,) = versions
        return program_messages.BegunStream(
            stream_origins.StreamOrigin(service, version),
            _record_seconds(call, route),
        )

    def continued(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        known: stream_origins.KnownOrigin,
    ) -> program_messages.BegunStream | None:
        """Returns the record of a request that takes up a known stream.

        Callers may name it, instead of the request that brought the first
        event, when it breaks off too.
        """
        if not _may_be_taken_up(route):
            return None
        return program_messages.BegunStream(
            known.origin, _record_seconds(call, route)
        )

    def begun(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        origin: stream_origins.StreamOrigin,
    ) -> None:
        """Records a stream whose first event is there, in the background."""
        if _may_be_taken_up(route):
            stream = program_messages.BegunStream(
                origin, _record_seconds(call, route)
            )
            self.timers.spawn(self._record, call, call.request, stream)

    def went_on(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        origin: stream_origins.StreamOrigin,
    ) -> None:
        """Prolongs the record that a take-up has named, in the background.

        Callers may name the first request each time, and the record counts from
        the first event. It would expire within a stream that lasts for longer
        than one request.
        """
        if call.resumes and _may_be_taken_up(route):
            stream = program_messages.BegunStream(
                origin, _record_seconds(call, route)
            )
            self.timers.spawn(self._record, call, call.resumes, stream)

    def find(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        service: str,
    ) -> stream_origins.KnownOrigin:
        """Returns the origin of a stream that a caller takes up.

        Its service is that of the record, if the route leads there: the request
        that the caller names need not be the one that chose the service.

        Args:
            call: The request.
            route: Its route.
            service: The route's service for it, where nothing is recorded.

        Raises:
            errors.UnknownStream: It isn't known.
            errors.ControlUnavailable: No leader answered in time.
        """
        began = self.timers.now()
        try:
            found = (
                self._recorded(call)
                or self._only(call, route, service)
                or self._recorded_soon(call)
            )
        except (errors.OutcomeUnknown, errors.ControlUnavailable) as error:
            # Both questions change nothing.
            raise errors.ControlUnavailable(
                error.detail, retry_after=control_outage.RETRY_SECONDS
            ) from None
        record = _record_of(call, route, found)
        if found is not None and found.origin.service in _services(route):
            service = found.origin.service
        else:
            # Its route leads to another service by now, or nothing is known.
            found = None
        self.events.emit(
            event_types.StreamTakenUp(
                call.request,
                call.resumes,
                service,
                found.origin.version if found else "",
                found.source.value if found else "unknown",
                round(self.timers.now() - began, 4),
                record,
            )
        )
        if found is None:
            # Only a record that may be on its way changes that soon.
            is_soon = record == "none"
            raise errors.UnknownStream(
                f"It isn't known which version of service {service!r} began "
                "the stream that the request takes up "
                f"({call.resumes or 'no request named'}).",
                retry_after=control_outage.RETRY_SECONDS if is_soon else 0.0,
            )
        return found

    def _recorded(
        self, call: routed_calls.RoutedCall
    ) -> stream_origins.KnownOrigin | None:
        """Returns the recorded origin of a stream, if there is a record."""
        if not call.resumes:
            return None
        found = self._ask_group(
            program_messages.FindStream(
                call.program.program, call.customer, call.resumes
            )
        )
        if found.origin is None:
            return None
        return stream_origins.KnownOrigin(
            found.origin, stream_origins.Source.RECORDED
        )

    def _recorded_soon(
        self, call: routed_calls.RoutedCall
    ) -> stream_origins.KnownOrigin | None:
        """Returns an origin whose record was on its way.

        A stream that broke off right after its first event may be taken up
        before its entry's batch with the record has reached the leader.
        """
        for seconds in RECORD_DELAYS if call.resumes else ():
            self.timers.sleep(seconds)
            found = self._recorded(call)
            if found is not None:
                return found
        return None

    def _only(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        service: str,
    ) -> stream_origins.KnownOrigin | None:
        """Returns the only version that can have begun a stream, if any.

        The config leader is asked, as this entry's own directory and routes may
        be older than those of the entry which began the stream. On a route that
        is split, only a program or an object leads to the same service again.
        """
        is_placed = bool(call.program.program or call.affinity)
        if len(_services(route)) > 1 and not is_placed:
            return None
        seconds = max(
            MIN_TAKE_UP_SECONDS, TAKE_UP_FACTOR * _request_seconds(call, route)
        )
        found = self.configuration.ask(
            member_messages.ReadSoftwareVersions(service, seconds),
            self._hold_seconds(),
            TRY_SECONDS,
        )
        # Without a lease the route may have moved before the time asked for.
        if len(found.versions) != 1 or self.configuration.lease_left() <= 0:
            return None
        return stream_origins.KnownOrigin(
            stream_origins.StreamOrigin(service, found.versions[0]),
            stream_origins.Source.ONLY,
        )

    def _record(
        self,
        call: routed_calls.RoutedCall,
        name: str,
        stream: program_messages.BegunStream,
    ) -> None:
        """Has the program group record a stream under the id of a request."""
        request = program_messages.RecordStream(
            call.program.program, call.customer, name, stream
        )
        began = self.timers.now()
        # An entry that is cut off from control sends it once it is back, for as
        # long as callers may come back.
        limit = stream.seconds + streams.SLACK_SECONDS
        try:
            self.control.ask(placement.scope_of(request), request, limit)
            seconds = self.timers.now() - began
            if seconds > sum(RECORD_DELAYS):
                self.events.emit(
                    event_types.StreamRecordedLate(
                        name,
                        *stream.origin,
                        round(seconds, 4),
                        stream.seconds,
                    )
                )
        except errors.MintcleatError as error:
            self.events.emit(
                event_types.StreamUnrecorded(name, *stream.origin, error.detail)
            )

    def _ask_group(self, request: program_messages.FindStream) -> Any:
        return self.control.ask(
            placement.scope_of(request), request, self._hold_seconds()
        )

    def _hold_seconds(self) -> float:
        return control_outage.hold_seconds(self.configuration.lease_left())


def _record_of(
    call: routed_calls.RoutedCall,
    route: manifest.Route,
    found: stream_origins.KnownOrigin | None,
) -> str:
    """Returns what the program group has on a stream, for the log."""
    if not call.resumes:
        return ""
    if found is None or found.source is not stream_origins.Source.RECORDED:
        return "none"
    if found.origin == streams.AMBIGUOUS:
        return "ambiguous"
    is_led_to = found.origin.service in _services(route)
    return "found" if is_led_to else "other_service"


def _may_be_taken_up(route: manifest.Route) -> bool:
    """Returns whether callers may take up the streams of a route."""
    return route.stream and route.repeat == "resume"


def _services(route: manifest.Route) -> set[str]:
    """Returns the services to which a route leads."""
    return {share.service for share in route.shares if share.weight > 0}


def _request_seconds(
    call: routed_calls.RoutedCall, route: manifest.Route
) -> float:
    """Returns the longest time of one request."""
    return max(route.timeout, call.deadline)


def _record_seconds(
    call: routed_calls.RoutedCall, route: manifest.Route
) -> float:
    """Returns the time for which a stream can be taken up by its record."""
    return max(route.timeout, min(call.deadline, MAX_DEADLINE_SECONDS))
