"""A process whose replicas keep as many turns as they may.

Prints its memory at its peak, in MB. Arguments: a folder, the memory that the
process may use, the share of it for what turns keep, and the number of groups.
"""

import os
import pathlib
import sys

# Importing it makes the sockets green.
import mintcleat.main as green  # isort: skip
from mintcleat.adapters import disk_thread
from mintcleat.adapters import process_memory
from mintcleat.adapters import streams
from mintcleat.adapters import timers
from mintcleat.adapters import wal
from mintcleat.domain import identities
from mintcleat.domain import program_messages
from mintcleat.programs import commands
from mintcleat.programs import machine
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import snapshots

assert green

# Sizes of a site that is at its limit (valve configuration dialogues).
INPUT_BYTES = 1700
OUTPUT_BYTES = 600
# Turns that end within one round of commands.
TURNS = 8


def close(number: int) -> program_messages.CloseTurn:
    return program_messages.CloseTurn(
        f"p{number // 5}", f"turn-{number:012d}", 1, "upstream", True, "",
        os.urandom(INPUT_BYTES), os.urandom(OUTPUT_BYTES), 60.0,
    )  # fmt: skip


def main() -> None:
    folder, share = sys.argv[1], float(sys.argv[3])
    memory, count = int(sys.argv[2]), int(sys.argv[4])
    hub = streams.TcpStreams("127.0.0.1:0")
    groups = {f"g{n}": machine.ProgramMachine(None) for n in range(count)}
    log = replication.GroupLog(
        identities.Incarnation("c1", 1),
        hub.address,
        [replication.Member("c1", hub.address, "a", "r")],
        wal.FileWal(pathlib.Path(folder)),
        list(groups),
        streams=hub,
        timers=timers.EventletTimers(),
        options=replication.Options(
            snapshots=snapshots.limits_for(memory, count)
        ),
        worker=disk_thread.DiskThread(),
    )
    for name, group in groups.items():
        log.attach(name, group)
    log.start()
    for name in groups:
        log.barrier(name, 10.0)
    number = 0
    while sum(g.branches.kept_bytes for g in groups.values()) < memory * share:
        for name in groups:
            closed = [close(number + n) for n in range(TURNS)]
            command = commands.encode(commands.Command(1.0, 1.0, closed))
            log.propose(name, command, 10.0)
            number += TURNS
    print(process_memory.peak_mb())


if __name__ == "__main__":
    main()
