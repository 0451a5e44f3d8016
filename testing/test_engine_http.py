"""Tests the HTTP adapter for model engines."""

import testtools

from fakes import endless_answers
from mintcleat.adapters import engine_http
from mintcleat.adapters import http1_client
from mintcleat.domain import errors
from mintcleat.ports import upstream
from mintcleat.standins import engine

_HEAD = b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\n{}"


class EngineHttpTest(testtools.TestCase):
    def start(self, **options: object) -> engine_http.HttpEngine:
        standin = engine.Engine("127.0.0.1:0", engine.EngineOptions(**options))
        self.addCleanup(standin.stop)
        return engine_http.HttpEngine(standin.address)

    def run_call(
        self, adapter: engine_http.HttpEngine, number: int = 0
    ) -> list[upstream.TextChunk | upstream.End]:
        call = upstream.EngineCall(
            f"r{number}", "", ['{"role":"user","content":"x"}'], "{}"
        )
        return list(adapter.run(call))

    def test_each_stream_has_a_connection_that_is_closed_after_it(self) -> None:
        adapter = self.start()
        opened = []
        connect = http1_client.connect

        def count(address: str) -> http1_client.Connection:
            opened.append(connect(address))
            return opened[-1]

        self.patch(http1_client, "connect", count)
        for number in range(3):
            self.run_call(adapter, number)
        self.assertEqual([True] * 3, [one.closed for one in opened])

    def test_lines_of_a_stream_may_end_in_each_way(self) -> None:
        for line_end in ("\n", "\r\n", "\r"):
            *_, end = self.run_call(self.start(line_end=line_end))
            self.assertTrue(end.total > 0)

    def test_stream_that_breaks_off_inside_an_event_is_an_error(self) -> None:
        adapter = self.start(cut_events=2)
        self.assertRaises(errors.StreamClosed, self.run_call, adapter)

    def test_redirect_or_not_modified_is_no_success(self) -> None:
        # Guards against orders that count as executed without being so.
        calls = (
            lambda adapter: adapter.order(1, "load", "model-1"),
            lambda adapter: adapter.release(["p"]),
            lambda adapter: adapter.export_cache("p"),
            lambda adapter: adapter.load(),
        )
        for status in (b"300 Many", b"302 Found", b"304 Not Modified"):
            for call in calls:
                server = endless_answers.EndlessServer(
                    endless_answers.Endless(_HEAD % status, b"")
                )
                self.addCleanup(server.stop)
                adapter = engine_http.HttpEngine(server.address)
                self.assertRaises(errors.UpstreamFailed, call, adapter)
