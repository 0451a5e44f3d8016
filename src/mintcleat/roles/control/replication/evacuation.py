"""Evacuation of a control instance: moves all replicas off it.

The replicas are moved by the groups' repair: each leader replaces a voter on
an evacuated instance by one elsewhere, and adds the new voter before it
removes the old one. This module checks whether an instance may be evacuated,
and whether its evacuation is complete.
"""

import json
from typing import Any

from mintcleat.domain import errors
from mintcleat.domain import operator_messages
from mintcleat.ports import log as log_ports
from mintcleat.ports import streams as stream_ports

# Number of instances that groups need to tolerate the loss of one.
MIN_INSTANCES = 3
# An instance that leads a group answers within a few milliseconds. One that is
# cut off must not use up the operator's timeout of one second.
_ASK_SECONDS = 0.3


class Evacuation:
    """Answers operators who evacuate a control instance."""

    def __init__(
        self, log: log_ports.ReplicatedLog, streams: stream_ports.Streams
    ) -> None:
        self.log = log
        self.streams = streams

    def find(self, label: str) -> str:
        """Returns the name of the live instance with a name or label.

        Raises:
            errors.UnknownInstance: No live instance has it.
        """
        for name, known_as in self.log.live_instances().items():
            if label in (name, known_as):
                return name
        raise errors.UnknownInstance(f"No control instance {label}.")

    def check(self, instance: str, evacuated: frozenset[str]) -> None:
        """Refuses an evacuation that would leave too few instances.

        Args:
            instance: The instance to evacuate.
            evacuated: Control instances that are evacuated already.

        Raises:
            errors.TooFewInstances: The remaining instances could not tolerate
                the loss of one more.
        """
        left = set(self.log.live_instances()) - evacuated - {instance}
        if len(left) < MIN_INSTANCES:
            raise errors.TooFewInstances(
                f"Without {instance} only {len(left)} instances are left, "
                f"and the groups need {MIN_INSTANCES}."
            )

    def is_complete(self, instance: str, evacuated: frozenset[str]) -> bool:
        """Returns whether an evacuated instance has no replica any more.

        The leader of each group is asked, because another replica may not
        know yet that the group has moved, or moved back.
        """
        if instance not in evacuated:
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
