"""Client of the program groups: finds leaders, batches and retries requests."""

from collections.abc import Callable
from collections.abc import Iterator
import math
import secrets
from typing import Any

from eventlet import event

from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import streams
from mintcleat.ports import timers
from mintcleat.programs import commands
from mintcleat.programs import placement
from mintcleat.roles import shared_counts

# Seconds after which the next control instance is tried. A leader that is cut
# off never answers. Longer than the service itself waits for a commit.
TRY_TIMEOUT = 2.0
# Seconds between two rounds in which no instance knew a leader. An election
# takes some hundred milliseconds, and more frequent requests only delay it.
MIN_BACKOFF = 0.02
MAX_BACKOFF = 0.1
# Seconds for which an instance that did not answer is tried last. This is about
# the time of a failover, after which it may be available again.
UNRESPONSIVE_SECONDS = 2.0
# Encoding and decoding a message blocks the event loop. These limits keep that
# below a few milliseconds.
MAX_BATCH_ITEMS = 256
MAX_BATCH_BYTES = 1024 * 1024
# Concurrent batches to one leader and group. With two, one is encoded while the
# other waits for the disk; more would only make the batches smaller.
MAX_IN_FLIGHT = 2
# Errors after which another instance is tried.
_OTHER_INSTANCE = (
    errors.NotLeader,
    errors.StreamClosed,
    errors.StreamTimeout,
    errors.ProposalLost,
    errors.StorageFailed,
)
# Turns of the event loop in which a reply that has arrived is read and handled.
_REPLY_TURNS = 4


class PendingRequest:
    """A request that waits for its reply, or several that share a message.

    Attributes:
        message: The message.
        may_join: Whether others may share it.
        item: The encoded message.
        replies: Event of each request that waits for the reply.
    """

    def __init__(self, message: Any, may_join: bool = False) -> None:
        self.message = message
        self.may_join = may_join
        self.item = codec.encode(message)
        self.replies = [event.Event()]

    def join(self, message: Any) -> event.Event | None:
        """Adds a request to an unsent one.

        Returns:
            The event of the request; None if the two can't share a message.
        """
        if not self.may_join:
            return None
        joined = shared_counts.join(self.message, message)
        if joined is None:
            return None
        self.message = joined
        self.item = codec.encode(joined)
        self.replies.append(event.Event())
        return self.replies[-1]

    def leave(self, answered: event.Event) -> bool:
        """Removes an unsent request; returns whether it was the only one."""
        place = self.replies.index(answered)
        del self.replies[place]
        if not self.replies:
            return True
        ids = list(self.message.ids)
        del ids[place : place + 1]
        self.message = self.message._replace(calls=len(self.replies), ids=ids)
        self.item = codec.encode(self.message)
        return False

    def send(self, reply: Any) -> None:
        """Answers all requests."""
        parts = shared_counts.split(reply, len(self.replies))
        for waiting, part in zip(self.replies, parts, strict=True):
            waiting.send(part)

    def send_exception(self, error: errors.MintcleatError) -> None:
        """Fails all requests."""
        for waiting in self.replies:
            waiting.send_exception(error)


class BatchChannel:
    """Sends requests to one leader and group in batches.

    An idle channel sends a request at once. Requests that arrive while batches
    are in flight share the next one, so batches grow with the load and no
    timer is needed.

    Attributes:
        waiting: Requests that were not sent yet.
        in_flight: Number of green threads that send batches.
    """

    def __init__(
        self,
        stream_service: streams.Streams,
        timer_service: timers.Timers,
        address: str,
        try_timeout: float = TRY_TIMEOUT,
    ) -> None:
        self.try_timeout = try_timeout
        self.streams = stream_service
        self.timers = timer_service
        self.address = address
        self.waiting: list[PendingRequest] = []
        self.in_flight = 0

    def ask(self, message: Any, timeout: float, may_join: bool = False) -> Any:
        """Returns the reply, which may be a Failure.

        Args:
            message: The request.
            timeout: Seconds until its reply.
            may_join: Whether it may share a message with others, which a copy
                must not: the reply tells how many were refused, not which.

        Raises:
            errors.StreamClosed: The connection failed. The outcome is
                `not_run` if the request was not sent.
            errors.StreamTimeout: No reply in time, with the same outcomes.
        """
        pending, answered = self._add(message, may_join)
        self._start()
        reply = answered.wait(timeout)
        if reply is not None:
            return reply
        # After a pause of this process the time is up before a reply that has
        # arrived is handled.
        for _ in range(_REPLY_TURNS):
            self.timers.sleep(0)
            if answered.ready():
                return answered.wait()
        is_unsent = pending in self.waiting
        if is_unsent and pending.leave(answered):
            self.waiting.remove(pending)
        raise errors.StreamTimeout(
            f"{self.address} did not answer within {timeout:g} s.",
            outcome=errors.NOT_RUN if is_unsent else errors.UNKNOWN,
        )

    def ask_unbatched(self, message: Any) -> Any:
        """Returns the reply to a request that is sent in its own batch.

        This is for histories: hundreds of them in one reply would exceed the
        maximum message size, and all requests of the batch would fail.
        """
        pending = PendingRequest(message)
        self._send([pending])
        return pending.replies[0].wait()

    def _add(
        self, message: Any, may_join: bool
    ) -> tuple[PendingRequest, event.Event]:
        """Adds a request to the waiting ones, or to one of them."""
        for pending in self.waiting if may_join else ():
            answered = pending.join(message)
            if answered is not None:
                return pending, answered
        pending = PendingRequest(message, may_join)
        self.waiting.append(pending)
        return pending, pending.replies[0]

    def _start(self) -> None:
        if self.in_flight < MAX_IN_FLIGHT:
            self.in_flight += 1
            self.timers.spawn(self._send_batches)

    def _send_batches(self) -> None:
        try:
            while self.waiting:
                self._send(self._take_batch())
        finally:
            self.in_flight -= 1

    def _take_batch(self) -> list[PendingRequest]:
        size = 0
        count = 0
        for pending in self.waiting[:MAX_BATCH_ITEMS]:
            size += len(pending.item)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        taken = self.waiting[:count]
        del self.waiting[:count]
        return taken

    def _send(self, batch: list[PendingRequest]) -> None:
        request = identities.Batch([pending.item for pending in batch])
        try:
            reply = self.streams.ask(self.address, request, self.try_timeout)
            replies = [codec.decode(item) for item in reply.items]
            if len(replies) != len(batch):
                raise errors.StreamClosed(
                    f"{self.address} answered {len(replies)} of"
                    f" {len(batch)} requests."
                )
        except errors.MintcleatError as error:
            for pending in batch:
                pending.send_exception(self._retryable(error))
            self._fail_waiting()
            return
        for pending, reply in zip(batch, replies, strict=True):
            pending.send(reply)

    def _retryable(self, error: errors.MintcleatError) -> errors.MintcleatError:
        """Converts the failure of a batch to an error that is retried.

        An instance that starts or stops has no handler for batches. Its error
        is not the group's answer to the requests.
        """
        if isinstance(error, (errors.StreamTimeout, errors.TooLarge)):
            return error
        return errors.StreamClosed(
            f"{self.address} failed: {error.detail}", outcome=error.outcome
        )

    def _fail_waiting(self) -> None:
        """Fails the waiting requests, so that other instances are tried.

        Otherwise they would be sent to the same unreachable leader, wait for
        one timeout after another and miss their deadlines.
        """
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            pending.send_exception(
                errors.StreamClosed(
                    f"An earlier request to {self.address} failed.",
                    outcome=errors.NOT_RUN,
                )
            )


class ControlClient:
    """Sends requests to the leaders of the program groups.

    Implements `ports.control.Control`.

    Attributes:
        addresses: Stream addresses of the control instances.
        groups: Number of program groups.
        leaders: Address of the last known leader by group.
        channels: Channels by group and address.
        unresponsive: When an instance last failed to answer, by address.
    """

    def __init__(
        self,
        stream_service: streams.Streams,
        timer_service: timers.Timers,
        control_addresses: list[str],
        groups: int,
        try_timeout: float = TRY_TIMEOUT,
    ) -> None:
        self.try_timeout = try_timeout
        self.streams = stream_service
        self.timers = timer_service
        self.addresses = control_addresses
        self.groups = groups
        self.leaders: dict[str, str] = {}
        self.channels: dict[tuple[str, str], BatchChannel] = {}
        self.unresponsive: dict[str, float] = {}

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Returns the group's reply to a request.

        A request without a reply is sent again, which is safe, since every
        request is idempotent. A BeginCall gets a nonce, and a CountCall an id,
        by which the group recognises its copies.

        Args:
            scope: Program id, or `placement.call_scope` of a call without a
                program.
            message: A program group request.
            timeout: Seconds for the whole exchange, retries included.

        Raises:
            errors.ControlUnavailable: No leader answered in time, and the
                request has not been committed.
            errors.OutcomeUnknown: The request may have been committed.
            errors.MintcleatError: The group refused the request.
        """
        if (
            isinstance(message, program_messages.BeginCall)
            and not message.nonce
        ):
            message = message._replace(nonce=secrets.randbits(62) + 1)
        if isinstance(message, program_messages.CountCall) and not message.ids:
            ids = [secrets.randbits(62) + 1 for _ in range(message.calls)]
            message = message._replace(ids=ids)
        group = placement.group_of(scope, self.groups)
        return self._ask_group(group, message, timeout)

    def list_programs(
        self, message: program_messages.ListPrograms, timeout: float
    ) -> program_messages.Programs:
        """Returns a page of one group's programs."""
        return self._ask_group(message.group, message, timeout)

    def show_load(
        self, message: program_messages.ShowLoad, timeout: float
    ) -> program_messages.LoadView:
        """Returns the load of one group."""
        return self._ask_group(message.group, message, timeout)

    def ended_programs(
        self,
        sidecar: identities.Incarnation,
        programs: list[str],
        timeout: float,
    ) -> list[str]:
        """Returns those of the programs that are closed, expired or unknown.

        Programs of a group that does not answer are left out.
        """
        by_group: dict[str, list[str]] = {}
        for program in programs:
            group = placement.group_of(program, self.groups)
            by_group.setdefault(group, []).append(program)
        found = []
        for group, names in by_group.items():
            request = program_messages.RenewResidency(sidecar, names)
            try:
                reply = self._ask_group(group, request, timeout)
            except errors.ControlUnavailable:
                continue
            found.extend(reply.programs)
        return found

    def _ask_group(self, group: str, message: Any, timeout: float) -> Any:
        """Tries one instance after another until one answers or time is up."""
        deadline = self.timers.now() + timeout
        may_be_proposed = False
        may_join = isinstance(message, program_messages.CountCall)
        for address in self._candidates(group, deadline):
            try:
                left = deadline - self.timers.now()
                return self._try(group, address, message, left, may_join)
            except _OTHER_INSTANCE as error:
                self._turn_away(group, address, error)
                if error.outcome != errors.NOT_RUN:
                    may_be_proposed = True
                    may_join = False
        if may_be_proposed and isinstance(message, commands.MUTATIONS):
            raise errors.OutcomeUnknown(
                f"Group {group} did not answer within {timeout:g} s; the"
                " request may have been committed."
            )
        raise self._no_leader(group, timeout)

    def converse(
        self,
        scope: str,
        begin: Callable[[], Any],
        use: Callable[[streams.Exchange], None],
        timeout: float,
    ) -> None:
        """Uses an exchange with a leader; with the next one if it breaks off.

        Args:
            scope: As in `ask`.
            begin: Returns the first message of each exchange.
            use: Sends and receives the rest; it is called again after a
                failure that another instance may not have.
            timeout: Seconds after which no other instance is tried.

        Raises:
            errors.ControlUnavailable: No leader answered in time.
            errors.MintcleatError: The group refused.
        """
        group = placement.group_of(scope, self.groups)
        deadline = self.timers.now() + timeout
        for address in self._candidates(group, deadline):
            try:
                exchange = self.streams.open(address, begin())
                try:
                    use(exchange)
                finally:
                    exchange.close()
            except _OTHER_INSTANCE as error:
                self._turn_away(group, address, error)
            else:
                self.leaders[group] = address
                return
        raise self._no_leader(group, timeout)

    def _no_leader(
        self, group: str, timeout: float
    ) -> errors.ControlUnavailable:
        return errors.ControlUnavailable(
            f"No leader of group {group} answered within {timeout:g} s."
        )

    def _candidates(self, group: str, deadline: float) -> Iterator[str]:
        """Yields one instance after another until time is up."""
        backoff = MIN_BACKOFF
        tried: list[str] = []
        while self.timers.now() < deadline:
            address = self._pick(group, tried)
            if not address:
                tried.clear()
                self.timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF)
                continue
            tried.append(address)
            yield address

    def _turn_away(
        self, group: str, address: str, error: errors.MintcleatError
    ) -> None:
        """Takes an instance that failed for no leader of a group."""
        match error:
            case errors.NotLeader():
                self._redirect(group, address, error.leader)
            case errors.StreamClosed() | errors.StreamTimeout():
                self._redirect(group, address, "")
                self._mark_unresponsive(address)
            case _:
                self._redirect(group, address, "")

    def _try(
        self,
        group: str,
        address: str,
        message: Any,
        left: float,
        may_join: bool,
    ) -> Any:
        channel = self.channels.get((group, address))
        if channel is None:
            channel = BatchChannel(
                self.streams, self.timers, address, self.try_timeout
            )
            self.channels[group, address] = channel
        if isinstance(message, program_messages.FetchHistory):
            reply = channel.ask_unbatched(message)
        else:
            reply = channel.ask(message, min(left, self.try_timeout), may_join)
        if isinstance(reply, errors.Failure):
            raise errors.from_failure(reply)
        self.leaders[group] = address
        return reply

    def _pick(self, group: str, tried: list[str]) -> str:
        """Returns the known leader, or the next instance to try.

        Instances that recently did not answer come last. Those that have just
        failed to answer are left out, since each try of an unreachable
        instance costs another `try_timeout`.

        Returns:
            An address; empty if all instances were tried in this round.
        """
        leader = self.leaders.get(group)
        if leader:
            return leader
        candidates = [
            one for one in self.addresses if not self._failed_just_now(one)
        ]
        candidates = candidates or self.addresses
        left = [one for one in candidates if one not in tried]
        if not left:
            return ""
        return min(
            left,
            key=lambda one: self._is_unresponsive(one, UNRESPONSIVE_SECONDS),
        )

    def _failed_just_now(self, address: str) -> bool:
        """Returns whether an instance has just failed to answer.

        If a leader hangs, the other instances redirect to it until the next
        leader is elected. A caller that followed such a redirect would wait
        for another timeout, beyond the end of the election.
        """
        return self._is_unresponsive(address, self.try_timeout)

    def _is_unresponsive(self, address: str, seconds: float) -> bool:
        noted = self.unresponsive.get(address, -math.inf)
        return self.timers.now() < noted + seconds

    def _mark_unresponsive(self, address: str) -> None:
        now = self.timers.now()
        self.unresponsive[address] = now
        oldest = now - max(UNRESPONSIVE_SECONDS, self.try_timeout)
        for known in [
            one for one, at in self.unresponsive.items() if at < oldest
        ]:
            del self.unresponsive[known]

    def _redirect(self, group: str, address: str, leader: str) -> None:
        """Updates the group's leader after a failed try of `address`.

        A leader that another request has found meanwhile is kept.
        """
        if self.leaders.get(group, address) != address:
            return
        if leader and leader != address and not self._failed_just_now(leader):
            self.leaders[group] = leader
        else:
            self.leaders.pop(group, None)
