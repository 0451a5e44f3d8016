"""A daemon's settings: JSON with comments, every fault reported at once."""

import pathlib
from typing import Any
from typing import Literal
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import json5
import msgspec

from mintcleat.adapters import streams
from mintcleat.domain import errors

Role = Literal["entry", "sidecar", "control"]


class Member(msgspec.Struct, frozen=True):
    """A control instance; `address` is that of its streams."""

    instance: str
    address: str
    failure_domain: str
    region: str = ""


class Times(msgspec.Struct, frozen=True):
    """Times of leases, heartbeats and elections, in seconds.

    Shorter ones bring a change into force sooner after a loss, and cost more
    messages. The first five are explained in `configuration.lease`.

    Attributes:
        heartbeat: Between two heartbeats of the replicated logs.
        election: Shortest election timeout; the longest is twice this.
        replace_after: Silence after which a spare replaces a control
            instance in its groups; 0 for never.
        balance_after: Time of leading after which a group goes to the
            instance that should lead it; 0 for never.
        stream_heartbeat: Longest time for which a stream is quiet.
        stream_silence: Silence after which a stream's peer counts as lost.
        stream_connect: Time after which a peer that takes no connection is
            given up. A packet that is lost on the way is sent again after a
            second only; a new connection is quicker.
        control_try: Time after which another control instance is asked.
        key_grace: Time after the end of its lease for which a node goes on
            taking customers' keys; 0 for none.
    """

    max_lease: float = 4.0
    renew: float = 1.0
    relay_renew: float = 0.5
    move_after: float = 2.0
    member_lease: float = 4.0
    heartbeat: float = 0.1
    election: float = 0.5
    replace_after: float = 120.0
    balance_after: float = 30.0
    stream_heartbeat: float = 2.0
    stream_silence: float = 6.0
    stream_connect: float = 2.0
    control_try: float = 2.0
    key_grace: float = 0.0


class Control(msgspec.Struct, frozen=True):
    """The control role.

    Attributes:
        data: Folder on the disk; made when missing.
        admin: `IP:PORT` of the operators' HTTP interface.
        members: The control instances that form the groups at first.
        token_file: File with the operators' token, the same on every control
            instance; without it each makes one in its data folder.
        founder: Whether this instance may start the groups. False for one
            that joins a running system; its `members` only tell where to ask.
        label: What operators call the instance, if not by its name.
        group_size: Instances that hold each group, where there are enough;
            twice the losses to bear, plus one.
        keeps_inodes: Whether files in `data` keep their inode numbers over a
            restart; then a restored backup is told from the disk itself.
    """

    data: str
    admin: str
    members: list[Member] = []
    token_file: str = ""
    founder: bool = True
    label: str = ""
    group_size: int = 3
    keeps_inodes: bool = True


class Entry(msgspec.Struct, frozen=True):
    """The entry role.

    Attributes:
        http: The callers' `IP:PORT`.
        notice_seconds: Time between a false /readyz and the first refusal on
            a planned stop; longer than the balancer's polling interval.
    """

    http: str
    notice_seconds: float = 1.0


class Sidecar(msgspec.Struct, frozen=True):
    """The sidecar role.

    Attributes:
        upstream: `IP:PORT` of the upstream beside it.
        capacity: Calls that the upstream takes at once; 0 asks the engine.
            What else an engine can do, it announces itself.
    """

    upstream: str
    service: str
    kind: Literal["model", "plain"]
    capacity: int = 16


class Logs(msgspec.Struct, frozen=True):
    """Where the line between seen and unseen lies, and the form of a line."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["text", "json"] = "text"


class Settings(msgspec.Struct, frozen=True):
    """One process.

    Attributes:
        listen: `IP:PORT` for the streams between the system's processes.
        control: Stream addresses of the control instances.
        program_groups: The same on every process of a deployment.
        stop_seconds: Time that a planned stop gives to what is under way.
        times: Times of leases, heartbeats and elections.
        metrics: `IP:PORT` of a scrape of its own; an entry has one anyway.
    """

    instance: str
    failure_domain: str
    listen: str
    roles: list[Role]
    control: list[str]
    region: str = ""
    program_groups: int = 8
    stop_seconds: float = 60.0
    metrics: str = ""
    times: Times = Times()
    logs: Logs = Logs()
    entry: Entry | None = None
    sidecar: Sidecar | None = None
    control_role: Control | None = None


_SECTION_OF = {
    "entry": "entry",
    "sidecar": "sidecar",
    "control": "control_role",
}
_MAY_BE_NEVER = ("replace_after", "balance_after", "key_grace")
_ADDRESS_FIELDS = {"listen", "http", "upstream", "admin", "address", "metrics"}


def load(path: pathlib.Path) -> Settings:
    """Returns the settings in a file.

    Raises:
        ExceptionGroup: Of `errors.InvalidSettings`, one for each fault.
    """
    try:
        value = json5.loads(path.read_text())
    except OSError as error:
        reading = fault(
            str(path), f"can't be read: {error.strerror}", "Name a file."
        )
        raise _group([reading]) from None
    except ValueError as error:
        raise _group([fault("", f"is no JSON: {error}")]) from None
    return parse(value)


def parse(value: Any) -> Settings:
    """Returns the settings in a decoded file; faults as in `load`."""
    faults = list(_struct_faults(Settings, value, ""))
    if not faults:
        faults = list(_meaning_faults(value))
    if faults:
        raise _group(faults)
    return msgspec.convert(value, Settings)


def fault(path: str, what: str, remedy: str = "") -> errors.InvalidSettings:
    """Returns the error for one field."""
    return errors.InvalidSettings(
        f"{path or 'settings'}: {what}.", remedy=remedy
    )


def _group(faults: list[errors.InvalidSettings]) -> ExceptionGroup:
    return ExceptionGroup(f"{len(faults)} faults in the settings", faults)


def _struct_faults(kind: type, value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        yield fault(path, "must be an object")
        return
    hints = get_type_hints(kind)
    for name in sorted(value.keys() - hints.keys()):
        known = ", ".join(sorted(hints))
        yield fault(_join(path, name), "is unknown", f"Use one of: {known}.")
    required = {
        field.name for field in msgspec.structs.fields(kind) if field.required
    }
    for name in sorted(required - value.keys()):
        yield fault(_join(path, name), "is missing", f"Add `{name}`.")
    for name in hints.keys() & value.keys():
        yield from _value_faults(hints[name], value[name], _join(path, name))


def _value_faults(kind: Any, value: Any, path: str) -> Any:
    kind = _without_none(kind)
    if get_origin(kind) is list:
        if not isinstance(value, list):
            yield fault(path, "must be a list")
            return
        (item,) = get_args(kind)
        for number, one in enumerate(value):
            yield from _value_faults(item, one, f"{path}[{number}]")
        return
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(kind, value, path)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield fault(path, str(error).rstrip(".").lower())
        return
    field = path.rpartition(".")[2]
    if field in _ADDRESS_FIELDS and (value or field != "metrics"):
        yield from _address_faults(value, path)


def _meaning_faults(value: dict[str, Any]) -> Any:
    for number, address in enumerate(value["control"]):
        yield from _address_faults(address, f"control[{number}]")
    if not value["roles"]:
        yield fault("roles", "is empty", "Name entry, sidecar or control.")
    if not value["control"]:
        yield fault("control", "is empty", "Name the control instances.")
    for role in value["roles"]:
        section = _SECTION_OF[role]
        if value.get(section) is None:
            yield fault(section, f"is missing for the role {role}")
    for name, seconds in (value.get("times") or {}).items():
        if seconds < 0 or (seconds == 0 and name not in _MAY_BE_NEVER):
            yield fault(f"times.{name}", "must be more than 0")
    if value.get("program_groups", 1) < 1:
        yield fault("program_groups", "must be 1 or more")
    if value.get("stop_seconds", 0) < 0:
        yield fault("stop_seconds", "must not be negative")


def _address_faults(value: str, path: str) -> Any:
    try:
        host, port = streams.split_address(value)
        numbers = [int(part) for part in host.split(".")]
    except ValueError:
        numbers, port = [], -1
    right = len(numbers) == 4 and all(0 <= part < 256 for part in numbers)
    if not right or not 0 <= port < 65536:
        yield fault(path, f"{value!r} is no IP:PORT", "Write 127.0.0.1:8080.")


def _without_none(kind: Any) -> Any:
    args = [arg for arg in get_args(kind) if arg is not type(None)]
    if type(None) in get_args(kind) and len(args) == 1:
        return args[0]
    return kind


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
