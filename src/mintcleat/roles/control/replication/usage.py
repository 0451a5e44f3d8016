"""What an instance holds for its groups, for the operators' log."""

from mintcleat.roles.control.replication import driver as replication_driver


def measure(driver: replication_driver.Driver) -> dict[str, int]:
    """Returns what a driver holds: counts of entries, bytes of all else."""
    replicas = driver.core.replicas.values()
    logs = [replica.state.log.entries for replica in replicas]
    waiting = [item.box.records for item in driver.unsynced]
    return {
        "entries": sum(map(len, logs)),
        "entry_bytes": sum(len(e.data) for log in logs for e in log),
        "unsynced_bytes": sum(len(r) for records in waiting for r in records),
        "link_bytes": driver.links.queued_bytes(),
        "snapshot_bytes": driver.links.bulk_bytes,
        "lent_bytes": sum(
            len(lent.state) for lent in driver.snapshots.in_use.values()
        ),
        "log_bytes": driver.wal.size(),
    }
