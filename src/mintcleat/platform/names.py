"""Names of routes, services and customers in the manifest.

Operators of the platform choose names freely, while a manifest restricts them.
"""

import hashlib
import re
from urllib import parse as url

from mintcleat.domain import manifest_errors

_FITTING = re.compile(manifest_errors.NAME_PATTERN)
_DIGEST_BYTES = 16
# Form of the names that are returned for others. A name that has it by chance
# is replaced too, so that two names never become the same one.
_REPLACED = re.compile(r".*-[0-9a-f]{32}\Z")
_UNFIT = re.compile(r"[^A-Za-z0-9]+")
_READABLE_LENGTH = 40
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")


def in_manifest(name: str) -> str:
    """Returns the name that stands for a name in the manifest.

    Most names stand for themselves. Others are replaced by their readable part
    and a digest.
    """
    if _FITTING.match(name) and not _REPLACED.match(name):
        return name
    digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
    readable = _UNFIT.sub("-", name[:_READABLE_LENGTH]).strip("-") or "name"
    return f"{readable}-{digest.hexdigest()}"


def in_header(name: str) -> str:
    """Returns a name as the value of a header field, in UTF-8.

    If it has control characters, which can't be sent, it is percent-encoded.
    """
    if _CONTROL.search(name):
        return url.quote(name, safe="")
    return name.encode().decode("latin-1")
