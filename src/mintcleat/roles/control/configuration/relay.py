"""A control instance that does not lead, as a relay of the leader.

It follows the leader as a node does, and serves its own nodes from what it
was told. Its leases are parts of the lease that the leader gave it, so when
it is cut off, its nodes are out of lease with it.
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

# Name of the source of members that the leader told.
LEADER = "leader"


class Relay:
    """Follows the leader; a `config_stream.Owner`.

    Attributes:
        active: Whether this instance follows, that is, does not lead.
        document: The manifest as last told.
        on_change: Called after each change worth telling the nodes.
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
        self.identity = follow
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
        self.told: dict[
            identities.Incarnation, member_messages.Announcement
        ] = {}
        self.stream = config_stream.ConfigStream(
            self, streams, timers, times.relay_renew, times.move_after
        )

    def select_address(self, attempt: int) -> str:
        """Returns the leader's address; empty while this instance leads."""
        leader = self.find_leader()
        if not self.active or leader == self.identity.address:
            return ""
        return leader

    def follow_request(self) -> config_messages.FollowConfiguration:
        """Returns the first message of a stream.

        The replica may be ahead of what was told here. Starting from it
        saves a whole manifest for each relay after a failover.
        """
        if self.replica.document.revision > self.document.revision:
            copied = document.Document()
            copied.load(machine.plain_copy(self.replica.document.state()))
            self.document = copied
        replica = self.replica.directory
        if replica.version > self.directory.version:
            self.directory = directory.Directory()
            self.directory.load(machine.plain_copy(replica.state()))
        return self.identity._replace(
            revision=self.document.revision, directory=self.directory.version
        )

    def applied_revision(self) -> int:
        """Returns the revision told here."""
        return self.document.revision

    def next_announcements(self, first: bool) -> list[Any]:
        """Returns the changes of the members announced here."""
        present = self.table.direct_announcements()
        if first:
            self.told = present
            return [
                member_messages.MembersUpdate(True, list(present.values()), [])
            ]
        changed = [
            item
            for key, item in present.items()
            if self.told.get(key) is not item
        ]
        gone = [key for key in self.told if key not in present]
        self.told = present
        if not changed and not gone:
            return []
        return [member_messages.MembersUpdate(False, changed, gone)]

    def handle_message(self, message: Any) -> None:
        """Handles a message of the leader."""
        match message:
            case config_messages.ConfigUpdate():
                self._take_config(message)
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
        """Returns the seconds of the leader's lease that are left."""
        return self.lease.left(self.timers.now())

    def _take_config(self, update: config_messages.ConfigUpdate) -> None:
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
