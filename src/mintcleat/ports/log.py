"""The interface to the replicated log and to its state machines."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol


class Position(NamedTuple):
    """Progress of one replica of a group.

    Attributes:
        term: Current term.
        commit: Highest index known to be committed.
        applied: Highest index applied to the state machine.
        lease_left: Seconds left of the leader lease; 0 on a follower.
    """

    term: int
    commit: int
    applied: int
    lease_left: float


class StateMachine(Protocol):
    """A deterministic state machine.

    `apply` must not read a clock or random numbers, or replicas diverge.
    """

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and returns its result.

        `propose` returns the result to the proposer, or raises it if it is an
        `errors.MintcleatError`.
        """

    def snapshot_parts(self) -> list[bytes]:
        """Returns the serialized state in parts, for `restore` when joined.

        Parts may be bytes of the state itself, so that a large state isn't in
        memory twice.
        """

    def restore(self, state: bytes) -> None:
        """Replaces the state by that of a snapshot."""


class ReplicatedLog(Protocol):
    """The replicas of one instance; each group has one state machine."""

    def attach(
        self,
        group: str,
        machine: StateMachine,
        on_lead: Callable[[], None] | None = None,
    ) -> None:
        """Registers the state machine of a group; call it before `start`.

        Args:
            group: Name of the group.
            machine: State machine of the local replica.
            on_lead: Called once in each term in which this replica is the
                leader, as soon as `leads` returns True. It must not block.
        """

    def start(self) -> None:
        """Recovers the replicas from disk and lets them join elections."""

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        """Commits a command and returns the result of applying it.

        Only the calling green thread waits.

        Raises:
            errors.NotLeader: This replica does not lead; nothing was proposed.
            errors.ProposalLost: The outcome is unknown: the command may have
                been committed or may still be.
        """

    def barrier(self, group: str, timeout: float) -> None:
        """Returns once the local state is recent enough to be read.

        A read after it is linearizable.

        Raises:
            errors.NotLeader: This replica could not confirm its leadership.
        """

    def leader(self, group: str) -> str:
        """Returns the leader's stream address; empty if it is not known."""

    def leads(self, group: str) -> bool:
        """Returns whether this replica is the leader with a valid lease."""

    def position(self, group: str) -> Position:
        """Returns the progress of this replica, for diagnostics."""

    def holders(self, group: str, index: int) -> list[str]:
        """Returns the voters known to have an entry on disk.

        Names have the form `instance@epoch`. Only the leader knows of voters
        other than itself.
        """

    def groups(self) -> list[str]:
        """Returns the names of all groups."""

    def addresses(self) -> list[str]:
        """Returns the stream addresses of the live instances."""

    def live_instances(self) -> dict[str, str]:
        """Returns the labels of the live instances, by instance name.

        Live are this instance and those that sent a message recently.
        """

    def evacuate(self, instances: frozenset[str]) -> None:
        """Moves all replicas off these instances and places no more there.

        Args:
            instances: Names of all instances to be evacuated; replaces the
                set of the call before.
        """

    def transfer_leadership(self, timeout: float) -> None:
        """Transfers every leadership held here, before a planned stop."""

    def stop(self) -> None:
        """Syncs the log and closes it."""
