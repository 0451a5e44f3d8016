"""The stream that a node keeps to a control instance.

It renews the configuration lease, reports the applied revision and passes
every message to its owner. When the control instance is lost, silent or
without a lease of its own, the node opens a stream to the next one.
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

# After a control instance is lost, its nodes reconnect at random within this
# time. If all of them reconnected at once, the next instance would have to
# send many whole updates at the same moment.
RECONNECT_JITTER_SECONDS = 0.5
# The same for a node without a configuration, which refuses its callers until
# it has one. It has received nothing yet, so trying another instance makes none
# send an update a second time.
START_JITTER_SECONDS = 0.03
# A starting node that skipped its preferred instance, because that had no
# configuration, returns to it after this time, plus or minus a random half. By
# then an instance that lost its disk has rejoined its group. Without the
# return, all nodes that started together would stay with the leader.
RETURN_SECONDS = 2.0


class Owner(Protocol):
    """The node that owns the stream, as far as the stream uses it."""

    lease: lease.Lease

    def select_address(self, attempt: int) -> str:
        """Returns the address to try, or an empty string for none."""

    def follow_request(self) -> config_messages.FollowConfiguration:
        """Returns the first message of a stream."""

    def applied_revision(self) -> int:
        """Returns the revision applied now."""

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns the messages to send before the next report.

        Args:
            first: Whether the stream is new, so that nothing was sent on it.
        """

    def handle_message(self, message: Any) -> None:
        """Handles a message of the control instance."""


class ConfigStream:
    """Keeps one stream open; see the module's documentation.

    Attributes:
        renew: Seconds between two reports.
        move_after: Seconds of silence after which a node that has a
            configuration moves to another control instance.
        address: Control instance that serves the stream; empty for none.
        exchange: The open exchange.
        streams_opened: Number of streams opened so far.
        returning: Whether the preferred instance is tried next.
        skipped_preferred: Whether the preferred instance was skipped because
            it had no configuration.
        idle: Whether the owner leads. It then has nothing to follow, and an
            address is looked for less often.
        reassembler: Collects the parts of a large update.
    """

    def __init__(
        self,
        owner: Owner,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        renew: float = lease.RENEW_SECONDS,
        move_after: float = lease.MOVE_AFTER_SECONDS,
    ) -> None:
        self.owner = owner
        self.streams = streams
        self.timers = timers
        self.renew = renew
        self.move_after = move_after
        self.address = ""
        self.exchange: stream_ports.Exchange | None = None
        self.streams_opened = 0
        self.returning = False
        self.skipped_preferred = False
        self.idle = False
        self.stopped = False
        self.reassembler = transfer.Reassembler()

    def start(self) -> None:
        """Runs the stream in a green thread until `stop`."""
        self.timers.spawn(self._run)

    def stop(self) -> None:
        """Closes the stream; no other is opened."""
        self.stopped = True
        self.close()

    def close(self) -> None:
        """Closes the current stream; a new one is opened after a pause."""
        if self.exchange is not None:
            self.exchange.close()

    def return_to_preferred(self) -> None:
        """Closes the stream and reconnects to the preferred instance."""
        self.returning = True
        self.close()

    def report(self) -> None:
        """Reports the applied revision now, which also renews the lease."""
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
                if self.idle:
                    self.timers.sleep_to_next(self.renew / 2)
                else:
                    self.timers.sleep(self.renew / 10)
                continue
            before = self.owner.lease.echo
            try:
                self._follow(address, attempt)
            except errors.MintcleatError as error:
                logger.debug("Stream to {} ended: {}", address, error.detail)
            except Exception:
                # The loop must go on: without a stream the node would never
                # get a lease again.
                logger.exception("The stream to {} failed.", address)
            finally:
                self.close()
                self.exchange = None
                self.address = ""
            self.skipped_preferred |= not self.owner.applied_revision()
            renewed = self.owner.lease.echo > before
            attempt = 1 if renewed else attempt + 1
            if self.returning:
                self.returning = False
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
        self.streams_opened += 1
        last_part = self.timers.now()
        self.timers.spawn(self._report_forever, exchange)
        while not self.stopped:
            message = exchange.receive(self._silence_timeout(attempt))
            update = self.reassembler.take(message)
            if update is None:
                # A part of an update shows that the instance is alive. An
                # update has a limited number of parts, so they can't keep a
                # node at an instance that never renews its lease.
                last_part = self.timers.now()
                continue
            self.owner.handle_message(update)
            if self.skipped_preferred and self.owner.applied_revision():
                self.skipped_preferred = False
                delay = RETURN_SECONDS * (0.5 + self._jitter(attempt))
                self.timers.after(delay, self.return_to_preferred)
            since = max(last_part, self.owner.lease.echo)
            if self.timers.now() - since > self._silence_timeout(attempt):
                raise errors.StreamTimeout(
                    f"{address} has not renewed the lease in time."
                )

    def _silence_timeout(self, attempt: int) -> float:
        """Returns the seconds of silence after which the stream is closed."""
        return lease.silence_timeout(
            self.owner.applied_revision(), attempt, self.move_after
        )

    def _report_forever(self, exchange: stream_ports.Exchange) -> None:
        first = True
        while self.exchange is exchange and not self.stopped:
            try:
                self._send_report(exchange, first)
            except errors.StreamClosed:
                return
            first = False
            self.timers.sleep_to_next(self.renew)

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
        """Returns the seconds to wait before reconnecting, with jitter."""
        longest = (
            RECONNECT_JITTER_SECONDS
            if self.owner.applied_revision()
            else START_JITTER_SECONDS
        )
        return self._jitter(attempt) * min(longest, self.move_after / 4)

    def _jitter(self, attempt: int) -> float:
        """Returns a pseudo-random number from 0 to 1, seeded by the node."""
        node = self.owner.follow_request().node
        seed = f"{node.instance}/{attempt}/{self.streams_opened}"
        return xxhash.xxh32_intdigest(seed.encode()) / 2**32


def rank_addresses(instance: str, addresses: list[str]) -> list[str]:
    """Returns addresses ordered by rendezvous hash, the preferred one first.

    The order differs from node to node, so the nodes of a lost control
    instance are spread evenly over the remaining ones.

    Args:
        instance: Name of the node's instance.
        addresses: Control instances; duplicates are removed.
    """

    def weight(address: str) -> int:
        return xxhash.xxh64_intdigest(f"{instance}|{address}".encode())

    return sorted(set(addresses), key=weight, reverse=True)
