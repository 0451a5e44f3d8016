"""Applies committed entries to the state machines."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from mintcleat.consensus import replica as replicas
from mintcleat.consensus import types
from mintcleat.domain import errors
from mintcleat.ports import log
from mintcleat.roles.control.replication import proposals as proposals_module
from mintcleat.roles.control.replication import reporting

# Called with a group, its replica, its machine, and the size of the data of the
# applied entries in bytes.
OnApplied = Callable[[str, replicas.Replica, log.StateMachine, int], None]


class Application:
    """The state machines of an instance.

    Attributes:
        machines: State machines by group.
        proposals: The proposers that wait for results.
        reporter: Reports changes of voters.
        on_applied: Called after entries of a group were applied.
    """

    def __init__(
        self,
        machines: dict[str, log.StateMachine],
        proposals: proposals_module.Proposals,
        reporter: reporting.Reporter,
        on_applied: OnApplied,
    ) -> None:
        self.machines = machines
        self.proposals = proposals
        self.reporter = reporter
        self.on_applied = on_applied

    def apply(self, group: str, replica: replicas.Replica) -> None:
        """Applies the entries that were committed since the last call.

        Raises:
            errors.StorageFailed: A command can't be applied on this host.
        """
        entries = replica.take_committed()
        if not entries:
            return
        machine = self.machines.get(group)
        size = 0
        for entry in entries:
            if entry.kind == types.CONFIGURATION:
                self.reporter.voters_changed(replica, entry)
            result = None
            size += len(entry.data)
            if entry.kind == types.COMMAND and machine is not None:
                result = _apply_one(group, machine, entry)
            if machine is not None:
                self.proposals.applied(group, entry, result)
        if machine is not None:
            self.on_applied(group, replica, machine, size)

    def restore(self, group: str, state: bytes) -> None:
        """Replaces the state of a group's machine, if there is one."""
        machine = self.machines.get(group)
        if machine is not None:
            machine.restore(state)


def _apply_one(
    group: str, machine: log.StateMachine, entry: types.Entry
) -> Any:
    """Applies a command and returns its result.

    An exception in the state machine becomes an error for the proposer. The
    same code fails in the same way on every replica, so they stay equal, and
    one bad command does not stop the whole group. A failure of this host is
    different: the machine has then missed a command that the other replicas
    applied, so this replica stops.
    """
    try:
        return machine.apply(entry.index, entry.data)
    except (OSError, MemoryError) as error:
        raise errors.StorageFailed(
            f"Entry {entry.index} of {group} cannot be applied: {error}."
        ) from error
    except Exception:
        logger.exception("Entry {} of {} failed.", entry.index, group)
        return errors.MintcleatError("The state machine failed.")
