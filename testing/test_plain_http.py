"""Tests which answers of plain services and engines count as whole."""

import eventlet
import testtools

from fakes import answer_scripts
from fakes import dying_server
from fakes import endless_answers
from fakes import platform_engine
from mintcleat.adapters import engine_http
from mintcleat.adapters import http1_client
from mintcleat.adapters import plain_http
from mintcleat.adapters import process_memory
from mintcleat.domain import errors
from mintcleat.ports import upstream

BODY = b"all of it"
# Memory that endless answers may take, their senders included.
MAX_GROWTH_BYTES = 64 * 1024 * 1024
HEADERS = [["X-Request-Id", "r1"]]


class Case(testtools.TestCase):
    def start(self, answer: answer_scripts.Answer) -> platform_engine.Engine:
        engine = platform_engine.Engine("e1", answer_scripts.script(answer))
        self.addCleanup(engine.stop)
        return engine


class ServiceTest(Case):
    def send(
        self, framing: str, end: str, sent: int | None = None
    ) -> upstream.Reply:
        answer = answer_scripts.Answer(framing, end, sent, plain=BODY)
        service = plain_http.HttpService(self.start(answer).address)
        return service.send("POST", "/a", HEADERS, b"x", 5.0)

    def test_whole_answers_of_each_framing_are_returned(self) -> None:
        for framing in answer_scripts.FRAMINGS:
            reply = self.send(framing, answer_scripts.WHOLE)
            self.assertEqual((200, BODY), (reply.status, reply.body))

    def test_answer_that_ends_before_its_marked_end_is_an_error(self) -> None:
        for framing in (answer_scripts.LENGTH, answer_scripts.CHUNKS):
            for end in (answer_scripts.QUIET, answer_scripts.RESET):
                self.assertRaises(
                    errors.StreamClosed, self.send, framing, end, 3
                )

    def test_reset_within_an_answer_without_a_length_is_an_error(self) -> None:
        self.assertRaises(
            errors.StreamClosed,
            self.send,
            answer_scripts.CLOSE,
            answer_scripts.RESET,
            3,
        )

    def test_crash_within_an_answer_without_a_length_is_an_error(self) -> None:
        self.assertRaises(
            errors.StreamClosed,
            self.send,
            answer_scripts.CLOSE,
            answer_scripts.CRASH,
            3,
        )

    def test_listener_that_ends_after_its_answer_confirms_nothing(self) -> None:
        # Guards against half answers that a process confirms as it ends.
        server = dying_server.DyingServer(BODY[:3])
        self.addCleanup(server.stop)
        service = plain_http.HttpService(server.address)
        self.assertRaises(
            errors.StreamClosed, service.send, "POST", "/a", HEADERS, b"x", 5.0
        )

    def test_answer_that_takes_too_long_is_a_timeout(self) -> None:
        def run(*_: object) -> bool:
            eventlet.sleep(5.0)
            return False

        engine = platform_engine.Engine("e1", run)
        self.addCleanup(engine.stop)
        service = plain_http.HttpService(engine.address)
        self.assertRaises(
            errors.StreamTimeout,
            service.send,
            "POST",
            "/a",
            HEADERS,
            b"x",
            0.05,
        )

    def test_answer_without_end_is_an_error(self) -> None:
        endless_answers.spare_earlier_objects(self)
        kinds = {**endless_answers.GARBAGE, **endless_answers.BODIES}
        before = process_memory.resident_bytes()
        for endless in kinds.values():
            engine = platform_engine.Engine(
                "e1", endless_answers.EndlessScript(endless)
            )
            self.addCleanup(engine.stop)
            service = plain_http.HttpService(engine.address)
            with eventlet.Timeout(10.0):
                self.assertRaises(
                    errors.StreamClosed,
                    service.send,
                    "POST",
                    "/a",
                    HEADERS,
                    b"x",
                    0.0,
                )
        growth = process_memory.resident_bytes() - before
        self.assertLess(growth, MAX_GROWTH_BYTES)

    def test_path_with_other_characters_is_encoded(self) -> None:
        answer = answer_scripts.Answer(plain=BODY)
        engine = self.start(answer)
        service = plain_http.HttpService(engine.address)
        service.send("POST", "/a b/ä?q=1", HEADERS, b"", 5.0)
        (received,) = engine.received
        self.assertEqual("/a%20b/%C3%A4?q=1", received.target)


class EngineTest(Case):
    def info(self, answer: answer_scripts.Answer) -> upstream.EngineInfo:
        engine = self.start(answer)
        adapter = engine_http.HttpEngine(engine.address)
        # The stand-in echoes the id of each request.
        self.patch(http1_client, "connect", _connect_naming)
        return adapter.info()

    def test_control_answer_that_is_cut_short_is_an_error(self) -> None:
        whole = b'{"life": 1, "model": "m", "capacity": 1}'
        for framing in answer_scripts.FRAMINGS:
            answer = answer_scripts.Answer(
                framing, answer_scripts.QUIET, 20, plain=whole
            )
            self.assertRaises(errors.StreamClosed, self.info, answer)

    def test_control_answer_without_a_marked_end_is_an_error(self) -> None:
        # A reset within it would look like its end.
        answer = answer_scripts.Answer(answer_scripts.CLOSE, plain=b"{}")
        self.assertRaises(errors.StreamClosed, self.info, answer)


_connect = http1_client.connect


def _connect_naming(address: str) -> http1_client.Connection:
    """Returns a connection that adds a request id."""
    connection = _connect(address)
    send = connection.send

    def send_named(
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        send(method, target, [*headers, ("x-request-id", "r1")], body)

    connection.send = send_named
    return connection
