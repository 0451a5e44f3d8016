"""Keeps the table of members on a control instance, leader or not."""

from collections.abc import Callable

from mintcleat.configuration import lease
from mintcleat.configuration import members
from mintcleat.domain import operator_messages
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import relay as config_relay

# Changes within this time reach the nodes as one message. A storm of
# registrations after a failover then costs a few messages for each node.
COALESCE = 0.25


class Membership:
    """The table, its expiry and the operators' view of it.

    Attributes:
        told: Version of the table that the nodes were woken for.
    """

    def __init__(self, timers: timer_ports.Timers) -> None:
        self.timers = timers
        self.table = members.Table()
        self.told = 0

    def tick(self) -> bool:
        """Drops what expired; tells whether nodes must hear of a change."""
        self.table.expire(self.timers.now())
        changed = self.table.version != self.told
        self.told = self.table.version
        return changed

    def on_elected(self) -> None:
        """Keeps what the former leader told until the relays report.

        A new leader that began with an empty table would tell the nodes that
        almost every upstream had left.
        """
        grace = 2 * lease.MEMBER_LEASE
        self.table.expire_source(config_relay.LEADER, self.timers.now(), grace)

    def views(
        self, draining: Callable[[str, str], bool]
    ) -> list[operator_messages.UpstreamView]:
        """Returns the upstreams for operators, sorted by instance."""
        now = self.timers.now()
        found = []
        for name in sorted(self.table.view):
            item = self.table.view[name]
            found.append(
                operator_messages.UpstreamView(
                    item,
                    draining(name, item.failure_domain),
                    self.table.duplicates(name, now),
                    len(self.table.starts.get(name, ())),
                )
            )
        return found
