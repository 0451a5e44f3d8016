"""Answers with invalid statuses, between the product's own processes.

    python -m testing.soak.wrong_statuses PATH COUNT

The processes and paths are those of `cut_heads`. COUNT of the statuses are
played for each kind of request, in turn, once or in each answer; 0 plays all of
them in both ways. Prints what came of the requests as JSON.
"""

import collections
import itertools
import json
import sys

from bench import rig
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
_WAYS = tuple(itertools.product(STATUSES, (False, True)))


class Scenario(cut_heads.Scenario):
    """See `cut_heads`; statuses are replaced here, in place of cuts."""

    def play(self, kind: cut_heads.Kind) -> None:
        """Replaces the statuses of answers of one kind."""
        # An informational answer is followed by none here.
        kind = kind._replace(allowed=kind.allowed | {"StreamTimeout"})
        counter: collections.Counter[str] = collections.Counter()
        self.until_whole(kind)
        for _ in range(self.ways or len(_WAYS)):
            status, once = _WAYS[self.next_way % len(_WAYS)]
            self.next_way += 1
            spoilt = head_cutter.Status(kind.requests, status, once)
            counter[self.spoil(kind, spoilt)] += 1
            self.until_whole(kind)
        self.counts[kind.name] = dict(counter)


def main() -> None:
    """Runs one path."""
    path, count = sys.argv[1], int(sys.argv[2])
    sizes = {"controls": 1, "entries": 1, "engines": 1, "services": 1}
    system = cut_heads.System(**sizes)
    try:
        rig.push(system, rig.MANIFEST)
        rig.wait_ready(system)
        scenario = Scenario(system, 1, count)
        for one in PATHS if path == _ALL else (path,):
            scenario.play_path(one)
    finally:
        codes = system.stop()
    print(
        json.dumps(
            {
                "replaced": scenario.cuts,
                "counts": scenario.counts,
                "wrong": scenario.wrong,
                "exit codes": codes,
            }
        )
    )


if __name__ == "__main__":
    main()
