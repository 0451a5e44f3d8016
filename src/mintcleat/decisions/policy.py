"""Which mechanisms decide where a request goes, as one value.

The composition root hands it down, so that an experiment or a real process
runs without one of them. Each is on unless an operator's measurement says
otherwise.
"""

import json5
import msgspec

from mintcleat.domain import errors


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an entry goes by when it chooses an upstream.

    Attributes:
        shared_load: Requests that other entries have running.
        resident: Where the program's cache is.
        standing: Failures that an upstream had.
        silence: How long nothing came from an upstream.
        speed: How slow an upstream is against its peers.
    """

    shared_load: bool = True
    resident: bool = True
    standing: bool = True
    silence: bool = True
    speed: bool = True


DEFAULT = Policy()


def parse(text: str) -> Policy:
    """Returns the policy that a JSON text with comments describes.

    Raises:
        errors.InvalidSettings: A field is unknown or no boolean.
    """
    try:
        return msgspec.convert(json5.loads(text), Policy)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.InvalidSettings(
            f"No policy: {error}",
            remedy="docs/reference/experiments.md lists the mechanisms.",
        ) from None
