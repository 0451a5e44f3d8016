"""Reads the settings file that the platform writes on each machine.

All times are in seconds unless a name says otherwise.
"""

import math
import os
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

from mintcleat.adapters import settings as settings_module
from mintcleat.domain import errors

PATH_VARIABLE = "MINTCLEAT_CONFIG"
ENTRY: Final = "entry"
CONTROL: Final = "control"

# The platform counts the remaining machines as connected 3 s after one is lost.
# Within that time the loss of a leader is detected (at most 0.7 s, twice the
# election timeout), a new leader is elected and the leases of the old one
# expire. A lost packet delays a heartbeat by 0.2 s, so the election timeout
# must not be much shorter.
_HEARTBEAT_INTERVAL = 0.07
_ELECTION_TIMEOUT = 0.35
_MAX_LEASE = 1.2
# Fraction of the platform's bound on key revocation after which an entry that
# receives nothing from control rejects all keys. The rest allows for clock
# drift and for stalls of the process.
_KEY_REVOCATION_FRACTION = 0.85
_RENEW_INTERVAL = 0.3
_RELAY_RENEW_INTERVAL = 0.15
_MOVE_AFTER = 0.6
# A replaced machine counts as failed until 4 s after its successor has started;
# another failure may follow right after that. The silence after which a member
# is replaced is therefore much shorter than 4 s.
_REPLACE_AFTER = 2.0
_STREAM_HEARTBEAT_INTERVAL = 0.3
_STREAM_SILENCE_TIMEOUT = 1.2
_STREAM_CONNECT_TIMEOUT = 0.5
_CONTROL_TRY_TIMEOUT = 0.4
# Operators and upstreams turn to another control instance after 1 s.
_ANSWER_SECONDS = 0.85
_POLICY_BOUNDS = {
    "limit_window": "quota_window_s",
    "limit_overage": "quota_overage",
    "limit_slack": "quota_slack",
}
# Entry of the settings field `contracts`: customers compete for engines.
_PRESSURE_CONTRACT = "pressure"
# Must match the metrics port in the deploy file.
_METRICS_PORT = 9464
# The load is a few hundred commits per second, far below the capacity of one
# group of program records. Each further group costs heartbeats and memory.
_PROGRAM_GROUPS = 1
# Part of the time between SIGTERM and SIGKILL that is kept for the last
# responses.
_STOP_MARGIN = 1.0
# The smaller of the two meanings of MB, so that the limit is never exceeded.
_BYTES_PER_MB = 1_000_000


class MachineSettings(NamedTuple):
    """The settings of a process on a machine of the platform.

    Attributes:
        settings: Settings that do not depend on the platform.
        callers: `IP:PORT` of the callers' listener; empty for none.
        ready: `IP:PORT` of the readiness listener; empty for none.
        control: `IP:PORT` of the listener for operators and upstreams; empty
            for none.
        answer_seconds: Time within which a request to the control listener
            gets a response or an error.
        policies: Policies of the manifest that the platform sets here and not
            in the configuration.
        memory_bytes: Memory beyond which the process is killed; 0 if unknown.
        descriptors: File descriptors that it may open; 0 if unknown.
    """

    settings: settings_module.Settings
    callers: str
    ready: str
    control: str
    answer_seconds: float
    policies: dict[str, Any] = {}
    memory_bytes: int = 0
    descriptors: int = 0


_Amount = Annotated[float, msgspec.Meta(ge=0)]


class Bounds(msgspec.Struct, rename="camel"):
    """Bounds of the platform that are used here; others are ignored.

    Attributes:
        grace_s: Seconds from SIGTERM to SIGKILL.
        strict_revocation: Whether a revoked key must be refused everywhere
            within `revoke_ms`.
        quota_window_s: Seconds of the window of customers' limits; None for
            the manifest's default, as for the next two.
        quota_overage: Part beyond a limit that programs in progress may use.
        quota_slack: Number of requests besides.
    """

    grace_s: float = 8.0
    strict_revocation: bool = False
    revoke_ms: float = 0.0
    # Checked here: the manifest would refuse each push for them.
    quota_window_s: _Amount | None = None
    quota_overage: _Amount | None = None
    quota_slack: _Amount | None = None


class Limits(msgspec.Struct, rename="camel"):
    """Limits of the process; 0 if unknown."""

    memory_mb: float = 0.0
    file_descriptors: float = 0.0


class FaultTolerance(msgspec.Struct, rename="camel"):
    """Number of machines that may be lost at the same time."""

    machines: int = 1


class SettingsFile(msgspec.Struct, rename="camel"):
    """The settings file as the platform writes it; other fields are ignored.

    Attributes:
        seeds: `IP:PORT` of the control listeners of some control instances.
        bootstrap: Whether the whole system starts for the first time.
        listen: `IP:PORT` to listen on by what is served.
        bounds: The bounds; see `Bounds`.
    """

    ip: str
    zone: str
    internal_port_range: Annotated[list[int], msgspec.Meta(min_length=1)]
    seeds: list[str]
    listen: dict[str, str]
    node_name: str = ""
    region: str = ""
    data_directory: str = ""
    bootstrap: bool = False
    contracts: list[str] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    fault_tolerance: FaultTolerance = msgspec.field(
        default_factory=FaultTolerance
    )


def settings_path() -> pathlib.Path:
    """Returns the path of the settings file from the environment.

    Raises:
        errors.InvalidSettings: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.InvalidSettings(
            f"{PATH_VARIABLE} is not set.",
            remedy=f"Set {PATH_VARIABLE} to the path of the settings file.",
        )
    return pathlib.Path(path)


def load(path: pathlib.Path, role: str) -> MachineSettings:
    """Reads the settings file for a role.

    Args:
        path: The settings file.
        role: `ENTRY` or `CONTROL`.

    Raises:
        errors.InvalidSettings: The file can't be read, is not TOML, lacks a
            field or has one of a wrong type.
    """
    try:
        text = path.read_text(encoding="utf-8")
        return translate(tomllib.loads(text), role)
    except (OSError, ValueError) as error:
        raise errors.InvalidSettings(
            f"The settings file {path} can't be read: {error}.",
            remedy="Let the platform write the file again.",
        ) from None


def translate(fields: dict[str, Any], role: str) -> MachineSettings:
    """Converts the decoded settings file for a role.

    Raises:
        msgspec.ValidationError: A field is missing or has a wrong type.
    """
    file = msgspec.convert(fields, SettingsFile)
    bounds = file.bounds
    first_port = file.internal_port_range[0]
    own_address = f"{file.ip}:{first_port}"
    control_addresses = [f"{_host(seed)}:{first_port}" for seed in file.seeds]
    settings = settings_module.Settings(
        instance=file.ip,
        failure_domain=file.zone,
        region=file.region,
        listen=own_address,
        roles=[CONTROL if role == CONTROL else ENTRY],
        control=control_addresses,
        program_groups=_PROGRAM_GROUPS,
        stop_seconds=bounds.grace_s - _STOP_MARGIN,
        metrics=f"{file.ip}:{_METRICS_PORT}",
        times=_times(bounds),
        control_role=_control_role(file, control_addresses)
        if role == CONTROL
        else None,
    )
    return MachineSettings(
        settings,
        file.listen.get("front", ""),
        file.listen.get("ready", ""),
        file.listen.get("control", ""),
        _ANSWER_SECONDS,
        _policies(file, bounds),
        int(file.limits.memory_mb * _BYTES_PER_MB),
        int(file.limits.file_descriptors),
    )


def _policies(file: SettingsFile, bounds: Bounds) -> dict[str, Any]:
    """Returns the policies of the manifest that the settings determine."""
    policies: dict[str, Any] = {
        name: getattr(bounds, bound)
        for name, bound in _POLICY_BOUNDS.items()
        if getattr(bounds, bound) is not None
    }
    if _PRESSURE_CONTRACT in file.contracts:
        policies["admission"] = "programs"
        policies["stream_moves"] = "on"
    return policies


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _times(bounds: Bounds) -> settings_module.Times:
    return settings_module.Times(
        heartbeat=_HEARTBEAT_INTERVAL,
        election=_ELECTION_TIMEOUT,
        max_lease=_MAX_LEASE,
        renew=_RENEW_INTERVAL,
        relay_renew=_RELAY_RENEW_INTERVAL,
        move_after=_MOVE_AFTER,
        replace_after=_REPLACE_AFTER,
        balance_after=0.0,
        stream_heartbeat=_STREAM_HEARTBEAT_INTERVAL,
        stream_silence=_STREAM_SILENCE_TIMEOUT,
        stream_connect=_STREAM_CONNECT_TIMEOUT,
        control_try=_CONTROL_TRY_TIMEOUT,
        key_grace=_key_grace(bounds),
    )


def _key_grace(bounds: Bounds) -> float:
    """Returns how long keys are accepted after the configuration lease expires.

    Without a strict bound on key revocation, an entry that is cut off from
    control accepts the keys it knows indefinitely.
    """
    if not bounds.strict_revocation:
        return math.inf
    return max(
        0.0, _KEY_REVOCATION_FRACTION * bounds.revoke_ms / 1000.0 - _MAX_LEASE
    )


def _control_role(
    file: SettingsFile, seeds: list[str]
) -> settings_module.Control:
    """Returns the settings of the control role.

    The settings file has the name of its own machine only and the addresses
    of all. Instances are therefore identified by address, and the name is the
    instance's label.

    Raises:
        msgspec.ValidationError: A field is missing.
    """
    for name in ("node_name", "data_directory"):
        if not getattr(file, name):
            raise msgspec.ValidationError(f"the field for {name} is missing")
    tolerated_failures = max(1, file.fault_tolerance.machines)
    return settings_module.Control(
        data=file.data_directory,
        admin=f"{file.ip}:{file.internal_port_range[0] + 1}",
        members=[
            settings_module.Member(_host(seed), seed, "") for seed in seeds
        ],
        founder=file.bootstrap,
        label=file.node_name,
        group_size=2 * tolerated_failures + 1,
        keeps_inodes=False,
    )
