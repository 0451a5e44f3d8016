"""`mintcleat manifest ...`: check, diff, push, show and status."""

import getpass
import pathlib
import sys
import time
from typing import Any

import xxhash

from mintcleat.domain import errors
from mintcleat.domain import manifest as schema
from mintcleat.main import cli_client
from mintcleat.main import cli_tables

# Polling interval of `--wait`. A push is in force within about a second.
_POLL_SECONDS = 0.25


class ManifestCommands:
    """Checks, pushes and shows the manifest."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def check(self, file: str) -> None:
        """Lists all errors in a manifest file, without a running daemon."""
        _load(file)
        self._print({"faults": []}, f"{file}: no faults")

    def diff(self, file: str) -> None:
        """Shows what a file would change in the manifest in force."""
        _, new = _load(file)
        answer = self._client.get("manifest")
        old = _manifest_of(answer)
        changes = schema.diff(old, new)
        rows = [(item.path, item.before, item.after) for item in changes]
        changes_table = cli_tables.format_table(
            ("PATH", "IN FORCE", "IN THE FILE"), rows
        )
        self._print(
            {
                "revision": answer["revision"],
                "changes": [item._asdict() for item in changes],
            },
            changes_table
            if rows
            else f"no change to revision {answer['revision']}",
        )

    def push(
        self,
        file: str,
        expected: int | None = None,
        request_id: str = "",
        operator: str = "",
        wait: float = 0.0,
        number: int = 0,
    ) -> None:
        """Pushes a manifest file; fails if another push came first.

        With --number, the highest number wins instead: a push with an equal or
        lower one changes nothing and shows what is in force.

        If the response was lost, run the command again with the same
        --expected. It reports the outcome of the first run and changes nothing.

        Args:
            file: JSON file with the complete manifest.
            expected: Revision that the file is based on; by default the one
                in force.
            request_id: Distinguishes two pushes of the same content.
            operator: Name for the audit trail; the user's name by default.
            wait: Seconds to wait until every live node has applied it.
            number: The operators' own version number of the manifest.
        """
        text, new = _load(file)
        if number:
            expected = expected or 0
        if expected is None:
            answer = self._client.get("manifest")
            expected = answer["revision"]
            if expected and _manifest_of(answer) == new:
                self._print(
                    {"revision": expected, "changed": False},
                    f"revision {expected} is in force with this content",
                )
                return
        name = operator or getpass.getuser()
        pushed = push(
            self._client, text, expected, name, str(request_id), number
        )
        if pushed["version"] > number > 0:
            self._print(
                {**pushed, "changed": False},
                f"version {pushed['version']} is in force as revision"
                f" {pushed['revision']}",
            )
            return
        revision = pushed["revision"]
        self._print(
            {**pushed, "changed": True}, f"accepted as revision {revision}"
        )
        if wait:
            self.status(wait=wait, revision=revision)

    def show(self) -> None:
        """Prints the manifest in force; its revision goes to stderr."""
        answer = self._client.get("manifest")
        if self._json:
            print(cli_tables.to_json(answer))
            return
        print(f"revision {answer['revision']}", file=sys.stderr)
        print(schema.render(_manifest_of(answer)))

    def status(self, wait: float = 0.0, revision: int = 0) -> None:
        """Shows each instance's applied revision, when, and its lease.

        Args:
            wait: Seconds to wait until every live node has applied it.
            revision: Revision to wait for; by default the one in force.
        """
        deadline = time.monotonic() + wait
        while True:
            answer = self._client.get("instances")
            target = revision or answer["revision"]
            late = late_nodes(answer, target)
            if not late or time.monotonic() >= deadline:
                break
            time.sleep(_POLL_SECONDS)
        self._print(answer, _instances_table(answer))
        if late:
            cli_client.fail(
                cli_client.WAIT_TIMEOUT if wait else cli_client.OK,
                f"not yet applied by {', '.join(late)}.",
                "Nodes that do not apply it lose their lease within 4 s.",
            )
        if not self._json:
            print(f"revision {target} is in force at every live node")

    def _print(self, data: Any, text: str) -> None:
        print(cli_tables.to_json(data) if self._json else text)


def push(
    client: cli_client.AdminClient,
    text: str,
    expected: int,
    operator: str,
    request_id: str = "",
    number: int = 0,
) -> dict[str, Any]:
    """Pushes a manifest; returns the response of the admin interface."""
    return client.post(
        "manifest",
        {
            "expected": expected,
            "push_id": push_id(text, expected, operator, request_id),
            "manifest": text,
            "operator": operator,
            "version": number,
        },
    )


def push_id(text: str, expected: int, operator: str, request_id: str) -> str:
    """Returns an id that is equal for every run of the same command."""
    seed = f"{operator}\0{request_id}\0{expected}\0{text}"
    return xxhash.xxh3_128_hexdigest(seed.encode())


def late_nodes(answer: dict[str, Any], target: int) -> list[str]:
    """Returns the live nodes that have not applied a revision.

    Nodes of an unreachable control instance count as late: they may hold
    leases for some more seconds.
    """
    late = [
        node["node"]["instance"]
        for node in answer["nodes"]
        if node["lease"] > 0 and node["revision"] < target
    ]
    return sorted(late) + [f"nodes of {name}" for name in answer["missing"]]


def _instances_table(answer: dict[str, Any]) -> str:
    rows = [
        (
            node["node"]["instance"],
            node["role"],
            node["failure_domain"],
            node["revision"],
            cli_tables.format_time(node["applied_at"]),
            f"{node['lease']:.1f} s" if node["lease"] else "out",
            node["control"],
        )
        for node in answer["nodes"]
    ]
    head = (
        "INSTANCE",
        "ROLE",
        "FAILURE DOMAIN",
        "REVISION",
        "APPLIED",
        "LEASE",
        "CONTROL",
    )
    return cli_tables.format_table(head, rows)


def _load(file: str) -> tuple[str, schema.Manifest]:
    try:
        text = pathlib.Path(str(file)).read_text()
    except (OSError, UnicodeError) as error:
        cli_client.fail(
            cli_client.USAGE, f"{file}: {error}.", "Use a readable JSON file."
        )
    try:
        return text, schema.parse(text)
    except errors.InvalidManifest as error:
        cli_client.fail(
            cli_client.INVALID, f"{file}\n{error.detail}", error.remedy
        )


def _manifest_of(answer: dict[str, Any]) -> schema.Manifest:
    return schema.parse(cli_tables.to_json(answer["manifest"]))
