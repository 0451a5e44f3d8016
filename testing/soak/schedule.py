"""The seeded schedule of faults; no I/O. Times are seconds from the start.

A run alternates phases. In a mixed phase, faults of controls, entries,
upstreams and load overlap, at most one of each. In a planned phase, one
process is stopped and nothing else happens, so that a lost request is due to
the stop. In a phase of lost entries, all entries are killed at once, under a
load above capacity. In a loss phase, all processes are killed at once.
"""

from collections.abc import Iterator
import random
from typing import NamedTuple

# Quiet times at the start and at the end of a run. Turns of lost entries may
# count for 5 s, and then everybody must be served.
START_SECONDS = 4.0
END_SECONDS = 11.0
_MIXED_SECONDS = 13.0
_PLANNED_SECONDS = 13.0
_LOSS_SECONDS = 9.0
_ENTRIES_SECONDS = 17.0
# Quiet time after a mixed phase: `checks.RECOVERY_SECONDS`.
_REST_SECONDS = 3.0
# Time in which upstreams that crashed under a request are back.
_CRASH_RECOVERY_SECONDS = 3.0

CONTROL_FAULTS = (
    "kill",
    "pause",
    "kill_leader",
    "pause_leader",
    "cut_leader",
    "silent_leader",
    "delay",
    "reset",
    "lose_disk",
    "late_answers_leader",
    "lose_disk_behind",
)
ENTRY_FAULTS = ("kill", "pause", "cut_in", "cut_out", "silent", "delay")
UPSTREAM_FAULTS = (
    "crash",
    "restart",
    "drain",
    "slow",
    "resets",
    "delay",
    "silent",
    "cut_in",
    "cut_out",
    "slow_read",
    "foreign",
    "last_resets",
)
LOAD_FAULTS = ("burst", "slow_readers", "leave", "burst_leader")
# Faults of the proxy between callers and an entry.
FRONT_FAULTS = ("reset", "delay", "silent", "cut_in", "cut_out")
# Faults of the disk and the clock of a control's machine.
MACHINE_FAULTS = ("slow_disk", "full_disk", "clock_ahead")
# Routes of requests that crash the upstreams which run them.
CRASHING = ("safe", "tool", "resume")
# How the model engines are replaced by such of another version: one after the
# other, all but at once, or in place without a word.
ROLLOUTS = ("series", "overlap", "in_place")
# Cuts in which packets are lost; see `cuts`.
NETWORK_FAULTS = (
    "lossy_leader",
    "lossy_control",
    "lossy_entry",
    "lossy_path",
    "lossy_follower",
    "lossy_between_controls",
)
# Signals, restarts and losses in series; see `stops`.
STOPS = (
    "term_during_start",
    "term_controls_in_turn",
    "term_entries_in_turn",
    "term_twice",
    "hangup_during_stop",
    "hangup_during_start",
    "kill_during_stop",
    "pause_leader_long",
    "disks_in_series",
    "damaged_settings",
    "replaced_control",
)
# What happens to several processes at once in the middle of a rollout; see
# `together`.
TOGETHER = (
    "kill_entries",
    "kill_entries",
    "kill_entries_twice",
    "kill_majority",
    "kill_entry_during_stop",
    "clocks_ahead",
    "clocks_behind",
)
# What moves streams: engines that drain and stay, that drain, deregister and
# end, that are slow, or that drain while the others have no room for copies.
# Meanwhile moves are disturbed in their middle; see `move_faults`.
MOVES = ("leave", "scale_in", "slow", "full")
# Time before the end of a phase in which none begins: a fault in the middle of
# a move may take it.
_MOVES_MARGIN_SECONDS = 3.0
# Time from the start of a rollout to it.
_TOGETHER_SECONDS = 2.0
# What happens at once, right after a configuration was acknowledged: all
# processes end, and the disks that may be lost at once are kept or lost.
FINAL_LOSSES = ("kill", "lose_disks")
PLANNED = ("stop_entry", "stop_control", "stop_leader")


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: Start time.
        seconds: Duration; faults that consist of steps, as `drain`, take
            longer.
        track: What it concerns: `control`, `entry`, `upstream`, `load`,
            `crashing`, `machine`, `front`, `rollout`, `together`, `moves`,
            `network`, `stops`, `planned`, `entries`, `all` or `final`.
        kind: What happens.
        number: Chooses the target: its index modulo their number.
    """

    at: float
    seconds: float
    track: str
    kind: str
    number: int


_TRACKS = {
    "control": CONTROL_FAULTS,
    "entry": ENTRY_FAULTS,
    "upstream": UPSTREAM_FAULTS,
    "load": LOAD_FAULTS,
}


def make(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run in the order of their start.

    Args:
        seed: The same seed and duration give the same faults.
        seconds: Duration of the run.
    """
    generator = random.Random(seed)
    # Of its own, so that earlier seeds keep their other faults.
    crashing = random.Random(f"{seed} crashing")
    machine = random.Random(f"{seed} machine")
    front = random.Random(f"{seed} front")
    rollout = random.Random(f"{seed} rollout")
    network = random.Random(f"{seed} network")
    together = random.Random(f"{seed} together")
    moves = random.Random(f"{seed} moves")
    faults: list[Fault] = []
    bags = {track: _bag(generator, kinds) for track, kinds in _TRACKS.items()}
    now = START_SECONDS
    phases = _phases(generator)
    while now + _MIXED_SECONDS / 2 < seconds - END_SECONDS:
        left = seconds - END_SECONDS - now
        phase = next(phases)
        length = {
            "mixed": _MIXED_SECONDS,
            "planned": _PLANNED_SECONDS,
            "entries": _ENTRIES_SECONDS,
            "all": _LOSS_SECONDS,
        }[phase]
        if phase != "mixed" and length > left:
            phase, length = "mixed", left
        length = min(length, left)
        if phase == "mixed":
            faults.extend(_mixed(generator, bags, now, length))
            faults.extend(_crashing(crashing, now, length))
            faults.extend(
                _single(machine, now, length, "machine", MACHINE_FAULTS)
            )
            faults.extend(_single(front, now, length, "front", FRONT_FAULTS))
            rollouts = _single(rollout, now, length, "rollout", ROLLOUTS)
            faults.extend(rollouts)
            faults.extend(
                _together(together, one, now + length) for one in rollouts
            )
            faults.extend(_moves(moves, now, length))
            # One of both: they exclude each other, and a phase is short.
            track, kinds = network.choice(
                (("network", NETWORK_FAULTS), ("stops", STOPS))
            )
            faults.extend(_single(network, now, length, track, kinds))
            now += length + _REST_SECONDS
        elif phase == "planned":
            kind = generator.choice(PLANNED)
            number = generator.randrange(1000)
            faults.append(Fault(now, 9.0, "planned", kind, number))
            now += length
        elif phase == "entries":
            faults.append(
                Fault(now, length - 1.0, "entries", "lose_entries", 0)
            )
            now += length
        else:
            kind = generator.choice(("kill", "lose_disks"))
            down = generator.uniform(0.5, 2.0)
            number = generator.randrange(1000)
            faults.append(Fault(now, down, "all", kind, number))
            now += length
    return sorted(faults)


def final_loss(seed: int) -> Fault:
    """Returns the loss with which a run ends."""
    generator = random.Random(f"{seed} final")
    return Fault(
        0.0,
        generator.uniform(0.5, 2.0),
        "final",
        generator.choice(FINAL_LOSSES),
        generator.randrange(1000),
    )


def _phases(generator: random.Random) -> Iterator[str]:
    yield "mixed"
    others = generator.sample(("planned", "entries"), 2)
    while True:
        yield others[0]
        yield "mixed"
        yield "all"
        yield others[1]
        yield "mixed"
        yield "planned"


def _bag(generator: random.Random, kinds: tuple[str, ...]) -> Iterator[str]:
    """Yields kinds without end, in random order, each once in a round."""
    while True:
        yield from generator.sample(kinds, len(kinds))


def _crashing(
    generator: random.Random, start: float, length: float
) -> list[Fault]:
    """Returns crashing requests of a mixed phase, one or two at a time.

    They end early enough for the upstreams to be back at the phase's end.
    """
    end = start + length - _CRASH_RECOVERY_SECONDS
    at = start + generator.uniform(0.0, 2.0)
    if at >= end:
        return []
    kinds = generator.sample(CRASHING, generator.choice((1, 1, 2)))
    return [
        Fault(at, end - at, "crashing", kind, generator.randrange(1000))
        for kind in kinds
    ]


def _single(
    generator: random.Random,
    start: float,
    length: float,
    track: str,
    kinds: tuple[str, ...],
) -> list[Fault]:
    """Returns one fault of a track in a mixed phase, if there is time."""
    at = start + generator.uniform(1.0, 5.0)
    seconds = min(generator.uniform(1.0, 3.0), start + length - at)
    if seconds <= 0.0:
        return []
    kind = generator.choice(kinds)
    return [Fault(at, seconds, track, kind, generator.randrange(1000))]


def _together(generator: random.Random, rollout: Fault, end: float) -> Fault:
    """Returns what happens in the middle of a rollout, before a phase's end."""
    at = rollout.at + generator.uniform(0.0, _TOGETHER_SECONDS)
    seconds = generator.uniform(0.3, 1.5)
    return Fault(
        min(at, end - seconds),
        seconds,
        "together",
        generator.choice(TOGETHER),
        generator.randrange(1000),
    )


def _moves(
    generator: random.Random, start: float, length: float
) -> list[Fault]:
    """Returns what moves streams for most of a mixed phase."""
    at = start + generator.uniform(0.0, 1.0)
    seconds = start + length - _MOVES_MARGIN_SECONDS - at
    if seconds <= 0.0:
        return []
    kind = generator.choice(MOVES)
    return [Fault(at, seconds, "moves", kind, generator.randrange(1000))]


def _mixed(
    generator: random.Random,
    bags: dict[str, Iterator[str]],
    start: float,
    length: float,
) -> list[Fault]:
    faults = []
    for track, bag in bags.items():
        now = start + generator.uniform(0.0, 2.0)
        while now < start + length - 1.0:
            seconds = generator.uniform(0.4, 4.0)
            seconds = min(seconds, start + length - now)
            kind = next(bag)
            number = generator.randrange(1000)
            faults.append(Fault(now, seconds, track, kind, number))
            now += seconds + generator.uniform(1.0, 3.0)
    return faults
