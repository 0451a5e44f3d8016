"""What operators do with the control instances and their groups.

The groups are led by different instances, so an action is passed to all and
each acts on the groups that it leads.
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
    """Serves and passes on actions; see `adapters.admin_http`."""

    def __init__(
        self,
        instance: str,
        log: replication.GroupLog,
        streams: streams_port.Streams,
        settled: list[str],
    ) -> None:
        """Starts serving actions.

        Args:
            instance: This instance's name.
            log: Its replicas.
            streams: The way to the others.
            settled: Addresses of the control instances in the settings.
        """
        self.instance = instance
        self.log = log
        self.streams = streams
        self.settled = settled
        streams.handle(operator_messages.ControlAction, self._serve_action)
        streams.handle(operator_messages.ShowGroups, self._serve_groups)

    def addresses(self) -> list[str]:
        """Returns every control instance: those in the settings, and others.

        An instance that replaced one is in no settings file yet, and it may
        be the leader that an action has to reach.
        """
        return list(dict.fromkeys([*self.settled, *self.log.addresses()]))

    def status(self) -> list[dict[str, Any]]:
        """Returns one row for each group, as its leader tells it.

        A group without a leader that answers is told as any instance sees
        it, so that a lost quorum shows.
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

        Raises:
            errors.BadRequest: No group could begin.
        """
        action = operator_messages.ControlAction("replace", old, new)
        told = [self._pass_on(at, action) for at in self.addresses()]
        begun = [detail for detail in told if detail.startswith("began")]
        if not begun:
            raise errors.BadRequest(
                "No group began: " + "; ".join(told) + ".",
                remedy="Start the new instance first, then see "
                "`mintcleat control status`.",
            )
        return "; ".join(begun)

    def snapshot(self) -> str:
        """Takes snapshots of all groups on every control instance."""
        action = operator_messages.ControlAction("snapshot")
        return "; ".join(self._pass_on(at, action) for at in self.addresses())

    def _pass_on(
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
                raise errors.BadRequest(f"No control action {action.action}.")
        exchange.send(identities.Done(detail))

    def _serve_groups(
        self,
        exchange: streams_port.Exchange,
        message: operator_messages.ShowGroups,
    ) -> None:
        rows = [json.dumps(_row(status)) for status in self.log.status()]
        exchange.send(operator_messages.Groups(rows))


def _row(status: replication_status.GroupStatus) -> dict[str, Any]:
    """Returns a group's state as operators see it; times in seconds."""
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
