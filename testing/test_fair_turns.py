from mintcleat.roles.entry import fair_turns


class Timers:
    def __init__(self) -> None:
        self.time = 100.0
        self.sleeps: list[float] = []

    def now(self) -> float:
        return self.time

    def sleep(self, seconds: float) -> None:
        self.sleeps.append(round(seconds, 6))


def test_answers_at_full_speed_share_half_of_the_event_loop() -> None:
    timers = Timers()
    turns = fair_turns.FairTurns(timers)
    for _ in range(3):
        turns.worked(0.002)
    assert timers.sleeps == [0.004, 0.008, 0.012]


def test_an_answer_alone_waits_no_longer_than_it_worked() -> None:
    timers = Timers()
    turns = fair_turns.FairTurns(timers)
    turns.worked(0.002)
    timers.time += 1.0
    turns.worked(0.002)
    assert timers.sleeps == [0.004, 0.004]


def test_a_pause_of_the_process_counts_as_little_work() -> None:
    timers = Timers()
    fair_turns.FairTurns(timers).worked(30.0)
    assert timers.sleeps == [0.04]


def test_parts_have_all_bytes() -> None:
    data = bytes(range(256)) * 33
    found = list(fair_turns.parts(data))
    assert b"".join(found) == data
    assert max(map(len, found)) == fair_turns.PART_BYTES
    assert list(fair_turns.parts(b"")) == [b""]
