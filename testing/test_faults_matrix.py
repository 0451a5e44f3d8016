"""Crashes of one or two roles at each step of a call.

The caller sends a call through one entry and, if it gets no final answer,
retries it with the same key through the other entry. Meanwhile the roles
under test crash at the given step. The upstreams record what was executed.
docs/design/040-sidecar.md lists the combinations.
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
# Until the attempt is granted, a turn takes the same path as a booking, so
# pairs of crashes at these steps are tested with bookings only.
TURN_COMBINATIONS = [
    *itertools.product(SINGLES, service_system.STEPS),
    *itertools.product(PAIRS, service_system.STEPS[2:]),
]


@pytest.fixture(scope="module")
def system_with_hooks(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[service_system.System]:
    started = service_system.System(tmp_path_factory.mktemp("system"))
    with pytest.MonkeyPatch.context() as patch:
        service_system.hook(started, patch.setattr)
        yield started
        started.stop()


@pytest.fixture(scope="module")
def system_of_three_controls(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[service_system.System]:
    started = service_system.System(tmp_path_factory.mktemp("three"), 3)
    yield started
    started.stop()


@pytest.fixture
def three_controls(
    system_of_three_controls: service_system.System,
) -> Iterator[service_system.System]:
    with pytest.MonkeyPatch.context() as patch:
        service_system.hook(system_of_three_controls, patch.setattr)
        yield system_of_three_controls
    system_of_three_controls.restore()


@pytest.fixture
def system(
    system_with_hooks: service_system.System,
) -> Iterator[service_system.System]:
    """Restarts, after each test, the roles that crashed in it."""
    yield system_with_hooks
    system_with_hooks.restore()


def combination_id(value: str | tuple[str, ...]) -> str:
    return value if isinstance(value, str) else "+".join(value)


def call_until_final(
    send: Callable[[int], service_system.Reply], may_repeat: bool
) -> list[service_system.Reply]:
    """Sends a call through entry 0, then through entry 1 until it is final.

    An unknown outcome is final for a call that must not be repeated. A turn
    may be sent again: an entry that has used up its own retries tells the
    caller to do so.
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
    """Books once while the victims crash at the step, and checks the result.

    Raises:
        AssertionError: The booking was executed twice, an outcome was false,
            or the outcome stayed unknown for no reason.
    """
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
        # Only a crash of the sidecar or of the upstream, which handle the
        # request, may leave the outcome unknown.
        assert last.outcome == "unknown"
        assert {"sidecar", "upstream"} & set(victims)


@pytest.mark.parametrize("step", service_system.STEPS)
@pytest.mark.parametrize("victims", [*SINGLES, *PAIRS], ids="+".join)
def test_booking_happens_at_most_once(
    system: service_system.System, step: str, victims: tuple[str, ...]
) -> None:
    """Guards against a booking that is executed twice after a crash.

    The caller retries with the same key until the reply is final. The
    services execute at most one booking, and the caller gets either its own
    complete answer or a correct outcome.
    """
    book(system, step, victims)


@pytest.mark.parametrize("step", service_system.STEPS)
def test_booking_survives_a_leader_crash(
    three_controls: service_system.System, step: str
) -> None:
    """Guards against losing committed entries with the control leader.

    The leader crashes at one step and another of three instances takes over.
    The caller gets its complete answer, for one booking.
    """
    book(three_controls, step, ("control",))


@pytest.mark.parametrize(
    ("victims", "step"), TURN_COMBINATIONS, ids=combination_id
)
def test_turn_is_complete_and_its_cache_is_released(
    system: service_system.System, victims: tuple[str, ...], step: str
) -> None:
    """Guards against crashes that corrupt a turn or leak its cache.

    The caller gets the complete correct answer, the history and the budget
    count it once, and after the program is closed no engine caches any of it.
    """
    program = f"p{next(NUMBERS)}"
    path = "/v1/programs"
    system.send(1, "POST", path, {"id": program, "agent": "agent"})
    question = service_rig.user(f"{program} asks")

    def send(entry: int) -> service_system.Reply:
        body = {
            "max_tokens": service_system.ANSWER_TOKENS,
            "messages": [json.loads(question)],
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
    prompts = [
        run.messages
        for one in engines
        for run in one.runs
        if run.program == program
    ]
    assert [list(map(json.loads, prompt)) for prompt in prompts] == [
        [json.loads(question)] for _ in prompts
    ]
    expected = "".join(
        batch.answer_tokens(prompts[0], service_system.ANSWER_TOKENS)
    )
    assert replies[-1].status == 200, replies
    message = replies[-1].body["choices"][0]["message"]
    assert message["content"] == expected
    view = system.send(1, "GET", f"{path}/{program}", None).body
    used = cache.count_tokens(question) + service_system.ANSWER_TOKENS
    assert view["tokens_used"] == used
    assert view["tokens_reserved"] == 0
    history = system.send(1, "GET", f"{path}/{program}/history", None).body
    answers = [turn["messages"][1]["content"] for turn in history["turns"]]
    assert answers == [expected]
    # A crashed upstream has lost its cache. A running one must release it,
    # even if its sidecar has just been restarted.
    system.restore()
    assert system.send(1, "DELETE", f"{path}/{program}", None).status < 300
    service_rig.wait_until(
        lambda: not any(one.cache.used_tokens for one in engines)
    )
