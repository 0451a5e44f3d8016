"""Who sends a routed request, as far as the entry's configuration can tell.

A customer's key that was taken away must stop at every entry within a bound,
also at one that is cut off and can't hear of it; so keys are taken for as
long as the configuration lease allows and no longer. A key that is not known
may have been added a moment ago: only an entry that has heard from control
since the request came is sure that it is none.
"""

from typing import Protocol

from mintcleat.decisions import customers
from mintcleat.domain import errors
from mintcleat.domain import events as event_types
from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.ports import events as event_ports
from mintcleat.ports import timers as timer_ports

_POLL_SECONDS = 0.02
# Unknown keys that wait for that word at once. More are strangers who try
# keys: they hear "not run" at once, and cost nobody a place.
MAX_UNCONFIRMED = 64
RETRY_SECONDS = 0.5


class Configuration(Protocol):
    """What is asked of the configuration that this entry follows."""

    def manifest(self) -> manifest.Manifest:
        """Returns the manifest applied here."""

    def revision(self) -> int:
        """Returns the revision applied here; 0 before the first."""

    def key_seconds(self) -> float:
        """Returns for how long customers' keys may still be taken."""

    def known_until(self) -> float:
        """Returns the clock up to which no accepted push is unknown here."""

    def word_seconds(self) -> float:
        """Returns within which time a node in touch hears of every push."""


class Authenticator:
    """Tells customers by their keys.

    Attributes:
        register: Customers of the manifest that it was made from.
        unconfirmed: Requests that wait for word on their unknown keys.
    """

    def __init__(
        self,
        configuration: Configuration,
        timers: timer_ports.Timers,
        events: event_ports.EventReporter,
    ) -> None:
        self.configuration = configuration
        self.timers = timers
        self.events = events
        self.policies = configuration.manifest().policies
        self.callers = customers.CallerIndex(self.policies)
        self.unconfirmed = 0

    def caller(self, key: str, public: bool = False) -> customers.Caller | None:
        """Returns whose request it is, as far as this entry knows now.

        Args:
            key: Digest of the key that it carries; empty for none.
            public: Whether it may come without a key.

        Returns:
            None when the key is unknown and `confirm` has to say whether it
            is new.

        Raises:
            errors.LeaseExpired: This entry may not take keys any more.
        """
        self._refresh()
        if not self.callers.required or (public and not key):
            return self.callers.find(key)
        if self.configuration.key_seconds() <= 0:
            raise errors.LeaseExpired(
                "This entry has been without control for too long to tell "
                "customers by their keys.",
                retry_after=RETRY_SECONDS,
            )
        found = self.callers.find(key)
        return found if found.customer else None

    def confirmed_caller(
        self, key: str, public: bool = False
    ) -> customers.Caller:
        """Returns whose request it is, after `confirm`.

        Raises:
            errors.Unauthorized: The key is surely no customer's.
            errors.LeaseExpired: This entry may not take keys any more.
        """
        found = self.caller(key, public)
        if found is None and not public:
            raise _unauthorized(key)
        return found or customers.UNKNOWN_CALLER

    def await_updates(self, request: str, key: str, arrived: float) -> None:
        """Waits until this entry knows every push from before a request.

        Args:
            request: Its id.
            key: Digest of its key, which is not known here.
            arrived: Clock of its arrival.

        Raises:
            errors.ControlUnavailable: There was no word from control in time,
                or too many requests wait for it.
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
                "The key is not known here and may be new.",
                retry_after=RETRY_SECONDS,
            )

    def _poll_updates(self, arrived: float) -> bool:
        if self.unconfirmed >= MAX_UNCONFIRMED:
            return False
        until = self.timers.now() + self.configuration.word_seconds()
        self.unconfirmed += 1
        try:
            while self.configuration.known_until() < arrived:
                if self.timers.now() >= until:
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
    """Returns the refusal of a request whose key surely opens nothing."""
    shown = keys.short_digest(key)
    named = f"The key {shown}" if shown else "A request without one key"
    return errors.Unauthorized(
        f"{named} is no customer's.",
        remedy="Send one key that the operator has given out.",
    )
