"""Upstreams leave as planned while streams without a mark of their end run."""

import json

from testing import module_runs

_SECONDS = 90.0


def test_stream_cut_by_a_planned_exit_does_not_end_as_whole() -> None:
    # Guards against half answers that look whole while news reach entries late.
    done = module_runs.run(
        "testing.soak.planned_exits", "1", "3", "0.1", seconds=_SECONDS
    )
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(done.stdout.splitlines()[-1])
    assert found["violations"] == [], found
    assert "early" not in found["ends"], found
    assert {"whole", "cut"} & set(found["ends"]), found
