"""Upstreams that send what nobody asked for, played by real processes."""

import json
from typing import Any

from testing import module_runs

_SECONDS = 90.0


def test_answer_that_states_no_request_reaches_no_caller() -> None:
    # Guards against answers to others that are taken for want of an id.
    found = _run("extra")
    assert found["wrong"] == [], found


def test_stream_that_lacks_an_event_does_not_end_as_whole() -> None:
    found = _run("left_out")
    assert found["wrong"] == [], found


def test_answer_with_an_invalid_status_reaches_no_caller() -> None:
    found = _run("status")
    assert found["wrong"] == [], found


def test_answer_with_an_invalid_name_of_a_field_reaches_no_caller() -> None:
    found = _run("line")
    assert found["wrong"] == [], found


def _run(group: str) -> dict[str, Any]:
    done = module_runs.run(
        "testing.soak.wrong_answers", group, "2", seconds=_SECONDS
    )
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(done.stdout.splitlines()[-1])
    assert all(set(one) - {"not played"} for one in found["counts"].values())
    return found
