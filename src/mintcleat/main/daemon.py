"""`mintcleatd`: runs the roles that a settings file names, or all locally."""

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
_EXIT_CUT = 1
_EXIT_SETTINGS = 2
_EXIT_START = 3
_EXIT_FAILED = 4
_POLL_SECONDS = 0.05

_USAGE = """usage:
  mintcleatd SETTINGS            run the roles that the file names
  mintcleatd --check SETTINGS    list every fault of the file
  mintcleatd local [--entry IP:PORT] [--admin IP:PORT] [--data DIR]
                                 all roles with stand-ins, in one process
  mintcleatd standin engine|service IP:PORT
                                 a stand-in upstream, for trials and tests
"""


class Signals:
    """Counts the requests to stop; the second one ends the waiting."""

    def __init__(self) -> None:
        self.stops = 0
        signal.signal(signal.SIGTERM, self.take)
        signal.signal(signal.SIGINT, self.take)

    def take(self, number: int, frame: Any) -> None:
        """Counts a signal; the loop sees it at its next poll."""
        self.stops += 1

    def wait(self, part: Any) -> None:
        """Returns after the first request to stop, or when the part fails."""
        while not self.stops and part.failure() is None:
            eventlet.sleep(_POLL_SECONDS)

    def impatient(self) -> bool:
        """Tells whether a second request came."""
        return self.stops > 1


def main() -> None:
    """Runs the command line; exits 0 only after a clean stop."""
    arguments = sys.argv[1:]
    match arguments:
        case ["local", *rest]:
            sys.exit(fire.Fire(run_local, rest, name="mintcleatd local"))
        case ["standin", ("engine" | "service") as kind, listen]:
            sys.exit(run_part(lambda: standin.Standin(kind, listen)))
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
    """Runs every role, two stand-in engines and a stand-in service."""
    logs.configure("local", "warning", as_json=False)
    folder = pathlib.Path(data)
    sys.exit(run_part(lambda: local_module.Local(entry, admin, folder)))


def faults_of(path: pathlib.Path) -> list[errors.InvalidSettings]:
    """Returns every fault of a settings file."""
    try:
        settings_module.load(path)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


def check(path: pathlib.Path, quiet: bool = False) -> int:
    """Prints every fault of a settings file; returns the exit code."""
    faults = faults_of(path)
    for fault in faults:
        print(fault, file=sys.stderr)
    if faults:
        return _EXIT_SETTINGS
    if not quiet:
        print(f"{path}: no faults")
    return _EXIT_OK


def run_settings(path: pathlib.Path) -> int:
    """Runs the roles of a settings file until a request to stop."""
    code = check(path, quiet=True)
    if code != _EXIT_OK:
        return code
    settings = settings_module.load(path)
    logs.configure(
        settings.instance, settings.logs.level, settings.logs.form == "json"
    )
    return run_part(lambda: assembly.Process(settings))


def run_part(build: Callable[[], Any]) -> int:
    """Builds and starts a part, and stops it on a signal."""
    signals = Signals()
    try:
        part = build()
        part.start()
    except errors.MintcleatError as error:
        print(f"mintcleatd: {error.detail}", file=sys.stderr)
        print(f"remedy: {error.remedy}", file=sys.stderr)
        return _EXIT_START
    except OSError as error:
        print(f"mintcleatd: {error}", file=sys.stderr)
        print("remedy: Free the address or name another.", file=sys.stderr)
        return _EXIT_START
    print(part.ready_line(), flush=True)
    signals.wait(part)
    failure = part.failure()
    if failure is not None:
        logger.error("Stopping: {}", failure)
        part.stop(lambda: True)
        return _EXIT_FAILED
    logger.info("Stopping; a second signal ends it at once.")
    cut = part.stop(signals.impatient)
    if cut:
        logger.warning("{} requests were cut by the stop", cut)
    return _EXIT_CUT if cut else _EXIT_OK


if __name__ == "__main__":
    main()
