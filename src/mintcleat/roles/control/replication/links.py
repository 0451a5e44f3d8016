"""Sends frames between instances over one long-lived exchange per peer.

Frames are lost when their connection fails. The consensus core sends them
again if needed, so a link never blocks its caller and its queue is bounded.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

from eventlet import queue
from loguru import logger

from mintcleat.domain import errors
from mintcleat.domain import replication_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports

# Frames are sent in parts of this size, so that a heartbeat waits only briefly
# while a long frame is sent.
PART_BYTES = 1024 * 1024
# Length of a peer's queue. Frames that don't fit are dropped; the consensus
# core sends them again.
_MAX_QUEUED_FRAMES = 256
# The pause before a reconnect grows by this with each failure in a row.
_REDIAL_SECONDS = 0.2
_MAX_REDIAL_SECONDS = 0.5
# Shortest pause, for a peer that sends frames but refuses connections.
_MIN_REDIAL_SECONDS = 0.02


class Link:
    """The queue and the connection to one address.

    Attributes:
        peer_seen: Holds an item if the peer has sent a frame since the last
            attempt to connect to it.
        failures: Failed connections in a row.
        exchange: The open exchange while the link's thread is idle; None
            while it is writing or there is no connection.
    """

    def __init__(self) -> None:
        self.peer_seen: queue.LightQueue = queue.LightQueue(1)
        self.queue: queue.LightQueue = queue.LightQueue(_MAX_QUEUED_FRAMES)
        self.failures = 0
        self.sent_bytes = 0
        self.exchange: stream_ports.Exchange | None = None

    def send_now(self, payload: bytes) -> bool:
        """Sends a frame at once if the link is idle; returns whether it did.

        The link's thread runs only when the calling thread blocks. If a
        leader queued its entries and then synced its disk, its followers
        would get them only after the sync. Sent at once, leader and followers
        sync in parallel.
        """
        if self.exchange is None or not self.queue.empty():
            return False
        if len(payload) > PART_BYTES:
            return False
        frame = replication_messages.ReplicationFrame(payload, more=False)
        if not self.exchange.try_send(frame):
            return False
        self.sent_bytes += len(payload)
        return True


class Links:
    """Sends frames to peers and delivers the frames received from them.

    Attributes:
        deliver: Called with each complete frame received.
        links: By address.
        bulk_bytes: Size of the large frames that are being sent.
    """

    def __init__(
        self,
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        deliver: Callable[[bytes], None],
    ) -> None:
        self.streams = streams
        self.timers = timers
        self.deliver = deliver
        self.links: dict[str, Link] = {}
        self.bulk_bytes = 0
        self.running = True
        streams.handle(replication_messages.ReplicationFrame, self._serve)

    def send(self, address: str, payload: bytes) -> None:
        """Sends or queues a frame; drops it if the queue is full."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link()
            self.timers.spawn(self._write_forever, address, link)
        if link.send_now(payload):
            return
        with contextlib.suppress(queue.Full):
            link.queue.put_nowait(payload)

    def send_bulk(
        self,
        address: str,
        pieces: Sequence[bytes],
        ended: Callable[[bool], None],
    ) -> None:
        """Sends a large frame on a separate exchange.

        Args:
            address: The peer's address; empty if it is not known.
            pieces: The frame in pieces, which are not joined here in order to
                save memory.
            ended: Called once, with whether all of the frame was sent.
        """
        if not address:
            ended(False)
            return
        self.timers.spawn(self._write_bulk, address, pieces, ended)

    def peer_seen(self, address: str) -> None:
        """Notes that a peer has sent a frame, so it can be reconnected now.

        After a restart of all processes, each finds most others not started
        yet. Without this, a peer that starts during the pause before a
        reconnect gets no frames, and gives no vote, until the pause is over.
        """
        link = self.links.get(address)
        if link is not None and link.peer_seen.empty():
            link.peer_seen.put_nowait(None)

    def stop(self) -> None:
        """Stops every link."""
        self.running = False
        for link in self.links.values():
            with contextlib.suppress(queue.Full):
                link.queue.put_nowait(None)

    def _write_forever(self, address: str, link: Link) -> None:
        while self.running:
            payload = link.queue.get()
            if payload is None:
                break
            try:
                self._write_from(address, link, payload)
            except errors.StreamClosed:
                self._wait_before_redial(link)
        self.links.pop(address, None)

    def _write_from(self, address: str, link: Link, payload: bytes) -> None:
        parts = _parts(payload)
        if not link.peer_seen.empty():
            link.peer_seen.get_nowait()
        exchange = self.streams.open(address, next(parts))
        try:
            for part in parts:
                exchange.send(part)
            link.failures = 0
            while self.running:
                link.exchange = exchange
                payload = link.queue.get()
                link.exchange = None
                if payload is None:
                    return
                link.sent_bytes += len(payload)
                for part in _parts(payload):
                    exchange.send(part)
        finally:
            link.exchange = None
            exchange.close()

    def _wait_before_redial(self, link: Link) -> None:
        link.failures += 1
        pause = min(_REDIAL_SECONDS * link.failures, _MAX_REDIAL_SECONDS)
        self.timers.sleep(_MIN_REDIAL_SECONDS)
        with contextlib.suppress(queue.Empty):
            link.peer_seen.get(timeout=pause - _MIN_REDIAL_SECONDS)
        # Frames queued meanwhile are stale; the core has sent them again.
        while not link.queue.empty():
            if link.queue.get_nowait() is None:
                self.running = False

    def _write_bulk(
        self,
        address: str,
        pieces: Sequence[bytes],
        ended: Callable[[bool], None],
    ) -> None:
        parts = _parts(*pieces)
        size = sum(map(len, pieces))
        self.bulk_bytes += size
        try:
            exchange = self.streams.open(address, next(parts))
            try:
                for part in parts:
                    exchange.send(part)
                    self.timers.sleep(0)
            finally:
                exchange.close()
        except errors.StreamClosed:
            ended(False)
        else:
            ended(True)
        finally:
            self.bulk_bytes -= size

    def queued_bytes(self) -> int:
        """Returns the size of all queued frames in bytes."""
        return sum(
            len(payload or b"")
            for link in self.links.values()
            for payload in link.queue.queue
        )

    def _serve(
        self,
        exchange: stream_ports.Exchange,
        first: replication_messages.ReplicationFrame,
    ) -> None:
        part = first
        received: list[bytes] = []
        while self.running:
            received.append(part.payload)
            if not part.more:
                self._deliver(exchange.peer, received)
            try:
                part = exchange.receive()
            except errors.StreamClosed:
                return

    def _deliver(self, peer: str, parts: list[bytes]) -> None:
        """Delivers a frame; removes its parts, as it may be a large state."""
        payload = b"".join(parts)
        parts.clear()
        try:
            self.deliver(payload)
        except errors.BadRequest as error:
            logger.warning("Ignored an invalid frame from {}: {}", peer, error)


def _parts(
    *pieces: bytes,
) -> Iterator[replication_messages.ReplicationFrame]:
    """Yields a frame's parts.

    Only one part is copied at a time, because a snapshot can be large.
    """
    nonempty = [piece for piece in pieces if piece] or [b""]
    for piece in nonempty:
        for start in range(0, max(1, len(piece)), PART_BYTES):
            end = start + PART_BYTES
            last = piece is nonempty[-1] and end >= len(piece)
            yield replication_messages.ReplicationFrame(
                piece[start:end], more=not last
            )
