"""Tests streams between processes over loopback sockets."""

import socket
import struct

import eventlet
from eventlet import event
from eventlet import patcher
import hypothesis
from hypothesis import strategies
import msgpack
import testtools
from testtools import matchers

from mintcleat.adapters import streams
from mintcleat.adapters import streams_frames
from mintcleat.adapters import streams_limits
from mintcleat.domain import codec
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.ports import streams as ports

# Blocks the whole process.
_time = patcher.original("time")


class StreamsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = streams.TcpStreams("127.0.0.1:0")
        self.client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.stop)

    def test_reply_reaches_its_own_exchange(self) -> None:
        def answer(
            exchange: ports.Exchange, message: program_messages.ShowProgram
        ) -> None:
            exchange.send(identities.Done(message.program))

        self.server.handle(program_messages.ShowProgram, answer)
        for name in ("a", "b"):
            reply = self.client.ask(
                self.server.address, program_messages.ShowProgram(name), 5.0
            )
            self.assertEqual(name, reply.detail)

    def test_typed_error_of_a_handler_reaches_the_caller(self) -> None:
        def refuse(
            exchange: ports.Exchange, message: program_messages.ShowProgram
        ) -> None:
            raise errors.UnknownProgram("No program x.")

        self.server.handle(program_messages.ShowProgram, refuse)
        error = self.assertRaises(
            errors.UnknownProgram,
            self.client.ask,
            self.server.address,
            program_messages.ShowProgram("x"),
            5.0,
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_unreachable_peer_has_the_outcome_not_run(self) -> None:
        gone = streams.TcpStreams("127.0.0.1:0")
        gone.stop()
        error = self.assertRaises(
            errors.StreamClosed,
            self.client.open,
            gone.address,
            config_messages.Ping(),
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)


LIMITS = streams_limits.Limits(
    message=4096, window=1024, queued=8192, heartbeat=0.02, silence_timeout=0.2
)


class FlowControlTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = streams.TcpStreams("127.0.0.1:0", LIMITS)
        self.client = streams.TcpStreams("127.0.0.1:0", LIMITS)
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.stop)
        self.server.handle(program_messages.ShowProgram, self.flood)
        self.server.handle(config_messages.Ping, self.answer)
        self.sent = 0

    def flood(self, exchange: ports.Exchange, message: object) -> None:
        while True:
            exchange.send(identities.Done("x" * 100))
            self.sent += 1

    def answer(self, exchange: ports.Exchange, message: object) -> None:
        exchange.send(identities.Done())

    def test_slow_reader_blocks_only_its_own_sender(self) -> None:
        """A caller requests a long response and stops reading.

        Its sender runs out of credit after one window, so buffers stay small
        in both processes, and other exchanges of the connection are served.
        """
        slow = self.client.open(
            self.server.address, program_messages.ShowProgram("p")
        )
        for _ in range(20):
            self.client.ask(self.server.address, config_messages.Ping(), 5.0)
        window = LIMITS.window
        self.assertThat(slow.unread, matchers.LessThan(window + 200))
        self.assertThat(self.sent, matchers.LessThan(2 * window // 100))

    def test_reader_receives_all_messages_in_order(self) -> None:
        def count(exchange: ports.Exchange, message: object) -> None:
            for number in range(200):
                exchange.send(identities.Done(f"{number}"))

        self.server.handle(config_messages.ReadManifest, count)
        exchange = self.client.open(
            self.server.address, config_messages.ReadManifest()
        )
        got = [exchange.receive(5.0).detail for _ in range(200)]
        self.assertEqual([str(number) for number in range(200)], got)

    def test_closing_wakes_a_sender_without_credit(self) -> None:
        ended = event.Event()

        def flood(exchange: ports.Exchange, message: object) -> None:
            try:
                self.flood(exchange, message)
            except errors.StreamClosed:
                ended.send(True)
                raise

        self.server.handle(program_messages.ShowProgram, flood)
        exchange = self.client.open(
            self.server.address, program_messages.ShowProgram("p")
        )
        exchange.receive(5.0)
        exchange.close()
        self.assertTrue(ended.wait(5.0))

    def test_message_over_the_limit_keeps_the_connection_open(self) -> None:
        self.assertRaises(
            errors.TooLarge,
            self.client.open,
            self.server.address,
            program_messages.ShowProgram("x" * 5000),
        )
        self.client.ask(self.server.address, config_messages.Ping(), 5.0)

    def test_peer_that_does_not_read_does_not_block_the_reader(self) -> None:
        """A peer continues to send requests, but does not read.

        The writer blocks on the socket; the reader must continue, or two
        processes that both write would deadlock.
        """
        asked = event.Event()
        self.server.handle(
            config_messages.ReadManifest,
            lambda exchange, message: asked.send(True),
        )
        peer = eventlet.connect(streams.split_address(self.server.address))
        self.addCleanup(peer.close)
        for number in range(1, 100):
            peer.sendall(frame(number, program_messages.ShowProgram("p")))
        peer.sendall(frame(100, config_messages.ReadManifest()))
        self.assertTrue(asked.wait(5.0))


class LostPeerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.client = streams.TcpStreams("127.0.0.1:0", LIMITS)
        self.addCleanup(self.client.stop)

    def answering_server(self) -> streams.TcpStreams:
        """Returns a server that answers pings."""
        server = streams.TcpStreams("127.0.0.1:0", LIMITS)
        self.addCleanup(server.stop)
        server.handle(
            config_messages.Ping,
            lambda exchange, _: exchange.send(identities.Done()),
        )
        return server

    def test_connection_to_a_silent_peer_is_closed(self) -> None:
        """A peer accepts data but sends none, not even heartbeats.

        Nothing closes the connection, so without a timeout the caller would
        wait forever.
        """
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        exchange = self.client.open(address, config_messages.Ping())
        self.assertRaises(errors.StreamClosed, exchange.receive, 10.0)

    def test_silent_peer_is_found_by_a_process_that_is_always_late(
        self,
    ) -> None:
        # Guards against pauses that each excuse the whole silence before them.
        def block_often() -> None:
            while True:
                _time.sleep(3 * LIMITS.heartbeat)
                eventlet.sleep(0)

        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        exchange = self.client.open(address, config_messages.Ping())
        blocker = eventlet.spawn(block_often)
        self.addCleanup(blocker.kill)
        self.assertRaises(errors.StreamClosed, exchange.receive, 10.0)

    def test_pause_of_this_process_is_no_silence_of_the_peer(self) -> None:
        # Guards against a connection that is closed with its data unread.
        server = self.answering_server()
        self.client.ask(server.address, config_messages.Ping(), 5.0)
        before = self.client.dialled[server.address]
        _time.sleep(2 * LIMITS.silence_timeout)
        eventlet.sleep(2 * LIMITS.heartbeat)
        self.assertIs(before, self.client.dialled.get(server.address))

    def test_idle_connection_stays_open(self) -> None:
        server = self.answering_server()
        self.client.ask(server.address, config_messages.Ping(), 5.0)
        before = self.client.dialled[server.address]
        eventlet.sleep(2 * LIMITS.silence_timeout)
        self.assertIs(before, self.client.dialled.get(server.address))

    def test_hanging_dial_does_not_block_other_addresses(self) -> None:
        """A host that is down drops all packets, so a dial to it takes seconds.

        Meanwhile a request to another address must be served.
        """
        server = self.answering_server()
        release = event.Event()
        connect = eventlet.connect

        def hang(address: tuple[str, int]) -> object:
            if address[1] == 1:
                release.wait()
                raise OSError("no route")
            return connect(address)

        self.patch(eventlet, "connect", hang)
        hung = eventlet.spawn(
            self.assertRaises,
            errors.StreamClosed,
            self.client.open,
            "127.0.0.1:1",
            config_messages.Ping(),
        )
        eventlet.sleep(0)
        self.client.ask(server.address, config_messages.Ping(), 5.0)
        self.assertFalse(hung.dead)
        release.send()
        self.assertEqual(errors.NOT_RUN, hung.wait().outcome)


class BadPeerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        # Long enough that the timeout does not close the connection.
        limits = LIMITS._replace(silence_timeout=60.0)
        self.server = streams.TcpStreams("127.0.0.1:0", limits)
        self.addCleanup(self.server.stop)
        self.server.handle(
            config_messages.Ping,
            lambda exchange, _: exchange.send(identities.Done()),
        )

    def assert_closed_after(self, data: bytes) -> None:
        peer = eventlet.connect(streams.split_address(self.server.address))
        self.addCleanup(peer.close)
        peer.sendall(data)
        with eventlet.Timeout(5.0):
            try:
                while peer.recv(4096):
                    pass
            except ConnectionResetError:
                pass
        other = streams.TcpStreams("127.0.0.1:0", LIMITS)
        self.addCleanup(other.stop)
        other.ask(self.server.address, config_messages.Ping(), 5.0)

    def test_invalid_frame_closes_the_connection(self) -> None:
        self.assert_closed_after(b"GET / HTTP/1.1\r\n\r\n")

    def test_oversized_frame_closes_the_connection(self) -> None:
        header = struct.pack(">IIB", 2**31, 1, streams_frames.OPEN)
        self.assert_closed_after(header)

    def test_unknown_message_closes_the_connection(self) -> None:
        body = msgpack.packb([9999])
        self.assert_closed_after(
            streams_frames.pack(1, streams_frames.OPEN, body)
        )

    def test_sending_without_credit_closes_the_connection(self) -> None:
        self.server.handle(
            config_messages.ReadManifest,
            lambda exchange, _: eventlet.sleep(30.0),
        )
        data = codec.encode(identities.Done("x" * 600))
        more = streams_frames.pack(1, streams_frames.DATA, data)
        self.assert_closed_after(
            frame(1, config_messages.ReadManifest()) + 3 * more
        )

    def test_opening_an_exchange_twice_closes_the_connection(self) -> None:
        self.server.handle(
            config_messages.ReadManifest,
            lambda exchange, _: eventlet.sleep(30.0),
        )
        self.assert_closed_after(2 * frame(1, config_messages.ReadManifest()))


class CutReplyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.reply = streams_frames.pack(
            1, streams_frames.DATA, codec.encode(identities.Done("whole"))
        )

    def serve(self, size: int, ends: bool) -> None:
        """Sends a part of a reply; then ends in order, or resets."""
        sock, _ = self.listener.accept()
        sock.recv(1)
        sock.sendall(self.reply[:size])
        if ends:
            # What is left unread would reset it, too.
            sock.recv(4096)
        else:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    def ask(self, size: int, ends: bool) -> identities.Done:
        server = eventlet.spawn(self.serve, size, ends)
        client = streams.TcpStreams("127.0.0.1:0", LIMITS)
        try:
            host, port = self.listener.getsockname()
            return client.ask(f"{host}:{port}", config_messages.Ping(), 5.0)
        finally:
            client.stop()
            server.kill()

    def test_part_of_a_reply_of_a_peer_is_none(self) -> None:
        # Guards against a connection whose end counts as that of a reply.
        for size in range(len(self.reply)):
            for ends in (False, True):
                error = self.assertRaises(
                    errors.StreamClosed, self.ask, size, ends
                )
                self.assertEqual(errors.UNKNOWN, error.outcome)
        self.assertEqual("whole", self.ask(len(self.reply), True).detail)


@hypothesis.given(
    strategies.lists(strategies.binary(max_size=50), max_size=8),
    strategies.integers(1, 20),
)
def test_frames_survive_any_cut_of_the_bytes(
    bodies: list[bytes], step: int
) -> None:
    sent = [
        streams_frames.Frame(number, streams_frames.DATA, body)
        for number, body in enumerate(bodies)
    ]
    data = b"".join(streams_frames.pack(*item) for item in sent)
    buffer = streams_frames.FrameBuffer(100)
    got = [
        item
        for start in range(0, len(data), step)
        for item in buffer.feed(data[start : start + step])
    ]
    assert got == sent


def frame(number: int, message: object) -> bytes:
    return streams_frames.pack(
        number, streams_frames.OPEN, codec.encode(message)
    )
