"""One replica in a process of its own, driven by JSON lines over TCP.

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

_MICROSECONDS = 1_000_000


class Journal:
    """A machine that keeps the bytes of every command."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        """Keeps a command."""
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        """Returns every command."""
        return b"\n".join(self.commands)

    def restore(self, state: bytes) -> None:
        """Replaces every command."""
        self.commands = state.split(b"\n") if state else []


class SyncEach(wal.FileWal):
    """Syncs each record by itself: the baseline for group commit."""

    def append(self, records: Any) -> None:
        """Writes and syncs one record after the other."""
        for record in records:
            super().append([record])
            super().sync()


class Server:
    """Runs the replica and answers the bench."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.hub = streams.TcpStreams(settings["address"])
        kind = SyncEach if settings.get("sync_each") else wal.FileWal
        names = [f"g{n}" for n in range(settings.get("groups", 1))]
        self.journals = {name: Journal() for name in names}
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
        for name, journal in self.journals.items():
            self.log.attach(name, journal)

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
        """Commits one command."""
        try:
            self.log.propose("g0", b"x" * size, 5.0)
        except errors.MintcleatError as error:
            return {"error": error.kind}
        return {}

    def status(self) -> dict[str, Any]:
        """Tells what this replica leads and has applied."""
        found = self.log.status()
        return {
            "leads": sum(self.log.leads(one.group) for one in found),
            "applied": found[0].applied,
            "commit": found[0].commit,
            "recovery": self.recovery,
            "voters": len(found[0].voters),
        }

    def usage(self) -> dict[str, Any]:
        """Returns processor seconds, sent bytes, syncs and memory."""
        links = self.log.links.links.values()
        return {
            "cpu": time.process_time(),
            "bytes": sum(link.sent_bytes for link in links),
            "resident": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        }

    def fill(self, total: int) -> dict[str, Any]:
        """Commits commands of 100 bytes until the log holds `total`."""
        pool = eventlet.GreenPool(256)
        missing = total - self.log.status()[0].commit
        for _ in range(missing):
            pool.spawn(self.log.propose, "g0", b"x" * 100, 30.0)
        pool.waitall()
        return self.status()

    def load(self, callers: int, seconds: float, size: int) -> dict[str, Any]:
        """Runs callers that each propose one command after the other."""
        took = histogram.HdrHistogram(1, 60 * _MICROSECONDS, 3)
        end = time.monotonic() + seconds
        command = b"x" * size
        lost = 0

        def call() -> None:
            nonlocal lost
            while time.monotonic() < end:
                begin = time.monotonic()
                try:
                    self.log.propose("g0", command, 5.0)
                except errors.MintcleatError:
                    lost += 1
                    eventlet.sleep(0.05)
                    continue
                spent = time.monotonic() - begin
                took.record_value(int(spent * _MICROSECONDS))

        cpu, begin = time.process_time(), time.monotonic()
        pool = eventlet.GreenPool(callers)
        for _ in range(callers):
            pool.spawn(call)
        pool.waitall()
        spent = time.monotonic() - begin
        return {
            "rate": took.total_count / spent,
            "p50": took.get_value_at_percentile(50) / 1000,
            "p99": took.get_value_at_percentile(99) / 1000,
            "lost": lost,
            "cpu": (time.process_time() - cpu) / max(1, took.total_count),
        }


if __name__ == "__main__":
    Server(json.loads(sys.argv[1])).run()
