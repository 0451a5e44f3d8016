"""Identification of a request's customer by its key, done once at the entry.

There can be 4,200 customers with several keys each, and strangers who try
millions of keys. A customer mistaken for another would read its history and
use up its limit. A customer refused because its key was added a moment ago
would lose the request.
"""

from typing import NamedTuple

import msgspec

from mintcleat.domain import manifest


class Caller(NamedTuple):
    """The sender of a request.

    Attributes:
        customer: Name in the manifest; empty if unknown.
        priority: Priority of its requests; None for that of the route.
        label: Name of the customer in requests to upstreams; empty if it is
            that in the manifest.
    """

    customer: str = ""
    priority: int | None = None
    label: str = ""


UNKNOWN_CALLER = Caller()


class CallerIndex:
    """The customers of one configuration revision, by key.

    Attributes:
        required: Whether a request without a key is refused.
        by_key: Callers by the digest of each of their keys.
    """

    def __init__(self, policies: manifest.Policies) -> None:
        self.required = policies.require_keys
        self.by_key = {
            digest: Caller(
                name,
                customer.priority,
                ""
                if isinstance(customer.label, msgspec.UnsetType)
                else customer.label,
            )
            for name, customer in policies.customers.items()
            for digest in customer.keys
        }

    def find(self, key: str) -> Caller:
        """Returns the caller with a key, or `UNKNOWN_CALLER`.

        Args:
            key: Digest of the key; empty if none was sent.
        """
        return self.by_key.get(key, UNKNOWN_CALLER)
