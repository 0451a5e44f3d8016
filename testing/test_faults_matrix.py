"""Roles die at each step of a call, alone and in pairs.

The caller sends one call through one entry and, when it gets no final
answer, sends it again with its key through the other. Meanwhile the victims
die at the step. What ran is read from the upstreams. The cells are listed in
docs/design/040-sidecar.md.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import json

import eventlet
import pytest
from testtools import assertions
from testtools import matchers

from fakes import service_rig
from fakes import service_system
from mintcleat.standins import batch
from mintcleat.standins import cache

SINGLES = [(role,) for role in service_system.ROLES]
PAIRS = list(itertools.combinations(service_system.ROLES, 2))
NUMBERS = itertools.count()
# Up to the grant a turn takes the same path as a booking, so pairs that die
# there are tried with bookings only.
TURN_CELLS = [
    *itertools.product(SINGLES, service_system.STEPS),
    *itertools.product(PAIRS, service_system.STEPS[2:]),
]


@pytest.fixture(scope="module")
def hooked(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[service_system.System]:
    started = service_system.System(tmp_path_factory.mktemp("system"))
    with pytest.MonkeyPatch.context() as patch:
        service_system.hook(started, patch.setattr)
        yield started
        started.stop()


@pytest.fixture(scope="module")
def three_controls(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[service_system.System]:
    started = service_system.System(tmp_path_factory.mktemp("three"), 3)
    yield started
    started.stop()


@pytest.fixture
def three(
    three_controls: service_system.System,
) -> Iterator[service_system.System]:
    with pytest.MonkeyPatch.context() as patch:
        service_system.hook(three_controls, patch.setattr)
        yield three_controls
    three_controls.restore()


@pytest.fixture
def system(
    hooked: service_system.System,
) -> Iterator[service_system.System]:
    """Starts again, after each cell, whatever died in it."""
    yield hooked
    hooked.restore()


def cell_id(value: str | tuple[str, ...]) -> str:
    return value if isinstance(value, str) else "+".join(value)


def call_until_final(
    send: Callable[[int], service_system.Reply], may_repeat: bool
) -> list[service_system.Reply]:
    """Sends through entry 0, then through entry 1 until it is final.

    An unknown outcome is final for a call that must not be repeated. For a
    turn its remedy is to send it again, as an entry out of its own retries
    tells the caller.
    """
    replies = [send(0)]
    for _ in range(60):
        last = replies[-1]
        if last.status == 200:
            break
        if last.outcome == "unknown" and not may_repeat:
            break
        eventlet.sleep(0.03)
        replies.append(send(1))
    return replies


def book(
    system: service_system.System, step: str, victims: tuple[str, ...]
) -> None:
    """Books once while the victims die at the step, and checks the rest."""
    key = f"book-{next(NUMBERS)}"
    runs_seen = []

    def runs() -> int:
        services = [system.upstreams["tool-0"], system.upstreams["tool-1"]]
        return sum(service.runs[key, "/book"] for service in services)

    def send(entry: int) -> service_system.Reply:
        path = "/v1/services/tool/book"
        reply = system.send(
            entry, "POST", path, {"part": key}, Idempotency_Key=key
        )
        runs_seen.append((reply.outcome, runs()))
        return reply

    system.arm(step, *victims)
    replies = call_until_final(send, may_repeat=False)
    assert system.fired
    assertions.assert_that(runs(), matchers.LessThan(2))
    assert ("not_run", 1) not in runs_seen
    last = replies[-1]
    if last.status == 200:
        assert (runs(), last.body["key"]) == (1, key)
    else:
        # Only whoever had the request in hand can leave it unknown.
        assert last.outcome == "unknown"
        assert {"sidecar", "upstream"} & set(victims)


@pytest.mark.parametrize("step", service_system.STEPS)
@pytest.mark.parametrize("victims", [*SINGLES, *PAIRS], ids="+".join)
def test_booking_happens_at_most_once(
    system: service_system.System, step: str, victims: tuple[str, ...]
) -> None:
    """A booking, which must not happen twice, and deaths at one step.

    The caller sends the same key until it hears a final word. One booking
    at the services at most; a whole own answer or a true outcome.
    """
    book(system, step, victims)


@pytest.mark.parametrize("step", service_system.STEPS)
def test_booking_outlives_a_leader(
    three: service_system.System, step: str
) -> None:
    """The control leader dies at one step, and another of three takes over.

    Nothing that the group committed is lost with it, so the caller ends
    with its whole answer and one booking.
    """
    book(three, step, ("control",))


@pytest.mark.parametrize(("victims", "step"), TURN_CELLS, ids=cell_id)
def test_turn_is_whole_and_its_memory_goes(
    system: service_system.System, victims: tuple[str, ...], step: str
) -> None:
    """A chat turn of a program, and deaths at one step.

    The caller ends with the whole right answer, the history holds it once,
    the budget counts it once, and after the program's close no engine holds
    anything of it.
    """
    program = f"p{next(NUMBERS)}"
    path = "/v1/programs"
    system.send(1, "POST", path, {"id": program, "agent": "agent"})
    asked = service_rig.user(f"{program} asks")

    def send(entry: int) -> service_system.Reply:
        body = {
            "max_tokens": service_system.ANSWER_TOKENS,
            "messages": [json.loads(asked)],
        }
        return system.send(
            entry,
            "POST",
            "/v1/chat/completions",
            body,
            Mintcleat_Program=program,
            Mintcleat_Turn="1",
        )

    system.arm(step, *victims)
    replies = call_until_final(send, may_repeat=True)
    assert system.fired
    engines = [system.upstreams["model-0"], system.upstreams["model-1"]]
    ran = [
        run.messages
        for one in engines
        for run in one.runs
        if run.program == program
    ]
    assert [list(map(json.loads, said)) for said in ran] == [
        [json.loads(asked)] for _ in ran
    ]
    expected = "".join(
        batch.answer_tokens(ran[0], service_system.ANSWER_TOKENS)
    )
    assert replies[-1].status == 200, replies
    message = replies[-1].body["choices"][0]["message"]
    assert message["content"] == expected
    view = system.send(1, "GET", f"{path}/{program}", None).body
    used = cache.count_tokens(asked) + service_system.ANSWER_TOKENS
    assert view["tokens_used"] == used
    assert view["tokens_reserved"] == 0
    history = system.send(1, "GET", f"{path}/{program}/history", None).body
    said = [turn["messages"][1]["content"] for turn in history["turns"]]
    assert said == [expected]
    # A dead upstream's memory is gone; a live one's must be released, also
    # by a sidecar that has just been started beside it.
    system.restore()
    assert system.send(1, "DELETE", f"{path}/{program}", None).status < 300
    service_rig.until(lambda: not any(one.cache.used_tokens for one in engines))
