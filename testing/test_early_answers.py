"""Answers that upstreams give before they have read the bodies of requests.

Each is played by real processes, in scenarios of `testing.soak`.
"""

import json
from typing import Any

import pytest
from testing import module_runs

_SECONDS = 120.0


@pytest.mark.parametrize(
    ("group", "version"),
    [("broken", "1.1"), ("broken", "1.0"), ("whole", "1.1"), ("whole", "1.0")],
)
def test_routed_answer_within_the_upload_is_whole_only_without_a_reset(
    group: str, version: str
) -> None:
    # Guards against a reset that only the sender of the upload gets to know.
    found = _run("testing.soak.early_answers", group, version)
    assert found["counts"], found
    assert found["wrong"] == [], found


@pytest.mark.parametrize("path", ["entry", "engine", "load"])
def test_reply_within_the_upload_is_whole_only_without_a_reset(
    path: str,
) -> None:
    # Guards the chat way, plain services, sidecars and the load generator.
    found = _run("testing.soak.early_replies", path)
    results = {one for counts in found["counts"].values() for one in counts}
    assert results and not any("not spoilt" in one for one in results), found
    assert found["wrong"] == [], found
    assert set(found["exit codes"].values()) == {0}, found


def _run(module: str, *arguments: str) -> dict[str, Any]:
    done = module_runs.run(module, *arguments, seconds=_SECONDS)
    assert done.returncode == 0, done.stdout + done.stderr
    return json.loads(done.stdout.splitlines()[-1])
