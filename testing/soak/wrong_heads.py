"""Answers with invalid heads, between the product's own processes.

    python -m testing.soak.wrong_heads GROUP PATH COUNT

The processes and paths are those of `cut_heads`. GROUP is one of `GROUPS`:
statuses are replaced, or lines are added. COUNT of its faults are played for
each kind of request, in turn, once or in each answer; 0 plays all of them in
both ways. Prints what came of the requests as JSON.
"""

import collections
import itertools
import sys

from testing.soak import cut_heads
from testing.soak import head_cutter

PATHS = ("entry", "engine", "operator", "load")
_ALL = "all"

# A status has three digits, and those of final answers go from 200 to 599. The
# standard library takes some of the others for 200.
STATUSES = (
    b"000",
    b"199 OK",
    b"600 No",
    b"0200 OK",
    b"101 Switching Protocols",
    b"001 OK",
    b"999 No",
    b"+200 OK",
    b"",
    b"099 No",
    b"2000 OK",
    b"000 OK",
    b"20 OK",
    b"2_00 OK",
    b"OK",
)
# The name of a field is a token, which a colon follows at once (RFC 9112, 5.1).
# The standard library ends the fields at some of these lines.
LINES = (
    b"X Trace: 1",
    b"X-Trace : 1",
    b"X-Tr\0ace: 1",
    b"X-Trace",
    b"X-Tr\x1face: 1",
    b"X\tTrace: 1",
    b": 1",
    b"X-Trace\x7f: 1",
    b"X-Tr\xe4ce: 1",
    b"X-Tr\x01ace: 1",
    b"X-Tr(a)ce: 1",
    b"HTTP/1.1 200 OK",
    b"X-Trace: \0",
)
GROUPS = {
    "statuses": [head_cutter.Status(b"", status) for status in STATUSES],
    "lines": [
        head_cutter.Line(b"", text, is_last)
        for text in LINES
        for is_last in (False, True)
    ],
}


class Scenario(cut_heads.Scenario):
    """See `cut_heads`; heads are invalid here, in place of cut."""

    def __init__(
        self, system: cut_heads.System, group: str, count: int
    ) -> None:
        super().__init__(system, 1, count)
        self.faults = list(itertools.product(GROUPS[group], (False, True)))

    def play(self, kind: cut_heads.Kind) -> None:
        """Spoils the heads of answers of one kind."""
        # An informational answer is followed by none here.
        kind = kind._replace(allowed=kind.allowed | {"StreamTimeout"})
        counter: collections.Counter[str] = collections.Counter()
        self.until_whole(kind)
        for _ in range(self.ways or len(self.faults)):
            fault, once = self.faults[self.next_way % len(self.faults)]
            self.next_way += 1
            fault = fault._replace(requests=kind.requests, once=once)
            counter[self.spoil(kind, fault)] += 1
            self.until_whole(kind)
        self.counts[kind.name] = dict(counter)


def main() -> None:
    """Runs one path."""
    group, path, count = sys.argv[1], sys.argv[2], int(sys.argv[3])
    cut_heads.run(
        lambda system: Scenario(system, group, count),
        PATHS if path == _ALL else (path,),
    )


if __name__ == "__main__":
    main()
