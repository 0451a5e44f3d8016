"""Cost of finding requests that crash upstreams.

    python -m bench.crash_evidence

Prints the time of a request's digest, of a report at the bounds of the state,
and the size of what each node gets after a report.
"""

import os
import time

import msgspec

from mintcleat.configuration import crash_evidence
from mintcleat.configuration import lost_runs
from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import digests
from mintcleat.domain import routed_calls

_REPEATS = 2_000
# Requests that an upstream of the largest deployments runs and queues.
_LOSSES = 20
_BODIES = (0, 4_096, 640_000)


def _digest_seconds(body: int) -> float:
    call = routed_calls.RoutedCall(
        "r1", "POST", "a.example", "/p/1?q=2", (), os.urandom(body)
    )
    began = time.perf_counter()
    for _ in range(_REPEATS):
        digests.of_call(call)
    return (time.perf_counter() - began) / _REPEATS


def _losses(crash: int, at: float) -> list[crash_evidence.Loss]:
    """Returns the losses of a crash; one request was at all crashes."""
    subject = crash_evidence.Subject("service", "route", "customer", "request")
    return [
        crash_evidence.Loss(
            (0 if number == 0 else crash * _LOSSES + number).to_bytes(
                16, "big"
            ),
            lost_runs.Run(at - 0.1, at),
            subject,
        )
        for number in range(_LOSSES)
    ]


def _full_state(limits: crash_evidence.Limits) -> crash_evidence.CrashEvidence:
    evidence = crash_evidence.CrashEvidence()
    for crash in range(crash_evidence.CRASHES_KEPT):
        at = crash * 0.2
        evidence.record(f"u{crash}", _losses(crash, at), at, limits)
    return evidence


def main() -> None:
    """Measures and prints."""
    for body in _BODIES:
        print(f"digest, body of {body} B: {_digest_seconds(body) * 1e6:.1f} us")
    # The request at all crashes is never quarantined here: the worst case.
    limits = crash_evidence.Limits(crashes=1_000_000)
    evidence = _full_state(limits)
    times = []
    for crash in range(crash_evidence.CRASHES_KEPT, 1_200):
        at = crash * 0.2
        began = time.perf_counter()
        evidence.record(f"u{crash}", _losses(crash, at), at, limits)
        times.append(time.perf_counter() - began)
    times.sort()
    print(
        f"report, {_LOSSES} lost, {crash_evidence.CRASHES_KEPT} crashes kept: "
        f"median {times[len(times) // 2] * 1e3:.2f} ms, "
        f"greatest {times[-1] * 1e3:.2f} ms"
    )
    state = msgspec.msgpack.encode(evidence.state())
    print(f"state in a snapshot: {len(state) / 1e3:.0f} kB")
    quarantined = [bytes(16)] * 10
    update = config_messages.Restrictions(
        1, [], quarantined, evidence.suspects()
    )
    print(
        "restrictions to a node, 10 quarantined, "
        f"{len(update.suspects)} suspects: {len(codec.encode(update))} B"
    )


if __name__ == "__main__":
    main()
