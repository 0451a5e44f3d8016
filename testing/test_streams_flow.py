"""Tests flow control and connection loss of streams."""

import os

import eventlet
from eventlet import hubs
import testtools
from testtools import matchers

from mintcleat.adapters import streams
from mintcleat.adapters import streams_frames
from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import identities
from mintcleat.domain import replication_messages
from mintcleat.ports import streams as ports


class FirstMessageTest(testtools.TestCase):
    def test_first_message_over_the_window_lets_the_second_follow(
        self,
    ) -> None:
        """An exchange is opened with a message larger than the window.

        If the receiver granted credit only after a second message, the sender
        would wait for credit and the receiver for the message: a large
        replication frame would never be transferred, and a replica that needs
        a snapshot would not catch up.
        """
        server = streams.TcpStreams("127.0.0.1:0")
        client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(server.stop)
        self.addCleanup(client.stop)
        large = replication_messages.ReplicationFrame(bytes(1 << 20), more=True)

        def answer(
            exchange: ports.Exchange,
            first: replication_messages.ReplicationFrame,
        ) -> None:
            second = exchange.receive(5.0)
            exchange.send(identities.Done(str(len(second.payload))))

        server.handle(replication_messages.ReplicationFrame, answer)
        exchange = client.open(server.address, large)
        exchange.send(large)
        self.assertEqual(str(1 << 20), exchange.receive(5.0).detail)


class BufferUsageTest(testtools.TestCase):
    def test_unread_messages_are_reported(self) -> None:
        """The figures show what grew if a process is killed for its memory."""
        server = streams.TcpStreams("127.0.0.1:0")
        client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(server.stop)
        self.addCleanup(client.stop)
        server.handle(config_messages.Ping, lambda *given: eventlet.sleep(1.0))
        exchange = client.open(server.address, config_messages.Ping())
        frame = replication_messages.ReplicationFrame(bytes(10_000), more=True)
        for _ in range(5):
            exchange.send(frame)
        for _ in range(100):
            if server.buffer_usage()["untaken_bytes"] > 50_000:
                break
            eventlet.sleep(0.01)
        usage = server.buffer_usage()
        self.assertTrue(50_000 < usage["untaken_bytes"] < 51_000, usage)
        self.assertEqual(1, usage["exchanges"])


class LostConnectionTest(testtools.TestCase):
    def test_lost_connections_descriptor_can_be_waited_on_again(self) -> None:
        """A connection is closed while its reader waits on it.

        If its file descriptor were reused at once, while the hub still has the
        old listener, waiting on the new file would fail with "Second
        simultaneous read".
        """
        server = streams.TcpStreams("127.0.0.1:0")
        client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(server.stop)
        self.addCleanup(client.stop)
        server.handle(
            config_messages.Ping,
            lambda exchange, _: exchange.send(identities.Done()),
        )
        client.ask(server.address, config_messages.Ping(), 2.0)
        client.dialled[server.address].abort()
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.write(writer, b"x")
        hubs.trampoline(reader, read=True, timeout=2.0)
        self.assertEqual(b"x", os.read(reader, 1))


class TurnsTest(testtools.TestCase):
    def test_small_frames_of_one_peer_do_not_hold_up_others(self) -> None:
        # Guards against thousands of frames that are handled in one turn.
        server = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(server.stop)
        opened: list[object] = []
        server.handle(
            config_messages.Ping, lambda _, message: opened.append(message)
        )
        body = codec.encode(config_messages.Ping())
        frames = b"".join(
            streams_frames.pack(number, streams_frames.OPEN, body)
            for number in range(1, 5001)
        )
        peer = eventlet.connect(streams.split_address(server.address))
        self.addCleanup(peer.close)
        eventlet.spawn(peer.sendall, frames)
        most = 0
        with eventlet.Timeout(10.0):
            while len(opened) < 5000:
                before = len(opened)
                eventlet.sleep(0)
                most = max(most, len(opened) - before)
        self.assertThat(most, matchers.LessThan(1025))
