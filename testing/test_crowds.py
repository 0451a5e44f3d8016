"""Crowds of callers that misbehave, at real processes; see `crowd`."""

import json
from typing import Any

import pytest
from testing import crowd
from testing import module_runs

AT_LISTENERS = ("chunked_large", "tiny_chunks", "over_chunked", "short_heads")


def _play(*arguments: str) -> dict[str, Any]:
    done = module_runs.run("testing.crowd", *arguments, seconds=240.0)
    assert done.returncode == 0, done.stderr[-2000:]
    return json.loads(done.stdout.splitlines()[-1])


def _check(found: dict[str, Any]) -> None:
    assert found["alive"], found
    assert found["held_mb"] <= crowd.MEMORY_MB, found
    assert found["descriptors"] <= crowd.DESCRIPTORS, found
    assert found["answered"] == 200, found


@pytest.mark.parametrize("kind", crowd.KINDS)
def test_entry_outlives_a_crowd_and_serves_others(kind: str) -> None:
    # Guards against an entry that ends by its memory, or serves nobody else.
    _check(_play(kind, crowd.ENTRY))


@pytest.mark.parametrize("kind", (*AT_LISTENERS, "whole", "returning"))
def test_control_outlives_a_crowd_and_answers_others(kind: str) -> None:
    # Guards against a control instance that ends by what it is sent.
    _check(_play(kind, crowd.CONTROL))


@pytest.mark.parametrize("kind", AT_LISTENERS)
@pytest.mark.parametrize("target", (crowd.READY, crowd.METRICS))
def test_entry_outlives_a_crowd_at_its_other_listeners(
    target: str, kind: str
) -> None:
    # Guards against a bound that holds at the callers' listener alone.
    _check(_play(kind, target))


def test_single_requests_inside_the_limits_are_served_in_calm() -> None:
    # Guards against a bound that a caller inside the limits meets.
    found = _play("calm")
    assert found == {"large": 200, "tiny": 200, "one": 200}
