"""Which object crashes the upstreams that run requests for it.

Requests for one object, such as the turns of one document, differ in
content. If each of them crashes its upstream, `crash_evidence` finds none that
is repeated often enough. An object is what they share: customer, method, host
and path. It is convicted as a request is, and by stricter rules, since a
conviction refuses contents that have never run:

- Different contents crashed upstreams: no content was at two of the crashes
  that convict it. One content that crashes upstreams is quarantined alone.
- Nothing of the object has ended well since. One run of any content that ends
  well withdraws all crashes, and the quarantine.
- A crash at which a request for another object is quarantined doesn't
  count.
- A crash counts some time after its first report, when other entries have
  reported what they lost in it. Until then a common object may seem to be the
  only one there.

Requests for a suspected object run as usual. If they ran apart, each crash
would delay all readers of a common path.
"""

from collections.abc import Mapping
from typing import Any

from mintcleat.configuration import crash_evidence

# Time after the first report of a crash within which all entries have reported
# what they lost in it, unless the config leader has changed.
SETTLE_SECONDS = 0.5


class ObjectEvidence(crash_evidence.CrashEvidence):
    """Crashes, and the objects that they convict.

    What the base class calls a request, by its digest, is an object here.

    Attributes:
        requests: The evidence about contents.
        contents: Digests of the contents that were lost, by incarnation of the
            crashed upstream and by object.
        reported_at: Time of the first report of each crash, by incarnation, in
            seconds since 1970.
        at: Time of the last report of all.
        due: When objects are to be examined again, since the next of their
            crashes counts from then on, by digest.
    """

    def __init__(self, requests: crash_evidence.CrashEvidence) -> None:
        super().__init__()
        self.requests = requests
        self.contents: dict[str, dict[bytes, dict[bytes, None]]] = {}
        self.reported_at: dict[str, float] = {}
        self.at = 0.0
        self.due: dict[bytes, float] = {}
        self.is_explained_elsewhere = self._is_explained_by_request
        requests.is_explained_elsewhere = self._is_explained_by_object

    def record_contents(
        self,
        incarnation: str,
        losses: list[crash_evidence.Loss],
        objects: Mapping[bytes, bytes],
        at: float,
        limits: crash_evidence.Limits,
    ) -> list[bytes]:
        """Records requests that were lost when an upstream crashed.

        It records them in `requests`, too.

        Args:
            incarnation: Incarnation of the upstream.
            losses: The lost requests that one entry knows of.
            objects: The object of each, by digest; requests without one are
                left out.
            at: Time of the report, in seconds since 1970.
            limits: The policy in force.

        Returns:
            The digests of requests and objects that are quarantined by it.
        """
        new = self.requests.record(incarnation, losses, at, limits)
        new += self._record_objects(incarnation, losses, objects, at, limits)
        new += self._review_by_requests(losses, at, limits)
        self._acquit()
        return new

    def _record_objects(
        self,
        incarnation: str,
        losses: list[crash_evidence.Loss],
        objects: Mapping[bytes, bytes],
        at: float,
        limits: crash_evidence.Limits,
    ) -> list[bytes]:
        known = [loss for loss in losses if loss.digest in objects]
        if not known:
            return []
        self.expire(at, limits)
        self.reported_at.setdefault(incarnation, at)
        contents = self.contents.setdefault(incarnation, {})
        for loss in known:
            if sum(map(len, contents.values())) < (
                crash_evidence.LOSSES_PER_CRASH
            ):
                found = contents.setdefault(objects[loss.digest], {})
                found[loss.digest] = None
        found = [loss._replace(digest=objects[loss.digest]) for loss in known]
        new = self.record(incarnation, found, at, limits)
        for digest, _, _ in found:
            places = self.places.get(digest, ())
            if len(places) >= limits.crashes or digest in self.on_trial:
                # Later reports don't put off what counts by then.
                self.due.setdefault(digest, at + SETTLE_SECONDS)
        return new

    def _review_by_requests(
        self,
        losses: list[crash_evidence.Loss],
        at: float,
        limits: crash_evidence.Limits,
    ) -> list[bytes]:
        """Convicts requests that explain the crashes of an object as well.

        Reports that come late may show that one request was at all crashes for
        which an object is quarantined. The request alone is then refused.

        Returns:
            The digests that are quarantined.
        """
        found = []
        for loss in losses:
            places = self.requests.places.get(loss.digest, ())
            accused = {
                digest
                for name in places
                for digest, contents in self.contents.get(name, {}).items()
                if digest in self.quarantine and loss.digest not in contents
            }
            for digest in sorted(accused):
                item = self.quarantine.pop(digest)
                crashes = len(self.requests.crashes_of(loss.digest))
                if crashes >= len(self.crashes_of(digest)):
                    found += self.requests.reconsider([loss.digest], at, limits)
                is_convicted = loss.digest in self.requests.quarantine
                left = len(self.crashes_of(digest))
                if not is_convicted or left >= crash_evidence.RIVAL_MARGIN:
                    self.quarantine[digest] = item
        return found

    def _acquit(self) -> None:
        """Acquits objects whose crashes other requests explain by now."""
        for digest in list(self.quarantine):
            explained = any(
                self.is_explained_elsewhere(name, digest)
                for name in self.places.get(digest, ())
            )
            left = len(self.crashes_of(digest))
            if explained and left < crash_evidence.RIVAL_MARGIN:
                del self.quarantine[digest]

    def expire(self, at: float, limits: crash_evidence.Limits) -> None:
        """Applies the times at which crashes count and lapse."""
        super().expire(at, limits)
        self.at = max(self.at, at)
        due = [key for key, time in self.due.items() if time <= self.at]
        for digest in due:
            del self.due[digest]
        self._convict(due, at, limits)
        for digest in due:
            later = [
                settled
                for name in self.places.get(digest, ())
                if (settled := self.reported_at[name] + SETTLE_SECONDS)
                > self.at
            ]
            if later:
                self.due[digest] = min(later)

    def crashes_of(self, digest: bytes) -> list[str]:
        """Returns the crashes that count against an object by now, in order."""
        return [
            name
            for name in super().crashes_of(digest)
            if self.reported_at[name] + SETTLE_SECONDS <= self.at
        ]

    def next_expiry(self) -> float:
        """Returns when `expire` changes something; infinite for never."""
        return min([super().next_expiry(), *self.due.values()])

    def state(self) -> list[Any]:
        """Returns the state as plain data for a snapshot."""
        contents = [
            [name, [[key, list(found)] for key, found in objects.items()]]
            for name, objects in self.contents.items()
        ]
        due = [list(item) for item in self.due.items()]
        return [super().state(), contents, self.reported_at, self.at, due]

    def load(self, state: list[Any]) -> None:
        """Replaces the state with what `state` returned."""
        evidence, contents, reported_at, self.at, due = state
        super().load(evidence)
        self.reported_at = dict(reported_at)
        self.due = dict(due)
        self.contents = {
            name: {key: dict.fromkeys(found) for key, found in objects}
            for name, objects in contents
        }

    def _forget_crash(self, incarnation: str) -> None:
        super()._forget_crash(incarnation)
        self.reported_at.pop(incarnation, None)
        for digest in self.contents.pop(incarnation, {}):
            if digest not in self.places:
                self.due.pop(digest, None)

    def _weight(self, digest: bytes, crashes: list[str]) -> int:
        """Returns how many crashes without a content in common were found."""
        seen: set[bytes] = set()
        found = 0
        contents = [self.contents[name].get(digest, {}) for name in crashes]
        for lost in sorted(contents, key=len):
            if lost and seen.isdisjoint(lost):
                found += 1
                seen.update(lost)
        return found

    def _is_explained_by_request(self, incarnation: str, digest: bytes) -> bool:
        """Returns whether a request for another object explains a crash."""
        lost = self.requests.crashes.get(incarnation, {})
        found = self.requests.quarantine.keys() & lost.keys()
        if not found:
            return False
        own = self.contents.get(incarnation, {}).get(digest, {})
        return not found <= own.keys()

    def _is_explained_by_object(self, incarnation: str, digest: bytes) -> bool:
        """Returns whether another object than that of a request explains it."""
        objects = self.contents.get(incarnation, {})
        return any(
            digest not in objects[key]
            for key in self.quarantine.keys() & objects.keys()
        )
