"""Messages between the replicas of control instances.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple


class ReplicationFrame(NamedTuple):
    """A frame between replicas, or a part of it.

    Attributes:
        payload: Bytes that `consensus.messages` decodes.
        more: Whether the next message of the exchange continues the frame.
    """

    payload: bytes
    more: bool = False
