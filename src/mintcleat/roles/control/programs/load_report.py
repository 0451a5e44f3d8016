"""Load and limits of a program group, as its leader tells operators."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from mintcleat.decisions import limits
from mintcleat.decisions import refusal_counts
from mintcleat.decisions import shared_health
from mintcleat.decisions import shared_load
from mintcleat.decisions import turn_decisions
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.domain import registrations
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
        failure_reports: shared_health.FailureReports,
        memory_tokens: Callable[[], Mapping[str, int]],
        registered: Callable[[], Iterable[member_messages.Registration]],
    ) -> None:
        """Takes what the report is made of.

        Args:
            timers: The clock.
            policies: Returns the policies in force.
            entry_loads: What entries report about load and speed.
            failure_reports: What they report about failing upstreams.
            memory_tokens: Returns the memory of each registered upstream in
                tokens, by incarnation, where it is known.
            registered: Returns the registered upstreams.
        """
        self.timers = timers
        self.policies = policies
        self.entry_loads = entry_loads
        self.failure_reports = failure_reports
        self.memory_tokens = memory_tokens
        self.registered = registered
        self.refusals = refusal_counts.RefusalCounts()

    def answered(self, request: Any, reply: Any) -> None:
        """Counts what a reply to an OpenTurn or a CountCall refuses."""
        now = self.timers.now()
        match reply:
            case program_messages.CallCounted(refused=refused) if refused:
                calls, failure = refused
                self.refusals.add(
                    request.customer,
                    failure.kind,
                    calls,
                    now,
                    retry_after=failure.retry_after,
                )
            case errors.TurnDeferred():
                # The turn waits; it isn't refused.
                pass
            case errors.MintcleatError() if isinstance(reply, _REFUSALS):
                calls = getattr(request, "calls", 1)
                customer = getattr(request, "customer", "")
                self.refusals.add(
                    customer,
                    reply.kind,
                    calls,
                    now,
                    reason=reply.reason,
                    retry_after=reply.retry_after,
                )

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
        upstreams = self._upstreams(now)
        return program_messages.LoadView(
            request.group,
            len(self.entry_loads.reports),
            upstreams[: request.upstreams],
            self._customers(usages, clock, now)[: request.customers],
            list(services),
            len(upstreams),
            self._versions(now),
        )

    def _versions(self, now: float) -> list[program_messages.VersionLoad]:
        """Returns the versions of each service's software, by name."""
        running = self.entry_loads.current_totals(now)
        found: dict[tuple[str, str], program_messages.VersionLoad] = {}
        for item in self.registered():
            name = (item.service, item.version)
            load = found.get(name) or program_messages.VersionLoad(
                *name, 0, 0, 0, 0
            )
            is_ready = item.state == registrations.READY
            found[name] = load._replace(
                upstreams=load.upstreams + 1,
                leaving=load.leaving + (not is_ready),
                slots=load.slots + (item.slots if is_ready else 0),
                running=load.running + running.get(item.incarnation, 0),
            )
        return [found[name] for name in sorted(found)]

    def _upstreams(self, now: float) -> list[program_messages.UpstreamLoad]:
        """Returns the upstreams that entries report, those in trouble first."""
        running = self.entry_loads.current_totals(now)
        slowdowns = self.entry_loads.current_slowdowns(now)
        avoided = self.failure_reports.current_counts(now)
        memory = self.memory_tokens()
        found = []
        for upstream in {**running, **slowdowns, **avoided}:
            slowdown = slowdowns.get(upstream)
            count = avoided.get(upstream, 0)
            found.append(
                program_messages.UpstreamLoad(
                    upstream,
                    running.get(upstream, 0),
                    self.entry_loads.tokens[upstream],
                    round(100.0 / slowdown.percent, 2) if slowdown else 0.0,
                    memory.get(upstream, 0),
                    slowdown.reports if slowdown else 0,
                    count,
                    count >= shared_health.MIN_ENTRIES,
                )
            )
        return sorted(found, key=program_messages.UpstreamLoad.sort_key)

    def _customers(
        self, usages: counting.CustomerLimits, clock: float, now: float
    ) -> list[program_messages.CustomerLoad]:
        """Returns the customers, those closest to their limit first."""
        refused = self.refusals.recent(now)
        reasons = self.refusals.reasons(now)
        delays = self.refusals.delays(now)
        found = []
        for name in {**usages.usages, **refused}:
            advised = delays.get(name, refusal_counts.AdvisedDelays())
            customer = self._customer(name, usages, clock)
            found.append(
                customer._replace(
                    refused=refused.get(name, {}),
                    reasons=reasons.get(name, {}),
                    retry_after=advised.median,
                    retry_after_max=advised.longest,
                )
            )
        return sorted(found, key=program_messages.CustomerLoad.sort_key)

    def _customer(
        self,
        name: str,
        usages: counting.CustomerLimits,
        clock: float,
    ) -> program_messages.CustomerLoad:
        """Returns the use of a customer's limit, without its refusals."""
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
            {},
        )


def service_loads(
    views: Mapping[str, turn_decisions.ScheduleView], customers: int
) -> list[program_messages.ServiceLoad]:
    """Returns the state of admission control as it is sent to operators.

    Args:
        views: State by service.
        customers: Maximum number of customers of one service.
    """
    return [
        program_messages.ServiceLoad(
            service,
            view.running,
            view.waiting,
            round(view.bound, 1),
            round(view.capacity, 1),
            round(view.slowdown, 2),
            view.granted,
            view.deferred,
            view.refused,
            view.lost,
            view.expired,
            [
                program_messages.CustomerShare(*item)
                for item in view.customers[:customers]
            ],
        )
        for service, view in sorted(views.items())
    ]
