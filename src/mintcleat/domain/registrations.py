"""Validation of the registrations of upstreams.

Registrations arrive over the network unauthenticated. One that is not valid
as a whole is rejected. Applied in part, it could direct requests to an
address without a server, or evict a healthy upstream with the same id or
address.
"""

from collections.abc import Mapping
import ipaddress
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from mintcleat.domain import errors
from mintcleat.domain import member_messages

READY = "ready"
DRAINING = "draining"
# Every node stores the names, so their length is bounded.
MAX_NAME_LENGTH = 200
# Largest integer that the log and all peers can encode.
MAX_INTEGER = 2**63 - 1
_MAX_SLOTS = 1_000_000
_MAX_COLD_SECONDS = 86_400.0
_PORTS = range(1, 65_536)

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Fields(msgspec.Struct, forbid_unknown_fields=True):
    """Fields of a registration; types are checked without conversion."""

    upstream: _Name
    service: _Name
    address: _Name
    failure_domain: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    sequence: _Count
    cold: Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_SECONDS)] = 0.0
    started: _Count = 0


def parse(
    upstream: str, fields: Mapping[str, Any]
) -> member_messages.Registration:
    """Returns a registration from its fields.

    Args:
        upstream: Id of the upstream.
        fields: The other fields of a `Registration` by name, as decoded JSON.

    Raises:
        errors.BadRequest: A field is missing, unknown, of the wrong type or
            out of range; the detail names it.
    """
    try:
        read = msgspec.convert({**fields, "upstream": upstream}, _Fields)
    except (msgspec.ValidationError, UnicodeError) as error:
        raise errors.BadRequest(f"Invalid registration: {error}.") from None
    if not _is_address(read.address):
        raise errors.BadRequest(
            "Invalid registration: `$.address` must be IP:PORT, not "
            f"{read.address!r}."
        )
    return member_messages.Registration(*msgspec.structs.astuple(read))


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    return is_number and len(port) <= 5 and int(port) in _PORTS
