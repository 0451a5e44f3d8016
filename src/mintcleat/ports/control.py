"""How a role asks the leaders of the program groups."""

from typing import Any
from typing import Protocol

from mintcleat.domain import identities


class Control(Protocol):
    """A client of the program groups; it finds the leader and retries.

    Attributes:
        groups: How many program groups there are.
    """

    groups: int

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Sends a message to the leader of the scope's group.

        Args:
            scope: Program id, or `customer/key` for a call without a program.
            message: One of the program group requests.
            timeout: Seconds for the whole exchange, retries included.

        Raises:
            errors.MintcleatError: The group's refusal, or no leader answered.
        """

    def ended_programs(
        self,
        sidecar: identities.Incarnation,
        programs: list[str],
        timeout: float,
    ) -> list[str]:
        """Returns which programs are gone; a group that can't tell, none."""
