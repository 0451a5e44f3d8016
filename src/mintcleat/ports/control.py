"""The interface to the leaders of the program groups."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from mintcleat.domain import identities
from mintcleat.ports import streams


class Control(Protocol):
    """A client of the program groups that finds the leader and retries.

    Attributes:
        groups: Number of program groups.
    """

    groups: int

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Sends a request to the leader of the scope's group.

        Args:
            scope: Program id, or `customer/key` for a call without a program.
            message: A request of `domain.program_messages`.
            timeout: Seconds for the whole exchange, retries included.

        Raises:
            errors.MintcleatError: The group refused the request, or no leader
                answered in time.
        """

    def converse(
        self,
        scope: str,
        begin: Callable[[], Any],
        use: Callable[[streams.Exchange], None],
        timeout: float,
    ) -> None:
        """Uses an exchange with a leader; with the next one if it breaks off.

        Args:
            scope: As in `ask`.
            begin: Returns the first message of each exchange.
            use: Sends and receives the rest; it is called again after a
                failure that another instance may not have.
            timeout: Seconds after which no other instance is tried.

        Raises:
            errors.ControlUnavailable: No leader answered in time.
            errors.MintcleatError: The group refused.
        """

    def ended_programs(
        self,
        sidecar: identities.Incarnation,
        programs: list[str],
        timeout: float,
    ) -> list[str]:
        """Returns those of the programs that are closed, expired or unknown.

        Programs of a group that does not answer are left out.
        """
