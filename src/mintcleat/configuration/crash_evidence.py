"""Which repeated request crashes the upstreams that run it.

Entries report the requests that they lost when an upstream crashed. One crash
proves nothing: everything that ran there was lost, and most crashes have
another cause. A request is quarantined after several crashes that only it can
explain:

- They came one after the other: each run began after the crash before, so
  upstreams that end together, by a lost rack or a loss of power, count once.
  Times are those at which reports arrive, less the durations they state. A
  crash that only a replacement shows may have come any time after the loss.
- It has ended well nowhere since. A request that is common, such as a read
  without parameters, runs at every upstream that crashes, and ends well
  elsewhere all the time.
- It was sent before the upstream crashed, not to what was left of it.
- No other request was there nearly as often. A caller's requests that are
  repeated side by side stay suspects until one of them ends well.

The answer depends on the reports alone and not on their order, so reports may
come late, twice, or from several entries. It reads no clock: times come with
the reports.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from mintcleat.configuration import lost_runs

# Crashes after which a request is quarantined, one after the other.
CRASHES_TO_QUARANTINE = 3
# A request is no alternative explanation if it was at this many fewer crashes.
RIVAL_MARGIN = 2
# Bounds of the state. Crashes and cleared requests make room for later ones. A
# quarantined request only makes room for another quarantined one, so that no
# number of suspects can release it.
CRASHES_KEPT = 500
LOSSES_PER_CRASH = 256
CLEARED_KEPT = 1_000
QUARANTINED_KEPT = 1_000
# Suspects that are sent to the nodes, the latest first.
SUSPECTS_SENT = 256
# Upstreams that are named with a quarantined request.
UPSTREAMS_NAMED = 10


class Subject(NamedTuple):
    """What tells an operator which request a digest stands for.

    Attributes:
        service: Service that ran it.
        request: Id of the first repetition that was lost.
    """

    service: str = ""
    route: str = ""
    customer: str = ""
    request: str = ""


class Loss(NamedTuple):
    """A request that was lost when an upstream crashed."""

    digest: bytes
    run: lost_runs.Run
    subject: Subject


class Quarantined(NamedTuple):
    """A request that no entry sends to an upstream.

    Attributes:
        upstreams: Incarnations of upstreams that crashed under it.
        at: When it was quarantined, in seconds since 1970.
        until: When it may be tried again.
    """

    upstreams: list[str]
    at: float
    until: float
    subject: Subject


class Limits(NamedTuple):
    """The policy in force.

    Attributes:
        crashes: Crashes after which a request is quarantined.
        quarantine_seconds: Time for which it is refused.
        suspicion_seconds: Time for which a crash counts.
    """

    crashes: int = CRASHES_TO_QUARANTINE
    quarantine_seconds: float = 3600.0
    suspicion_seconds: float = 600.0


class CrashEvidence:
    """Crashes, and the requests that they convict.

    Attributes:
        crashes: Lost runs by digest, by incarnation of the crashed upstream;
            the oldest crash first.
        cleared_at: Time up to which the crashes of a request don't count, since
            it ended well, was released, or its quarantine ended; by digest,
            oldest change first.
        quarantine: Quarantined requests by digest, oldest first.
        on_trial: Requests whose quarantine has ended, with the time until
            which a single crash renews it, by digest.
        subjects: What is known about each digest.
        places: The crashes that a request was lost in, by digest.
        is_explained_elsewhere: Returns whether a crash, by incarnation, doesn't
            speak against a request because of what another register convicted.
    """

    def __init__(self) -> None:
        self.is_explained_elsewhere: Callable[[str, bytes], bool] = (
            lambda incarnation, digest: False
        )
        self.crashes: dict[str, dict[bytes, lost_runs.Run]] = {}
        self.cleared_at: dict[bytes, float] = {}
        self.quarantine: dict[bytes, Quarantined] = {}
        self.on_trial: dict[bytes, float] = {}
        self.subjects: dict[bytes, Subject] = {}
        self.places: dict[bytes, dict[str, None]] = {}

    def record(
        self, incarnation: str, losses: list[Loss], at: float, limits: Limits
    ) -> list[bytes]:
        """Records requests that were lost when an upstream crashed.

        Args:
            incarnation: Incarnation of the upstream.
            losses: The lost requests that one entry knows of.
            at: Time of the report, in seconds since 1970.
            limits: The policy in force.

        Returns:
            The digests that are quarantined by it.
        """
        self.expire(at, limits)
        crash = self.crashes.setdefault(incarnation, {})
        for loss in losses:
            if loss.digest not in crash and len(crash) >= LOSSES_PER_CRASH:
                continue
            crash[loss.digest] = lost_runs.earlier(
                crash.get(loss.digest), loss.run
            )
            self.places.setdefault(loss.digest, {})[incarnation] = None
            self.subjects.setdefault(loss.digest, loss.subject)
        while len(self.crashes) > CRASHES_KEPT:
            self._forget_crash(next(iter(self.crashes)))
        digests = [loss.digest for loss in losses]
        found = self._convict(digests, at, limits)
        return found + self._review(digests, at, limits)

    def record_end(self, digest: bytes, at: float, limits: Limits) -> None:
        """Records that a run of a request ended well at some upstream.

        It withdraws what speaks against the request, and leaves the other
        requests that were lost beside it with one alternative less.
        """
        self._clear(digest, at)
        beside: set[bytes] = set()
        for incarnation in self.places.get(digest, ()):
            beside.update(self.crashes[incarnation])
        self._convict(sorted(beside - {digest}), at, limits)

    def reconsider(
        self, digests: list[bytes], at: float, limits: Limits
    ) -> list[bytes]:
        """Quarantines those requests that alone explain their crashes by now.

        Returns:
            The digests that are quarantined by it.
        """
        return self._convict(digests, at, limits)

    def release(self, digest: bytes, at: float) -> bool:
        """Withdraws all that speaks against a request.

        Returns:
            Whether it was quarantined or a suspect.
        """
        listed = digest in self.quarantine or digest in self.suspects()
        if listed:
            self._clear(digest, at)
        return listed

    def expire(self, at: float, limits: Limits) -> None:
        """Applies the times at which crashes and quarantines lapse."""
        for digest, item in list(self.quarantine.items()):
            if item.until <= at:
                self._clear(digest, at)
                self.on_trial[digest] = at + limits.quarantine_seconds
        for digest, until in list(self.on_trial.items()):
            if until <= at:
                del self.on_trial[digest]
        oldest = at - limits.suspicion_seconds
        for incarnation, crash in list(self.crashes.items()):
            if all(run.lost_at <= oldest for run in crash.values()):
                self._forget_crash(incarnation)
        for digest, cleared_at in list(self.cleared_at.items()):
            if cleared_at <= oldest:
                del self.cleared_at[digest]

    def next_expiry(self) -> float:
        """Returns when the first quarantine ends; infinite for none."""
        ends = [item.until for item in self.quarantine.values()]
        ends.extend(self.on_trial.values())
        return min(ends, default=float("inf"))

    def is_empty(self) -> bool:
        """Returns whether there is nothing to remember."""
        return not (
            self.crashes or self.quarantine or self.on_trial or self.cleared_at
        )

    def listed(self) -> tuple[frozenset[bytes], frozenset[bytes]]:
        """Returns the quarantined requests and the suspects."""
        return frozenset(self.quarantine), frozenset(self.suspects())

    def suspects(self) -> list[bytes]:
        """Returns the requests that a crash speaks against, latest first."""
        found = dict.fromkeys(reversed(self.on_trial))
        for incarnation in reversed(self.crashes):
            for digest, run in self.crashes[incarnation].items():
                if digest in self.quarantine or digest in found:
                    continue
                crash = self.crashes[incarnation]
                if self._counts(digest, run) and lost_runs.is_before_crash(
                    run, crash
                ):
                    found[digest] = None
        return list(found)[:SUSPECTS_SENT]

    def crashes_of(self, digest: bytes) -> list[str]:
        """Returns the crashes that count against a request, in order."""
        runs = {}
        crashed_by = {}
        for incarnation in self.places.get(digest, ()):
            crash = self.crashes[incarnation]
            run = crash[digest]
            if (
                self._counts(digest, run)
                and lost_runs.is_before_crash(run, crash)
                and not self._is_explained(crash, digest)
                and not self.is_explained_elsewhere(incarnation, digest)
            ):
                runs[incarnation] = run
                crashed_by[incarnation] = lost_runs.crashed_by(crash)
        return lost_runs.in_a_row(runs, crashed_by)

    def lost_at(self, digest: bytes) -> float:
        """Returns when a request was last lost; 0 if it isn't known."""
        places = self.places.get(digest, ())
        runs = [self.crashes[name][digest].lost_at for name in places]
        return max(runs, default=0.0)

    def beside(self, digest: bytes) -> int:
        """Returns how many other requests were lost in the same crashes."""
        others: set[bytes] = set()
        for name in self.places.get(digest, ()):
            others.update(self.crashes[name])
        return len(others - {digest})

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        return [
            [
                [
                    name,
                    [[key, lost_runs.plain(run)] for key, run in crash.items()],
                ]
                for name, crash in self.crashes.items()
            ],
            [list(item) for item in self.cleared_at.items()],
            [
                [key, item.upstreams, item.at, item.until, list(item.subject)]
                for key, item in self.quarantine.items()
            ],
            [list(item) for item in self.on_trial.items()],
            [[key, list(item)] for key, item in self.subjects.items()],
        ]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        crashes, cleared_at, quarantine, on_trial, subjects = state
        self.crashes = {
            name: {key: lost_runs.Run(*run) for key, run in runs}
            for name, runs in crashes
        }
        self.cleared_at = dict(cleared_at)
        self.quarantine = {
            key: Quarantined(upstreams, at, until, Subject(*subject))
            for key, upstreams, at, until, subject in quarantine
        }
        self.on_trial = dict(on_trial)
        self.subjects = {key: Subject(*item) for key, item in subjects}
        self.places = {}
        for name, crash in self.crashes.items():
            for key in crash:
                self.places.setdefault(key, {})[name] = None

    def _counts(self, digest: bytes, run: lost_runs.Run) -> bool:
        """Returns whether a lost run still speaks against its request."""
        return run.lost_at > self.cleared_at.get(digest, float("-inf"))

    def _clear(self, digest: bytes, at: float) -> None:
        """Withdraws all that speaks against a request up to now."""
        self.quarantine.pop(digest, None)
        self.on_trial.pop(digest, None)
        self.cleared_at.pop(digest, None)
        self.cleared_at[digest] = at
        _trim(self.cleared_at, CLEARED_KEPT)

    def _forget_crash(self, incarnation: str) -> None:
        for digest in self.crashes.pop(incarnation):
            places = self.places[digest]
            del places[incarnation]
            if not places:
                del self.places[digest]
                self.subjects.pop(digest, None)

    def _is_explained(
        self, crash: dict[bytes, lost_runs.Run], digest: bytes
    ) -> bool:
        """Returns whether another request is quarantined for a crash."""
        return not (self.quarantine.keys() & crash.keys()) <= {digest}

    def _convict(
        self, digests: list[bytes], at: float, limits: Limits
    ) -> list[bytes]:
        """Quarantines those requests that alone explain their crashes."""
        found = []
        counted = _Counted(self.crashes_of)
        # The one with the most crashes first: its crashes don't count against
        # the others any more.
        order = sorted(digests, key=lambda key: -len(counted.crashes(key)))
        for digest in order:
            if digest in self.quarantine:
                continue
            crashes = counted.crashes(digest)
            if not self._alone_explains(digest, counted, limits):
                continue
            counted = _Counted(self.crashes_of)
            self.quarantine[digest] = Quarantined(
                crashes[-UPSTREAMS_NAMED:],
                at,
                at + limits.quarantine_seconds,
                self.subjects.get(digest, Subject()),
            )
            self.on_trial.pop(digest, None)
            _trim(self.quarantine, QUARANTINED_KEPT)
            found.append(digest)
        return found

    def _review(
        self, digests: list[bytes], at: float, limits: Limits
    ) -> list[bytes]:
        """Acquits quarantined requests that others explain better by now.

        Reports that come late may show that another request was at the same
        crashes, and at more of them.

        Returns:
            The digests that are quarantined in their place.
        """
        found = []
        for digest in digests:
            accused = {
                other
                for name in self.places.get(digest, ())
                for other in self.crashes[name]
                if other != digest and other in self.quarantine
            }
            for other in sorted(accused):
                item = self.quarantine.pop(other)
                if digest not in self.quarantine:
                    found.extend(self._convict([digest], at, limits))
                if not self._is_acquitted(other, digest):
                    self.quarantine[other] = item
                    _trim(self.quarantine, QUARANTINED_KEPT)
        return found

    def _is_acquitted(self, digest: bytes, better: bytes) -> bool:
        """Returns whether another request explains a request's crashes.

        Two requests that both crash upstreams are at some crashes together and
        at others apart.
        """
        item = self.quarantine.pop(better, None)
        if item is None:
            return False
        crashes = len(self.crashes_of(digest))
        self.quarantine[better] = item
        apart = len(self.crashes_of(digest))
        better_crashes = len(self.crashes_of(better))
        return apart < RIVAL_MARGIN and crashes < better_crashes

    def _alone_explains(
        self, digest: bytes, counted: "_Counted", limits: Limits
    ) -> bool:
        """Returns whether only this request explains enough of its crashes.

        A request on trial needs one at which no other one on trial was.
        """
        crashes = counted.crashes(digest)
        if digest in self.on_trial:
            return any(
                not any(
                    other in self.on_trial
                    for other in self.crashes[name]
                    if other != digest
                )
                for name in crashes
            )
        if len(crashes) < limits.crashes:
            return False
        most = len(crashes) - RIVAL_MARGIN
        unrivalled = [
            name
            for name in crashes
            if not any(
                len(counted.crashes(other)) > most
                for other, run in self.crashes[name].items()
                if other != digest and self._counts(other, run)
            )
        ]
        return self._weight(digest, unrivalled) >= limits.crashes

    def _weight(self, digest: bytes, crashes: list[str]) -> int:
        """Returns how many of a request's crashes count."""
        return len(crashes)


class _Counted:
    """Crashes of requests, counted once each while nothing changes.

    All requests of a crash are compared with one another. Where many of them
    were at many crashes, the config leader would stand still for seconds.
    """

    def __init__(self, crashes_of: Callable[[bytes], list[str]]) -> None:
        self.crashes_of = crashes_of
        self.found: dict[bytes, list[str]] = {}

    def crashes(self, digest: bytes) -> list[str]:
        """Returns the crashes that count against a request, in order."""
        found = self.found.get(digest)
        if found is None:
            found = self.found[digest] = self.crashes_of(digest)
        return found


def _trim(items: dict[Any, Any], limit: int) -> None:
    while len(items) > limit:
        del items[next(iter(items))]
