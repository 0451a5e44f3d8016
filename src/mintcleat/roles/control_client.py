"""Asks program groups: finds leaders, follows redirects, retries."""

import math
import secrets
from typing import Any
from typing import NamedTuple

from eventlet import event

from mintcleat.domain import codec
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import streams
from mintcleat.ports import timers
from mintcleat.programs import commands
from mintcleat.programs import placement

# A leader behind a silent partition never answers; after this long the next
# control instance is asked. Above the service's own wait for a commit.
TRY_TIMEOUT = 2.0
# Pauses between rounds in which no instance knew a leader: an election takes
# some hundred milliseconds, and asking faster only delays it.
MIN_BACKOFF = 0.02
MAX_BACKOFF = 0.1
# For so long an instance that did not answer is asked last. About the time
# of a failover; after it, the instance may be back.
UNRESPONSIVE_SECONDS = 2.0
# One message holds the loop of both sides while it is coded; these keep that
# below a few milliseconds.
MAX_BATCH_ITEMS = 256
MAX_BATCH_BYTES = 1024 * 1024
# Batches under way to one leader and group. Two let one be coded while the
# other waits for its sync; more would only make the batches smaller.
MAX_IN_FLIGHT = 2


class PendingRequest(NamedTuple):
    """A request that waits for its reply; equal only to itself."""

    item: bytes
    reply: event.Event


class BatchChannel:
    """Requests to one leader and group, coalesced into batches.

    A request on a free line goes at once; those that come while batches are
    under way share the next one, so load makes batches, not a timer.
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

    def ask(self, message: Any, timeout: float) -> Any:
        """Returns the reply, which may be a Failure.

        Raises:
            errors.StreamClosed: The line failed; `not_run` when the request
                was never sent.
            errors.StreamTimeout: No reply in time; `not_run` likewise.
        """
        pending = PendingRequest(codec.encode(message), event.Event())
        self.waiting.append(pending)
        self._start()
        reply = pending.reply.wait(timeout)
        if reply is not None:
            return reply
        is_unsent = pending in self.waiting
        if is_unsent:
            self.waiting.remove(pending)
        raise errors.StreamTimeout(
            f"{self.address} did not answer within {timeout:g} s.",
            outcome=errors.NOT_RUN if is_unsent else errors.UNKNOWN,
        )

    def ask_unbatched(self, message: Any) -> Any:
        """Returns the reply to a request that shares no batch.

        Made for histories: hundreds of them in one reply would be over the
        size of a message, and all their callers would be refused.
        """
        pending = PendingRequest(codec.encode(message), event.Event())
        self._send([pending])
        return pending.reply.wait()

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
                pending.reply.send_exception(self._retryable(error))
            self._fail_waiting()
            return
        for pending, item in zip(batch, replies, strict=True):
            pending.reply.send(item)

    def _retryable(self, error: errors.MintcleatError) -> errors.MintcleatError:
        """Returns the failure of a whole batch as one to retry elsewhere.

        An instance that is starting or stopping has no handler yet, or no
        longer; its refusal is not the group's.
        """
        if isinstance(error, (errors.StreamTimeout, errors.TooLarge)):
            return error
        return errors.StreamClosed(
            f"{self.address} failed: {error.detail}", outcome=error.outcome
        )

    def _fail_waiting(self) -> None:
        """Sends the requests behind a failed batch elsewhere at once.

        Each would otherwise wait out one try after another on a leader that
        is cut off, and run out of time there.
        """
        waiting, self.waiting = self.waiting, []
        for pending in waiting:
            pending.reply.send_exception(
                errors.StreamClosed(
                    f"{self.address} does not answer.", outcome=errors.NOT_RUN
                )
            )


class ControlClient:
    """Sends program group requests to whichever instance leads the group.

    Attributes:
        addresses: Stream addresses of the control instances.
        groups: How many program groups there are.
        leaders: The last known leader's address by group.
        unresponsive: Instances that did not answer, and when that was noted.
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

        A lost answer is asked for again, which is safe: every request may be
        repeated. A BeginCall gets a nonce, so that its copies are known as
        one.

        Args:
            scope: Program id, or `placement.call_scope` of a call without.
            message: A program group request.
            timeout: Seconds to go on trying.

        Raises:
            errors.ControlUnavailable: Nothing can have been proposed.
            errors.OutcomeUnknown: The request may have been committed.
            errors.MintcleatError: The group's own refusal.
        """
        if (
            isinstance(message, program_messages.BeginCall)
            and not message.nonce
        ):
            message = message._replace(nonce=secrets.randbits(62) + 1)
        group = placement.group_of(scope, self.groups)
        return self._ask_group(group, message, timeout)

    def list_programs(
        self, message: program_messages.ListPrograms, timeout: float
    ) -> program_messages.Programs:
        """Returns a page of one group's programs."""
        return self._ask_group(message.group, message, timeout)

    def ended_programs(
        self,
        sidecar: identities.Incarnation,
        programs: list[str],
        timeout: float,
    ) -> list[str]:
        """Returns which programs are gone, for the release of their memory.

        A group that cannot be asked reports nothing; ask again later.
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
        """Tries instance after instance until one answers or time is up."""
        deadline = self.timers.now() + timeout
        may_be_proposed = False
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
            try:
                left = deadline - self.timers.now()
                return self._try(group, address, message, left)
            except errors.NotLeader as error:
                self._redirect(group, address, error.leader)
            except (errors.StreamClosed, errors.StreamTimeout) as error:
                self._redirect(group, address, "")
                self._mark_unresponsive(address)
                may_be_proposed |= error.outcome != errors.NOT_RUN
            except (errors.ProposalLost, errors.StorageFailed):
                self._redirect(group, address, "")
                may_be_proposed = True
        if may_be_proposed and isinstance(message, commands.MUTATIONS):
            raise errors.OutcomeUnknown(
                f"Group {group} did not answer within {timeout:g} s; the"
                " request may have been committed."
            )
        raise errors.ControlUnavailable(
            f"No leader of group {group} answered within {timeout:g} s."
        )

    def _try(self, group: str, address: str, message: Any, left: float) -> Any:
        channel = self.channels.get((group, address))
        if channel is None:
            channel = BatchChannel(
                self.streams, self.timers, address, self.try_timeout
            )
            self.channels[group, address] = channel
        if isinstance(message, program_messages.FetchHistory):
            reply = channel.ask_unbatched(message)
        else:
            reply = channel.ask(message, min(left, self.try_timeout))
        if isinstance(reply, errors.Failure):
            raise errors.from_failure(reply)
        self.leaders[group] = address
        return reply

    def _pick(self, group: str, tried: list[str]) -> str:
        """Returns the known leader, or the next instance not tried yet.

        Instances that did not answer lately come last, and those that have
        just kept a caller waiting not at all: each try of one that is cut off
        costs another `try_timeout`.

        Returns:
            An address; empty when this round is over.
        """
        leader = self.leaders.get(group)
        if leader:
            return leader
        asked = [
            one for one in self.addresses if not self._timed_out_just_now(one)
        ]
        asked = asked or self.addresses
        left = [one for one in asked if one not in tried]
        if not left:
            return ""
        return min(
            left,
            key=lambda one: self._is_unresponsive(one, UNRESPONSIVE_SECONDS),
        )

    def _timed_out_just_now(self, address: str) -> bool:
        """Tells whether an instance did not answer just now.

        The others take a leader that stands still for the leader until the
        next one is elected. Sent back to it by their word, a caller waits
        once more, and past the election.
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
        """Learns from a failed try; a newer entry of the cache stays."""
        if self.leaders.get(group, address) != address:
            return
        if (
            leader
            and leader != address
            and not self._timed_out_just_now(leader)
        ):
            self.leaders[group] = leader
        else:
            self.leaders.pop(group, None)
