"""Rate limits of customers, as an entry applies them before it sends a request.

A program group counts the requests of a customer. A request that opens a turn
is counted in the commit that opens the turn. Any other request takes a commit
of its own, unless an earlier commit counted it ahead.
"""

from typing import Any
from typing import Protocol

from mintcleat.decisions import control_outage
from mintcleat.decisions import limits
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import control as control_ports
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import limits as counting
from mintcleat.programs import placement


class Configuration(Protocol):
    """The part of the followed configuration that the limiter needs."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied on this node."""

    def lease_left(self) -> float:
        """Returns the seconds left of the configuration lease."""


class RateLimiter:
    """Counts requests at the groups that hold their customers' limits.

    Attributes:
        counted_ahead: Requests counted ahead and not used yet.
        waiting: Requests that wait here until their limit admits them.
    """

    def __init__(
        self,
        control: control_ports.Control,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        configuration: Configuration,
    ) -> None:
        self.control = control
        self.configuration = configuration
        self.timers = timers
        self.events = events
        self.counted_ahead = limits.CountAhead()
        self.waiting = 0

    def limit_of(self, customer: str) -> program_messages.RateLimit | None:
        """Returns a customer's limit in the applied manifest, if any."""
        policies = self.configuration.manifest().policies
        configured = policies.customers.get(customer)
        return limits.limit_of(configured, policies) if configured else None

    def shares_group(self, customer: str, program: str) -> bool:
        """Returns whether the program's group also holds the limit."""
        groups = self.control.groups
        return groups == 1 or placement.group_of(
            program, groups
        ) == placement.group_of(placement.limit_scope(customer), groups)

    def admit(self, customer: str, program: str, request: str) -> None:
        """Counts a request that opens no turn.

        Args:
            customer: Customer of the request; empty for none.
            program: Program of the request; empty for none.
            request: Request id.

        Raises:
            errors.LimitReached: The customer is over its limit.
            errors.ControlUnavailable: The group that counts didn't answer.
        """
        limit = self.limit_of(customer)
        now = self.timers.now()
        if limit is None or self.counted_ahead.take(customer, now):
            return
        scope = placement.limit_scope(customer)
        count = program_messages.CountCall(customer, program, limit)
        try:
            self.ask(scope, count)
        except errors.OutcomeUnknown as error:
            # The count may be committed, but the request has not run.
            raise errors.ControlUnavailable(
                error.detail, retry_after=control_outage.RETRY_SECONDS
            ) from None
        self.events.emit(
            event_types.CallCounted(
                request, program, customer, round(self.timers.now() - now, 4)
            )
        )

    def ask(self, scope: str, request: Any) -> Any:
        """Sends a request that is counted; retries after a short limit wait.

        Args:
            scope: Scope that determines the group.
            request: An OpenTurn or a CountCall.

        Raises:
            errors.MintcleatError: The group refused; nothing has run.
        """
        began = self.timers.now()
        while True:
            try:
                seconds = control_outage.hold_seconds(
                    self.configuration.lease_left()
                )
                reply = self.control.ask(scope, request, seconds)
            except errors.ControlUnavailable as error:
                error.retry_after = control_outage.RETRY_SECONDS
                raise
            except errors.LimitNear:
                raise
            except errors.LimitReached as error:
                waited = self.timers.now() - began
                seconds = limits.hold_seconds(
                    error.retry_after, waited, self.waiting
                )
                if not seconds:
                    raise
                self._wait(seconds)
            else:
                until = began + counting.AHEAD_SECONDS
                self.counted_ahead.put(request.customer, reply.ahead, until)
                return reply

    def _wait(self, seconds: float) -> None:
        self.waiting += 1
        try:
            self.timers.sleep(seconds)
        finally:
            self.waiting -= 1
