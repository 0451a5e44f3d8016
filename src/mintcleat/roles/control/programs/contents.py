"""Contents of kept turns on their way from and to entries, in parts.

Load: many turns continue long conversations at the same time, or end with large
contents, at entries and followers that are slow or stand still.

Harm prevented: a leader that encodes a conversation for each of them exceeds
its memory, and so do the leaders after it, as the turns are sent again.

A transfer holds a few parts. They are charged before it begins, and until its
peer has taken them all; further transfers wait for room.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

from mintcleat.decisions import memory_account
from mintcleat.domain import byte_parts
from mintcleat.domain import content_messages
from mintcleat.domain import errors
from mintcleat.domain import program_messages
from mintcleat.ports import log
from mintcleat.ports import streams
from mintcleat.ports import timers
from mintcleat.programs import branches
from mintcleat.programs import checks
from mintcleat.programs import machine
from mintcleat.roles import memory_room

# Memory of a transfer to an entry: what the flow control of its exchange lets
# it send ahead, encoded, framed, and joined with other frames to be written.
_FETCH_BYTES = 8 * content_messages.MAX_PART_BYTES
# Memory of a transfer from an entry: a part in its connection and decoded, in
# its command, in the write-ahead log, and encoded and framed for each follower.
TAKE_BYTES = 12 * content_messages.MAX_PART_BYTES
# Time for which a transfer waits for room. Shorter than the time after which
# an entry takes an instance for unresponsive, which would stop small requests.
_ROOM_SECONDS = 1.0
# Time in which the peer takes the last parts, or sends the next.
_TAKE_SECONDS = 2.0
# What the replies to one batch of requests hold of contents. More is fetched.
_BATCH_BYTES = 4 * content_messages.INLINE_BYTES


class Contents:
    """Transfers of contents of the groups that this instance leads.

    Attributes:
        account: The account of the process.
    """

    def __init__(
        self,
        replicated_log: log.ReplicatedLog,
        machines: dict[str, machine.ProgramMachine],
        stream_service: streams.Streams,
        timer_service: timers.Timers,
        group_of: Callable[[str], str],
        commit: Callable[[str, list[Any]], list[Any]],
        barrier_seconds: float,
        account: memory_account.MemoryAccount,
    ) -> None:
        """Registers the stream handlers.

        Args:
            replicated_log: The log of this instance.
            machines: The state machine of each group.
            stream_service: Delivers the requests.
            timer_service: Clocks.
            group_of: Returns the group of a program.
            commit: Commits commands of a group; returns their replies.
            barrier_seconds: Time for a proof that this instance leads.
            account: The account of the process.
        """
        self.log = replicated_log
        self.machines = machines
        self.timers = timer_service
        self.group_of = group_of
        self.commit = commit
        self.barrier_seconds = barrier_seconds
        self.account = account
        stream_service.handle(content_messages.FetchChain, self._serve_chain)
        stream_service.handle(content_messages.SendContent, self._take_content)

    def _serve_chain(
        self,
        exchange: streams.Exchange,
        request: content_messages.FetchChain,
    ) -> None:
        group = self.group_of(request.program)
        self.log.barrier(group, self.barrier_seconds)
        until = self.timers.now() + _ROOM_SECONDS
        with memory_room.taken(self.account, _FETCH_BYTES, until, self.timers):
            chain = branches.chain_of(
                self.machines[group].branches.turns,
                request.customer,
                request.turn,
            )
            if chain is None:
                raise errors.UnknownTurn(
                    f"Turn {request.turn} does not exist or has expired."
                )
            for part in parts_of(chain, request.offset):
                exchange.send(content_messages.ChainPart(part))
            _await_close(exchange)

    def _take_content(
        self,
        exchange: streams.Exchange,
        request: content_messages.SendContent,
    ) -> None:
        """Has the log take a content; see `content_messages.SendContent`."""
        checks.check(request)
        group = self.group_of(request.program)
        self.log.barrier(group, self.barrier_seconds)
        until = self.timers.now() + _ROOM_SECONDS
        with memory_room.taken(self.account, TAKE_BYTES, until, self.timers):
            held = self.machines[group].branches.staged.held(
                request.customer, request.turn, request.nonce
            )
            exchange.send(content_messages.ContentHeld(held))
            while held < request.size:
                part = exchange.receive(_TAKE_SECONDS)
                held += self._stage(group, request, held, part)
                exchange.send(content_messages.ContentHeld(held))

    def _stage(
        self,
        group: str,
        request: content_messages.SendContent,
        held: int,
        part: Any,
    ) -> int:
        """Commits the next part of a content; returns its size."""
        if not isinstance(part, content_messages.ChainPart) or not part.data:
            raise errors.BadRequest("Expected a part of a turn's content.")
        command = content_messages.StageContent(
            request.program,
            request.turn,
            request.customer,
            request.nonce,
            held,
            part.data,
        )
        checks.check(command)
        (reply,) = self.commit(group, [command])
        if isinstance(reply, errors.MintcleatError):
            raise reply
        return len(part.data)


def _await_close(exchange: streams.Exchange) -> None:
    """Returns when the peer has taken all, as it then closes the exchange."""
    try:
        exchange.receive(_TAKE_SECONDS)
    except (errors.StreamClosed, errors.StreamTimeout):
        return


def parts_of(
    chain: Sequence[program_messages.KeptTurn], offset: int
) -> Iterator[bytes]:
    """Yields the content of a chain from a byte on; copies a part at a time."""
    contents = (
        content for kept in chain for content in (kept.input, kept.output)
    )
    return byte_parts.pieces(contents, offset, content_messages.MAX_PART_BYTES)


class Inlined:
    """Contents in the replies to one batch of requests.

    They are charged before the replies are encoded, and wait for no room: a
    small turn would wait behind transfers of large ones.

    Attributes:
        size: Bytes that are charged.
    """

    def __init__(self, account: memory_account.MemoryAccount) -> None:
        self.account = account
        self.size = 0

    def outlined(
        self, reply: program_messages.TurnOpened
    ) -> program_messages.TurnOpened:
        """Returns a reply with the chain's content, or its outline."""
        size = sum(map(branches.size_of, reply.chain))
        fits = (
            size <= content_messages.INLINE_BYTES
            and self.size + size <= _BATCH_BYTES
        )
        if fits:
            self.size += size
            self.account.charge(size)
            return reply
        outline = [
            content_messages.ChainTurn(
                kept.turn,
                kept.previous,
                len(kept.input),
                len(kept.output),
                kept.upstream,
            )
            for kept in reply.chain
        ]
        return reply._replace(chain=[], outline=outline)

    def release(self) -> None:
        """Takes the bytes off the account; the replies are sent."""
        self.account.charge(-self.size)
        self.size = 0
