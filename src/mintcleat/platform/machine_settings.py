"""Reads the settings file that the platform writes on each machine.

All times are in seconds unless a name says otherwise.
"""

import math
import os
import pathlib
import tomllib
from typing import Any
from typing import Final
from typing import NamedTuple

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
    "limit_window": "quotaWindowS",
    "limit_overage": "quotaOverage",
    "limit_slack": "quotaSlack",
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
        errors.InvalidSettings: The file can't be read, is not TOML or lacks a
            field.
    """
    try:
        fields = tomllib.loads(path.read_text())
        return translate(fields, role)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.InvalidSettings(
            f"The settings file {path} can't be read: {error}.",
            remedy="Let the platform write the file again.",
        ) from None
    except KeyError as error:
        raise errors.InvalidSettings(
            f"The settings file {path} has no field {error}.",
            remedy="Let the platform write the file again.",
        ) from None


def translate(fields: dict[str, Any], role: str) -> MachineSettings:
    """Converts the decoded settings file for a role.

    Raises:
        KeyError: A required field is missing.
    """
    first_port = fields["internalPortRange"][0]
    listen = fields["listen"]
    bounds = fields.get("bounds", {})
    limits = fields.get("limits", {})
    grace = float(bounds.get("graceS", 8))
    own_address = f"{fields['ip']}:{first_port}"
    control_addresses = [
        f"{_host(seed)}:{first_port}" for seed in fields["seeds"]
    ]
    settings = settings_module.Settings(
        instance=fields["ip"],
        failure_domain=fields["zone"],
        region=fields.get("region", ""),
        listen=own_address,
        roles=[CONTROL if role == CONTROL else ENTRY],
        control=control_addresses,
        program_groups=_PROGRAM_GROUPS,
        stop_seconds=grace - _STOP_MARGIN,
        metrics=f"{fields['ip']}:{_METRICS_PORT}",
        times=_times(bounds),
        control_role=_control_role(fields, control_addresses)
        if role == CONTROL
        else None,
    )
    return MachineSettings(
        settings,
        listen.get("front", ""),
        listen.get("ready", ""),
        listen.get("control", ""),
        _ANSWER_SECONDS,
        _policies(fields, bounds),
        int(limits.get("memoryMb", 0) * _BYTES_PER_MB),
        int(limits.get("fileDescriptors", 0)),
    )


def _policies(fields: dict[str, Any], bounds: dict[str, Any]) -> dict[str, Any]:
    """Returns the policies of the manifest that the settings determine."""
    policies = {
        name: bounds[bound]
        for name, bound in _POLICY_BOUNDS.items()
        if bound in bounds
    }
    if _PRESSURE_CONTRACT in fields.get("contracts", []):
        policies["admission"] = "programs"
        policies["stream_moves"] = "on"
    return policies


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _times(bounds: dict[str, Any]) -> settings_module.Times:
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


def _key_grace(bounds: dict[str, Any]) -> float:
    """Returns how long keys are accepted after the configuration lease expires.

    Without a strict bound on key revocation, an entry that is cut off from
    control accepts the keys it knows indefinitely.
    """
    if not bounds.get("strictRevocation"):
        return math.inf
    return max(
        0.0, _KEY_REVOCATION_FRACTION * bounds["revokeMs"] / 1000.0 - _MAX_LEASE
    )


def _control_role(
    fields: dict[str, Any], seeds: list[str]
) -> settings_module.Control:
    """Returns the settings of the control role.

    The settings file has the name of its own machine only and the addresses
    of all. Instances are therefore identified by address, and the name is the
    instance's label.
    """
    ports = fields["internalPortRange"]
    tolerated_failures = fields.get("faultTolerance", {}).get("machines", 1)
    return settings_module.Control(
        data=fields["dataDirectory"],
        admin=f"{fields['ip']}:{ports[0] + 1}",
        members=[
            settings_module.Member(_host(seed), seed, "") for seed in seeds
        ],
        founder=bool(fields.get("bootstrap")),
        label=fields["nodeName"],
        group_size=2 * max(1, tolerated_failures) + 1,
        keeps_inodes=False,
    )
