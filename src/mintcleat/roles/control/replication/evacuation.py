"""Taking a control instance out of service without losing a replica.

The moving itself is the groups' own repair: each leader replaces a voter on
an emptied instance by one elsewhere, add first, remove after. Here is who may
be emptied, and how far it is.
"""

import json
from typing import Any

from mintcleat.domain import errors
from mintcleat.domain import operator_messages
from mintcleat.ports import log as log_ports
from mintcleat.ports import streams as stream_ports

# Groups need this many instances to bear one loss.
MIN_INSTANCES = 3
# An instance that leads a group answers within a few milliseconds; one that
# is cut off must not use up the operator's patience of a second.
_ASK_SECONDS = 0.3


class Evacuation:
    """Answers operators who empty a control instance."""

    def __init__(
        self, log: log_ports.ReplicatedLog, streams: stream_ports.Streams
    ) -> None:
        self.log = log
        self.streams = streams

    def find(self, label: str) -> str:
        """Returns the instance of a name or label.

        Raises:
            errors.UnknownInstance: None was heard lately.
        """
        for name, known_as in self.log.live_instances().items():
            if label in (name, known_as):
                return name
        raise errors.UnknownInstance(f"No control instance {label}.")

    def check(self, instance: str, emptied: frozenset[str]) -> None:
        """Refuses when the instances that would be left are too few.

        Raises:
            errors.TooFewInstances: They could not bear another loss.
        """
        left = set(self.log.live_instances()) - emptied - {instance}
        if len(left) < MIN_INSTANCES:
            raise errors.TooFewInstances(
                f"Without {instance} only {len(left)} instances are left, "
                f"and the groups need {MIN_INSTANCES}."
            )

    def done(self, instance: str, emptied: frozenset[str]) -> bool:
        """Returns whether no group has a replica on an emptied instance.

        Each group's own leader is asked: a replica elsewhere may not have
        heard yet that a group moved, or moved back.
        """
        if instance not in emptied:
            return False
        missing = set(self.log.groups())
        for address in self.log.addresses():
            for row in self._led_at(address):
                if instance in (*row["voters"], *row["learners"]):
                    return False
                if row["settled"]:
                    missing.discard(row["group"])
            if not missing:
                return True
        return False

    def _led_at(self, address: str) -> list[dict[str, Any]]:
        try:
            answer = self.streams.ask(
                address, operator_messages.ShowGroups(), _ASK_SECONDS
            )
        except errors.MintcleatError:
            return []
        rows = [json.loads(text) for text in answer.rows]
        return [row for row in rows if row["lease_left"] > 0]
