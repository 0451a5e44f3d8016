"""Memory and file descriptors of this process."""

import ctypes
import os
import pathlib

_STATM = pathlib.Path("/proc/self/statm")
_DESCRIPTORS = "/proc/self/fd"
_STATUS = pathlib.Path("/proc/self/status")
_PEAK = b"VmHWM:"


def peak_mb(status: pathlib.Path = _STATUS) -> float:
    """Returns the peak resident memory in MB, or 0 if it is not available.

    Reads VmHWM, because `ru_maxrss` of `getrusage` is inherited from the
    process that executed this program and may be far too large.
    """
    try:
        # Unbuffered bytes: it is read several times a second.
        with status.open("rb", buffering=0) as file:
            data = file.read()
    except OSError:
        return 0.0
    _, found, rest = data.partition(_PEAK)
    return int(rest.split(None, 1)[0]) / 1024 if found else 0.0


def resident_bytes() -> int:
    """Returns the resident memory in bytes, or 0 if it is not available."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except OSError:
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Returns the number of open file descriptors; 0 if not available."""
    try:
        return len(os.listdir(_DESCRIPTORS))
    except OSError:
        return 0


def return_free_memory() -> None:
    """Returns freed memory to the system, where the C library can do it."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        return
