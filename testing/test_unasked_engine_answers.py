"""Answers that nobody asked for, from engines and plain services of sidecars.

Their answers state no request.
"""

import json

import testtools

from fakes import platform_engine
from mintcleat.adapters import engine_http
from mintcleat.adapters import plain_http
from mintcleat.ports import upstream

FOREIGN = b"foreign"


def _whole(fields: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\n{fields}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def _stream(text: str) -> bytes:
    event = json.dumps({"choices": [{"delta": {"content": text}}]})
    body = f"data: {event}\n\ndata: [DONE]\n\n"
    return _whole("Content-Type: text/event-stream\r\n", body.encode())


class UnaskedAnswerTest(testtools.TestCase):
    """An upstream that sends `extra` ahead of each answer.

    It does so on connections that have carried another request, as an answer
    that is late or repeated arrives there.
    """

    def setUp(self) -> None:
        super().setUp()
        self.extra = b""
        self.used: set[platform_engine.Connection] = set()
        self.engine = platform_engine.Engine("e1", self.answer)
        self.addCleanup(self.engine.stop)

    def answer(
        self,
        connection: platform_engine.Connection,
        received: platform_engine.ReceivedRequest,
    ) -> bool:
        if connection in self.used:
            connection.send(self.extra)
        self.used.add(connection)
        if received.target.startswith("/v1/chat"):
            connection.send(_stream(received.request))
        elif received.target == "/control/load":
            load = {"running": 1, "waiting": 2, "free_memory": 3}
            connection.send(_whole("", json.dumps(load).encode()))
        else:
            connection.send(_whole("", received.target.encode()))
        return True

    def test_service_answers_are_to_their_requests(self) -> None:
        self.extra = _whole("", FOREIGN)
        service = plain_http.HttpService(self.engine.address)
        for target in ("/a", "/b", "/c"):
            reply = service.send("GET", target, [], b"", 5.0)
            self.assertEqual(target.encode(), reply.body)

    def test_engine_streams_are_to_their_requests(self) -> None:
        self.extra = _stream("foreign")
        adapter = engine_http.HttpEngine(self.engine.address)
        for request in ("r1", "r2", "r3"):
            call = upstream.EngineCall(request, "", [], "{}")
            text, _ = adapter.run(call)
            self.assertEqual(upstream.TextChunk(request), text)

    def test_engine_control_answers_are_to_their_requests(self) -> None:
        foreign = {"running": 7, "waiting": 7, "free_memory": 7}
        self.extra = _whole("", json.dumps(foreign).encode())
        adapter = engine_http.HttpEngine(self.engine.address)
        for _ in range(3):
            self.assertEqual(upstream.EngineLoad(1, 2, 3), adapter.load())
