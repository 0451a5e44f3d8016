"""A replicated log of commands, in groups, under state machines."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol


class Position(NamedTuple):
    """Where one replica of a group stands.

    Attributes:
        commit: Last index known to be committed.
        applied: Last index that the machine has.
        lease_left: Seconds; 0 on a follower.
    """

    term: int
    commit: int
    applied: int
    lease_left: float


class StateMachine(Protocol):
    """A deterministic state machine; `apply` must not read clock or chance."""

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and returns the proposer's result.

        A result may be a typed error instance; `propose` raises it.
        """

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, state: bytes) -> None:
        """Replaces the whole state by a snapshot."""


class ReplicatedLog(Protocol):
    """Many groups on one instance; each has one state machine."""

    def attach(
        self,
        group: str,
        machine: StateMachine,
        on_lead: Callable[[], None] | None = None,
    ) -> None:
        """Registers the machine of a group, before `start`.

        Args:
            group: Name of the group.
            machine: Its state machine here.
            on_lead: Called once for each term in which this replica leads,
                as soon as `leads` is true. It must not block.
        """

    def start(self) -> None:
        """Recovers from disk, then takes part in elections."""

    def propose(self, group: str, command: bytes, timeout: float) -> Any:
        """Commits a command and returns what `apply` returned for it.

        Blocks the calling green thread only.

        Raises:
            errors.NotLeader: Nothing was proposed.
            errors.ProposalLost: It may or may not be committed later.
        """

    def barrier(self, group: str, timeout: float) -> None:
        """Returns once the local machine may answer a linearizable read.

        Raises:
            errors.NotLeader: This replica cannot tell.
        """

    def leader(self, group: str) -> str:
        """Returns the leader's stream address, or an empty text."""

    def leads(self, group: str) -> bool:
        """Tells whether this replica leads with a valid lease."""

    def position(self, group: str) -> Position:
        """Returns where this replica stands, for the operators' log."""

    def holders(self, group: str, index: int) -> list[str]:
        """Returns the voters known to hold an entry on disk.

        Only the leader knows of others; names are `instance@epoch`.
        """

    def groups(self) -> list[str]:
        """Returns the names of all groups."""

    def addresses(self) -> list[str]:
        """Returns the stream addresses of the instances heard lately."""

    def live_instances(self) -> dict[str, str]:
        """Returns the names of the instances heard lately, with their labels.

        This instance is among them.
        """

    def evacuate(self, instances: frozenset[str]) -> None:
        """Keeps groups off these instances and moves those there away."""

    def transfer_leadership(self, timeout: float) -> None:
        """Transfers every leadership before a planned stop."""

    def stop(self) -> None:
        """Syncs and closes."""
