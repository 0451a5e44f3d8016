"""How much memory this process has held."""

import pathlib

_STATUS = pathlib.Path("/proc/self/status")
_PEAK = "VmHWM:"


def peak_mb(status: pathlib.Path = _STATUS) -> float:
    """Returns the most resident memory so far, in MB; 0 where nobody says.

    The kernel's figure for this program alone. That of `getrusage` goes on
    from the program that started it, and shows a small process as large.
    """
    try:
        lines = status.read_text().splitlines()
    except OSError:
        return 0.0
    found = [line.split()[1] for line in lines if line.startswith(_PEAK)]
    return int(found[0]) / 1024 if found else 0.0
