"""Switches for the mechanisms that choose an upstream.

The composition root passes the policy down, so that an experiment or a real
process can run without one of them. All are on by default.
"""

import json5
import msgspec

from mintcleat.domain import errors


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an entry considers when it admits and places requests.

    Attributes:
        shared_load: Requests that other entries have running.
        resident: Which upstream has the program's cache.
        standing: Failure penalties of upstreams.
        silence: Upstreams that send nothing while requests are pending.
        speed: Latency of upstreams compared with their peers.
        turn_time: Expected time to the end of a turn, from memory and speed
            of upstreams; without it, the number of requests decides.
        admission: Admission of turns by the leader, where it is enabled.
        quarantine: Refusal of requests that crash upstreams.
        ends: Confirmation of answers whose end nothing marks.
    """

    shared_load: bool = True
    resident: bool = True
    standing: bool = True
    silence: bool = True
    speed: bool = True
    turn_time: bool = True
    admission: bool = True
    quarantine: bool = True
    ends: bool = True


DEFAULT = Policy()


def parse(text: str) -> Policy:
    """Parses a policy from JSON with comments.

    Raises:
        errors.InvalidSettings: The text is invalid, or a field is unknown or
            not a boolean.
    """
    try:
        return msgspec.convert(json5.loads(text), Policy)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.InvalidSettings(
            f"The policy is invalid: {error}",
            remedy="docs/reference/experiments.md lists the mechanisms.",
        ) from None
