"""Process of one replica, controlled by JSON lines over TCP.

Usage: python bench/state_replica.py SETTINGS_JSON
"""

import json
import pathlib
import resource
import sys
import time
from typing import Any
import warnings

warnings.filterwarnings("ignore", category=DeprecationWarning)

import eventlet

eventlet.monkey_patch()

from hdrh import histogram

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import (
    snapshots as replication_snapshots,
)

_MICROSECONDS_PER_SECOND = 1_000_000


class CommandList:
    """A state machine whose state is the list of its commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        """Appends a command; returns the number of commands."""
        self.commands.append(command)
        return len(self.commands)

    def snapshot_parts(self) -> list[bytes]:
        """Returns all commands, separated by newlines."""
        return [b"\n".join(self.commands)]

    def restore(self, state: bytes) -> None:
        """Replaces all commands by those of a snapshot."""
        self.commands = state.split(b"\n") if state else []


class SyncPerRecordWal(wal.FileWal):
    """Log that syncs each record by itself, as the baseline of group commit."""

    def append(self, records: Any) -> None:
        """Writes and syncs one record after another."""
        for record in records:
            super().append([record])
            super().sync()


class Server:
    """The replica and its control connection.

    A line is an object with `op`, the name of a method, and its arguments;
    the response is what the method returns.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self.hub = streams.TcpStreams(settings["address"])
        kind = SyncPerRecordWal if settings.get("sync_each") else wal.FileWal
        names = [f"g{n}" for n in range(settings.get("groups", 1))]
        self.machines = {name: CommandList() for name in names}
        members = [
            replication.Member(name, address, name, "r")
            for name, address in settings["members"]
        ]
        self.log = replication.GroupLog(
            identities.Incarnation(settings["name"], time.time_ns()),
            settings["address"],
            members,
            kind(pathlib.Path(settings["folder"])),
            names,
            streams=self.hub,
            timers=timers.EventletTimers(),
            options=replication.Options(
                core=types.Settings(**settings.get("core", {})),
                snapshots=replication_snapshots.Limits(
                    **settings.get("snapshots", {})
                ),
            ),
        )
        for name, machine in self.machines.items():
            self.log.attach(name, machine)

    def run(self) -> None:
        """Serves until the process is ended."""
        started = time.monotonic()
        self.log.start()
        self.recovery = time.monotonic() - started
        listener = eventlet.listen(("127.0.0.1", 0))
        print(listener.getsockname()[1], flush=True)
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        file = sock.makefile("rw")
        for line in file:
            request = json.loads(line)
            answer = getattr(self, request.pop("op"))(**request)
            file.write(json.dumps(answer) + "\n")
            file.flush()

    def propose(self, size: int = 100) -> dict[str, Any]:
        """Commits one command of `size` bytes; returns the error, if any."""
        try:
            self.log.propose("g0", b"x" * size, 5.0)
        except errors.MintcleatError as error:
            return {"error": error.kind}
        return {}

    def status(self) -> dict[str, Any]:
        """Returns the count of groups that it leads, and the first's state."""
        found = self.log.status()
        return {
            "leads": sum(self.log.leads(one.group) for one in found),
            "applied": found[0].applied,
            "commit": found[0].commit,
            "recovery": self.recovery,
            "voters": len(found[0].voters),
        }

    def usage(self) -> dict[str, Any]:
        """Returns processor seconds, bytes sent and peak memory in KB."""
        links = self.log.links.links.values()
        return {
            "cpu": time.process_time(),
            "bytes": sum(link.sent_bytes for link in links),
            "resident": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        }

    def fill(self, total: int) -> dict[str, Any]:
        """Commits commands of 100 bytes up to log index `total`."""
        pool = eventlet.GreenPool(256)
        missing = total - self.log.status()[0].commit
        for _ in range(missing):
            pool.spawn(self.log.propose, "g0", b"x" * 100, 30.0)
        pool.waitall()
        return self.status()

    def load(self, callers: int, seconds: float, size: int) -> dict[str, Any]:
        """Runs callers that each propose one command after another.

        Args:
            callers: Concurrent callers.
            seconds: Duration of the load.
            size: Bytes of a command.

        Returns:
            Commits per second, latencies in milliseconds, failed proposals,
            and processor seconds per commit.
        """
        latencies = histogram.HdrHistogram(1, 60 * _MICROSECONDS_PER_SECOND, 3)
        end = time.monotonic() + seconds
        command = b"x" * size
        lost = 0

        def call() -> None:
            nonlocal lost
            while time.monotonic() < end:
                started = time.monotonic()
                try:
                    self.log.propose("g0", command, 5.0)
                except errors.MintcleatError:
                    lost += 1
                    eventlet.sleep(0.05)
                    continue
                elapsed = time.monotonic() - started
                latencies.record_value(int(elapsed * _MICROSECONDS_PER_SECOND))

        cpu, started = time.process_time(), time.monotonic()
        pool = eventlet.GreenPool(callers)
        for _ in range(callers):
            pool.spawn(call)
        pool.waitall()
        elapsed = time.monotonic() - started
        return {
            "rate": latencies.total_count / elapsed,
            "p50": latencies.get_value_at_percentile(50) / 1000,
            "p99": latencies.get_value_at_percentile(99) / 1000,
            "lost": lost,
            "cpu": (time.process_time() - cpu) / max(1, latencies.total_count),
        }


if __name__ == "__main__":
    Server(json.loads(sys.argv[1])).run()
