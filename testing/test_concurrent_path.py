"""Concurrent runs of the whole path with faults; checks their histories."""

from collections.abc import Callable
import itertools
from typing import Any

import eventlet
import pytest

from fakes import path_rig
import histories
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import requests

TURNS = 12
PROGRAMS = ("p1", "p2", "p3")


def user(text: str) -> str:
    return f'{{"role":"user","content":"{text}"}}'


def create(rig: path_rig.Rig, program: str) -> None:
    new = requests.NewProgram(program, "", "", "", "", identities.Budget())
    while True:
        try:
            rig.entries[0].create_program(new)
            return
        except (errors.ControlUnavailable, errors.OutcomeUnknown):
            eventlet.sleep(0.05)


def resend_until_run(
    rig: path_rig.Rig, send: Callable[[], Any], once: bool
) -> bool:
    """Resends until the request ran; sometimes through two entries at once.

    Returns False if it did not run, or may have run while `once` forbids a
    resend.
    """
    for _ in range(60):
        duplicate = None
        if rig.faults.happens(0.25):
            duplicate = eventlet.spawn(send)
        refusal = send()
        if duplicate is not None:
            duplicate.wait()
        if refusal is None:
            return True
        if once and refusal.outcome == errors.UNKNOWN:
            return False
        eventlet.sleep(0.05)
    return False


def run_program(rig: path_rig.Rig, program: str) -> None:
    for number in range(1, TURNS + 1):
        text = user(f"{program} says {number}")
        if not resend_until_run(
            rig, lambda n=number, t=text: rig.turn(program, n, t), once=False
        ):
            return
        key = f"{program}-act{number}"
        resend_until_run(rig, lambda k=key: rig.act(program, k), once=True)
        rig.read(program)


def inject_faults(rig: path_rig.Rig) -> None:
    for step in itertools.count(1):
        eventlet.sleep(0.05)
        rig.inject_fault(step)


def check_engines(rig: path_rig.Rig) -> list[str]:
    """Returns each run whose prompt is not its program's history so far."""
    wrong = []
    seen = 0
    for side in rig.directory.sidecars:
        if side.service != "chat":
            continue
        for run in side.upstream.runs:
            seen += 1
            if not is_prefix(rig, run.messages):
                wrong.append(f"{side.name} ran {run}")
    assert seen > len(PROGRAMS) * TURNS / 2
    ran = [o for o in rig.record.operations if o.outcome == errors.RAN]
    assert len(ran) > len(PROGRAMS) * TURNS / 2
    return wrong


def is_prefix(rig: path_rig.Rig, prompt: list[str]) -> bool:
    """Returns whether a prompt is its program's history and a new message."""
    program, _, number = rig.sent[prompt[-1]]
    turns = rig.record.finals[program].turns[: number - 1]
    return prompt[:-1] == [text for turn in turns for text in turn.messages]


def test_outcome_is_unknown_when_all_sidecars_die_during_a_turn() -> None:
    """Both sidecars of a service die while an engine runs a turn.

    The entry can't seal the attempt, settles it as unknown and finds no
    upstream for another. An engine had the turn, so the caller must get the
    outcome `unknown`, not `not_run`.
    """
    rig = path_rig.Rig(1)
    rig.faults.active = False
    chats = [side for side in rig.directory.sidecars if side.service == "chat"]
    try:
        create(rig, "p")
        for side in chats:
            side.upstream.hangs = True
        sending = eventlet.spawn(rig.turn, "p", 1, user("hello"))
        while not rig.record.runs:
            eventlet.sleep(0.01)
        for side in chats:
            side.die()
        refusal = sending.wait()
    finally:
        rig.stop()
    assert refusal.outcome == errors.UNKNOWN


@pytest.mark.parametrize("seed", [11, 12])
def test_guarantees_hold_on_the_whole_path_under_faults(seed: int) -> None:
    """Control's answers are delayed, duplicated or lost; its leader changes.

    Sidecars are killed and restart as a new incarnation, while callers resend
    by key, sometimes through two entries at once.
    """
    rig = path_rig.Rig(seed)
    try:
        for program in PROGRAMS:
            create(rig, program)
        threads = [
            eventlet.spawn(run_program, rig, program) for program in PROGRAMS
        ]
        injector = eventlet.spawn(inject_faults, rig)
        for thread in threads:
            thread.wait()
        injector.kill()
        eventlet.sleep(0.3)
        rig.finish(list(PROGRAMS))
    finally:
        rig.stop()
    assert histories.check(rig.record) == []
    assert check_engines(rig) == []
