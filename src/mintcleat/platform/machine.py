"""The platform's settings file as settings of the product."""

import math
import os
import pathlib
import tomllib
from typing import Any
from typing import NamedTuple

from mintcleat.adapters import settings as settings_module
from mintcleat.domain import errors

PATH_VARIABLE = "MINTCLEAT_CONFIG"
ENTRY = "entry"
CONTROL = "control"

# Times for machines that count as in touch 3 s after a loss. Within that time
# a lost leader is noticed (at most 0.7 s, twice the election timeout), the next
# one elected and the leases of the old one over. Lost packets delay a heartbeat
# by 0.2 s, so the election timeout must not be much shorter.
_HEARTBEAT = 0.07
_ELECTION = 0.35
_MAX_LEASE = 1.2
# Of the time within which a key that was taken away must stop working, the
# part after which an entry that hears nothing takes none any more. The rest
# is for clocks that run apart and for a process that is held up.
_KEY_SHARE = 0.85
_RENEW = 0.3
_RELAY_RENEW = 0.15
_MOVE_AFTER = 0.6
# A replaced machine counts as lost until 4 s after its successor has started,
# and then another loss may follow; so much shorter is the wait for a machine
# that is silent.
_REPLACE_AFTER = 2.0
_STREAM_HEARTBEAT = 0.3
_STREAM_SILENCE = 1.2
_STREAM_CONNECT = 0.5
_CONTROL_TRY = 0.4
# Operators and upstreams ask another instance after one second.
_ANSWER_SECONDS = 0.85
_POLICIES = {
    "limit_window": "quotaWindowS",
    "limit_overage": "quotaOverage",
    "limit_slack": "quotaSlack",
}
# Named in the deploy file too, as the port of each role's metrics.
_METRICS_PORT = 9464
# One group of program records: a few hundred commits a second are far from
# what one carries, and each further one costs heartbeats and memory.
_PROGRAM_GROUPS = 1
# Of the time between SIGTERM and SIGKILL, what is left for the last answers.
_STOP_MARGIN = 1.0


class MachineSettings(NamedTuple):
    """What a process is told of its machine.

    Attributes:
        settings: For the product's parts.
        callers: `IP:PORT` for the callers' requests; empty for none.
        ready: `IP:PORT` for the question whether this process takes work.
        control: `IP:PORT` for operators and upstreams; empty for none.
        answer_seconds: Within which operators and upstreams hear, or ask
            elsewhere.
        policies: Policies of the manifest that the platform sets here.
    """

    settings: settings_module.Settings
    callers: str
    ready: str
    control: str
    answer_seconds: float
    policies: dict[str, Any] = {}


def settings_path() -> pathlib.Path:
    """Returns where the platform put the settings file.

    Raises:
        errors.InvalidSettings: It did not say.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.InvalidSettings(
            f"{PATH_VARIABLE} is not set.",
            remedy=f"Set {PATH_VARIABLE} to the path of the settings file.",
        )
    return pathlib.Path(path)


def load(path: pathlib.Path, role: str) -> MachineSettings:
    """Returns the settings in a file, for a role of the product.

    Raises:
        errors.InvalidSettings: The file can't be read or lacks a field.
    """
    try:
        fields = tomllib.loads(path.read_text())
        return translate(fields, role)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.InvalidSettings(
            f"{path} can't be read: {error}.",
            remedy="Let the platform write the file anew.",
        ) from None
    except KeyError as error:
        raise errors.InvalidSettings(
            f"{path} lacks the field {error}.",
            remedy="Let the platform write the file anew.",
        ) from None


def translate(fields: dict[str, Any], role: str) -> MachineSettings:
    """Returns decoded settings, for a role of the product.

    Raises:
        KeyError: A field that is needed is missing.
    """
    first_port = fields["internalPortRange"][0]
    listen = fields["listen"]
    bounds = fields.get("bounds", {})
    grace = float(bounds.get("graceS", 8))
    own = f"{fields['ip']}:{first_port}"
    others = [f"{_host(seed)}:{first_port}" for seed in fields["seeds"]]
    settings = settings_module.Settings(
        instance=fields["ip"],
        failure_domain=fields["zone"],
        region=fields.get("region", ""),
        listen=own,
        roles=[role],
        control=others,
        program_groups=_PROGRAM_GROUPS,
        stop_seconds=grace - _STOP_MARGIN,
        metrics=f"{fields['ip']}:{_METRICS_PORT}",
        times=_times(bounds),
        control_role=_control_role(fields, others) if role == CONTROL else None,
    )
    return MachineSettings(
        settings,
        listen.get("front", ""),
        listen.get("ready", ""),
        listen.get("control", ""),
        _ANSWER_SECONDS,
        {
            name: bounds[bound]
            for name, bound in _POLICIES.items()
            if bound in bounds
        },
    )


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _times(bounds: dict[str, Any]) -> settings_module.Times:
    return settings_module.Times(
        heartbeat=_HEARTBEAT,
        election=_ELECTION,
        max_lease=_MAX_LEASE,
        renew=_RENEW,
        relay_renew=_RELAY_RENEW,
        move_after=_MOVE_AFTER,
        replace_after=_REPLACE_AFTER,
        balance_after=0.0,
        stream_heartbeat=_STREAM_HEARTBEAT,
        stream_silence=_STREAM_SILENCE,
        stream_connect=_STREAM_CONNECT,
        control_try=_CONTROL_TRY,
        key_grace=_key_grace(bounds),
    )


def _key_grace(bounds: dict[str, Any]) -> float:
    """Returns for how long keys outlive the lease on the configuration.

    Where the platform sets no strict bound, an entry that is cut off may
    serve on with the keys that it knows.
    """
    if not bounds.get("strictRevocation"):
        return math.inf
    return max(0.0, _KEY_SHARE * bounds["revokeMs"] / 1000.0 - _MAX_LEASE)


def _control_role(
    fields: dict[str, Any], seeds: list[str]
) -> settings_module.Control:
    """Returns the control role; members are known by their addresses alone.

    The names of the platform's machines are known for the own machine only,
    so an instance is called by its address, and the name is its label.
    """
    ports = fields["internalPortRange"]
    losses = fields.get("faultTolerance", {}).get("machines", 1)
    return settings_module.Control(
        data=fields["dataDirectory"],
        admin=f"{fields['ip']}:{ports[0] + 1}",
        members=[
            settings_module.Member(_host(seed), seed, "") for seed in seeds
        ],
        founder=bool(fields.get("bootstrap")),
        label=fields["nodeName"],
        group_size=2 * max(1, losses) + 1,
        keeps_inodes=False,
    )
