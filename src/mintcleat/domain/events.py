"""What processes tell of their decisions, as typed data.

An event is written as one JSON object a line: the time, the instance, the
event's name and its fields. Fields in seconds end in `_s` or `_age_s`; an
age says how old an input of the decision was. No field holds content of a
request. `docs/reference/logs.md` is made from this module.
"""

from typing import Any
from typing import NamedTuple

from mintcleat.domain import control_events

# How urgent a line is when there are more than the budget allows.
ERROR = "error"
STATE = "state"
DETAIL = "detail"


class ProcessStarted(NamedTuple):
    """The process serves its addresses."""

    role: str
    instance: str
    address: str
    start_s: float


class ProcessStopping(NamedTuple):
    """The process begins a planned stop."""

    role: str
    under_way: int


class ProcessStopped(NamedTuple):
    """The process ends; `cut` requests had no answer yet."""

    role: str
    cut: int


class SettingsReloaded(NamedTuple):
    """The settings file was read again; `changed` names the fields."""

    changed: list[str]


class DependencyLost(NamedTuple):
    """Something that this process relies on does not answer."""

    dependency: str
    detail: str


class DependencyRegained(NamedTuple):
    """It answers again."""

    dependency: str
    detail: str


class ConfigurationApplied(NamedTuple):
    """A revision of the configuration is in force here."""

    revision: int
    routes: int
    services: int
    lease_left_s: float


class UpstreamChanged(NamedTuple):
    """An upstream came, changed its state or went.

    Attributes:
        state: `ready`, `draining`, or how it went: `gone` as an entry sees
            it, `left` or `silent` as the config leader does.
        directory: Version of the directory that says so.
    """

    upstream: str
    service: str
    address: str
    state: str
    directory: int


class RegistrationRefused(NamedTuple):
    """What came as an upstream's registration names none to use.

    Attributes:
        upstream: Id that it was sent under, cut to a bounded length.
        peer: Address that it came from.
        detail: The first field that is wrong.
    """

    upstream: str
    peer: str
    detail: str


class UpstreamAvoided(NamedTuple):
    """An upstream failed; it gets few requests or none for a while.

    Attributes:
        failures: Failures that count, less what good answers took back.
        avoided_s: Time without requests; those that may not be repeated keep
            away until `failures` is below a half.
    """

    upstream: str
    service: str
    failures: float
    avoided_s: float


class CallTaken(NamedTuple):
    """A request came and its route was found.

    Attributes:
        revision: Configuration that the route comes from.
        lease_left_s: Time left of the lease on it; 0 when it ran out.
    """

    request: str
    route: str
    service: str
    program: str
    line: str
    previous: str
    limit_s: float
    revision: int
    lease_left_s: float
    directory: int
    customer: str


class TurnOpened(NamedTuple):
    """The control leader reserved the tokens of a turn."""

    request: str
    program: str
    reserved: int
    turns_before: int
    upstream_hint: str
    commit_s: float


class CallCounted(NamedTuple):
    """Control counted a call against its customer's limit before it was sent.

    Calls that were counted ahead, with an earlier turn, have no such line.
    """

    request: str
    program: str
    customer: str
    commit_s: float


class CallPlaced(NamedTuple):
    """An upstream was chosen.

    Attributes:
        reason: `resident`, `affinity` or `least`.
        running: Requests of this process that run there.
        elsewhere: Requests of other entries there, as far as is known.
        heard_age_s: Age of what is known of other entries; -1 for nothing.
        candidates: Upstreams that could be chosen.
    """

    request: str
    upstream: str
    attempt: int
    reason: str
    running: int
    elsewhere: int
    heard_age_s: float
    candidates: int
    left_s: float
    directory: int


class AttemptFailed(NamedTuple):
    """An upstream did not answer the request.

    Attributes:
        kind: Kind of the typed error.
        outcome: `not_run` or `unknown`.
    """

    request: str
    upstream: str
    attempt: int
    kind: str
    detail: str
    outcome: str
    after_s: float
    last_event: str


class CallRefused(NamedTuple):
    """The request is answered by this process, not by an upstream.

    Attributes:
        customer: Whose request it is; empty for nobody's, and for one that
            was refused before that was known.
        revision: Configuration that the decision rests on.
        known_age_s: Time since which a push may have been accepted that is
            not known here.
    """

    request: str
    route: str
    program: str
    kind: str
    detail: str
    outcome: str
    retry_after_s: float
    after_s: float
    customer: str = ""
    revision: int = 0
    known_age_s: float = 0.0


class KeyUnknown(NamedTuple):
    """A request came with a key that is no customer's, or not yet.

    Attributes:
        key: Short digest of the key; empty when it sent none.
        waited_s: Time for which word from control was waited for.
        behind_s: Time before the request up to which all pushes were known
            in the end; below 0 when they were known beyond it.
        waiting: Other such requests that waited then.
        sure: Whether every push from before the request is known here.
    """

    request: str
    key: str
    waited_s: float
    behind_s: float
    revision: int
    waiting: int
    sure: bool


class CallHeld(NamedTuple):
    """A call came before this process had word of control.

    Attributes:
        uptime_s: Time since the process started.
        limit_s: Longest time for which the call was to wait; 0 for none.
        held: Other calls that waited then.
        outcome: `released`, when a configuration came, or `refused`.
    """

    request: str
    uptime_s: float
    limit_s: float
    held: int
    outcome: str
    waited_s: float


class CallEnded(NamedTuple):
    """The caller got an upstream's answer.

    Attributes:
        outcome: `whole` or `cut`.
        first_s: Time to its first byte.
        gap_s: Longest pause between two events.
        tokens: Tokens that were handed out.
    """

    request: str
    route: str
    program: str
    upstream: str
    status: int
    outcome: str
    attempts: int
    first_s: float
    gap_s: float
    total_s: float
    tokens: int


class CallerGone(NamedTuple):
    """The caller left before the end of its answer."""

    request: str
    route: str
    program: str
    upstream: str
    after_s: float


class TurnSettled(NamedTuple):
    """The tokens of a turn are on record, and the turn where it is kept."""

    request: str
    program: str
    tokens: int
    kept: bool
    commit_s: float


class TurnUnsettled(NamedTuple):
    """The tokens of a turn stay reserved: no control leader answered."""

    request: str
    program: str
    tokens: int
    detail: str


class MemoryGrown(NamedTuple):
    """The process has held more memory than ever before, by a step.

    Attributes:
        peak_mb: Most memory that it has held, in MB.
        parts: What may have grown with the load, in bytes or items by name.
    """

    peak_mb: float
    parts: dict[str, int]


class LinesDropped(NamedTuple):
    """Lines that were over the budget or that the reader did not take."""

    dropped: int
    reason: str


_STATE = (
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    SettingsReloaded,
    DependencyLost,
    DependencyRegained,
    ConfigurationApplied,
    UpstreamChanged,
    RegistrationRefused,
    UpstreamAvoided,
    *control_events.KINDS,
    MemoryGrown,
    LinesDropped,
    TurnUnsettled,
)
_ERRORS = (AttemptFailed, CallRefused, CallerGone)
_DETAILS = (
    KeyUnknown,
    CallHeld,
    CallTaken,
    TurnOpened,
    CallCounted,
    CallPlaced,
    CallEnded,
    TurnSettled,
)
KINDS: tuple[type, ...] = (*_STATE, *_ERRORS, *_DETAILS)


def name_of(kind: type) -> str:
    """Returns an event's name on its line, such as `call_placed`."""
    letters = []
    for letter in kind.__name__:
        if letter.isupper() and letters:
            letters.append("_")
        letters.append(letter.lower())
    return "".join(letters)


def severity_of_kind(kind: type) -> str:
    """Returns how urgent the lines of a kind are."""
    if kind in _STATE:
        return STATE
    return ERROR if kind in _ERRORS else DETAIL


def severity_of(event: Any) -> str:
    """Returns which lines give way first when there are too many."""
    if isinstance(event, CallEnded) and event.outcome != "whole":
        return ERROR
    return severity_of_kind(type(event))
