"""Opens, commits and settles turns of routed programs at control leaders."""

from collections.abc import Callable
from collections.abc import Sequence
import math

from mintcleat.decisions import control_outage
from mintcleat.decisions import memory_account
from mintcleat.decisions import shared_load
from mintcleat.domain import answer_ends
from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import control as control_ports
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import branches
from mintcleat.roles.entry import content_client
from mintcleat.roles.entry import conversations
from mintcleat.roles.entry import rate_limiter
from mintcleat.roles.entry import turn_demand

# Committing a turn takes two hops and a disk sync, about 10 ms, or about a
# second after the loss of a leader. A caller that waits longer gets its answer
# sooner by a retry at another entry.
COMMIT_SECONDS = 2.0
# Unused tokens of a turn stay reserved until the turn is settled, so this is
# longer than any failover.
SETTLE_SECONDS = 30.0
# Time for which the account of an open turn is kept after the latest end of the
# turn, beside what the group adds to each time.
_CLOSE_SECONDS = SETTLE_SECONDS - branches.RETENTION_SLACK_SECONDS


class OpenedTurn:
    """An open turn with reserved tokens.

    Attributes:
        retention: Seconds for which it can be continued.
        chain: Preceding turns, oldest first.
        hint: Incarnation of the upstream that ran the program last; empty for
            none.
        others: What other entries have running and measured, by incarnation
            of the upstream; None if the leader wasn't asked.
        counted_at: When it was counted against its customer's limit, by the
            group's clock; negative if it was not counted.
        failing: Upstreams that several entries avoid.
    """

    def __init__(
        self,
        call: routed_calls.RoutedCall,
        retention: float,
        chain: list[conversations.HeldTurn],
        hint: str,
        others: shared_load.Summary | None,
        counted_at: float = -1.0,
        failing: Sequence[str] = (),
    ) -> None:
        self.call = call
        self.retention = retention
        self.chain = chain
        self.hint = hint
        self.others = others
        self.counted_at = counted_at
        self.failing = failing

    def release(self) -> None:
        """Drops the preceding turns; the turn has ended."""
        self.chain = []

    def body(self) -> tuple[bytes, ...]:
        """Returns the request body: preceding turns and the new input.

        Its parts are not joined: all attempts of all turns that continue the
        same ones share them.
        """
        parts = [part for held in self.chain for part in held.parts]
        return (*parts, self.call.body)


class TurnClient:
    """Sends turn operations to the leader of each program's group.

    Attributes:
        ending: Turns that have ended while their CloseTurn is not confirmed,
            with the incarnation of the upstream that still counts them as
            running, or an empty string; the newest last.
        held: Finished turns.
        contents: Completes them.
    """

    def __init__(
        self,
        control: control_ports.Control,
        limiter: rate_limiter.RateLimiter,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        self.control = control
        self.rate_limiter = limiter
        self.timers = timers
        self.events = events
        self.held = conversations.Conversations(account)
        self.contents = content_client.ContentClient(control, timers, self.held)
        self.ending: dict[program_messages.EndedTurn, str] = {}

    def open(
        self,
        call: routed_calls.RoutedCall,
        reserve: int,
        retention: float,
        report: Callable[[], program_messages.RunningCounts | None],
        admission: turn_demand.Admission | None = None,
        stream: program_messages.BegunStream | None = None,
        input_bytes: int = 0,
        until: float = math.inf,
        lasts: float = 0.0,
    ) -> OpenedTurn:
        """Opens a turn and reserves its tokens; waits for its grant.

        Args:
            call: Request of the turn.
            reserve: Maximum number of tokens that it can generate.
            retention: Seconds for which it can be continued.
            report: Returns the running requests of this entry, None if the
                last reply about other entries is young.
            admission: How the turn asks for its grant; None without admission
                control.
            stream: Stream that the turn begins; None to record none.
            input_bytes: Size of the input that will be kept; 0 for none.
            until: Time until which it waits for its conversation, in seconds.
            lasts: Seconds that it may take until it ends.

        Raises:
            errors.Overloaded: The turn was refused or waited for too long, or
                there is no room for its conversation.
            errors.ShareExceeded: The turn was refused, and its customer is
                over its share.
            errors.LimitReached: The customer is over its rate limit.
            errors.BudgetExhausted: The rest of the budget is too small.
            errors.UnknownTurn: The previous turn doesn't exist.
            errors.ControlUnavailable: No leader answered in time.
        """
        program = call.program
        self.ending.pop(_ended_turn(call), None)
        began = self.timers.now()
        known = self.held.chain(call.customer, program.previous, began)
        limit = self._limit_in_group(call)
        ahead = 0
        if limit:
            ahead = self.rate_limiter.counted_ahead.requests_ahead(
                call.customer, began
            )
        request = program_messages.OpenTurn(
            program.program,
            call.request,
            program.previous,
            program.budget,
            reserve,
            max(retention, lasts + _CLOSE_SECONDS),
            has_chain=known is not None,
            customer=call.customer,
            limit=limit,
            ahead=ahead,
            stream=stream,
            input_bytes=input_bytes,
            may_fetch=known is None,
        )
        try:
            reply, reported = self._ask_for_grant(
                call, request, report, admission
            )
        except (errors.OutcomeUnknown, errors.Superseded) as error:
            # The opening may be committed, but the turn has not run.
            self.cancel(call)
            raise errors.ControlUnavailable(
                error.detail, retry_after=control_outage.RETRY_SECONDS
            ) from None
        except errors.MintcleatError:
            raise
        except BaseException:
            # The caller has gone, or time is up, while the opening may be on
            # its way. Its reservation would count until the program expires.
            # A turn that only waits for its grant is dropped by the leader.
            self.cancel(call)
            raise
        opened = OpenedTurn(
            call,
            retention,
            known or [],
            reply.upstream,
            _summary_of(reply, reported),
            reply.counted_at,
            reply.failing,
        )
        if known is None:
            self._complete(opened, reply, until)
        self._emit_opened(
            call, reserve, len(opened.chain), reply.upstream, began
        )
        return opened

    def _complete(
        self,
        turn: OpenedTurn,
        reply: program_messages.TurnOpened,
        until: float,
    ) -> None:
        """Adds the conversation to a turn, or settles it as not run.

        Raises:
            errors.MintcleatError: There was no room, or no leader sent it.
        """
        try:
            if reply.outline:
                turn.chain = self.contents.complete(
                    turn.call, reply.outline, until
                )
                return
            now = self.timers.now()
            turn.chain = [self.held.hold(kept, now) for kept in reply.chain]
        except BaseException:
            self.settle(turn, 0, "", ran=False)
            raise

    def _limit_in_group(
        self, call: routed_calls.RoutedCall
    ) -> program_messages.RateLimit | None:
        """Returns the limit that the program's group counts a turn against.

        If another group holds the customer's limit, the turn is counted there
        at once, and None is returned.

        Raises:
            errors.LimitReached: The customer is over its limit.
            errors.ControlUnavailable: The group that counts didn't answer.
        """
        program = call.program.program
        limit = self.rate_limiter.limit_of(call.customer)
        if limit and not self.rate_limiter.shares_group(call.customer, program):
            self.rate_limiter.admit(call.customer, program, call.request)
            return None
        return limit

    def _ask_for_grant(
        self,
        call: routed_calls.RoutedCall,
        request: program_messages.OpenTurn,
        report: Callable[[], program_messages.RunningCounts | None],
        admission: turn_demand.Admission | None,
    ) -> tuple[
        program_messages.TurnOpened, program_messages.RunningCounts | None
    ]:
        """Asks the leader until it grants or refuses the turn.

        Returns:
            The reply, and the report that was sent with the request.

        Raises:
            errors.MintcleatError: The turn was refused, or waited too long.
        """
        if admission is None:
            request = request._replace(running=report())
            reply = self.rate_limiter.ask(call.program.program, request)
            return reply, request.running
        while True:
            request = request._replace(
                running=admission.report(), demand=admission.demand()
            )
            try:
                reply = self.rate_limiter.ask(call.program.program, request)
            except errors.TurnDeferred as error:
                deferred = error
            else:
                return reply, request.running
            if self.timers.now() + deferred.retry_after >= admission.until:
                raise errors.Overloaded(
                    f"The turn has waited for too long: {deferred.detail}",
                    retry_after=control_outage.RETRY_SECONDS,
                )
            self.timers.sleep(deferred.retry_after)

    def commit(
        self,
        turn: OpenedTurn,
        tokens: int,
        upstream: str,
        output: bytes,
        running: program_messages.RunningCounts | None,
        end: answer_ends.AnswerEnd,
    ) -> None:
        """Commits a complete turn, so that later turns can continue it.

        Args:
            turn: The turn.
            tokens: Tokens that were sent to the caller.
            upstream: Incarnation of the upstream that ran it.
            output: The answer, as later turns repeat it.
            running: Report of this entry's requests; None for no report.
            end: How the answer ended.

        Raises:
            ValueError: The answer is not whole.
            errors.MintcleatError: The commit failed or its result is unknown.
        """
        if not end.is_whole:
            raise ValueError(f"The answer isn't whole: {end.text}.")
        call = turn.call
        program = call.program
        began = self.timers.now()
        request = program_messages.CloseTurn(
            program.program,
            call.request,
            tokens,
            upstream,
            True,
            program.previous,
            call.body,
            output,
            turn.retention,
            running,
            call.customer,
        )
        self.ending[_ended_turn(call)] = upstream
        try:
            if len(call.body) + len(output) > content_messages.INLINE_BYTES:
                staged = self.contents.send(call, output)
                request = request._replace(input=b"", output=b"", staged=staged)
            self.control.ask(program.program, request, COMMIT_SECONDS)
        finally:
            self.ending.pop(_ended_turn(call), None)
        self.held.put(
            program_messages.KeptTurn(
                call.request,
                program.previous,
                call.body,
                output,
                upstream,
                call.customer,
            ),
            self.timers.now(),
        )
        self._emit_settled(call, tokens, True, began, end.kind.value)

    def settle(
        self, turn: OpenedTurn, tokens: int, upstream: str, ran: bool
    ) -> None:
        """Settles an incomplete turn in the background.

        The tokens used replace the reservation.

        Args:
            turn: The turn.
            tokens: Tokens that were sent to the caller.
            upstream: Incarnation of the upstream that began to run it; empty
                for none.
            ran: Whether it may have run; otherwise the request is refunded to
                the customer's limit.
        """
        counted_at = -1.0 if ran else turn.counted_at
        # No upstream counts the turn as running any more.
        self.ending[_ended_turn(turn.call)] = ""
        self.timers.spawn(
            self._settle,
            turn.call,
            tokens,
            upstream,
            turn.retention,
            counted_at,
        )

    def cancel(self, call: routed_calls.RoutedCall) -> None:
        """Cancels, in the background, an opening that may be committed."""
        self.ending[_ended_turn(call)] = ""
        self.timers.spawn(self._settle, call, 0, "", 0.0)

    def _settle(
        self,
        call: routed_calls.RoutedCall,
        tokens: int,
        upstream: str,
        retention: float,
        counted_at: float = -1.0,
    ) -> None:
        program = call.program.program
        began = self.timers.now()
        request = program_messages.CloseTurn(
            program,
            call.request,
            tokens,
            upstream,
            retention=retention,
            customer=call.customer,
            counted_at=counted_at,
        )
        try:
            self.control.ask(program, request, SETTLE_SECONDS)
        except errors.MintcleatError as error:
            self.events.emit(
                event_types.TurnUnsettled(
                    call.request, program, tokens, error.detail
                )
            )
            return
        finally:
            self.ending.pop(_ended_turn(call), None)
        self._emit_settled(call, tokens, False, began)

    def _emit_opened(
        self,
        call: routed_calls.RoutedCall,
        reserve: int,
        chain_length: int,
        upstream: str,
        began: float,
    ) -> None:
        self.events.emit(
            event_types.TurnOpened(
                call.request,
                call.program.program,
                reserve,
                chain_length,
                upstream,
                round(self.timers.now() - began, 4),
            )
        )

    def _emit_settled(
        self,
        call: routed_calls.RoutedCall,
        tokens: int,
        kept: bool,
        began: float,
        end: str = "",
    ) -> None:
        self.events.emit(
            event_types.TurnSettled(
                call.request,
                call.program.program,
                tokens,
                kept,
                round(self.timers.now() - began, 4),
                end,
            )
        )


def _ended_turn(
    call: routed_calls.RoutedCall,
) -> program_messages.EndedTurn:
    return program_messages.EndedTurn(call.customer, call.request)


def _summary_of(
    reply: program_messages.TurnOpened,
    reported: program_messages.RunningCounts | None,
) -> shared_load.Summary | None:
    """Returns what other entries reported; None if the reply doesn't say.

    A leader of an earlier release says so even if it isn't asked.
    """
    asked = reported is not None and shared_load.asks_summary(
        reported.by_upstream
    )
    if not asked and not reply.others:
        return None
    return shared_load.summary_of(
        reply.others, reply.others_tokens, reply.slowdowns
    )
