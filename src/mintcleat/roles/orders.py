"""Orders to upstreams: sending by the leader and execution at the sidecar."""

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
ORDER_TIMEOUT = 600.0
# An order without an outcome for this time counts as failed. Otherwise an
# engine that hangs would block its rollout forever.
ORDER_FAILURE_SECONDS = 1_200.0
# Running calls have this time to end before an order changes the model.
IDLE_TIMEOUT = 300.0
IDLE_POLL_SECONDS = 0.1


class Leader(Protocol):
    """The part of the config service that the sender uses."""

    machine: machine.ConfigMachine
    streams: stream_ports.Streams
    timers: timer_ports.Timers
    leader_epoch: int

    def propose(self, command: Any) -> Any:
        """Commits a command and returns its result."""

    def steady_time(self) -> float:
        """Returns seconds since 1970 that no step of a clock changes."""

    def leads(self) -> bool:
        """Returns whether this instance leads and may make decisions now."""


class OrderSender:
    """Sends committed orders and commits their outcomes.

    Attributes:
        sending: Fencing tokens of the orders that are being sent.
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
        """Sends an order in a new green thread, unless it is being sent."""
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
            if self._take_permit(order, policies):
                outcome = self._deliver(announced, order)
                late = (
                    self.leader.steady_time() - order.at > ORDER_FAILURE_SECONDS
                )
                if not outcome and late:
                    outcome = rollouts.FAILED
                if outcome:
                    self._end(service, announced, order, outcome)
        except errors.MintcleatError as error:
            logger.info(
                "Order {} is delayed: {}", order.fencing_token, error.detail
            )
        finally:
            self.sending.discard(order.fencing_token)

    def _take_permit(
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
        """Sends the order once and returns its outcome; empty if unknown.

        An order of unknown outcome is sent again with the same fencing token.
        The sidecar executes it once.
        """
        message = config_messages.Order(
            announced.sidecar, order.fencing_token, order.action, order.model
        )
        try:
            self.leader.streams.ask(announced.address, message, ORDER_TIMEOUT)
        except (errors.StreamClosed, errors.StreamTimeout):
            return ""
        except (errors.FencedOff, errors.Draining):
            # Neither error is caused by the version that was to be loaded.
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
    """The upstream, as far as orders are concerned."""

    def pause_admission(self, paused: bool) -> None:
        """Refuses new work, or accepts it again."""

    def is_busy(self) -> bool:
        """Returns whether calls wait or run."""

    def execute_order(self, number: int, action: str, model: str) -> None:
        """Sends the order to the upstream and waits until it is done.

        Args:
            number: Fencing token of the order.
            action: Kind of the order, such as `load`.
            model: Model that it is about.
        """


class OrderReceiver:
    """Checks and executes the orders that a sidecar receives.

    All orders to the upstream go through it.

    Attributes:
        read_fencing_token: Asks control for the highest committed fencing
            token.
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
        self.gate = fencing.FencingGate()
        self.lock = semaphore.Semaphore()

    def handle(
        self, exchange: stream_ports.Exchange, order: config_messages.Order
    ) -> None:
        """Executes an order once and replies; a repeated one only replies.

        Raises:
            errors.FencedOff: An order with a higher fencing token was
                received.
            errors.Draining: Running calls did not end in time.
        """
        if order.sidecar != self.node:
            raise errors.FencedOff(
                f"The order is for {order.sidecar}, this is {self.node}."
            )
        if self.gate.highest is None:
            self.gate.learn(self.read_fencing_token())
        self.gate.admit(order.fencing_token)
        with self.lock:
            self._execute(order)
        exchange.send(identities.Done(order.model))

    def _execute(self, order: config_messages.Order) -> None:
        # Checked again: while this order waited for the lock, a newer one may
        # have arrived, or a copy of this one may have been executed.
        if not self.gate.admit(order.fencing_token):
            return
        self.upstream.pause_admission(True)
        try:
            self._wait_idle()
            if not self.gate.is_current(order.fencing_token):
                raise errors.FencedOff(
                    "A newer order arrived while this one waited for calls."
                )
            self.upstream.execute_order(
                order.fencing_token, order.action, order.model
            )
            self.gate.finish(order.fencing_token)
        finally:
            self.upstream.pause_admission(False)

    def _wait_idle(self) -> None:
        """Waits for running calls to end, since orders don't cancel them."""
        deadline = self.timers.now() + IDLE_TIMEOUT
        while self.upstream.is_busy():
            if self.timers.now() >= deadline:
                raise errors.Draining(
                    f"Calls still ran after {IDLE_TIMEOUT:g} s; the order was"
                    " not executed."
                )
            self.timers.sleep(IDLE_POLL_SECONDS)
