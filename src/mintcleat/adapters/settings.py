"""Settings files of daemons: JSON with comments, validated as a whole."""

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
    """A control instance.

    Attributes:
        address: `IP:PORT` of its streams.
    """

    instance: str
    address: str
    failure_domain: str
    region: str = ""


class Times(msgspec.Struct, frozen=True):
    """Times of leases, heartbeats and elections, in seconds.

    Shorter times make a configuration change take effect sooner after a
    failure, at the cost of more messages. The first five are explained in
    `configuration.lease`.

    Attributes:
        heartbeat: Interval of the heartbeats of replicated logs.
        election: Minimum election timeout; the maximum is twice as long.
        replace_after: Time without contact after which a spare instance
            replaces a control instance in its groups; 0 disables this.
        balance_after: Time that an instance leads a group before leadership is
            transferred to the preferred leader; 0 disables this.
        stream_heartbeat: Time without sending after which a stream connection
            carries a heartbeat.
        stream_silence: Time without receiving a byte after which a stream
            connection is closed.
        stream_connect: Timeout for connecting to a peer. A lost packet is
            retransmitted only after a second; a new connection is quicker.
        control_try: Time without a reply after which another control instance
            is asked.
        key_grace: Time after its lease has expired during which a node still
            accepts customers' keys; 0 disables this.
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
    """Settings of the control role.

    Attributes:
        data: Path of the data folder, which is created if it does not exist.
        admin: `IP:PORT` of the operators' HTTP interface.
        members: The control instances that form the groups initially.
        token_file: File with the operators' token, which must be the same on
            all control instances. If empty, each instance creates a token in
            its data folder.
        founder: Whether this instance may create the groups. False for an
            instance that joins a running system; `members` then only lists
            the instances to contact.
        label: Name of the instance for operators, if it differs.
        group_size: Number of replicas of each group, if there are enough
            instances: 2 * f + 1 to tolerate f failures.
        keeps_inodes: Whether files in `data` keep their inode numbers when the
            instance restarts; a restored backup is then detected.
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
    """Settings of the entry role.

    Attributes:
        http: `IP:PORT` of the callers' HTTP interface.
        notice_seconds: On a planned stop, time from when /readyz reports 503
            until requests are refused; must exceed the interval at which the
            load balancer polls it.
    """

    http: str
    notice_seconds: float = 1.0


class Sidecar(msgspec.Struct, frozen=True):
    """Settings of the sidecar role.

    Attributes:
        upstream: `IP:PORT` of the sidecar's upstream.
        capacity: Maximum number of concurrent calls; 0 uses the number that
            the engine announces.
    """

    upstream: str
    service: str
    kind: Literal["model", "plain"]
    capacity: int = 16


class Logs(msgspec.Struct, frozen=True):
    """Minimum level and format of log lines."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["text", "json"] = "text"


class Settings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes:
        listen: `IP:PORT` for streams from other processes of the system.
        control: Stream addresses of the control instances.
        program_groups: Number of program groups; must be the same in all
            processes of a deployment.
        stop_seconds: Time that requests in progress get on a planned stop.
        times: Times of leases, heartbeats and elections.
        metrics: `IP:PORT` of a separate metrics endpoint; empty for none. An
            entry always serves metrics on its HTTP interface.
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


_SECTIONS = {
    "entry": "entry",
    "sidecar": "sidecar",
    "control": "control_role",
}
_ZERO_ALLOWED = ("replace_after", "balance_after", "key_grace")
_ADDRESS_FIELDS = {"listen", "http", "upstream", "admin", "address", "metrics"}


def load(path: pathlib.Path) -> Settings:
    """Loads a settings file.

    Raises:
        ExceptionGroup: Contains one `errors.InvalidSettings` per error.
    """
    try:
        value = json5.loads(path.read_text())
    except OSError as error:
        unreadable = field_error(
            str(path),
            f"can't be read: {error.strerror}",
            "Give the path of a readable settings file.",
        )
        raise _error_group([unreadable]) from None
    except ValueError as error:
        raise _error_group(
            [field_error("", f"is not valid JSON: {error}")]
        ) from None
    return parse(value)


def parse(value: Any) -> Settings:
    """Returns the settings in a decoded file; raises errors as `load` does."""
    found_errors = list(_struct_errors(Settings, value, ""))
    if not found_errors:
        found_errors = list(_semantic_errors(value))
    if found_errors:
        raise _error_group(found_errors)
    return msgspec.convert(value, Settings)


def field_error(
    path: str, what: str, remedy: str = ""
) -> errors.InvalidSettings:
    """Returns the error of one field."""
    return errors.InvalidSettings(
        f"{path or 'settings'}: {what}.", remedy=remedy
    )


def _error_group(found_errors: list[errors.InvalidSettings]) -> ExceptionGroup:
    return ExceptionGroup(
        f"{len(found_errors)} errors in the settings", found_errors
    )


def _struct_errors(kind: type, value: Any, path: str) -> Any:
    if not isinstance(value, dict):
        yield field_error(path, "must be an object")
        return
    hints = get_type_hints(kind)
    for name in sorted(value.keys() - hints.keys()):
        known = ", ".join(sorted(hints))
        yield field_error(
            _join(path, name), "is unknown", f"Use one of: {known}."
        )
    required = {
        field.name for field in msgspec.structs.fields(kind) if field.required
    }
    for name in sorted(required - value.keys()):
        yield field_error(_join(path, name), "is missing", f"Add `{name}`.")
    for name in hints.keys() & value.keys():
        yield from _value_errors(hints[name], value[name], _join(path, name))


def _value_errors(kind: Any, value: Any, path: str) -> Any:
    kind = _unwrap_optional(kind)
    if get_origin(kind) is list:
        if not isinstance(value, list):
            yield field_error(path, "must be a list")
            return
        (item,) = get_args(kind)
        for index, element in enumerate(value):
            yield from _value_errors(item, element, f"{path}[{index}]")
        return
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_errors(kind, value, path)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield field_error(path, str(error).rstrip(".").lower())
        return
    field = path.rpartition(".")[2]
    if field in _ADDRESS_FIELDS and (value or field != "metrics"):
        yield from _address_errors(value, path)


def _semantic_errors(value: dict[str, Any]) -> Any:
    for index, address in enumerate(value["control"]):
        yield from _address_errors(address, f"control[{index}]")
    if not value["roles"]:
        yield field_error("roles", "is empty", "Add entry, sidecar or control.")
    if not value["control"]:
        yield field_error(
            "control", "is empty", "Add the addresses of the control instances."
        )
    for role in value["roles"]:
        section = _SECTIONS[role]
        if value.get(section) is None:
            yield field_error(section, f"is missing for the role {role}")
    for name, seconds in (value.get("times") or {}).items():
        if seconds < 0 or (seconds == 0 and name not in _ZERO_ALLOWED):
            yield field_error(f"times.{name}", "must be more than 0")
    if value.get("program_groups", 1) < 1:
        yield field_error("program_groups", "must be 1 or more")
    if value.get("stop_seconds", 0) < 0:
        yield field_error("stop_seconds", "must not be negative")


def _address_errors(value: str, path: str) -> Any:
    try:
        host, port = streams.split_address(value)
        numbers = [int(part) for part in host.split(".")]
    except ValueError:
        numbers, port = [], -1
    valid = len(numbers) == 4 and all(0 <= part < 256 for part in numbers)
    if not valid or not 0 <= port < 65536:
        yield field_error(
            path,
            f"{value!r} is not of the form IP:PORT",
            "Use an address such as 127.0.0.1:8080.",
        )


def _unwrap_optional(kind: Any) -> Any:
    args = [arg for arg in get_args(kind) if arg is not type(None)]
    if type(None) in get_args(kind) and len(args) == 1:
        return args[0]
    return kind


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
