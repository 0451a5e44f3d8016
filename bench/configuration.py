"""Measures how fast a manifest spreads, and what following it costs.

    python bench/configuration.py spread    time until the last node has it
    python bench/configuration.py cost      bytes and CPU, idle and changing
    python bench/configuration.py sizes     bytes against manifest size
    python bench/configuration.py failover  time to a push after a lost leader

Three control instances with disks run as processes; nodes share a few more.
The leader and both relays serve a third of the nodes each. The baseline polls
the leader for the revision each second and reads the manifest when it changed.
Each command prints a table.
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
    """Measures the time from acceptance of a push to the last node's apply."""
    print("nodes  way      p50 s   p99 s   max s   pushes")
    for count in (10, 100, 500):
        results = {}
        for scheme in ("nodes", "pollers"):
            results[scheme] = measure_spread(count, scheme, pushes)
            p50, p99, slowest = (
                quantile(results[scheme], fraction)
                for fraction in (0.5, 0.99, 1.0)
            )
            print(
                f"{count:5}  {processes.SCHEME_NAMES[scheme]:7}  {p50:.3f}"
                f"   {p99:.3f}   {slowest:.3f}   {len(results[scheme])}",
                flush=True,
            )
        ratio = quantile(results["pollers"], 0.5) / quantile(
            results["nodes"], 0.5
        )
        print(f"       polling / stream at p50: {ratio:.0f}")


def measure_spread(count: int, scheme: str, pushes: int) -> list[float]:
    """Returns the seconds that each push took to the last node."""
    cluster = processes.Cluster(count, scheme)
    try:
        cluster.push(
            processes.make_manifest(processes.SMALL_MANIFEST_BYTES, "0")
        )
        cluster.wait_applied()
        for number in range(1, pushes + 1):
            # Intervals differ, so that pushes fall on different phases of the
            # polls.
            time.sleep(1.0 + (number * 0.618) % 1.0)
            cluster.push(
                processes.make_manifest(
                    processes.SMALL_MANIFEST_BYTES, str(number)
                )
            )
        cluster.wait_applied()
        accepted = dict(cluster.record(cluster.leader).events)
        last: dict[float, float] = {}
        for process in cluster.nodes:
            for revision, at in cluster.record(process).events:
                last[revision] = max(last.get(revision, 0.0), at)
    finally:
        cluster.stop()
    return [at - accepted[rev] for rev, at in last.items() if rev > 1]


def cost(seconds: float = 15.0) -> None:
    """Measures traffic and CPU, idle and at 10 times the users' changes."""
    print(
        "nodes  way      load  node CPU %  node B/s up  node B/s down"
        "  leader CPU %  relay CPU %  leader MB  node process MB"
    )
    rows: dict[str, list[tuple[int, processes.Window]]] = {
        "idle": [],
        "10x": [],
    }
    for scheme, count in (
        ("nodes", 10),
        ("nodes", 100),
        ("nodes", 250),
        ("nodes", 500),
        ("pollers", 500),
    ):
        for name, window in measure_cost(scheme, count, seconds).items():
            if scheme == "nodes":
                rows[name].append((count, window))
    for name, points in rows.items():
        leader = slope([(n, w.leader_cpu) for n, w in points]) * 3
        relay = slope([(n, w.relay_cpu) for n, w in points]) * 3
        print(
            f"{name}: {leader * 1e6:.0f} us of a core per second and node"
            f" served at the leader, {relay * 1e6:.0f} at a relay"
            " (a third of the nodes each)"
        )


def measure_cost(
    scheme: str, count: int, seconds: float
) -> dict[str, processes.Window]:
    """Measures and prints both loads with one number of nodes."""
    cluster = processes.Cluster(count, scheme)
    results = {}
    try:
        cluster.push(
            processes.make_manifest(processes.SMALL_MANIFEST_BYTES, "0")
        )
        cluster.wait_applied()
        time.sleep(3.0)
        for name, rate in (
            ("idle", 0.0),
            ("10x", 10 * processes.USER_CHANGES_PER_SECOND),
        ):
            window = cluster.measure(seconds, rate)
            results[name] = window
            print(
                f"{count:5}  {processes.SCHEME_NAMES[scheme]:7}  {name:4}"
                f"  {window.node_cpu * 100:10.3f}"
                f"  {window.node_sent:11.0f}  {window.node_received:13.0f}"
                f"  {window.leader_cpu * 100:12.2f}"
                f"  {window.relay_cpu * 100:11.2f}"
                f"  {cluster.leader.usage().resident / 1e6:9.1f}"
                f"  {cluster.nodes[0].usage().resident / 1e6:15.1f}",
                flush=True,
            )
    finally:
        cluster.stop()
    return results


def sizes(changes: int = 10) -> None:
    """Measures the bytes that a node receives for one changed section."""
    print("manifest B   first B/node   change B/node   change / manifest")
    for size in (10_000, 100_000, 1_000_000, 5_000_000):
        cluster = processes.Cluster(10)
        try:
            text = processes.make_manifest(size, "0")
            received = _received(cluster)
            cluster.push(text)
            cluster.wait_applied()
            first = (_received(cluster) - received) / cluster.count
            time.sleep(1.0)
            idle = _idle_bytes(cluster, 5.0)
            received, started = _received(cluster), time.monotonic()
            for number in range(1, changes + 1):
                cluster.push(processes.make_manifest(size, str(number)))
                cluster.wait_applied()
            elapsed = time.monotonic() - started
            total = (
                _received(cluster) - received
            ) / cluster.count - idle * elapsed
        finally:
            cluster.stop()
        change = total / changes
        print(
            f"{len(text):10}   {first:12.0f}   {change:13.0f}"
            f"   {change / len(text):.6f}",
            flush=True,
        )


def failover(count: int = 100, runs: int = 5, hang: bool = False) -> None:
    """Measures how soon a push is accepted and applied after a leader fails.

    Args:
        count: Number of nodes.
        runs: Number of runs.
        hang: Suspend the leader instead of killing it, and resume it after
            the push.
    """
    print("run  leader answers s  push accepted s  in force s  without lease s")
    for run in range(runs):
        cluster = processes.Cluster(count, "nodes", "--watch")
        try:
            cluster.push(
                processes.make_manifest(processes.SMALL_MANIFEST_BYTES, "0")
            )
            cluster.wait_applied()
            time.sleep(3.0)
            before = _leaseless(cluster)
            started_at = time.monotonic()
            cluster.lose_leader(hang)
            answers = time.monotonic() - started_at
            cluster.push(
                processes.make_manifest(processes.SMALL_MANIFEST_BYTES, "1")
            )
            accepted = time.monotonic() - started_at
            cluster.wait_applied()
            in_force = max(
                at
                for process in cluster.nodes
                for revision, at in cluster.record(process).events
                if revision == cluster.revision
            )
            time.sleep(5.0)
            if hang:
                cluster.resume_leader()
                time.sleep(5.0)
                cluster.push(
                    processes.make_manifest(processes.SMALL_MANIFEST_BYTES, "2")
                )
                cluster.wait_applied()
            # Node-seconds: a sample is taken each 0.05 s.
            lost = (_leaseless(cluster) - before) * 0.05
        finally:
            cluster.stop()
        print(
            f"{run:3}  {answers:16.2f}  {accepted:15.2f}"
            f"  {in_force - started_at:10.2f}  {lost:15.2f}",
            flush=True,
        )


def _leaseless(cluster: processes.Cluster) -> int:
    return sum(cluster.record(process).leaseless for process in cluster.nodes)


def _received(cluster: processes.Cluster) -> float:
    return sum(cluster.record(process).received for process in cluster.nodes)


def _idle_bytes(cluster: processes.Cluster, seconds: float) -> float:
    """Returns the bytes per second that a node receives without a change."""
    received = _received(cluster)
    time.sleep(seconds)
    return (_received(cluster) - received) / seconds / cluster.count


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile by rank; the largest value for 1."""
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[rank]


def slope(points: list[tuple[int, float]]) -> float:
    """Returns the slope of the least-squares line."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


if __name__ == "__main__":
    fire.Fire(
        {
            "spread": spread,
            "cost": cost,
            "sizes": sizes,
            "failover": failover,
        }
    )
