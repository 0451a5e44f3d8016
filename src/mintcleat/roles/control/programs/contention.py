"""Admission control of turns: the soft state of a program group's leader.

The state is kept in memory only. A new leader starts with an empty queue and
learns from the entries' reports how many turns are running.
"""

from collections.abc import Callable
import math
from typing import Any

from mintcleat.decisions import leader_pauses
from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_decisions
from mintcleat.decisions import turn_queue
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import branches
from mintcleat.programs import machine

# Maximum number of schedules. Entries name the service of a turn, and a faulty
# entry must not use up the memory. Further services have no admission control.
MAX_SERVICES = 256

# Error by the kind of a refusal.
_ERRORS = {
    "overloaded": errors.Overloaded,
    "share_exceeded": errors.ShareExceeded,
}


class Contention:
    """Decides which turns of the groups led here run.

    Attributes:
        schedules: Schedule by group and service.
    """

    def __init__(
        self,
        machines: dict[str, machine.ProgramMachine],
        timers: timer_ports.Timers,
        policies: Callable[[], manifest.Policies],
        events: event_ports.EventReporter,
    ) -> None:
        self.machines = machines
        self.timers = timers
        self.policies = policies
        self.events = events
        self.schedules: dict[
            tuple[str, str], turn_admission.ServiceSchedule
        ] = {}
        timers.every(leader_pauses.TICK_SECONDS, self._tick)

    def reset(self, group: str) -> None:
        """Forgets all turns of a group; called when its leadership begins."""
        for key in [key for key in self.schedules if key[0] == group]:
            del self.schedules[key]

    def admit(
        self, group: str, request: program_messages.OpenTurn, entry: str
    ) -> errors.MintcleatError | None:
        """Decides on a turn; returns the error that defers or refuses it.

        Args:
            group: Group of the program; led by this instance.
            request: The request with its demand.
            entry: Entry that sent it.
        """
        schedule = self._schedule(group, request.demand.service)
        if schedule is None:
            return None
        now = self.timers.now()
        ask = self._ask(group, request, entry)
        decision = schedule.ask(ask, now)
        match decision:
            case turn_decisions.Grant():
                return None
            case turn_decisions.Defer():
                if not decision.again:
                    self._emit_deferred(request, decision)
                return errors.TurnDeferred(
                    f"The turn waits behind {decision.situation.ahead} others.",
                    retry_after=decision.retry_after,
                )
        self._emit_refused(request, decision)
        error = _ERRORS[decision.kind](
            _refusal_detail(request.demand.service, decision),
            retry_after=round(decision.retry_after, 3),
        )
        error.reason = decision.reason
        return error

    def opened(
        self, group: str, request: program_messages.OpenTurn, reply: Any
    ) -> None:
        """Releases a granted turn that the group did not open."""
        if not isinstance(reply, program_messages.TurnOpened):
            self._release(group, request, 0, False)

    def closed(self, group: str, request: program_messages.CloseTurn) -> None:
        """Releases a turn; idempotent."""
        ran = bool(request.upstream and request.tokens)
        self._release(group, request, request.tokens, ran)

    def views(self) -> dict[str, turn_decisions.ScheduleView]:
        """Returns the state of the services of the groups led here.

        The key is the name of the service, followed by a slash and the group
        if the deployment has several groups.
        """
        now = self.timers.now()
        several = len(self.machines) > 1
        return {
            f"{service}/{group}" if several else service: schedule.view(now)
            for (group, service), schedule in self.schedules.items()
        }

    def _tick(self) -> None:
        """Tells schedules that the process runs; reports what they found."""
        for (_, service), schedule in self.schedules.items():
            schedule.tick(self.timers.now())
            for entry, turns in schedule.turns.take_silent_entries().items():
                self.events.emit(event_types.EntrySilent(entry, service, turns))
            seconds = schedule.pauses.take_seconds()
            if seconds:
                self.events.emit(
                    event_types.LeaderPaused(
                        service, round(seconds, 3), len(schedule.queue)
                    )
                )

    def _schedule(
        self, group: str, service: str
    ) -> turn_admission.ServiceSchedule | None:
        """Returns the schedule of a service; None beyond MAX_SERVICES."""
        schedule = self.schedules.get((group, service))
        if schedule is None and len(self.schedules) < MAX_SERVICES:
            # Programs are spread evenly over the groups, whose leaders don't
            # know each other's turns.
            part = 1.0 / len(self.machines)
            schedule = turn_admission.ServiceSchedule(part)
            self.schedules[group, service] = schedule
        return schedule

    def _ask(
        self, group: str, request: program_messages.OpenTurn, entry: str
    ) -> turn_queue.Ask:
        demand = request.demand
        customer = self.policies().customers.get(request.customer)
        if customer is not None:
            demand = demand._replace(share=customer.share)
        return turn_queue.Ask(
            turn_queue.TurnKey(request.customer, request.turn),
            request.program,
            self._is_first(group, request),
            entry,
            max(0, demand.tokens - request.reserve),
            demand,
        )

    def _is_first(self, group: str, request: program_messages.OpenTurn) -> bool:
        """Returns whether no turn of the program has run or is open."""
        if request.previous:
            return False
        key = branches.ScopedId(request.customer, request.program)
        account = self.machines[group].branches.accounts.get(key)
        return account is None or not (account.upstream or account.reserved)

    def _release(
        self,
        group: str,
        request: program_messages.OpenTurn | program_messages.CloseTurn,
        tokens: int,
        ran: bool,
    ) -> None:
        key = turn_queue.TurnKey(request.customer, request.turn)
        now = self.timers.now()
        for (owner, _), schedule in self.schedules.items():
            if owner == group and schedule.release(key, tokens, ran, now):
                return

    def _emit_deferred(
        self,
        request: program_messages.OpenTurn,
        decision: turn_decisions.Defer,
    ) -> None:
        self.events.emit(
            event_types.TurnDeferred(
                request.turn,
                request.program,
                request.customer,
                request.demand.service,
                request.demand.priority,
                *_figures(decision.situation),
            )
        )

    def _emit_refused(
        self,
        request: program_messages.OpenTurn,
        decision: turn_decisions.Refuse,
    ) -> None:
        self.events.emit(
            event_types.TurnRefused(
                request.turn,
                request.program,
                request.customer,
                request.demand.service,
                request.demand.priority,
                *_figures(decision.situation),
                decision.kind,
                decision.reason,
                round(decision.retry_after, 3),
            )
        )


def _figures(situation: turn_decisions.Situation) -> tuple[float, ...]:
    """Returns the fields `wait_s` to `use` of an event about a decision."""
    return (
        round(situation.wait, 4),
        situation.ahead,
        situation.running,
        round(situation.bound, 1) if math.isfinite(situation.bound) else -1.0,
        round(situation.share, 4),
        round(situation.use, 4),
    )


def _refusal_detail(service: str, decision: turn_decisions.Refuse) -> str:
    situation = decision.situation
    if decision.kind == "share_exceeded":
        return (
            f"The customer used {situation.use:.3f} of the recent work of "
            f"service {service!r}; its share is {situation.share:.3f}."
        )
    return (
        f"A new program of service {service!r} would wait {situation.wait:.2f} "
        f"s: {situation.running} turns run and {situation.ahead} wait before "
        "it."
    )
