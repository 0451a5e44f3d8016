"""GroupLog on real files and loopback streams."""

import pathlib
import shutil
import tempfile
from typing import Any

import eventlet
import testtools

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.domain import errors
from mintcleat.domain import messages
from mintcleat.roles import replication


class Journal:
    """A machine that keeps every command."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> Any:
        self.commands.append(command)
        if command == b"refuse":
            return errors.WrongTurn("Not now.")
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b"\n") if state else []


class OneMemberTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.journal = Journal()
        self.epoch = 0

    def started(self) -> replication.GroupLog:
        self.epoch += 1
        self.journal = Journal()
        hub = streams.TcpStreams("127.0.0.1:0")
        self.addCleanup(hub.stop)
        log = replication.GroupLog(
            messages.Incarnation("c1", self.epoch),
            hub.address,
            [replication.Member("c1", hub.address, "a", "r")],
            wal.FileWal(self.folder),
            ["g"],
            streams=hub,
            timers=timers.EventletTimers(),
        )
        log.attach("g", self.journal)
        log.start()
        self.addCleanup(log.stop)
        return log

    def test_commands_survive_a_kill(self) -> None:
        log = self.started()
        self.assertEqual(1, log.propose("g", b"one", 5.0))
        self.assertEqual(2, log.propose("g", b"two", 5.0))
        log.wal.close()
        again = self.started()
        again.barrier("g", 5.0)
        self.assertEqual([b"one", b"two"], self.journal.commands)

    def test_typed_error_of_the_machine_is_raised(self) -> None:
        log = self.started()
        self.assertRaises(errors.WrongTurn, log.propose, "g", b"refuse", 5.0)

    def test_callers_at_once_get_their_own_results(self) -> None:
        log = self.started()
        pool = eventlet.GreenPool()
        results = list(
            pool.imap(lambda _: log.propose("g", b"x", 5.0), range(20))
        )
        self.assertEqual(list(range(1, 21)), results)
