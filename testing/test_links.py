"""Frames between control instances, over real sockets."""

import time
import tracemalloc
from unittest import mock

import eventlet
import testtools
from testtools import matchers

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.domain import errors
from mintcleat.domain import replication_messages
from mintcleat.roles.control.replication import links as replication_links


class LinksTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.frames: list[bytes] = []
        self.server = streams.TcpStreams("127.0.0.1:0")
        self.client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.stop)
        clock = timers.EventletTimers()
        replication_links.Links(self.server, clock, self.frames.append)
        self.links = replication_links.Links(
            self.client, clock, self.frames.append
        )
        self.addCleanup(self.links.stop)

    def test_delivered_frame_is_not_kept_until_the_next_one(self) -> None:
        # A follower held the state that it had received, beside its own.
        hub = mock.Mock()
        links = replication_links.Links(hub, mock.Mock(), lambda _: None)
        _, serve = hub.handle.call_args.args
        held = []

        class Sender:
            peer = "c1:1"
            parts = 15

            def receive(self) -> replication_messages.ReplicationFrame:
                if not self.parts:
                    held.append(tracemalloc.get_traced_memory()[0])
                    raise errors.StreamClosed("No more.")
                self.parts -= 1
                return replication_messages.ReplicationFrame(
                    bytes(1_000_000), more=self.parts > 0
                )

        first = replication_messages.ReplicationFrame(b"", more=True)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        serve(Sender(), first)
        self.assertTrue(links.running)
        self.assertLess(held[0], 3_000_000)

    def test_large_frame_arrives_whole_beside_small_ones(self) -> None:
        large = bytes(range(256)) * 12_000
        ended: list[bool] = []
        self.links.send_bulk(
            self.server.address, (large[:9], large[9:]), ended.append
        )
        for number in range(3):
            self.links.send(self.server.address, b"%d" % number)
        for _ in range(500):
            if len(self.frames) == 4:
                break
            eventlet.sleep(0.01)
        self.assertEqual([True], ended)
        self.assertIn(large, self.frames)
        small = [frame for frame in self.frames if frame != large]
        self.assertEqual([b"0", b"1", b"2"], small)

    def test_peer_that_reads_nothing_never_blocks_the_sender(self) -> None:
        """A peer accepts the connection and then reads nothing.

        The socket buffers fill up. Frames that don't fit into the bounded
        queue are dropped, and the caller never blocks.
        """
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        for _ in range(1000):
            self.links.send(f"{host}:{port}", bytes(100_000))
            eventlet.sleep(0)
        link = self.links.links[f"{host}:{port}"]
        self.assertTrue(link.queue.full())
        # The size of the queue is reported, so that operators can find a
        # stuck peer.
        queued = link.queue.qsize() * 100_000
        self.assertEqual(queued, self.links.queued_bytes())

    def test_peer_that_sends_is_redialled_before_the_pause_ends(self) -> None:
        """All processes restart, each at a different time.

        A link that can't connect pauses, longer each time, and drops the
        queued frames. Its peer starts during the pause and sends a Hello.
        An election needs the frames in the other direction without delay.
        """
        reserved = streams.TcpStreams("127.0.0.1:0")
        address = reserved.address
        reserved.stop()
        eventlet.sleep(0.01)
        self.links.send(address, b"early")
        link = self.links.links[address]
        while link.failures < 3:
            self.links.send(address, b"early")
            eventlet.sleep(0.005)
        peer = streams.TcpStreams(address)
        self.addCleanup(peer.stop)
        frames: list[bytes] = []
        replication_links.Links(peer, timers.EventletTimers(), frames.append)
        self.links.send(address, b"waits")
        began = time.monotonic()
        self.links.peer_seen(address)
        while not frames and time.monotonic() - began < 2.0:
            self.links.send(address, b"asks")
            eventlet.sleep(0.005)
        self.assertTrue(frames)
        self.assertThat(time.monotonic() - began, matchers.LessThan(0.15))

    def test_snapshot_to_an_unreachable_peer_is_reported(self) -> None:
        gone = streams.TcpStreams("127.0.0.1:0")
        gone.stop()
        ended: list[bool] = []
        self.links.send_bulk(gone.address, (b"state",), ended.append)
        eventlet.sleep(0.2)
        self.assertEqual([False], ended)
