"""Control instances in virtual time: the real driver, log and config service.

Only the environment of a process is simulated: clocks, streams, the disk and
its thread. An operator pushes numbered configurations through any instance and
sends them again until they are answered; readers ask any instance at any time.
"""

from collections.abc import Callable
import fcntl
import pathlib
import random
import shutil
import tempfile
from typing import Any

import eventlet
import greenlet
from testing.fakes import virtual_disk
from testing.fakes import virtual_net
from testing.fakes import virtual_time

from mintcleat.adapters import wal
from mintcleat.configuration import commands
from mintcleat.configuration import lease
from mintcleat.configuration import machine
from mintcleat.consensus import types
from mintcleat.domain import config_messages
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import manifest
from mintcleat.roles.control.configuration import current
from mintcleat.roles.control.configuration import service as config_service
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import (
    snapshots as replication_snapshots,
)

OTHER_GROUP = "records"
# Timeout of a request at an instance, and of the caller that sent it.
ASK_SECONDS = 0.85
CALL_SECONDS = 1.0
# Seconds by which the clock of a machine is ahead at most.
MAX_SKEW = 600.0
TIMES = lease.Times(max_lease=1.2, renew=0.3, relay_renew=0.15, move_after=0.6)


class Fault(AssertionError):
    """A guarantee was violated."""


class Records:
    """A state machine with large commands, for the other group.

    Attributes:
        count: Number of commands applied.
        kept: The last commands; older ones are only counted.
        counts: By log index, the count that every replica must have.
    """

    def __init__(self, counts: dict[int, int]) -> None:
        self.count = 0
        self.kept: list[bytes] = []
        self.counts = counts

    def apply(self, index: int, command: bytes) -> int:
        self.count += 1
        self.kept = [*self.kept[-20:], command]
        if self.counts.setdefault(index, self.count) != self.count:
            raise Fault(f"count {self.count} after {index}")
        return self.count

    def snapshot_parts(self) -> list[bytes]:
        return [b"%d\n" % self.count + b"\n".join(self.kept)]

    def restore(self, state: bytes) -> None:
        count, *self.kept = state.split(b"\n")
        self.count = int(count)


class Instance:
    """A host with a disk, and the process that runs on it, if any.

    Attributes:
        domain: Its failure domain.
        process: The current process, or the last one if none runs.
        skew: Offset of its wall clock in seconds.
        busy: Longest time in seconds that other work blocks a loop turn.
        lost_until: Time until which the schedule counts it as lost.
    """

    def __init__(self, cluster: "Cluster", name: str, domain: str) -> None:
        self.cluster = cluster
        self.name = name
        self.domain = domain
        self.address = f"{name}:1"
        self.rng = cluster.rng
        self.disk = virtual_disk.VirtualDisk(cluster.folder / name, cluster.rng)
        self.disk.folder.mkdir(parents=True)
        self.process = virtual_time.VirtualProcess()
        self.process.kill()
        self.skew = cluster.clocks.uniform(0.0, MAX_SKEW)
        self.busy = 0.0
        self.lost_until = 0.0
        self.config: config_service.ConfigService | None = None
        self.configuration: current.CurrentConfiguration | None = None
        self.log: replication.GroupLog | None = None
        self.started = False

    def start(self, founder: bool = False) -> None:
        if not self.process.dead:
            return
        self.process = virtual_time.VirtualProcess(self.rng)
        self.disk.process = self.process
        self.started = False
        eventlet.spawn(self._start, self.process, founder)

    def _start(
        self, process: virtual_time.VirtualProcess, founder: bool
    ) -> None:
        cluster = self.cluster
        timers = virtual_time.ProcessTimers(process, cluster.rng, self.skew)
        timers.max_delay = self.busy
        streams = virtual_net.VirtualStreams(
            cluster.network, self.address, process
        )
        node = identities.Incarnation(self.name, int(timers.wall_time() * 1e9))
        own = types.Member(self.name, self.address, self.domain, "r", self.name)
        self.log = replication.GroupLog(
            node,
            self.address,
            cluster.seeds,
            wal.FileWal(
                self.disk.folder / "log",
                self.disk,
                segment_size=cluster.options.segment_bytes,
                detect_copies=False,
            ),
            [machine.GROUP, OTHER_GROUP],
            streams=streams,
            timers=timers,
            options=cluster.options.replication(founder),
            worker=virtual_disk.VirtualDiskWorker(process),
            own=own,
        )
        self.config = config_service.ConfigService(
            node,
            self.domain,
            self.address,
            log=self.log,
            streams=streams,
            timers=timers,
            times=TIMES,
        )
        self.configuration = current.CurrentConfiguration(self.config)
        self.records = Records(cluster.counts)
        self.log.attach(OTHER_GROUP, self.records)
        try:
            self.log.start()
            self.config.start()
            self.started = True
            while not process.dead:
                timers.sleep(0.05)
                if self.log.failure() is not None:
                    cluster.note(f"{self.name} stops: {self.log.failure()}")
                    self.kill()
                    eventlet.spawn_after(0.3, self.start)
        except errors.MintcleatError as error:
            cluster.failures.append(f"{self.name}: {error.detail}")
            cluster.note(f"{self.name} can't start: {error.detail}")
            if not process.dead:
                self.kill()
                eventlet.spawn_after(0.3, self.start)

    def running(self) -> bool:
        return (
            self.started
            and not self.process.dead
            and not self.process.suspended
        )

    def kill(self) -> None:
        """Ends the process; its files stay as they are."""
        if self.process.dead:
            return
        self.end()
        self.cluster.network.listening[self.address].abort()

    def end(self) -> None:
        self.process.kill()
        if self.log is not None and self.log.wal.lock >= 0:
            # The locks of a real process end with it. This process goes on,
            # so the lock must be released here.
            fcntl.flock(self.log.wal.lock, fcntl.LOCK_UN)

    def lose_power(self, wipe: bool = False) -> None:
        """Ends the process without a shutdown; unsynced bytes may be lost.

        Args:
            wipe: Whether everything on the disk is lost.
        """
        self.end()
        if wipe:
            self.disk.wipe()
            # A replaced machine has another clock.
            self.skew = self.cluster.clocks.uniform(0.0, MAX_SKEW)
        else:
            self.disk.lose_power()

    def terminate(self) -> None:
        """Stops the process by a planned shutdown."""
        process, log, config = self.process, self.log, self.config
        if not self.running():
            return

        def stop() -> None:
            log.transfer_leadership(1.5)
            config.stop()
            log.stop()
            if not process.dead:
                self.kill()

        eventlet.spawn(stop)

    def call(self, message: Any) -> Any:
        """Sends a request to this instance as an external caller does.

        Returns:
            The answer, or None if there was none in time.
        """
        answers: list[Any] = []
        done = eventlet.Event()
        process, config = self.process, self.config

        def serve() -> None:
            try:
                process.check()
                answers.append(config.ask(message, ASK_SECONDS))
            except errors.MintcleatError:
                pass
            if not process.dead and not done.ready():
                done.send()

        if process.dead or not self.started:
            eventlet.sleep(0.01)
            return None
        eventlet.spawn(serve)
        done.wait(CALL_SECONDS)
        return answers[0] if answers and done.ready() else None


class Options:
    """Limits of a schedule, so small that each run reaches several of them."""

    def __init__(self) -> None:
        self.size = 8
        self.group_size = 5
        self.segment_bytes = 16 * 1024
        self.rewrite_bytes = 64 * 1024
        self.entries = 60
        self.kept = 10
        self.replace_after = 2.0
        self.record_bytes = 300
        self.safeguards = types.Safeguards()

    def replication(self, founder: bool) -> replication.Options:
        return replication.Options(
            core=types.Settings(
                heartbeat=0.07,
                election=0.35,
                group_size=self.group_size,
                replace_after=self.replace_after,
                balance_after=0.0,
                founder=founder,
                promote_lag=1000,
                safeguards=self.safeguards,
            ),
            seed=0,
            snapshots=replication_snapshots.Limits(
                entries=self.entries, bytes=64 * 1024, kept=self.kept
            ),
            rewrite_bytes=self.rewrite_bytes,
        )


class Cluster:
    """The instances, the operator and the readers.

    Attributes:
        clocks: Draws the clocks of replaced machines.
        gone: Instances that were removed for good.
        acknowledged: Highest version that was acknowledged.
        acknowledgements: Times and versions of all acknowledgements.
        version: Highest version that was pushed.
        reads: Number of reads sent.
        answered: Number of reads answered.
        failures: Errors with which processes stopped by themselves.
        story: The events of the schedule with their times.
    """

    def __init__(self, seed: int, options: Options | None = None) -> None:
        self.rng = random.Random(seed)
        self.clocks = random.Random(f"clocks {seed}")
        self.options = options or Options()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="control-"))
        self.network = virtual_net.Network(self.rng)
        self.story: list[str] = []
        self.failures: list[str] = []
        self.acknowledged = 0
        self.acknowledgements: list[tuple[float, int]] = []
        self.version = 0
        self.reads = 0
        self.answered = 0
        self.records_acknowledged = 0
        self.counts: dict[int, int] = {}
        self.broken: Fault | None = None
        self.running = True
        self.instances: dict[str, Instance] = {}
        self.gone: list[Instance] = []
        for number in range(self.options.size):
            self.add(f"c{number}", f"d{number % 4}")
        first = [f"c{n}" for n in range(3)]
        self.seeds = [types.Member(n, f"{n}:1", "", "") for n in first]
        for instance in self.instances.values():
            after = self.rng.uniform(0, 0.3)
            eventlet.spawn_after(after, instance.start, True)

    def add(self, name: str, domain: str) -> Instance:
        instance = Instance(self, name, domain)
        self.instances[name] = instance
        return instance

    def close(self) -> None:
        self.running = False
        for instance in (*self.instances.values(), *self.gone):
            instance.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def now(self) -> float:
        return eventlet.hubs.get_hub().time - virtual_time.START

    def note(self, text: str) -> None:
        self.story.append(f"{self.now():8.3f} {text}")

    def spawn(self, function: Callable[..., None], *args: Any) -> None:
        """Runs a part of the schedule; `check` raises its first fault."""

        def body() -> None:
            try:
                function(*args)
            except Fault as error:
                self.note(f"FAULT {error}")
                self.broken = self.broken or error
            except greenlet.GreenletExit:
                return

        eventlet.spawn(body)

    def check(self) -> None:
        if self.broken is not None:
            raise self.broken

    # The operator.

    def push(self, timeout: float = 30.0) -> int:
        """Sends the next version until it is acknowledged.

        Returns:
            The version, or 0 if it was not acknowledged in time.
        """
        self.version += self.rng.randint(1, 4)
        version = self.version
        message = config_messages.PushManifest(
            0,
            f"push-{version}",
            _manifest(version),
            "operator",
            "test",
            version,
            f"source of {version}",
        )
        until = self.now() + timeout
        pause = 0.05
        while self.now() < until and self.running:
            target = self.any_instance()
            answer = target.call(message)
            if answer is not None:
                self.note(f"version {version} acknowledged by {target.name}")
                self.acknowledged = max(self.acknowledged, version)
                self.acknowledgements.append((self.now(), version))
                return version
            eventlet.sleep(pause)
            pause = min(1.0, pause * 2)
        return 0

    def check_configuration(self, target: Instance) -> None:
        """Checks what an instance acts on, if it holds that for current.

        Raises:
            Fault: It is older than a version that was acknowledged longer ago
                than the longest lease.
        """
        if not target.running() or not target.configuration.is_current():
            return
        before = self.now() - TIMES.max_lease
        expected = max(
            (version for at, version in self.acknowledgements if at < before),
            default=0,
        )
        services = target.configuration.manifest().services
        found = int(services["chat"].version) if services else 0
        if found < expected:
            raise Fault(
                f"{target.name} acts on version {found}; {expected} was"
                " acknowledged"
            )

    def read(self, target: Instance) -> bool:
        """Reads at an instance and checks the answer.

        Returns:
            Whether the instance answered.

        Raises:
            Fault: The answer is older than the version acknowledged before
                the read, or its source is not the pushed one.
        """
        expected = self.acknowledged
        self.reads += 1
        view = target.call(config_messages.ReadManifest())
        if view is None:
            return False
        self.answered += 1
        if view.version < expected:
            raise Fault(
                f"{target.name} answered version {view.version};"
                f" {expected} was acknowledged"
            )
        if view.version and view.source != f"source of {view.version}":
            raise Fault(f"{view.version} was read back as {view.source}")
        return True

    def read_forever(self, period: float) -> None:
        while self.running:
            eventlet.sleep(self.rng.expovariate(1 / period))
            self.spawn(self.read, self.any_instance())
            for instance in self.instances.values():
                self.spawn(self.check_configuration, instance)

    def write_forever(self, period: float) -> None:
        """Writes to the other group, so that the shared log grows."""
        while self.running:
            eventlet.sleep(self.rng.expovariate(1 / period))
            eventlet.spawn(self._write)

    def _write(self) -> None:
        for instance in list(self.instances.values()):
            log = instance.log
            if not instance.running() or not log.leads(OTHER_GROUP):
                continue
            command = bytes(self.rng.randrange(2 * self.options.record_bytes))
            try:
                count = log.propose(OTHER_GROUP, command, 1.0)
            except errors.MintcleatError:
                return
            if not instance.process.dead:
                self.records_acknowledged = max(
                    self.records_acknowledged, count
                )
            return

    def any_instance(self) -> Instance:
        return self.rng.choice(list(self.instances.values()))

    # Views of all instances, for schedules.

    def leader(self, group: str = machine.GROUP) -> Instance | None:
        for instance in self.instances.values():
            if instance.running() and instance.log.leads(group):
                return instance
        return None

    def voters(self, group: str = machine.GROUP) -> list[str]:
        leader = self.leader(group)
        if leader is None:
            return []
        state = leader.log.driver.core.replicas[group].state
        return [p.replica.instance for p in state.configuration.voters]

    def is_healthy(self) -> bool:
        """Returns whether each group has a leader and all its voters run."""
        for group in (machine.GROUP, OTHER_GROUP):
            leader = self.leader(group)
            if leader is None:
                return False
            state = leader.log.driver.core.replicas[group].state
            voters, learners = state.configuration
            if learners or len(voters) != self.options.group_size:
                return False
            if state.configuration_index > state.commit:
                return False
            for peer in voters:
                instance = self.instances.get(peer.replica.instance)
                if instance is None or not instance.running():
                    return False
                if instance.log.driver.core.me != peer.replica:
                    return False
        return True

    def check_machines(self) -> None:
        """Compares each state machine with the commands that its log applied.

        Raises:
            Fault: A machine lacks an applied command.
        """
        for instance in self.instances.values():
            if not instance.running() or instance.log.driver is None:
                continue
            self._check_config(instance)
            self._check_records(instance)

    def _check_records(self, instance: Instance) -> None:
        state = instance.log.driver.core.replicas[OTHER_GROUP].state
        index = state.applied
        while index > 0 and index not in self.counts:
            index -= 1
        expected = self.counts.get(index, 0)
        if instance.records.count != expected:
            raise Fault(
                f"{instance.name} applied up to {state.applied}, {expected}"
                f" commands; its machine has {instance.records.count}"
            )

    def _check_config(self, instance: Instance) -> None:
        state = instance.log.driver.core.replicas[machine.GROUP].state
        version = 0
        for entry in state.log.between(state.log.base_index + 1, state.applied):
            if entry.kind == types.COMMAND:
                decoded = commands.decode(entry.data)
                if isinstance(decoded, commands.PushVersion):
                    version = max(version, decoded.version)
        if instance.config.machine.document.version < version:
            raise Fault(
                f"{instance.name} applied up to {state.applied}, version"
                f" {version}; its machine has"
                f" {instance.config.machine.document.version}"
            )


def _manifest(version: int) -> str:
    service = manifest.Service(kind="model", model="m", version=str(version))
    return manifest.render(manifest.Manifest(services={"chat": service}))
