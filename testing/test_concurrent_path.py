"""Concurrent runs of the whole path under faults, checked as histories."""

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


def insist(rig: path_rig.Rig, send: Callable[[], Any], once: bool) -> bool:
    """Resends until it ran; now and then through two entries at once."""
    for _ in range(60):
        twin = None
        if rig.faults.happens(0.25):
            twin = eventlet.spawn(send)
        refusal = send()
        if twin is not None:
            twin.wait()
        if refusal is None:
            return True
        if once and refusal.outcome == errors.UNKNOWN:
            return False
        eventlet.sleep(0.05)
    return False


def run_program(rig: path_rig.Rig, program: str) -> None:
    for number in range(1, TURNS + 1):
        text = user(f"{program} says {number}")
        if not insist(
            rig, lambda n=number, t=text: rig.turn(program, n, t), once=False
        ):
            return
        key = f"{program}-act{number}"
        insist(rig, lambda k=key: rig.act(program, k), once=True)
        rig.read(program)


def disturb_forever(rig: path_rig.Rig) -> None:
    for step in itertools.count(1):
        eventlet.sleep(0.05)
        rig.disturb(step)


def check_engines(rig: path_rig.Rig) -> list[str]:
    """Each prompt that an engine saw is its program's history so far."""
    wrong = []
    seen = 0
    for side in rig.directory.sides:
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
    """Returns whether a prompt is its program's past and one new message."""
    program, _, number = rig.sent[prompt[-1]]
    turns = rig.record.finals[program].turns[: number - 1]
    return prompt[:-1] == [text for turn in turns for text in turn.messages]


def test_turn_lost_with_all_its_sidecars_is_not_called_not_run() -> None:
    """Both sidecars of a service die while an engine runs a turn.

    The entry can't seal the attempt, settles it as unknown, and finds no
    upstream for another. The turn was taken by an engine, so the caller must
    hear that its outcome is unknown, not that it did not run.
    """
    rig = path_rig.Rig(1)
    rig.faults.active = False
    chats = [side for side in rig.directory.sides if side.service == "chat"]
    try:
        create(rig, "p")
        for side in chats:
            side.upstream.holds = True
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
def test_promises_hold_on_the_whole_path(seed: int) -> None:
    """Control answers late, twice or never, and its leader moves.

    Sidecars are killed and come back as another incarnation, while callers
    resend by key, also through two entries at once.
    """
    rig = path_rig.Rig(seed)
    try:
        for program in PROGRAMS:
            create(rig, program)
        threads = [
            eventlet.spawn(run_program, rig, program) for program in PROGRAMS
        ]
        disturber = eventlet.spawn(disturb_forever, rig)
        for thread in threads:
            thread.wait()
        disturber.kill()
        eventlet.sleep(0.3)
        rig.finish(list(PROGRAMS))
    finally:
        rig.stop()
    assert histories.check(rig.record) == []
    assert check_engines(rig) == []
