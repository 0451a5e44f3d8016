"""Plans the next orders that bring a service to what the manifest asks for.

The plan is computed from scratch each time, from the replicated state and the
announcements of upstreams. A new leader therefore continues where the
previous one stopped.

A rollout updates one failure domain after another. It keeps at least `floor`
upstreams ready, so that the service stays up under load. It pauses between
failure domains, so that a faulty version is noticed before all of them run it.
"""

from typing import NamedTuple

from mintcleat.configuration import rollouts
from mintcleat.domain import manifest

# Actions of orders.
LOAD = "load"
UNLOAD = "unload"
# States of upstreams, as they announce them.
READY = "ready"
DOWN = "down"
# Time after a successful order during which the upstream may still announce its
# old model without getting another order.
SETTLE_SECONDS = 10.0
# Pause after a failed order, so that a broken upstream doesn't use up the
# permits to load from the weight store.
RETRY_SECONDS = 60.0
# Time after a successful order within which the upstream must be ready, or
# the version counts as faulty.
READY_TIMEOUT_SECONDS = 900.0


class Upstream(NamedTuple):
    """An upstream of the service.

    Attributes:
        epoch: Epoch of its incarnation.
        state: State that it announces.
        model: Target that it has loaded; empty for none.
        drained: Whether an operator drains it.
        order: Its last order, if any.
        since: Wall clock at which the present leader first saw it in this
            state with this model, in seconds since 1970.
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
    """The input of a plan.

    Attributes:
        target: Target that the manifest asks for; see `target_of`.
        floor: Number of upstreams that must stay ready during a rollout.
        replicas: Number of upstreams that must hold the target; 0 for all.
        pause: Seconds between failure domains.
        upstreams: All announced upstreams of the service.
        rollout: The service's latest rollout, if any.
        now: Wall clock in seconds since 1970.
    """

    service: str
    target: str
    floor: int
    replicas: int
    pause: float
    upstreams: list[Upstream]
    rollout: rollouts.Rollout | None
    now: float


class StartRollout(NamedTuple):
    """Start a rollout to `target`; roll back to `previous` if it fails."""

    target: str
    previous: str


class SendOrder(NamedTuple):
    """Send an order to one upstream."""

    instance: str
    epoch: int
    action: str
    model: str


class SetState(NamedTuple):
    """Set the state of the rollout."""

    state: str
    reason: str


Step = StartRollout | SendOrder | SetState


def target_of(service: manifest.Service) -> str:
    """Returns a service's target as `MODEL@VERSION+ADAPTER+...`.

    Orders and engines use this text for what is loaded.
    """
    name = service.model
    if service.version:
        name += f"@{service.version}"
    return "+".join([name, *sorted(service.adapters)])


def next_steps(view: View) -> list[Step]:
    """Returns the steps to take now; empty if there are none yet."""
    rollout = view.rollout
    if rollout is None or rollout.target != view.target:
        return [StartRollout(view.target, _previous(view))]
    match rollout.state:
        case rollouts.RUNNING:
            return _run(view, rollout)
        case rollouts.ROLLING_BACK:
            return _roll_back(view, rollout)
        case rollouts.DONE:
            return _next_orders(view, rollout.target, rollout)
        case rollouts.ROLLED_BACK:
            return _next_orders(view, rollout.previous, rollout)
        case _:
            return []


def _run(view: View, rollout: rollouts.Rollout) -> list[Step]:
    fault = _fault(view, rollout, rollout.target)
    if fault and rollout.previous:
        return [SetState(rollouts.ROLLING_BACK, fault)]
    if fault:
        return [
            SetState(rollouts.PAUSED, f"{fault}; no version to roll back to")
        ]
    if _complete(view, rollout.target) and _pause_is_over(view, rollout):
        return [SetState(rollouts.DONE, "")]
    return _next_orders(view, rollout.target, rollout)


def _roll_back(view: View, rollout: rollouts.Rollout) -> list[Step]:
    fault = _fault(view, rollout, rollout.previous)
    if fault:
        return [SetState(rollouts.PAUSED, f"the rollback failed: {fault}")]
    if _complete(view, rollout.previous):
        return [SetState(rollouts.ROLLED_BACK, rollout.reason)]
    return _next_orders(view, rollout.previous, rollout)


def _previous(view: View) -> str:
    """Returns the target to roll back to: the last one in force, or empty.

    Without a former rollout it is the target that most upstreams have loaded.
    """
    rollout = view.rollout
    if rollout is not None:
        is_done = rollout.state == rollouts.DONE
        return rollout.target if is_done else rollout.previous
    loaded = [
        u.model for u in view.upstreams if u.model not in ("", view.target)
    ]
    return max(sorted(set(loaded)), key=loaded.count, default="")


def _fault(view: View, rollout: rollouts.Rollout, model: str) -> str:
    """Returns why a version counts as faulty; empty if it doesn't."""
    for upstream in view.upstreams:
        order = upstream.order
        if order is None or order.fencing_token <= rollout.start_fencing_token:
            continue
        if order.model != model or order.epoch != upstream.epoch:
            continue
        if order.outcome == rollouts.FAILED:
            return f"{upstream.instance} failed to load {model}"
        if order.outcome != rollouts.DONE or upstream.state == READY:
            continue
        if upstream.state == DOWN:
            return f"{upstream.instance} went down with {model}"
        if view.now - order.at > READY_TIMEOUT_SECONDS and not upstream.drained:
            return f"{upstream.instance} did not get ready with {model} in time"
    return ""


def _complete(view: View, model: str) -> bool:
    holders = _holders(view, model)
    return bool(holders) and all(
        _has_loaded(upstream, model, view.now) and upstream.state == READY
        for upstream in holders
        if upstream.state != DOWN and not upstream.drained
    )


def _next_orders(
    view: View, model: str, rollout: rollouts.Rollout
) -> list[Step]:
    holders = _holders(view, model)
    spare = [item for item in view.upstreams if item not in holders]
    orders: list[tuple[Upstream, str, str]] = [
        (item, LOAD, model)
        for item in _first_unsettled_domain(holders, model, view.now)
        if not _has_loaded(item, model, view.now)
    ]
    if not orders and _complete(view, model):
        orders = [(item, UNLOAD, item.model) for item in spare if item.model]
    if orders and _must_pause(view, orders[0][0], rollout):
        return []
    return _within_floor(view, orders)


def _within_floor(
    view: View, orders: list[tuple[Upstream, str, str]]
) -> list[Step]:
    """Returns the orders that leave at least `floor` upstreams ready."""
    serving = [item for item in view.upstreams if _serves(item)]
    allowed = len(serving) - view.floor
    steps: list[Step] = []
    for upstream, action, model in orders:
        if not _can_take_order(upstream, view.now):
            continue
        if _serves(upstream):
            if allowed <= 0:
                continue
            allowed -= 1
        steps.append(
            SendOrder(upstream.instance, upstream.epoch, action, model)
        )
    return steps


def _first_unsettled_domain(
    upstreams: list[Upstream], model: str, now: float
) -> list[Upstream]:
    """Returns the upstreams of the first domain not yet ready with `model`.

    The next domain waits until they are ready, not just until their orders
    are acknowledged: an engine may acknowledge an order at once and load for
    minutes, so that two domains would load at the same time.
    """
    for domain in sorted({item.failure_domain for item in upstreams}):
        in_domain = [
            item
            for item in upstreams
            if item.failure_domain == domain and item.state != DOWN
        ]
        if not all(_settled(item, model, now) for item in in_domain):
            return in_domain
    return []


def _settled(upstream: Upstream, model: str, now: float) -> bool:
    is_up = upstream.state == READY or upstream.drained
    return is_up and _has_loaded(upstream, model, now)


def _must_pause(view: View, first: Upstream, rollout: rollouts.Rollout) -> bool:
    """Returns whether the next order must wait for the pause.

    Only the first order to a failure domain waits.
    """
    in_domain = [
        item
        for item in view.upstreams
        if item.failure_domain == first.failure_domain
    ]
    if any(_belongs_to(item.order, rollout) for item in in_domain):
        return False
    return not _pause_is_over(view, rollout)


def _pause_is_over(view: View, rollout: rollouts.Rollout) -> bool:
    ended = [
        max(item.order.at, item.since)
        for item in view.upstreams
        if item.order is not None and _belongs_to(item.order, rollout)
    ]
    return view.now - max(ended, default=0.0) >= view.pause


def _holders(view: View, model: str) -> list[Upstream]:
    """Returns the upstreams that must hold the model.

    If there are more upstreams than wanted replicas, those that hold the
    model already come first, and the others are spread over the failure
    domains.
    """
    if not view.replicas or len(view.upstreams) <= view.replicas:
        return view.upstreams
    live = [
        item
        for item in view.upstreams
        if item.state != DOWN and not item.drained
    ]
    live.sort(key=lambda item: (item.model != model, item.instance))
    holders: list[Upstream] = []
    by_domain: dict[str, int] = {}
    while live and len(holders) < view.replicas:
        best = min(
            live,
            key=lambda item: (
                item.model != model,
                by_domain.get(item.failure_domain, 0),
                item.instance,
            ),
        )
        live.remove(best)
        holders.append(best)
        count = by_domain.get(best.failure_domain, 0)
        by_domain[best.failure_domain] = count + 1
    return holders


def _has_loaded(upstream: Upstream, model: str, now: float) -> bool:
    if upstream.model == model and not _has_pending_order(upstream):
        return True
    order = upstream.order
    return (
        order is not None
        and order.epoch == upstream.epoch
        and order.action == LOAD
        and order.model == model
        and order.outcome == rollouts.DONE
        and now - order.at < SETTLE_SECONDS
    )


def _serves(upstream: Upstream) -> bool:
    return (
        upstream.state == READY
        and not upstream.drained
        and not _has_pending_order(upstream)
    )


def _has_pending_order(upstream: Upstream) -> bool:
    order = upstream.order
    return (
        order is not None
        and order.outcome == rollouts.SENT
        and order.epoch == upstream.epoch
    )


def _can_take_order(upstream: Upstream, now: float) -> bool:
    order = upstream.order
    if upstream.state == DOWN or _has_pending_order(upstream):
        return False
    return not (
        order is not None
        and order.outcome == rollouts.FAILED
        and now - order.at < RETRY_SECONDS
    )


def _belongs_to(
    order: rollouts.Order | None, rollout: rollouts.Rollout
) -> bool:
    return (
        order is not None and order.fencing_token > rollout.start_fencing_token
    )
