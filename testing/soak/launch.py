"""Runs one role of the product inside a soak test.

    python -m testing.soak.launch ROLE

Connections to other processes' internal ports go through the soak's proxies:
SOAK_LINKS maps the address of each process to the address of the link to it,
as JSON. SOAK_FAULT names a known fault to reintroduce; see `reintroduced`.
SOAK_MACHINE is a file with the faults of the machine, see `Machine`. With
SOAK_BACKUPS, streams have backups, and many are moved, see `_move_often`.
"""

import signal

# As in `mintcleat.launch`, before the imports that take long.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from collections.abc import Callable
import errno
import json
import os
import pathlib
import time
from typing import Any

from bench import hosted_processes
import eventlet
from testing.soak import reintroduced

from mintcleat.adapters import wal_disk
from mintcleat.decisions import stream_backups
from mintcleat.decisions import stream_moves
from mintcleat.main import hosted
from mintcleat.platform import machine_settings
from mintcleat.roles.entry import stream_watch

# Interval of the checks whether the file of the machine's faults has changed.
_CHECK_SECONDS = 0.05
_NANOSECONDS = 10**9


class Machine:
    """Disk and clock of the machine, with the faults that a file names.

    The file has JSON: `sync_seconds` that each sync takes longer, `full` if no
    write fits, `clock` seconds by which the time of day is ahead.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.faults: dict[str, Any] = {}
        self.checked_at = 0.0

    def install(self) -> None:
        """Replaces the process's disk operations and its time of day."""
        write, sync = wal_disk.SystemDisk.write, wal_disk.SystemDisk.sync
        time_of_day, time_of_day_ns = time.time, time.time_ns

        def write_if_it_fits(disk: Any, descriptor: int, data: Any) -> None:
            if self.fault("full"):
                raise OSError(errno.ENOSPC, "No space left on the device")
            write(disk, descriptor, data)

        def sync_slowly(disk: Any, descriptor: int) -> None:
            time.sleep(self.fault("sync_seconds"))
            sync(disk, descriptor)

        wal_disk.SystemDisk.write = write_if_it_fits
        wal_disk.SystemDisk.sync = sync_slowly
        time.time = self._ahead(time_of_day)
        time.time_ns = lambda: (
            time_of_day_ns() + int(self.fault("clock") * _NANOSECONDS)
        )

    def _ahead(self, time_of_day: Callable[[], float]) -> Callable[[], float]:
        return lambda: time_of_day() + self.fault("clock")

    def fault(self, name: str) -> Any:
        """Returns what the file says of a fault; 0 for nothing."""
        now = time.monotonic()
        if now >= self.checked_at + _CHECK_SECONDS:
            self.checked_at = now
            text = self.path.read_text() if self.path.exists() else ""
            self.faults = json.loads(text or "{}")
        return self.faults.get(name, 0)


def _redirect(links: dict[str, str]) -> None:
    connect = eventlet.connect

    def connect_by_link(address: Any, *more: Any, **named: Any) -> Any:
        host, port = address[:2]
        if port == hosted_processes.INTERNAL_PORT:
            address = (links.get(host, host), port)
        return connect(address, *more, **named)

    eventlet.connect = connect_by_link


def _move_often() -> None:
    """Turns on what the platform's settings don't, without its budgets."""
    policies_of = machine_settings._policies

    def policies_with_backups(file: Any, bounds: Any) -> dict[str, Any]:
        return {**policies_of(file, bounds), "stream_backups": "on"}

    def target_left(self: Any, stream: Any, now: float) -> float | None:
        return stream.deadline.left

    machine_settings._policies = policies_with_backups
    stream_watch.StreamWatch._target_left = target_left
    for decisions in (stream_moves, stream_backups):
        decisions.FRACTION = 1.0
        decisions.RESERVE = 100.0
    # Part of the time left to its target that a stream on a slow upstream may
    # take; without a bound most would stay.
    stream_moves.TARGET_FRACTION = 0.0
    stream_moves.LEAVING_SECONDS = 0.3


def main() -> None:
    """Runs the role that the command line names."""
    _redirect(json.loads(os.environ.get("SOAK_LINKS", "{}")))
    machine = os.environ.get("SOAK_MACHINE", "")
    if machine:
        Machine(pathlib.Path(machine)).install()
    if os.environ.get("SOAK_BACKUPS", ""):
        _move_often()
    fault = os.environ.get("SOAK_FAULT", "")
    if fault:
        reintroduced.FAULTS[fault].install()
    hosted.main()


if __name__ == "__main__":
    main()
