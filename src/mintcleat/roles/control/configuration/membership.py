"""Keeps the table of members on each control instance, leader or follower."""

from collections.abc import Callable

from mintcleat.configuration import lease
from mintcleat.configuration import members
from mintcleat.domain import operator_messages
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import relay as config_relay

# Changes within this time reach the nodes as one message, so a burst of
# registrations after a failover costs only a few messages for each node.
COALESCE_SECONDS = 0.25


class Membership:
    """The table of members, its expiry and the operators' view of it.

    Attributes:
        notified_version: Version of the table at the last `tick`.
    """

    def __init__(
        self, timers: timer_ports.Timers, times: lease.Times = lease.DEFAULT
    ) -> None:
        self.timers = timers
        self.table = members.Table(times)
        self.notified_version = 0

    def tick(self) -> bool:
        """Removes expired members; returns whether the table has changed."""
        self.table.expire(self.timers.now())
        changed = self.table.version != self.notified_version
        self.notified_version = self.table.version
        return changed

    def on_elected(self) -> None:
        """Keeps the members received from the former leader for a while.

        The relays report their members to the new leader meanwhile. A new
        leader that began with an empty table would announce to the nodes that
        almost every upstream had left.
        """
        grace = 2 * self.table.times.member_lease
        self.table.expire_source(config_relay.LEADER, self.timers.now(), grace)

    def views(
        self, draining: Callable[[str, str], bool]
    ) -> list[operator_messages.UpstreamView]:
        """Returns the upstreams for operators, sorted by instance."""
        now = self.timers.now()
        views = []
        for name in sorted(self.table.view):
            item = self.table.view[name]
            views.append(
                operator_messages.UpstreamView(
                    item,
                    draining(name, item.failure_domain),
                    self.table.duplicates(name, now),
                    len(self.table.starts.get(name, ())),
                )
            )
        return views
