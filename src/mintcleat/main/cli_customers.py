"""`mintcleat customers ...`: customers and their keys."""

from collections.abc import Callable
from collections.abc import Sequence
import getpass
import secrets
import time
from typing import Any
from typing import NamedTuple

from fire import decorators
import msgspec

from mintcleat.domain import keys
from mintcleat.domain import manifest
from mintcleat.main import cli_client
from mintcleat.main import cli_manifest
from mintcleat.main import cli_tables

_KEY_BYTES = 24
_DAY = 86400.0
_HOUR = 3600.0
_COLUMNS = ("CUSTOMER", "KEY", "AGE", "RATE", "BURST", "PRIORITY")


class _Change(NamedTuple):
    """A push of changed keys.

    Attributes:
        revision: The new revision.
        require_keys: Whether callers must show a key in that revision.
    """

    revision: int
    require_keys: bool


class CustomerCommands:
    """Lists customers and adds and removes their keys."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def list(self) -> None:
        """Lists customers, their limits, and their keys by digest and age."""
        answer = self._client.get("customers")
        now = time.time()
        rows = [
            (
                item["customer"],
                keys.short_digest(key["digest"]) if key else "none",
                format_age(now - key["since"]) if key and key["since"] else "",
                item["rate"] or "no limit",
                item["burst"],
                "" if item["priority"] is None else item["priority"],
            )
            for item in answer["customers"]
            for key in item["keys"] or [None]
        ]
        self._print(answer, cli_tables.format_table(_COLUMNS, rows))

    @decorators.SetParseFn(str, "customer", "operator")
    def add_key(self, customer: str, operator: str = "") -> None:
        """Creates a key for a customer and prints it.

        Only the digest of the key is stored, so it can't be printed again. The
        customer's other keys remain valid. The output says whether callers
        without a key are served.

        Args:
            customer: Name of the customer.
            operator: Name for the audit trail; the user's name by default.
        """
        key = secrets.token_urlsafe(_KEY_BYTES)
        digest = keys.digest(key)
        change = self._change(
            customer, operator, lambda before: [*before, digest]
        )
        short = keys.short_digest(digest)
        consequence = (
            "callers without a key are refused"
            if change.require_keys
            else "callers without a key are served too"
        )
        self._print(
            {
                "customer": customer,
                "key": key,
                "revision": change.revision,
                "require_keys": change.require_keys,
            },
            f"{key}\nkey {short} of {customer}, revision {change.revision}\n"
            f"{consequence} (policy require_keys)",
        )

    @decorators.SetParseFn(str, "customer", "key", "operator")
    def remove_key(self, customer: str, key: str, operator: str = "") -> None:
        """Removes a key; every entry rejects it within seconds.

        Args:
            customer: Name of the customer.
            key: Digest of the key or its prefix, as `customers list` shows.
            operator: Name for the audit trail; the user's name by default.
        """

        def remove(before: Sequence[str]) -> Sequence[str]:
            prefix = keys.PREFIX + key.removeprefix(keys.PREFIX)
            found = [digest for digest in before if digest.startswith(prefix)]
            if len(found) != 1:
                cli_client.fail(
                    cli_client.NOT_FOUND,
                    f"{customer} has {len(found)} keys that begin with {key}.",
                    "Use a digest that `mintcleat customers list` shows.",
                )
            return [digest for digest in before if digest != found[0]]

        revision = self._change(customer, operator, remove).revision
        self._print(
            {"customer": customer, "revision": revision},
            f"key {key} of {customer} removed, revision {revision}",
        )

    def _change(
        self,
        customer: str,
        operator: str,
        change: Callable[[Sequence[str]], Sequence[str]],
    ) -> _Change:
        """Pushes the manifest in force with changed keys of a customer.

        Args:
            customer: Name of the customer.
            operator: Name for the audit trail; empty for the user's name.
            change: Returns the new digests for the present ones.

        Returns:
            What the push has changed.
        """
        answer = self._client.get("manifest")
        whole = manifest.parse(cli_tables.to_json(answer["manifest"]))
        present = whole.policies.customers.get(customer)
        if present is None:
            cli_client.fail(
                cli_client.NOT_FOUND,
                f"The manifest has no customer {customer!r}.",
                "Use a name that `mintcleat customers list` shows.",
            )
        customers = dict(whole.policies.customers)
        customers[customer] = msgspec.structs.replace(
            present, keys=list(change(present.keys))
        )
        policies = msgspec.structs.replace(whole.policies, customers=customers)
        text = manifest.compact(
            msgspec.structs.replace(whole, policies=policies)
        )
        name = operator or getpass.getuser()
        pushed = cli_manifest.push(self._client, text, answer["revision"], name)
        return _Change(pushed["revision"], policies.require_keys)

    def _print(self, data: Any, text: str) -> None:
        print(cli_tables.to_json(data) if self._json else text)


def format_age(seconds: float) -> str:
    """Returns an age as text, in hours below two days and in days above."""
    if seconds >= 2 * _DAY:
        return f"{seconds / _DAY:.0f} days"
    return f"{seconds / _HOUR:.1f} hours"
