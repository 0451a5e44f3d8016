"""Expiry of programs and deletion of old records.

Without deletion, records that are never read again would fill the memory of
every replica. Each key is kept for the configured retention, so that a resend
within that time never runs twice.
"""

from mintcleat.domain import identities
from mintcleat.programs import commands
from mintcleat.programs import outcomes
from mintcleat.programs import records
from mintcleat.programs import state

# Records of each kind that one tick expires or deletes. Many may be due at the
# same time, and handling all would stall the event loop and delay heartbeats.
MAX_DELETIONS = 1000
# Maximum time that the clock of an idle group loses with a change of leader;
# negligible against any reasonable retention.
CLOCK_STEP_SECONDS = 60.0


def sweep(group: state.Group, tick: commands.Tick) -> identities.Done:
    """Expires abandoned programs and deletes records past their retention."""
    _expire_idle(group, tick.program_idle)
    _delete_ended(group, tick.record_retention)
    _discard_calls(group, tick.record_retention)
    group.branches.sweep(group.clock)
    return identities.Done()


def is_due(group: state.Group, clock: float, tick: commands.Tick) -> bool:
    """Returns whether a Tick at `clock` should be proposed to the log.

    This is the case if it would expire or delete anything. A group with
    records also logs its clock every CLOCK_STEP_SECONDS, because a new leader
    continues at the last logged clock: without it, frequent changes of the
    leader would stop the clock of an idle group. An empty group logs nothing.
    """
    if group.branches.is_due(clock):
        return True
    is_empty = not (
        group.activity or group.ended or group.calls or group.branches.accounts
    )
    if not is_empty and clock - group.clock >= CLOCK_STEP_SECONDS:
        return True
    oldest = next(iter(group.activity.values()), clock)
    if clock - oldest >= tick.program_idle:
        return True
    due = clock - tick.record_retention
    if group.ended and group.ended[0][0] <= due:
        return True
    return bool(group.calls) and next(iter(group.calls.values())).touched <= due


def _expire_idle(group: state.Group, idle: float) -> None:
    for _ in range(MAX_DELETIONS):
        if not group.activity:
            return
        root, touched = next(iter(group.activity.items()))
        if group.clock - touched < idle:
            return
        group.end(group.programs[root], records.EXPIRED)


def _delete_ended(group: state.Group, retention: float) -> None:
    for _ in range(MAX_DELETIONS):
        if not group.ended or group.clock - group.ended[0][0] < retention:
            return
        ended, name = group.ended.popleft()
        program = group.programs.get(name)
        if program is None or program.ended != ended:
            continue
        if program.parent:
            group.programs[program.parent].children.remove(name)
        _delete_program(group, name)


def _delete_program(group: state.Group, name: str) -> None:
    """Deletes a program, its calls and its sub-agents.

    The calls are discarded before the record. A call without an outcome has
    tokens reserved in the budgets of all ancestors; these count as used and
    would otherwise stay reserved.
    """
    program = group.programs[name]
    for child in program.children:
        _delete_program(group, child)
    for call in list(program.calls.values()):
        outcomes.discard(group, call)
    group.histories.forget(name)
    group.deleted_programs += 1
    del group.programs[name]


def _discard_calls(group: state.Group, retention: float) -> None:
    for _ in range(MAX_DELETIONS):
        oldest = next(iter(group.calls.values()), None)
        if oldest is None or group.clock - oldest.touched < retention:
            return
        outcomes.discard(group, oldest)
