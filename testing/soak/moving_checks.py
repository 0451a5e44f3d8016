"""Checks of streams that continue at another upstream.

No I/O and no clock; see `checks`. Rules of a response's numbers, its end and
the runs of its request are there.
"""

import collections
from typing import Any

from testing.soak import checks as checks_module
from testing.soak import moving_upstreams

# Time for which a run may still work at its upstream after another works on it.
OVERLAP_SECONDS = 0.4
# Time before its expiry at which a copy that isn't used has been freed: entries
# do that at once, and a copy is kept for two seconds and a half.
_FREED_BEFORE_SECONDS = 1.0
# In the log of an entry, for a call that it has given up.
_NO_ANSWER = "no answer in time"


class Segment:
    """Work of one upstream on a request.

    Attributes:
        began: When its first event was made.
        ended: When it had stopped to work; 0 while it works.
    """

    def __init__(
        self, run: moving_upstreams.Run, upstream: str, began: float
    ) -> None:
        self.run = run
        self.upstream = upstream
        self.began = began
        self.ended = 0.0


class Observed:
    """What upstreams with moves did.

    Attributes:
        checks: Gets the violations.
        segments: Work on each request, by the first events.
        handovers: Pairs of upstreams of which one went on after the other.
        unanswered: Requests whose entries gave up a call for a copy: the
            answer came while the process had no processor, so that the handle
            isn't known there.
        continued: Number of streams that continued, by reason and result.
        lags: Times in which the stand-ins had no processor.
        interruptions: Times in which entries had none, or did not run.
    """

    def __init__(self, checks: checks_module.Checks) -> None:
        self.checks = checks
        self.segments: dict[str, list[Segment]] = collections.defaultdict(list)
        self.handovers = 0
        self.unanswered: set[str] = set()
        self.continued: collections.Counter[str] = collections.Counter()
        self.lags: list[checks_module.Disturbance] = []
        self.interruptions: list[checks_module.Disturbance] = []

    def generated(
        self, now: float, run: moving_upstreams.Run, upstream: str
    ) -> None:
        """An upstream generates an event."""
        segments = self.segments[run.request]
        if not any(one.run is run for one in segments):
            segments.append(Segment(run, upstream, now))

    def worked(self, now: float, run: moving_upstreams.Run) -> None:
        """An upstream has stopped to work on a run."""
        for segment in self.segments[run.request]:
            if segment.run is run:
                segment.ended = now

    def violation(self, now: float, rule: str, detail: str) -> None:
        """Records a violation."""
        self.checks.violations.append(
            checks_module.Violation(now, rule, detail)
        )

    def read_logs(self, lines: list[dict[str, Any]]) -> None:
        """Takes what entries logged of streams that continued."""
        for fields in lines:
            self.continued[f"{fields['reason']} {fields['result']}"] += 1
            if fields["detail"] == _NO_ANSWER:
                self.unanswered.add(fields["request"])

    def check(self, now: float, copies: list[moving_upstreams.Copy]) -> None:
        """Checks what can be known only at the end."""
        for request in self.segments:
            self._check_overlap(now, request)
            self._check_runs(now, request)
        for copy in copies:
            self._check_copy(copy)

    def check_kept(
        self, now: float, copies: list[moving_upstreams.Copy]
    ) -> None:
        """No copy is kept when all streams have ended for long."""
        for copy in copies:
            if copy.is_kept():
                self.violation(now, "kept_copy", f"{copy.handle} is kept")

    def _check_overlap(self, now: float, request: str) -> None:
        """An upstream stops to work when another one works on its run.

        The first event of an earlier run may come after that of a later one.
        """
        segments = sorted(
            self.segments[request], key=lambda one: one.run.started
        )
        for index, later in enumerate(segments):
            for earlier in segments[:index]:
                self.handovers += 1
                ended = earlier.ended or now
                nodes = {self._entry(request), earlier.upstream}
                free_at = self._reachable(nodes, later.began)
                if ended > free_at + OVERLAP_SECONDS:
                    self.violation(
                        ended,
                        "two_upstreams",
                        f"{request} worked at {earlier.upstream} until "
                        f"{ended:.3f}, and at {later.upstream} from "
                        f"{later.began:.3f}",
                    )

    def _check_runs(self, now: float, request: str) -> None:
        """A request that may run once has events of one run."""
        sent = self.checks.requests.get(request)
        serials = {one.run.serial for one in self.segments[request]}
        if sent is not None and len(serials) > sent.max_runs:
            self.violation(now, "second_run", f"{request}: runs {serials}")

    def _check_copy(self, copy: moving_upstreams.Copy) -> None:
        """A copy whose handle is known to its entry is used or freed.

        It can be freed only at its source. An entry that ended after it had
        asked for the copy doesn't know the handle. A fault that begins shortly
        before it expires excuses nothing: it was to be freed by then.
        """
        request = copy.run.request
        free_at = copy.expires_at - _FREED_BEFORE_SECONDS
        is_disturbed = any(
            fault.start <= free_at and fault.end >= copy.asked_at
            for fault in self._faults({self._entry(request), copy.source.name})
        )
        is_lost = copy.source_lost_at <= free_at
        if request in self.unanswered or is_disturbed or is_lost:
            return
        if not copy.is_kept() and copy.end == "expired" and copy.told_at:
            self.violation(
                copy.expires_at,
                "expired_copy",
                f"{copy.handle} of {request}, made by {copy.source.name} and "
                f"stated at {copy.told_at:.3f}, was neither used nor freed",
            )

    def _entry(self, request: str) -> str:
        sent = self.checks.requests.get(request)
        return sent.entry if sent is not None else ""

    def _faults(self, nodes: set[str]) -> list[checks_module.Disturbance]:
        """Returns the faults of some nodes and the lags, by their start."""
        known = (*self.checks.disturbances, *self.interruptions)
        faults = [one for one in known if one.node in nodes]
        return sorted((*faults, *self.lags), key=lambda one: one.start)

    def _reachable(self, nodes: set[str], since: float) -> float:
        """Returns from when on all nodes were without a fault for some time."""
        for fault in self._faults(nodes):
            if fault.start <= since + OVERLAP_SECONDS and fault.end >= since:
                since = fault.end
        return since
