"""What the caller-facing HTTP adapter needs of the entry role."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import program_messages
from mintcleat.domain import requests


class EntryApi(Protocol):
    """The entry; every method raises typed errors."""

    def authenticate(self, key: str, request: str) -> "EntryApi":
        """Returns the entry as the holder of a key may use it.

        Args:
            key: Digest of the key that a request carries; empty for none.
            request: Its id.
        """

    def ready(self) -> bool:
        """Tells whether this entry takes new work."""

    def models(self) -> list[str]:
        """Returns the names of the model services."""

    def create_program(
        self, new: requests.NewProgram
    ) -> program_messages.ProgramView:
        """Creates a program, or returns the same one for a resend."""

    def show_program(self, program: str) -> program_messages.ProgramView:
        """Returns a program."""

    def history(self, program: str) -> program_messages.History:
        """Returns a program's whole history."""

    def close_program(self, program: str) -> None:
        """Closes a program and its sub-agents."""

    def chat(
        self, call: requests.ChatCall
    ) -> Iterator[requests.Text | requests.End]:
        """Yields the parts of a chat answer and then its end."""

    def service(self, call: requests.ServiceCall) -> requests.ServiceAnswer:
        """Returns the answer of a plain service."""
