from mintcleat.decisions import answer_memory


class Stream:
    def __init__(self, memory: answer_memory.AnswerMemory) -> None:
        self.drops = 0
        self.share = answer_memory.Share(memory, self.drop)

    def drop(self) -> None:
        self.drops += 1


def test_the_largest_stream_yields_when_the_sum_exceeds_the_limit() -> None:
    memory = answer_memory.AnswerMemory(100)
    small, large = Stream(memory), Stream(memory)
    small.share.resize(10)
    large.share.resize(80)
    small.share.resize(21)
    assert (small.drops, large.drops) == (0, 1)
    assert large.share.has_yielded
    assert memory.total == 21


def test_a_stream_that_is_the_largest_yields_itself() -> None:
    memory = answer_memory.AnswerMemory(100)
    stream = Stream(memory)
    stream.share.resize(101)
    assert (stream.drops, memory.total) == (1, 0)


def test_a_stream_that_yielded_holds_nothing_until_it_begins_again() -> None:
    memory = answer_memory.AnswerMemory(100)
    stream = Stream(memory)
    stream.share.resize(101)
    stream.share.resize(5)
    assert memory.total == 0
    stream.share.begin()
    stream.share.resize(5)
    assert memory.total == 5


def test_collected_answers_leave_room_for_streams() -> None:
    memory = answer_memory.AnswerMemory(100)
    assert memory.has_room(50)
    assert not memory.has_room(51)
    memory.collect(40)
    assert not memory.has_room(11)


def test_collected_answers_count_against_the_limit_of_streams() -> None:
    memory = answer_memory.AnswerMemory(100)
    stream = Stream(memory)
    stream.share.resize(60)
    memory.collect(41)
    assert (stream.drops, memory.total) == (1, 41)


def test_no_bytes_are_counted_after_the_release_of_all() -> None:
    memory = answer_memory.AnswerMemory(100)
    stream = Stream(memory)
    memory.collect(30)
    stream.share.resize(20)
    stream.share.resize(0)
    memory.collect(-30)
    assert (memory.total, memory.collected, memory.shares) == (0, 0, {})


def test_a_stream_that_is_being_recorded_counts_but_does_not_yield() -> None:
    memory = answer_memory.AnswerMemory(100)
    recorded, other = Stream(memory), Stream(memory)
    recorded.share.resize(80)
    recorded.share.pin()
    other.share.resize(30)
    assert (recorded.drops, other.drops, memory.total) == (0, 1, 80)
    recorded.share.resize(0)
    assert memory.total == 0
