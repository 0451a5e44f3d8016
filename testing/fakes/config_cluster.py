"""Control instances and nodes on loopback, over a log in memory."""

from collections.abc import Callable

import eventlet
from testing.fakes import log as fake_log
import testtools

from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.domain import config_messages
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.roles import follower
from mintcleat.roles.control.configuration import service as config_service

WAIT_SECONDS = 20.0


def manifest_text(version: str) -> str:
    """Returns a manifest with one model service of a version."""
    service = manifest.Service(kind="model", model="m", version=version)
    return manifest.render(manifest.Manifest(services={"chat": service}))


def push(
    expected: int, version: str, operator: str
) -> config_messages.PushManifest:
    """Returns a push based on revision `expected`."""
    return config_messages.PushManifest(
        expected,
        f"{operator}-{expected}-{version}",
        manifest_text(version),
        operator,
        "test",
    )


class SkewedTimers(timers.EventletTimers):
    """Real time with a wall clock that is ahead by `skew` seconds."""

    def __init__(self) -> None:
        self.skew = 0.0

    def wall_time(self) -> float:
        return super().wall_time() + self.skew


class Cluster:
    """Control instances and nodes on loopback, in one process."""

    def __init__(self, case: testtools.TestCase, size: int) -> None:
        self.case = case
        self.timers = timers.EventletTimers()
        self.log = fake_log.Cluster()
        self.control = [self._control(f"control-{n}") for n in range(size)]
        self.log.elect(self.control[0].address)

    def _control(self, name: str) -> config_service.ConfigService:
        listener = streams.TcpStreams("127.0.0.1:0")
        self.case.addCleanup(listener.stop)
        service = config_service.ConfigService(
            identities.Incarnation(name, 1),
            "fd-1",
            listener.address,
            log=fake_log.MemoryLog(self.log, listener.address),
            streams=listener,
            timers=SkewedTimers(),
        )
        service.start()
        self.case.addCleanup(service.stop)
        return service

    def node(
        self, name: str, epoch: int = 1, announcer: follower.Announcer = None
    ) -> follower.Follower:
        listener = streams.TcpStreams("127.0.0.1:0")
        self.case.addCleanup(listener.stop)
        node = follower.Follower(
            identities.Incarnation(name, epoch),
            "entry",
            "fd-1",
            listener.address,
            streams=listener,
            timers=self.timers,
            control_addresses=[item.address for item in self.control],
            announcer=announcer,
        )
        node.start()
        self.case.addCleanup(node.stop)
        return node

    def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition; raises Timeout after `WAIT_SECONDS`."""
        with eventlet.Timeout(WAIT_SECONDS):
            while not condition():
                eventlet.sleep(0.02)
