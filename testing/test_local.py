"""End-to-end tests of all roles in one process over loopback sockets."""

import json
import pathlib
import socket
import tempfile

import eventlet
import testtools
from testtools import matchers
import urllib3

from mintcleat.adapters import metrics_http
from mintcleat.main import local
from mintcleat.roles.entry import attempts as attempts_module

ANY_PORT = "127.0.0.1:0"
SETTLE_SECONDS = 10.0


class LocalSystemTestCase(testtools.TestCase):
    """Starts all roles with a data folder of each test's own."""

    def setUp(self) -> None:
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.data = pathlib.Path(folder)
        self.pool = urllib3.PoolManager(retries=False)
        self.start_system()

    def start_system(self) -> None:
        self.system = local.Local(ANY_PORT, ANY_PORT, self.data)
        self.system.start()
        self.addCleanup(self.system.stop, lambda: True)
        self.http = self.system.entry.roles[0].server.address

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
        **headers: str,
    ) -> urllib3.BaseHTTPResponse:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        names = {
            f"Mintcleat-{name}" if name != "key" else "Idempotency-Key": value
            for name, value in headers.items()
        }
        return self.pool.request(
            method, f"http://{self.http}{path}", body=data, headers=names
        )

    def turn(
        self, program: str, turn: int, text: str = "hello", **more: object
    ) -> urllib3.BaseHTTPResponse:
        body = {
            "max_tokens": 4,
            "messages": [{"role": "user", "content": text}],
            **more,
        }
        return self.send(
            "POST",
            "/v1/chat/completions",
            body,
            Program=program,
            Turn=str(turn),
        )

    def accepted_turn(
        self, program: str, turn: int, text: str = "hello"
    ) -> urllib3.BaseHTTPResponse:
        """Sends a turn again while it is refused as not run.

        If this process is paused for seconds, leases and announcements expire,
        and turns are refused until they are renewed.
        """
        with eventlet.Timeout(SETTLE_SECONDS):
            while True:
                reply = self.turn(program, turn, text)
                if reply.status != 503:
                    return reply
                self.assertEqual("not_run", reply.json()["outcome"])
                eventlet.sleep(0.1)

    def assert_refused(
        self, reply: urllib3.BaseHTTPResponse, status: int, kind: str
    ) -> None:
        self.assertEqual(status, reply.status, reply.data)
        problem = reply.json()
        self.assertEqual(kind, problem["kind"])
        self.assertEqual("not_run", problem["outcome"])
        self.assertNotEqual("", problem["remedy"])
        content = reply.headers["Content-Type"]
        self.assertEqual("application/problem+json", content)


class ProgramsTest(LocalSystemTestCase):
    def test_turns_build_one_history(self) -> None:
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        for number in (1, 2, 3):
            self.assertEqual(200, self.turn("p", number, f"m{number}").status)
        history = self.send("GET", "/v1/programs/p/history").json()
        contents = [turn["messages"][0]["content"] for turn in history["turns"]]
        self.assertEqual(["m1", "m2", "m3"], contents)

    def test_resent_turn_gets_its_recorded_answer(self) -> None:
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        first = self.turn("p", 1).json()["choices"]
        again = self.turn("p", 1).json()["choices"]
        self.assertEqual(first[0]["message"], again[0]["message"])
        runs = sum(len(engine.runs) for engine in self.system.engines)
        self.assertEqual(1, runs)

    def test_streamed_answer_equals_the_recorded_one(self) -> None:
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        reply = self.turn("p", 1, stream=True)
        events = [
            json.loads(event.removeprefix("data: "))
            for event in reply.data.decode().split("\n\n")
            if event and "[DONE]" not in event
        ]
        deltas = [event["choices"][0]["delta"] for event in events]
        text = "".join(delta.get("content", "") for delta in deltas)
        history = self.send("GET", "/v1/programs/p/history").json()
        self.assertEqual(history["turns"][0]["messages"][1]["content"], text)
        self.assertThat(reply.data, matchers.EndsWith(b"data: [DONE]\n\n"))

    def test_restart_on_the_same_data_keeps_programs(self) -> None:
        """Guards against lost programs when all processes restart at once.

        The program must be unchanged, a resent turn must get its recorded
        answer, and the next turn must succeed.
        """
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        answer = self.turn("p", 1).json()["choices"][0]["message"]
        before = self.send("GET", "/v1/programs/p").json()
        self.system.stop(lambda: True)
        self.start_system()
        self.assertEqual(before, self.send("GET", "/v1/programs/p").json())
        again = self.turn("p", 1).json()["choices"][0]["message"]
        self.assertEqual(answer, again)
        self.assertEqual(200, self.turn("p", 2).status)

    def test_plain_openai_call_needs_no_headers(self) -> None:
        body = {
            "model": "triage",
            "messages": [{"role": "user", "content": "hi"}],
        }
        reply = self.send("POST", "/v1/chat/completions", body)
        self.assertEqual(200, reply.status)
        self.assertEqual("chat.completion", reply.json()["object"])


class RefusalsTest(LocalSystemTestCase):
    def test_bad_input_is_a_typed_refusal(self) -> None:
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        cases = [
            (self.send("POST", "/v1/programs", b"{"), 400, "bad_request"),
            (self.send("POST", "/v1/programs", b"[]"), 400, "bad_request"),
            (self.send("POST", "/v1/programs", {"id": "a b"}), 400,
             "bad_request"),
            (self.send("GET", "/v1/programs/none"), 404, "unknown_program"),
            (self.send("POST", "/v1/programs", {"customer": "x"}), 404,
             "unknown_customer"),
            (self.send("GET", "/v1/services/none/a"), 404, "unknown_service"),
            (self.turn("p", 2), 409, "wrong_turn"),
            (self.turn("p", 0), 400, "bad_request"),
            (self.turn("p", 1, model="none"), 404, "unknown_service"),
            (self.turn("p", 1, max_tokens=-1), 400, "bad_request"),
            (self.turn("p", 1, messages=[]), 400, "bad_request"),
            (self.send("GET", "/nowhere"), 400, "bad_request"),
        ]  # fmt: skip
        for reply, status, kind in cases:
            self.assert_refused(reply, status, kind)

    def test_key_with_another_body_is_a_conflict(self) -> None:
        path = "/v1/services/dispatch/book"
        self.assertEqual(200, self.send("POST", path, {"a": 1}, key="k").status)
        reply = self.send("POST", path, {"a": 2}, key="k")
        self.assert_refused(reply, 409, "key_conflict")

    def test_oversized_body_is_refused_before_it_is_read(self) -> None:
        reply = self.send("POST", "/v1/programs", b"x" * (9 << 20))
        self.assert_refused(reply, 413, "too_large")

    def send_raw(self, data: bytes) -> bytes:
        """Sends bytes, ends the sending side, and returns what came back."""
        host, port = self.http.split(":")
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(data)
            caller.shutdown(socket.SHUT_WR)
            return caller.makefile("rb").read()

    def test_malformed_request_is_refused_and_others_are_served(self) -> None:
        """Guards against malformed requests that disturb other callers.

        Callers send an oversized header, bytes that are not HTTP, and half a
        body. Each must get a typed refusal or a closed connection, and the next
        request must succeed.
        """
        large = b"GET /healthz HTTP/1.1\r\nX: " + b"y" * 70_000 + b"\r\n\r\n"
        self.assertThat(self.send_raw(large), matchers.Contains(b"too_large"))
        self.assertThat(self.send_raw(b"\x16\x03 no http\r\n\r\n"),
                        matchers.Contains(b"bad_request"))  # fmt: skip
        half = b"POST /v1/programs HTTP/1.1\r\nContent-Length: 9\r\n\r\n{}"
        self.assertThat(self.send_raw(half), matchers.Contains(b"not_run"))
        self.assertEqual(200, self.send("GET", "/healthz").status)

    def test_budget_is_never_exceeded(self) -> None:
        """Guards against a program that exceeds its token budget.

        Each turn repeats the history, so its cost is not known when it begins.
        With an estimate, a budget of 100 tokens was overdrawn to 111.
        """
        budget = {"tokens": 300}
        program = {"id": "p", "agent": "triage", "budget": budget}
        self.send("POST", "/v1/programs", program)
        number = 1
        while self.accepted_turn("p", number, f"m{number}").status == 200:
            number += 1
        reply = self.accepted_turn("p", number, f"m{number}")
        self.assert_refused(reply, 422, "budget_exhausted")
        view = self.send("GET", "/v1/programs/p").json()
        self.assertThat(view["tokens_used"], matchers.LessThan(301))
        self.assertThat(number, matchers.GreaterThan(4))
        self.assertEqual(0, view["tokens_reserved"])

    def test_program_that_repeats_a_message_is_stopped(self) -> None:
        """Guards against an agent that repeats the same message endlessly.

        The manifest allows 8 equal calls. The ninth must be refused before it
        uses tokens, with the reason.
        """
        self.send("POST", "/v1/programs", {"id": "p", "agent": "triage"})
        for number in range(1, 9):
            self.assertEqual(200, self.accepted_turn("p", number).status)
        self.assert_refused(self.accepted_turn("p", 9), 422, "loop_detected")


class ServicesTest(LocalSystemTestCase):
    def test_resent_post_runs_once(self) -> None:
        path = "/v1/services/dispatch/book"
        first = self.send("POST", path, {"a": 1}, key="k")
        again = self.send("POST", path, {"a": 1}, key="k")
        self.assertEqual(first.data, again.data)
        self.assertEqual("true", again.headers["Mintcleat-Replayed"])

    def test_post_without_a_key_runs_each_time(self) -> None:
        path = "/v1/services/dispatch/book"
        for _ in range(2):
            reply = self.send("POST", path, {"a": 1})
            self.assertNotIn("Mintcleat-Replayed", reply.headers)

    def test_resend_to_a_draining_entry_gets_the_recorded_answer(self) -> None:
        """Guards against a refused resend of a call that has run.

        A draining entry refused the resend with the outcome "not run". A caller
        may then send the call again under another key, and it runs twice.
        """
        path = "/v1/services/dispatch/book"
        first = self.send("POST", path, {"a": 1}, key="k")
        self.system.entry.roles[0].entry.draining = True
        again = self.send("POST", path, {"a": 1}, key="k")
        self.assertEqual((200, first.data), (again.status, again.data))
        new_call = self.send("POST", path, {"a": 2}, key="other")
        self.assert_refused(new_call, 503, "draining")

    def test_refused_resend_is_unknown_without_control(self) -> None:
        """Guards against a wrong "not run" while the entry has no control.

        A draining entry without a quorum can't find out whether the first send
        of a resent call ran, so its outcome must be "unknown". A call without a
        key can't be a resend; its outcome is still "not run".
        """
        path = "/v1/services/dispatch/book"
        self.send("POST", path, {"a": 1}, key="k")
        entry = self.system.entry.roles[0].entry
        entry.draining = True
        attempts_module.CONTROL_SECONDS, default = 0.2, 5.0
        self.addCleanup(setattr, attempts_module, "CONTROL_SECONDS", default)
        self.system.control.common.streams.stop()
        again = self.send("POST", path, {"a": 1}, key="k").json()
        self.assertEqual("unknown", again["outcome"])
        without_key = self.send("POST", path, {"a": 1})
        self.assert_refused(without_key, 503, "draining")


class MetricsTest(LocalSystemTestCase):
    def test_sidecar_counts_attempts_by_outcome(self) -> None:
        path = "/v1/services/dispatch/book"
        self.send("POST", path, {"a": 1}, key="k")
        process = self.system.sidecars[-1]
        app = metrics_http.MetricsApp(
            process.common.metrics, process._update_gauges
        )
        status_lines: list[str] = []
        environ = {"PATH_INFO": "/metrics"}
        text = b"".join(app(environ, lambda line, _: status_lines.append(line)))
        self.assertEqual(["200 OK"], status_lines)
        self.assertThat(
            text.decode(),
            matchers.Contains('attempts_total{ended="answered",kind=""} 1'),
        )
        self.assertThat(
            text.decode(), matchers.Contains("mintcleat_config_revision 1")
        )
