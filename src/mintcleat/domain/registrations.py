"""Reads what an upstream says of itself, from whoever wrote it.

Registrations come over the network without any proof of their sender. One
that can't be read in full names no upstream: taken half, it would send
requests to an address where nobody is, or put a healthy upstream out of use
that has the same id or address.
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
# Longer names are nobody's; each is kept by every node.
_LONGEST_NAME = 200
# What the log and every peer can still carry as a whole number.
MAX_INTEGER = 2**63 - 1
_MOST_SLOTS = 1_000_000
_LONGEST_COLD = 86_400.0
_PORTS = range(1, 65_536)

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_LONGEST_NAME)]
_Text = Annotated[str, msgspec.Meta(max_length=_LONGEST_NAME)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Fields(msgspec.Struct, forbid_unknown_fields=True):
    """A registration as its sender gives it; no type is converted."""

    upstream: _Name
    service: _Name
    address: _Name
    failure_domain: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal["ready", "draining"]
    sequence: _Count
    cold: Annotated[float, msgspec.Meta(ge=0, le=_LONGEST_COLD)] = 0.0
    started: _Count = 0


def parse(
    upstream: str, fields: Mapping[str, Any]
) -> member_messages.Registration:
    """Returns a registration from its fields.

    Args:
        upstream: Id of the upstream.
        fields: The other fields of a `Registration`, by name; values as JSON
            gives them.

    Raises:
        errors.BadRequest: A field is missing, unknown, of another type or out
            of range; the detail names it.
    """
    try:
        read = msgspec.convert({**fields, "upstream": upstream}, _Fields)
    except (msgspec.ValidationError, UnicodeError) as error:
        raise errors.BadRequest(f"No registration: {error}.") from None
    if not _is_address(read.address):
        raise errors.BadRequest("No registration: `$.address` is no IP:PORT.")
    return member_messages.Registration(*msgspec.structs.astuple(read))


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    plain = port.isascii() and port.isdigit()
    return plain and len(port) <= 5 and int(port) in _PORTS
