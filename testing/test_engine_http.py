"""Tests the HTTP adapter for model engines."""

from typing import Any

import testtools

from mintcleat.adapters import engine_http
from mintcleat.adapters import http1_client
from mintcleat.domain import errors
from mintcleat.ports import upstream
from mintcleat.standins import engine


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

    def test_connection_of_a_finished_stream_is_reused(self) -> None:
        adapter = self.start()
        opened = []
        open_socket = http1_client.open_socket

        def count(address: str, seconds: float) -> Any:
            opened.append(address)
            return open_socket(address, seconds)

        self.patch(http1_client, "open_socket", count)
        for number in range(3):
            self.run_call(adapter, number)
        self.assertEqual([adapter.address], opened)

    def test_lines_of_a_stream_may_end_in_each_way(self) -> None:
        for line_end in ("\n", "\r\n", "\r"):
            *_, end = self.run_call(self.start(line_end=line_end))
            self.assertTrue(end.total > 0)

    def test_stream_that_breaks_off_inside_an_event_is_an_error(self) -> None:
        adapter = self.start(cut_events=2)
        self.assertRaises(errors.StreamClosed, self.run_call, adapter)
