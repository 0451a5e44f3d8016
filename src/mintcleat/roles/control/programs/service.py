"""Serves program records on a control instance."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import math
from typing import Any

import eventlet

from mintcleat.decisions import kept_turns
from mintcleat.decisions import limits
from mintcleat.decisions import memory_account
from mintcleat.decisions import record_room
from mintcleat.decisions import shared_health
from mintcleat.decisions import shared_load
from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.ports import events as event_ports
from mintcleat.ports import log
from mintcleat.ports import streams
from mintcleat.ports import timers
from mintcleat.programs import branches
from mintcleat.programs import checks
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.programs import placement
from mintcleat.programs import retention
from mintcleat.roles.control.programs import contention
from mintcleat.roles.control.programs import contents
from mintcleat.roles.control.programs import load_report

# Shorter than the client's timeout for one attempt, so that the client gets an
# error from here if a group makes no progress, instead of a timeout.
PROPOSE_SECONDS = 1.5
TICK_SECONDS = 5.0
# Time after which expired turns and accounts are deleted: by a sweep, which a
# tick starts.
_DELETION_DELAY_SECONDS = branches.SWEEP_INTERVAL_SECONDS + TICK_SECONDS

READS = (
    program_messages.ShowProgram,
    program_messages.ListPrograms,
    program_messages.FetchHistory,
    program_messages.RenewResidency,
    program_messages.FindCall,
    program_messages.FindStream,
    program_messages.ShowLoad,
)


class GroupClock:
    """The clock of a group, as its leader continues it.

    It advances with this process's monotonic clock from the last value in the
    log, so that no step of a wall clock can make records expire early.

    It stands still except in a term that this replica leads. The log's clock
    may have stood still for a time, as between two leaders; one that runs on
    is ahead of it, and its leader would forget at once what counts against
    limits. An elected leader stamps commands before it has its lease and is
    told that it leads.

    Attributes:
        term: The last term for which `start` was called.
    """

    def __init__(
        self, group: machine.ProgramMachine, service: timers.Timers
    ) -> None:
        self.group = group
        self.timers = service
        self.term = -1
        self.base = 0.0
        self.base_time = 0.0

    def start(self, term: int) -> None:
        """Continues from the last value in the log, as the leader of a term."""
        self.term = term
        self.base = self.group.clock
        self.base_time = self.timers.now()

    def read(self, term: int) -> float:
        """Returns the clock for the next command in a term."""
        if term != self.term:
            return self.group.clock
        return max(
            self.group.clock, self.base + self.timers.now() - self.base_time
        )


class ProgramService:
    """Commits and reads program records for entries and sidecars.

    The leader of a group answers. Any other replica refuses with
    `errors.NotLeader`, which names the leader if it is known.

    Attributes:
        groups: Names of all program groups of the deployment, in number
            order; the group of a program depends on how many there are.
        machines: The state machine of each group on this instance.
        clocks: The clock of each group.
        rooms: The room for kept turns of each group.
        record_limit: Bytes that the accounts and the finished turns of a
            group may take beside the turns' content; 0 for no limit.
        stream_limit: Bytes that the records of a group's streams may take; 0
            for no limit.
        policies: Returns the newest policies that this instance knows.
        is_current: Returns whether newer ones become known here in time.
        entry_loads: Running requests by upstream, as reported by the entries.
        failure_reports: Upstreams that entries avoid, as reported by them.
        contention: Admission control of turns.
        load_report: Load and limits for operators.
        account: What this process holds of contents on their way.
        contents: Transfers of contents.
    """

    def __init__(
        self,
        replicated_log: log.ReplicatedLog,
        stream_service: streams.Streams,
        timer_service: timers.Timers,
        groups: list[str],
        policies: Callable[[], manifest.Policies],
        *,
        is_current: Callable[[], bool] = lambda: True,
        kept_limit: int = 0,
        record_limit: int = 0,
        stream_limit: int = 0,
        histories: Callable[[str], Any] = lambda group: None,
        memory_tokens: Callable[[], Mapping[str, int]] = dict,
        registered: Callable[
            [], Iterable[member_messages.Registration]
        ] = tuple,
        events: event_ports.EventReporter = event_ports.NULL_EVENT_REPORTER,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        """Attaches a machine per group and registers the stream handlers.

        Args:
            replicated_log: The log of this instance, not started yet.
            stream_service: Delivers the requests.
            timer_service: Clocks, and the timer of the retention.
            groups: Names of all program groups.
            policies: Returns the newest policies that this instance knows.
            is_current: Returns whether newer ones become known here in time.
            kept_limit: Bytes that the finished turns of a group may keep; 0
                for no limit.
            record_limit: Bytes that the accounts and the finished turns of a
                group may take beside the turns' content; 0 for no limit.
            stream_limit: Bytes that the records of a group's streams may take;
                0 for no limit.
            histories: Makes the `ports.histories.HistoryStore` of a group;
                in memory when it returns None.
            memory_tokens: Returns the memory of each upstream in tokens, by
                incarnation, for operators.
            registered: Returns the registered upstreams, for operators.
            events: Receives the decisions of admission control.
            account: What this process holds of contents on their way; None
                for an account of its own.
        """
        self.log = replicated_log
        self.timers = timer_service
        self.groups = groups
        self.policies = policies
        self.is_current = is_current
        self.machines = {
            group: machine.ProgramMachine(histories(group)) for group in groups
        }
        self.clocks = {
            group: GroupClock(group_machine, timer_service)
            for group, group_machine in self.machines.items()
        }
        self.record_limit = record_limit
        self.stream_limit = stream_limit
        self.events = events
        self.rooms = {group: kept_turns.Room(kept_limit) for group in groups}
        self.entry_loads = shared_load.EntryLoads()
        self.failure_reports = shared_health.FailureReports()
        self.contention = contention.Contention(
            self.machines, timer_service, policies, events
        )
        self.load_report = load_report.LoadReport(
            timer_service,
            policies,
            self.entry_loads,
            self.failure_reports,
            memory_tokens,
            registered,
        )
        self.account = account or memory_account.MemoryAccount()
        self.contents = contents.Contents(
            replicated_log,
            self.machines,
            stream_service,
            timer_service,
            lambda program: placement.group_of(program, len(groups)),
            self._commit,
            PROPOSE_SECONDS,
            self.account,
        )
        for group, group_machine in self.machines.items():
            replicated_log.attach(
                group,
                group_machine,
                functools.partial(self._begin_to_lead, group),
            )
        for kind in (*commands.MUTATIONS, *READS):
            stream_service.handle(kind, self._serve_one)
        stream_service.handle(identities.Batch, self._serve_batch)
        timer_service.every(TICK_SECONDS, self.tick)

    def _begin_to_lead(self, group: str) -> None:
        self.clocks[group].start(self.log.position(group).term)
        self.contention.reset(group)

    def tick(self) -> None:
        """Removes expired records of the groups that this replica leads."""
        request = self._expiry()
        for group, group_machine in self.machines.items():
            if self.log.leads(group) and retention.is_due(
                group_machine, self._clock(group), request
            ):
                self._commit(group, [request])

    def _clock(self, group: str) -> float:
        """Returns the group's clock for the next command."""
        return self.clocks[group].read(self.log.position(group).term)

    def _expiry(self) -> commands.Tick:
        """Returns the command that removes what has expired.

        While a longer retention may have been confirmed that this instance
        doesn't know, only records that state their own retention expire.
        """
        policies = self.policies()
        if not self.is_current():
            return commands.Tick(math.inf, math.inf)
        return commands.Tick(policies.program_idle, policies.record_retention)

    def kept_bytes(self) -> int:
        """Returns the bytes that finished turns keep on this instance."""
        return sum(
            group_machine.branches.kept_bytes
            for group_machine in self.machines.values()
        )

    def answer(
        self, requests: list[Any], inlined: contents.Inlined | None = None
    ) -> list[Any]:
        """Returns one reply or typed error for each request, in order.

        Args:
            requests: The requests.
            inlined: Counts the contents in the replies; None to leave none out.
        """
        by_group: dict[str, list[int]] = {}
        replies: list[Any] = [None] * len(requests)
        requests = list(requests)
        entries: dict[int, str] = {}
        asking: list[int] = []
        admitted: dict[int, str] = {}
        fetching = [
            position
            for position, request in enumerate(requests)
            if getattr(request, "may_fetch", False)
        ]
        for position, request in enumerate(requests):
            if getattr(request, "running", None) is not None:
                entries[position] = request.running.entry
                if shared_load.asks_summary(request.running.by_upstream):
                    asking.append(position)
                requests[position] = self._record_running_calls(request)
            requests[position] = self._with_current_limit(requests[position])
            try:
                group = self._checked_group(requests[position])
                self._check_record_room(group, requests[position])
                requests[position] = self._with_stream_room(
                    group, requests[position]
                )
                self._reserve_room(group, requests[position])
                if self._controls_admission(group, requests[position]):
                    self._admit(
                        group, requests[position], entries.get(position, "")
                    )
                    admitted[position] = group
            except errors.MintcleatError as error:
                replies[position] = error
            else:
                requests[position] = _as_logged(requests[position])
                by_group.setdefault(group, []).append(position)
        self._answer_groups(by_group, requests, replies)
        for position, group in admitted.items():
            request = requests[position]
            if isinstance(request, program_messages.OpenTurn):
                self.contention.opened(group, request, replies[position])
        for request, reply in zip(requests, replies, strict=True):
            self._release_room(request, reply)
            self.load_report.answered(request, reply)
        for position in asking:
            replies[position] = self._with_others_loads(
                replies[position], entries[position]
            )
        for position in fetching if inlined else ():
            if isinstance(replies[position], program_messages.TurnOpened):
                replies[position] = inlined.outlined(replies[position])
        return replies

    def _with_others_loads(self, reply: Any, entry: str) -> Any:
        """Adds to a TurnOpened what entries other than `entry` reported."""
        if not isinstance(reply, program_messages.TurnOpened):
            return reply
        loads = shared_load.reply_of(self.entry_loads.summary(entry))
        return reply._replace(
            others=loads.others,
            others_tokens=loads.tokens,
            slowdowns=loads.slowdowns,
            failing=self.failure_reports.failing(),
        )

    def _controls_admission(self, group: str, request: Any) -> bool:
        """Returns whether a request is subject to admission control here."""
        kinds = (program_messages.OpenTurn, program_messages.CloseTurn)
        return (
            isinstance(request, kinds)
            and self.policies().admission == "programs"
            and self.log.leads(group)
        )

    def _check_record_room(self, group: str, request: Any) -> None:
        """Checks that there is room for the records of a turn.

        Raises:
            errors.Overloaded: There is none. The turn has not run.
        """
        if not isinstance(request, program_messages.OpenTurn):
            return
        if not self.log.leads(group):
            return
        found = self.machines[group].branches
        key = branches.ScopedId(request.customer, request.program)
        account = found.accounts.get(key)
        if account is not None and request.turn in account.reserved:
            return
        if record_room.has_room(
            found.record_bytes(),
            self.record_limit,
            is_known=account is not None,
        ):
            return
        expires = found.first_expiry() - self._clock(group)
        raise errors.Overloaded(
            f"The records of {len(found.accounts)} programs and "
            f"{len(found.turns)} finished turns take {found.record_bytes()} of "
            f"{self.record_limit} bytes.",
            retry_after=round(
                record_room.retry_after(expires + _DELETION_DELAY_SECONDS), 3
            ),
        )

    def _with_stream_room(self, group: str, request: Any) -> Any:
        """Returns a request that records a stream only if there is room.

        A turn runs without the record of its stream: only a caller whose
        stream breaks off then loses anything, as its take-up may be refused.

        Raises:
            errors.Overloaded: A record has no room.
        """
        opening = isinstance(request, program_messages.OpenTurn)
        recording = isinstance(request, program_messages.RecordStream)
        if not ((opening and request.stream is not None) or recording):
            return request
        if not self.stream_limit or not self.log.leads(group):
            return request
        held = self.machines[group].streams.size(self._clock(group))
        if held < self.stream_limit:
            return request
        detail = (
            f"The records of streams take {held} of {self.stream_limit} bytes."
        )
        if recording:
            raise errors.Overloaded(detail)
        self.events.emit(
            event_types.StreamUnrecorded(
                request.turn, *request.stream.origin, detail
            )
        )
        return request._replace(stream=None)

    def _reserve_room(self, group: str, request: Any) -> None:
        """Reserves the room for keeping a turn.

        Raises:
            errors.Overloaded: There is none. The turn has not run.
        """
        if not isinstance(request, program_messages.OpenTurn):
            return
        if not self.log.leads(group):
            return
        room = self.rooms[group]
        finished = self.machines[group].branches
        key = (request.customer, request.turn)
        size = request.input_bytes
        kept = finished.kept_bytes + room.unreserved(finished.staged.sizes())
        continues = bool(request.previous)
        now = self.timers.now()
        if room.has_room(key, size, kept, continues, now):
            return
        clock = self._clock(group)
        expiring = (
            kept_turns.Expiring(
                expires - clock + _DELETION_DELAY_SECONDS, freed
            )
            for expires, freed in finished.sizes_by_expiry()
        )
        after = room.retry_after(size, kept, continues, expiring, now)
        raise errors.Overloaded(
            f"The turn would keep {size} bytes, and {kept} of the {room.limit} "
            "for finished turns are in use.",
            retry_after=round(after, 3),
        )

    def _release_room(self, request: Any, reply: Any) -> None:
        """Releases the room of a turn that has ended or was not opened."""
        match request:
            case program_messages.CloseTurn():
                released = True
            case program_messages.OpenTurn():
                released = not isinstance(reply, program_messages.TurnOpened)
            case _:
                return
        if released:
            for room in self.rooms.values():
                room.release((request.customer, request.turn))

    def _admit(self, group: str, request: Any, entry: str) -> None:
        """Admits an OpenTurn with a demand, or releases a closed turn.

        Raises:
            errors.TurnDeferred: The turn waits; its sender asks again.
            errors.Overloaded: The turn is refused.
            errors.ShareExceeded: The same, since its customer is over its
                share.
        """
        match request:
            case program_messages.CloseTurn():
                self.contention.closed(group, request)
            case program_messages.OpenTurn(demand=demand) if demand:
                error = self.contention.admit(group, request, entry)
                if error is not None:
                    raise error

    def _answer_groups(
        self,
        by_group: dict[str, list[int]],
        requests: list[Any],
        replies: list[Any],
    ) -> None:
        """Fills in the replies of all groups; several commit concurrently."""
        if len(by_group) == 1:
            ((group, positions),) = by_group.items()
            self._answer_group(group, positions, requests, replies)
            return
        threads = [
            eventlet.spawn(
                self._answer_group, group, positions, requests, replies
            )
            for group, positions in by_group.items()
        ]
        for thread in threads:
            thread.wait()

    def _with_current_limit(self, request: Any) -> Any:
        """Returns a request with the customer's rate limit in force here.

        The limit in the request comes from the sender's configuration, which
        may be older. If this instance's configuration may be outdated too,
        the lower of both counts. The sender's limit is kept while this
        instance doesn't know the customer, and for a CountCall, which can't be
        without one, also after it was removed: the sender is about to learn
        that as well. Requests that count no calls are returned unchanged.
        """
        counting = (program_messages.OpenTurn, program_messages.CountCall)
        if not isinstance(request, counting) or request.limit is None:
            return request
        policies = self.policies()
        customer = policies.customers.get(request.customer)
        if customer is None:
            return request
        limit = limits.limit_of(customer, policies)
        if not self.is_current():
            limit = limits.lower_limit(request.limit, limit)
        if limit is None and isinstance(request, program_messages.CountCall):
            return request
        return request._replace(limit=limit)

    def _record_running_calls(self, request: Any) -> Any:
        """Records an entry's running calls; returns the request without them.

        They are soft state in memory and are not committed.
        """
        report = request.running
        received = shared_load.received_report(
            report.by_upstream, report.tokens, report.slowdowns
        )
        self.entry_loads.report(
            report.entry,
            received.running,
            self.timers.now(),
            received.tokens,
            received.slowdowns,
        )
        self.failure_reports.report(
            report.entry, report.failing, self.timers.now()
        )
        return request._replace(running=None)

    def _serve_one(self, exchange: streams.Exchange, message: Any) -> None:
        inlined = contents.Inlined(self.account)
        try:
            (reply,) = self.answer([message], inlined)
            if isinstance(reply, errors.MintcleatError):
                raise reply
            exchange.send(reply)
        finally:
            inlined.release()

    def _serve_batch(
        self, exchange: streams.Exchange, message: identities.Batch
    ) -> None:
        requests = [codec.decode(item) for item in message.items]
        inlined = contents.Inlined(self.account)
        try:
            replies = [_encode(one) for one in self.answer(requests, inlined)]
            exchange.send(identities.Batch(replies))
        finally:
            inlined.release()

    def _checked_group(self, request: Any) -> str:
        """Checks a request and returns its group.

        Raises:
            errors.MintcleatError: The request is invalid.
        """
        if not isinstance(request, (*commands.MUTATIONS, *READS)):
            raise errors.BadRequest(
                f"{type(request).__name__} is not a program request."
            )
        checks.check(request)
        by_group = (program_messages.ListPrograms, program_messages.ShowLoad)
        if isinstance(request, by_group):
            group = request.group
        else:
            scope = placement.scope_of(request)
            group = placement.group_of(scope, len(self.groups))
        if group not in self.machines:
            raise errors.BadRequest(
                f"There is no program group {group!r}; see `program_groups` "
                "in the settings."
            )
        return group

    def _answer_group(
        self,
        group: str,
        positions: list[int],
        requests: list[Any],
        replies: list[Any],
    ) -> None:
        """Fills in the replies of one group: one commit, then the reads."""
        reads = [p for p in positions if isinstance(requests[p], READS)]
        writes = [p for p in positions if p not in reads]
        if writes:
            results = self._commit(group, [requests[p] for p in writes])
            for position, result in zip(writes, results, strict=True):
                replies[position] = result
        if reads:
            results = self._read(group, [requests[p] for p in reads])
            for position, result in zip(reads, results, strict=True):
                replies[position] = result

    def _commit(self, group: str, requests: list[Any]) -> list[Any]:
        command = commands.Command(
            self._clock(group), self.timers.wall_time(), requests
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
        return [self._read_one(group, request) for request in requests]

    def _read_one(self, group: str, request: Any) -> Any:
        if isinstance(request, program_messages.ShowLoad):
            return self.load_report.view(
                request,
                self.machines[group].branches.limits,
                self._clock(group),
                load_report.service_loads(
                    self.contention.views(), request.customers
                ),
            )
        return self.machines[group].read(request)


def _as_logged(request: Any) -> Any:
    """Returns a request as it is logged, without its soft state."""
    if isinstance(request, program_messages.OpenTurn):
        return request._replace(demand=None, input_bytes=0, may_fetch=False)
    return request


def _encode(reply: Any) -> bytes:
    if isinstance(reply, errors.MintcleatError):
        return codec.encode(reply.failure())
    return codec.encode(reply)
