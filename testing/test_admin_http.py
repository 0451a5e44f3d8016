"""Tests the operators' interface with the command-line tool."""

import contextlib
import io
import json
import pathlib
import tempfile
from typing import Any

from testing.fakes import config_cluster
import testtools
from testtools import matchers
import urllib3

from mintcleat.adapters import admin_http
from mintcleat.adapters import wsgi
from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import keys
from mintcleat.domain import member_messages
from mintcleat.domain import program_messages
from mintcleat.main import cli
from mintcleat.main import cli_client

TOKEN = "secret-of-the-test"
VIEW = program_messages.ProgramView(
    "1e5",
    "farmers",
    "triage",
    "interactive",
    "",
    identities.Budget(1000),
    3,
    10,
    5,
    "open",
    b"\x01",
    identities.Incarnation("sidecar-1", 1),
    "127.0.0.1:1",
    0.0,
    [],
)


class FakePrograms:
    """A client of the program groups that knows one program."""

    def ask(self, scope: str, message: Any, timeout: float) -> Any:
        """Returns the program or the result of closing it."""
        if scope != VIEW.program:
            raise errors.UnknownProgram(f"No program {scope}.")
        if isinstance(message, program_messages.CloseProgram):
            return identities.Done("closed")
        return VIEW

    def list_programs(
        self, message: program_messages.ListPrograms, timeout: float
    ) -> program_messages.Programs:
        """Returns the program as the only page."""
        return program_messages.Programs(
            [VIEW] if message.after < "1e5" else []
        )

    def show_load(
        self, message: program_messages.ShowLoad, timeout: float
    ) -> program_messages.LoadView:
        """Returns a view with one customer over its limit."""
        farmers = program_messages.CustomerLoad(
            "farmers", 60.0, 26.0, 5.0, 63, 9, {"limit_near": 4}
        )
        customers = [farmers][: message.customers]
        return program_messages.LoadView(message.group, 2, [], customers)


class FakeControl:
    """Control actions that are only recorded."""

    def __init__(self) -> None:
        self.replaced: list[tuple[str, ...]] = []

    def status(self) -> list[dict[str, Any]]:
        """Returns one group."""
        return [{"group": "config", "leader": "control-0"}]

    def replace(
        self, old: str, new: str, address: str, failure_domain: str
    ) -> str:
        """Records the replacement."""
        self.replaced.append((old, new, address, failure_domain))
        return "started"

    def snapshot(self) -> str:
        """Returns a description without taking snapshots."""
        return "1 group"


class AdminTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.cluster = config_cluster.Cluster(self, 2)
        # The second instance is not the leader, so it forwards all requests.
        self.app = admin_http.AdminApp(
            TOKEN,
            ask=self.cluster.control[1].ask,
            programs=FakePrograms(),
            groups=lambda: ["p0"],
        )
        server = wsgi.HttpServer("127.0.0.1:0", self.app)
        self.addCleanup(server.stop)
        self.address = server.address
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "token").write_text(TOKEN + "\n")

    def file(self, version: str) -> str:
        path = self.folder / f"{version}.json"
        path.write_text(config_cluster.manifest_text(version))
        return str(path)

    def run_cli(self, *arguments: str, token: str = "") -> tuple[int, str, str]:
        """Runs a command; returns exit code, output and errors.

        Args:
            arguments: Arguments of the command.
            token: The option that gives the location of the token.
        """
        out, err = io.StringIO(), io.StringIO()
        options = (
            f"--admin={self.address}",
            token or f"--token_file={self.folder / 'token'}",
        )
        code = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                cli.main([*options, *arguments])
            except SystemExit as ended:
                code = ended.code
        return code, out.getvalue(), err.getvalue()

    def run_json(self, *arguments: str) -> Any:
        code, out, err = self.run_cli(*arguments, "--json")
        self.assertEqual((0, ""), (code, err))
        return json.loads(out)

    def test_token_is_found_in_the_daemons_data_folder(self) -> None:
        option = f"--data={self.folder}"
        code, _, err = self.run_cli("status", token=option)
        self.assertEqual(cli_client.UNAUTHORIZED, code)
        self.assertIn("--data", err)
        (self.folder / "admin-token").write_text(TOKEN + "\n")
        code, _, err = self.run_cli("status", token=option)
        self.assertEqual((0, ""), (code, err))

    def test_push_is_read_back_and_audited(self) -> None:
        self.cluster.node("entry-1")
        code, out, _ = self.run_cli(
            "manifest", "push", self.file("1"), "--operator=anna", "--wait=10"
        )
        self.assertEqual(0, code)
        self.assertIn("accepted as revision 1", out)
        self.assertIn("in force at every live node", out)
        shown = self.run_json("manifest", "show")
        self.assertEqual(1, shown["revision"])
        self.assertEqual("1", shown["manifest"]["services"]["chat"]["version"])
        entry = self.run_json("audit")["entries"][-1]
        self.assertEqual("anna", entry["operator"])
        self.assertEqual("127.0.0.1", entry["origin"])
        self.assertIn("accepted as 1", entry["outcome"])

    def test_highest_version_number_wins_in_any_order(self) -> None:
        push = ("manifest", "push")
        self.run_cli(*push, self.file("1"), "--number=7")
        late = self.run_json(*push, self.file("2"), "--number=5")
        self.assertEqual((False, 7), (late["changed"], late["version"]))
        same = self.run_json(*push, self.file("2"), "--number=7")
        self.assertEqual(7, same["version"])
        shown = self.run_json("manifest", "show")
        self.assertEqual("1", shown["manifest"]["services"]["chat"]["version"])

    def push_customers(self, require_keys: bool = True) -> None:
        text = json.loads(config_cluster.manifest_text("1"))
        text["policies"] = {
            **text.get("policies", {}),
            "require_keys": require_keys,
            "customers": {"farmers": {"keys": ["plain-key"], "rate": 5.0}},
        }
        path = self.folder / "customers.json"
        path.write_text(json.dumps(text))
        self.assertEqual(0, self.run_cli("manifest", "push", str(path))[0])

    def test_load_shows_who_is_over_the_limit_and_what_is_refused(self) -> None:
        code, out, err = self.run_cli("load")
        self.assertEqual((0, ""), (code, err))
        self.assertIn("60 in 5 s", out)
        self.assertIn("4 limit_near", out)
        (farmers,) = self.run_json("load", "--customers=1")["customers"]
        self.assertEqual(63, farmers["used"])

    def test_customers_are_listed_with_digests_and_ages(self) -> None:
        self.push_customers()
        listed = self.run_json("customers", "list")["customers"]
        (farmers,) = listed
        self.assertEqual("farmers", farmers["customer"])
        (key,) = farmers["keys"]
        self.assertEqual(keys.digest("plain-key"), key["digest"])
        self.assertGreater(key["since"], 0)
        _, out, _ = self.run_cli("customers", "list")
        self.assertIn(keys.short_digest(key["digest"]), out)
        self.assertNotIn("plain-key", out)

    def test_key_is_shown_once_and_removed_by_its_digest(self) -> None:
        self.push_customers()
        made = self.run_json("customers", "add_key", "farmers")
        listed = self.run_json("customers", "list")["customers"]
        held = [key["digest"] for key in listed[0]["keys"]]
        self.assertEqual(
            [keys.digest("plain-key"), keys.digest(made["key"])], held
        )
        shown = keys.short_digest(held[0])
        code, out, _ = self.run_cli("customers", "remove_key", "farmers", shown)
        self.assertEqual(0, code, out)
        listed = self.run_json("customers", "list")["customers"]
        self.assertEqual(
            [held[1]], [key["digest"] for key in listed[0]["keys"]]
        )
        everything = str(self.run_json("audit"))
        self.assertNotIn(made["key"], everything)
        self.assertNotIn("plain-key", everything)

    def test_added_key_comes_with_whether_keys_are_required(self) -> None:
        # An operator who adds the first key may believe that callers without
        # one are refused from then on.
        for required, expected in (
            (True, "callers without a key are refused"),
            (False, "callers without a key are served too"),
        ):
            self.push_customers(required)
            made = self.run_json("customers", "add_key", "farmers")
            self.assertEqual(required, made["require_keys"])
            _, out, _ = self.run_cli("customers", "add_key", "farmers")
            self.assertIn(expected, out)

    def test_unknown_customer_or_key_names_the_remedy(self) -> None:
        self.push_customers()
        for arguments in (("add_key", "none"), ("remove_key", "farmers", "00")):
            code, _, err = self.run_cli("customers", *arguments)
            self.assertEqual(cli_client.NOT_FOUND, code)
            self.assertIn("customers list", err)

    def test_upstream_registers_and_deregisters_itself(self) -> None:
        body = {
            "service": "chat",
            "address": "127.0.0.1:9",
            "failure_domain": "z1",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 3,
        }
        path = "registrations/u-1"
        self.assertEqual(200, self.ask("PUT", path, body).status)
        leader = self.cluster.control[0].machine.directory
        self.assertEqual("chat", leader.entries["u-1"].service)
        del body["service"]
        self.assertEqual(400, self.ask("PUT", path, body).status)
        self.assertEqual(200, self.ask("DELETE", path).status)
        self.assertEqual({}, leader.entries)

    def test_evacuating_an_unknown_instance_names_the_remedy(self) -> None:
        code, _, err = self.run_cli("control", "empty", "control-9")
        self.assertEqual(cli_client.NOT_FOUND, code)
        self.assertIn("No control instance control-9", err)

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        return urllib3.PoolManager().request(
            method,
            f"http://{self.address}{admin_http.PREFIX}{path}",
            headers={"Authorization": f"Bearer {TOKEN}"},
            body=json.dumps(body) if body is not None else None,
        )

    def test_conflicting_push_exits_with_conflict_and_is_audited(self) -> None:
        """Two operators push with the same expected revision.

        The second gets exit code 4, the name of the first and a remedy.
        """
        self.run_cli(
            "manifest",
            "push",
            self.file("1"),
            "--expected=0",
            "--operator=anna",
        )
        code, _, err = self.run_cli(
            "manifest",
            "push",
            self.file("2"),
            "--expected=0",
            "--operator=bert",
        )
        self.assertEqual(cli_client.CONFLICT, code)
        self.assertIn("anna won revision 1", err)
        self.assertIn("remedy: Fetch the manifest in force", err)
        _, out, _ = self.run_cli("audit")
        self.assertThat(out, matchers.MatchesRegex("(?s).*bert.*refused"))

    def test_repeated_command_reports_the_first_outcome(self) -> None:
        """An operator gets no reply and repeats the command."""
        arguments = ("manifest", "push", self.file("1"), "--expected=0")
        first = self.run_json(*arguments)
        self.run_cli("manifest", "push", self.file("2"))
        again = self.run_json(*arguments)
        self.assertEqual(1, again["revision"])
        self.assertEqual(first, again)

    def test_diff_names_the_changed_field(self) -> None:
        self.run_cli("manifest", "push", self.file("1"))
        changes = self.run_json("manifest", "diff", self.file("2"))["changes"]
        self.assertEqual(
            [("$.services.chat.version", "1", "2")],
            [(c["path"], c["before"], c["after"]) for c in changes],
        )

    def test_check_lists_errors_without_a_daemon(self) -> None:
        path = self.folder / "bad.json"
        path.write_text('{"services": {"x": {"kind": "odd", "extra": 1}}}')
        code, _, err = self.run_cli("manifest", "check", str(path))
        self.assertEqual(cli_client.INVALID, code)
        self.assertIn("$.services.x.kind", err)
        self.assertIn("$.services.x.extra", err)

    def test_wrong_token_is_refused_and_not_shown(self) -> None:
        (self.folder / "token").write_text("wrong-token")
        code, out, err = self.run_cli("status")
        self.assertEqual(cli_client.UNAUTHORIZED, code)
        self.assertNotIn("wrong-token", out + err)
        self.assertNotIn(TOKEN, out + err)

    def test_program_ids_stay_strings(self) -> None:
        """An id such as 1e5 must not be converted to a number."""
        self.assertEqual(
            "1e5", self.run_json("programs", "show", "1e5")["program"]
        )
        listed = self.run_json("programs", "list")["programs"]
        self.assertEqual(["1e5"], [item["program"] for item in listed])
        self.assertEqual(0, self.run_cli("programs", "close", "1e5")[0])
        code, _, _ = self.run_cli("programs", "show", "none")
        self.assertEqual(cli_client.NOT_FOUND, code)

    def announce(self) -> None:
        """Announces an upstream in the failure domain fd-1."""
        announcement = member_messages.Announcement(
            identities.Incarnation("u-1", 1),
            1,
            "127.0.0.1:1",
            "chat",
            "model",
            "region",
            "fd-1",
            8,
            "ready",
            True,
            True,
            True,
            True,
        )
        self.cluster.node("u-1", announcer=lambda: announcement)
        self.cluster.until(
            lambda: bool(self.run_json("upstreams", "list")["upstreams"])
        )

    def test_drain_of_an_unknown_name_is_an_error(self) -> None:
        # With a mistyped name, the drain would seem to be in force, and the
        # operator would stop an upstream that still gets new requests.
        self.announce()
        for scope in ([], ["--failure_domain"]):
            code, _, err = self.run_cli("upstreams", "drain", "typo", *scope)
            self.assertEqual(cli_client.NOT_FOUND, code)
            self.assertIn("upstreams list", err)
        self.assertEqual({}, self.cluster.control[0].machine.drains)
        self.assertEqual(0, self.run_cli("upstreams", "drain", "u-1")[0])

    def test_drain_ahead_accepts_an_unknown_name(self) -> None:
        code, _, _ = self.run_cli("upstreams", "drain", "later", "--ahead")
        self.assertEqual(0, code)
        state = self.cluster.control[0].machine
        self.assertIn("instance/later", state.drains)

    def test_drain_of_a_failure_domain_is_shown_and_undone(self) -> None:
        self.announce()
        self.run_cli("upstreams", "drain", "fd-1", "--failure_domain")
        state = self.cluster.control[0].machine
        self.assertIn("failure_domain/fd-1", state.drains)
        self.run_cli("upstreams", "drain", "fd-1", "--failure_domain", "--undo")
        self.assertEqual({}, state.drains)

    def test_status_and_empty_lists_are_tables(self) -> None:
        for command in (
            ["status"],
            ["instances"],
            ["upstreams", "list"],
            ["quarantine", "list"],
        ):
            code, out, err = self.run_cli(*command)
            self.assertEqual((0, ""), (code, err))
            self.assertTrue(out.strip())

    def test_malformed_requests_get_typed_errors(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        base = f"http://{self.address}/admin/v1/"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        cases = (
            ("POST", "manifest", b"{", 400),
            ("POST", "manifest", b"[1]", 400),
            ("POST", "manifest", b'{"expected": "x"}', 400),
            ("GET", "nothing", None, 400),
            ("GET", "audit?after=x", None, 400),
            ("DELETE", "quarantine/zz", None, 400),
            ("GET", "control", None, 400),
        )
        for method, path, body, status in cases:
            response = pool.request(
                method, base + path, body=body, headers=headers
            )
            problem = json.loads(response.data)
            self.assertEqual(
                (status, "not_run"), (response.status, problem["outcome"])
            )

    def test_unreachable_daemon_has_its_own_exit_code(self) -> None:
        code, _, err = self.run_cli("status", "--admin=127.0.0.1:1")
        self.assertEqual(cli_client.UNAVAILABLE, code)
        self.assertIn("remedy:", err)

    def test_replacement_is_started_and_changes_the_members(self) -> None:
        control = FakeControl()
        self.app.control = control
        self.assertEqual(
            "control-0",
            self.run_json("control", "status")["groups"][0]["leader"],
        )
        self.assertEqual(
            "1 group", self.run_json("control", "snapshot")["detail"]
        )
        self.run_json(
            "control",
            "replace",
            "control-9",
            "control-3",
            "127.0.0.1:7003",
            "--failure_domain=hall-c",
        )
        self.assertEqual(
            [("control-9", "control-3", "127.0.0.1:7003", "hall-c")],
            control.replaced,
        )
        members = self.cluster.control[0].machine.control_instances
        self.assertEqual(["control-3"], list(members))
