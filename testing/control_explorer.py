"""Seeded schedules of faults for control instances, in virtual time.

`python testing/control_explorer.py --seeds 200` runs that many schedules and
prints the failing seeds, with `--story` also their events. Set PYTHONHASHSEED
to repeat one.
"""

from collections.abc import Callable
import sys
import time

import eventlet
from testing.fakes import control_cluster
from testing.fakes import virtual_time

from mintcleat.domain import operator_messages

Fault = control_cluster.Fault
# An instance counts as lost until this long after it has returned.
CATCH_UP_SECONDS = 6.0
# Number of instances that may be lost at the same time.
MAX_LOST = 2
# Time in which the cluster must recover after the faults.
RECOVERY_SECONDS = 15.0
# Failures of all instances at the end of a schedule. The groups are repaired
# before each of them.
TOTAL_FAILURES = 3


class Schedule:
    """Draws faults from the seed, at most `MAX_LOST` instances at a time."""

    def __init__(self, cluster: control_cluster.Cluster) -> None:
        self.cluster = cluster
        self.rng = cluster.rng
        self.replaced = 0

    def run(self, seconds: float) -> None:
        cluster = self.cluster
        self._until(
            cluster.is_healthy, 12.0, "the groups were not bootstrapped"
        )
        cluster.push()
        cluster.spawn(cluster.read_forever, 0.05)
        cluster.spawn(cluster.write_forever, self.rng.choice((0.01, 0.05)))
        cluster.spawn(self._push_forever)
        end = cluster.now() + seconds
        while cluster.now() < end:
            cluster.check()
            cluster.check_machines()
            self._disturb()
            eventlet.sleep(self.rng.choice((0.0, 0.1, 0.5, 1.0, 2.0)))
        self._settle()
        for _ in range(TOTAL_FAILURES):
            self._fail_all()
            self._settle()
        cluster.running = False

    def _push_forever(self) -> None:
        while self.cluster.running:
            self.cluster.push()
            eventlet.sleep(self.rng.choice((0.0, 0.1, 1.0, 2.0)))

    def _until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        cluster = self.cluster
        end = cluster.now() + seconds
        while not condition():
            cluster.check()
            if cluster.now() > end:
                raise Fault(f"{what} within {seconds} s")
            eventlet.sleep(0.05)

    # Which instances may be lost.

    def _lost(self) -> list[control_cluster.Instance]:
        now = self.cluster.now()
        return [
            one
            for one in (*self.cluster.instances.values(), *self.cluster.gone)
            if one.lost_until > now
        ]

    def _victims(self, most: int) -> list[control_cluster.Instance]:
        """Returns instances that may be lost now, the leader more often."""
        room = min(most, MAX_LOST - len(self._lost()))
        found = []
        lost = self._lost()
        healthy = [
            one
            for one in self.cluster.instances.values()
            if one not in lost and one.running()
        ]
        for _ in range(room):
            leader = self.cluster.leader()
            if leader in healthy and self.rng.random() < 0.5:
                pick = leader
            elif healthy:
                pick = self.rng.choice(healthy)
            else:
                break
            healthy.remove(pick)
            found.append(pick)
        return found

    def _lose(self, one: control_cluster.Instance, seconds: float) -> None:
        one.lost_until = self.cluster.now() + seconds + CATCH_UP_SECONDS

    # Faults.

    def _disturb(self) -> None:
        action = self.rng.choice(
            (
                self._kill,
                self._power,
                self._wipe,
                self._wipe,
                self._freeze,
                self._cut,
                self._cut_pair,
                self._split,
                self._slow_disk,
                self._stall_disk,
                self._reset,
                self._terminate,
                self._busy,
                self._all_power,
                self._all_killed,
                self._replace,
                self._start_evacuation,
                self._degrade_network,
            )
        )
        action()

    def _down(
        self, what: str, seconds: float, most: int, act: Callable[..., None]
    ) -> None:
        for one in self._victims(self.rng.randint(1, most)):
            self.cluster.note(f"{one.name} {what} for {seconds}")
            self._lose(one, seconds)
            act(one)
            eventlet.spawn_after(seconds, one.start)

    def _kill(self) -> None:
        pause = self.rng.choice((0.1, 0.5, 3.0))
        self._down("killed", pause, 2, lambda one: one.kill())

    def _power(self) -> None:
        pause = self.rng.choice((0.5, 1.5, 3.0, 7.0))
        self._down("dark", pause, 2, lambda one: one.lose_power())

    def _wipe(self) -> None:
        pause = self.rng.choice((0.3, 1.0, 1.8))
        self._down("wiped", pause, 2, lambda one: one.lose_power(True))

    def _freeze(self) -> None:
        seconds = self.rng.choice((0.2, 0.6, 2.0, 6.0))
        for one in self._victims(1):
            self.cluster.note(f"{one.name} frozen for {seconds}")
            self._lose(one, seconds)
            one.process.suspend()
            eventlet.spawn_after(seconds, self._thaw, one.process)

    def _thaw(self, process: virtual_time.VirtualProcess) -> None:
        process.resume()
        self.cluster.network.flush()

    def _heal_later(self, seconds: float) -> None:
        eventlet.spawn_after(seconds, self.cluster.network.heal)

    def _cut(self) -> None:
        seconds = self.rng.choice((0.5, 2.0, 5.0))
        for one in self._victims(2):
            self.cluster.note(f"{one.name} cut off for {seconds}")
            self._lose(one, seconds)
            everyone = [i.address for i in self.cluster.instances.values()]
            self.cluster.network.isolate(one.address, everyone)
            self._heal_later(seconds)

    def _cut_pair(self) -> None:
        pair = self._victims(1) + self._victims(1)
        if len(pair) < 2 or pair[0] is pair[1]:
            return
        seconds = self.rng.choice((1.0, 4.0))
        self.cluster.note(f"{pair[0].name} and {pair[1].name} lose each other")
        for one in pair:
            self._lose(one, seconds)
        self.cluster.network.isolate(pair[0].address, [pair[1].address])
        self._heal_later(seconds)

    def _split(self) -> None:
        """Partitions the instances into halves; none of them is lost."""
        if self._lost():
            return
        names = list(self.cluster.instances)
        self.rng.shuffle(names)
        half = names[: len(names) // 2]
        seconds = self.rng.choice((1.0, 3.0, 5.0))
        self.cluster.note(f"{half} split off for {seconds}")
        instances = self.cluster.instances
        for name in names:
            self._lose(instances[name], seconds)
        for name in half:
            others = [instances[n].address for n in names if n not in half]
            self.cluster.network.isolate(instances[name].address, others)
        self._heal_later(seconds)

    def _slow_disk(self) -> None:
        for one in self._victims(1):
            seconds = self.rng.choice((1.0, 4.0))
            self.cluster.note(f"{one.name}'s disk slow for {seconds}")
            self._lose(one, seconds)
            one.disk.sync_seconds = 0.15
            eventlet.spawn_after(
                seconds, setattr, one.disk, "sync_seconds", 0.005
            )

    def _stall_disk(self) -> None:
        for one in self._victims(1):
            seconds = self.rng.choice((0.5, 2.0, 5.0))
            self.cluster.note(f"{one.name}'s disk stalls for {seconds}")
            self._lose(one, seconds)
            one.disk.stalled = True
            eventlet.spawn_after(seconds, setattr, one.disk, "stalled", False)

    def _reset(self) -> None:
        for one in self._victims(1):
            self._lose(one, 0.0)
            self.cluster.network.reset(one.address, 0.6)

    def _terminate(self) -> None:
        for one in self._victims(1):
            self.cluster.note(f"{one.name} stopped")
            self._lose(one, 2.0)
            one.terminate()
            eventlet.spawn_after(2.0, one.start)

    def _busy(self) -> None:
        """Lets other work block the event loop for a while in each turn."""
        for one in self._victims(1):
            self._lose(one, 3.0)
            one.busy = self.rng.choice((0.005, 0.05, 0.2))
            one.log.timers.max_delay = one.busy
            eventlet.spawn_after(3.0, self._calm, one)

    def _calm(self, one: control_cluster.Instance) -> None:
        one.busy = 0.0
        one.log.timers.max_delay = 0.0

    def _all(self, what: str, power: bool, wiped: int = 0) -> float:
        pause = self.rng.choice((0.3, 0.7, 1.5))
        victims = self._holders(wiped)
        self.cluster.note(f"all {what}, {victims} wiped, for {pause}")
        for one in self.cluster.instances.values():
            self._lose(one, pause)
            if power:
                one.lose_power(one.name in victims)
            else:
                one.kill()
            late = self.rng.uniform(0.0, 0.3)
            eventlet.spawn_after(pause + late, one.start)
        return pause

    def _holders(self, most: int) -> list[str]:
        """Returns names of instances whose disks may be lost.

        They are mostly voters of the config group, with the leader first.
        """
        victims = self._victims(most) if most else []
        leader = self.cluster.leader()
        if len(victims) == most and leader and self.rng.random() < 0.7:
            others = [n for n in self.cluster.voters() if n != leader.name]
            names = [leader.name, *self.rng.sample(others, len(others))]
            return names[:most]
        return [one.name for one in victims]

    def _all_power(self) -> None:
        if self.rng.random() < 0.3:
            self._all("dark", True)

    def _all_killed(self) -> None:
        if self.rng.random() < 0.3:
            self._all("killed", False)

    def _add_replacement(self) -> None:
        self.replaced += 1
        domain = f"d{self.rng.randrange(4)}"
        one = self.cluster.add(f"n{self.replaced}", domain)
        one.start()
        self._lose(one, 0.0)

    def _remove(self, one: control_cluster.Instance) -> None:
        one.lose_power(True)
        del self.cluster.instances[one.name]
        self.cluster.gone.append(one)

    def _replace(self) -> None:
        """Removes an instance for good; an empty one joins as a new one."""
        for one in self._victims(1):
            self.cluster.note(f"{one.name} removed for good")
            # It counts as lost until the new instance has caught up.
            self._lose(one, 1.0)
            self._remove(one)
            eventlet.spawn_after(1.0, self._add_replacement)

    def _start_evacuation(self) -> None:
        for one in self._victims(1):
            self._lose(one, 10.0)
            self.cluster.spawn(self._evacuate, one)

    def _evacuate(self, one: control_cluster.Instance) -> None:
        """Evacuates an instance; once that is done, its disk is lost too."""
        cluster = self.cluster
        cluster.note(f"{one.name} to be evacuated")
        end = cluster.now() + 10.0
        start = True
        while cluster.now() < end and cluster.running:
            message = operator_messages.EvacuateControl(
                one.name, start, "o", "t"
            )
            answer = cluster.any_instance().call(message)
            start = start and answer is None
            if answer is not None and answer.done:
                cluster.note(f"{one.name} evacuated")
                one.lost_until = 0.0
                if one.name in cluster.instances:
                    self._remove(one)
                    self._add_replacement()
                if self.rng.random() < 0.5:
                    self._wipe()
                return
            eventlet.sleep(0.3)

    def _degrade_network(self) -> None:
        network = self.cluster.network
        network.loss = self.rng.choice((0.0, 0.0, 0.05))
        network.delay = self.rng.choice((0.0005, 0.002, 0.02))

    # The end.

    def _fail_all(self) -> None:
        """Fails all instances just after a push was sent or acknowledged."""
        cluster = self.cluster
        for one in (*cluster.instances.values(), *cluster.gone):
            one.lost_until = 0.0
        before = cluster.acknowledged
        if self.rng.random() < 0.5:
            end = cluster.now() + 10.0
            while cluster.acknowledged == before and cluster.now() < end:
                eventlet.sleep(0.001)
            eventlet.sleep(self.rng.choice((0.0, 0.002, 0.004)))
        else:
            cluster.spawn(cluster.push)
            eventlet.sleep(self.rng.uniform(0.005, 0.4))
        kind = self.rng.choice(("dark", "killed", "wiped", "wiped"))
        self._all(kind, kind != "killed", MAX_LOST if kind == "wiped" else 0)
        eventlet.sleep(2.0)

    def _settle(self) -> None:
        """Ends all faults; every instance must then answer reads.

        Each answer must have at least the acknowledged version.
        """
        cluster = self.cluster
        cluster.network.heal()
        cluster.network.loss = 0.0
        cluster.network.delay = 0.0005
        for one in cluster.instances.values():
            one.start()
            one.process.resume()
            one.disk.stalled = False
            one.disk.sync_seconds = 0.005
        cluster.network.flush()
        self._until(
            lambda: cluster.leader() is not None,
            RECOVERY_SECONDS,
            "no instance leads",
        )
        for _ in range(40):
            cluster.check()
            cluster.check_machines()
            eventlet.sleep(0.1)
        for one in cluster.instances.values():
            self._until(
                lambda one=one: cluster.read(one),
                RECOVERY_SECONDS,
                f"{one.name} answered no read",
            )
        self._until(
            cluster.is_healthy, RECOVERY_SECONDS, "the groups were not repaired"
        )
        cluster.check()
        cluster.check_machines()


def explore(seed: int, seconds: float = 20.0) -> control_cluster.Cluster:
    """Runs one schedule; raises Fault if a guarantee is violated."""

    def body() -> control_cluster.Cluster:
        cluster = control_cluster.Cluster(seed)
        try:
            Schedule(cluster).run(seconds)
        except Fault as error:
            error.cluster = cluster
            raise
        finally:
            cluster.close()
        return cluster

    return virtual_time.run(body)


def main(
    seeds: int = 100, first: int = 1, seconds: float = 20.0, story: bool = False
) -> None:
    """Runs schedules and prints the failing seeds."""
    from loguru import logger

    logger.remove()
    if story:
        logger.add(sys.stderr, level="WARNING")
    started = time.monotonic()
    failed = 0
    for seed in range(first, first + seeds):
        try:
            cluster = explore(seed, seconds)
        except Fault as error:
            failed += 1
            cluster = error.cluster
            print(f"seed {seed}: {error}", flush=True)
        if story:
            print("\n".join(cluster.story))
        print(
            f"seed {seed}: {cluster.version} {cluster.acknowledged}"
            f" reads {cluster.answered}/{cluster.reads}"
            f" records {cluster.records_acknowledged}"
            f" failures {cluster.failures[:3]}",
            flush=True,
        )
    spent = time.monotonic() - started
    print(f"{seeds} schedules, {failed} failed, {spent:.1f} s")


if __name__ == "__main__":
    import fire

    fire.Fire(main)
