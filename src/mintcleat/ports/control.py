"""How entries and sidecars reach the leader of a program group."""

from typing import Any
from typing import Protocol


class Control(Protocol):
    """A client that finds leaders, follows redirects and retries."""

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Sends a program group message and returns the reply.

        Args:
            scope: A program id, or `<partner>/<key>` without a program.
            message: A request of `domain.messages`.
            timeout: Seconds for all tries together.

        Raises:
            errors.ControlUnavailable: Nothing was or will be proposed.
            errors.OutcomeUnknown: A proposal may have been committed.
            errors.MintcleatError: The leader's own typed answer.
        """
