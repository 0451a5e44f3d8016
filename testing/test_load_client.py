"""Tests the load generator's client against error responses."""

from collections.abc import Callable
from typing import Any

import testtools

from fakes import endless_answers
from mintcleat.adapters import response_checks
from mintcleat.adapters import timers
from mintcleat.load import client as client_module

_HEAD = b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\n{}"
_SECONDS = 5.0
_CALLS: dict[str, Callable[[client_module.Client], Any]] = {
    "program": lambda client: client.create({})[1],
    "service": lambda client: client.call_service("GET", "/x", {}, _SECONDS),
    "chat": lambda client: client.chat({}, {}, _SECONDS),
    "stream": lambda client: client.chat({"stream": True}, {}, _SECONDS),
}


class ErrorTest(testtools.TestCase):
    def ask(self, status: bytes, name: str) -> client_module.Answer:
        server = endless_answers.EndlessServer(
            endless_answers.Endless(_HEAD % status, b"")
        )
        self.addCleanup(server.stop)
        pool = response_checks.PoolManager()
        self.addCleanup(pool.clear)
        client = client_module.Client(
            [server.address], timers.EventletTimers(), pool
        )
        return _CALLS[name](client)

    def test_error_that_states_no_kind_is_no_success(self) -> None:
        found = {
            name: self.ask(b"500 Failed", name).kind == "" for name in _CALLS
        }
        self.assertEqual(dict.fromkeys(_CALLS, False), found)
