"""Streams that move or go on from backups while processes fail, for real."""

import json
from typing import Any

import pytest
from testing import module_runs

_SECONDS = 120.0


def _run(seed: int, fault: str = "", seconds: float = 10.0) -> dict[str, Any]:
    done = module_runs.run(
        "testing.soak.moving",
        str(seed),
        str(seconds),
        *([fault] if fault else []),
        seconds=_SECONDS,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(done.stdout.splitlines()[-1])


def _rules(found: dict[str, Any]) -> set[str]:
    return {text.split("'")[1] for text in found["violations"]}


@pytest.mark.parametrize("seed", [1])
def test_moved_streams_come_whole_and_in_order_beneath_faults(
    seed: int,
) -> None:
    # Guards against events twice, missing or of another run, a run at two
    # upstreams, and copies that are used twice or never freed.
    found = _run(seed)
    assert found["violations"] == [], found
    assert found["points"].get("copy", 0) > 0, found
