"""When a running stream is moved to another upstream, and what that costs.

Handles upstreams that leave while they run streams, which they would break off
after a few seconds, and upstreams that become several times slower while they
run streams: placement avoids both for new requests, but what runs there stays.
A moved stream continues from the memory of its run, so nothing is generated
twice.

The copy of the memory takes time, during which the run goes on. It is repeated
for what has been generated meanwhile, until little is left; then the run stops,
and the rest is copied. Only that last part is a pause of the stream. Moves use
the links of the upstreams and a second slot for the time of the copy, so there
are none while the service has no free capacity, a budget bounds them to a few
percent of the streams, and a slow upstream is left by a clear margin only.
"""

import math
from typing import NamedTuple

# Moves allowed per stream, and those that may be made at once by an entry that
# made none for long: the streams of one upstream that leaves.
FRACTION = 0.03
RESERVE = 4.0
# Moves of one request. An upstream that is reached by a move has free slots and
# isn't slow; a second move means that it became so since.
MAX_MOVES = 2
# Moves of one entry that copy at a time. Each source copies one at a time, as
# several would share its link.
MAX_CONCURRENT = 4
# Seconds until a stream whose move failed is looked at again.
RETRY_SECONDS = 0.5
# Least part of a service's slots that must be free, so that copies don't take
# the last ones from new requests.
MIN_FREE = 0.1
# Seconds that an upstream is assumed to run its requests after it was first
# seen to leave. It serves for a few seconds, and the copy must end within them.
LEAVING_SECONDS = 1.5
# A copy that takes less, in seconds, is left to the pause.
SMALL_COPY_SECONDS = 0.02
# Copies before the run stops. Each takes a fraction of the one before unless
# the run generates faster than the link copies.
MAX_ROUNDS = 3
# Seconds of a call to an upstream besides the copy: connection, request and
# response, and a step of the engine.
CALL_SECONDS = 0.01
# Gain of a move in seconds, and relative to the time left, from which a slow
# upstream is left: a clear margin, as both times are estimates.
MIN_GAIN_SECONDS = 0.2
MIN_GAIN_FRACTION = 0.3
# A program needs a move if its stream would take more than this part of the
# time left to its target. Later turns and tools need the rest.
TARGET_FRACTION = 0.5


class Link(NamedTuple):
    """What a copy of memory between two upstreams takes.

    Attributes:
        token_bytes: Bytes of memory of a token.
        mbps: Rate within a failure domain in Mbit/s; above 0.
        crosses_domains: Whether the upstreams are in different failure
            domains, between which a copy takes twice as long.
    """

    token_bytes: int
    mbps: float
    crosses_domains: bool

    def seconds(self, tokens: float) -> float:
        """Returns the time to copy so many tokens."""
        seconds = tokens * self.token_bytes * 8.0 / (self.mbps * 1e6)
        return 2.0 * seconds if self.crosses_domains else seconds


class Progress(NamedTuple):
    """The state of a running stream.

    Attributes:
        held: Tokens of its memory: the prompt and what was generated.
        made: Events so far.
        most_left: Events that it may still generate; infinite if unknown.
        mean: Events of an average answer of the service; 0 if unknown.
        step: Tokens of an event.
    """

    held: int
    made: int
    most_left: float
    mean: float
    step: int

    @property
    def left(self) -> float:
        """Expected events to its end.

        Callers state more than most answers have. So an answer is expected to
        be as long as the average one, and one that is longer already to go on
        for as long as it has lasted.
        """
        return min(self.most_left, max(self.mean - self.made, self.made, 1.0))


class Plan(NamedTuple):
    """A move and its expected times in seconds.

    Attributes:
        rounds: Copies before the run stops.
        copy: Time until it stops.
        pause: Time from then until it continues.
        stay: Time to the end of the stream if it isn't moved.
        total: Time to its end if it is.
    """

    rounds: int
    copy: float
    pause: float
    stay: float
    total: float


def plan(progress: Progress, link: Link, gap: float, gap_there: float) -> Plan:
    """Returns the move of a stream to an upstream.

    Args:
        progress: State of the stream.
        link: What a copy to that upstream takes.
        gap: Seconds between two events at its present upstream; above 0.
        gap_there: Seconds between two events at the other.
    """
    left = progress.left
    stay = left * gap
    tokens = float(progress.held)
    copy = 0.0
    rounds = 0
    while rounds < MAX_ROUNDS:
        seconds = link.seconds(tokens) + CALL_SECONDS
        copy += seconds
        rounds += 1
        events = min(left, seconds / gap)
        left -= events
        tokens = events * progress.step
        if link.seconds(tokens) <= SMALL_COPY_SECONDS:
            break
    pause = link.seconds(tokens) + 2.0 * CALL_SECONDS
    return Plan(rounds, copy, pause, stay, copy + pause + left * gap_there)


def outlasts(progress: Progress, gap: float, stops_in: float) -> bool:
    """Returns whether a stream may last longer than its upstream runs it.

    Args:
        progress: State of the stream.
        gap: Seconds between two events.
        stops_in: Seconds for which its upstream still runs it.
    """
    most = progress.most_left
    left = progress.left if math.isinf(most) else most
    return left * gap > stops_in


def pays(move: Plan, allowed_pause: float, target_left: float | None) -> bool:
    """Returns whether a stream is moved off an upstream that is slow.

    Args:
        move: The move.
        allowed_pause: Longest good pause between events of the route.
        target_left: Seconds to the target of the program; None without one,
            which needs no move.
    """
    if target_left is None or move.total > target_left:
        return False
    gain = move.stay - move.total
    return (
        move.pause <= allowed_pause
        and gain >= max(MIN_GAIN_SECONDS, MIN_GAIN_FRACTION * move.stay)
        and move.stay > TARGET_FRACTION * target_left
    )


def has_capacity(running: int, slots: int) -> bool:
    """Returns whether a service has slots free for copies."""
    return running <= (1.0 - MIN_FREE) * slots
