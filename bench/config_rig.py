"""Processes of `bench/configuration.py`: control instances and nodes.

A node is a real Follower with a connection of its own, without other roles;
many share a process. The control instances keep a replicated log on disk.
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
LEASE_SAMPLE_SECONDS = 0.05
# Offset of tcpi_bytes_acked and tcpi_bytes_received in Linux's tcp_info.
TCP_INFO_BYTES = 120
TCP_INFO_SIZE = 136


class Recorder:
    """Writes what a process has recorded to a file on SIGUSR1.

    Attributes:
        events: [revision, seconds] of each revision applied.
        hub: Streams whose traffic is counted.
        leaseless: Samples in which a node had a manifest and no lease.
    """

    def __init__(self, out: str) -> None:
        self.out = pathlib.Path(out)
        self.events: list[list[Any]] = []
        self.hub: list[streams.TcpStreams] = []
        self.leaseless = 0
        signal.signal(signal.SIGUSR1, self.write)

    def write(self, number: int, frame: FrameType | None) -> None:
        """Writes the file atomically; called as a signal handler."""
        sent, received = 0, 0
        for hub in self.hub:
            for connection in hub.dialled.values():
                up, down = tcp_bytes(connection.sock)
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


def tcp_bytes(sock: socket.socket) -> tuple[int, int]:
    """Returns the bytes acknowledged by the peer, and those received."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE
        )
    except OSError:
        return 0, 0
    return struct.unpack_from("QQ", info, TCP_INFO_BYTES)


def control(name: str, addresses: str, folder: str, out: str) -> None:
    """Runs one of the control instances at `addresses`.

    Args:
        name: `control-N`, the N-th of the addresses.
        addresses: Stream addresses of all of them, separated by commas.
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
    last_revision = [0]

    def applied() -> None:
        revision = service.machine.document.revision
        if revision > last_revision[0] and service.leads():
            last_revision[0] = revision
            recorder.events.append([revision, clock.now()])

    service.machine.subscribers.insert(0, applied)
    log.start()
    service.start()

    def answer_revision(
        exchange: stream_ports.Exchange, message: config_messages.Ping
    ) -> None:
        """Answers a poll with the revision."""
        exchange.send(identities.Done(str(service.document().revision)))

    listener.handle(config_messages.Ping, answer_revision)
    serve_forever(name, listener.address)


def nodes(
    first: int, count: int, control: str, out: str, watch: bool = False
) -> None:
    """Runs nodes that follow the configuration by a stream.

    Args:
        first: Number of the first node.
        count: Number of nodes.
        control: Stream addresses of control, separated by commas.
        out: File that the recorder writes.
        watch: Whether to sample which nodes have no lease.
    """
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
        node.subscribe(revision_recorder(recorder, node, clock))
        node.start()
        started.append(node)
    if watch:
        clock.every(
            LEASE_SAMPLE_SECONDS, lambda: count_leaseless(recorder, started)
        )
    serve_forever(f"nodes-{first}", "")


def count_leaseless(
    recorder: Recorder, started: list[follower.Follower]
) -> None:
    """Counts the nodes that have a manifest but no lease now."""
    recorder.leaseless += sum(
        node.revision() > 0 and not node.has_lease() for node in started
    )


def revision_recorder(
    recorder: Recorder, node: follower.Follower, clock: timers.EventletTimers
) -> Any:
    """Returns a callback that records when a revision is applied."""
    last_revision = [0]

    def record_revision() -> None:
        if node.revision() > last_revision[0]:
            last_revision[0] = node.revision()
            recorder.events.append([last_revision[0], clock.now()])

    return record_revision


def pollers(first: int, count: int, control: str, out: str) -> None:
    """Runs nodes that poll the revision each second; see `nodes`."""
    clock = timers.EventletTimers()
    recorder = Recorder(out)
    address = control.split(",", maxsplit=1)[0]
    for number in range(first, first + count):
        listener = streams.TcpStreams("127.0.0.1:0")
        recorder.hub.append(listener)
        offset = (number * 0.618) % 1.0 * POLL_SECONDS
        clock.spawn(poll, listener, address, offset, recorder, clock)
    serve_forever(f"pollers-{first}", "")


def poll(
    listener: streams.TcpStreams,
    address: str,
    offset: float,
    recorder: Recorder,
    clock: timers.EventletTimers,
) -> None:
    """Polls without end; reads the manifest when the revision changed."""
    clock.sleep(offset)
    applied_revision = 0
    while True:
        started = clock.now()
        try:
            reply = listener.ask(address, config_messages.Ping(), 5.0)
            if int(reply.detail) > applied_revision:
                view = listener.ask(
                    address, config_messages.ReadManifest(), 5.0
                )
                applied_revision = view.revision
                recorder.events.append([applied_revision, clock.now()])
        except errors.MintcleatError as error:
            logger.debug("{}", error)
        clock.sleep(max(0.0, started + POLL_SECONDS - clock.now()))


def serve_forever(name: str, address: str) -> None:
    """Prints the ready line and runs until SIGTERM."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    print(f"ready {name} streams={address}", flush=True)
    while True:
        eventlet.sleep(3600.0)


if __name__ == "__main__":
    fire.Fire({"control": control, "nodes": nodes, "pollers": pollers})
