"""The operator: pushes configurations all the time and reads them back."""

import asyncio
import json
import random
import time
from typing import Any

from bench import hosted_processes
from testing import configurations
from testing.soak import checks as checks_module
from testing.soak import client

# Requests per second and burst of each customer that is limited.
LIMITS = {"limited": [4.0, 4.0]}
# Rate and burst of the others, which no load reaches.
_UNREACHED_RATE = 1000
# Pauses between pushes, in seconds. Some are longer than the time in which a
# version must be in force.
_PUSH_PAUSES = (0.2, 0.3, 0.4, 3.0)
# Invalid configurations in a row, so that a short run has many of them.
_INVALID_PUSHES = 4
# Mean pause between reads.
_READ_SECONDS = 0.1
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
                for _ in range(_INVALID_PUSHES):
                    await self.push_invalid()

    async def push_invalid(self) -> None:
        """Pushes a configuration that is invalid for one random reason."""
        case = configurations.invalid_case(
            self.generator,
            configuration(self.version + 1000),
            *self.generator.choice(configurations.SPELLINGS),
            # Unusual spellings may be refused for themselves.
            self.generator.choice((configurations.plain, configurations.spell)),
        )
        control = self.generator.choice(self.controls)
        began = time.monotonic()
        answer = await control.ask(
            "POST", "/v1/Configuration.Put", {}, case.body
        )
        if answer.status == 200:
            self.checks.accepted_invalid(
                began, f"a configuration: {case.reason}, {case.spelling}"
            )

    async def read_forever(self) -> None:
        """Reads the configuration at one control after the other."""
        while True:
            await asyncio.sleep(self.generator.uniform(0.0, 2 * _READ_SECONDS))
            control = self.generator.choice(self.controls)
            began = time.monotonic()
            answer = await control.ask("GET", "/v1/Configuration.Get", {})
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
                self.checks.configuration_read(began, time.monotonic(), version)
