"""Who sends a request, decided once at the entry.

The load: 4,200 customers with several keys each, and strangers who try keys
by the million. The harm: a customer served under another's name reads its
history and spends its limit; a customer refused for a key that was added a
moment ago has lost its request for nothing.
"""

from typing import NamedTuple

from mintcleat.domain import manifest


class Caller(NamedTuple):
    """Whose request it is.

    Attributes:
        customer: Name in the manifest; empty for nobody that it knows.
        priority: Rank of the customer's requests; None for the route's own.
    """

    customer: str = ""
    priority: int | None = None


UNKNOWN_CALLER = Caller()


class CallerIndex:
    """The customers of one revision by key; one look a request.

    Attributes:
        required: Whether a request without a known key is refused.
        callers: By digest of their keys.
    """

    def __init__(self, policies: manifest.Policies) -> None:
        self.required = policies.require_keys
        self.callers = {
            held: Caller(name, customer.priority)
            for name, customer in policies.customers.items()
            for held in customer.keys
        }

    def find(self, key: str) -> Caller:
        """Returns who holds a key.

        Args:
            key: Its digest; empty when none was sent.
        """
        return self.callers.get(key, UNKNOWN_CALLER)
