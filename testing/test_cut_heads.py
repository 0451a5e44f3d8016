"""Upstreams and servers that stop within the heads of their answers.

Real processes; the scenarios are in `testing.soak`.
"""

import json
from typing import Any

import pytest
from testing import module_runs

_SECONDS = 120.0
# Bytes between two places at which heads stop, and ways to stop there. By hand,
# 1 and 6 play all of them.
_STEP = 20
_WAYS = 1


@pytest.mark.parametrize("path", ["entry", "engine", "load", "operator"])
def test_head_that_stops_is_never_taken_for_a_whole_one(path: str) -> None:
    # Guards against answers that are whole or "not run" without being so.
    found = _run("testing.soak.cut_heads", path, str(_STEP), str(_WAYS))
    assert found["cuts"] > 0, found
    assert found["wrong"] == [], found
    assert set(found["exit codes"].values()) == {0}, found


def _run(module: str, *arguments: str) -> dict[str, Any]:
    done = module_runs.run(module, *arguments, seconds=_SECONDS)
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(done.stdout.splitlines()[-1])
