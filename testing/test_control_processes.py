"""Control instances as real processes whose machines have faults."""

import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
# Three control instances; asyncio needs a process of its own, because other
# tests replace its sockets.
FLEET = """
import asyncio, pathlib, sys
from testing.soak import processes

async def whole(fleet):
    for _ in range(100):
        if fleet.is_whole():
            return True
        await asyncio.sleep(0.2)
    return False

async def lose_disk(node, clock):
    node.kill()
    node.wipe()
    node.harm(clock=clock)
    node.start()
    await asyncio.sleep(2.0)

async def main():
    network = processes.free_network()
    folder = pathlib.Path(sys.argv[1])
    fleet = processes.Fleet(network, folder, 3, 0, "")
    try:
        await fleet.start()
        assert await whole(fleet)
        await run(fleet)
    finally:
        await fleet.stop()
"""


def _run(code: str, folder: pathlib.Path) -> subprocess.CompletedProcess:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return subprocess.run(
        [sys.executable, "-c", f"{FLEET}{code}\nasyncio.run(main())", folder],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        timeout=90.0,
    )


def test_control_that_lost_its_disk_joins_after_its_clock_was_set_back(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against an instance that ends at each start until its clock has
    # passed the time at which its last disk was made.
    done = _run(
        """
async def run(fleet):
    node = fleet.controls[2]
    await lose_disk(node, clock=600)
    assert await whole(fleet)
    await lose_disk(node, clock=0)
    assert not node.has_ended(), node.log_path.read_text()[-400:]
    assert await whole(fleet)
""",
        tmp_path,
    )
    assert done.returncode == 0, done.stderr


def test_control_that_lost_its_disk_joins_each_time(
    tmp_path: pathlib.Path,
) -> None:
    done = _run(
        """
async def run(fleet):
    for node in fleet.controls[1:]:
        await lose_disk(node, clock=0)
        assert not node.has_ended()
        assert await whole(fleet)
""",
        tmp_path,
    )
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_control_that_stops_ends_in_order_under_further_signals(
    name: str, tmp_path: pathlib.Path
) -> None:
    done = _run(
        f"""
import signal

async def run(fleet):
    for node in fleet.controls:
        process = node.process
        node.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        while process.poll() is None:
            process.send_signal(signal.{name})
            await asyncio.sleep(0.001)
        assert process.returncode == 0, process.returncode
""",
        tmp_path,
    )
    assert done.returncode == 0, done.stderr
