"""The interface of the entry role to its HTTP adapter for callers."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import program_messages
from mintcleat.domain import requests


class EntryApi(Protocol):
    """The entry's operations for callers.

    Every method may raise an `errors.MintcleatError`.
    """

    def authenticate(self, key: str, request: str) -> "EntryApi":
        """Returns the operations that the holder of an API key may use.

        Args:
            key: Digest of the request's API key; empty if it has none.
            request: Id of the request.
        """

    def ready(self) -> bool:
        """Returns whether this entry accepts new requests."""

    def models(self) -> list[str]:
        """Returns the names of the model services."""

    def create_program(
        self, new: requests.NewProgram
    ) -> program_messages.ProgramView:
        """Creates a program; a repeated request returns the existing one."""

    def show_program(self, program: str) -> program_messages.ProgramView:
        """Returns the current state of a program."""

    def history(self, program: str) -> program_messages.History:
        """Returns all finished turns of a program."""

    def close_program(self, program: str) -> None:
        """Closes a program and its sub-agents."""

    def chat(
        self, call: requests.ChatCall
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the chunks of a chat answer as they arrive, then its end."""

    def service(self, call: requests.ServiceCall) -> requests.ServiceAnswer:
        """Calls a plain service and returns its response."""
