"""Programs whose turns go on from a named turn: a tree, not a line.

Such a program is opened by its first turn. Its turns are opaque: what went in
and what came out, repeated before the input of each turn that goes on from
them. Sub-agents and several continuations of one turn share the chain before
them. Budgets count tokens that were handed out; a turn holds the most it can
hand out from before it runs until it is settled, so that a crash between the
two can only leave too much held, never too little.
"""

import collections
from collections.abc import Mapping
from typing import Any

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages

# A caller's own time ends later than the last command of the group by the way
# of an answer, and a new leader's clock goes on from the last command.
RETENTION_SLACK = 15.0
# Turns that were settled and whose opening may still be on its way. Both are
# sent within the deadline of one request; a program has few in that time.
SETTLED_KEPT = 64
# Turns and programs that one sweep drops, so that it holds the loop briefly.
MAX_DROPS = 2000
# Between two sweeps; memory that is due for so long is of no account.
SWEEP_SECONDS = 10.0


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
        turns: Kept turns by id. Their ids are unique, and a program may go
            on from a turn of another one.
        expires: Clock at which each kept turn may go, the first one first.
        swept: Clock of the last sweep.
    """

    def __init__(self) -> None:
        self.accounts: collections.OrderedDict[str, Account] = (
            collections.OrderedDict()
        )
        self.turns: dict[str, program_messages.KeptTurn] = {}
        self.expires: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.swept = 0.0

    def open(self, request: program_messages.OpenTurn, clock: float) -> Any:
        """Reserves the tokens of a turn, and returns what it goes on from."""
        chain = chain_of(self.turns, request.previous)
        if chain is None:
            return errors.UnknownTurn(f"No turn {request.previous}.")
        account = self._account(request.program, request.retention, clock)
        account.budget = request.budget
        if request.turn in account.settled:
            # Its sender gave it up before this copy arrived.
            return errors.Superseded(f"Turn {request.turn} was given up.")
        if request.turn not in account.held:
            left = account.budget - account.spent - sum(account.held.values())
            if account.budget and request.reserve > left:
                return errors.BudgetExhausted(
                    f"The turn may need {request.reserve} tokens and "
                    f"{max(left, 0)} are left."
                )
            account.held[request.turn] = request.reserve
        upstream = chain[-1].upstream if chain else account.upstream
        content = [] if request.holds_chain else chain
        return program_messages.TurnOpened(content, upstream)

    def close(self, request: program_messages.CloseTurn, clock: float) -> Any:
        """Settles a turn, and keeps it where it ended whole."""
        account = self._account(request.program, request.retention, clock)
        account.settle(request.turn, request.tokens)
        account.upstream = request.upstream or account.upstream
        if not request.keep:
            return identities.Done()
        if chain_of(self.turns, request.previous) is None:
            return errors.UnknownTurn(f"No turn {request.previous}.")
        self.turns[request.turn] = program_messages.KeptTurn(
            request.turn,
            request.previous,
            request.input,
            request.output,
            request.upstream,
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
                    name,
                    account.budget,
                    account.spent,
                    account.held,
                    list(account.settled),
                    account.upstream,
                    account.expires,
                ]
                for name, account in self.accounts.items()
            ],
            [
                [until, *self.turns[turn]]
                for turn, until in self.expires.items()
            ],
        ]

    def load(self, state: list[Any]) -> None:
        """Takes what `state` returned."""
        self.__init__()
        self.swept = state[0]
        for name, budget, spent, held, settled, upstream, expires in state[1]:
            account = self.accounts[name] = Account()
            account.budget, account.spent, account.held = budget, spent, held
            account.settled.update(dict.fromkeys(settled))
            account.upstream, account.expires = upstream, expires
        for until, *fields in state[2]:
            kept = program_messages.KeptTurn(*fields)
            self.turns[kept.turn] = kept
            self.expires[kept.turn] = until

    def _keep_chain(
        self, request: program_messages.CloseTurn, clock: float
    ) -> None:
        until = clock + request.retention + RETENTION_SLACK
        turn = request.turn
        while turn:
            if self.expires.get(turn, 0.0) < until:
                self.expires[turn] = until
                self.expires.move_to_end(turn)
            turn = self.turns[turn].previous

    def _account(self, program: str, retention: float, clock: float) -> Account:
        """Returns a program's account and keeps it from now on."""
        account = self.accounts.get(program)
        if account is None:
            account = self.accounts[program] = Account()
        until = clock + retention + RETENTION_SLACK
        account.expires = max(account.expires, until)
        self.accounts.move_to_end(program)
        return account


def chain_of(
    turns: Mapping[str, program_messages.KeptTurn], turn: str
) -> list[program_messages.KeptTurn] | None:
    """Returns a turn and all before it, oldest first; None if one lacks.

    A chain is kept as a whole: each turn that ends renews all before it.
    """
    found = []
    while turn:
        kept = turns.get(turn)
        if kept is None:
            return None
        found.append(kept)
        turn = kept.previous
    found.reverse()
    return found
