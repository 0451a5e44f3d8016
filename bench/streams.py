"""Measures the processor time of messages over streams.

Server and client share this process, so a figure is the sum of what the sender
and the receiver spend.

Usage: python -m bench.streams ask [--count N] [--callers N]
       python -m bench.streams flood [--count N] [--exchanges N]
"""

import sys
import time
import warnings

warnings.filterwarnings("ignore", category=DeprecationWarning)

import eventlet

eventlet.monkey_patch()

import fire

from mintcleat.adapters import streams
from mintcleat.domain import call_messages
from mintcleat.domain import config_messages
from mintcleat.domain import identities
from mintcleat.ports import streams as ports

_TOKEN = "abcdef.12 "


def ask(count: int = 5000, callers: int = 1) -> None:
    """Prints microseconds per request with its reply.

    Args:
        count: Requests of each caller.
        callers: Concurrent green threads that ask.
    """
    server, client = _server_and_client()

    def answer(exchange: ports.Exchange, message: config_messages.Ping) -> None:
        exchange.send(identities.Done())

    server.handle(config_messages.Ping, answer)

    def caller() -> None:
        for _ in range(count):
            client.ask(server.address, config_messages.Ping(), 5.0)

    seconds = _cpu_seconds(callers, caller)
    print(f"ask, {callers} callers: {seconds / count / callers * 1e6:.1f} us")


def flood(count: int = 20000, exchanges: int = 16) -> None:
    """Prints microseconds per token frame on concurrent exchanges.

    Args:
        count: Frames on each exchange.
        exchanges: Concurrent exchanges on one connection.
    """
    server, client = _server_and_client()

    def stream(exchange: ports.Exchange, message: config_messages.Ping) -> None:
        for offset in range(count):
            exchange.send(call_messages.Chunk(1, offset, _TOKEN))
            if offset % 8 == 7:
                eventlet.sleep(0)
        exchange.send(identities.Done())

    server.handle(config_messages.Ping, stream)

    def reader() -> None:
        exchange = client.open(server.address, config_messages.Ping())
        while not isinstance(exchange.receive(30.0), identities.Done):
            pass
        exchange.close()

    seconds = _cpu_seconds(exchanges, reader)
    print(
        f"flood, {exchanges} exchanges:"
        f" {seconds / count / exchanges * 1e6:.1f} us a frame"
    )


def _cpu_seconds(threads: int, function: object) -> float:
    """Returns the processor time of so many threads of the function."""
    started = time.process_time()
    pool = [eventlet.spawn(function) for _ in range(threads)]
    for thread in pool:
        thread.wait()
    return time.process_time() - started


def _server_and_client() -> tuple[streams.TcpStreams, streams.TcpStreams]:
    server = streams.TcpStreams("127.0.0.1:0")
    return server, streams.TcpStreams("127.0.0.1:0")


if __name__ == "__main__":
    sys.exit(fire.Fire({"ask": ask, "flood": flood}))
