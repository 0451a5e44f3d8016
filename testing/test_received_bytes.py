"""Which caller gives way when a process holds too much of what it received."""

from mintcleat.adapters import received_bytes

LARGE = 2 * received_bytes.SMALL_BYTES
LIMIT = 8 * LARGE


def test_nobody_gives_way_within_the_limit() -> None:
    received = received_bytes.ReceivedBytes(LIMIT)
    for number in range(6):
        received.set(number, LARGE, 0, 0.0)
    assert received.excess(0.0) is None
    assert received.total == received.large == 6 * LARGE


def test_large_requests_leave_room_for_small_ones() -> None:
    # Guards against bodies that take all room from ordinary requests.
    received = received_bytes.ReceivedBytes(LIMIT)
    received.set("small", 1000, 0, 0.0)
    for number in range(6):
        received.set(number, LARGE, 0, 0.0)
    received.set("largest", LARGE + 1, 0, 0.0)
    assert received.excess(0.0) == "largest"


def test_request_that_does_not_move_gives_way_first() -> None:
    received = received_bytes.ReceivedBytes(LIMIT)
    received.set("stopped", LARGE, 0, 0.0)
    for number in range(3):
        received.set(number, 2 * LARGE, 0, 5.0)
    assert received.excess(5.0) == "stopped"


def test_request_that_is_handled_does_not_give_way() -> None:
    # Guards against a request that is dropped after it may have run.
    received = received_bytes.ReceivedBytes(LIMIT)
    received.set("handled", 0, 7 * LARGE, 0.0)
    assert received.excess(0.0) is None
    received.set("arrives", LARGE, 0, 0.0)
    assert received.excess(0.0) == "arrives"


def test_bytes_behind_a_handled_request_give_way() -> None:
    received = received_bytes.ReceivedBytes(LIMIT)
    received.set("handled", LARGE, 6 * LARGE, 0.0)
    assert received.excess(0.0) == "handled"


def test_many_small_requests_are_within_the_limit_too() -> None:
    received = received_bytes.ReceivedBytes(LIMIT)
    for number in range(LIMIT // 1000 + 1):
        received.set(number, 1000, 0, 0.0)
    received.set("new", 10, 0, 0.0)
    assert received.excess(1.0) == 0


def test_one_whole_body_always_has_room() -> None:
    # Guards against a single request inside the limits that is refused.
    received = received_bytes.ReceivedBytes(1000)
    received.make_fit(4 * LARGE)
    received.set("one", 4 * LARGE + 1000, 0, 0.0)
    assert received.excess(0.0) is None


def test_what_has_ended_holds_nothing() -> None:
    received = received_bytes.ReceivedBytes(LIMIT)
    received.set("one", LARGE, 0, 0.0)
    received.set("one", 0, LARGE, 1.0)
    received.set("one", 0, 0, 2.0)
    assert (received.total, received.large, received.held) == (0, 0, {})
