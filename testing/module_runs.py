"""Runs a module of the tests, or code, as a process of its own.

What it leaves of its event loop must not disturb the sockets of other tests,
and these replace sockets of theirs.
"""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent


def run(
    module: str, *arguments: str, seconds: float
) -> subprocess.CompletedProcess:
    """Runs a module to its end.

    Args:
        module: Its name, such as `testing.soak`.
        arguments: Its command line.
        seconds: Time after which it is ended.

    Raises:
        subprocess.TimeoutExpired: It did not end in time.
    """
    return _run(["-m", module, *arguments], seconds)


def run_code(
    code: str, *arguments: str, seconds: float
) -> subprocess.CompletedProcess:
    """Runs code to its end; see `run`."""
    return _run(["-c", code, *arguments], seconds)


def _run(arguments: list[str], seconds: float) -> subprocess.CompletedProcess:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        timeout=seconds,
    )
