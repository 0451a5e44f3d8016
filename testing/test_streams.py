"""Streams between processes, over loopback sockets."""

import testtools

from mintcleat.adapters import streams
from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.ports import streams as ports


class StreamsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = streams.TcpStreams("127.0.0.1:0")
        self.client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(self.server.stop)
        self.addCleanup(self.client.stop)

    def test_reply_reaches_its_own_exchange(self) -> None:
        def answer(
            exchange: ports.Exchange, message: messages.ShowProgram
        ) -> None:
            exchange.send(messages.Done(message.program))

        self.server.handle(messages.ShowProgram, answer)
        for name in ("a", "b"):
            reply = self.client.ask(
                self.server.address, messages.ShowProgram(name), 5.0
            )
            self.assertEqual(name, reply.detail)

    def test_typed_error_of_a_handler_reaches_the_caller(self) -> None:
        def refuse(
            exchange: ports.Exchange, message: messages.ShowProgram
        ) -> None:
            raise errors.UnknownProgram("No program x.")

        self.server.handle(messages.ShowProgram, refuse)
        error = self.assertRaises(
            errors.UnknownProgram,
            self.client.ask,
            self.server.address,
            messages.ShowProgram("x"),
            5.0,
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)

    def test_unreachable_peer_is_a_true_not_run(self) -> None:
        gone = streams.TcpStreams("127.0.0.1:0")
        gone.stop()
        error = self.assertRaises(
            errors.StreamClosed,
            self.client.open,
            gone.address,
            messages.Ping(),
        )
        self.assertEqual(errors.NOT_RUN, error.outcome)
