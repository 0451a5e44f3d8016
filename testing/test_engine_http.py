"""Tests the HTTP adapter for model engines."""

import testtools

from mintcleat.adapters import engine_http
from mintcleat.ports import upstream
from mintcleat.standins import engine


class ConnectionTest(testtools.TestCase):
    def test_connection_of_a_finished_stream_is_reused(self) -> None:
        standin = engine.Engine("127.0.0.1:0")
        self.addCleanup(standin.stop)
        adapter = engine_http.HttpEngine(standin.address)
        for number in range(3):
            call = upstream.EngineCall(
                f"r{number}", "", ['{"role":"user","content":"x"}'], "{}"
            )
            list(adapter.run(call))
        pool = adapter.pool.connection_from_url(adapter.base)
        self.assertEqual(1, pool.num_connections)
