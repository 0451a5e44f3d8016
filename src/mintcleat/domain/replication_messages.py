"""Messages between the replicas of control instances.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple


class ReplicationFrame(NamedTuple):
    """Part of a frame between replicas; `consensus.messages` decodes it.

    Attributes:
        more: Whether the next message of the exchange goes on with it.
    """

    payload: bytes
    more: bool = False
