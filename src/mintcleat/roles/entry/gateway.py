"""Serves routed requests: finds the route, authenticates, runs, refuses."""

from mintcleat.decisions import answer_memory
from mintcleat.decisions import attempt_timeout
from mintcleat.decisions import cold_start
from mintcleat.decisions import entry_capacity
from mintcleat.decisions import event_ids
from mintcleat.decisions import jitter
from mintcleat.decisions import policy as policy_module
from mintcleat.decisions import routes
from mintcleat.decisions import stop_times
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import routed_calls
from mintcleat.ports import events as event_ports
from mintcleat.ports import forwarding
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.entry import authentication
from mintcleat.roles.entry import crash_watch
from mintcleat.roles.entry import end_confirmation
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import fair_turns
from mintcleat.roles.entry import process_stop
from mintcleat.roles.entry import routed_run
from mintcleat.roles.entry import run_attempts
from mintcleat.roles.entry import stream_backup
from mintcleat.roles.entry import stream_origins
from mintcleat.roles.entry import stream_watch
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads

# Assumed for callers that name no deadline.
_DEFAULT_DEADLINE_SECONDS = 30.0
# Interval at which a held call checks for the configuration.
_POLL_SECONDS = 0.01


class Gateway:
    """Serves routed requests.

    Attributes:
        table: Route table of `table_manifest`.
        draining: Whether the process takes no new work.
        started: Monotonic time of construction, in seconds.
        held: Calls that wait for the first configuration and lease.
        configured: Whether a configuration and a lease have arrived.
        capacity: Decides which requests this process can still take.
    """

    def __init__(
        self,
        configuration: entry_context.Configuration,
        upstreams: forwarding.UpstreamClient,
        turns: turn_client.TurnClient,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        entry: str,
        policy: policy_module.Policy = policy_module.DEFAULT,
    ) -> None:
        self.configuration = configuration
        self.turns = turns
        self.timers = timers
        self.events = events
        self.loads = upstream_loads.UpstreamLoads(
            configuration, timers, events, upstreams.forget, entry, policy
        )
        attempt_timeouts = attempt_timeout.AttemptTimeouts()
        self.context = entry_context.EntryContext(
            configuration,
            upstreams,
            self.loads,
            turns,
            timers,
            events,
            attempt_timeouts,
            stream_watch.StreamWatch(
                configuration,
                upstreams,
                self.loads,
                timers,
                events,
                attempt_timeouts,
            ),
            stream_backup.StreamBackups(configuration, self.loads),
            crash_watch.CrashWatch(
                configuration, upstreams, timers, events, policy.quarantine
            ),
            end_confirmation.EndConfirmation(
                configuration, upstreams, policy.ends
            ),
            stream_origins.StreamOrigins(
                configuration,
                turns.control,
                self.loads,
                timers,
                events,
            ),
            process_stop.ProcessStop(timers),
            answer_memory.AnswerMemory(),
            fair_turns.FairTurns(timers),
            event_ids.KnownStreamIds(),
        )
        self.authenticator = authentication.Authenticator(
            configuration,
            timers,
            events,
            lambda: self.context.stop.times.answers_by,
        )
        self.table = routes.Table({})
        self.table_manifest: manifest.Manifest | None = None
        self.draining = False
        self.started = timers.now()
        self.held = 0
        self.configured = False
        self.capacity = entry_capacity.EntryCapacity()

    def ready(self) -> bool:
        """Returns whether the load balancer should send requests here."""
        # An entry without a lease can't record turns, and others can. When too
        # few entries are ready, the balancer uses all of them. It doesn't move
        # open connections: a caller that kept one would be refused again.
        return (
            not self.draining
            and self.configuration.has_lease()
            and self.capacity.level is entry_capacity.Level.NORMAL
        )

    def stop(self, times: stop_times.StopTimes) -> None:
        """Begins a planned stop of this process."""
        self.draining = True
        self.context.stop.begin(times)

    def limits(self) -> manifest.Limits:
        """Returns the limits on the size and time of callers' requests."""
        return self.configuration.manifest().limits

    def handle(
        self, call: routed_calls.RoutedCall, reply: forwarding.CallerResponse
    ) -> None:
        """Serves a request and sends its response.

        Raises:
            errors.MintcleatError: The request was refused or failed. Only with
                a StreamClosed may part of a response have been sent.
        """
        began = self.timers.now()
        run: routed_run.RoutedRun | None = None
        try:
            run = self._route(call, began)
            run.serve(reply)
        except errors.MintcleatError as error:
            if error.retry_after:
                error.retry_after = jitter.retry_after(
                    call.request,
                    error.retry_after,
                    may_be_early=not isinstance(error, errors.LimitReached),
                )
            self._emit_refusal(call, run, error, began)
            raise

    def _check_capacity(
        self, call: routed_calls.RoutedCall, route: manifest.Route, now: float
    ) -> None:
        """Refuses a call for which this process has no capacity.

        A program begins with a turn that names no previous one; its calls of
        services name the program alone.

        Raises:
            errors.Overloaded: See above.
        """
        program = call.program
        continues = bool(program.previous) or (
            bool(program.program) and not route.retention
        )
        if not self.capacity.takes(continues):
            raise errors.Overloaded(
                f"This entry is over its capacity ({self.capacity.reason}).",
                retry_after=self.capacity.retry_after(now),
            )

    def _route(
        self, call: routed_calls.RoutedCall, began: float
    ) -> routed_run.RoutedRun:
        if not self._has_configuration():
            self._await_configuration(call)
        match = self._match(call)
        self._check_capacity(call, match.route, began)
        caller = self.authenticator.caller(call.key, match.route.public)
        if caller is None:
            self.authenticator.await_updates(call.request, call.key, began)
            match = self._match(call)
            public = match.route.public
            caller = self.authenticator.confirmed_caller(call.key, public)
        call = call._replace(
            customer=caller.customer, customer_label=caller.label
        )
        # A stream that is taken up has been placed by its first request.
        key = (
            call.program.program
            or call.affinity
            or call.resumes
            or call.request
        )
        name = routes.service_of(match.route, key)
        service = self.configuration.manifest().services[name]
        return routed_run.RoutedRun(
            self.context, call, match, name, service, began, caller.priority
        )

    def _match(self, call: routed_calls.RoutedCall) -> routes.Match:
        """Returns the route of a request.

        Raises:
            errors.UnknownRoute: No route matches.
            errors.LeaseExpired: No route matches, but the configuration may
                be out of date.
        """
        configuration = self.configuration
        current = configuration.manifest()
        if current is not self.table_manifest:
            self.table = routes.Table(current.routes)
            self.table_manifest = current
        match = self.table.find(call.host, call.path)
        if match is None:
            if not configuration.has_lease():
                # The route may have been added since.
                raise errors.LeaseExpired(
                    "No route matches the request, but the configuration may "
                    "be out of date.",
                    retry_after=run_attempts.RETRY_SECONDS,
                )
            raise errors.UnknownRoute(
                f"No route matches {call.host}{call.path}."
            )
        return match

    def _has_configuration(self) -> bool:
        """Returns whether a configuration and a lease have ever arrived.

        A newly elected leader sends the configuration before it may grant
        leases. In between, keys can't be checked and turns can't be recorded.
        """
        self.configured = self.configured or (
            self.configuration.revision() > 0 and self.configuration.has_lease()
        )
        return self.configured

    def _await_configuration(self, call: routed_calls.RoutedCall) -> None:
        """Holds a call that arrives just after the start of this entry.

        Raises:
            errors.ControlUnavailable: No configuration has arrived in time.
        """
        uptime = self.timers.now() - self.started
        deadline = call.deadline or _DEFAULT_DEADLINE_SECONDS
        seconds = cold_start.hold_seconds(uptime, deadline, self.held)
        until = self.timers.now() + seconds
        self.held += 1
        try:
            while not (
                self._has_configuration()
                or self.timers.now() >= until
                or self.context.stop.is_over()
            ):
                self.timers.sleep(_POLL_SECONDS)
        finally:
            self.held -= 1
        known = self.configuration.revision() > 0
        if seconds > 0 or not known:
            self.events.emit(
                event_types.CallHeld(
                    call.request,
                    round(uptime, 4),
                    round(seconds, 4),
                    self.held,
                    "released" if known else "refused",
                    round(self.timers.now() - self.started - uptime, 4),
                )
            )
        if not known:
            raise errors.ControlUnavailable(
                "This entry has not received a configuration yet.",
                retry_after=run_attempts.RETRY_SECONDS,
            )

    def _configuration_age(self) -> float:
        known = self.configuration.known_until()
        return self.timers.now() - known if known > 0 else 0.0

    def _emit_refusal(
        self,
        call: routed_calls.RoutedCall,
        run: routed_run.RoutedRun | None,
        error: errors.MintcleatError,
        began: float,
    ) -> None:
        self.events.emit(
            event_types.CallRefused(
                call.request,
                run.match.name if run else "",
                call.program.program,
                error.kind,
                error.detail,
                error.outcome,
                error.retry_after,
                round(self.timers.now() - began, 4),
                run.call.customer if run else "",
                self.configuration.revision(),
                round(max(0.0, self._configuration_age()), 4),
            )
        )
