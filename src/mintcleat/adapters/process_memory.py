"""Memory usage of this process."""

import pathlib

_STATUS = pathlib.Path("/proc/self/status")
_PEAK = "VmHWM:"


def peak_mb(status: pathlib.Path = _STATUS) -> float:
    """Returns the peak resident memory in MB, or 0 if it is not available.

    Reads VmHWM, because `ru_maxrss` of `getrusage` is inherited from the
    process that executed this program and may be far too large.
    """
    try:
        lines = status.read_text().splitlines()
    except OSError:
        return 0.0
    values = [line.split()[1] for line in lines if line.startswith(_PEAK)]
    return int(values[0]) / 1024 if values else 0.0
