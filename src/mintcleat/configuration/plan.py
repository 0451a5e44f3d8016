"""Plans a service's next orders from the manifest's wishes.

The plan is worked out anew each time from the replicated state and what the
upstreams announce, so a leader that takes over halfway goes on from there.

Made for version changes under load: without a floor, a rollout would take
the service down; without the pause between failure domains, a bad version
would reach all of them before the first one shows it.
"""

from typing import NamedTuple

from mintcleat.configuration import rollouts
from mintcleat.domain import manifest

LOAD = "load"
UNLOAD = "unload"
READY = "ready"
DOWN = "down"
# After an order the upstream announces the old model for a moment. Only
# after this time is an upstream that still does so ordered again.
SETTLE = 10.0
# An upstream whose order failed is left alone for this time, so that a
# broken one does not use up the weight store's permits.
RETRY = 60.0
# An upstream that carried an order out and is not ready for so long counts
# as a failure of the version.
STUCK = 900.0


class Upstream(NamedTuple):
    """An upstream of the service.

    Attributes:
        order: Its last order, if any.
        since: Wall clock at which it was first seen in this state with this
            model by the present leader.
    """

    instance: str
    epoch: int
    failure_domain: str
    state: str
    model: str
    drained: bool
    order: rollouts.Order | None
    since: float = 0.0


class View(NamedTuple):
    """All that a plan depends on; `now` is a wall clock."""

    service: str
    target: str
    floor: int
    replicas: int
    pause: float
    upstreams: list[Upstream]
    rollout: rollouts.Rollout | None
    now: float


class Start(NamedTuple):
    """Start a rollout to `target`; return to `previous` if it fails."""

    target: str
    previous: str


class Send(NamedTuple):
    """Order one upstream."""

    instance: str
    epoch: int
    action: str
    model: str


class Turn(NamedTuple):
    """Set the rollout's state."""

    state: str
    reason: str


Step = Start | Send | Turn


def target_of(service: manifest.Service) -> str:
    """Returns `MODEL@VERSION+ADAPTER+...` as orders and engines name it."""
    name = service.model
    if service.version:
        name += f"@{service.version}"
    return "+".join([name, *sorted(service.adapters)])


def next_steps(view: View) -> list[Step]:
    """Returns what to do now; an empty list means to wait."""
    rollout = view.rollout
    if rollout is None or rollout.target != view.target:
        return [Start(view.target, _previous(view))]
    match rollout.state:
        case rollouts.RUNNING:
            return _run(view, rollout)
        case rollouts.RETURNING:
            return _return(view, rollout)
        case rollouts.DONE:
            return _orders(view, rollout.target, rollout)
        case rollouts.RETURNED:
            return _orders(view, rollout.previous, rollout)
        case _:
            return []


def _run(view: View, rollout: rollouts.Rollout) -> list[Step]:
    fault = _fault(view, rollout, rollout.target)
    if fault and rollout.previous:
        return [Turn(rollouts.RETURNING, fault)]
    if fault:
        return [Turn(rollouts.PAUSED, f"{fault}; no version to return to")]
    if _complete(view, rollout.target) and _paused_enough(view, rollout):
        return [Turn(rollouts.DONE, "")]
    return _orders(view, rollout.target, rollout)


def _return(view: View, rollout: rollouts.Rollout) -> list[Step]:
    fault = _fault(view, rollout, rollout.previous)
    if fault:
        return [Turn(rollouts.PAUSED, f"the return failed: {fault}")]
    if _complete(view, rollout.previous):
        return [Turn(rollouts.RETURNED, rollout.reason)]
    return _orders(view, rollout.previous, rollout)


def _previous(view: View) -> str:
    """Returns the version to go back to: the last that was in force."""
    rollout = view.rollout
    if rollout is not None:
        is_done = rollout.state == rollouts.DONE
        return rollout.target if is_done else rollout.previous
    loaded = [
        u.model for u in view.upstreams if u.model not in ("", view.target)
    ]
    return max(sorted(set(loaded)), key=loaded.count, default="")


def _fault(view: View, rollout: rollouts.Rollout, model: str) -> str:
    """Returns what shows that a version fails, or an empty text."""
    for upstream in view.upstreams:
        order = upstream.order
        if order is None or order.fencing_token <= rollout.started:
            continue
        if order.model != model or order.epoch != upstream.epoch:
            continue
        if order.outcome == rollouts.FAILED:
            return f"{upstream.instance} failed to load {model}"
        if order.outcome != rollouts.DONE or upstream.state == READY:
            continue
        if upstream.state == DOWN:
            return f"{upstream.instance} went down with {model}"
        if view.now - order.at > STUCK and not upstream.drained:
            return f"{upstream.instance} does not get ready with {model}"
    return ""


def _complete(view: View, model: str) -> bool:
    kept = _kept(view, model)
    return bool(kept) and all(
        _has(upstream, model, view.now) and upstream.state == READY
        for upstream in kept
        if upstream.state != DOWN and not upstream.drained
    )


def _orders(view: View, model: str, rollout: rollouts.Rollout) -> list[Step]:
    kept = _kept(view, model)
    spare = [item for item in view.upstreams if item not in kept]
    wanted: list[tuple[Upstream, str, str]] = [
        (item, LOAD, model)
        for item in _domain_first(kept, model, view.now)
        if not _has(item, model, view.now)
    ]
    if not wanted and _complete(view, model):
        wanted = [(item, UNLOAD, item.model) for item in spare if item.model]
    if wanted and _opens_domain(view, wanted[0][0], rollout):
        return []
    return _within_floor(view, wanted)


def _within_floor(
    view: View, wanted: list[tuple[Upstream, str, str]]
) -> list[Step]:
    """Keeps `floor` upstreams ready while orders are carried out."""
    serving = [item for item in view.upstreams if _serves(item)]
    allowed = len(serving) - view.floor
    steps: list[Step] = []
    for upstream, action, model in wanted:
        if not _orderable(upstream, view.now):
            continue
        if _serves(upstream):
            if allowed <= 0:
                continue
            allowed -= 1
        steps.append(Send(upstream.instance, upstream.epoch, action, model))
    return steps


def _domain_first(
    upstreams: list[Upstream], model: str, now: float
) -> list[Upstream]:
    """Returns the first failure domain's upstreams not ready with `model`.

    The next domain waits for them: an engine may take an order at once and
    load for minutes, and two domains would be loading together.
    """
    for domain in sorted({item.failure_domain for item in upstreams}):
        inside = [
            item
            for item in upstreams
            if item.failure_domain == domain and item.state != DOWN
        ]
        if not all(_settled(item, model, now) for item in inside):
            return inside
    return []


def _settled(upstream: Upstream, model: str, now: float) -> bool:
    is_up = upstream.state == READY or upstream.drained
    return is_up and _has(upstream, model, now)


def _opens_domain(
    view: View, first: Upstream, rollout: rollouts.Rollout
) -> bool:
    """Tells whether the next failure domain must wait for the pause."""
    inside = [
        item
        for item in view.upstreams
        if item.failure_domain == first.failure_domain
    ]
    if any(_of_rollout(item.order, rollout) for item in inside):
        return False
    return not _paused_enough(view, rollout)


def _paused_enough(view: View, rollout: rollouts.Rollout) -> bool:
    ended = [
        max(item.order.at, item.since)
        for item in view.upstreams
        if item.order is not None and _of_rollout(item.order, rollout)
    ]
    return view.now - max(ended, default=0.0) >= view.pause


def _kept(view: View, model: str) -> list[Upstream]:
    """Returns the upstreams that shall hold the model.

    Where more are there than replicas are wanted, those that hold it already
    stay, and the rest spread over the failure domains.
    """
    if not view.replicas or len(view.upstreams) <= view.replicas:
        return view.upstreams
    live = [
        item
        for item in view.upstreams
        if item.state != DOWN and not item.drained
    ]
    live.sort(key=lambda item: (item.model != model, item.instance))
    taken: list[Upstream] = []
    by_domain: dict[str, int] = {}
    while live and len(taken) < view.replicas:
        best = min(
            live,
            key=lambda item: (
                item.model != model,
                by_domain.get(item.failure_domain, 0),
                item.instance,
            ),
        )
        live.remove(best)
        taken.append(best)
        count = by_domain.get(best.failure_domain, 0)
        by_domain[best.failure_domain] = count + 1
    return taken


def _has(upstream: Upstream, model: str, now: float) -> bool:
    if upstream.model == model and not _is_sent(upstream):
        return True
    order = upstream.order
    return (
        order is not None
        and order.epoch == upstream.epoch
        and order.action == LOAD
        and order.model == model
        and order.outcome == rollouts.DONE
        and now - order.at < SETTLE
    )


def _serves(upstream: Upstream) -> bool:
    return (
        upstream.state == READY
        and not upstream.drained
        and not _is_sent(upstream)
    )


def _is_sent(upstream: Upstream) -> bool:
    order = upstream.order
    return (
        order is not None
        and order.outcome == rollouts.SENT
        and order.epoch == upstream.epoch
    )


def _orderable(upstream: Upstream, now: float) -> bool:
    order = upstream.order
    if upstream.state == DOWN or _is_sent(upstream):
        return False
    return not (
        order is not None
        and order.outcome == rollouts.FAILED
        and now - order.at < RETRY
    )


def _of_rollout(
    order: rollouts.Order | None, rollout: rollouts.Rollout
) -> bool:
    return order is not None and order.fencing_token > rollout.started
