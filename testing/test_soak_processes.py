"""Tests the processes of the soak test."""

import asyncio
import pathlib
import subprocess
import sys
import types

from testing.soak import processes

# Handles SIGTERM only some time after its start, as a process of the product.
_PROGRAM = """
import signal, sys, time
time.sleep(0.5)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
time.sleep(30.0)
"""


def test_stop_of_a_process_that_has_just_started_is_handled_by_it() -> None:
    # Guards against an interpreter that a signal ends before it has a handler.
    fleet = types.SimpleNamespace(network="127.20", folder=pathlib.Path("."))
    node = processes.Node(fleet, "entry-1", "entry", 11)
    with subprocess.Popen([sys.executable, "-c", _PROGRAM]) as process:
        node.process = process
        assert asyncio.run(node.stop()) == 0
