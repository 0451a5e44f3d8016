"""`mintcleat customers ...`: who may call, by which keys."""

from collections.abc import Callable
from collections.abc import Sequence
import getpass
import secrets
import time
from typing import Any

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
_HEAD = ("CUSTOMER", "KEY", "AGE", "RATE", "BURST", "PRIORITY")


class CustomerCommands:
    """Lists customers and their keys; adds keys and takes them away."""

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
                age(now - key["since"]) if key and key["since"] else "",
                item["rate"] or "no limit",
                item["burst"],
                "" if item["priority"] is None else item["priority"],
            )
            for item in answer["customers"]
            for key in item["keys"] or [None]
        ]
        self._print(answer, cli_tables.table(_HEAD, rows))

    @decorators.SetParseFn(str, "customer", "operator")
    def add_key(self, customer: str, operator: str = "") -> None:
        """Makes a key for a customer, and shows it this one time.

        Only its digest is kept. The other keys of the customer go on working.
        """
        key = secrets.token_urlsafe(_KEY_BYTES)
        held = keys.digest(key)
        revision = self._change(
            customer, operator, lambda before: [*before, held]
        )
        shown = keys.short_digest(held)
        self._print(
            {"customer": customer, "key": key, "revision": revision},
            f"{key}\nkey {shown} of {customer}, revision {revision}",
        )

    @decorators.SetParseFn(str, "customer", "key", "operator")
    def remove_key(self, customer: str, key: str, operator: str = "") -> None:
        """Takes a key away; it stops at every entry within seconds.

        Args:
            customer: Whose key it is.
            key: Its digest, or the start of it, as `customers list` shows.
            operator: Name for the audit trail; without it, the user's.
        """

        def without(before: Sequence[str]) -> Sequence[str]:
            named = keys.PREFIX + key.removeprefix(keys.PREFIX)
            found = [held for held in before if held.startswith(named)]
            if len(found) != 1:
                cli_client.fail(
                    cli_client.NOT_FOUND,
                    f"{customer} has {len(found)} keys that begin with {key}.",
                    "Name one that `mintcleat customers list` shows.",
                )
            return [held for held in before if held != found[0]]

        revision = self._change(customer, operator, without)
        self._print(
            {"customer": customer, "revision": revision},
            f"key {key} of {customer} taken away, revision {revision}",
        )

    def _change(
        self,
        customer: str,
        operator: str,
        change: Callable[[Sequence[str]], Sequence[str]],
    ) -> int:
        """Pushes the manifest in force with other keys; returns a revision."""
        answer = self._client.get("manifest")
        whole = manifest.parse(cli_tables.show(answer["manifest"]))
        held = whole.policies.customers.get(customer)
        if held is None:
            cli_client.fail(
                cli_client.NOT_FOUND,
                f"The manifest has no customer {customer!r}.",
                "Name one that `mintcleat customers list` shows.",
            )
        customers = dict(whole.policies.customers)
        customers[customer] = msgspec.structs.replace(
            held, keys=list(change(held.keys))
        )
        policies = msgspec.structs.replace(whole.policies, customers=customers)
        text = manifest.compact(
            msgspec.structs.replace(whole, policies=policies)
        )
        name = operator or getpass.getuser()
        pushed = cli_manifest.push(self._client, text, answer["revision"], name)
        return pushed["revision"]

    def _print(self, data: Any, text: str) -> None:
        print(cli_tables.show(data) if self._json else text)


def age(seconds: float) -> str:
    """Returns an age in days, or in hours below two days."""
    if seconds >= 2 * _DAY:
        return f"{seconds / _DAY:.0f} days"
    return f"{seconds / _HOUR:.1f} hours"
