"""How fast a manifest is in force everywhere, and what following costs.

    python bench/configuration.py spread    time to the last node
    python bench/configuration.py cost      bytes and CPU, idle and changing
    python bench/configuration.py sizes     bytes against manifest size
    python bench/configuration.py failover  what a lost leader costs

Three control instances with disks run as processes, with light nodes in a
few more; the leader and both relays serve a third of them each. The baseline
polls the leader for the revision each second and reads the manifest when it
changed. Each command prints a table.
"""

import pathlib
import sys
import time

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import eventlet

eventlet.monkey_patch()

import fire

from bench import config_processes as processes


def spread(pushes: int = 20) -> None:
    """Time from acceptance to in force at the last node."""
    print("nodes  way      p50 s   p99 s   max s   pushes")
    for count in (10, 100, 500):
        found = {}
        for way in ("nodes", "pollers"):
            found[way] = _spread(count, way, pushes)
            p50, p99, most = (
                quantile(found[way], share) for share in (0.5, 0.99, 1.0)
            )
            print(
                f"{count:5}  {processes.WAY[way]:7}  {p50:.3f}"
                f"   {p99:.3f}   {most:.3f}   {len(found[way])}",
                flush=True,
            )
        ratio = quantile(found["pollers"], 0.5) / quantile(found["nodes"], 0.5)
        print(f"       polling / stream at p50: {ratio:.0f}")


def _spread(count: int, way: str, pushes: int) -> list[float]:
    rig = processes.Rig(count, way)
    try:
        rig.push(processes.manifest_of(processes.SMALL, "0"))
        rig.settle()
        for number in range(1, pushes + 1):
            # An uneven step, so that pushes do not fall on the same phase of
            # the polls.
            time.sleep(1.0 + (number * 0.618) % 1.0)
            rig.push(processes.manifest_of(processes.SMALL, str(number)))
        rig.settle()
        accepted = dict(rig.record(rig.leader).events)
        last: dict[float, float] = {}
        for process in rig.nodes:
            for revision, at in rig.record(process).events:
                last[revision] = max(last.get(revision, 0.0), at)
    finally:
        rig.stop()
    return [at - accepted[rev] for rev, at in last.items() if rev > 1]


def cost(seconds: float = 15.0) -> None:
    """Bytes and CPU per node, idle and at 10 times the users' changes."""
    print(
        "nodes  way      load  node CPU %  node B/s up  node B/s down"
        "  leader CPU %  relay CPU %  leader MB  node process MB"
    )
    rows: dict[str, list[tuple[int, processes.Window]]] = {
        "idle": [],
        "10x": [],
    }
    for way, count in (
        ("nodes", 10),
        ("nodes", 100),
        ("nodes", 250),
        ("nodes", 500),
        ("pollers", 500),
    ):
        for name, window in _cost(way, count, seconds).items():
            if way == "nodes":
                rows[name].append((count, window))
    for name, points in rows.items():
        leader = slope([(n, w.leader_cpu) for n, w in points]) * 3
        relay = slope([(n, w.relay_cpu) for n, w in points]) * 3
        print(
            f"{name}: {leader * 1e6:.0f} us of a core per second and node"
            f" served at the leader, {relay * 1e6:.0f} at a relay"
            " (a third of the nodes each)"
        )


def _cost(way: str, count: int, seconds: float) -> dict[str, processes.Window]:
    """Measures and prints both loads of one size."""
    rig = processes.Rig(count, way)
    found = {}
    try:
        rig.push(processes.manifest_of(processes.SMALL, "0"))
        rig.settle()
        time.sleep(3.0)
        for name, rate in (("idle", 0.0), ("10x", 10 * processes.USER_RATE)):
            window = rig.measure(seconds, rate)
            found[name] = window
            print(
                f"{count:5}  {processes.WAY[way]:7}  {name:4}"
                f"  {window.node_cpu * 100:10.3f}"
                f"  {window.node_sent:11.0f}  {window.node_received:13.0f}"
                f"  {window.leader_cpu * 100:12.2f}"
                f"  {window.relay_cpu * 100:11.2f}"
                f"  {rig.leader.usage().resident / 1e6:9.1f}"
                f"  {rig.nodes[0].usage().resident / 1e6:15.1f}",
                flush=True,
            )
    finally:
        rig.stop()
    return found


def sizes(changes: int = 10) -> None:
    """Bytes that a node receives for one changed section."""
    print("manifest B   first B/node   change B/node   change / manifest")
    for size in (10_000, 100_000, 1_000_000, 5_000_000):
        rig = processes.Rig(10)
        try:
            text = processes.manifest_of(size, "0")
            begin = _received(rig)
            rig.push(text)
            rig.settle()
            first = (_received(rig) - begin) / rig.count
            time.sleep(1.0)
            idle = _idle_bytes(rig, 5.0)
            begin, started = _received(rig), time.monotonic()
            for number in range(1, changes + 1):
                rig.push(processes.manifest_of(size, str(number)))
                rig.settle()
            passed = time.monotonic() - started
            total = (_received(rig) - begin) / rig.count - idle * passed
        finally:
            rig.stop()
        change = total / changes
        print(
            f"{len(text):10}   {first:12.0f}   {change:13.0f}"
            f"   {change / len(text):.6f}",
            flush=True,
        )


def failover(count: int = 100, runs: int = 5, hang: bool = False) -> None:
    """Kills the leader; when a push is accepted and in force again.

    Args:
        count: Nodes.
        runs: How often.
        hang: Stop the leader silently, and let it go on after the push.
    """
    print("run  leader answers s  push accepted s  in force s  without lease s")
    for run in range(runs):
        rig = processes.Rig(count, "nodes", "--watch")
        try:
            rig.push(processes.manifest_of(processes.SMALL, "0"))
            rig.settle()
            time.sleep(3.0)
            before = _leaseless(rig)
            begin = time.monotonic()
            rig.lose_leader(hang)
            answers = time.monotonic() - begin
            rig.push(processes.manifest_of(processes.SMALL, "1"))
            accepted = time.monotonic() - begin
            rig.settle()
            in_force = max(
                at
                for process in rig.nodes
                for revision, at in rig.record(process).events
                if revision == rig.revision
            )
            time.sleep(5.0)
            if hang:
                rig.wake_leader()
                time.sleep(5.0)
                rig.push(processes.manifest_of(processes.SMALL, "2"))
                rig.settle()
            # Node-seconds over all nodes, sampled each 0.05 s.
            lost = (_leaseless(rig) - before) * 0.05
        finally:
            rig.stop()
        print(
            f"{run:3}  {answers:16.2f}  {accepted:15.2f}"
            f"  {in_force - begin:10.2f}  {lost:15.2f}",
            flush=True,
        )


def _leaseless(rig: processes.Rig) -> int:
    return sum(rig.record(process).leaseless for process in rig.nodes)


def _received(rig: processes.Rig) -> float:
    return sum(rig.record(process).received for process in rig.nodes)


def _idle_bytes(rig: processes.Rig, seconds: float) -> float:
    """Returns the bytes a second that a node receives without a change."""
    begin = _received(rig)
    time.sleep(seconds)
    return (_received(rig) - begin) / seconds / rig.count


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile by rank; the largest for 1."""
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[place]


def slope(points: list[tuple[int, float]]) -> float:
    """Returns the slope of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


if __name__ == "__main__":
    fire.Fire(
        {
            "spread": spread,
            "cost": cost,
            "sizes": sizes,
            "failover": failover,
        }
    )
