"""A seeded run of the soak test, its schedule and its checks."""

import os
import pathlib
import re
import subprocess
import sys

import pytest
from testing.soak import checks as checks_module
from testing.soak import reintroduced
from testing.soak import schedule
from testing.soak import upstreams

ROOT = pathlib.Path(__file__).parent.parent
SEED = 4
SECONDS = 60.0


def request(
    name: str = "r", kind: str = "tool", **fields: object
) -> checks_module.Request:
    return checks_module.Request(
        name, kind, "anna", "entry-1", 10.0, 1
    )._replace(**fields)


def end(status: int, at: float = 11.0, **fields: object) -> checks_module.End:
    return checks_module.End(at, True, status, True, False, [], True)._replace(
        **fields
    )


def run_at(at: float) -> checks_module.Run:
    return checks_module.Run(at, "desk-1", "anna")


def rules(checks: checks_module.Checks) -> list[str]:
    return [violation.rule for violation in checks.violations]


def _run_python(code: str) -> subprocess.CompletedProcess:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        timeout=60.0,
    )


def test_every_length_at_which_an_answer_may_break_off_is_found() -> None:
    # A search beyond the end of the body never ended, and the run with it.
    for line_end in ("\n", "\r\n", "\r"):
        body = f"data: a{2 * line_end}data: b{2 * line_end}".encode()
        for size in range(len(body)):
            broken_at = (size + 0.5) / len(body)
            form = upstreams.Form(upstreams.CLOSE, line_end, broken_at)
            assert size <= form.cut(body) <= len(body)


def test_seeded_run_breaks_no_promise() -> None:
    # Guards against whatever the product's processes do wrong only together:
    # while they are killed, paused, cut off, stopped, and lose disks.
    # It has a process of its own: what is left of its event loop must not
    # disturb the sockets of other tests.
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    arguments = ["--seed", str(SEED), "--seconds", str(SECONDS)]
    done = subprocess.run(
        [sys.executable, "-m", "testing.soak", *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
        timeout=4 * SECONDS,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    # About 1,000 on an idle machine, half of that on a busy one.
    served = re.search(r"(\d+) served", done.stdout)
    assert int(served[1]) > 150, done.stdout
    pushed = re.search(r"(\d+) configurations", done.stdout)
    assert int(pushed[1]) > 10, done.stdout


@pytest.mark.parametrize("seed", range(20))
def test_schedule_follows_from_the_seed(seed: int) -> None:
    # A failed seed must give the same faults again.
    made = schedule.make(seed, 120.0)
    assert made == schedule.make(seed, 120.0)
    assert {fault.track for fault in made} >= {"control", "entry", "upstream"}
    last = max(fault.at + fault.seconds for fault in made)
    assert last <= 120.0 - schedule.END_SECONDS


def test_second_run_of_a_request_is_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request())
    checks.run_began("r", run_at(10.1), b"")
    assert rules(checks) == []
    checks.run_began("r", run_at(10.2), b"")
    assert rules(checks) == ["at_most_once"]


@pytest.mark.parametrize("runs_first", [True, False])
def test_refusal_of_a_request_that_runs_is_found(runs_first: bool) -> None:
    checks = checks_module.Checks()
    checks.sent(request())
    if runs_first:
        checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(503))
    if not runs_first:
        checks.run_began("r", run_at(12.0), b"")
    assert rules(checks) == ["truthful_refusal"]


def test_early_end_and_gap_of_a_stream_are_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind="turn", events=3))
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, numbers=[1, 3]))
    assert rules(checks) == ["events", "early_end"]


def test_plain_answer_that_looks_whole_and_is_not_is_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request())
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, missing=3))
    assert rules(checks) == ["early_end"]


def test_part_of_an_event_in_a_stream_that_looks_whole_is_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind="turn", events=1))
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, numbers=[1], rest=5))
    assert rules(checks) == ["early_end"]


def test_request_that_crossed_the_end_of_its_connection_is_not_lost() -> None:
    for ran, expected in ((False, []), (True, ["planned_stop"])):
        checks = checks_module.Checks()
        checks.planned.append(checks_module.Disturbance("entry-1", 9.5, 20.0))
        checks.sent(request())
        if ran:
            checks.run_began("r", run_at(10.1), b"")
        checks.ended("r", end(0, whole=False, crossed=True))
        assert rules(checks) == expected


def test_stream_that_breaks_off_is_allowed() -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind="turn", events=3))
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, numbers=[1, 2], whole=False))
    assert rules(checks) == []


def test_other_body_than_that_of_the_chain_is_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind="turn", body=b"first second"))
    checks.run_began("r", run_at(10.1), b"second")
    assert rules(checks) == ["chain"]


def test_stale_configuration_is_found() -> None:
    checks = checks_module.Checks()
    checks.pushed = {1: 1.0, 2: 2.0}
    checks.acknowledged = {1: 1.5, 2: 2.5}
    checks.configuration_read(2.4, 2.6, 1)
    assert rules(checks) == []
    checks.configuration_read(2.6, 2.7, 1)
    assert rules(checks) == ["stale_configuration"]


def test_revoked_key_that_is_accepted_is_found() -> None:
    checks = checks_module.Checks()
    checks.acknowledged = {3: 5.0}
    checks.sent(request(kind="key"))
    checks.run_began("r", run_at(10.1), b"")
    checks.key_answered("r", 1, 2, 3.0, end(200))
    assert rules(checks) == ["revoked_key"]


def test_valid_key_that_is_rejected_is_found() -> None:
    checks = checks_module.Checks()
    checks.pushed = {1: 1.0, 2: 2.0}
    checks.acknowledged = {1: 1.5, 2: 2.5}
    checks.sent(request(kind="key"))
    checks.key_answered("r", 1, 2, 3.0, end(401))
    assert rules(checks) == ["valid_key"]


def test_requests_over_a_limit_are_found() -> None:
    # 4 per second and a burst of 4 are 24 in 5 s, and 26 with the overage.
    checks = checks_module.Checks()
    for number in range(26):
        name = f"r{number}"
        checks.sent(request(name, customer="limited"))
        checks.run_began(name, run_at(10.1)._replace(customer="limited"), b"")
    checks.check_limits(20.0, {"limited": [4.0, 4.0]})
    assert rules(checks) == []
    checks.sent(request("one more", customer="limited"))
    checks.run_began("one more", run_at(10.2)._replace(customer="limited"), b"")
    checks.check_limits(20.0, {"limited": [4.0, 4.0]})
    assert rules(checks) == ["rate_limit"]


def test_request_lost_at_a_planned_stop_is_found_without_other_faults() -> None:
    for disturbances, expected in (
        ([], ["planned_stop"]),
        ([checks_module.Disturbance("entry-2", 8.0, 9.0)], []),
    ):
        checks = checks_module.Checks()
        checks.planned.append(checks_module.Disturbance("entry-1", 9.5, 20.0))
        checks.disturbances.extend(disturbances)
        checks.sent(request())
        checks.ended("r", end(0, whole=False))
        assert rules(checks) == expected


def test_new_work_of_a_draining_upstream_is_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request())
    checks.ran_while_draining(10.1, "desk-1", 9.0, "r")
    assert rules(checks) == []
    checks.ran_while_draining(11.1, "desk-1", 9.0, "r")
    assert rules(checks) == ["drain"]


def test_starved_customer_is_found() -> None:
    checks = checks_module.Checks()
    for number in range(checks_module.MIN_RESULTS):
        for customer, status in (("anna", 200), ("berta", 503)):
            name = f"{customer}-{number}"
            checks.sent(request(name, customer=customer))
            if status == 200:
                run = run_at(10.1)._replace(customer=customer)
                checks.run_began(name, run, b"")
            checks.ended(name, end(status))
    checks.check_starvation(20.0, 5.0)
    assert rules(checks) == ["starved"]
    assert "berta" in checks.violations[0].detail


def test_each_reintroduced_fault_names_the_rules_that_find_it() -> None:
    for name, fault in reintroduced.FAULTS.items():
        assert fault.rules, name


@pytest.mark.parametrize("name", reintroduced.FAULTS)
def test_reintroduced_fault_fits_the_product(name: str) -> None:
    # Guards against a fault that replaces a function which was renamed or
    # moved: its process would end at its start and the fault would never be
    # tried. The replacement stays in a process of its own.
    done = _run_python(f"""
from testing.soak import reintroduced
reintroduced.FAULTS[{name!r}].install()
""")
    assert done.returncode == 0, done.stderr


def test_turn_counts_until_its_close_with_the_fault_slot_not_released() -> None:
    # Guards against another way in which a turn stops counting: the fault would
    # be without effect.
    done = _run_python("""
from mintcleat.decisions import turn_admission
from mintcleat.decisions import turn_queue
from mintcleat.domain import program_messages
from testing.soak import reintroduced

reintroduced.FAULTS["slot_not_released"].install()
demand = program_messages.TurnDemand(
    "lm", "turns", 0, 1.0, 1000, 2.0, 0.0, 10, 0, timeout=3.0
)
schedule = turn_admission.ServiceSchedule()
key = turn_queue.TurnKey("anna", "t1")
schedule.ask(turn_queue.Ask(key, "p1", True, "e1", 900, demand), 0.0)
ended = demand._replace(ended=[("anna", "t1")])
other = turn_queue.TurnKey("anna", "t2")
schedule.ask(turn_queue.Ask(other, "p2", True, "e1", 900, ended), 100.0)
assert key in schedule.running, schedule.running
schedule.release(key, 100, True, 101.0)
assert key not in schedule.running, schedule.running
""")
    assert done.returncode == 0, done.stderr


def test_stream_of_two_versions_is_a_violation() -> None:
    checks = checks_module.Checks()
    checks.stream_read(1.0, "a", ["v1", "v1"], is_take_up=False, error="")
    checks.stream_read(2.0, "b", ["v2"], is_take_up=False, error="")
    checks.stream_read(3.0, "a", ["v1"], is_take_up=True, error="")
    checks.stream_read(4.0, "b", [], is_take_up=True, error="no_upstream: x")
    assert rules(checks) == []
    assert checks.take_ups == {"went on": 1, "no_upstream": 1}
    checks.stream_read(5.0, "b", ["v1"], is_take_up=True, error="")
    assert rules(checks) == ["versions"]


def test_rest_of_a_stream_begins_after_its_first_part() -> None:
    checks = checks_module.Checks()
    checks.sent(request("b", "resume", events=4, after=2))
    checks.run_began("b", run_at(10.5), b"")
    checks.ended("b", end(200, numbers=[3, 4]))
    assert rules(checks) == []
    checks.ended("b", end(200, numbers=[1, 2]))
    assert rules(checks) == ["events"]
