"""Operators' actions on the control instances and their groups.

The groups are led by different instances, so an action is sent to all control
instances, and each acts on the groups that it leads.
"""

import json
from typing import Any

from mintcleat.domain import errors
from mintcleat.domain import identities
from mintcleat.domain import operator_messages
from mintcleat.ports import streams as streams_port
from mintcleat.roles.control.replication import replication
from mintcleat.roles.control.replication import status as replication_status

_ASK_SECONDS = 5.0


class ControlActions:
    """Sends actions to all instances and serves them; see `admin_http`.

    Attributes:
        configured: Addresses of the control instances in the settings.
    """

    def __init__(
        self,
        instance: str,
        log: replication.GroupLog,
        streams: streams_port.Streams,
        configured: list[str],
    ) -> None:
        """Starts serving actions.

        Args:
            instance: This instance's name.
            log: The replicated log of this instance.
            streams: Connects this instance to the others.
            configured: Addresses of the control instances in the settings.
        """
        self.instance = instance
        self.log = log
        self.streams = streams
        self.configured = configured
        streams.handle(operator_messages.ControlAction, self._serve_action)
        streams.handle(operator_messages.ShowGroups, self._serve_groups)

    def addresses(self) -> list[str]:
        """Returns the addresses of all control instances, without duplicates.

        The live instances are included because one that replaced another may
        be missing from the settings, and it can be the leader that an action
        has to reach.
        """
        return list(dict.fromkeys([*self.configured, *self.log.addresses()]))

    def status(self) -> list[dict[str, Any]]:
        """Returns one row for each group, as its leader reports it.

        If no leader answers, the row of another instance is returned, so that
        operators see a group that has lost its quorum.
        """
        rows: dict[str, dict[str, Any]] = {}
        for address in self.addresses():
            for text in self._groups_at(address):
                row = json.loads(text)
                known = rows.get(row["group"])
                if known is None or row["role"] == "leader":
                    rows[row["group"]] = row
        return [rows[group] for group in sorted(rows)]

    def replace(
        self, old: str, new: str, address: str, failure_domain: str
    ) -> str:
        """Starts replacing a control instance in every group that has it.

        Args:
            old: Name of the instance to remove.
            new: Name of the instance that replaces it.
            address: Not used; the new instance announces its own address.
            failure_domain: Not used, for the same reason.

        Raises:
            errors.BadRequest: The replacement started in no group.
        """
        action = operator_messages.ControlAction("replace", old, new)
        answers = [self._ask(at, action) for at in self.addresses()]
        started = [detail for detail in answers if detail.startswith("began")]
        if not started:
            raise errors.BadRequest(
                "The replacement started in no group: "
                + "; ".join(answers)
                + ".",
                remedy="Start the new instance first, then see "
                "`mintcleat control status`.",
            )
        return "; ".join(started)

    def snapshot(self) -> str:
        """Starts snapshots of all groups on every control instance."""
        action = operator_messages.ControlAction("snapshot")
        return "; ".join(self._ask(at, action) for at in self.addresses())

    def _ask(
        self, address: str, action: operator_messages.ControlAction
    ) -> str:
        try:
            return self.streams.ask(address, action, _ASK_SECONDS).detail
        except errors.MintcleatError as error:
            return f"{address}: {error.detail}"

    def _groups_at(self, address: str) -> list[str]:
        try:
            request = operator_messages.ShowGroups()
            return self.streams.ask(address, request, _ASK_SECONDS).rows
        except errors.MintcleatError:
            return []

    def _serve_action(
        self,
        exchange: streams_port.Exchange,
        action: operator_messages.ControlAction,
    ) -> None:
        match action.action:
            case "replace":
                groups = self.log.replace("", action.old, action.new)
                detail = f"began {len(groups)} groups at {self.instance}"
                if not groups:
                    detail = f"{self.instance} had nothing to replace"
            case "snapshot":
                groups = self.log.snapshot()
                detail = f"{self.instance} took {len(groups)} snapshots"
            case _:
                raise errors.BadRequest(
                    f"Unknown control action {action.action}; expected "
                    "'replace' or 'snapshot'."
                )
        exchange.send(identities.Done(detail))

    def _serve_groups(
        self,
        exchange: streams_port.Exchange,
        message: operator_messages.ShowGroups,
    ) -> None:
        rows = [json.dumps(_row(status)) for status in self.log.status()]
        exchange.send(operator_messages.Groups(rows))


def _row(status: replication_status.GroupStatus) -> dict[str, Any]:
    """Returns a group's status as a JSON object; times are in seconds."""
    return {
        "group": status.group,
        "role": status.role,
        "leader": status.leader,
        "term": status.term,
        "commit": status.commit,
        "applied": status.applied,
        "lease_left": round(status.lease_left, 3),
        "voters": [peer.replica.instance for peer in status.voters],
        "settled": status.settled,
        "learners": [peer.replica.instance for peer in status.learners],
        "silent_for": {
            name: round(seconds, 2) for name, seconds in status.contact.items()
        },
    }
