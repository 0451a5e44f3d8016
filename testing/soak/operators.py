"""The operator: pushes configurations all the time and reads them back."""

import asyncio
import json
import random
import time
from typing import Any

from bench import hosted_processes
from testing import configurations
from testing.soak import changes
from testing.soak import checks as checks_module
from testing.soak import client

# Service of streams that last for seconds, where it has engines of its own.
LONG_SERVICE = "lm-long"
# Requests per second and burst of each customer that is limited.
LIMITS = {"limited": [4.0, 4.0]}
# Rate and burst of the others, which no load reaches.
_UNREACHED_RATE = 1000
# Pauses between pushes, in seconds. Some are longer than the time in which a
# version must be in force.
_PUSH_PAUSES = (0.05, 0.1, 0.2, 0.3, 0.4, 3.0)
# Longest of these pauses while all are short.
_FAST_SECONDS = 0.2
# Part of the pushes that two operators make at once, on two versions.
_PAIR_PART = 0.2
# Invalid configurations in a row, so that a short run has many of them.
_INVALID_PUSHES = 4
# Mean pause between reads.
_READ_SECONDS = 0.1
# Pause between the reads of one reader at one control.
_READ_AT_SECONDS = 0.5
# Least time for which the configuration is read back at the end.
_READ_BACK_SECONDS = 4.0
_TIMEOUT_MS = 4000
_LONG_TIMEOUT_MS = 60_000
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


def number_of(version: int) -> int:
    """Returns the number of a version on the wire; the steps are uneven."""
    return 3 * version + version * version % 3


def version_of(number: int) -> int:
    """Returns the version with a number."""
    return number // 3


def configuration(
    version: int,
    engine: dict[str, Any] | None = None,
    timeout_ms: int = _TIMEOUT_MS,
    long_engine: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Returns a version of the configuration.

    Each version has a route of its own, a new key of the rotating customer, and
    what `changes` says.

    Args:
        version: The version.
        engine: Further fields of the model engines; None for none.
        timeout_ms: Time-out of the routes of streams.
        long_engine: Such fields of the engines for long streams; None if the
            model engines have these streams, too.
    """
    engines = {"lm": engine or {}}
    if long_engine is not None:
        engines[LONG_SERVICE] = long_engine
    return {
        "version": number_of(version),
        "routes": _routes(version, timeout_ms, list(engines)[-1]),
        "services": [
            *(
                {"name": name, "maxConnections": 64}
                for name in changes.services(version)
            ),
            *(
                {
                    "name": name,
                    "maxConnections": 64,
                    "engine": {
                        "stride": 1,
                        "models": [{"name": "m"}],
                        **fields,
                    },
                }
                for name, fields in engines.items()
            ),
        ],
        "tenants": _tenants(version),
        "limits": {"maxBodyBytes": changes.content(version).body_bytes},
    }


def _routes(
    version: int, timeout_ms: int, long_service: str
) -> list[dict[str, Any]]:
    return [
        _route(
            "turn",
            "stream",
            service="lm",
            retainContext=True,
            retentionS=60.0,
            timeoutMs=timeout_ms,
        ),
        _route(
            "resume",
            "stream",
            service="lm",
            resumable=True,
            priority=1,
            timeoutMs=timeout_ms,
        ),
        _route(
            "long_turn",
            "stream",
            service=long_service,
            retainContext=True,
            retentionS=60.0,
            timeoutMs=timeout_ms,
        ),
        _route(
            "long",
            "stream",
            service=long_service,
            resumable=True,
            priority=1,
            timeoutMs=_LONG_TIMEOUT_MS,
        ),
        _route("tool", "unsafe", service="desk"),
        _route("safe", "safe", service="desk"),
        _route(f"revision-{version}", "safe", service="desk"),
        *(
            _route(**{"kind": "safe", **fields})
            for fields in changes.routes(version)
        ),
    ]


def _route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
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
        version: The highest version that was acknowledged.
        pushes_fast: Whether all pauses between pushes are short.
        engine: Further fields of the model engines.
        timeout_ms: Time-out of the routes of streams.
        long_engine: As in `configuration`.
        body_bytes: Most bytes of a body; 0 for what the version says.
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
        self.engine: dict[str, Any] = {}
        self.timeout_ms = _TIMEOUT_MS
        self.long_engine: dict[str, Any] | None = None
        self.body_bytes = 0

    def configuration(self, version: int) -> dict[str, Any]:
        """Returns a version as this operator pushes it."""
        made = configuration(
            version, self.engine, self.timeout_ms, self.long_engine
        )
        if self.body_bytes:
            made["limits"]["maxBodyBytes"] = self.body_bytes
        return made

    async def push(self, step: int = 1) -> None:
        """Pushes a later version until a control acknowledges it.

        Args:
            step: How much later.
        """
        version = self.version + step
        body = json.dumps(self.configuration(version)).encode()
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
        self.version = max(self.version, version)

    async def push_forever(self) -> None:
        """Pushes version after version."""
        while True:
            pause = self.generator.choice(_PUSH_PAUSES)
            if self.pushes_fast:
                pause = min(pause, _FAST_SECONDS)
            await asyncio.sleep(pause)
            if self.generator.random() < _PAIR_PART:
                await asyncio.gather(self.push(), self.push(2))
            else:
                await self.push()
            if self.generator.random() < 0.2:
                for _ in range(_INVALID_PUSHES):
                    await self.push_invalid()

    async def push_invalid(self) -> None:
        """Pushes a configuration that is invalid for one random reason."""
        case = configurations.invalid_case(
            self.generator,
            self.configuration(self.version + 1000),
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
        version = version_of(found["version"])
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
                version = version_of(found["version"])
                if found != self.configuration(version):
                    self.checks.other_content_read(now, version)
            if is_read and now > began + _READ_BACK_SECONDS:
                return
            if now > began + checks_module.READ_BACK_SECONDS:
                self.checks.not_read_back(now, self.version)
                return
            await asyncio.sleep(_READ_SECONDS)
