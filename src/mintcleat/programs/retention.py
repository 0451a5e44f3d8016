"""What leaves a group, and when.

Without it, records of programs that nobody will ask for again fill the
memory of every replica; with it, a key is remembered for a stated time and
a resend within that time never runs twice.
"""

from mintcleat.domain import identities
from mintcleat.programs import commands
from mintcleat.programs import outcomes
from mintcleat.programs import records
from mintcleat.programs import state

# Records that one tick may drop: a burst that was closed together must not
# stall the loop, and with it the heartbeats, when it becomes due together.
MAX_DROPS = 1000
# Seconds of its clock that an idle group loses at most with its leader;
# small beside any sensible retention.
CLOCK_STEP = 60.0


def sweep(group: state.Group, tick: commands.Tick) -> identities.Done:
    """Expires abandoned programs and drops what is past its retention."""
    _expire_idle(group, tick.program_idle)
    _drop_ended(group, tick.record_retention)
    _drop_calls(group, tick.record_retention)
    group.branches.sweep(group.clock)
    return identities.Done()


def is_due(group: state.Group, clock: float, tick: commands.Tick) -> bool:
    """Tells whether a tick at `clock` is worth a log entry.

    A group without records costs none. One with records writes its clock
    down once in `CLOCK_STEP`: the next leader goes on from what is written,
    so frequent changes of an idle group's leader would else stop its clock.
    """
    if group.branches.is_due(clock):
        return True
    is_empty = not (
        group.activity or group.ended or group.calls or group.branches.accounts
    )
    if not is_empty and clock - group.clock >= CLOCK_STEP:
        return True
    oldest = next(iter(group.activity.values()), clock)
    if clock - oldest >= tick.program_idle:
        return True
    due = clock - tick.record_retention
    if group.ended and group.ended[0][0] <= due:
        return True
    return bool(group.calls) and next(iter(group.calls.values())).touched <= due


def _expire_idle(group: state.Group, idle: float) -> None:
    for _ in range(MAX_DROPS):
        if not group.activity:
            return
        root, touched = next(iter(group.activity.items()))
        if group.clock - touched < idle:
            return
        group.end(group.programs[root], records.EXPIRED)


def _drop_ended(group: state.Group, retention: float) -> None:
    for _ in range(MAX_DROPS):
        if not group.ended or group.clock - group.ended[0][0] < retention:
            return
        ended, name = group.ended.popleft()
        program = group.programs.get(name)
        if program is None or program.ended != ended:
            continue
        if program.parent:
            group.programs[program.parent].children.remove(name)
        _forget(group, name)


def _forget(group: state.Group, name: str) -> None:
    """Drops a program and all below it; its calls first.

    A call without an outcome holds tokens of every ancestor. They count as
    spent; dropped with the record alone they would stay reserved there.
    """
    program = group.programs[name]
    for child in program.children:
        _forget(group, child)
    for call in list(program.calls.values()):
        outcomes.drop(group, call)
    group.histories.forget(name)
    group.forgotten += 1
    del group.programs[name]


def _drop_calls(group: state.Group, retention: float) -> None:
    for _ in range(MAX_DROPS):
        oldest = next(iter(group.calls.values()), None)
        if oldest is None or group.clock - oldest.touched < retention:
            return
        outcomes.drop(group, oldest)
