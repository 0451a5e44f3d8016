"""A seeded run of the soak test, its schedule and its checks."""

import itertools
import re
import subprocess
import time
import types

import pytest
from testing import module_runs
from testing.soak import changes
from testing.soak import checks as checks_module
from testing.soak import faults as faults_module
from testing.soak import operators
from testing.soak import reintroduced
from testing.soak import schedule
from testing.soak import upstreams
import xxhash

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
    return module_runs.run_code(code, seconds=60.0)


def test_every_length_at_which_an_answer_may_break_off_is_found() -> None:
    # A search beyond the end of the body never ended, and the run with it.
    for line_end in ("\n", "\r\n", "\r"):
        body = f"data: a{2 * line_end}data: b{2 * line_end}".encode()
        for size in range(len(body)):
            broken_at = (size + 0.5) / len(body)
            form = upstreams.Form(upstreams.CLOSE, line_end, broken_at)
            assert size <= form.cut(body) <= len(body)


def test_stand_ins_break_the_order_of_some_streams_only() -> None:
    # Without them the soak would not find an entry that adds such events.
    found = [
        upstreams.numbers_of(f"r{number}", "lm-1", 12, 7, 20)
        for number in range(1000)
    ]
    asked_for = [list(range(13, 21))]
    disordered = [numbers for numbers, as_asked in found if not as_asked]
    assert 50 < len(disordered) < 200
    assert all(numbers not in asked_for for numbers in disordered)
    assert {numbers[0] for numbers in disordered} >= {8, 11, 12}
    assert {n[0] for n, _ in found} <= {8, 11, 12, 13}


def test_streams_that_begin_above_1_and_go_back_are_found() -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind="resume", events=1002, after=999))
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, numbers=[1000, 1001, 1002]))
    assert rules(checks) == []
    checks.ended("r", end(200, whole=False, numbers=[1000, 1001, 1001]))
    assert rules(checks) == ["events"]


def test_seeded_run_breaks_no_promise() -> None:
    # Guards against whatever the product's processes do wrong only together:
    # while they are killed, paused, cut off, stopped, and lose disks.
    arguments = ["--seed", str(SEED), "--seconds", str(SECONDS)]
    done = module_runs.run("testing.soak", *arguments, seconds=4 * SECONDS)
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


def test_planned_stop_waits_until_earlier_faults_have_no_effects() -> None:
    # Guards against a stop of which nothing is checked: a fault that ended late
    # shortly before it would count as the cause of what is lost.
    checks = checks_module.Checks()
    now = time.monotonic()
    checks.disturbances.append(
        checks_module.Disturbance("control-3", now - 9.0, now - 1.0)
    )
    injector = types.SimpleNamespace(checks=checks)
    left = faults_module.Injector._recovery_seconds(injector)
    expected = checks_module.RECOVERY_SECONDS - 1.0
    assert expected - 0.5 < left <= expected


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


@pytest.mark.parametrize(
    ("kind", "max_runs", "makers", "found"),
    [
        ("turn", 1, (7,), []),
        ("turn", 1, (7, 8), ["joined_runs"]),
        ("resume", 3, (7, 8, 9), []),
        ("resume", 3, (7, 8, 7), ["joined_runs"]),
    ],
)
def test_answer_with_events_of_runs_that_may_not_be_joined_is_found(
    kind: str, max_runs: int, makers: tuple[int, ...], found: list[str]
) -> None:
    checks = checks_module.Checks()
    checks.sent(request(kind=kind, events=3, max_runs=max_runs))
    checks.run_began("r", run_at(10.1), b"")
    checks.ended("r", end(200, numbers=[1, 2, 3], makers=makers))
    assert rules(checks) == found


def test_run_that_made_an_event_is_read_from_it() -> None:
    # Guards against a check of joined runs that sees no runs.
    text = upstreams.EventText("turn-1", 2, "v1", "x", 7)
    assert upstreams.parse_event(text.text()) == text
    assert upstreams.parse_event(text._replace(run=0).text()).version == "v1"


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


def test_requests_that_were_seen_late_are_not_over_a_limit() -> None:
    # Guards against a violation that only a late stand-in has made.
    for sent_at, ran_at in ((1.0, 10.1), (10.0, 15.1)):
        checks = checks_module.Checks()
        for number in range(30):
            is_late = number >= 26
            name = f"r{number}"
            sent = request(name, customer="limited")
            checks.sent(sent._replace(sent_at=sent_at if is_late else 10.0))
            run = run_at(ran_at if is_late else 10.1)
            checks.run_began(name, run._replace(customer="limited"), b"")
        checks.check_limits(20.0, {"limited": [4.0, 4.0]})
        assert rules(checks) == [], (sent_at, ran_at)


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


def checked_engines(turns: float, taken: float) -> checks_module.Checks:
    """Checks a time in which turns were refused beside such use of engines."""
    checks = checks_module.Checks()
    for number in range(checks_module.MIN_RESULTS):
        checks.sent(request(f"r{number}", kind="turn"))
        checks.ended(f"r{number}", end(503, error="overloaded: x"))
        checks.engines_sampled(
            checks_module.EnginesSample(
                10.0 + number / 10, turns, taken, 0, 5.0 + number / 20
            )
        )
    checks.check_idle_capacity(12.0, 9.0)
    return checks


def test_turns_that_are_refused_beside_idle_engines_are_found() -> None:
    checks = checked_engines(0.2, 0.7)
    assert rules(checks) == ["idle_capacity"]
    assert "refused: overloaded 8" in checks.violations[0].detail


def test_refusals_beside_idle_engines_state_the_time_without_a_processor() -> (
    None
):
    checks = checked_engines(0.2, 0.7)
    assert "waited for a processor for 50%" in checks.violations[0].detail


def test_turns_that_are_refused_beside_busy_engines_are_allowed() -> None:
    assert rules(checked_engines(0.4, 0.9)) == []


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


def test_take_up_is_recorded_with_the_fault_any_version() -> None:
    # Guards against a fault that ends each take-up by an internal error.
    done = _run_python("""
import types
from mintcleat.roles.entry import stream_origins
from testing.soak import reintroduced

reintroduced.FAULTS["any_version"].install()
origins = stream_origins.StreamOrigins(None, None, None, None, None)
route = types.SimpleNamespace(stream=True, repeat="resume", timeout=1.0)
call = types.SimpleNamespace(deadline=1.0)
found = origins.find(call, route, "lm")
assert found.allows("lm", "v2")
assert origins.continued(call, route, found).origin.service == "lm"
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
    checks.stream_read(1.0, "a", ["v1", "v1"], "", "")
    checks.stream_read(2.0, "b", ["v2"], "", "")
    checks.stream_read(3.0, "a", ["v1"], "first", "")
    checks.stream_read(4.0, "b", [], "none", "no_upstream: x")
    assert rules(checks) == []
    assert checks.take_ups == {"first went on": 1, "none no_upstream": 1}
    checks.stream_read(5.0, "b", ["v1"], "first", "")
    assert rules(checks) == ["versions"]


def test_rest_of_a_stream_begins_after_its_first_part() -> None:
    checks = checks_module.Checks()
    checks.sent(request("b", "resume", events=4, after=2))
    checks.run_began("b", run_at(10.5), b"")
    checks.ended("b", end(200, numbers=[3, 4]))
    assert rules(checks) == []
    checks.ended("b", end(200, numbers=[1, 2]))
    assert rules(checks) == ["events"]


# A link, and a server behind it that echoes; asyncio needs a process of its
# own, because the other tests replace its sockets.
LINK = """
import asyncio
from testing.soak import links

async def echo(reader, writer):
    while data := await reader.read(100):
        received.append(data)
        writer.write(data)
    writer.close()

async def connect():
    host, _, port = link.address.rpartition(":")
    async with asyncio.timeout(0.3):
        return await asyncio.open_connection(host, int(port))

async def ask(connection):
    connection[1].write(b"x")
    try:
        async with asyncio.timeout(0.2):
            return await connection[0].read(100)
    except TimeoutError:
        return b""

async def hangs():
    try:
        await connect()
    except TimeoutError:
        return True

async def main():
    global link
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = links.Link(f"{host}:{port}")
    await link.start("127.0.0.1", 0)
    await run()
    link.close()

received = []
"""


@pytest.mark.parametrize("directions", [("in",), ("out",), ("in", "out")])
def test_open_connection_stays_silent_after_a_cut_and_new_ones_work(
    directions: tuple[str, ...],
) -> None:
    done = _run_python(f"""{LINK}
async def run():
    first = await connect()
    assert await ask(first) == b"x"
    link.lose_packets({directions})
    assert await ask(first) == b""
    assert len(received) == 1 + ("in" not in {directions}), received
    silences = link.regain()
    assert await ask(first) == b""
    assert await ask(await connect()) == b"x"
    for silence in silences:
        silence.end()
    await asyncio.sleep(0.1)
    assert set(await ask(first)) == set(b"x")

asyncio.run(main())
""")
    assert done.returncode == 0, done.stderr


def test_new_connection_hangs_during_a_cut_without_a_reset() -> None:
    done = _run_python(f"""{LINK}
async def run():
    link.lose_packets(("out",))
    assert [await hangs() for _ in range(3)] == [True] * 3
    link.regain()
    assert await ask(await connect()) == b"x"

asyncio.run(main())
""")
    assert done.returncode == 0, done.stderr


ROUTE_PROBE = next(p for p in changes.PROBES if p.name == "switched 0")
SPLIT_PROBE = next(p for p in changes.PROBES if p.name == "split")


def versions_with(probe: changes.Probe, *effects: str) -> list[int]:
    """Returns rising versions that allow these effects, one each."""
    found: list[int] = []
    for effect in effects:
        version = found[-1] + 1 if found else 1
        while probe.effects(version) != {effect}:
            version += 1
        found.append(version)
    return found


class Probed:
    """Checks of three versions: a route is there, then dropped, then back."""

    def __init__(self) -> None:
        self.checks = checks_module.Checks()
        there, dropped = changes.DESK, changes.UNKNOWN_ROUTE
        self.versions = versions_with(ROUTE_PROBE, there, dropped, there)
        for number, version in enumerate(self.versions):
            self.checks.pushed[version] = 10.0 * number
            self.checks.acknowledged[version] = 10.0 * number + 1.0
        self.count = 0

    def probe(
        self,
        sent_at: float,
        effect: str,
        probe: changes.Probe = ROUTE_PROBE,
        life: str = "entry-1 7",
    ) -> None:
        self.count += 1
        name = f"r{self.count}"
        at = sent_at + 0.01
        self.checks.sent(request(name, "change", sent_at=sent_at))
        status = 404
        if effect != changes.UNKNOWN_ROUTE:
            status = 200
            run = checks_module.Run(at, f"{effect}-1", "anna")
            self.checks.run_began(name, run, b"")
        self.checks.ended(name, end(status, at))
        self.checks.change_probed(name, life, probe)


def test_route_that_is_added_or_dropped_late_is_found() -> None:
    probed = Probed()
    # Any version between those acknowledged in time and those pushed.
    probed.probe(2.0, changes.DESK)
    probed.probe(10.5, changes.DESK, life="entry-1 8")
    probed.probe(10.5, changes.UNKNOWN_ROUTE, life="entry-1 9")
    probed.probe(12.9, changes.DESK, life="entry-1 8")
    assert rules(probed.checks) == []
    probed.probe(13.1, changes.DESK, life="entry-1 8")
    assert rules(probed.checks) == ["late"]
    probed.probe(22.9, changes.UNKNOWN_ROUTE)
    assert rules(probed.checks) == ["late"]
    probed.probe(23.1, changes.UNKNOWN_ROUTE)
    assert rules(probed.checks) == ["late", "late"]


def test_late_change_is_allowed_at_an_entry_under_a_fault() -> None:
    for node, expected in (("entry-1", []), ("entry-2", ["late"])):
        probed = Probed()
        probed.checks.disturbances.append(
            checks_module.Disturbance(node, 10.0, 12.0)
        )
        probed.probe(13.1, changes.DESK)
        assert rules(probed.checks) == expected


def test_effect_of_an_older_version_after_that_of_a_newer_is_found() -> None:
    probed = Probed()
    probed.probe(10.5, changes.DESK)
    probed.probe(10.6, changes.UNKNOWN_ROUTE)
    # Within the slack, or at another process, the older one may show.
    probed.probe(10.8, changes.DESK)
    probed.probe(11.0, changes.DESK, life="entry-1 8")
    assert rules(probed.checks) == []
    probed.probe(11.0, changes.DESK)
    assert rules(probed.checks) == ["regress"]


def test_change_that_nobody_has_pushed_is_found() -> None:
    probed = Probed()
    probed.probe(2.0, changes.UNKNOWN_ROUTE)
    assert rules(probed.checks) == ["unknown_change"]


def test_added_route_that_is_not_served_is_found() -> None:
    for served, expected in ((0, ["added_route"]), (1, [])):
        probed = Probed()
        for number in range(2 * checks_module.MIN_RESULTS):
            probed.count += 1
            name = f"r{probed.count}"
            sent_at = 30.0 + number
            probed.checks.sent(request(name, "change", sent_at=sent_at))
            status = 200 if served and number % 2 else 503
            if status == 200:
                probed.checks.run_began(name, run_at(sent_at), b"")
            probed.checks.ended(name, end(status, sent_at + 0.1))
            probed.checks.change_probed(name, "entry-1 7", ROUTE_PROBE)
        probed.checks.check_added_routes(60.0, 25.0)
        assert rules(probed.checks) == expected


@pytest.mark.parametrize("taken", [0.0, 0.3, 1.0])
def test_weights_that_are_not_kept_are_found(taken: float) -> None:
    checks = checks_module.Checks()
    version = next(v for v in range(1, 99) if changes.content(v).weight == 30)
    checks.pushed = {version: 0.0}
    checks.acknowledged = {version: 1.0}
    for number in range(300):
        name = f"r{number}"
        is_taken = number % 10 < 10 * taken
        service = changes.ALTERNATIVE if is_taken else changes.DESK
        checks.sent(request(name, "change"))
        run = checks_module.Run(10.1, f"{service}-1", "anna")
        checks.run_began(name, run, b"")
        checks.ended(name, end(200))
        checks.change_probed(name, "entry-1 7", SPLIT_PROBE)
    checks.check_shares(20.0)
    assert rules(checks) == ([] if taken == 0.3 else ["weights"])


def test_timeout_of_an_older_version_is_found() -> None:
    probe = changes.LATE_PROBE
    checks = checks_module.Checks()
    versions = versions_with(probe, changes.LONG, changes.SHORT)
    for number, version in enumerate(versions):
        checks.pushed[version] = 10.0 * number
        checks.acknowledged[version] = 10.0 * number + 1.0
    for sent_at, seconds, expected in (
        (5.0, 2.9, []),
        (20.0, 0.5, []),
        (20.0, 2.9, ["late"]),
    ):
        name = f"r{sent_at}-{seconds}"
        checks.sent(request(name, "late", sent_at=sent_at))
        checks.ended(name, end(504, sent_at + seconds))
        checks.change_probed(name, "entry-1 7", probe)
        assert rules(checks) == expected


def test_versions_of_the_soak_differ_and_rise_in_uneven_steps() -> None:
    numbers = [operators.number_of(version) for version in range(1, 50)]
    steps = {b - a for a, b in itertools.pairwise(numbers)}
    assert len(steps) > 1, steps
    assert min(steps) > 0, steps
    assert [operators.version_of(n) for n in numbers] == list(range(1, 50))
    for probe in (*changes.PROBES, changes.LATE_PROBE):
        assert len({probe.effects(v) for v in range(1, 50)}) > 1, probe


@pytest.mark.parametrize("line_end", ["\\n", "\\r\\n", "\\r"])
def test_cut_right_before_the_last_byte_of_an_answer_ends(
    line_end: str,
) -> None:
    # Guards against a run that stands still for good.
    done = _run_python(f"""
import signal
from testing.soak import upstreams
signal.alarm(20)
body = b"data: x" + 2 * b"{line_end}"
for size in range(len(body)):
    form = upstreams.Form(
        upstreams.CLOSE, "{line_end}", (size + 0.5) / len(body)
    )
    assert size <= form.cut(body) <= len(body)
""")
    assert done.returncode == 0, done.stderr


def test_new_tracks_leave_the_earlier_faults_of_a_seed_as_they_were() -> None:
    # Guards against a seed that no longer shows the fault that it was kept for.
    made = [
        tuple(fault)
        for fault in schedule.make(SEED, 120.0)
        if fault.track not in ("network", "stops", "together", "moves")
    ]
    assert xxhash.xxh3_64_hexdigest(repr(made).encode()) == "2465d13c083ea12e"


def test_each_kind_of_cut_and_stop_comes_in_some_seed() -> None:
    found = {
        fault.kind for seed in range(60) for fault in schedule.make(seed, 120.0)
    }
    assert found >= {
        *schedule.NETWORK_FAULTS,
        *schedule.STOPS,
        *schedule.TOGETHER,
        *schedule.MOVES,
    }
    losses = {schedule.final_loss(seed).kind for seed in range(20)}
    assert losses == set(schedule.FINAL_LOSSES)
    assert schedule.final_loss(SEED) == schedule.final_loss(SEED)


def test_other_content_and_a_missing_answer_after_the_last_loss_are_found() -> (
    None
):
    checks = checks_module.Checks()
    checks.other_content_read(1.0, 7)
    checks.not_read_back(2.0, 7)
    assert rules(checks) == ["other_content", "read_back"]
