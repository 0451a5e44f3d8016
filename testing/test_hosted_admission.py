"""Admission of turns over real sockets."""

from typing import Any
from typing import ClassVar

import eventlet
import testtools

from fakes import platform_engine
from fakes import platform_system
from mintcleat.domain import events
from mintcleat.platform import machine_settings

SETTLE_SECONDS = 10.0
SETTINGS = {
    "ip": "10.0.0.1",
    "zone": "z1",
    "nodeName": "store-1",
    "internalPortRange": [9000, 9010],
    "listen": {},
    "seeds": ["10.0.0.1:9000"],
    "dataDirectory": "/data",
    "bounds": {"quotaSlack": 3},
}


class SettingsTest(testtools.TestCase):
    def policies(self, **fields: Any) -> dict[str, Any]:
        machine = machine_settings.translate(
            {**SETTINGS, **fields}, machine_settings.CONTROL
        )
        return machine.policies

    def test_contract_enables_admission_and_moves(self) -> None:
        found = self.policies(contracts=["history", "pressure"])
        expected = {
            "limit_slack": 3,
            "admission": "programs",
            "stream_moves": "on",
        }
        self.assertEqual(expected, found)

    def test_both_are_off_without_the_contract(self) -> None:
        self.assertEqual({"limit_slack": 3}, self.policies())
        self.assertEqual(
            {"limit_slack": 3}, self.policies(contracts=["history"])
        )


class Gauge:
    """Counts the requests that an engine runs at once."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.running = 0
        self.most = 0

    def __call__(self, connection: Any, received: Any) -> bool:
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            return platform_engine.stream(2, self.seconds / 2)(
                connection, received
            )
        finally:
            self.running -= 1


class AdmissionTest(platform_system.HostedTest):
    policies: ClassVar[dict[str, Any]] = {"admission": "programs"}

    def setUp(self) -> None:
        super().setUp()
        self.gauge = Gauge(0.1)
        (self.engine,) = self.start_engines(("e1", "lm", self.gauge))

    def turn(self, request: str, **headers: str) -> Any:
        return self.system.call(
            "POST",
            "/turns/a",
            b"x",
            request,
            X_Program_Id=f"p-{request}",
            X_Token_Counts="10,9",
            **headers,
        )

    def view(self) -> Any:
        service = self.system.control.wrapped.programs
        return service.contention.views()["lm"]

    def await_idle(self) -> None:
        with eventlet.Timeout(SETTLE_SECONDS):
            while self.view().running or self.view().waiting:
                eventlet.sleep(0.02)

    def test_turns_beyond_the_slots_wait_and_all_run(self) -> None:
        threads = [
            eventlet.spawn(
                self.turn, f"t{number}", X_Finish_Milliseconds="30000"
            )
            for number in range(12)
        ]
        answers = [thread.wait() for thread in threads]
        self.assertEqual([200] * 12, [one.status for one in answers])
        self.assertTrue(self.gauge.most < 4, self.gauge.most)
        self.await_idle()
        self.assertTrue(self.view().deferred)
        self.assertTrue(self.system.reporter.of(events.TurnDeferred))

    def test_program_that_can_not_end_in_time_is_refused(self) -> None:
        self.gauge.seconds = 1.5
        threads = [
            eventlet.spawn(
                self.turn, f"t{number}", X_Finish_Milliseconds="1000"
            )
            for number in range(6)
        ]
        answers = [thread.wait() for thread in threads]
        refused = [one for one in answers if one.status == 503]
        self.assertEqual(3, len(refused))
        for one in refused:
            self.assertIn("retry-after", one.headers)
        self.assertEqual(3, len(self.engine.received))
        lines = self.system.reporter.of(events.TurnRefused)
        self.assertEqual(["wait"] * 3, [line.reason for line in lines])

    def test_caller_that_goes_away_frees_its_place(self) -> None:
        self.gauge.seconds = 0.6
        sockets = []
        for number in range(8):
            sock = platform_system.connect(self.system.entry.listener.address)
            fields = {
                "Host": platform_system.HOST,
                "X-Request-Id": f"g{number}",
                "X-Program-Id": f"p{number}",
                "X-Token-Counts": "10,9",
                "X-Deadline-Milliseconds": "3000",
                # A first turn without a target is refused after half a second,
                # which a pause of this process may exceed.
                "X-Finish-Milliseconds": "30000",
            }
            sock.sendall(
                platform_system.request_bytes("POST", "/turns/a", fields, b"x")
            )
            sockets.append(sock)
        with eventlet.Timeout(SETTLE_SECONDS):
            while not self.view().waiting:
                eventlet.sleep(0.01)
        for sock in sockets:
            sock.close()
        self.await_idle()
        self.assertEqual([], self.system.reporter.of(events.TurnRefused))
        self.assertEqual(200, self.turn("next").status)

    def test_later_turns_of_a_program_run(self) -> None:
        self.assertEqual(200, self.turn("t1").status)
        answer = self.turn("t2", X_Previous_Turn="t1")
        self.assertEqual(200, answer.status)
        self.await_idle()
        self.assertEqual(2, self.view().granted)
