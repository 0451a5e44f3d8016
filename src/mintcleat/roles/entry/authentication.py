"""Authenticates callers by the API keys in the entry's configuration.

A revoked key must stop working at every entry within a bounded time, also at
one that is partitioned from control. Keys are therefore accepted only for a
limited time after the configuration lease. An unknown key may have been added
a moment ago: it is rejected only once the entry has the configuration that was
in force when the request arrived.

A key that a caller shows is checked whether or not keys are required, as soon
as any customer has one. Otherwise a caller with a wrong key would be served,
and one with a right key would not be recognized.
"""

from collections.abc import Callable
import math
from typing import Protocol

from mintcleat.decisions import customers
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

_POLL_SECONDS = 0.02
# Requests with unknown keys that may wait for updates at the same time. Any
# beyond that, such as those of somebody who guesses keys, are refused at once
# with outcome `not_run`, so that they don't take resources from other callers.
MAX_UNCONFIRMED = 64
RETRY_SECONDS = 0.5


class Configuration(Protocol):
    """The part of the followed configuration that authentication needs."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied on this node."""

    def revision(self) -> int:
        """Returns the revision applied on this node; 0 before the first."""

    def key_seconds(self) -> float:
        """Returns the seconds for which keys may still be accepted."""

    def known_until(self) -> float:
        """Returns the time up to which all accepted pushes are applied."""

    def push_propagation_seconds(self) -> float:
        """Returns the seconds in which a connected node gets every push."""


class Authenticator:
    """Finds customers by their keys.

    Attributes:
        answers_by: Returns when waiting requests must be answered, as this
            process ends.
        policies: Policies that `callers` was built from.
        callers: Index of the customers by key.
        unconfirmed: Requests with unknown keys that wait for updates.
    """

    def __init__(
        self,
        configuration: Configuration,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
        answers_by: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.configuration = configuration
        self.answers_by = answers_by
        self.timers = timers
        self.events = events
        self.policies = configuration.manifest().policies
        self.callers = customers.CallerIndex(self.policies)
        self.unconfirmed = 0

    def caller(self, key: str, public: bool = False) -> customers.Caller | None:
        """Returns the caller by the configuration applied now.

        Args:
            key: Digest of the request's key; empty for none.
            public: Whether the route serves requests without a key.

        Returns:
            None when the key is unknown; call `await_updates` before the
            request is refused.

        Raises:
            errors.LeaseExpired: This entry may not accept keys any more.
        """
        self._refresh()
        callers = self.callers
        if not key and (public or not callers.required):
            return customers.UNKNOWN_CALLER
        if not callers.required and not callers.by_key:
            # No customer has a key, so that none can be right or wrong.
            return customers.UNKNOWN_CALLER
        if self.configuration.key_seconds() <= 0:
            raise errors.LeaseExpired(
                "This entry has been without control for too long to accept "
                "customers' keys.",
                retry_after=RETRY_SECONDS,
            )
        found = callers.find(key)
        return found if found.customer else None

    def confirmed_caller(
        self, key: str, public: bool = False
    ) -> customers.Caller:
        """Returns the caller; to be called after `await_updates`.

        Raises:
            errors.Unauthorized: No customer has the key.
            errors.LeaseExpired: This entry may not accept keys any more.
        """
        found = self.caller(key, public)
        if found is None and not public:
            raise _unauthorized(key)
        return found or customers.UNKNOWN_CALLER

    def await_updates(self, request: str, key: str, arrived: float) -> None:
        """Waits until all pushes from before a request are applied here.

        Args:
            request: Request id.
            key: Digest of its key, which is unknown here.
            arrived: Monotonic time of its arrival, in seconds.

        Raises:
            errors.ControlUnavailable: No update came from control in time, or
                too many requests wait already.
        """
        updated = self._poll_updates(arrived)
        self.events.emit(
            event_types.KeyUnknown(
                request,
                keys.short_digest(key),
                round(self.timers.now() - arrived, 4),
                round(arrived - self.configuration.known_until(), 4),
                self.configuration.revision(),
                self.unconfirmed,
                updated,
            )
        )
        if not updated:
            raise errors.ControlUnavailable(
                "The key is unknown, but may have been added recently.",
                retry_after=RETRY_SECONDS,
            )

    def _poll_updates(self, arrived: float) -> bool:
        if self.unconfirmed >= MAX_UNCONFIRMED:
            return False
        until = (
            self.timers.now() + self.configuration.push_propagation_seconds()
        )
        self.unconfirmed += 1
        try:
            while self.configuration.known_until() < arrived:
                if self.timers.now() >= min(until, self.answers_by()):
                    return False
                self.timers.sleep(_POLL_SECONDS)
        finally:
            self.unconfirmed -= 1
        return True

    def _refresh(self) -> None:
        policies = self.configuration.manifest().policies
        if policies is not self.policies:
            self.policies = policies
            self.callers = customers.CallerIndex(policies)


def _unauthorized(key: str) -> errors.Unauthorized:
    """Returns the error for a key that no customer has."""
    shown = keys.short_digest(key)
    named = f"The key {shown}" if shown else "A request without exactly one key"
    return errors.Unauthorized(
        f"{named} doesn't belong to a customer.",
        remedy="Send exactly one key that the operator has issued.",
    )
