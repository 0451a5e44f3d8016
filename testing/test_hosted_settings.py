"""The settings file of a hosted process: what it holds, and its changes."""

from collections.abc import Iterator
import os
import pathlib
import random
import subprocess
import sys
import time

from bench import hosted_processes
import pytest

from mintcleat.domain import errors
from mintcleat.platform import machine_settings

ROOT = pathlib.Path(__file__).parent.parent
WAIT_SECONDS = 20.0
LAUNCH = ("-m", "mintcleat.launch")
# Sends the process SIGHUP at each import after that of the first module.
SIGNAL_AT_IMPORTS = """
import os, signal, sys
from mintcleat import launch

class Finder:
    @staticmethod
    def find_spec(name, path=None, target=None):
        os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder)
launch.main()
"""
UNREADABLE = {
    "no text": lambda whole: whole + b"\xff\xfe = 1\n",
    "cut off": lambda whole: whole[: len(whole) // 2],
    "empty": lambda whole: b"",
    "no ports": lambda whole: whole.replace(b"[7400, 7410]", b"[]"),
    "a number for ports": lambda whole: whole.replace(b"[7400, 7410]", b"7"),
    "a number for a seed": lambda whole: whole.replace(
        b'seeds = ["', b'seeds = [5, "'
    ),
    "text for a limit": lambda whole: whole.replace(b"220", b'"much"'),
    "text for a policy": lambda whole: whole.replace(
        b"graceS = 8", b'graceS = 8\nquotaWindowS = "5"'
    ),
    "a negative policy": lambda whole: whole.replace(
        b"graceS = 8", b"graceS = 8\nquotaOverage = -1"
    ),
    "text for a bound": lambda whole: whole.replace(
        b"graceS = 8", b"graceS=[]"
    ),
}


class Process:
    """A hosted process and its settings file."""

    def __init__(self, role: str, folder: pathlib.Path) -> None:
        self.role = role
        self.folder = folder
        self.path = folder / f"{role}.toml"
        host = f"127.{random.randrange(20, 250)}.{random.randrange(250)}.1"
        fields = hosted_processes.settings(role, "node-1", host, [host], folder)
        fields["limits"] = {"memoryMb": 220}
        fields["bounds"] = {"graceS": 8}
        self.whole = hosted_processes.toml(fields).encode()
        self.path.write_bytes(self.whole)
        self.running: subprocess.Popen | None = None

    def start(self, *program: str) -> subprocess.Popen:
        with (self.folder / "log").open("a") as log:
            self.running = subprocess.Popen(
                [sys.executable, *(program or LAUNCH), self.role],
                stdout=log,
                stderr=log,
                env=hosted_processes.environment(ROOT, self.path),
                cwd=ROOT,
            )
        return self.running

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def wait_for(self, text: str, times: int = 1) -> None:
        until = time.monotonic() + WAIT_SECONDS
        while self.log().count(text) < times:
            assert self.running.poll() is None, self.log()
            assert time.monotonic() < until, self.log()
            time.sleep(0.02)


@pytest.fixture(params=["control", "entry"])
def process(
    request: pytest.FixtureRequest, tmp_path: pathlib.Path
) -> Iterator[Process]:
    made = Process(request.param, tmp_path)
    yield made
    if made.running is not None:
        made.running.kill()
        made.running.wait()


@pytest.mark.parametrize("name", UNREADABLE)
def test_settings_that_can_not_be_read_are_one_kind_of_error(
    name: str, tmp_path: pathlib.Path
) -> None:
    made = Process("control", tmp_path)
    changed = UNREADABLE[name](made.whole)
    assert changed != made.whole
    made.path.write_bytes(changed)
    with pytest.raises(errors.InvalidSettings, match=r"settings file"):
        machine_settings.load(made.path, machine_settings.CONTROL)


def test_process_outlives_settings_that_can_not_be_read(
    process: Process,
) -> None:
    # Guards against the end of all processes at once when the file that they
    # share the template of changes to what can't be decoded.
    process.start()
    process.wait_for("process_started")
    for number, name in enumerate(("no text", "no ports", "cut off")):
        process.path.write_bytes(UNREADABLE[name](process.whole))
        process.wait_for("Settings were not reloaded", number + 1)


def test_start_waits_for_settings_that_are_being_written(
    process: Process,
) -> None:
    process.path.write_bytes(process.whole[: len(process.whole) // 2])
    process.start()
    process.wait_for("Waiting for settings")
    process.path.write_bytes(process.whole)
    process.wait_for("process_started")


def test_start_without_settings_ends_with_an_error(process: Process) -> None:
    process.path.unlink()
    running = process.start()
    assert running.wait(WAIT_SECONDS) == 2
    assert "remedy" in process.log()


def test_reload_signal_during_the_start_does_not_end_the_process(
    process: Process,
) -> None:
    process.start("-c", SIGNAL_AT_IMPORTS)
    process.wait_for("process_started")
    process.path.write_bytes(process.whole + b"\n")
    process.wait_for("settings_reloaded")


def test_change_that_keeps_the_time_of_the_file_is_noticed(
    process: Process,
) -> None:
    # Guards against seeds of instances that are gone: tools that write a file
    # with a fixed time, or twice within one tick of the clock, change it only.
    process.start()
    process.wait_for("process_started")
    times = (process.path.stat().st_atime_ns, process.path.stat().st_mtime_ns)
    process.path.write_bytes(process.whole + b"\n")
    os.utime(process.path, ns=times)
    process.wait_for("settings_reloaded")
