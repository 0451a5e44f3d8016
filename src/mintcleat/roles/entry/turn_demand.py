"""What an entry tells the leader about a turn, for admission control."""

from collections.abc import Callable
from typing import NamedTuple

from mintcleat.decisions import upstream_health
from mintcleat.domain import manifest
from mintcleat.domain import program_messages
from mintcleat.domain import routed_calls
from mintcleat.roles.entry import upstream_loads

# Part of a request's time for which its turn may wait for a grant. The rest is
# for running it, or for another entry that the caller tries.
HOLD_FRACTION = 0.75


class Admission(NamedTuple):
    """How a turn asks for its grant.

    Attributes:
        demand: Returns the demand of the turn at present.
        report: Returns the running requests of this entry at present.
        until: Time until which the turn may wait for its grant.
    """

    demand: Callable[[], program_messages.TurnDemand]
    report: Callable[[], program_messages.RunningCounts]
    until: float


class Capacity(NamedTuple):
    """Capacity and use of a service, as this entry sees them.

    Attributes:
        places: Slots of the upstreams that are ready and healthy.
        upstreams: Number of these upstreams.
        running: Requests of this entry that run at the service.
    """

    places: int
    upstreams: int
    running: int


def capacity_of(loads: upstream_loads.UpstreamLoads, service: str) -> Capacity:
    """Returns the capacity and the use of a service."""
    ready = loads.by_service.get(service, {})
    policy = loads.policy
    # The failure penalties for requests that may be repeated are the mildest;
    # an upstream that takes only those still has its slots.
    names = upstream_health.healthy(
        list(ready),
        loads.penalties if policy.standing else None,
        loads.silence_detector if policy.silence else None,
        True,
        loads.timers.now(),
    )
    running = sum(
        len(requests)
        for name, requests in loads.requests.by_upstream.items()
        if name in ready
    )
    return Capacity(
        sum(ready[name].slots for name in names), len(names), running
    )


def demand_of(
    call: routed_calls.RoutedCall,
    route: str,
    service_name: str,
    service: manifest.Service,
    priority: int,
    route_priority: int,
    share: float,
    times: tuple[float, float],
    capacity: Capacity,
) -> program_messages.TurnDemand:
    """Returns the demand of a turn.

    Args:
        call: Request of the turn.
        route: Name of its route.
        service_name: Name of its service.
        service: Its service.
        priority: Its priority.
        route_priority: Priority of its route.
        share: Weight of its customer.
        times: Seconds that it has waited, and seconds that it has left.
        capacity: Capacity of the service.
    """
    waited, left = times
    generation = call.generation
    return program_messages.TurnDemand(
        service_name,
        route,
        priority,
        share,
        max(1, generation.prompt_tokens + generation.max_tokens),
        call.program.finish_within,
        round(max(0.0, waited), 4),
        capacity.places,
        capacity.upstreams * service.memory_tokens,
        round(max(0.0, left), 3),
        capacity.running,
        route_priority,
    )
