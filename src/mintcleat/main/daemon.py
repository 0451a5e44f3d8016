"""The daemon `mintcleatd`: runs roles from a settings file, or all locally."""

from collections.abc import Callable
import pathlib
import signal
import sys
from typing import Any

import eventlet
import fire
from loguru import logger

from mintcleat.adapters import logs
from mintcleat.adapters import settings as settings_module
from mintcleat.domain import errors
from mintcleat.main import assembly
from mintcleat.main import local as local_module
from mintcleat.main import standin

_EXIT_OK = 0
_EXIT_INTERRUPTED = 1
_EXIT_SETTINGS = 2
_EXIT_START = 3
_EXIT_FAILED = 4
_POLL_SECONDS = 0.05

_USAGE = """usage:
  mintcleatd SETTINGS            run the roles that the file names
  mintcleatd --check SETTINGS    list all errors in the file
  mintcleatd local [--entry IP:PORT] [--admin IP:PORT] [--data DIR]
                                 all roles with stand-ins, in one process
  mintcleatd standin engine|service IP:PORT
                                 a stand-in upstream, for experiments and tests
"""


class Signals:
    """Counts stop signals; the second one forces an immediate stop."""

    def __init__(self) -> None:
        self.received = 0
        signal.signal(signal.SIGTERM, self.count_signal)
        signal.signal(signal.SIGINT, self.count_signal)

    def count_signal(self, number: int, frame: Any) -> None:
        """Counts a signal, as a handler of SIGTERM and SIGINT."""
        self.received += 1

    def wait(self, process: Any) -> None:
        """Returns after the first stop signal, or when the process fails."""
        while not self.received and process.failure() is None:
            eventlet.sleep(_POLL_SECONDS)

    def is_forced(self) -> bool:
        """Returns whether a second stop signal arrived."""
        return self.received > 1


def main() -> None:
    """Runs the command line; exits 0 only if no request was interrupted."""
    arguments = sys.argv[1:]
    match arguments:
        case ["local", *rest]:
            sys.exit(fire.Fire(run_local, rest, name="mintcleatd local"))
        case ["standin", ("engine" | "service") as kind, listen]:
            sys.exit(run_process(lambda: standin.Standin(kind, listen)))
        case ["--check", path]:
            sys.exit(check(pathlib.Path(path)))
        case [path] if not path.startswith("-"):
            sys.exit(run_settings(pathlib.Path(path)))
        case _:
            print(_USAGE, end="", file=sys.stderr)
            sys.exit(_EXIT_SETTINGS)


def run_local(
    entry: str = "127.0.0.1:8080",
    admin: str = "127.0.0.1:8081",
    data: str = "mintcleat-data",
) -> None:
    """Runs all roles, two stand-in engines and a stand-in service."""
    logs.configure("local", "warning", as_json=False)
    folder = pathlib.Path(data)
    sys.exit(run_process(lambda: local_module.Local(entry, admin, folder)))


def settings_errors(path: pathlib.Path) -> list[errors.InvalidSettings]:
    """Returns all errors in a settings file."""
    try:
        settings_module.load(path)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


def check(path: pathlib.Path, quiet: bool = False) -> int:
    """Prints all errors in a settings file; returns the exit code."""
    found = settings_errors(path)
    for error in found:
        print(error, file=sys.stderr)
    if found:
        return _EXIT_SETTINGS
    if not quiet:
        print(f"{path}: no faults")
    return _EXIT_OK


def run_settings(path: pathlib.Path) -> int:
    """Runs the roles of a settings file; returns the exit code."""
    code = check(path, quiet=True)
    if code != _EXIT_OK:
        return code
    settings = settings_module.load(path)
    logs.configure(
        settings.instance, settings.logs.level, settings.logs.form == "json"
    )
    return run_process(lambda: assembly.Process(settings))


def run_process(build: Callable[[], Any]) -> int:
    """Builds and starts a process, runs it until a stop signal and stops it.

    Args:
        build: Returns the process, such as an `assembly.Process`.

    Returns:
        The exit code.
    """
    signals = Signals()
    try:
        process = build()
        process.start()
    except errors.MintcleatError as error:
        print(f"mintcleatd: {error.detail}", file=sys.stderr)
        print(f"remedy: {error.remedy}", file=sys.stderr)
        return _EXIT_START
    except OSError as error:
        print(f"mintcleatd: {error}", file=sys.stderr)
        print("remedy: Free the address or set another one.", file=sys.stderr)
        return _EXIT_START
    print(process.ready_line(), flush=True)
    signals.wait(process)
    failure = process.failure()
    if failure is not None:
        logger.error("Stopping: {}", failure)
        process.stop(lambda: True)
        return _EXIT_FAILED
    logger.info("Stopping; a second signal stops at once.")
    interrupted = process.stop(signals.is_forced)
    if interrupted:
        logger.warning("The stop interrupted {} requests", interrupted)
    return _EXIT_INTERRUPTED if interrupted else _EXIT_OK


if __name__ == "__main__":
    main()
