"""The turn of one routed request: opens it, and settles it at the end."""

import math

from mintcleat.decisions import routes
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import entry_context
from mintcleat.roles.entry import response_relay
from mintcleat.roles.entry import run_deadline
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import turn_demand


class RunTurn:
    """Opens and settles the turn of one request.

    Attributes:
        priority: Priority of the customer, or else of the route; 0 is the most
            urgent.
    """

    def __init__(
        self,
        context: entry_context.EntryContext,
        call: routed_calls.RoutedCall,
        match: routes.Match,
        service_name: str,
        service: manifest.Service,
        priority: int,
        deadline: run_deadline.RunDeadline,
    ) -> None:
        self.context = context
        self.call = call
        self.match = match
        self.route = match.route
        self.service_name = service_name
        self.service = service
        self.priority = priority
        self.deadline = deadline

    def open(
        self, stream: program_messages.BegunStream | None = None
    ) -> turn_client.OpenedTurn | None:
        """Opens the turn; returns None for a request that needs none.

        Args:
            stream: Stream that it begins; None to record none.

        Raises:
            errors.MintcleatError: The request is refused.
        """
        program = self.call.program
        retains = self.route.retention > 0 and self.route.stream
        if not program.program or not (retains or program.budget):
            if program.previous:
                raise errors.UnknownTurn(
                    f"Route {self.match.name!r} doesn't retain turns, but the "
                    "request names a previous turn."
                )
            self.context.turns.rate_limiter.admit(
                self.call.customer, program.program, self.call.request
            )
            return None
        step = max(1, self.service.tokens_per_event)
        reserve = step * math.ceil(self.call.generation.max_tokens / step)
        loads = self.context.loads
        turn = self.context.turns.open(
            self.call,
            reserve,
            self.route.account_retention,
            loads.report_for_summary,
            self._admission(),
            stream,
            len(self.call.body) if retains else 0,
            self._wait_until(),
            max(0.0, self.deadline.latest - self.context.timers.now()),
        )
        if turn.others is not None:
            loads.update_others(turn.others, turn.failing)
        return turn

    def settle(self, relay: response_relay.ResponseRelay, ran: bool) -> None:
        """Settles the turn unless it is committed, and drops its conversation.

        Args:
            relay: Relay of the responses.
            ran: Whether an upstream may have run the request.
        """
        if relay.turn is None:
            return
        relay.turn.release()
        if relay.committed:
            return
        # The program's prefix cache is at the upstream that began to run the
        # turn, not at one that the request was only sent to.
        ran_at = relay.incarnation if relay.head_sent else ""
        self.context.turns.settle(relay.turn, relay.tokens, ran_at, ran)

    def _admission(self) -> turn_demand.Admission | None:
        """Returns how the turn asks for its grant; None if that is off."""
        policies = self.context.configuration.manifest().policies
        if (
            policies.admission == "off"
            or not self.context.loads.policy.admission
        ):
            return None
        return turn_demand.Admission(
            self._demand,
            self.context.loads.report_for_grant,
            self._wait_until(),
        )

    def _wait_until(self) -> float:
        """Returns until when the turn may wait, in seconds."""
        deadline = self.deadline
        wait = turn_demand.HOLD_FRACTION * (deadline.at - deadline.began)
        return deadline.began + wait

    def _demand(self) -> program_messages.TurnDemand:
        """Returns the demand of the turn at present."""
        policies = self.context.configuration.manifest().policies
        customer = policies.customers.get(self.call.customer)
        now = self.context.timers.now()
        deadline = self.deadline
        return turn_demand.demand_of(
            self.call,
            self.match.name,
            self.service_name,
            self.service,
            self.priority,
            self.route.priority,
            customer.share if customer else 1.0,
            now - deadline.began,
            deadline.at + run_deadline.GRACE_SECONDS - now,
            turn_demand.capacity_of(
                self.context.loads,
                self.service_name,
                self.context.turns.ending,
            ),
        )
