"""Resource usage of the groups on an instance, for the operators' log."""

from mintcleat.roles.control.replication import driver as replication_driver


def measure(driver: replication_driver.Driver) -> dict[str, int]:
    """Returns the resources that a driver uses.

    `entries` is the number of log entries in memory; all other values are in
    bytes. `log_bytes` is the size of the write-ahead log on disk.
    """
    replicas = driver.core.replicas.values()
    logs = [replica.state.log.entries for replica in replicas]
    return {
        "entries": sum(map(len, logs)),
        "entry_bytes": sum(len(e.data) for log in logs for e in log),
        "unsynced_bytes": driver.disk.unsynced_bytes(),
        "link_bytes": driver.links.queued_bytes(),
        "snapshot_bytes": driver.links.bulk_bytes,
        "lent_bytes": sum(
            len(shared.state) for shared in driver.snapshots.in_use.values()
        ),
        "log_bytes": driver.wal.size(),
    }
