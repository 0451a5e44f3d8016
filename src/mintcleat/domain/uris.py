"""Spellings of hosts and paths that mean the same (RFC 3986, section 6.2.2).

A caller may write a host in capitals and encode any character of a path. What
selects by a host or a path compares the forms that these functions return.
"""

import re
import string
from urllib import parse as url

_UNRESERVED = frozenset(f"{string.ascii_letters}{string.digits}-._~")
_ENCODED = re.compile("%[0-9A-Fa-f]{2}")
# What a path can't contain as it is.
_MUST_BE_ENCODED = re.compile(r"[^!$-;=@-\[\]_a-z~]")
_PORT = re.compile(r":[0-9]*\Z")


def normal_host(authority: str) -> str:
    """Returns the form in which the host of `HOST` or `HOST:PORT` is compared.

    The port isn't part of it, nor the dot that may end a fully qualified
    domain name. An IPv6 address keeps its brackets.
    """
    host = authority
    match = _PORT.search(authority)
    # What is nothing else than a port or a dot isn't the empty host, which
    # stands for any.
    if match is not None and match.start():
        name = authority[: match.start()]
        # The last colon of an address without brackets isn't that of a port.
        if ":" not in name or name.endswith("]"):
            host = name
    host = normal_path(host).lower()
    return host.removesuffix(".") or host


def normal_path(path: str) -> str:
    """Returns the form in which a path is compared.

    Encoded octets have hexadecimal digits in upper case, and those of
    unreserved characters are decoded. Encoded slashes stay encoded: they don't
    separate segments. Characters that a request has to encode are encoded, as
    operators may write them as they are.
    """
    if _MUST_BE_ENCODED.search(path):
        path = _MUST_BE_ENCODED.sub(_encoded, path)
    if "%" not in path:
        return path
    return _ENCODED.sub(_normal_octet, path)


def _encoded(match: re.Match[str]) -> str:
    return url.quote(match[0], safe="")


def _normal_octet(match: re.Match[str]) -> str:
    character = chr(int(match[0][1:], 16))
    return character if character in _UNRESERVED else match[0].upper()
