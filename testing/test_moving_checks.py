"""Checks of streams that continue at another upstream."""

import math
import signal
import types

import pytest
from testing.soak import checks as checks_module
from testing.soak import moving_checks
from testing.soak import moving_upstreams
from testing.soak import processes


def observed_run() -> moving_checks.Observed:
    """Returns what was seen of a run that goes on elsewhere for too long."""
    checks = checks_module.Checks()
    checks.sent(checks_module.Request("r", "turn", "anna", "entry-1", 1.0, 1))
    observed = moving_checks.Observed(checks)
    earlier = moving_upstreams.Run("r", 1, b"", 0, "lm-1")
    later = moving_upstreams.Run("r", 1, b"", 0, "lm-2")
    earlier.started, later.started = 1.0, 2.0
    observed.generated(1.1, earlier, "lm-1")
    observed.generated(2.1, later, "lm-2")
    observed.worked(2.9, earlier)
    observed.worked(4.0, later)
    return observed


def expired_copy(told_at: float = 1.0) -> moving_upstreams.Copy:
    """Returns a copy that was neither used nor freed."""
    run = moving_upstreams.Run("r", 1, b"", 0, "lm-1")
    source = types.SimpleNamespace(name="lm-1")
    copy = moving_upstreams.Copy("h1", run, source, None)
    copy.asked_at = max(0.0, told_at - 0.1)
    copy.told_at, copy.expires_at = told_at, 3.5
    return copy


def rules(observed: moving_checks.Observed) -> list[str]:
    """Returns the rules of the violations."""
    return [one.rule for one in observed.checks.violations]


def fault(node: str) -> checks_module.Disturbance:
    """Returns a fault of a node while the streams go on."""
    return checks_module.Disturbance(node, 2.0, 2.6)


def test_run_at_two_upstreams_without_a_fault_is_found() -> None:
    observed = observed_run()
    observed.checks.disturbances = [fault(""), fault("load"), fault("lm-2")]
    observed.interruptions = [fault("entry-2")]
    observed.check(9.0, [])
    assert rules(observed) == ["two_upstreams"]


@pytest.mark.parametrize("kind", ["source", "entry", "lag"])
def test_run_goes_on_at_its_source_during_a_fault(kind: str) -> None:
    # Guards against a violation where the close can't have arrived.
    observed = observed_run()
    if kind == "source":
        observed.checks.disturbances = [fault("lm-1")]
    elif kind == "entry":
        observed.interruptions = [fault("entry-1")]
    else:
        observed.lags = [fault("")]
    observed.check(9.0, [])
    assert rules(observed) == []


def test_copy_that_is_neither_used_nor_freed_is_found() -> None:
    observed = observed_run()
    observed.segments.clear()
    late = checks_module.Disturbance("lm-1", 2.6, 4.0)
    faults = [fault(""), fault("load"), fault("lm-2"), late]
    observed.checks.disturbances = faults
    before = checks_module.Disturbance("entry-1", 0.7, 0.8)
    observed.interruptions = [before]
    copy = expired_copy()
    copy.source_lost_at = 4.0
    observed.check(9.0, [copy])
    assert rules(observed) == ["expired_copy"]


@pytest.mark.parametrize(
    "kind", ["unstated", "unanswered", "lost", "source", "entry", "asker"]
)
def test_copy_that_its_entry_cannot_free_may_expire(kind: str) -> None:
    # Guards against a violation where the handle or its source is lost.
    observed = observed_run()
    observed.segments.clear()
    copy = expired_copy(0.0 if kind == "unstated" else 1.0)
    if kind == "unanswered":
        observed.read_logs(
            [
                {
                    "request": "r",
                    "reason": "leaving",
                    "result": "stayed",
                    "detail": "no answer in time",
                }
            ]
        )
    copy.source_lost_at = 2.0 if kind == "lost" else 3.0
    if kind == "source":
        observed.checks.disturbances = [fault("lm-1")]
    if kind == "entry":
        observed.interruptions = [fault("entry-1")]
    if kind == "asker":
        ended = checks_module.Disturbance("entry-1", 0.93, 0.96)
        observed.interruptions = [ended]
    observed.check(9.0, [copy])
    assert rules(observed) == []


def test_copy_that_is_kept_after_all_streams_is_found() -> None:
    observed = observed_run()
    copy = expired_copy()
    observed.check_kept(9.0, [copy])
    assert rules(observed) == []
    copy.expires_at, copy.end = math.inf, ""
    observed.check_kept(9.0, [copy])
    assert rules(observed) == ["kept_copy"]


def test_only_interruptions_of_a_process_are_recorded() -> None:
    # Guards against checks that excuse entries which ran all the time.
    node = processes.Node.__new__(processes.Node)
    node.name, node.interruptions = "entry-1", []
    node.process = types.SimpleNamespace(
        poll=lambda: None, send_signal=lambda number: None
    )
    node.signal(signal.SIGHUP)
    assert node.interruptions == []
    node.signal(signal.SIGSTOP)
    assert [one.end for one in node.interruptions] == [math.inf]
    node.signal(signal.SIGCONT)
    assert [one.end < math.inf for one in node.interruptions] == [True]
    node.process.poll = lambda: 0
    node.signal(signal.SIGKILL)
    assert len(node.interruptions) == 1
