"""Chooses the upstreams that get backups of streams."""

import collections

from mintcleat.decisions import load_balancing
from mintcleat.decisions import retry
from mintcleat.decisions import stream_backups
from mintcleat.decisions import stream_moves
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.domain import routed_calls
from mintcleat.domain import stream_origins
from mintcleat.ports import directory as directory_port
from mintcleat.roles.entry import turn_client
from mintcleat.roles.entry import upstream_loads


class StreamBackups:
    """The backups of one entry's streams.

    Attributes:
        budgets: Budget of backups, by service.
    """

    def __init__(
        self,
        configuration: directory_port.Directory,
        loads: upstream_loads.UpstreamLoads,
    ) -> None:
        self.configuration = configuration
        self.loads = loads
        self.budgets: collections.defaultdict[str, retry.Budget] = (
            collections.defaultdict(
                lambda: retry.Budget(
                    stream_backups.FRACTION, stream_backups.RESERVE
                )
            )
        )

    def choose(
        self,
        call: routed_calls.RoutedCall,
        route: manifest.Route,
        service_name: str,
        service: manifest.Service,
        turn: turn_client.OpenedTurn | None,
        tried: set[str],
        upstream: member_messages.Registration,
    ) -> member_messages.Registration | None:
        """Returns the upstream for a backup of a stream; None for no backup.

        It has the version of the software that runs the stream: another one
        could not continue it.

        Args:
            call: The request.
            route: Its route.
            service_name: Service that runs it.
            service: That service's settings.
            turn: Its turn; None without one.
            tried: Incarnations that it was sent to, with the one that runs it.
            upstream: Upstream that runs it.
        """
        if not service.backups or not route.stream:
            return None
        if self.configuration.manifest().policies.stream_backups == "off":
            return None
        budget = self.budgets[service_name]
        # Each stream earns a fraction of a backup, whether it has one or not.
        budget.succeeded()
        may_resume = route.repeat == "resume" and route.attempts > 1
        completed = len(turn.chain) if turn else 0
        if not stream_backups.is_worthwhile(may_resume, completed):
            return None
        if not budget.allows():
            return None
        if not stream_moves.has_capacity(*self.loads.total_slots(service_name)):
            return None
        origin = stream_origins.KnownOrigin(
            stream_origins.StreamOrigin(upstream.service, upstream.version),
            stream_origins.Source.OWN,
        )
        found = self._destination(call, service_name, service, tried, origin)
        if found is not None:
            budget.take()
        return found

    def _destination(
        self,
        call: routed_calls.RoutedCall,
        service_name: str,
        service: manifest.Service,
        tried: set[str],
        origin: stream_origins.KnownOrigin,
    ) -> member_messages.Registration | None:
        """Returns the least loaded of a few upstreams with free memory."""
        estimates = self.loads.estimates(
            service_name, call, service.memory_tokens
        )
        names = [
            name
            for name in self.loads.sound_others(service_name, tried, origin)
            if estimates.slowdowns.get(name, 1.0) < load_balancing.MAX_SLOWDOWN
            and not estimates.is_crowded(name)
        ]
        names = load_balancing.compared_upstreams(call.request, names)
        if not names:
            return None
        return self.loads.known[min(names, key=estimates.load)]
