"""The entry as one customer sees it: its own programs, its own limit."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import errors
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import calls as calls_port
from mintcleat.roles.entry import rate_limiter

# A customer's key goes no further than the entry; its name does.
_CREDENTIALS = "authorization"
_CUSTOMER = "mintcleat-customer"


class UnscopedEntryApi(calls_port.EntryApi, Protocol):
    """The entry for any customer."""

    def view_program(self, program: str) -> program_messages.ProgramView:
        """Returns a program, maybe as it was a moment ago."""


class CustomerCalls:
    """Implements `ports.calls.EntryApi` for a customer that showed its key.

    What a request says itself of its customer counts nothing, and another
    customer's program is one that never was.
    """

    def __init__(
        self,
        calls: UnscopedEntryApi,
        limiter: rate_limiter.RateLimiter,
        customer: str,
    ) -> None:
        self.calls = calls
        self.rate_limiter = limiter
        self.customer = customer

    def authenticate(self, key: str, request: str) -> "CustomerCalls":
        """Returns itself: who calls is decided once."""
        return self

    def ready(self) -> bool:
        """Tells whether this entry takes new work."""
        return self.calls.ready()

    def models(self) -> list[str]:
        """Returns the names of the model services."""
        return self.calls.models()

    def create_program(
        self, new: requests.NewProgram
    ) -> program_messages.ProgramView:
        """Creates a program, or returns the same one for a resend."""
        if new.parent:
            self._check_owner(new.parent)
        return self.calls.create_program(new._replace(customer=self.customer))

    def show_program(self, program: str) -> program_messages.ProgramView:
        """Returns a program of the customer."""
        self._check_owner(program)
        return self.calls.show_program(program)

    def history(self, program: str) -> program_messages.History:
        """Returns its whole history."""
        self._check_owner(program)
        return self.calls.history(program)

    def close_program(self, program: str) -> None:
        """Closes it and its sub-agents."""
        self._check_owner(program)
        self.calls.close_program(program)

    def chat(
        self, call: requests.ChatCall
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the parts of a chat answer and then its end."""
        self._admit(call)
        return self.calls.chat(call._replace(customer=self.customer))

    def service(self, call: requests.ServiceCall) -> requests.ServiceAnswer:
        """Returns the answer of a plain service."""
        self._admit(call)
        headers = [item for item in call.headers if item[0] != _CREDENTIALS]
        named = [*headers, [_CUSTOMER, self.customer]]
        return self.calls.service(
            call._replace(customer=self.customer, headers=named)
        )

    def _admit(self, call: requests.ChatCall | requests.ServiceCall) -> None:
        if call.program:
            self._check_owner(call.program)
        self.rate_limiter.admit(self.customer, call.program, call.request)

    def _check_owner(self, program: str) -> None:
        """Refuses a program that is not the customer's.

        Raises:
            errors.UnknownProgram: It is another's, or there is none.
        """
        if self.calls.view_program(program).customer != self.customer:
            raise errors.UnknownProgram(f"No program {program}.")
