"""Processes of `bench/configuration.py`: control instances and light nodes.

A light node is a real Follower with a connection of its own; many share a
process. The control instances keep a replicated log on disk.
"""

import warnings

warnings.filterwarnings("ignore", category=DeprecationWarning)

import eventlet

eventlet.monkey_patch()

import json
import pathlib
import signal
import socket
import struct
import sys
import time
from types import FrameType
from typing import Any

import fire
from loguru import logger

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.configuration import machine
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.ports import streams as stream_ports
from mintcleat.roles import follower
from mintcleat.roles.control.configuration import service as config_service
from mintcleat.roles.control.replication import replication

POLL_SECONDS = 1.0
WATCH_SECONDS = 0.05
# Offset of tcpi_bytes_acked and tcpi_bytes_received in Linux' tcp_info.
TCP_INFO_BYTES = 120
TCP_INFO_SIZE = 136


class Recorder:
    """Writes what a process has seen to a file on SIGUSR1."""

    def __init__(self, out: str) -> None:
        self.out = pathlib.Path(out)
        self.events: list[list[Any]] = []
        self.hub: list[streams.TcpStreams] = []
        self.leaseless = 0
        signal.signal(signal.SIGUSR1, self.write)

    def write(self, number: int, frame: FrameType | None) -> None:
        """Writes events and byte counts, in one step."""
        sent, received = 0, 0
        for hub in self.hub:
            for connection in hub.dialled.values():
                up, down = bytes_of(connection.sock)
                sent += up
                received += down
        text = json.dumps(
            {
                "events": self.events,
                "sent": sent,
                "received": received,
                "leaseless": self.leaseless,
            }
        )
        part = self.out.with_suffix(".part")
        part.write_text(text)
        part.rename(self.out)


def bytes_of(sock: socket.socket) -> tuple[int, int]:
    """Returns the bytes that the peer acknowledged, and those received."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE
        )
    except OSError:
        return 0, 0
    return struct.unpack_from("QQ", info, TCP_INFO_BYTES)


def control(name: str, addresses: str, folder: str, out: str) -> None:
    """Runs one of the control instances at `addresses`, which form a quorum.

    Args:
        name: `control-N`, the N-th of the addresses.
        addresses: Stream addresses of all of them, with commas between.
        folder: Data folder.
        out: File that the recorder writes.
    """
    clock = timers.EventletTimers()
    recorder = Recorder(out)
    members = [
        replication.Member(f"control-{number}", address, f"fd-{number}", "r")
        for number, address in enumerate(addresses.split(","))
    ]
    own = next(member for member in members if member.instance == name)
    listener = streams.TcpStreams(own.address)
    node = identities.Incarnation(name, time.time_ns())
    log = replication.GroupLog(
        node,
        own.address,
        members,
        wal.FileWal(pathlib.Path(folder)),
        [machine.GROUP],
        streams=listener,
        timers=clock,
    )
    service = config_service.ConfigService(
        node,
        own.failure_domain,
        own.address,
        log=log,
        streams=listener,
        timers=clock,
    )
    seen = [0]

    def applied() -> None:
        revision = service.machine.document.revision
        if revision > seen[0] and service.leads():
            seen[0] = revision
            recorder.events.append([revision, clock.now()])

    service.machine.subscribers.insert(0, applied)
    log.start()
    service.start()

    def tell_revision(
        exchange: stream_ports.Exchange, message: config_messages.Ping
    ) -> None:
        """Answers a poll: a client then reads the manifest if it changed."""
        exchange.send(identities.Done(str(service.document().revision)))

    listener.handle(config_messages.Ping, tell_revision)
    wait(name, listener.address)


def nodes(
    first: int, count: int, control: str, out: str, watch: bool = False
) -> None:
    """Runs light nodes that follow; `watch` looks for lost leases."""
    clock = timers.EventletTimers()
    recorder = Recorder(out)
    started = []
    for number in range(first, first + count):
        listener = streams.TcpStreams("127.0.0.1:0")
        node = follower.Follower(
            identities.Incarnation(f"node-{number}", 1),
            "entry",
            "fd",
            listener.address,
            streams=listener,
            timers=clock,
            control_addresses=control.split(","),
        )
        recorder.hub.append(listener)
        node.subscribe(watcher(recorder, node, clock))
        node.start()
        started.append(node)
    if watch:
        clock.every(WATCH_SECONDS, lambda: look(recorder, started))
    wait(f"nodes-{first}", "")


def look(recorder: Recorder, started: list[follower.Follower]) -> None:
    """Counts the nodes that have a manifest and no lease at this moment."""
    recorder.leaseless += sum(
        node.revision() > 0 and not node.has_lease() for node in started
    )


def watcher(
    recorder: Recorder, node: follower.Follower, clock: timers.EventletTimers
) -> Any:
    """Returns a callback that notes when a revision is applied, in lease."""
    seen = [0]

    def note() -> None:
        if node.revision() > seen[0]:
            seen[0] = node.revision()
            recorder.events.append([seen[0], clock.now()])

    return note


def pollers(first: int, count: int, control: str, out: str) -> None:
    """Runs light nodes that ask for the revision each second."""
    clock = timers.EventletTimers()
    recorder = Recorder(out)
    address = control.split(",", maxsplit=1)[0]
    for number in range(first, first + count):
        listener = streams.TcpStreams("127.0.0.1:0")
        recorder.hub.append(listener)
        offset = (number * 0.618) % 1.0 * POLL_SECONDS
        clock.spawn(poll, listener, address, offset, recorder, clock)
    wait(f"pollers-{first}", "")


def poll(
    listener: streams.TcpStreams,
    address: str,
    offset: float,
    recorder: Recorder,
    clock: timers.EventletTimers,
) -> None:
    """Polls for good."""
    clock.sleep(offset)
    held = 0
    while True:
        started = clock.now()
        try:
            told = listener.ask(address, config_messages.Ping(), 5.0)
            if int(told.detail) > held:
                view = listener.ask(
                    address, config_messages.ReadManifest(), 5.0
                )
                held = view.revision
                recorder.events.append([held, clock.now()])
        except errors.MintcleatError as error:
            logger.debug("{}", error)
        clock.sleep(max(0.0, started + POLL_SECONDS - clock.now()))


def wait(name: str, address: str) -> None:
    """Prints the ready line and runs until the process is stopped."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    print(f"ready {name} streams={address}", flush=True)
    while True:
        eventlet.sleep(3600.0)


if __name__ == "__main__":
    fire.Fire({"control": control, "nodes": nodes, "pollers": pollers})
