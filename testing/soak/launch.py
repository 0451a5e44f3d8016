"""Runs one role of the product inside a soak test.

    python -m testing.soak.launch ROLE

Connections to other processes' internal ports go through the soak's proxies:
SOAK_LINKS maps the address of each process to the address of the link to it,
as JSON. SOAK_FAULT names a known fault to reintroduce; see `reintroduced`.
"""

import json
import os
from typing import Any

from bench import hosted_processes
import eventlet
from testing.soak import reintroduced

from mintcleat.main import hosted


def _redirect(links: dict[str, str]) -> None:
    connect = eventlet.connect

    def connect_by_link(address: Any, *more: Any, **named: Any) -> Any:
        host, port = address[:2]
        if port == hosted_processes.INTERNAL_PORT:
            address = (links.get(host, host), port)
        return connect(address, *more, **named)

    eventlet.connect = connect_by_link


def main() -> None:
    """Runs the role that the command line names."""
    _redirect(json.loads(os.environ.get("SOAK_LINKS", "{}")))
    fault = os.environ.get("SOAK_FAULT", "")
    if fault:
        reintroduced.FAULTS[fault].install()
    hosted.main()


if __name__ == "__main__":
    main()
