"""`mintcleat`: the operators' command-line tool.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid input, 4 conflict,
5 no or wrong token, 6 not reachable or no leader, 7 outcome unknown (run the
same command again), 8 not in force in time, 9 not found.
"""

import getpass
import sys
import time
from typing import Any
from urllib import parse as url

import fire
from fire import decorators

from mintcleat.main import cli_bench
from mintcleat.main import cli_client
from mintcleat.main import cli_customers
from mintcleat.main import cli_explain
from mintcleat.main import cli_manifest
from mintcleat.main import cli_tables

PAGE = 1000
# Moving a replica takes some hundred milliseconds.
_EMPTY_PAUSE = 0.5


class Commands:
    """Operates a mintcleat deployment.

    Every command takes --admin ADDRESS, --token_file FILE or --data FOLDER, and
    --json.
    """

    def __init__(
        self,
        *,
        admin: str = "",
        token_file: str = "",
        data: str = "",
        json: bool = False,
    ) -> None:
        """Takes the options of every command.

        Args:
            admin: Address of an admin port (or MINTCLEAT_ADMIN).
            token_file: File with the token (or MINTCLEAT_TOKEN_FILE).
            data: The daemon's data folder, where it keeps a token of its own.
            json: Print JSON for machines in place of tables.
        """
        client = cli_client.AdminClient(str(admin), str(token_file), str(data))
        self._client = client
        self._json = json
        self.manifest = cli_manifest.ManifestCommands(client, json)
        self.programs = ProgramCommands(client, json)
        self.upstreams = UpstreamCommands(client, json)
        self.customers = cli_customers.CustomerCommands(client, json)
        self.quarantine = QuarantineCommands(client, json)
        self.control = ControlCommands(client, json)

    def status(self) -> None:
        """Shows what is in force, what is late and what runs."""
        answer = self._client.get("status")
        services = [
            f"{name}: " + ", ".join(f"{n} {state}" for state, n in item.items())
            for name, item in sorted(answer["services"].items())
        ]
        rollouts = [
            f"{item['service']} to {item['target']}: {item['state']}"
            for item in answer["rollouts"]
        ]
        rows = [
            ("revision", answer["revision"]),
            ("in force at", f"{answer['in_force']} of {answer['live']} nodes"),
            ("late", answer["late"]),
            ("control not answering", answer["missing"]),
            *(("upstreams", line) for line in services),
            *(("rollout", line) for line in rollouts),
            ("quarantined requests", answer["quarantined"]),
        ]
        _print(self._json, answer, ("WHAT", "NOW"), rows)

    def audit(self, after: int = 0, last: int = 0) -> None:
        """Lists who changed what, when, from where, and the outcome.

        Args:
            after: Show entries above this number.
            last: Show only so many of the newest; 0 for all.
        """
        entries: list[dict[str, Any]] = []
        while True:
            page = self._client.get("audit", after=after, limit=PAGE)
            entries.extend(page["entries"])
            if not page["entries"]:
                break
            after = entries[-1]["number"]
        entries = entries[-last:] if last else entries
        rows = [
            (
                item["number"],
                cli_tables.moment(item["at"]),
                item["operator"],
                item["origin"],
                item["action"],
                item["subject"],
                item["outcome"],
            )
            for item in entries
        ]
        head = ("NO", "AT", "WHO", "FROM", "ACTION", "SUBJECT", "OUTCOME")
        _print(self._json, {"entries": entries}, head, rows)

    @decorators.SetParseFn(str, "plan", "entries", "report")
    def bench(
        self, plan: str, entries: str = "127.0.0.1:8080", report: str = ""
    ) -> None:
        """Runs a load plan against running entries and prints its figures.

        Args:
            plan: JSON file with comments; see docs/reference/load.md.
            entries: Callers' addresses, separated by commas.
            report: Folder for report.json and plots; none when empty.
        """
        cli_bench.run(plan, entries, report, self._json)

    @decorators.SetParseFn(str, "plan", "save", "against", "plot")
    def experiment(
        self, plan: str, save: str = "", against: str = "", plot: str = ""
    ) -> None:
        """Plays policies on the emulator and prints what programs got.

        Args:
            plan: JSON file with comments; see docs/reference/experiments.md.
            save: File for the figures; none when empty.
            against: File of an earlier run, to show differences from.
            plot: File for a plot of worth over load; none when empty.
        """
        # Imported here: operators' commands have no use for it.
        from mintcleat.main import cli_experiment

        cli_experiment.run(plan, save, against, plot, self._json)

    @decorators.SetParseFn(str)
    def explain(self, request: str, *files: str) -> None:
        """Shows the path of a request, and which decision ended it.

        Args:
            request: Id of the request.
            files: Files with log lines of any processes.
        """
        cli_explain.run(request, files, self._json)

    def instances(self) -> None:
        """Lists the nodes with the revision applied and the lease left."""
        self.manifest.status()


class ProgramCommands:
    """Lists, shows and closes programs."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    @decorators.SetParseFn(str, "after")
    def list(self, after: str = "", limit: int = 100) -> None:
        """Lists programs in id order, beginning after an id."""
        answer = self._client.get("programs", after=after, limit=limit)
        rows = [
            (
                item["program"],
                item["customer"],
                item["agent"],
                item["state"],
                item["next_turn"],
                item["used"],
                item["reserved"],
                item["budget"]["tokens"] or "no limit",
            )
            for item in answer["programs"]
        ]
        head = (
            "PROGRAM",
            "CUSTOMER",
            "AGENT",
            "STATE",
            "NEXT TURN",
            "USED",
            "RESERVED",
            "BUDGET",
        )
        _print(self._json, answer, head, rows)

    @decorators.SetParseFn(str, "program")
    def show(self, program: str) -> None:
        """Shows one program."""
        answer = self._client.get(f"programs/{url.quote(program, safe='')}")
        rows = [(name, _flat(item)) for name, item in answer.items()]
        _print(self._json, answer, ("FIELD", "VALUE"), rows)

    @decorators.SetParseFn(str, "program")
    def close(self, program: str) -> None:
        """Closes a program and its sub-agents."""
        answer = self._client.delete(f"programs/{url.quote(program, safe='')}")
        _print(self._json, answer, ("CLOSED",), [(program,)])


class UpstreamCommands:
    """Lists and drains upstreams."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def list(self) -> None:
        """Lists the announced upstreams."""
        answer = self._client.get("upstreams")
        rows = []
        for view in answer["upstreams"]:
            item = view["announcement"]
            rows.append(
                (
                    item["sidecar"]["instance"],
                    item["service"],
                    "draining" if view["drained"] else item["state"],
                    item["failure_domain"],
                    item["address"],
                    item["capacity"],
                    item["model"],
                    _remarks(view),
                )
            )
        head = (
            "UPSTREAM",
            "SERVICE",
            "STATE",
            "FAILURE DOMAIN",
            "ADDRESS",
            "CAPACITY",
            "MODEL",
            "REMARKS",
        )
        _print(self._json, answer, head, rows)

    @decorators.SetParseFn(str, "name")
    def drain(
        self,
        name: str,
        failure_domain: bool = False,
        undo: bool = False,
        ahead: bool = False,
        operator: str = "",
    ) -> None:
        """Stops new work to an upstream; what runs goes on.

        Args:
            name: Instance, or failure domain with --failure_domain.
            failure_domain: Drain every upstream of the failure domain.
            undo: Let it take new work again.
            ahead: Also take a name that no upstream has now.
            operator: Name for the audit trail; without it, the user's.
        """
        scope = "failure_domain" if failure_domain else "instance"
        body = {
            "scope": scope,
            "name": name,
            "drain": not undo,
            "ahead": ahead,
            "operator": operator or getpass.getuser(),
        }
        answer = self._client.post("drains", body)
        state = "takes new work" if undo else "draining"
        _print(
            self._json, answer, ("SCOPE", "NAME", "NOW"), [(scope, name, state)]
        )


class QuarantineCommands:
    """Lists and releases requests that crash upstreams."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def list(self) -> None:
        """Lists suspect and quarantined requests."""
        answer = self._client.get("quarantine")
        rows = [
            (
                item["digest"],
                "quarantined" if item["quarantined"] else "suspect",
                item["upstreams"],
                cli_tables.moment(item["until"]),
            )
            for item in answer["entries"]
        ]
        head = ("DIGEST", "STATE", "CRASHED", "UNTIL")
        _print(self._json, answer, head, rows)

    @decorators.SetParseFn(str, "digest")
    def release(self, digest: str, operator: str = "") -> None:
        """Lets a request run again."""
        name = url.quote(operator or getpass.getuser())
        answer = self._client.delete(f"quarantine/{digest}?operator={name}")
        _print(self._json, answer, ("RELEASED",), [(digest,)])


class ControlCommands:
    """Shows and repairs the control instances."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def status(self) -> None:
        """Shows the groups as the asked control instance sees them."""
        answer = self._client.get("control")
        groups = answer["groups"]
        head = [*groups[0]] if groups else ["group"]
        rows = [[_flat(item[name]) for name in head] for item in groups]
        _print(self._json, answer, [name.upper() for name in head], rows)

    def replace(
        self,
        old: str,
        new: str,
        address: str,
        failure_domain: str = "",
        operator: str = "",
    ) -> None:
        """Replaces a lost control instance by a new one."""
        body = {
            "old": str(old),
            "new": str(new),
            "address": str(address),
            "failure_domain": str(failure_domain),
            "operator": operator or getpass.getuser(),
        }
        answer = self._client.post("control/replace", body)
        _print(self._json, answer, ("RESULT",), [(answer["detail"],)])

    def empty(
        self, instance: str, operator: str = "", wait: float = 0.0
    ) -> None:
        """Moves all replicas off a control instance, to take it away.

        Run again, it tells how far that is.

        Args:
            instance: Name or label of the control instance.
            operator: Name for the audit trail; without it, the user's.
            wait: Seconds to wait until nothing depends on it any more.
        """
        body = {
            "instance": str(instance),
            "operator": operator or getpass.getuser(),
        }
        until = time.monotonic() + wait
        answer = self._client.post("control/empty", body)
        while not answer["done"] and time.monotonic() < until:
            time.sleep(_EMPTY_PAUSE)
            answer = self._client.post("control/empty", body)
        state = "done" if answer["done"] else "running"
        _print(self._json, answer, ("STATE",), [(state,)])

    def snapshot(self) -> None:
        """Takes a snapshot of every group on the asked instance."""
        answer = self._client.post("control/snapshot", {})
        _print(self._json, answer, ("RESULT",), [(answer["detail"],)])


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line."""
    given = sys.argv[1:] if arguments is None else arguments
    fire.Fire(Commands, command=given, name="mintcleat")


def _print(as_json: bool, data: Any, head: Any, rows: list[Any]) -> None:
    print(cli_tables.show(data) if as_json else cli_tables.table(head, rows))


def _flat(item: Any) -> Any:
    if isinstance(item, dict):
        return ", ".join(f"{name} {value}" for name, value in item.items())
    return item


def _remarks(view: dict[str, Any]) -> str:
    found = []
    if view["duplicates"]:
        epochs = [str(item["epoch"]) for item in view["duplicates"]]
        found.append(f"name in use by epochs {', '.join(epochs)}")
    if view["starts"] > 2:
        found.append(f"{view['starts']} starts within a minute")
    return "; ".join(found)
