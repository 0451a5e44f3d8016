"""Serves program records on a control instance."""

from collections.abc import Callable
from typing import Any

import eventlet

from mintcleat.decisions import limits
from mintcleat.decisions import shared_load
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.ports import log
from mintcleat.ports import streams
from mintcleat.ports import timers
from mintcleat.programs import checks
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import placement
from mintcleat.programs import retention

# Shorter than the client's wait for one try, so that it hears of a stuck
# group from here and does not have to guess.
PROPOSE_SECONDS = 1.5
TICK_SECONDS = 5.0

READS = (
    program_messages.ShowProgram,
    program_messages.ListPrograms,
    program_messages.FetchHistory,
    program_messages.RenewResidency,
    program_messages.FindCall,
)


class GroupClock:
    """A group's clock as its leader goes on with it.

    It counts seconds on this process's monotonic clock from the last value
    in the log, so that no wall clock can make records expire early.
    """

    def __init__(
        self, group: machine.ProgramMachine, service: timers.Timers
    ) -> None:
        self.group = group
        self.timers = service
        self.base = group.clock
        self.base_time = service.now()

    def read(self) -> float:
        """Returns the clock for the next command."""
        now = self.timers.now()
        clock = self.base + now - self.base_time
        if self.group.clock > clock:
            self.base = clock = self.group.clock
            self.base_time = now
        return clock


class ProgramService:
    """Commits and reads program records for entries and sidecars.

    A leader answers; any other replica names the leader it knows.

    Attributes:
        groups: Names of all program groups of the deployment, in number
            order; the group of a program depends on how many there are.
        machines: The state machine of each group on this instance.
        policies: Returns the policies in force, for the retention.
        entry_loads: Running requests by upstream, as reported by the entries.
    """

    def __init__(
        self,
        replicated_log: log.ReplicatedLog,
        stream_service: streams.Streams,
        timer_service: timers.Timers,
        groups: list[str],
        policies: Callable[[], manifest.Policies],
        *,
        histories: Callable[[str], Any] = lambda group: None,
    ) -> None:
        """Attaches a machine per group and registers the stream handlers.

        Args:
            replicated_log: Not started yet.
            stream_service: Where requests come in.
            timer_service: Clocks and the retention tick.
            groups: Names of all program groups.
            policies: Returns the policies in force.
            histories: Makes the `ports.histories.Histories` of a group;
                in memory when it returns None.
        """
        self.log = replicated_log
        self.timers = timer_service
        self.groups = groups
        self.policies = policies
        self.machines = {
            group: machine.ProgramMachine(histories(group)) for group in groups
        }
        self.clocks = {
            group: GroupClock(held, timer_service)
            for group, held in self.machines.items()
        }
        self.entry_loads = shared_load.EntryLoads()
        for group, held in self.machines.items():
            replicated_log.attach(group, held)
        for kind in (*commands.MUTATIONS, *READS):
            stream_service.handle(kind, self._serve_one)
        stream_service.handle(identities.Batch, self._serve_batch)
        timer_service.every(TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Lets old records leave from the groups that this replica leads."""
        policies = self.policies()
        request = commands.Tick(
            policies.program_idle, policies.record_retention
        )
        for group, held in self.machines.items():
            clock = self.clocks[group].read()
            if self.log.leads(group) and retention.is_due(held, clock, request):
                self._commit(group, [request])

    def answer(self, requests: list[Any]) -> list[Any]:
        """Returns one reply or typed error for each request, in order."""
        by_group: dict[str, list[int]] = {}
        replies: list[Any] = [None] * len(requests)
        requests = list(requests)
        entries: dict[int, str] = {}
        for place, request in enumerate(requests):
            if getattr(request, "running", None) is not None:
                entries[place] = request.running.entry
                requests[place] = self._take_report(request)
            requests[place] = self._with_limit(requests[place])
            try:
                group = self._admit(requests[place])
            except errors.MintcleatError as error:
                replies[place] = error
            else:
                by_group.setdefault(group, []).append(place)
        threads = [
            eventlet.spawn(self._answer_group, group, places, requests, replies)
            for group, places in by_group.items()
        ]
        for thread in threads:
            thread.wait()
        for place, entry in entries.items():
            reply = replies[place]
            if isinstance(reply, program_messages.TurnOpened):
                others = self.entry_loads.others(entry)
                replies[place] = reply._replace(others=others)
        return replies

    def _with_limit(self, request: Any) -> Any:
        """Returns a request; one that counts, with the limit in force here.

        The sender's configuration may be older. What it names itself holds
        until this instance knows the customer.
        """
        counting = (program_messages.OpenTurn, program_messages.CountCall)
        if not isinstance(request, counting) or request.limit is None:
            return request
        policies = self.policies()
        held = policies.customers.get(request.customer)
        if held is None:
            return request
        return request._replace(limit=limits.limit_of(held, policies))

    def _take_report(self, request: Any) -> Any:
        """Takes what an entry has running, and returns the request without."""
        report = request.running
        self.entry_loads.report(
            report.entry, report.by_upstream, self.timers.now()
        )
        return request._replace(running=None)

    def _serve_one(self, exchange: streams.Exchange, message: Any) -> None:
        (reply,) = self.answer([message])
        if isinstance(reply, errors.MintcleatError):
            raise reply
        exchange.send(reply)

    def _serve_batch(
        self, exchange: streams.Exchange, message: identities.Batch
    ) -> None:
        requests = [codec.decode(item) for item in message.items]
        replies = [_encode(reply) for reply in self.answer(requests)]
        exchange.send(identities.Batch(replies))

    def _admit(self, request: Any) -> str:
        """Returns the group of a request that may be proposed or read."""
        if not isinstance(request, (*commands.MUTATIONS, *READS)):
            raise errors.BadRequest(
                f"{type(request).__name__} is no program request."
            )
        checks.check(request)
        if isinstance(request, program_messages.ListPrograms):
            group = request.group
        else:
            scope = placement.scope_of(request)
            group = placement.group_of(scope, len(self.groups))
        if group not in self.machines:
            raise errors.BadRequest(f"There is no group {group!r}.")
        return group

    def _answer_group(
        self,
        group: str,
        places: list[int],
        requests: list[Any],
        replies: list[Any],
    ) -> None:
        """Fills in the replies of one group: one commit, then its reads."""
        reads = [p for p in places if isinstance(requests[p], READS)]
        writes = [p for p in places if p not in reads]
        if writes:
            results = self._commit(group, [requests[p] for p in writes])
            for place, result in zip(writes, results, strict=True):
                replies[place] = result
        if reads:
            results = self._read(group, [requests[p] for p in reads])
            for place, result in zip(reads, results, strict=True):
                replies[place] = result

    def _commit(self, group: str, requests: list[Any]) -> list[Any]:
        command = commands.Command(
            self.clocks[group].read(), self.timers.wall(), requests
        )
        try:
            return self.log.propose(
                group, commands.encode(command), PROPOSE_SECONDS
            )
        except errors.MintcleatError as error:
            return [error] * len(requests)

    def _read(self, group: str, requests: list[Any]) -> list[Any]:
        try:
            self.log.barrier(group, PROPOSE_SECONDS)
        except errors.MintcleatError as error:
            return [error] * len(requests)
        return [self.machines[group].read(request) for request in requests]


def _encode(reply: Any) -> bytes:
    if isinstance(reply, errors.MintcleatError):
        return codec.encode(reply.failure())
    return codec.encode(reply)
