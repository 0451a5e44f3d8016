"""The prefix cache of the stand-in engine.

One block per chat message, addressed by the digest of all messages up to it,
so that programs with the same beginning share blocks.
"""

import collections
from typing import Any
from typing import NamedTuple

from mintcleat.domain import digests

_EVENTS_KEPT = 4096


class Event(NamedTuple):
    """A change of what one program holds; `tokens` is its new total."""

    seq: int
    kind: str
    program: str
    tokens: int


class Block:
    """The cache of one message behind its prefix."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.owners: set[str] = set()


class PrefixCache:
    """Blocks in order of use, evicted from the oldest when memory is short.

    Attributes:
        memory: Limit in tokens.
        held: Programs whose blocks are not evicted.
    """

    def __init__(self, memory: int) -> None:
        self.memory = memory
        self.blocks: collections.OrderedDict[bytes, Block] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0
        self.held: set[str] = set()
        self.seq = 0
        self.events: collections.deque[Event] = collections.deque(
            maxlen=_EVENTS_KEPT
        )
        self.tokens_by_program: collections.Counter[str] = collections.Counter()

    def cached_tokens(self, messages: list[str]) -> int:
        """Returns how many tokens of this prompt are in the cache."""
        found = 0
        for address, _ in addresses(messages):
            block = self.blocks.get(address)
            if block is None:
                break
            found += block.tokens
        return found

    def store(self, program: str, messages: list[str]) -> None:
        """Keeps the prompt for a program; without one nothing is kept."""
        if not program:
            return
        chain = addresses(messages)
        for address, tokens in chain:
            block = self.blocks.get(address)
            if block is None:
                block = Block(tokens)
                self.blocks[address] = block
                self.used_tokens += tokens
            if program not in block.owners:
                block.owners.add(program)
                self.tokens_by_program[program] += block.tokens
        # The last message is the oldest, so a prefix outlives what follows it.
        for address, _ in reversed(chain):
            self.blocks.move_to_end(address)
        self._tell("stored", program)
        self._evict()

    def release(self, program: str) -> int:
        """Forgets a program; returns the tokens that became free."""
        before = self.used_tokens
        self.held.discard(program)
        for address, block in list(self.blocks.items()):
            if program not in block.owners:
                continue
            block.owners.discard(program)
            if not block.owners:
                self._drop(address)
        if self.tokens_by_program.pop(program, 0):
            self._tell("released", program)
        return before - self.used_tokens

    def truncate(self, program: str, keep: int) -> None:
        """Drops the end of a program's history beyond `keep` tokens."""
        # In order of use, a later message lies before those it follows.
        for address, block in list(self.blocks.items()):
            if self.tokens_by_program[program] <= keep:
                break
            if program not in block.owners:
                continue
            block.owners.discard(program)
            self.tokens_by_program[program] -= block.tokens
            if not block.owners:
                self._drop(address)
        self._tell("evicted", program)

    def export(self, program: str) -> dict[str, Any]:
        """Returns the program's blocks in a form that `load` takes."""
        blocks = [
            [address.hex(), block.tokens]
            for address, block in self.blocks.items()
            if program in block.owners
        ]
        return {"program": program, "blocks": blocks}

    def load(self, exported: dict[str, Any]) -> None:
        """Takes in blocks that another engine exported."""
        program = exported["program"]
        for text, tokens in exported["blocks"]:
            address = bytes.fromhex(text)
            block = self.blocks.get(address)
            if block is None:
                block = Block(tokens)
                self.blocks[address] = block
                self.used_tokens += tokens
            if program not in block.owners:
                block.owners.add(program)
                self.tokens_by_program[program] += block.tokens
        self._tell("stored", program)
        self._evict()

    def _evict(self) -> None:
        for address, block in list(self.blocks.items()):
            if self.used_tokens <= self.memory:
                return
            if block.owners & self.held:
                continue
            owners = list(block.owners)
            self._drop(address)
            for owner in owners:
                self.tokens_by_program[owner] -= block.tokens
                if not self.tokens_by_program[owner]:
                    del self.tokens_by_program[owner]
                self._tell("evicted", owner)

    def _drop(self, address: bytes) -> None:
        self.used_tokens -= self.blocks.pop(address).tokens

    def _tell(self, kind: str, program: str) -> None:
        self.seq += 1
        self.events.append(
            Event(
                self.seq, kind, program, self.tokens_by_program.get(program, 0)
            )
        )


def addresses(messages: list[str]) -> list[tuple[bytes, int]]:
    """Returns the address and the tokens of each message's block."""
    found = []
    digest = digests.EMPTY
    for message in messages:
        digest = digests.chain(digest, [message])
        found.append((digest, count_tokens(message)))
    return found


def count_tokens(text: str) -> int:
    """Returns the tokens of a text: its words, as the stand-in writes them.

    An answer then has as many tokens in the next prompt as when it was
    generated, as with a real engine.
    """
    return max(1, len(text.split()))
