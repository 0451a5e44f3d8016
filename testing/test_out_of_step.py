"""Entries out of step, as real processes, while a new version joins."""

import json

from testing import module_runs
from testing.soak import callers
from testing.soak import checks
from testing.soak import client
from testing.soak import out_of_step
from testing.soak import refused_take_ups

# Two rounds: an entry is cut off in one direction, and one stands still, while
# services are released under the same ids, at the same addresses, beside and
# instead of the old upstreams.
_SEED, _ROUNDS = 4, 2
_SECONDS = 150.0
# Far fewer than without other load on the machine: what is less shows nothing.
_LEAST_STREAMS = 8
_LEAST_TAKE_UPS = 3


def _result(request: str, *events: tuple[int, str]) -> callers.Result:
    found = [
        client.Event(number, f"{request}#{number}@{version} ")
        for number, version in events
    ]
    outcome = client.Outcome(True, 200, {}, found, b"", False)
    numbers = [number for number, _ in events]
    return callers.Result(
        request,
        checks.End(0.0, True, 200, False, False, numbers, True),
        outcome,
    )


def _stream() -> out_of_step.Stream:
    return out_of_step.Stream("lm", "joined", "first", "")


def test_streams_go_on_at_their_version_while_entries_are_out_of_step() -> None:
    # Guards against take-ups by what an entry knew before it was out of step.
    done = module_runs.run(
        "testing.soak.out_of_step",
        str(_SEED),
        str(_ROUNDS),
        seconds=_SECONDS,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    found = json.loads(done.stdout.splitlines()[-1])
    for name in out_of_step.FINDINGS:
        assert found[name] == [], found
    assert found["begun"] >= _LEAST_STREAMS, found
    assert found["taken_up"] >= _LEAST_STREAMS, found
    went_on = sum(
        count
        for name, count in found["take_ups"].items()
        if name.startswith("in step, first") and name.endswith(": went on")
    )
    assert went_on >= _LEAST_TAKE_UPS, found


def test_events_of_two_versions_are_seen_over_take_ups() -> None:
    # Guards against a scenario that finds nothing.
    stream = _stream()
    stream.read(_result("a", (1, "v1"), (2, "v1")), 0)
    assert (stream.versions, stream.last, stream.first) == (["v1"], 2, "a")
    stream.read(_result("b", (3, "v2")), 2)
    assert stream.versions == ["v1", "v2"]
    assert (stream.first, stream.latest, stream.is_ordered) == ("a", "b", True)


def test_event_that_does_not_follow_is_seen() -> None:
    # Guards against a scenario that finds nothing.
    for numbers in ((2, 3), (4, 5), (3, 3), (3, 5)):
        stream = _stream()
        stream.read(_result("a", (1, "v1"), (2, "v1")), 0)
        stream.read(_result("b", *((one, "v1") for one in numbers)), 2)
        assert not stream.is_ordered, numbers


def test_only_a_refusal_beside_a_run_of_the_same_id_is_excused() -> None:
    # Guards against refusals of what has run that nobody is told of.
    twins = [out_of_step.Stream("lm", "double", "first", "", "d") for _ in "12"]
    false = checks.Violation(0.0, "truthful_refusal", "resume d is refused")
    twins[0].is_refused = True
    assert out_of_step.is_excused(false, twins)
    twins[1].is_refused = True
    assert not out_of_step.is_excused(false, twins)
    assert not out_of_step.is_excused(false, [_stream()])


def test_refused_take_up_is_traced_to_its_record() -> None:
    # Guards against refusals that are put down to a record's age unseen.
    refusal = refused_take_ups.Refusal(
        "b", "a", "early", 1.0, 4.0, "entry-1", False, False
    )
    nothing = refused_take_ups.Lines({}, {}, {})
    none = nothing._replace(taken_up={"b": {"record": "none"}})
    ambiguous = nothing._replace(taken_up={"b": {"record": "ambiguous"}})
    for changes, lines, expected in (
        ({}, none, refused_take_ups.UNEXPLAINED),
        ({}, ambiguous, "ambiguous"),
        ({"age": 8.9}, none, refused_take_ups.UNEXPLAINED),
        ({"age": 9.1}, none, "expired"),
        ({"is_disturbed": True}, none, "its entry is out of step"),
        (
            {"is_disturbed": True},
            none._replace(late={"a": {}}),
            "recorded late",
        ),
        ({"has_ended": True}, none, "its entry has ended"),
        (
            {"has_ended": True},
            none._replace(unrecorded={"a": {}}),
            "unrecorded",
        ),
    ):
        found = refused_take_ups.reason_of(refusal._replace(**changes), lines)
        assert found == expected, (changes, found)
    counted = refused_take_ups.count([refusal._replace(age=9.1)] * 2, none)
    assert counted == {"early, after its deadline: expired": [2, 1]}
