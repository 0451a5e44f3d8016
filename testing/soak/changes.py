"""What each version of the configuration changes, and what callers see of it.

Besides the routes that all versions have, each version has some that differ
from one version to the next. A probe is a request on one of them, and its
effect is how it was handled.
"""

import functools
import random
from typing import Any
from typing import NamedTuple

DESK = "desk"
# A second plain service, and one that only some versions name.
ALTERNATIVE = "alternative"
PART = "part"
UNKNOWN_ROUTE = "unknown route"
TOO_LARGE = "too large"
SHORT = "short time-out"
LONG = "long time-out"
# Time-outs of the route whose upstream answers too late. They are so different
# that a stall of the machine doesn't make one look like the other.
_TIMEOUT_MS = {SHORT: 400, LONG: 2800}
_LEAST_LONG_SECONDS = 2.4
# Limits of the body, one below that of the probe and one above all bodies.
_BODY_LIMITS = (4_000, 500_000)
_PROBED_BODY_BYTES = 20_000
# Weights of the alternative service, of 100. With 0 and 100 each single request
# shows them, with others only many do.
_WEIGHTS = (0, 30, 100)
_SWITCHED = 3
# In targets of requests that upstreams answer later than any time-out.
LATE = "/late/"


class Content(NamedTuple):
    """What differs between versions.

    Attributes:
        moved: Service of the route that moves between services.
        weight: Weight of the alternative service on the split route.
        switched: Which of the routes that come and go are there.
        wandering: Which of two prefixes the route has that wanders.
        deep: Whether a longer prefix takes a part of another route's requests.
        timeout: Time-out of the route whose upstream answers too late.
        body_bytes: Most bytes of a body.
        part: Whether there is the service that comes and goes, with its route.
    """

    moved: str
    weight: int
    switched: tuple[bool, ...]
    wandering: str
    deep: bool
    timeout: str
    body_bytes: int
    part: bool


@functools.cache
def content(version: int) -> Content:
    """Returns what a version has."""
    generator = random.Random(f"version {version}")
    flip = (False, True)
    return Content(
        generator.choice((DESK, ALTERNATIVE)),
        generator.choice(_WEIGHTS),
        tuple(generator.choice(flip) for _ in range(_SWITCHED)),
        generator.choice("ab"),
        generator.choice(flip),
        generator.choice((SHORT, LONG)),
        generator.choice(_BODY_LIMITS),
        generator.choice(flip),
    )


def routes(version: int) -> list[dict[str, Any]]:
    """Returns the routes that differ; only those fields that matter here."""
    found = content(version)
    shares = [
        {"service": DESK, "weight": 100 - found.weight},
        {"service": ALTERNATIVE, "weight": found.weight},
    ]
    made = [
        {"name": "moved", "service": found.moved},
        {"name": "split", "split": shares},
        # The same name at another place: not the same route.
        {
            "name": "wandering",
            "pathPrefix": f"/wandering-{found.wandering}/",
            "service": ALTERNATIVE,
        },
        {"name": "deep", "service": DESK},
        {
            "name": "late",
            "service": ALTERNATIVE,
            "kind": "unsafe",
            "timeoutMs": _TIMEOUT_MS[found.timeout],
        },
        {"name": "limited-body", "service": DESK},
    ]
    for number, is_there in enumerate(found.switched):
        if is_there:
            made.append({"name": f"switched-{number}", "service": DESK})
    if found.deep:
        made.append(
            {
                "name": "deeper",
                "pathPrefix": "/deep/er/",
                "service": ALTERNATIVE,
            }
        )
    if found.part:
        made.append({"name": "part", "service": PART})
    return made


def services(version: int) -> list[str]:
    """Returns the plain services."""
    return [DESK, ALTERNATIVE, *([PART] if content(version).part else [])]


class Probe(NamedTuple):
    """A request whose handling depends on the version.

    Attributes:
        name: What it examines.
        body: Its body.
        is_late: Whether its upstream answers later than any time-out.
    """

    name: str
    target: str
    body: bytes = b"probe"
    is_late: bool = False

    def effects(self, version: int) -> frozenset[str]:
        """Returns the effects that a version allows."""
        found = content(version)
        match self.name:
            case "moved":
                return frozenset({found.moved})
            case "split":
                return _split_effects(found.weight)
            case "wandering a" | "wandering b":
                is_there = self.name.endswith(found.wandering)
                return _effect(is_there, ALTERNATIVE)
            case "deep":
                return frozenset({ALTERNATIVE if found.deep else DESK})
            case "late":
                return frozenset({found.timeout})
            case "body":
                fits = len(self.body) <= found.body_bytes
                return frozenset({DESK if fits else TOO_LARGE})
            case "part":
                return _effect(found.part, PART)
        return _effect(found.switched[int(self.name[-1])], DESK)

    def seen(self, status: int, seconds: float, service: str) -> str:
        """Returns the effect that a request shows; empty if it shows none.

        Args:
            status: Status of its response; 0 for none.
            seconds: Time until its end.
            service: Service whose upstream ran it; empty for none.
        """
        if self.is_late:
            if status != 504:
                return ""
            return LONG if seconds >= _LEAST_LONG_SECONDS else SHORT
        if service:
            return service
        return {404: UNKNOWN_ROUTE, 413: TOO_LARGE}.get(status, "")


def _effect(is_there: bool, service: str) -> frozenset[str]:
    return frozenset({service if is_there else UNKNOWN_ROUTE})


def _split_effects(weight: int) -> frozenset[str]:
    effects = {DESK: 100 - weight, ALTERNATIVE: weight}
    return frozenset(name for name, part in effects.items() if part)


PROBES = (
    Probe("moved", "/moved/x"),
    Probe("split", "/split/x"),
    Probe("wandering a", "/wandering-a/x"),
    Probe("wandering b", "/wandering-b/x"),
    Probe("deep", "/deep/er/x"),
    Probe("body", "/limited-body/x", b"b" * _PROBED_BODY_BYTES),
    Probe("part", "/part/x"),
    *(
        Probe(f"switched {number}", f"/switched-{number}/x")
        for number in range(_SWITCHED)
    ),
)
LATE_PROBE = Probe("late", f"{LATE}x", is_late=True)
