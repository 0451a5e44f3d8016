"""The server of WSGI applications."""

from collections.abc import Iterable
from typing import Any

import testtools

from fakes import platform_system
from mintcleat.adapters import wsgi


def application(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
    start("200 OK", [])
    names = ("HTTP_HOST", "PATH_INFO", "QUERY_STRING")
    return [" ".join(environ.get(name, "") for name in names).encode()]


class TargetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        server = wsgi.HttpServer("127.0.0.1:0", application)
        self.addCleanup(server.stop)
        self.address = server.address

    def get(self, target: str) -> platform_system.Answer:
        fields = {"Host": "own", "Connection": "close"}
        return platform_system.exchange(
            self.address, "GET", target, fields, b""
        )

    def test_whole_uri_as_target_is_split_into_host_and_path(self) -> None:
        answer = self.get("http://h:80/v1/models?a=b")
        self.assertEqual((200, b"h:80 /v1/models a=b"), answer[::2])

    def test_path_that_contains_a_uri_is_left_as_it_is(self) -> None:
        answer = self.get("/http://h/a")
        self.assertEqual((200, b"own /http://h/a "), answer[::2])

    def test_whole_uri_with_a_user_gets_400(self) -> None:
        self.assertEqual(400, self.get("http://u@h/a").status)
