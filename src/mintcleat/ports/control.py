"""How a role asks the leaders of the program groups."""

from typing import Any
from typing import Protocol


class Control(Protocol):
    """A client of the program groups; it finds the leader and retries."""

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Sends a message to the leader of the scope's group.

        Args:
            scope: Program id, or `partner/key` for a call without a program.
            message: One of the program group requests.
            timeout: Seconds for the whole exchange, retries included.

        Raises:
            errors.MintcleatError: The group's refusal, or no leader answered.
        """

    def group_of(self, scope: str) -> str:
        """Returns the name of the group that a scope lies in."""
