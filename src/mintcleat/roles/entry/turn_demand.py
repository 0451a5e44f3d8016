"""What an entry tells the leader about a turn, for admission control."""

from collections.abc import Callable
from collections.abc import Mapping
import types
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
        slots: Total slots of the upstreams that are ready and don't fail all
            requests.
        upstreams: Number of these upstreams.
        running: Requests of this entry that run at the service.
        ended: Turns of this entry, of any service, that have ended while their
            CloseTurn is not confirmed.
    """

    slots: int
    upstreams: int
    running: int
    ended: list[program_messages.EndedTurn] = []


def capacity_of(
    loads: upstream_loads.UpstreamLoads,
    service: str,
    ending: Mapping[program_messages.EndedTurn, str] = types.MappingProxyType(
        {}
    ),
) -> Capacity:
    """Returns the capacity and the use of a service.

    Args:
        loads: What this entry has running.
        service: Name of the service.
        ending: `turn_client.TurnClient.ending`. Turns that are being committed
            don't run any more, though their upstream counts them.
    """
    ready = loads.by_service.get(service, {})
    policy = loads.policy
    names = upstream_health.capacity(
        list(ready),
        loads.penalties if policy.standing else None,
        loads.silence_detector if policy.silence else None,
        loads.timers.now(),
    )
    running = sum(
        len(requests)
        for name, requests in loads.requests.by_upstream.items()
        if name in ready
    )
    running -= sum(
        turn.turn in loads.requests.by_upstream.get(name, ())
        for turn, name in ending.items()
        if name in ready
    )
    return Capacity(
        sum(ready[name].slots for name in names),
        len(names),
        running,
        list(ending)[-program_messages.MAX_ENDED :],
    )


def demand_of(
    call: routed_calls.RoutedCall,
    route: str,
    service_name: str,
    service: manifest.Service,
    priority: int,
    route_priority: int,
    share: float,
    waited: float,
    left: float,
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
        waited: Seconds for which it has waited.
        left: Seconds until it has ended for certain.
        capacity: Capacity of the service.
    """
    generation = call.generation
    return program_messages.TurnDemand(
        service=service_name,
        kind=route,
        priority=priority,
        share=share,
        tokens=max(1, generation.prompt_tokens + generation.max_tokens),
        finish_within=call.program.finish_within,
        waited=round(max(0.0, waited), 4),
        places=capacity.slots,
        memory_tokens=capacity.upstreams * service.memory_tokens,
        timeout=round(max(0.0, left), 3),
        running=capacity.running,
        route_priority=route_priority,
        ended=capacity.ended,
    )
