"""Programs whose turns go on from a named turn: a tree, not a line.

Such a program is opened by its first turn. Its turns are opaque: what went in
and what came out, repeated before the input of each turn that goes on from
them. Sub-agents and several continuations of one turn share the chain before
them. Budgets count tokens that were handed out; a turn holds the most it can
hand out from before it runs until it is settled, so that a crash between the
two can only leave too much held, never too little.

Programs and turns belong to a customer. Callers choose their ids, so two
customers may choose the same one, and one may name a turn that it has only
heard of: each sees its own alone, and another's turn is like one that never
was.
"""

import collections
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import limits

# A caller's own time ends later than the last command of the group by the way
# of an answer, and a new leader's clock goes on from the last command.
RETENTION_SLACK = 15.0
# Turns that were settled and whose opening may still be on its way. Both are
# sent within the deadline of one request; a program has few in that time.
SETTLED_KEPT = 64
# Place in the state of what releases without limits do not write.
_LIMITS = 3
# Turns and programs that one sweep drops, so that it holds the loop briefly.
MAX_DROPS = 2000
# Between two sweeps; memory that is due for so long is of no account.
SWEEP_SECONDS = 10.0


class ScopedId(NamedTuple):
    """A program or a turn, under the customer that chose its id."""

    customer: str
    name: str


class Account:
    """One program's tokens.

    Attributes:
        budget: Tokens that may be handed out; 0 for no limit.
        spent: Tokens of settled turns.
        held: Most tokens of each turn under way.
        settled: Turns settled lately, oldest first.
        upstream: Where the program ran last.
        expires: Clock at which the account may go.
    """

    def __init__(self) -> None:
        self.budget = 0
        self.spent = 0
        self.held: dict[str, int] = {}
        self.settled: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.upstream = ""
        self.expires = 0.0

    def settle(self, turn: str, tokens: int) -> None:
        """Replaces what a turn holds by what it used; once."""
        self.held.pop(turn, None)
        if turn in self.settled:
            return
        self.spent += tokens
        self.settled[turn] = None
        while len(self.settled) > SETTLED_KEPT:
            self.settled.popitem(last=False)


class Branches:
    """Accounts and kept turns of one group.

    Attributes:
        accounts: By program, the longest untouched first. They are kept for
            about as long each, so they leave in about this order.
        turns: Kept turns. A program may go on from a turn of another one of
            its customer.
        expires: Clock at which each kept turn may go, the first one first.
        swept: Clock of the last sweep.
        limits: What customers have sent lately.
    """

    def __init__(self) -> None:
        self.limits = limits.CustomerLimits()
        self.accounts: collections.OrderedDict[ScopedId, Account] = (
            collections.OrderedDict()
        )
        self.turns: dict[ScopedId, program_messages.KeptTurn] = {}
        self.expires: collections.OrderedDict[ScopedId, float] = (
            collections.OrderedDict()
        )
        self.swept = 0.0

    def open(self, request: program_messages.OpenTurn, clock: float) -> Any:
        """Reserves the tokens of a turn, and returns what it goes on from."""
        chain = chain_of(self.turns, request.customer, request.previous)
        if chain is None:
            return errors.UnknownTurn(f"No turn {request.previous}.")
        account = self._account(request, clock)
        account.budget = request.budget
        if request.turn in account.settled:
            # Its sender gave it up before this copy arrived.
            return errors.Superseded(f"Turn {request.turn} was given up.")
        counted, ahead = -1.0, 0
        if request.turn not in account.held:
            left = account.budget - account.spent - sum(account.held.values())
            if account.budget and request.reserve > left:
                return errors.BudgetExhausted(
                    f"The turn may need {request.reserve} tokens and "
                    f"{max(left, 0)} are left."
                )
            over = self.limits.admit(
                request.customer, request.program, request.limit, clock
            )
            if over is not None:
                return over
            account.held[request.turn] = request.reserve
            if request.limit is not None:
                counted = clock
            ahead = self.limits.count_ahead(
                request.customer, request.ahead, request.limit, clock
            )
        upstream = chain[-1].upstream if chain else account.upstream
        content = [] if request.holds_chain else chain
        return program_messages.TurnOpened(
            content, upstream, counted=counted, ahead=ahead
        )

    def count(self, request: program_messages.CountCall, clock: float) -> Any:
        """Counts a request that opens no turn, or refuses it."""
        over = self.limits.admit(
            request.customer, request.program, request.limit, clock
        )
        if over is not None:
            return over
        ahead = self.limits.count_ahead(
            request.customer, request.ahead, request.limit, clock
        )
        return program_messages.CallCounted(ahead)

    def close(self, request: program_messages.CloseTurn, clock: float) -> Any:
        """Settles a turn, and keeps it where it ended whole."""
        account = self._account(request, clock)
        if request.counted >= 0 and request.turn in account.held:
            self.limits.refund(request.customer, request.counted)
        account.settle(request.turn, request.tokens)
        account.upstream = request.upstream or account.upstream
        if not request.keep:
            return identities.Done()
        if chain_of(self.turns, request.customer, request.previous) is None:
            return errors.UnknownTurn(f"No turn {request.previous}.")
        key = ScopedId(request.customer, request.turn)
        self.turns[key] = program_messages.KeptTurn(
            request.turn,
            request.previous,
            request.input,
            request.output,
            request.upstream,
            request.customer,
        )
        self._keep_chain(request, clock)
        return identities.Done()

    def is_due(self, clock: float) -> bool:
        """Tells whether a sweep at `clock` would drop anything."""
        if clock - self.swept < SWEEP_SECONDS:
            return False
        turn = next(iter(self.expires.values()), clock)
        account = next(iter(self.accounts.values()), None)
        return turn < clock or (account is not None and account.expires < clock)

    def sweep(self, clock: float) -> None:
        """Drops turns and accounts whose retention is over."""
        self.swept = clock
        for _ in range(MAX_DROPS):
            name = next(iter(self.expires), None)
            if name is None or self.expires[name] >= clock:
                break
            del self.expires[name]
            del self.turns[name]
        for _ in range(MAX_DROPS):
            name = next(iter(self.accounts), None)
            if name is None or self.accounts[name].expires >= clock:
                break
            del self.accounts[name]

    def state(self) -> list[Any]:
        """Returns everything as plain data."""
        return [
            self.swept,
            [
                [
                    key.name,
                    account.budget,
                    account.spent,
                    account.held,
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
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.__init__()
        self.swept = state[0]
        for (
            name,
            budget,
            spent,
            held,
            settled,
            upstream,
            expires,
            *owner,
        ) in state[1]:
            # Releases without customers end before the owner.
            key = ScopedId(owner[0] if owner else "", name)
            account = self.accounts[key] = Account()
            account.budget, account.spent, account.held = budget, spent, held
            account.settled.update(dict.fromkeys(settled))
            account.upstream, account.expires = upstream, expires
        for until, *fields in state[2]:
            kept = program_messages.KeptTurn(*fields)
            turn = ScopedId(kept.customer, kept.turn)
            self.turns[turn] = kept
            self.expires[turn] = until
        if len(state) > _LIMITS:
            self.limits.load(state[_LIMITS])

    def _keep_chain(
        self, request: program_messages.CloseTurn, clock: float
    ) -> None:
        until = clock + request.retention + RETENTION_SLACK
        turn = request.turn
        while turn:
            key = ScopedId(request.customer, turn)
            if self.expires.get(key, 0.0) < until:
                self.expires[key] = until
                self.expires.move_to_end(key)
            turn = self.turns[key].previous

    def _account(
        self,
        request: program_messages.OpenTurn | program_messages.CloseTurn,
        clock: float,
    ) -> Account:
        """Returns the account of a turn's program; keeps it from now on."""
        key = ScopedId(request.customer, request.program)
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = Account()
        until = clock + request.retention + RETENTION_SLACK
        account.expires = max(account.expires, until)
        self.accounts.move_to_end(key)
        return account


def chain_of(
    turns: Mapping[ScopedId, program_messages.KeptTurn],
    customer: str,
    turn: str,
) -> list[program_messages.KeptTurn] | None:
    """Returns a customer's turn and all before it; None if one lacks.

    A chain is kept as a whole: each turn that ends renews all before it.

    Returns:
        The oldest turn first; nothing for no turn.
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
