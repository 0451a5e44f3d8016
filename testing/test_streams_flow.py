"""Flow control of streams between processes."""

import testtools

from mintcleat.adapters import streams
from mintcleat.domain import messages
from mintcleat.ports import streams as ports


class FirstMessageTest(testtools.TestCase):
    def test_first_message_over_the_window_lets_the_second_follow(
        self,
    ) -> None:
        """A sender opens an exchange with a message larger than its credit.

        The receiver has taken it and waits for the second; the sender waits
        for credit. A bulk frame of replication then never ended, and a
        replica behind a snapshot did not catch up.
        """
        server = streams.TcpStreams("127.0.0.1:0")
        client = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(server.stop)
        self.addCleanup(client.stop)
        large = messages.ReplicationFrame(bytes(1 << 20), more=True)

        def answer(
            exchange: ports.Exchange, first: messages.ReplicationFrame
        ) -> None:
            second = exchange.receive(5.0)
            exchange.send(messages.Done(str(len(second.payload))))

        server.handle(messages.ReplicationFrame, answer)
        exchange = client.open(server.address, large)
        exchange.send(large)
        self.assertEqual(str(1 << 20), exchange.receive(5.0).detail)
