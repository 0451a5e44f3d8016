"""The operator: pushes configurations all the time and reads them back."""

import asyncio
import json
import random
import time
from typing import Any

from bench import hosted_processes
from testing.soak import checks as checks_module
from testing.soak import client

# Requests per second and burst of each customer that is limited.
LIMITS = {"limited": [4.0, 4.0]}
# Rate and burst of the others, which no load reaches.
_UNREACHED_RATE = 1000
# Pauses between pushes, in seconds. Some are longer than the time in which a
# version must be in force.
_PUSH_PAUSES = (0.2, 0.3, 0.4, 3.0)
# Mean pause between reads.
_READ_SECONDS = 0.1
# Pause between the reads of one reader at one control.
_READ_AT_SECONDS = 0.5
# Least time for which the configuration is read back at the end.
_READ_BACK_SECONDS = 4.0
_TIMEOUT_MS = 4000
SAFE_ATTEMPTS = 3
PROGRAM_CUSTOMERS = ("anna", "berta", "carl", "noisy")
ROTATING = "rotating"
SLOW = "slow"
# Sends requests that crash upstreams.
CRASHER = "crasher"
# A key of the rotating customer is in this many versions in a row.
KEY_VERSIONS = 2


def rotating_key(version: int) -> str:
    """Returns the key that a version adds to the rotating customer."""
    return f"rotating-{version}"


def key_of(customer: str) -> str:
    """Returns the key that a customer has in all versions."""
    return f"key-of-{customer}"


def configuration(version: int) -> dict[str, Any]:
    """Returns a version of the configuration.

    Each version has a route of its own and a new key of the rotating customer.
    """
    return {
        "version": version,
        "routes": _routes(version),
        "services": [
            {"name": "desk", "maxConnections": 64},
            {
                "name": "lm",
                "maxConnections": 64,
                "engine": {"stride": 1, "models": [{"name": "m"}]},
            },
        ],
        "tenants": _tenants(version),
        "limits": {},
    }


def _routes(version: int) -> list[dict[str, Any]]:
    return [
        _route("turn", "stream", "lm", retainContext=True, retentionS=60.0),
        _route("resume", "stream", "lm", resumable=True, priority=1),
        _route("tool", "unsafe", "desk"),
        _route("safe", "safe", "desk"),
        _route(f"revision-{version}", "safe", "desk"),
    ]


def _route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "host": client.HOST,
        "timeoutMs": _TIMEOUT_MS,
        "targetLatencyMs": 300,
        "targetGapMs": 200,
        "priority": 0,
        "attempts": SAFE_ATTEMPTS,
        "name": name,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        **fields,
    }


def _tenants(version: int) -> list[dict[str, Any]]:
    rotating = [rotating_key(version - age) for age in range(KEY_VERSIONS)]
    return [
        *(
            _tenant(name, [key_of(name)])
            for name in (*PROGRAM_CUSTOMERS, SLOW, CRASHER)
        ),
        *(
            _tenant(name, [key_of(name)], rate, burst)
            for name, (rate, burst) in LIMITS.items()
        ),
        _tenant(ROTATING, rotating),
    ]


def _tenant(
    name: str,
    keys: list[str],
    rate: float = _UNREACHED_RATE,
    burst: float = _UNREACHED_RATE,
) -> dict[str, Any]:
    return {"name": name, "apiKeys": keys, "ratePerS": rate, "burst": burst}


class Operator:
    """Pushes and reads the configuration at random controls.

    Attributes:
        version: The version acknowledged last.
        pushes_fast: Whether all pauses between pushes are short.
    """

    def __init__(
        self,
        controls: list[hosted_processes.Caller],
        checks: checks_module.Checks,
        generator: random.Random,
    ) -> None:
        self.controls = controls
        self.checks = checks
        self.generator = generator
        self.version = 0
        self.pushes_fast = False

    async def push(self) -> None:
        """Pushes the next version until a control acknowledges it."""
        version = self.version + 1
        body = json.dumps(configuration(version)).encode()
        self.checks.pushed[version] = time.monotonic()
        while True:
            control = self.generator.choice(self.controls)
            answer = await control.ask(
                "POST", "/v1/Configuration.Put", {}, body
            )
            if answer.status == 200:
                break
            await asyncio.sleep(0.1)
        self.checks.acknowledged[version] = time.monotonic()
        self.version = version

    async def push_forever(self) -> None:
        """Pushes version after version."""
        while True:
            pause = self.generator.choice(_PUSH_PAUSES)
            await asyncio.sleep(_PUSH_PAUSES[0] if self.pushes_fast else pause)
            await self.push()
            if self.generator.random() < 0.2:
                await self.push_invalid()

    async def push_invalid(self) -> None:
        """Pushes an invalid configuration: a route lacks a field."""
        fields = configuration(self.version + 1000)
        del fields["routes"][0]["service"]
        body = json.dumps(fields).encode()
        control = self.generator.choice(self.controls)
        began = time.monotonic()
        answer = await control.ask("POST", "/v1/Configuration.Put", {}, body)
        if answer.status == 200:
            self.checks.accepted_invalid(began, "a configuration")

    async def read_forever(self) -> None:
        """Reads the configuration at one control after the other."""
        while True:
            await asyncio.sleep(self.generator.uniform(0.0, 2 * _READ_SECONDS))
            await self.read(self.generator.choice(self.controls))

    async def read_at_forever(
        self, control: hosted_processes.Caller, keeps: bool
    ) -> None:
        """Reads the configuration at one control, whatever happens to it.

        Args:
            control: A client for this only.
            keeps: Whether one connection is in use for as long as it lasts;
                else each read has a new one.
        """
        while True:
            await asyncio.sleep(_READ_AT_SECONDS)
            await self.read(control)
            if not keeps:
                control.close_idle()

    async def read(self, control: hosted_processes.Caller) -> dict | None:
        """Reads the configuration once; returns None without an answer."""
        began = time.monotonic()
        answer = await control.ask("GET", "/v1/Configuration.Get", {})
        if answer.status != 200:
            return None
        found = json.loads(answer.body)
        version = found["version"]
        self.checks.configuration_read(began, time.monotonic(), version)
        return found

    async def read_back(self, down_seconds: float) -> None:
        """Reads at all controls during the last loss and after it.

        It goes on for some time after an answer: an instance that starts later
        must not answer with an older configuration either.

        Args:
            down_seconds: Time until the processes are started again.
        """
        began = time.monotonic() + down_seconds
        is_read = False
        while True:
            answers = await asyncio.gather(*map(self.read, self.controls))
            now = time.monotonic()
            for found in answers:
                if found is None:
                    continue
                is_read = True
                if found != configuration(found["version"]):
                    self.checks.other_content_read(now, found["version"])
            if is_read and now > began + _READ_BACK_SECONDS:
                return
            if now > began + checks_module.READ_BACK_SECONDS:
                self.checks.not_read_back(now, self.version)
                return
            await asyncio.sleep(_READ_SECONDS)
