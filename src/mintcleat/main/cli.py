"""`mintcleat`: the operators' command-line tool.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid input, 4 conflict,
5 missing or wrong token, 6 unreachable or no leader, 7 outcome unknown (run the
same command again), 8 not in force before the timeout, 9 not found.
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
from mintcleat.main import cli_load
from mintcleat.main import cli_manifest
from mintcleat.main import cli_tables

_AUDIT_PAGE_SIZE = 1000
# Moving a replica takes a few hundred milliseconds.
_EVACUATION_POLL_SECONDS = 0.5


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
        """Sets the options that every command takes.

        Args:
            admin: Address of an admin port (or MINTCLEAT_ADMIN).
            token_file: File with the token (or MINTCLEAT_TOKEN_FILE).
            data: The daemon's data folder, which holds a generated token.
            json: Print JSON instead of tables.
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
        """Shows the revision in force, late nodes, upstreams and rollouts."""
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
            after: Show entries with a higher number.
            last: Show only this many of the newest entries; 0 for all.
        """
        entries: list[dict[str, Any]] = []
        while True:
            page = self._client.get(
                "audit", after=after, limit=_AUDIT_PAGE_SIZE
            )
            entries.extend(page["entries"])
            if not page["entries"]:
                break
            after = entries[-1]["number"]
        entries = entries[-last:] if last else entries
        rows = [
            (
                item["number"],
                cli_tables.format_time(item["at"]),
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
        """Runs a load plan against running entries and prints the results.

        Args:
            plan: JSON file with comments; see docs/reference/load.md.
            entries: Callers' addresses, separated by commas.
            report: Folder for report.json and plots; none when empty.
        """
        cli_bench.run(plan, entries, report, self._json)

    @decorators.SetParseFn(str, "plan", "save", "against", "plot")
    @decorators.SetParseFn(str, "loads")
    def experiment(
        self,
        plan: str,
        save: str = "",
        against: str = "",
        plot: str = "",
        base: str = "",
        ablate: bool = False,
        loads: str = "",
        processes: int = 1,
    ) -> None:
        """Runs policies on the emulator and prints the results of programs.

        Args:
            plan: JSON file with comments; see docs/reference/experiments.md.
            save: File for the results; none when empty.
            against: Results of an earlier run, to show the differences.
            plot: File for a plot of worth over load; none when empty.
            base: Variant with which the others are compared seed by seed.
            ablate: Runs all mechanisms and each of them switched off, instead
                of the plan's variants.
            loads: Loads instead of the plan's, separated by commas.
            processes: Number of processes that simulate, at most 2.
        """
        # Imported here because the other commands don't need the emulator.
        from mintcleat.main import cli_experiment

        options = cli_experiment.Options(
            save, against, plot, base, ablate, loads, processes
        )
        cli_experiment.run(plan, options, self._json)

    @decorators.SetParseFn(str)
    def explain(self, name: str, *files: str) -> None:
        """Shows the path of a request, or where a program's time went.

        Args:
            name: Id of the request or of the program.
            files: Log files of any processes.
        """
        cli_explain.run(name, files, self._json)

    def load(self, customers: int = 50, upstreams: int = 50) -> None:
        """Shows the use of limits and services, and what is refused and why.

        Args:
            customers: Maximum number of customers, those closest to their
                limit first.
            upstreams: Maximum number of upstreams: those that entries avoid,
                then slow ones, then the fullest.
        """
        cli_load.run(self._client, customers, upstreams, self._json)

    def instances(self) -> None:
        """Lists the nodes, their applied revision and remaining lease."""
        self.manifest.status()


class ProgramCommands:
    """Lists, shows and closes programs."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    @decorators.SetParseFn(str, "after")
    def list(self, after: str = "", limit: int = 100) -> None:
        """Lists programs in order of their ids.

        Args:
            after: Show programs with ids after this one.
            limit: Maximum number of programs.
        """
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
        rows = [(name, _format_value(item)) for name, item in answer.items()]
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
        """Stops new requests to an upstream; those in flight continue.

        Args:
            name: Instance, or failure domain with --failure_domain.
            failure_domain: Drain every upstream of the failure domain.
            undo: Allow new requests again.
            ahead: Also accept a name that no upstream has yet.
            operator: Name for the audit trail; the user's name by default.
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
    """Lists and releases requests that have crashed upstreams."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def list(self) -> None:
        """Lists suspect and quarantined requests by digest."""
        answer = self._client.get("quarantine")
        rows = [
            (
                item["digest"],
                "quarantined" if item["quarantined"] else "suspect",
                item["upstreams"],
                cli_tables.format_time(item["until"]),
                item["service"],
                item["route"],
                item["customer"],
                item["request"],
                item["proof"],
            )
            for item in answer["entries"]
        ]
        head = (
            "DIGEST",
            "STATE",
            "CRASHED",
            "UNTIL",
            "SERVICE",
            "ROUTE",
            "CUSTOMER",
            "FIRST",
            "PROOF",
        )
        _print(self._json, answer, head, rows)

    @decorators.SetParseFn(str, "digest")
    def release(self, digest: str, operator: str = "") -> None:
        """Allows a quarantined request to run again.

        Args:
            digest: Digest of the request, as `quarantine list` shows it.
            operator: Name for the audit trail; the user's name by default.
        """
        name = url.quote(operator or getpass.getuser())
        answer = self._client.delete(f"quarantine/{digest}?operator={name}")
        _print(self._json, answer, ("RELEASED",), [(digest,)])


class ControlCommands:
    """Shows and repairs the control instances."""

    def __init__(self, client: cli_client.AdminClient, as_json: bool) -> None:
        self._client = client
        self._json = as_json

    def status(self) -> None:
        """Shows the groups as seen by the queried control instance."""
        answer = self._client.get("control")
        groups = answer["groups"]
        head = [*groups[0]] if groups else ["group"]
        rows = [[_format_value(item[name]) for name in head] for item in groups]
        _print(self._json, answer, [name.upper() for name in head], rows)

    def replace(
        self,
        old: str,
        new: str,
        address: str,
        failure_domain: str = "",
        operator: str = "",
    ) -> None:
        """Replaces a failed control instance by a new one.

        Args:
            old: Name of the failed instance.
            new: Name of the new instance.
            address: `IP:PORT` of the new instance's streams.
            failure_domain: Failure domain of the new instance.
            operator: Name for the audit trail; the user's name by default.
        """
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
        """Moves all replicas off a control instance, so it can be removed.

        The same command shows the progress when it is run again.

        Args:
            instance: Name or label of the control instance.
            operator: Name for the audit trail; the user's name by default.
            wait: Seconds to wait until nothing depends on the instance.
        """
        body = {
            "instance": str(instance),
            "operator": operator or getpass.getuser(),
        }
        deadline = time.monotonic() + wait
        answer = self._client.post("control/empty", body)
        while not answer["done"] and time.monotonic() < deadline:
            time.sleep(_EVACUATION_POLL_SECONDS)
            answer = self._client.post("control/empty", body)
        state = "done" if answer["done"] else "running"
        _print(self._json, answer, ("STATE",), [(state,)])

    def snapshot(self) -> None:
        """Takes a snapshot of every group on the queried instance."""
        answer = self._client.post("control/snapshot", {})
        _print(self._json, answer, ("RESULT",), [(answer["detail"],)])


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line."""
    command = sys.argv[1:] if arguments is None else arguments
    fire.Fire(Commands, command=command, name="mintcleat")


def _print(as_json: bool, data: Any, head: Any, rows: list[Any]) -> None:
    print(
        cli_tables.to_json(data)
        if as_json
        else cli_tables.format_table(head, rows)
    )


def _format_value(item: Any) -> Any:
    if isinstance(item, dict):
        return ", ".join(f"{name} {value}" for name, value in item.items())
    return item


def _remarks(view: dict[str, Any]) -> str:
    remarks = []
    if view["duplicates"]:
        epochs = [str(item["epoch"]) for item in view["duplicates"]]
        remarks.append(f"name in use by epochs {', '.join(epochs)}")
    if view["starts"] > 2:
        remarks.append(f"{view['starts']} starts within a minute")
    return "; ".join(remarks)
