"""Ledger of the engine's prefix cache: cached tokens by program.

It is updated from the sidecar's own calls, which give an early estimate, and
from the engine's numbered events, which are exact but late and may be lost. A
gap in the numbers makes the ledger unsure until a listing of the whole cache
replaces its content.
"""

from mintcleat.ports import upstream as upstream_port


class Ledger:
    """Cached tokens by program.

    Attributes:
        tokens: Cached tokens by program.
        life: Number of the engine process that the content is about.
        seq: Sequence number of the last event or listing applied.
        unsure: Whether the cache may hold something that is missing here.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.life = 0
        self.seq = 0
        self.unsure = True

    def record_turn(self, program: str, tokens: int) -> None:
        """Records a finished call before the engine's event arrives."""
        if program:
            self.tokens[program] = max(tokens, self.tokens.get(program, 0))

    def take(self, batch: upstream_port.CacheEvents) -> None:
        """Applies events; those that a listing includes are ignored."""
        if batch.life != self.life:
            # A restarted engine has an empty cache and new event numbers.
            self.tokens.clear()
            self.life = batch.life
            self.seq = 0
            self.unsure = True
        for event in batch.events:
            if event.seq <= self.seq:
                continue
            if event.seq != self.seq + 1:
                self.unsure = True
            self.seq = event.seq
            self._set(event.program, event.tokens)
        if batch.seq > self.seq:
            # The newest events are missing. The gap would go unnoticed if no
            # event came after them.
            self.unsure = True

    def mend(self, listing: upstream_port.CacheListing) -> None:
        """Replaces the content by the engine's listing."""
        self.life = listing.life
        self.seq = listing.seq
        self.tokens = {
            name: tokens for name, tokens in listing.programs.items() if tokens
        }
        self.unsure = False

    def released(self, programs: list[str]) -> None:
        """Removes programs that the engine has evicted."""
        for program in programs:
            self.tokens.pop(program, None)

    def truncated(self, program: str, keep: int) -> None:
        """Records that the engine has truncated a prefix to `keep` tokens."""
        if program in self.tokens:
            self.tokens[program] = min(keep, self.tokens[program])

    def total(self) -> int:
        """Returns the cached tokens of all programs."""
        return sum(self.tokens.values())

    def _set(self, program: str, tokens: int) -> None:
        if tokens > 0:
            self.tokens[program] = tokens
        else:
            self.tokens.pop(program, None)
