"""The prefix cache of the stand-in engine.

It has one block per chat message, addressed by the digest of all messages up
to and including it, so that programs whose prompts share a prefix share its
blocks.
"""

import collections
from typing import Any
from typing import NamedTuple

from mintcleat.domain import digests

_MAX_EVENTS = 4096


class Event(NamedTuple):
    """A change of the tokens cached for one program.

    Attributes:
        seq: Number of the event; numbers start at 1 and have no gaps.
        kind: `stored`, `released` or `evicted`.
        program: Id of the program.
        tokens: Tokens cached for the program after the change.
    """

    seq: int
    kind: str
    program: str
    tokens: int


class Block:
    """The cached tokens of one message that follows a certain prefix.

    Attributes:
        tokens: Size of the block.
        owners: Programs that the block is stored for.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.owners: set[str] = set()


class PrefixCache:
    """Blocks of limited total size; the least recently used are evicted.

    Attributes:
        capacity: Maximum size in tokens; blocks of pinned programs may
            exceed it.
        blocks: Blocks by address, the least recently used first.
        used_tokens: Size of all blocks.
        pinned: Programs whose blocks are not evicted.
        seq: Number of the latest event.
        events: The latest events, the oldest first.
        tokens_by_program: Size of each program's blocks; a shared block
            counts for each of its owners.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: collections.OrderedDict[bytes, Block] = (
            collections.OrderedDict()
        )
        self.used_tokens = 0
        self.pinned: set[str] = set()
        self.seq = 0
        self.events: collections.deque[Event] = collections.deque(
            maxlen=_MAX_EVENTS
        )
        self.tokens_by_program: collections.Counter[str] = collections.Counter()

    def cached_tokens(self, messages: list[str]) -> int:
        """Returns the size of the longest cached prefix of a prompt."""
        total = 0
        for address, _ in block_addresses(messages):
            block = self.blocks.get(address)
            if block is None:
                break
            total += block.tokens
        return total

    def store(self, program: str, messages: list[str]) -> None:
        """Stores the blocks of a prompt; does nothing without a program."""
        if not program:
            return
        chain = block_addresses(messages)
        for address, tokens in chain:
            block = self.blocks.get(address)
            if block is None:
                block = Block(tokens)
                self.blocks[address] = block
                self.used_tokens += tokens
            if program not in block.owners:
                block.owners.add(program)
                self.tokens_by_program[program] += block.tokens
        # In reverse order, so that the last message is evicted first: a block
        # is of no use without those before it.
        for address, _ in reversed(chain):
            self.blocks.move_to_end(address)
        self._emit("stored", program)
        self._evict()

    def release(self, program: str) -> int:
        """Removes a program; returns the tokens freed.

        Blocks that other programs share with it stay.
        """
        before = self.used_tokens
        self.pinned.discard(program)
        for address, block in list(self.blocks.items()):
            if program not in block.owners:
                continue
            block.owners.discard(program)
            if not block.owners:
                self._remove_block(address)
        if self.tokens_by_program.pop(program, 0):
            self._emit("released", program)
        return before - self.used_tokens

    def truncate(self, program: str, max_tokens: int) -> None:
        """Removes a program's last messages until at most `max_tokens` remain.

        A message is removed whole.
        """
        # The blocks are in order of use, in which `store` puts a message
        # before those that precede it in the prompt.
        for address, block in list(self.blocks.items()):
            if self.tokens_by_program[program] <= max_tokens:
                break
            if program not in block.owners:
                continue
            block.owners.discard(program)
            self.tokens_by_program[program] -= block.tokens
            if not block.owners:
                self._remove_block(address)
        self._emit("evicted", program)

    def export_blocks(self, program: str) -> dict[str, Any]:
        """Returns a program's blocks as JSON data for `import_blocks`."""
        blocks = [
            [address.hex(), block.tokens]
            for address, block in self.blocks.items()
            if program in block.owners
        ]
        return {"program": program, "blocks": blocks}

    def import_blocks(self, exported: dict[str, Any]) -> None:
        """Stores blocks that another engine exported."""
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
        self._emit("stored", program)
        self._evict()

    def _evict(self) -> None:
        for address, block in list(self.blocks.items()):
            if self.used_tokens <= self.capacity:
                return
            if block.owners & self.pinned:
                continue
            owners = list(block.owners)
            self._remove_block(address)
            for owner in owners:
                self.tokens_by_program[owner] -= block.tokens
                if not self.tokens_by_program[owner]:
                    del self.tokens_by_program[owner]
                self._emit("evicted", owner)

    def _remove_block(self, address: bytes) -> None:
        self.used_tokens -= self.blocks.pop(address).tokens

    def _emit(self, kind: str, program: str) -> None:
        self.seq += 1
        self.events.append(
            Event(
                self.seq, kind, program, self.tokens_by_program.get(program, 0)
            )
        )


def block_addresses(messages: list[str]) -> list[tuple[bytes, int]]:
    """Returns the address and the size in tokens of each message's block."""
    result = []
    digest = digests.EMPTY
    for message in messages:
        digest = digests.chain(digest, [message])
        result.append((digest, count_tokens(message)))
    return result


def count_tokens(text: str) -> int:
    """Returns the number of tokens of a text: its words, but at least 1.

    The stand-in generates one word per token. An answer thus counts the same
    in the next prompt as when it was generated, as in a real engine.
    """
    return max(1, len(text.split()))
