"""Tokens that running turns hold in the memory of an upstream.

Handles long prompts: an engine may have free slots while its memory is full.
It then preempts a running request and prefills it again, which costs more
than a queue. Parts that several running turns on one upstream share are held
there once. Sums are kept per upstream and updated with each turn, so that a
choice among many upstreams only reads them.
"""

import collections
from typing import NamedTuple

from mintcleat.domain import routed_calls

# Ids of first prompt parts that are remembered. A service has far fewer
# prefixes that programs share; the rest are prompts of one program.
MAX_PREFIXES = 4096
# Length from which on an id is not remembered: callers choose the ids, and all
# that are remembered must fit into a small part of an entry's memory.
MAX_ID_LENGTH = 128
# Bound on the tokens of a prompt and of an answer, far above what an engine
# holds. Callers state them.
MAX_TOKENS = 10**8


class TurnTokens(NamedTuple):
    """What one turn holds in memory, in tokens.

    Attributes:
        parts: Identified parts of its prompt, in order.
        shared: Number of leading parts that other programs use too.
        shared_tokens: Tokens of these parts.
        own: Everything else: the rest of the prompt and what may be
            generated.
        last: New tokens of the prompt; an upstream with the program's cache
            has all the others.
        generated: What may be generated.
    """

    parts: tuple[routed_calls.PromptPart, ...] = ()
    shared: int = 0
    shared_tokens: int = 0
    own: int = 0
    last: int = 0
    generated: int = 0

    @property
    def total(self) -> int:
        """Tokens with all shared parts."""
        return self.shared_tokens + self.own

    @property
    def uncached(self) -> int:
        """Prompt tokens that an upstream without the program's cache reads.

        Shared parts are assumed to be in every cache.
        """
        return self.own - self.generated


class Prefixes:
    """Recognizes prompt parts that several programs begin with.

    Attributes:
        programs: The first program seen, by part; None once there were two.
    """

    def __init__(self) -> None:
        self.programs: collections.OrderedDict[str, str | None] = (
            collections.OrderedDict()
        )

    def tokens_of(
        self, program: str, generation: routed_calls.Generation
    ) -> TurnTokens:
        """Returns what a turn of a program holds in memory."""
        parts = generation.parts
        shared = shared_tokens = 0
        identified = sum([part.tokens for part in parts])
        prompt = max(generation.prompt_tokens, identified)
        output = generation.max_tokens
        if prompt + output > MAX_TOKENS:
            return TurnTokens(own=MAX_TOKENS, last=MAX_TOKENS)
        for part in parts:
            if not self._is_shared(part.id, program):
                break
            shared += 1
            shared_tokens += part.tokens
        last = prompt - identified
        if not last and parts:
            last = parts[-1].tokens
        return TurnTokens(
            parts=parts,
            shared=shared,
            shared_tokens=shared_tokens,
            own=prompt - shared_tokens + output,
            last=last,
            generated=output,
        )

    def _is_shared(self, part: str, program: str) -> bool:
        """Records a program's use of a part; returns whether others use it."""
        if len(part) > MAX_ID_LENGTH or len(program) > MAX_ID_LENGTH:
            return False
        programs = self.programs
        # Empty if the part is unknown; None if it is shared already.
        first = programs.get(part, "")
        if first is None:
            programs.move_to_end(part)
            return True
        if first == program:
            return False
        if first:
            programs[part] = None
            return True
        programs[part] = program
        if len(programs) > MAX_PREFIXES:
            programs.popitem(last=False)
        return False


class RunningTokens:
    """Tokens of the running turns of one sender at one upstream.

    Attributes:
        total: Tokens held; a part that several turns use counts once.
        own: Tokens without the parts that other programs use, so that
            senders' sums can be added without counting these several times.
        turns: The running turns by request id.
        parts: Number of running turns that use a part, by id.
        owned: Parts that `own` contains. A part may become a shared one while
            turns run.
    """

    def __init__(self) -> None:
        self.total = 0
        self.own = 0
        self.turns: dict[str, TurnTokens] = {}
        self.parts: dict[str, int] = {}
        self.owned: set[str] = set()

    def add(self, request: str, turn: TurnTokens) -> None:
        """Adds a turn; has no effect if it is there already."""
        if request in self.turns:
            return
        self.turns[request] = turn
        self._change(turn, 1)

    def remove(self, request: str) -> None:
        """Removes a turn; has no effect if it isn't there."""
        turn = self.turns.pop(request, None)
        if turn is not None:
            self._change(turn, -1)

    def _change(self, turn: TurnTokens, sign: int) -> None:
        """Adds (1) or subtracts (-1) what a turn holds."""
        rest = turn.total
        for index, part in enumerate(turn.parts):
            rest -= part.tokens
            before = self.parts.get(part.id, 0)
            after = before + sign
            if after:
                self.parts[part.id] = after
            else:
                del self.parts[part.id]
            if before and after:
                # Other running turns hold the part.
                continue
            self.total += sign * part.tokens
            if sign > 0 and index >= turn.shared:
                self.owned.add(part.id)
                self.own += part.tokens
            elif sign < 0 and part.id in self.owned:
                self.owned.remove(part.id)
                self.own -= part.tokens
        self.own += sign * rest
        self.total += sign * rest

    def needed(self, turn: TurnTokens) -> int:
        """Returns the tokens that a further turn would add."""
        parts = self.parts
        return turn.total - sum(
            [part.tokens for part in turn.parts if part.id in parts]
        )


def room(memory: int, held: int) -> float:
    """Returns the tokens that an upstream can still take.

    Args:
        memory: Size of its memory; 0 if unknown, which bounds nothing.
        held: Tokens of all running turns there.
    """
    return memory - held if memory > 0 else float("inf")
