"""Customers at the product's own listener: bearer keys and own programs."""

import json
import pathlib
import tempfile
from typing import Any

import eventlet
import msgspec
import testtools
import urllib3

from mintcleat.adapters import timers
from mintcleat.domain import config_messages
from mintcleat.domain import manifest
from mintcleat.load import arrivals
from mintcleat.load import client as client_module
from mintcleat.load import driver as driver_module
from mintcleat.load import plan as plan_module
from mintcleat.main import local

ANY = "127.0.0.1:0"
FARMERS = "key-of-the-farmers"
STUDIOS = "key-of-the-studios"
WAIT = 20.0


class OwnCustomersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.system = local.Local(ANY, ANY, pathlib.Path(folder))
        self.system.start()
        self.addCleanup(self.system.stop, lambda: True)
        self.part = self.system.entry.parts[0]
        self.http = self.part.server.address
        self.pool = urllib3.PoolManager(retries=False)
        self.push(limited={"rate": 0.2, "burst": 1.0})

    def push(self, **limits: dict[str, float]) -> None:
        """Asks for keys; a customer named `limited` takes the given limit."""
        config = self.system.control.parts[0].config
        current = config.machine.document.manifest()
        customers = {
            "farmers": manifest.Customer(keys=[FARMERS]),
            "studios": manifest.Customer(keys=[STUDIOS]),
            "limited": manifest.Customer(keys=["scarce"], **limits["limited"]),
        }
        policies = msgspec.structs.replace(
            current.policies, customers=customers, require_keys=True
        )
        whole = msgspec.structs.replace(current, policies=policies)
        revision = config.machine.document.revision
        text = manifest.compact(whole)
        config.ask(
            config_messages.PushManifest(revision, "keys", text, "anna", "t"),
            WAIT,
        )
        with eventlet.Timeout(WAIT):
            while self.part.follower.revision() <= revision:
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

    def program(self, key: str, **fields: str) -> urllib3.BaseHTTPResponse:
        return self.send(
            "POST", "/v1/programs", key, {"agent": "triage", **fields}
        )

    def test_bearer_key_tells_the_customer(self) -> None:
        made = self.program(FARMERS, id="p", customer="studios")
        self.assertEqual(201, made.status)
        self.assertEqual("farmers", made.json()["customer"])

    def test_without_a_key_only_health_is_told(self) -> None:
        self.assertEqual(401, self.program("").status)
        self.assertEqual(401, self.program("no-such-key").status)
        self.assertEqual(401, self.send("GET", "/v1/models").status)
        self.assertEqual(200, self.send("GET", "/readyz").status)

    def test_another_customers_program_is_one_that_never_was(self) -> None:
        self.program(FARMERS, id="p")
        for method, path in (
            ("GET", "/v1/programs/p"),
            ("GET", "/v1/programs/p/history"),
            ("DELETE", "/v1/programs/p"),
        ):
            self.assertEqual(404, self.send(method, path, STUDIOS).status)
        child = self.program(STUDIOS, id="child", parent="p")
        self.assertEqual(404, child.status)
        own = self.send("GET", "/v1/programs/p", FARMERS)
        self.assertEqual("open", own.json()["state"])

    def test_key_goes_no_further_than_the_entry(self) -> None:
        answer = self.send("GET", "/v1/services/dispatch/a", FARMERS)
        self.assertEqual(200, answer.status)
        self.assertEqual("farmers", answer.json()["customer"])
        self.assertEqual("", answer.json()["credentials"])

    def test_customer_far_over_its_limit_costs_the_others_nothing(
        self,
    ) -> None:
        # The load tool shows keys; one customer asks many times its limit.
        tools = [plan_module.Tool("dispatch")]
        common = {"model": "triage", "agent": "triage", "tools": tools}
        kinds = [
            plan_module.Kind("calm", rate=4.0, key=FARMERS, **common),
            plan_module.Kind("greedy", rate=10.0, key="scarce", **common),
        ]
        clock = timers.EventletTimers()
        driver = driver_module.Driver(
            client_module.Client([self.http], clock, 20), clock
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

    def test_call_over_the_limit_is_429_with_a_time_to_come_back(self) -> None:
        self.assertEqual(
            200, self.send("GET", "/v1/services/dispatch/a", "scarce").status
        )
        self.send("GET", "/v1/services/dispatch/a", "scarce")
        refused = self.send("GET", "/v1/services/dispatch/a", "scarce")
        self.assertEqual(429, refused.status)
        problem = refused.json()
        self.assertEqual("not_run", problem["outcome"])
        self.assertGreater(problem["retry_after"], 0)
