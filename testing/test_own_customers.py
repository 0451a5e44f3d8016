"""End-to-end tests of customers' keys, limits and programs at an entry."""

import json
import pathlib
import tempfile
from typing import Any

import eventlet
import msgspec
import testtools
import urllib3

from mintcleat.adapters import response_checks
from mintcleat.adapters import timers
from mintcleat.domain import config_messages
from mintcleat.domain import manifest
from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.load import driver as driver_module
from mintcleat.load import plan as plan_module
from mintcleat.main import local

ANY_PORT = "127.0.0.1:0"
FARMERS_KEY = "key-of-the-farmers"
STUDIOS_KEY = "key-of-the-studios"
TIMEOUT_SECONDS = 20.0


class OwnCustomersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.system = local.Local(ANY_PORT, ANY_PORT, pathlib.Path(folder))
        self.system.start()
        self.addCleanup(self.system.stop, lambda: True)
        self.entry_role = self.system.entry.roles[0]
        self.http = self.entry_role.server.address
        self.pool = urllib3.PoolManager(retries=False)
        self.push(limited={"rate": 0.2, "burst": 1.0})

    def push(
        self, require_keys: bool = True, **limits: dict[str, float]
    ) -> None:
        """Pushes customers.

        Args:
            require_keys: Whether callers must show a key.
            limits: Fields of the customer `limited`, under its name.
        """
        config = self.system.control.roles[0].config
        current = config.machine.document.manifest()
        customers = {
            "farmers": manifest.Customer(keys=[FARMERS_KEY]),
            "studios": manifest.Customer(keys=[STUDIOS_KEY]),
            "limited": manifest.Customer(keys=["scarce"], **limits["limited"]),
        }
        policies = msgspec.structs.replace(
            current.policies, customers=customers, require_keys=require_keys
        )
        whole = msgspec.structs.replace(current, policies=policies)
        revision = config.machine.document.revision
        text = manifest.compact(whole)
        config.ask(
            config_messages.PushManifest(
                revision, f"keys-{revision}", text, "anna", "t"
            ),
            TIMEOUT_SECONDS,
        )
        with eventlet.Timeout(TIMEOUT_SECONDS):
            while self.entry_role.follower.revision() <= revision:
                eventlet.sleep(0.01)

    def send(
        self, method: str, path: str, key: str = "", body: Any = None
    ) -> urllib3.BaseHTTPResponse:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return self.pool.request(
            method,
            f"http://{self.http}{path}",
            body=json.dumps(body).encode() if body is not None else None,
            headers=headers,
        )

    def create_program(
        self, key: str, **fields: str
    ) -> urllib3.BaseHTTPResponse:
        return self.send(
            "POST", "/v1/programs", key, {"agent": "triage", **fields}
        )

    def test_bearer_key_identifies_the_customer(self) -> None:
        created = self.create_program(FARMERS_KEY, id="p", customer="studios")
        self.assertEqual(201, created.status)
        self.assertEqual("farmers", created.json()["customer"])

    def test_only_health_is_served_without_a_key(self) -> None:
        self.assertEqual(401, self.create_program("").status)
        self.assertEqual(401, self.create_program("no-such-key").status)
        self.assertEqual(401, self.send("GET", "/v1/models").status)
        self.assertEqual(200, self.send("GET", "/readyz").status)

    def test_key_that_is_shown_counts_although_none_is_required(self) -> None:
        self.push(require_keys=False, limited={})
        created = self.create_program(FARMERS_KEY, id="of-farmers")
        self.assertEqual(201, created.status, created.data)
        path = "/v1/programs/of-farmers"
        self.assertEqual(200, self.send("GET", path, FARMERS_KEY).status)
        self.assertEqual(404, self.send("GET", path, STUDIOS_KEY).status)
        self.assertEqual(401, self.send("GET", path, "wrong").status)
        self.assertEqual(200, self.send("GET", "/v1/models").status)

    def test_program_of_another_customer_is_not_found(self) -> None:
        self.create_program(FARMERS_KEY, id="p")
        for method, path in (
            ("GET", "/v1/programs/p"),
            ("GET", "/v1/programs/p/history"),
            ("DELETE", "/v1/programs/p"),
        ):
            self.assertEqual(404, self.send(method, path, STUDIOS_KEY).status)
        child = self.create_program(STUDIOS_KEY, id="child", parent="p")
        self.assertEqual(404, child.status)
        own = self.send("GET", "/v1/programs/p", FARMERS_KEY)
        self.assertEqual("open", own.json()["state"])

    def test_unknown_and_another_customers_program_are_answered_alike(
        self,
    ) -> None:
        # Any difference would reveal to a customer that the program exists.
        self.create_program(FARMERS_KEY, id="the-farmers-own")
        machines = self.system.control.roles[0].programs.machines.values()
        for deleted in (0, 1):
            # Once a group has deleted a program, one that it doesn't know may
            # have run.
            for machine in machines:
                machine.deleted_programs = deleted
            for method, path in (
                ("GET", "/v1/programs/{}"),
                ("GET", "/v1/programs/{}/history"),
                ("DELETE", "/v1/programs/{}"),
            ):
                anothers = self.error_of("the-farmers-own", method, path)
                unknown = self.error_of("owned-by-nobody", method, path)
                self.assertEqual(404, unknown["http_status"])
                self.assertEqual("unknown", unknown["outcome"])
                self.assertEqual(unknown, anothers)

    def error_of(self, program: str, method: str, path: str) -> dict[str, Any]:
        """Returns an error without its request id and the program's id."""
        answer = self.send(method, path.format(program), STUDIOS_KEY)
        problem = json.loads(answer.data.decode().replace(program, "ID"))
        del problem["request_id"]
        return {"http_status": answer.status, **problem}

    def test_key_is_not_forwarded_to_upstreams(self) -> None:
        answer = self.send("GET", "/v1/services/dispatch/a", FARMERS_KEY)
        self.assertEqual(200, answer.status)
        self.assertEqual("farmers", answer.json()["customer"])
        self.assertEqual("", answer.json()["credentials"])

    def test_customer_far_over_its_limit_does_not_affect_others(
        self,
    ) -> None:
        # The load generator sends the customers' keys; one customer sends many
        # times its rate limit.
        tools = [plan_module.Tool("dispatch")]
        common = {"model": "triage", "agent": "triage", "tools": tools}
        kinds = [
            plan_module.Kind("calm", rate=4.0, key=FARMERS_KEY, **common),
            plan_module.Kind("greedy", rate=10.0, key="scarce", **common),
        ]
        clock = timers.EventletTimers()
        pool = response_checks.PoolManager(maxsize=20)
        driver = driver_module.Driver(
            client_module.Client([self.http], clock, pool), clock
        )
        plan = plan_module.Plan(kinds, seconds=3.0)
        driver.run(arrivals.schedule(plan), drain_timeout=20.0)
        calm, greedy = (
            driver.measurements["calm"],
            driver.measurements["greedy"],
        )
        self.assertEqual(calm.programs, calm.finished)
        self.assertGreater(greedy.programs, 5 * greedy.finished)
        refused = [name for name in greedy.outcomes if ":limit_" in name]
        self.assertNotEqual([], refused)

    def test_call_over_the_limit_is_429_with_retry_after(self) -> None:
        self.assertEqual(
            200, self.send("GET", "/v1/services/dispatch/a", "scarce").status
        )
        self.send("GET", "/v1/services/dispatch/a", "scarce")
        refused = self.send("GET", "/v1/services/dispatch/a", "scarce")
        self.assertEqual(429, refused.status)
        problem = refused.json()
        self.assertEqual("not_run", problem["outcome"])
        self.assertGreater(problem["retry_after"], 0)
