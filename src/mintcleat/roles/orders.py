"""Orders to upstreams: the leader's sending and the sidecar's receiving."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from eventlet import semaphore
from loguru import logger

from mintcleat.configuration import commands
from mintcleat.configuration import fencing
from mintcleat.configuration import machine
from mintcleat.configuration import rollouts
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.domain import member_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports

# Loading a model from the weight store takes minutes.
ORDER_SECONDS = 600.0
# An order without outcome for so long counts as failed: an engine that hangs
# would hold its rollout up for good.
ORDER_LIMIT = 1_200.0
# Calls under way get this time to end before an order changes the model.
IDLE_SECONDS = 300.0
IDLE_STEP = 0.1


class Leader(Protocol):
    """What sending needs of the config service."""

    machine: machine.ConfigMachine
    streams: stream_ports.Streams
    timers: timer_ports.Timers
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970 that no step of a clock changes."""

    def leads(self) -> bool:
        """Tells whether this instance may decide now."""


class OrderSender:
    """Sends committed orders until their outcome is committed.

    Attributes:
        sending: Fencing numbers of the orders that are being sent.
    """

    def __init__(self, leader: Leader) -> None:
        self.leader = leader
        self.sending: set[int] = set()

    def send(
        self,
        service: str,
        announced: member_messages.Announcement,
        order: rollouts.Order,
        policies: manifest.Policies,
    ) -> None:
        """Starts sending an order, unless it is being sent already."""
        if order.fencing_token in self.sending:
            return
        self.sending.add(order.fencing_token)
        self.leader.timers.spawn(
            self._send, service, announced, order, policies
        )

    def _send(
        self,
        service: str,
        announced: member_messages.Announcement,
        order: rollouts.Order,
        policies: manifest.Policies,
    ) -> None:
        try:
            if self._permitted(order, policies):
                outcome = self._deliver(announced, order)
                late = self.leader.steady_time() - order.at > ORDER_LIMIT
                if not outcome and late:
                    outcome = rollouts.FAILED
                if outcome:
                    self._end(service, announced, order, outcome)
        except errors.MintcleatError as error:
            logger.info("Order {} waits: {}", order.fencing_token, error.detail)
        finally:
            self.sending.discard(order.fencing_token)

    def _permitted(
        self, order: rollouts.Order, policies: manifest.Policies
    ) -> bool:
        if order.action != "load":
            return True
        command = commands.TakePermit(
            self.leader.leader_epoch,
            str(order.fencing_token),
            policies.loads_per_minute,
            policies.load_burst,
            self.leader.steady_time(),
        )
        try:
            return self.leader.propose(command)
        except errors.Overloaded:
            return False

    def _deliver(
        self, announced: member_messages.Announcement, order: rollouts.Order
    ) -> str:
        """Returns the outcome; empty when it is not known.

        An order of unknown outcome is sent again under its number, which the
        sidecar carries out once.
        """
        message = config_messages.Order(
            announced.sidecar, order.fencing_token, order.action, order.model
        )
        try:
            self.leader.streams.ask(announced.address, message, ORDER_SECONDS)
        except (errors.StreamClosed, errors.StreamTimeout):
            return ""
        except (errors.FencedOff, errors.Draining):
            # Neither says anything about the version that it was to load.
            return ""
        except errors.MintcleatError as error:
            logger.warning(
                "Order {} to {} failed: {}",
                order.fencing_token,
                announced.sidecar.instance,
                error.detail,
            )
            return rollouts.FAILED
        return rollouts.DONE

    def _end(
        self,
        service: str,
        announced: member_messages.Announcement,
        order: rollouts.Order,
        outcome: str,
    ) -> None:
        self.leader.propose(
            commands.EndOrder(
                self.leader.leader_epoch,
                service,
                announced.sidecar.instance,
                order.fencing_token,
                outcome,
                self.leader.steady_time(),
            )
        )


class Upstream(Protocol):
    """What an order does at the upstream."""

    def hold_work(self, held: bool) -> None:
        """Refuses new work while an order is carried out, or takes it."""

    def is_busy(self) -> bool:
        """Tells whether calls are under way."""

    def carry_out(self, number: int, action: str, model: str) -> None:
        """Hands the order to the upstream and waits for its end."""


class OrderReceiver:
    """The sidecar's side: the only path of orders to its upstream.

    Attributes:
        read_fencing_token: Asks control for the highest committed number.
    """

    def __init__(
        self,
        node: identities.Incarnation,
        upstream: Upstream,
        timers: timer_ports.Timers,
        read_fencing_token: Callable[[], int],
    ) -> None:
        self.node = node
        self.upstream = upstream
        self.timers = timers
        self.read_fencing_token = read_fencing_token
        self.gate = fencing.Gate()
        self.lock = semaphore.Semaphore()

    def handle(
        self, exchange: stream_ports.Exchange, order: config_messages.Order
    ) -> None:
        """Carries an order out once; answers a repeated one alike.

        Raises:
            errors.FencedOff: A newer order was seen.
            errors.Draining: Calls under way did not end in time.
        """
        if order.sidecar != self.node:
            raise errors.FencedOff("The order is for another incarnation.")
        if self.gate.highest is None:
            self.gate.learn(self.read_fencing_token())
        self.gate.admit(order.fencing_token)
        with self.lock:
            self._carry_out(order)
        exchange.send(identities.Done(order.model))

    def _carry_out(self, order: config_messages.Order) -> None:
        # Asked again: while this order waited for the one before it, a newer
        # one may have come, or a copy of this one may have been carried out.
        if not self.gate.admit(order.fencing_token):
            return
        self.upstream.hold_work(True)
        try:
            self._wait_idle()
            if not self.gate.is_current(order.fencing_token):
                raise errors.FencedOff("A newer order came.")
            self.upstream.carry_out(
                order.fencing_token, order.action, order.model
            )
            self.gate.finish(order.fencing_token)
        finally:
            self.upstream.hold_work(False)

    def _wait_idle(self) -> None:
        """Waits for the calls under way; an order cuts no request."""
        until = self.timers.now() + IDLE_SECONDS
        while self.upstream.is_busy():
            if self.timers.now() >= until:
                raise errors.Draining("Calls under way did not end in time.")
            self.timers.sleep(IDLE_STEP)
