"""Has requests counted against their customers' limits before they are sent.

The opening of a turn is counted by its own group with the commit that it takes
anyway. Any other request is counted by a commit of its own, unless one was
counted ahead with an earlier turn.
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
    """What is asked of the configuration that this entry follows."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied here."""

    def lease_left(self) -> float:
        """Returns the seconds left of the lease on the configuration."""


class RateLimiter:
    """What customers may send, as this entry asks for it.

    Attributes:
        ahead: Requests that were counted for calls to come.
        waiting: Requests that wait for their limit.
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
        self.prefetched = limits.RequestPrefetch()
        self.waiting = 0

    def limit_of(self, customer: str) -> program_messages.RateLimit | None:
        """Returns a customer's limit as this entry knows it; None for none."""
        policies = self.configuration.manifest().policies
        held = policies.customers.get(customer)
        return limits.limit_of(held, policies) if held else None

    def shares_group(self, customer: str, program: str) -> bool:
        """Tells whether a program's group counts its customer's requests."""
        groups = self.control.groups
        return groups == 1 or placement.group_of(
            program, groups
        ) == placement.group_of(placement.limit_scope(customer), groups)

    def admit(self, customer: str, program: str, request: str) -> None:
        """Has one request counted that opens no turn.

        Args:
            customer: Whose it is; empty for nobody's.
            program: Program that it belongs to; empty for none.
            request: Its id.

        Raises:
            errors.LimitReached: The customer may not send it now.
            errors.ControlUnavailable: Nobody could count it.
        """
        limit = self.limit_of(customer)
        now = self.timers.now()
        if limit is None or self.prefetched.take(customer, now):
            return
        scope = placement.limit_scope(customer)
        count = program_messages.CountCall(customer, program, limit)
        try:
            self.ask(scope, count)
        except errors.OutcomeUnknown as error:
            # Counted or not, the request itself did not run.
            raise errors.ControlUnavailable(
                error.detail, retry_after=control_outage.RETRY_SECONDS
            ) from None
        self.events.emit(
            event_types.CallCounted(
                request, program, customer, round(self.timers.now() - now, 4)
            )
        )

    def ask(self, scope: str, request: Any) -> Any:
        """Sends a request that is counted, and waits a little at a limit.

        Args:
            scope: Of its group.
            request: An OpenTurn or a CountCall.

        Raises:
            errors.MintcleatError: The group's refusal; it did not run.
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
                self.prefetched.put(request.customer, reply.ahead, until)
                return reply

    def _wait(self, seconds: float) -> None:
        self.waiting += 1
        try:
            self.timers.sleep(seconds)
        finally:
            self.waiting -= 1
