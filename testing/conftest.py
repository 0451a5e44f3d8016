"""Shared set-up: green sockets, hypothesis with fixed examples, garbage."""

from collections.abc import Iterator
import gc

import hypothesis
import pytest

# Importing it makes the sockets green.
import mintcleat.main as green

assert green

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


@pytest.fixture(scope="module", autouse=True)
def _leave_no_garbage() -> Iterator[None]:
    """Leaves what a module's tests made out of later collections.

    With the objects of all tests before it, a collection takes half a second,
    which a test of one process's time limits takes for a stall.
    """
    yield
    gc.collect()
    gc.freeze()
