"""What the engine's memory holds, by program, as far as is known here.

Sources are the sidecar's own calls, which are quick and rough, and the
engine's numbered events, which are right but come late and with gaps. A gap
makes the ledger unsure until a listing of the whole cache mends it.
"""

from mintcleat.ports import upstream as upstream_port


class Ledger:
    """Tokens held by program.

    Attributes:
        life: Life of the engine that the ledger speaks of.
        seq: Number of the last event, or of the listing, taken in.
        unsure: Whether something may be held that is not listed here.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.life = 0
        self.seq = 0
        self.unsure = True

    def record_turn(self, program: str, tokens: int) -> None:
        """Notes an own call, ahead of the engine's event."""
        if program:
            self.tokens[program] = max(tokens, self.tokens.get(program, 0))

    def take(self, batch: upstream_port.CacheEvents) -> None:
        """Takes in events; those before a listing are old and ignored."""
        if batch.life != self.life:
            # A restarted engine holds nothing and counts from the start.
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
            # The newest events are missing, and none may come after them.
            self.unsure = True

    def mend(self, listing: upstream_port.CacheListing) -> None:
        """Replaces everything by the engine's own listing."""
        self.life = listing.life
        self.seq = listing.seq
        self.tokens = {
            name: tokens for name, tokens in listing.programs.items() if tokens
        }
        self.unsure = False

    def released(self, programs: list[str]) -> None:
        """Notes that the engine has released programs."""
        for program in programs:
            self.tokens.pop(program, None)

    def truncated(self, program: str, keep: int) -> None:
        """Notes that the engine has dropped the end of a cache."""
        if program in self.tokens:
            self.tokens[program] = min(keep, self.tokens[program])

    def total(self) -> int:
        """Returns all tokens held."""
        return sum(self.tokens.values())

    def _set(self, program: str, tokens: int) -> None:
        if tokens > 0:
            self.tokens[program] = tokens
        else:
            self.tokens.pop(program, None)
