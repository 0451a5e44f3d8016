"""Contents of conversations on their way from and to leaders, in parts.

Turns of one entry that lack the same conversation share one fetch, and its
memory is charged before the first part is asked for.
"""

from collections.abc import Callable
from collections.abc import Sequence
import secrets
from typing import Any

import eventlet
from eventlet import semaphore

from mintcleat.decisions import control_outage
from mintcleat.domain import byte_parts
from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.ports import control as control_ports
from mintcleat.ports import streams
from mintcleat.ports import timers as timer_ports
from mintcleat.programs import branches
from mintcleat.roles import memory_room
from mintcleat.roles.entry import conversations

# Time for the next part of a content.
_PART_SECONDS = 2.0
# Transfers at the same time. Each holds a few parts besides what is charged,
# and more would only make each slower.
MAX_TRANSFERS = 4
# Time for a content to be in the log, also if its leader is lost meanwhile. The
# turn has run, so that it waits for room rather than being given up.
SEND_SECONDS = 4.0
# Least time for a fetch: some round trips.
_MIN_FETCH_SECONDS = 0.2


class ContentClient:
    """Completes conversations, and sends what ended turns add to them.

    Attributes:
        held: The turns that are held.
        fetching: The first turn of each fetch in progress, with what its
            followers wait for.
        fetches: Bounds the fetches at the same time.
        sends: The same for contents of ended turns.
    """

    def __init__(
        self,
        control: control_ports.Control,
        timers: timer_ports.Timers,
        held: conversations.Conversations,
    ) -> None:
        self.control = control
        self.timers = timers
        self.held = held
        self.fetching: dict[branches.ScopedId, eventlet.event.Event] = {}
        self.fetches = semaphore.Semaphore(MAX_TRANSFERS)
        self.sends = semaphore.Semaphore(MAX_TRANSFERS)

    def complete(
        self,
        call: routed_calls.RoutedCall,
        outline: Sequence[content_messages.ChainTurn],
        until: float,
    ) -> list[conversations.HeldTurn]:
        """Returns the turns that a call continues, with their content.

        Args:
            call: The call.
            outline: The turns, oldest first.
            until: Time at which it gives up, in seconds.

        Raises:
            errors.Overloaded: There was no room, here or at the leader.
            errors.ControlUnavailable: No leader sent them in time.
        """
        previous = call.program.previous
        while True:
            # Held here, so that what is there isn't dropped meanwhile.
            there = [
                self.held.turns.get(branches.ScopedId(call.customer, one.turn))
                for one in outline
            ]
            if None not in there:
                self.held.chain(call.customer, previous, self.timers.now())
                return there
            start = there.index(None)
            first = branches.ScopedId(call.customer, outline[start].turn)
            pending = self.fetching.get(first)
            if pending is None:
                return self._fetch(call, outline, start, until)
            if self.timers.now() >= until:
                raise _late()
            pending.wait(max(0.0, until - self.timers.now()))

    def _fetch(
        self,
        call: routed_calls.RoutedCall,
        outline: Sequence[content_messages.ChainTurn],
        start: int,
        until: float,
    ) -> list[conversations.HeldTurn]:
        """Fetches the turns from one on; see `complete`."""
        first = branches.ScopedId(call.customer, outline[start].turn)
        done = self.fetching[first] = eventlet.event.Event()
        missing = outline[start:]
        size = sum(
            conversations.held_size(
                one.turn, one.previous, one.input_bytes + one.output_bytes
            )
            for one in missing
        )
        account = self.held.account
        uncharged = 0
        try:
            memory_room.take(
                account, size, until, self.timers, self.held.make_room
            )
            uncharged = size
            offset = sum(
                one.input_bytes + one.output_bytes for one in outline[:start]
            )
            parts = self._receive(call, offset, _content(missing), until)
            found: list[conversations.HeldTurn] = []
            pieces = byte_parts.split(
                parts, [_content([one]) for one in missing]
            )
            for one, content in zip(missing, pieces, strict=True):
                held = self._add(call.customer, one, content)
                uncharged -= held.size
                found.append(held)
            before = self.held.chain(
                call.customer, outline[start].previous, self.timers.now()
            )
            if before is None:
                # Another turn is in use under an id of the chain.
                raise _late()
            return before + found
        finally:
            account.charge(-uncharged)
            del self.fetching[first]
            done.send()

    def _add(
        self,
        customer: str,
        turn: content_messages.ChainTurn,
        parts: tuple[bytes, ...],
    ) -> conversations.HeldTurn:
        names = program_messages.KeptTurn(
            turn.turn, turn.previous, b"", b"", turn.upstream, customer
        )
        return self.held.add(names, parts, self.timers.now())

    def _receive(
        self,
        call: routed_calls.RoutedCall,
        offset: int,
        size: int,
        until: float,
    ) -> list[bytes]:
        """Returns so many bytes of the content of a call's chain, in parts."""
        parts: list[bytes] = []
        received = 0

        def begin() -> content_messages.FetchChain:
            return content_messages.FetchChain(
                call.program.program,
                call.program.previous,
                call.customer,
                offset + received,
            )

        def use(exchange: streams.Exchange) -> None:
            nonlocal received
            while received < size:
                part = exchange.receive(_PART_SECONDS)
                parts.append(part.data)
                received += len(part.data)

        try:
            with self.fetches:
                until = max(until, self.timers.now() + _MIN_FETCH_SECONDS)
                self._converse(call.program.program, begin, use, until)
        except (errors.ControlUnavailable, errors.UnknownTurn) as error:
            # The turn was there when this one was opened.
            raise errors.ControlUnavailable(
                error.detail, retry_after=control_outage.RETRY_SECONDS
            ) from None
        return parts

    def send(
        self, call: routed_calls.RoutedCall, output: bytes
    ) -> content_messages.StagedContent:
        """Has the log take the content of a turn that has run.

        Args:
            call: The turn's call, with its input.
            output: The turn's output.

        Raises:
            errors.MintcleatError: The log doesn't have all of it in time.
        """
        content = (call.body, output)
        staged = content_messages.StagedContent(
            secrets.randbits(62) + 1, len(call.body), len(output)
        )
        size = len(call.body) + len(output)
        request = content_messages.SendContent(
            call.program.program, call.request, call.customer, staged.nonce,
            size,
        )  # fmt: skip

        def use(exchange: streams.Exchange) -> None:
            while (held := exchange.receive(_PART_SECONDS).offset) < size:
                part = next(
                    byte_parts.pieces(
                        content, held, content_messages.MAX_PART_BYTES
                    )
                )
                exchange.send(content_messages.ChainPart(part))

        with self.sends:
            until = self.timers.now() + SEND_SECONDS
            self._converse(request.program, lambda: request, use, until)
        return staged

    def _converse(
        self,
        program: str,
        begin: Callable[[], Any],
        use: Callable[[streams.Exchange], None],
        until: float,
    ) -> None:
        """Uses an exchange with a leader, also if it has no room at first."""
        while True:
            left = until - self.timers.now()
            try:
                self.control.converse(program, begin, use, left)
            except errors.Overloaded as error:
                if left <= error.retry_after:
                    raise
                self.timers.sleep(error.retry_after)
            else:
                return


def _content(turns: Sequence[content_messages.ChainTurn]) -> int:
    return sum(one.input_bytes + one.output_bytes for one in turns)


def _late() -> errors.ControlUnavailable:
    return errors.ControlUnavailable(
        "The conversation did not arrive in time.",
        retry_after=control_outage.RETRY_SECONDS,
    )
