"""Frames between instances: one long-lived exchange per peer.

Frames are lost with their connection; the consensus core sends again what
matters. So a link never keeps its caller waiting and holds only so much.
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

# A frame travels in parts, so that a heartbeat waits behind little.
PART_BYTES = 1024 * 1024
# A silent peer's queue is bounded: what does not fit is sent again later.
_MAX_QUEUED = 256
_REDIAL_SECONDS = 0.2
_LONGEST_REDIAL_SECONDS = 0.5
# A peer that is heard and can't be dialled is not dialled more often.
_SHORTEST_REDIAL_SECONDS = 0.02


class Link:
    """The frames on their way to one address.

    Attributes:
        exchange: Set while no frame is being written by the link's thread.
        called: Holds an item once the peer was heard since the last dial.
    """

    def __init__(self) -> None:
        self.called: queue.LightQueue = queue.LightQueue(1)
        self.queue: queue.LightQueue = queue.LightQueue(_MAX_QUEUED)
        self.failures = 0
        self.sent_bytes = 0
        self.exchange: stream_ports.Exchange | None = None

    def send_now(self, payload: bytes) -> bool:
        """Sends a frame before returning, if the link is idle and takes it.

        The writer's thread runs only once this one waits. A leader that
        queues its entries and then syncs its disk would keep them from its
        followers until after the sync; they sync at the same time instead.
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
    """Sends frames to peers and delivers theirs.

    Attributes:
        deliver: Called with each whole frame that comes.
        bulk_bytes: Bytes of the large frames on their way.
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
        """Queues a frame; drops it when the peer takes none."""
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
        """Sends a large frame on an exchange of its own.

        Args:
            address: Where to; empty when it is not known.
            pieces: The frame; it is not joined here.
            ended: Called once, with whether all of it was sent.
        """
        if not address:
            ended(False)
            return
        self.timers.spawn(self._write_bulk, address, pieces, ended)

    def peer_seen(self, address: str) -> None:
        """Takes a frame from a peer as the word that it can be dialled.

        After a loss of all processes each finds most others not started yet.
        Without this, one that starts in the middle of a pause waits for the
        rest of it, and the votes that it could give with it.
        """
        link = self.links.get(address)
        if link is not None and link.called.empty():
            link.called.put_nowait(None)

    def stop(self) -> None:
        """Ends every link."""
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
                self._pause(link)
        self.links.pop(address, None)

    def _write_from(self, address: str, link: Link, payload: bytes) -> None:
        parts = _parts(payload)
        if not link.called.empty():
            link.called.get_nowait()
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

    def _pause(self, link: Link) -> None:
        link.failures += 1
        pause = min(_REDIAL_SECONDS * link.failures, _LONGEST_REDIAL_SECONDS)
        self.timers.sleep(_SHORTEST_REDIAL_SECONDS)
        with contextlib.suppress(queue.Empty):
            link.called.get(timeout=pause - _SHORTEST_REDIAL_SECONDS)
        # What has waited since is stale; the core has sent it again.
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
        """Returns the bytes of frames that wait for their link."""
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
        held: list[bytes] = []
        while self.running:
            held.append(part.payload)
            if not part.more:
                payload = b"".join(held)
                held = []
                self._deliver(exchange.peer, payload)
            try:
                part = exchange.receive()
            except errors.StreamClosed:
                return

    def _deliver(self, peer: str, payload: bytes) -> None:
        try:
            self.deliver(payload)
        except errors.BadRequest as error:
            logger.warning("{} sent a bad frame: {}", peer, error)


def _parts(
    *pieces: bytes,
) -> Iterator[replication_messages.ReplicationFrame]:
    """Yields a frame's parts, one at a time: a snapshot is not copied whole."""
    filled = [piece for piece in pieces if piece] or [b""]
    for piece in filled:
        for start in range(0, max(1, len(piece)), PART_BYTES):
            end = start + PART_BYTES
            last = piece is filled[-1] and end >= len(piece)
            yield replication_messages.ReplicationFrame(
                piece[start:end], more=not last
            )
