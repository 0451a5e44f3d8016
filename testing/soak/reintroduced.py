"""Known faults that are put back at run time, to show that the soak finds them.

Each is patched into a process by `launch`; the product has no hook for them.
"""

from collections.abc import Callable
from typing import NamedTuple


class Reintroduced(NamedTuple):
    """A fault of the product that was avoided or mended.

    Attributes:
        install: Patches the running process.
        rules: Names of the checks that may find it.
    """

    install: Callable[[], None]
    rules: frozenset[str]


FAULTS: dict[str, Reintroduced] = {}
