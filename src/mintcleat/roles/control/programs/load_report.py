"""Load and limits of a program group, as its leader tells operators."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from mintcleat.decisions import limits
from mintcleat.decisions import refusal_counts
from mintcleat.decisions import shared_load
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import limits as counting

# Refusals that a group decides on. Others, such as that another instance
# leads, are retried by the entry and reach no caller.
_REFUSALS = (
    errors.LimitReached,
    errors.BudgetExhausted,
    errors.Overloaded,
    errors.ShareExceeded,
)


class LoadReport:
    """Counts refusals and describes the load of groups.

    Attributes:
        refusals: Refusals of the last minute.
    """

    def __init__(
        self,
        timers: timer_ports.Timers,
        policies: Callable[[], manifest.Policies],
        entry_loads: shared_load.EntryLoads,
    ) -> None:
        self.timers = timers
        self.policies = policies
        self.entry_loads = entry_loads
        self.refusals = refusal_counts.RefusalCounts()

    def answered(self, request: Any, reply: Any) -> None:
        """Counts what a reply to an OpenTurn or a CountCall refuses."""
        now = self.timers.now()
        match reply:
            case program_messages.CallCounted(refused=refused) if refused:
                calls, failure = refused
                self.refusals.add(request.customer, failure.kind, calls, now)
            case errors.MintcleatError() if isinstance(reply, _REFUSALS):
                calls = getattr(request, "calls", 1)
                customer = getattr(request, "customer", "")
                self.refusals.add(customer, reply.kind, calls, now)

    def view(
        self,
        request: program_messages.ShowLoad,
        usages: counting.CustomerLimits,
        clock: float,
        services: Sequence[program_messages.ServiceLoad] = (),
    ) -> program_messages.LoadView:
        """Returns the load of a group.

        Args:
            request: Names the group.
            usages: The group's counts of customers' requests.
            clock: The group's clock.
            services: Services under admission control.
        """
        now = self.timers.now()
        running = self.entry_loads.current_totals(now)
        return program_messages.LoadView(
            request.group,
            len(self.entry_loads.reports),
            [
                program_messages.UpstreamLoad(upstream, running[upstream])
                for upstream in sorted(running)
            ],
            self._customers(usages, clock, now)[: request.customers],
            list(services),
        )

    def _customers(
        self, usages: counting.CustomerLimits, clock: float, now: float
    ) -> list[program_messages.CustomerLoad]:
        """Returns the customers, those closest to their limit first."""
        refused = self.refusals.recent(now)
        found = [
            self._customer(name, usages, clock, refused.get(name, {}))
            for name in {**usages.usages, **refused}
        ]
        found.sort(
            key=lambda item: (
                -item.used / item.limit if item.limit else 0.0,
                -sum(item.refused.values()),
                item.customer,
            )
        )
        return found

    def _customer(
        self,
        name: str,
        usages: counting.CustomerLimits,
        clock: float,
        refused: dict[str, int],
    ) -> program_messages.CustomerLoad:
        policies = self.policies()
        customer = policies.customers.get(name)
        limit = limits.limit_of(customer, policies) if customer else None
        used, programs = usages.in_use(name, policies.limit_window, clock)
        return program_messages.CustomerLoad(
            name,
            limit.window_limit() if limit else 0.0,
            limit.tolerance() if limit else 0.0,
            policies.limit_window,
            used,
            programs,
            refused,
        )
