"""The stream that a node keeps to a control instance.

It renews the configuration lease, reports the applied revision and hands
every message to its owner. When the control instance is lost, silent or out
of lease itself, the stream moves to the next one.
"""

from typing import Any
from typing import Protocol

from loguru import logger
import xxhash

from mintcleat.configuration import lease
from mintcleat.configuration import transfer
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports

# After a control instance is lost, its nodes reconnect spread over this time;
# at once, they would all cost it a whole update in the same moment.
SPREAD = 0.5
# A node that knows no configuration refuses its callers meanwhile. It was
# given nothing yet, so its next try costs an instance no update.
START_SPREAD = 0.03
# A started node that passed its preferred instance over goes back to it after
# about this time, spread by half to both sides: by then an instance that lost
# its disk has been taken in again. Without it, all nodes that
# started together would stay with the leader.
HOME_SECONDS = 2.0


class Owner(Protocol):
    """What the stream needs of the node that owns it."""

    lease: lease.Lease

    def select_address(self, attempt: int) -> str:
        """Returns the address to try, or an empty text for none."""

    def follow_request(self) -> config_messages.FollowConfiguration:
        """Returns the first message of a stream."""

    def applied_revision(self) -> int:
        """Returns the revision applied now."""

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns what else to send now, on a new stream or an old one."""

    def handle_message(self, message: Any) -> None:
        """Handles a message of the control instance."""


class ConfigStream:
    """Keeps one stream open; see the module's text.

    Attributes:
        address: Control instance that serves the stream; empty for none.
        exchange: The open exchange.
        moves: Streams opened so far.
        homeward: Whether the preferred instance is tried next.
        passed_over: Whether the preferred instance was left for having
            nothing to give.
        reassembler: A large update that is arriving in parts.
    """

    def __init__(
        self,
        owner: Owner,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        renew: float = lease.RENEW,
        move_after: float = lease.MOVE_AFTER,
    ) -> None:
        self.owner = owner
        self.streams = streams
        self.timers = timers
        self.renew = renew
        self.move_after = move_after
        self.address = ""
        self.exchange: stream_ports.Exchange | None = None
        self.moves = 0
        self.homeward = False
        self.passed_over = False
        self.stopped = False
        self.reassembler = transfer.Reassembler()

    def start(self) -> None:
        """Runs the stream in a green thread until `stop`."""
        self.timers.spawn(self._run)

    def stop(self) -> None:
        """Closes the stream for good."""
        self.stopped = True
        self.close()

    def close(self) -> None:
        """Ends the present stream; a new one follows."""
        if self.exchange is not None:
            self.exchange.close()

    def return_to_preferred(self) -> None:
        """Ends the stream and tries the preferred control instance first."""
        self.homeward = True
        self.close()

    def report(self) -> None:
        """Reports the applied revision, and asks for a renewal."""
        exchange = self.exchange
        if exchange is None:
            return
        try:
            self._send_report(exchange, False)
        except errors.StreamClosed:
            return

    def _run(self) -> None:
        attempt = 0
        while not self.stopped:
            address = self.owner.select_address(attempt)
            if not address:
                self.timers.sleep(self.renew / 10)
                continue
            before = self.owner.lease.echo
            try:
                self._follow(address, attempt)
            except errors.MintcleatError as error:
                logger.debug("Stream to {} ended: {}", address, error.detail)
            except Exception:
                # Without a stream the node would be out of lease for good.
                logger.exception("The stream to {} failed.", address)
            finally:
                self.close()
                self.exchange = None
                self.address = ""
            self.passed_over |= not self.owner.applied_revision()
            renewed = self.owner.lease.echo > before
            attempt = 1 if renewed else attempt + 1
            if self.homeward:
                self.homeward = False
                attempt = 0
            if not self.stopped:
                self.timers.sleep(self._pause(attempt))

    def _follow(self, address: str, attempt: int) -> None:
        held = self.reassembler.progress()
        follow = self.owner.follow_request()._replace(
            digest=held.digest, received=held.size
        )
        exchange = self.streams.open(address, follow)
        self.exchange = exchange
        self.address = address
        self.moves += 1
        alive = self.timers.now()
        self.timers.spawn(self._beat, exchange)
        while not self.stopped:
            message = exchange.receive(self._wait(attempt))
            update = self.reassembler.take(message)
            if update is None:
                # A part of an update is a sign of life. Parts are finite, so
                # they keep a node at no instance that renews nothing.
                alive = self.timers.now()
                continue
            self.owner.handle_message(update)
            if self.passed_over and self.owner.applied_revision():
                self.passed_over = False
                away = HOME_SECONDS * (0.5 + self._part(attempt))
                self.timers.after(away, self.return_to_preferred)
            since = max(alive, self.owner.lease.echo)
            if self.timers.now() - since > self._wait(attempt):
                raise errors.StreamTimeout(f"{address} renews no lease.")

    def _wait(self, attempt: int) -> float:
        """Returns the seconds for which the instance may say nothing."""
        return lease.silence_timeout(
            self.owner.applied_revision(), attempt, self.move_after
        )

    def _beat(self, exchange: stream_ports.Exchange) -> None:
        first = True
        while self.exchange is exchange and not self.stopped:
            try:
                self._send_report(exchange, first)
            except errors.StreamClosed:
                return
            first = False
            self.timers.sleep(self.renew)

    def _send_report(
        self, exchange: stream_ports.Exchange, first: bool
    ) -> None:
        for message in self.owner.next_announcements(first):
            exchange.send(message)
        exchange.send(
            config_messages.RevisionApplied(
                self.owner.applied_revision(), self.timers.now()
            )
        )

    def _pause(self, attempt: int) -> float:
        """Returns a pause that differs from node to node."""
        longest = SPREAD if self.owner.applied_revision() else START_SPREAD
        return self._part(attempt) * min(longest, self.move_after / 4)

    def _part(self, attempt: int) -> float:
        """Returns a number from 0 to 1 that differs from node to node."""
        node = self.owner.follow_request().node
        seed = f"{node.instance}/{attempt}/{self.moves}"
        return xxhash.xxh32_intdigest(seed.encode()) / 2**32


def rank_addresses(instance: str, addresses: list[str]) -> list[str]:
    """Returns addresses by rendezvous hash, the preferred one first.

    Each node has its own order, so the nodes of a lost control instance
    spread evenly over the others.
    """

    def weight(address: str) -> int:
        return xxhash.xxh64_intdigest(f"{instance}|{address}".encode())

    return sorted(set(addresses), key=weight, reverse=True)
