"""Baseline of the measurements: a stateless round-robin HTTP proxy.

Usage: python bench/naive_proxy.py LISTEN UPSTREAM [UPSTREAM ...]
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import socket
import sys
import warnings

warnings.filterwarnings("ignore", category=DeprecationWarning)

import eventlet

eventlet.monkey_patch()

from eventlet import wsgi
import urllib3

_TIMEOUT_SECONDS = 120.0


class NaiveProxy:
    """WSGI application that forwards each request to the next upstream."""

    def __init__(self, upstreams: list[str]) -> None:
        self.upstreams = itertools.cycle(upstreams)
        self.pool = urllib3.PoolManager(maxsize=512, num_pools=16)

    def __call__(
        self, environ: dict, start: Callable[..., None]
    ) -> Iterator[bytes]:
        """Forwards one request and streams its answer."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        answer = self.pool.request(
            environ["REQUEST_METHOD"],
            f"http://{next(self.upstreams)}{environ['PATH_INFO']}",
            body=environ["wsgi.input"].read(length),
            headers={"Content-Type": "application/json"},
            preload_content=False,
            timeout=_TIMEOUT_SECONDS,
        )
        kind = answer.headers.get("Content-Type", "application/json")
        start(f"{answer.status} Relayed", [("Content-Type", kind)])
        try:
            yield from answer.stream(65536)
        finally:
            answer.release_conn()


def main() -> None:
    """Prints the ready line and serves until the process is ended."""
    listen, *upstreams = sys.argv[1:]
    host, _, port = listen.rpartition(":")
    listener = eventlet.listen((host, int(port)), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    host, port = listener.getsockname()[:2]
    print(f"ready naive http={host}:{port}", flush=True)
    wsgi.server(listener, NaiveProxy(upstreams), log_output=False, debug=False)


if __name__ == "__main__":
    main()
