"""Processes, upstreams and callers of scenarios with routed requests."""

import asyncio
from collections.abc import Callable
import itertools
import pathlib
import random
from typing import Any

from bench import hosted_processes
from testing.soak import callers
from testing.soak import checks as checks_module
from testing.soak import client
from testing.soak import operators
from testing.soak import processes
from testing.soak import recorders

SAFE, UNSAFE, STREAM, RESUMABLE = "safe", "tool", "turn", "resume"
PLAIN = (SAFE, UNSAFE)
# What those statuses promise is that the request has not run.
PROMISES = (408, 421, 429, 503)
_READY_SECONDS = 20.0
_CALLER_SECONDS = 5.0


class System:
    """Control and entries as processes, and upstreams in this one.

    Attributes:
        upstreams: Upstreams of a service of streams and of a plain one.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        controls: int,
        entries: int,
        upstream: Callable[..., Any],
        count: int,
    ) -> None:
        """Creates a system; `start` starts it.

        Args:
            folder: Where the processes keep their files.
            controls: Number of control instances.
            entries: Number of entries.
            upstream: Class of the upstreams.
            count: Number of upstreams of each service.
        """
        checks = checks_module.Checks()
        self.fleet = processes.Fleet(
            processes.free_network(), folder, controls, entries, ""
        )
        found = [
            hosted_processes.Caller(
                f"{node.ip}:{hosted_processes.CONTROL_PORT}", "control", 1.0
            )
            for node in self.fleet.controls
        ]
        recorder = recorders.Recorder(checks)
        self.upstreams = [
            upstream(f"{service}-{number}", service, recorder, found)
            for service in ("lm", "desk")
            for number in range(count)
        ]
        self.operator = operators.Operator(found, checks, random.Random(1))
        self.numbers = itertools.count(1)

    async def start(self) -> None:
        """Starts everything; returns once control has a configuration."""
        await self.fleet.start()
        for upstream in self.upstreams:
            await upstream.start()
        async with asyncio.timeout(_READY_SECONDS):
            await self.operator.push()

    async def stop(self) -> None:
        """Ends everything that was started."""
        for upstream in self.upstreams:
            if upstream.server is not None:
                upstream.crash()
        for control in self.operator.controls:
            control.close_idle()
        await self.fleet.stop()

    async def ask(
        self,
        kind: str,
        events: int,
        entry: int = 0,
        after: int = 0,
        version: str = "1.1",
        body: bytes = b"",
    ) -> tuple[str, client.Outcome]:
        """Sends a request; returns its id and what its caller got.

        Args:
            kind: The route's kind, for example `SAFE`.
            events: Number of events that the upstreams send. The request
                allows more, so that no answer ends by its number of tokens.
            entry: Number of the entry.
            after: Last event that the caller has; 0 for none.
            version: HTTP version of the caller.
            body: Body of the request.
        """
        request = f"{kind}-{next(self.numbers)}"
        sending = callers.Sending(
            kind,
            "anna",
            operators.key_of("anna"),
            1,
            events=0 if kind in PLAIN else 2 * events,
            program=request if kind == STREAM else "",
            last_event=after,
        )
        call = client.Call(
            f"/{kind}/x",
            callers.headers_of(request, sending),
            body,
            _CALLER_SECONDS,
            version=version,
        )
        address = self.fleet.entries[entry].address
        return request, await client.ask(address, call)
