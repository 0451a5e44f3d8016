"""Which requests a process that is being stopped still sends upstream."""

import pytest

from mintcleat.decisions import stop_times

NOTICE_UNTIL = 102.6
ANSWERS_BY = 106.7
TIMES = stop_times.StopTimes(NOTICE_UNTIL, ANSWERS_BY)


def test_every_request_is_sent_before_a_stop() -> None:
    times = stop_times.StopTimes()
    assert times.allow(now=100.0, arrived=1.0, latest=1e9, expected=1e9)


@pytest.mark.parametrize("arrived", [100.0, NOTICE_UNTIL, 106.0])
def test_request_is_sent_if_its_deadline_is_before_the_end(
    arrived: float,
) -> None:
    assert TIMES.allow(arrived, arrived, ANSWERS_BY, expected=9.0)


def test_long_deadline_alone_refuses_nothing_during_the_notice() -> None:
    # Callers would be refused by the thousand although their answers are
    # short, while the load balancer still sends them here.
    assert TIMES.allow(102.0, 102.0, latest=130.0, expected=1.0)


def test_long_answer_is_not_begun_during_the_notice() -> None:
    assert not TIMES.allow(102.0, 102.0, latest=130.0, expected=5.0)


def test_request_that_arrives_after_the_notice_is_not_run_on_a_guess() -> None:
    assert not TIMES.allow(103.0, 103.0, ANSWERS_BY + 0.1, expected=0.1)


def test_request_that_has_waited_is_judged_by_the_time_that_is_left() -> None:
    assert TIMES.allow(104.0, 101.0, latest=130.0, expected=2.0)
    assert not TIMES.allow(105.0, 101.0, latest=130.0, expected=2.0)


def test_expected_time_follows_the_answers_of_the_service() -> None:
    times = stop_times.AnswerTimes()
    assert times.expected("desk", 0.25) == 0.25
    times.observe("desk", 3.0)
    assert times.expected("desk", 0.25) == 6.0
    assert times.expected("lm", 0.25) == 0.25
