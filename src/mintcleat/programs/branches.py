"""Programs whose turns form a tree: a turn may continue any earlier turn.

Such a program is created by its first turn. The input and the output of a turn
are opaque bytes. They are handed out with each turn that continues them, so
sub-agents and alternative continuations of one turn share the turns before it.

Budgets count the tokens that were delivered to callers. An open turn reserves
the most tokens that it can deliver, from before it runs until it is settled. A
crash in between can thus leave too many tokens reserved, but never too few.

Programs and turns belong to a customer. Callers choose their ids, so two
customers may choose the same one, and a customer may name a turn id that it
has only heard of. Each customer sees its own programs and turns alone; those
of others are reported as unknown.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import math
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import expiry
from mintcleat.programs import limits
from mintcleat.programs import staged_contents

# Added to the retention that an entry asks for: a caller counts it from the
# arrival of the answer, and a new leader's clock starts at the last command.
RETENTION_SLACK_SECONDS = 15.0
# Settled turns that an account remembers, in case the OpenTurn arrives after
# the CloseTurn. Both are sent within the deadline of one request, and a program
# has few turns in that time.
MAX_SETTLED_TURNS = 64
# Index of the finished turns in `Branches.state`.
TURNS_INDEX = 2
# Index of the limits there, and of the counted requests; earlier releases end
# before them.
_LIMITS_INDEX = 3
_COUNTED_INDEX = 4
_STAGED_INDEX = 5
# Time for which a counted request is remembered, in case its message comes
# again. Its sender gives up much earlier.
COUNTED_SECONDS = 10.0
# Turns and accounts that one sweep deletes, so as not to stall the event loop.
MAX_DELETIONS = 2000
# The memory of what expires between two sweeps is negligible.
SWEEP_INTERVAL_SECONDS = 10.0
# Memory of an account beside its names, and of a turn id that it remembers.
ACCOUNT_BYTES = 768
TURN_ID_BYTES = 96
# Memory of a finished turn beside its content and its names.
KEPT_TURN_BYTES = 480


def size_of(kept: program_messages.KeptTurn) -> int:
    """Returns the bytes of a kept turn's input and output."""
    return len(kept.input) + len(kept.output)


def record_size(kept: program_messages.KeptTurn) -> int:
    """Returns the bytes that a kept turn takes beside its content."""
    names = (kept.turn, kept.previous, kept.customer, kept.upstream)
    return KEPT_TURN_BYTES + sum(len(name) for name in names)


class ScopedId(NamedTuple):
    """Id of a program or a turn, unique together with its customer."""

    customer: str
    name: str


class Account:
    """Token account of one program.

    Attributes:
        budget: Tokens that may be delivered in total; 0 for no limit.
        spent: Tokens delivered by settled turns.
        reserved: Tokens reserved by each open turn, by turn id.
        settled: Ids of recently settled turns, the oldest first.
        upstream: Upstream that ran the program's last turn; empty for none.
        expires: Group clock after which the account may be deleted.
        size: Bytes of memory that it takes, by estimate.
    """

    __slots__ = (
        "budget", "expires", "reserved", "settled", "size", "spent", "upstream"
    )  # fmt: skip

    def __init__(self, key: ScopedId) -> None:
        self.budget = 0
        self.spent = 0
        self.reserved: dict[str, int] = {}
        self.settled: dict[str, None] = {}
        self.upstream = ""
        self.expires = 0.0
        self.size = ACCOUNT_BYTES + len(key.customer) + len(key.name)

    def reserve(self, turn: str, tokens: int) -> None:
        """Reserves tokens for a turn."""
        if turn not in self.reserved:
            self.size += _turn_id_size(turn)
        self.reserved[turn] = tokens

    def settle(self, turn: str, tokens: int) -> None:
        """Replaces a turn's reservation by the tokens it delivered.

        Settling a turn again has no effect.
        """
        if self.reserved.pop(turn, None) is not None:
            self.size -= _turn_id_size(turn)
        if turn in self.settled:
            return
        self.spent += tokens
        self.remember(turn)
        while len(self.settled) > MAX_SETTLED_TURNS:
            oldest = next(iter(self.settled))
            del self.settled[oldest]
            self.size -= _turn_id_size(oldest)

    def remember(self, turn: str) -> None:
        """Adds a settled turn."""
        self.settled[turn] = None
        self.size += _turn_id_size(turn)


def _content(kept: program_messages.KeptTurn) -> tuple[str, bytes, bytes]:
    """Returns what continuations of a turn get of it."""
    return kept.previous, kept.input, kept.output


def _turn_id_size(turn: str) -> int:
    """Returns the bytes that an account takes for a turn's id."""
    return TURN_ID_BYTES + len(turn)


class Branches:
    """Accounts and finished turns of one group.

    Attributes:
        limits: Requests that customers have sent recently.
        counted: Group clock and `ahead` of each request that was counted
            within `COUNTED_SECONDS`, by its id, the oldest first.
        accounts: Accounts by program, the least recently used first.
        account_bytes: Size of the accounts.
        turns: Finished turns by id. A program may continue a turn of another
            program of its customer.
        expires: Group clock after which each finished turn may be deleted, the
            least recently renewed first.
        kept_bytes: Size of the inputs and outputs of the finished turns.
        turn_record_bytes: Size of the finished turns beside these.
        last_sweep: Group clock of the last sweep.
        turn_expiry: The finished turns by expiry.
        account_expiry: The accounts by expiry.
        staged: Contents of turns that are about to be closed.
    """

    def __init__(self) -> None:
        self.staged = staged_contents.StagedContents()
        self.limits = limits.CustomerLimits()
        self.counted: collections.OrderedDict[int, tuple[float, int]] = (
            collections.OrderedDict()
        )
        self.accounts: collections.OrderedDict[ScopedId, Account] = (
            collections.OrderedDict()
        )
        self.account_bytes = 0
        self.turns: dict[ScopedId, program_messages.KeptTurn] = {}
        self.expires: collections.OrderedDict[ScopedId, float] = (
            collections.OrderedDict()
        )
        self.kept_bytes = 0
        self.turn_record_bytes = 0
        self.last_sweep = 0.0
        self.turn_expiry: expiry.ExpiryIndex[ScopedId] = expiry.ExpiryIndex()
        self.account_expiry: expiry.ExpiryIndex[ScopedId] = expiry.ExpiryIndex()

    def open(self, request: program_messages.OpenTurn, clock: float) -> Any:
        """Opens a turn: reserves its tokens and counts its request.

        Opening an open turn again has no effect.

        Returns:
            A TurnOpened with the turns that this one continues, or the error
            that refuses it.
        """
        chain = chain_of(self.turns, request.customer, request.previous)
        if chain is None:
            return errors.UnknownTurn(
                f"Turn {request.previous} does not exist or has expired."
            )
        key = ScopedId(request.customer, request.program)
        is_known = key in self.accounts
        account = self._account(request, clock)
        account.budget = request.budget
        counted_at, ahead = -1.0, 0
        if request.turn not in account.reserved:
            refusal = self._refusal(account, request, clock)
            if refusal is not None:
                if not is_known:
                    self._delete_account(key)
                return refusal
            self._reserve(account, request)
            if request.limit is not None:
                counted_at = clock
            ahead = self.limits.count_ahead(
                request.customer, request.ahead, request.limit, clock
            )
        # The end of the turn needs the turns before it.
        self._renew_chain(request, request.previous, clock)
        upstream = chain[-1].upstream if chain else account.upstream
        content = [] if request.has_chain else chain
        return program_messages.TurnOpened(
            content, upstream, counted_at=counted_at, ahead=ahead
        )

    def _refusal(
        self,
        account: Account,
        request: program_messages.OpenTurn,
        clock: float,
    ) -> errors.MintcleatError | None:
        """Counts the request of a turn, or returns the error refusing it."""
        if request.turn in account.settled:
            # Its sender has already settled it; this message is a late copy.
            return errors.Superseded(
                f"Turn {request.turn} is already settled; use a new turn id."
            )
        tokens_left = (
            account.budget - account.spent - sum(account.reserved.values())
        )
        if account.budget and request.reserve > tokens_left:
            return errors.BudgetExhausted(
                f"The turn reserves {request.reserve} tokens, but only "
                f"{max(tokens_left, 0)} of the budget are left."
            )
        return self.limits.admit(
            request.customer, request.program, request.limit, clock
        )

    def count(self, request: program_messages.CountCall, clock: float) -> Any:
        """Counts requests that open no turn against their customer's limit.

        A copy of a message, whose reply was lost, counts nothing.

        Returns:
            A CallCounted, or the error that refuses all of the requests.
        """
        self._forget_counted(clock)
        refused = None
        ids = request.ids or [0] * request.calls
        before = self.counted.get(ids[0])
        for counted, call in enumerate(ids):
            if call in self.counted:
                continue
            refusal = self.limits.admit(
                request.customer, request.program, request.limit, clock
            )
            if refusal is None:
                if call:
                    self.counted[call] = (clock, 0)
                continue
            if not counted:
                return refusal
            refused = program_messages.RefusedCalls(
                request.calls - counted, refusal.failure()
            )
            break
        if before is not None:
            return program_messages.CallCounted(before[1], refused)
        ahead = self.limits.count_ahead(
            request.customer, request.ahead, request.limit, clock
        )
        if ids[0]:
            self.counted[ids[0]] = (clock, ahead)
        return program_messages.CallCounted(ahead, refused)

    def _forget_counted(self, clock: float) -> None:
        while self.counted:
            call, (at, _) = next(iter(self.counted.items()))
            if clock - at < COUNTED_SECONDS:
                return
            del self.counted[call]

    def close(self, request: program_messages.CloseTurn, clock: float) -> Any:
        """Settles a turn, and keeps it to be continued if `keep` is set.

        Returns:
            A Done, UnknownTurn if the turn before it is not kept any more, or
            Superseded if another turn of its id is kept, or another content was
            staged for it: callers may use one id at two entries.
        """
        account = self._account(request, clock)
        if request.counted_at >= 0 and request.turn in account.reserved:
            self.limits.refund(request.customer, request.counted_at)
        size = account.size
        account.settle(request.turn, request.tokens)
        self.account_bytes += account.size - size
        account.upstream = request.upstream or account.upstream
        if not request.keep:
            self.staged.drop(request.customer, request.turn)
            return identities.Done()
        if chain_of(self.turns, request.customer, request.previous) is None:
            return errors.UnknownTurn(
                f"Turn {request.previous} does not exist or has expired."
            )
        key = ScopedId(request.customer, request.turn)
        content = self._content(request)
        if content is None:
            staged = request.staged
            if key in self.turns and self.staged.is_closed(
                request.customer, request.turn, staged.nonce
            ):
                # A copy of a message whose turn is kept already.
                self._renew_chain(request, request.turn, clock)
                return identities.Done()
            return errors.Superseded(
                f"The content of turn {request.turn} has expired, or another "
                "one was begun."
            )
        kept = program_messages.KeptTurn(
            request.turn,
            request.previous,
            *content,
            request.upstream,
            request.customer,
        )
        before = self.turns.get(key)
        # Entries that have the former content would go on to use it.
        if before is not None and _content(before) != _content(kept):
            return errors.Superseded(
                f"Turn {request.turn} is kept with another content already; "
                "use a new turn id."
            )
        self._keep(key, kept)
        self.staged.close(request.customer, request.turn)
        self._renew_chain(request, request.turn, clock)
        return identities.Done()

    def _content(
        self, request: program_messages.CloseTurn
    ) -> tuple[bytes, bytes] | None:
        """Returns input and output of a turn; None if they aren't there."""
        if request.staged is None:
            return request.input, request.output
        return self.staged.content(
            request.customer, request.turn, request.staged
        )

    def is_due(self, clock: float) -> bool:
        """Returns whether a sweep at `clock` would delete anything."""
        if clock - self.last_sweep < SWEEP_INTERVAL_SECONDS:
            return False
        return self.turn_expiry.has_expired(
            clock
        ) or self.account_expiry.has_expired(clock)

    def sweep(self, clock: float) -> None:
        """Deletes expired turns and accounts, MAX_DELETIONS of each at most."""
        self.last_sweep = clock
        for turn in self.turn_expiry.expired(clock, MAX_DELETIONS):
            self.turn_expiry.remove(turn, self.expires.pop(turn))
            self._drop(self.turns.pop(turn))
        for program in self.account_expiry.expired(clock, MAX_DELETIONS):
            self._delete_account(program)
        self.staged.expire(clock)

    def state(self) -> list[Any]:
        """Returns the state as a list that msgpack can encode."""
        counted = [[call, *item] for call, item in self.counted.items()]
        staged = self.staged.state()
        return [
            self.last_sweep,
            [
                [
                    key.name,
                    account.budget,
                    account.spent,
                    account.reserved,
                    list(account.settled),
                    account.upstream,
                    account.expires,
                    key.customer,
                ]
                for key, account in self.accounts.items()
            ],
            [
                [until, *self.turns[turn]]
                for turn, until in self.expires.items()
            ],
            self.limits.state(),
            # Earlier releases wrote nothing here.
            *([counted] if counted or staged else ()),
            *([staged] if staged else ()),
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state by one that `state` returned."""
        self.__init__()
        self.last_sweep = state[0]
        for (
            name,
            budget,
            spent,
            reserved,
            settled,
            upstream,
            expires,
            *owner,
        ) in state[1]:
            # Accounts of releases without customers have no such field.
            key = ScopedId(owner[0] if owner else "", name)
            account = self.accounts[key] = Account(key)
            account.budget, account.spent = budget, spent
            for turn, tokens in reserved.items():
                account.reserve(turn, tokens)
            for turn in settled:
                account.remember(turn)
            account.upstream, account.expires = upstream, expires
            self.account_bytes += account.size
            self.account_expiry.add(key, expires)
        for until, *fields in state[2]:
            kept = program_messages.KeptTurn(*fields)
            turn = ScopedId(kept.customer, kept.turn)
            self._keep(turn, kept)
            self.expires[turn] = until
            self.turn_expiry.add(turn, until)
        if len(state) > _LIMITS_INDEX:
            self.limits.load(state[_LIMITS_INDEX])
        if len(state) > _COUNTED_INDEX:
            for call, at, ahead in state[_COUNTED_INDEX]:
                self.counted[call] = (at, ahead)
        if len(state) > _STAGED_INDEX:
            self.staged.load(state[_STAGED_INDEX])

    def record_bytes(self) -> int:
        """Returns the size of all accounts and turns without content."""
        return self.account_bytes + self.turn_record_bytes

    def first_expiry(self) -> float:
        """Returns when the first account or turn expires.

        It is infinite without any.
        """
        accounts = self.account_expiry.in_order()
        turns = self.turn_expiry.in_order()
        _, account = next(accounts, (None, math.inf))
        _, turn = next(turns, (None, math.inf))
        return min(account, turn)

    def sizes_by_expiry(self) -> Iterator[tuple[float, int]]:
        """Yields the expiry and the size of each finished turn, in order."""
        for turn, expires in self.turn_expiry.in_order():
            yield expires, size_of(self.turns[turn])

    def _delete_account(self, key: ScopedId) -> None:
        account = self.accounts.pop(key)
        self.account_bytes -= account.size
        self.account_expiry.remove(key, account.expires)

    def _reserve(
        self, account: Account, request: program_messages.OpenTurn
    ) -> None:
        before = account.size
        account.reserve(request.turn, request.reserve)
        self.account_bytes += account.size - before

    def _keep(self, key: ScopedId, kept: program_messages.KeptTurn) -> None:
        replaced = self.turns.get(key)
        if replaced is not None:
            self._drop(replaced)
        self.turns[key] = kept
        self.kept_bytes += size_of(kept)
        self.turn_record_bytes += record_size(kept)

    def _drop(self, kept: program_messages.KeptTurn) -> None:
        """Subtracts a turn that is not kept any more."""
        self.kept_bytes -= size_of(kept)
        self.turn_record_bytes -= record_size(kept)

    def _renew_chain(
        self,
        request: program_messages.OpenTurn | program_messages.CloseTurn,
        turn: str,
        clock: float,
    ) -> None:
        """Extends the retention of a turn and of all turns before it.

        Args:
            request: What uses them.
            turn: The turn; empty for none.
            clock: Group clock.
        """
        until = clock + request.retention + RETENTION_SLACK_SECONDS
        while turn:
            key = ScopedId(request.customer, turn)
            before = self.expires.get(key)
            if before is None:
                self.turn_expiry.add(key, until)
            elif before < until:
                self.turn_expiry.move(key, before, until)
            if before is None or before < until:
                self.expires[key] = until
                self.expires.move_to_end(key)
            turn = self.turns[key].previous

    def _account(
        self,
        request: program_messages.OpenTurn | program_messages.CloseTurn,
        clock: float,
    ) -> Account:
        """Returns a program's account, created if missing, and renews it."""
        key = ScopedId(request.customer, request.program)
        account = self.accounts.get(key)
        until = clock + request.retention + RETENTION_SLACK_SECONDS
        if account is None:
            account = self.accounts[key] = Account(key)
            self.account_bytes += account.size
            account.expires = until
            self.account_expiry.add(key, until)
        elif until > account.expires:
            self.account_expiry.move(key, account.expires, until)
            account.expires = until
        self.accounts.move_to_end(key)
        return account


def chain_of(
    turns: Mapping[ScopedId, program_messages.KeptTurn],
    customer: str,
    turn: str,
) -> list[program_messages.KeptTurn] | None:
    """Returns a turn of a customer and all turns before it.

    Each finished turn extends the retention of all turns before it, so a
    chain is either complete or has expired.

    Returns:
        The turns, the oldest first; an empty list if `turn` is empty; None if
        the turn or one before it does not exist.
    """
    found = []
    while turn:
        kept = turns.get(ScopedId(customer, turn))
        if kept is None:
            return None
        found.append(kept)
        turn = kept.previous
    found.reverse()
    return found
