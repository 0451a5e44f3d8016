"""The entry's API restricted to one customer's programs and rate limit."""

from collections.abc import Iterator
from typing import Protocol

from mintcleat.domain import errors
from mintcleat.domain import program_messages
from mintcleat.domain import requests
from mintcleat.ports import calls as calls_port
from mintcleat.roles.entry import rate_limiter

# The entry removes the customer's key and adds the customer's name.
_CREDENTIALS = "authorization"
_CUSTOMER = "mintcleat-customer"


class UnscopedEntryApi(calls_port.EntryApi, Protocol):
    """The entry's API without a check of the programs' customers."""

    def view_program(self, program: str) -> program_messages.ProgramView:
        """Returns a program, possibly from the cache and out of date."""


class CustomerCalls:
    """Implements `ports.calls.EntryApi` for an authenticated customer.

    The customer that a request names itself is ignored, and another
    customer's program appears as an unknown one.
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
        """Returns itself; the caller is authenticated already."""
        return self

    def ready(self) -> bool:
        """Returns whether the load balancer may send new work here."""
        return self.calls.ready()

    def models(self) -> list[str]:
        """Returns the names of the model services."""
        return self.calls.models()

    def create_program(
        self, new: requests.NewProgram
    ) -> program_messages.ProgramView:
        """Creates a program; a resend returns the existing one."""
        if new.parent:
            self._check_owner(new.parent)
        return self.calls.create_program(new._replace(customer=self.customer))

    def show_program(self, program: str) -> program_messages.ProgramView:
        """Returns the program by a linearizable read."""
        self._check_owner(program)
        return self.calls.show_program(program)

    def history(self, program: str) -> program_messages.History:
        """Returns the program's complete history."""
        self._check_owner(program)
        return self.calls.history(program)

    def close_program(self, program: str) -> None:
        """Closes the program and its sub-agents."""
        self._check_owner(program)
        self.calls.close_program(program)

    def chat(
        self, call: requests.ChatCall
    ) -> Iterator[requests.AnswerText | requests.AnswerEnd]:
        """Yields the text of a chat answer in parts, then its end."""
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
        """Checks that a program belongs to the customer.

        Raises:
            errors.UnknownProgram: It doesn't exist or is another customer's.
        """
        try:
            owner = self.calls.view_program(program).customer
        except errors.UnknownProgram:
            owner = None
        if owner != self.customer:
            # The same for a program that doesn't exist and for another
            # customer's, so that it reveals nothing about the latter. One that
            # doesn't exist may have been deleted after it had run.
            raise errors.UnknownProgram(
                f"Program {program} does not exist.", outcome=errors.UNKNOWN
            )
