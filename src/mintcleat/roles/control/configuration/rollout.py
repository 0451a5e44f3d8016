"""Plans rollouts on the config leader.

The planner compares the upstreams with the manifest and commits the next steps
towards it.
"""

from typing import Any
from typing import Protocol

from loguru import logger

from mintcleat.configuration import commands
from mintcleat.configuration import machine
from mintcleat.configuration import plan
from mintcleat.configuration import rollouts
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.roles import orders
from mintcleat.roles.control.configuration import membership

PLAN_INTERVAL_SECONDS = 1.0
MODEL = "model"


class Leader(Protocol):
    """The part of the config service that the planner uses."""

    machine: machine.ConfigMachine
    membership: membership.Membership
    streams: stream_ports.Streams
    timers: timer_ports.Timers
    leader_epoch: int
    old_leases_end_at: float

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970, unaffected by clock steps."""

    def leads(self) -> bool:
        """Returns whether this instance may commit now."""


class Planner:
    """Plans and sends orders while this instance leads.

    Attributes:
        planning: Whether a planning round is in progress.
        observed: State and model of each upstream, and the `steady_time` at
            which this leader first observed them.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.sender = orders.OrderSender(leader)
        self.planning = False
        self.observed: dict[identities.Incarnation, tuple[str, str, float]] = {}

    def start(self) -> None:
        """Starts planning every `PLAN_INTERVAL_SECONDS`."""
        self.leader.timers.every(PLAN_INTERVAL_SECONDS, self.tick)

    def tick(self) -> None:
        """Starts a planning round unless one is in progress.

        A new leader waits until the leases of earlier leaders have ended, as
        it does with pushes. Before that, it may not know every upstream, and
        a rollout that counts too few ready ones would stall or be considered
        complete.
        """
        if self.planning or not self.leader.leads():
            return
        if self.leader.timers.now() < self.leader.old_leases_end_at:
            return
        self.planning = True
        self.leader.timers.spawn(self._plan)

    def _plan(self) -> None:
        try:
            self._drop_departed()
            current = self.leader.machine.document.manifest()
            for name, service in sorted(current.services.items()):
                if service.kind == MODEL:
                    self._plan_service(name, service, current.policies)
        except errors.MintcleatError as error:
            logger.info("Planning is postponed: {}", error.detail)
        finally:
            self.planning = False

    def _plan_service(
        self, name: str, service: manifest.Service, policies: manifest.Policies
    ) -> None:
        announced = {
            item.sidecar.instance: item
            for item in self.leader.membership.table.view.values()
            if item.service == name
        }
        if not announced:
            return
        view = self._view(name, service, policies, list(announced.values()))
        for step in plan.next_steps(view):
            self._commit(name, step)
        self._send_pending(name, announced, policies)

    def _view(
        self,
        name: str,
        service: manifest.Service,
        policies: manifest.Policies,
        announced: list[member_messages.Announcement],
    ) -> plan.View:
        state = self.leader.machine
        upstreams = [
            plan.Upstream(
                item.sidecar.instance,
                item.sidecar.epoch,
                item.failure_domain,
                item.state,
                item.model,
                state.is_draining(item.sidecar.instance, item.failure_domain),
                state.ledger.orders.get(item.sidecar.instance),
                self._observed_since(item),
            )
            for item in sorted(announced, key=lambda item: item.sidecar)
        ]
        return plan.View(
            name,
            plan.target_of(service),
            service.floor,
            service.replicas,
            policies.rollout_pause,
            upstreams,
            state.ledger.rollouts.get(name),
            self.leader.steady_time(),
        )

    def _observed_since(self, item: member_messages.Announcement) -> float:
        """Returns since when this leader observes the state and model.

        A new leader starts again, which can only make a pause longer.
        """
        state, model, since = self.observed.get(item.sidecar, ("", "", 0.0))
        if (state, model) != (item.state, item.model):
            since = self.leader.steady_time()
            self.observed[item.sidecar] = (item.state, item.model, since)
        return since

    def _drop_departed(self) -> None:
        live = {
            item.sidecar for item in self.leader.membership.table.view.values()
        }
        for sidecar in [key for key in self.observed if key not in live]:
            del self.observed[sidecar]

    def _commit(self, name: str, step: plan.Step) -> None:
        leader_epoch = self.leader.leader_epoch
        at = self.leader.steady_time()
        match step:
            case plan.StartRollout(target=target, previous=previous):
                command: Any = commands.StartRollout(
                    leader_epoch, name, target, previous, at
                )
            case plan.SetState(state=state, reason=reason):
                command = commands.SetRollout(
                    leader_epoch, name, state, reason, at
                )
            case plan.SendOrder():
                command = commands.PlanOrder(
                    leader_epoch,
                    name,
                    step.instance,
                    step.epoch,
                    step.action,
                    step.model,
                    at,
                )
        self.leader.propose(command)

    def _send_pending(
        self,
        name: str,
        announced: dict[str, member_messages.Announcement],
        policies: manifest.Policies,
    ) -> None:
        """Sends orders without an outcome, including earlier leaders' ones."""
        for instance, item in announced.items():
            order = self.leader.machine.ledger.orders.get(instance)
            if order is None or order.outcome != rollouts.SENT:
                continue
            if order.epoch == item.sidecar.epoch:
                self.sender.send(name, item, order, policies)
