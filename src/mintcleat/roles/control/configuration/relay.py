"""Relays the leader's configuration on a control instance that follows.

The relay follows the leader as a node does, and serves its own nodes from the
state that it received. The leases that it grants are parts of its own lease
from the leader, so when it is cut off, its nodes' leases end with its own.
"""

from collections.abc import Callable
from typing import Any

from mintcleat.configuration import directory
from mintcleat.configuration import document
from mintcleat.configuration import lease
from mintcleat.configuration import machine
from mintcleat.configuration import members
from mintcleat.domain import config_messages
from mintcleat.domain import identities
from mintcleat.domain import member_messages
from mintcleat.ports import streams as stream_ports
from mintcleat.ports import timers as timer_ports
from mintcleat.roles.control.configuration import stream as config_stream

# Source name, in the members table, of the members received from the leader.
LEADER = "leader"


class Relay:
    """Follows the leader; a `config_stream.Owner`.

    Attributes:
        base_request: First message of a stream, with zeros for the versions.
        replica: This instance's replica of the config group.
        active: Whether this instance follows, that is, does not lead.
        document: The manifest as last received from the leader.
        sent_announcements: Announcements that the leader was last sent.
        on_change: Called after each change that nodes must be sent.
    """

    def __init__(
        self,
        follow: config_messages.FollowConfiguration,
        replica: machine.ConfigMachine,
        table: members.Table,
        *,
        find_leader: Callable[[], str],
        streams: stream_ports.Streams,
        timers: timer_ports.Timers,
        on_change: Callable[[], None],
        times: lease.Times = lease.DEFAULT,
    ) -> None:
        self.base_request = follow
        self.replica = replica
        self.table = table
        self.find_leader = find_leader
        self.timers = timers
        self.on_change = on_change
        self.active = True
        self.lease = lease.Lease()
        self.document = document.Document()
        self.restrictions = config_messages.Restrictions(0, [], [], [])
        self.directory = directory.Directory()
        self.sent_announcements: dict[
            identities.Incarnation, member_messages.Announcement
        ] = {}
        self.stream = config_stream.ConfigStream(
            self, streams, timers, times.relay_renew, times.move_after
        )

    def select_address(self, attempt: int) -> str:
        """Returns the leader's address; empty while this instance leads."""
        leader = self.find_leader()
        if not self.active or leader == self.base_request.address:
            return ""
        return leader

    def follow_request(self) -> config_messages.FollowConfiguration:
        """Returns the first message of a stream.

        The replica of the config group may be ahead of what the leader's
        stream delivered. Starting from the replica saves sending each relay
        a whole manifest after a failover.
        """
        if self.replica.document.revision > self.document.revision:
            copied = document.Document()
            copied.load(machine.plain_copy(self.replica.document.state()))
            self.document = copied
        replicated = self.replica.directory
        if replicated.version > self.directory.version:
            self.directory = directory.Directory()
            self.directory.load(machine.plain_copy(replicated.state()))
        return self.base_request._replace(
            revision=self.document.revision, directory=self.directory.version
        )

    def applied_revision(self) -> int:
        """Returns the revision received from the leader."""
        return self.document.revision

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns the changes of the members that announce themselves here."""
        current = self.table.direct_announcements()
        if first:
            self.sent_announcements = current
            return [
                member_messages.MembersUpdate(True, list(current.values()), [])
            ]
        changed = [
            item
            for key, item in current.items()
            if self.sent_announcements.get(key) is not item
        ]
        gone = [key for key in self.sent_announcements if key not in current]
        self.sent_announcements = current
        if not changed and not gone:
            return []
        return [member_messages.MembersUpdate(False, changed, gone)]

    def handle_message(self, message: Any) -> None:
        """Handles a message of the leader."""
        match message:
            case config_messages.ConfigUpdate():
                self._handle_config_update(message)
            case member_messages.DirectoryUpdate():
                self.directory.apply_update(message)
                self.on_change()
            case member_messages.MembersUpdate():
                self.table.apply_update(LEADER, message, self.timers.now())
            case config_messages.Restrictions():
                if message.version > self.restrictions.version:
                    self.restrictions = message
                    self.on_change()

    def lease_left(self) -> float:
        """Returns the seconds left of the lease from the leader."""
        return self.lease.left(self.timers.now())

    def _handle_config_update(
        self, update: config_messages.ConfigUpdate
    ) -> None:
        before = self.document.revision
        if update.revision < before:
            return
        if not update.whole and update.base > before:
            return
        self.document.apply_update(
            document.Update(update.revision, update.whole, update.sections)
        )
        self.lease.renew(update.echo, update.lease)
        if self.document.revision > before:
            self.stream.report()
        self.on_change()
