"""Who lives on which instance, and when a new group may be started."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import placement
from mintcleat.consensus import types
from mintcleat.domain import identities


class ObservedPeer(NamedTuple):
    """The replica identity last heard from an instance.

    Attributes:
        seen: When it was heard.
        answered: When it last answered our question; 0 for never.
        groups: Groups that its disk knew then.
    """

    peer: types.Peer
    last_seen: float
    answered_at: float
    groups: frozenset[str]


class LeaderClaim(NamedTuple):
    """Who on_hello as the leader of a group.

    Attributes:
        at: When the greeting came.
    """

    term: int
    leader: identities.Incarnation
    received_at: float


class Roster:
    """The members by settings, those learned, and who was heard from them.

    Attributes:
        founding: The members by settings; only they may start a group.
        members: Those, and the instances that others told of.
        observed: By instance name; without this instance.
        retired: Instances that an operator empties; no group is moved there.
        leaders: By group, who said last that it leads there.
    """

    def __init__(
        self,
        me: identities.Incarnation,
        members: Sequence[types.Member],
        own: types.Member | None = None,
    ) -> None:
        self.me = me
        self.configured_members = list(members)
        self.members = {member.instance: member for member in members}
        self.own = own or self.members.get(
            me.instance, types.Member(me.instance, "", "", "")
        )
        self.members[me.instance] = self.own
        self.observed: dict[str, ObservedPeer] = {}
        self.retired: frozenset[str] = frozenset()
        self.leader_claims: dict[str, LeaderClaim] = {}

    def add_members(self, members: Iterable[types.Member]) -> None:
        """Takes instances that were not known; they are on_hello from now on."""
        for member in members:
            self.members.setdefault(member.instance, member)

    def on_hello(
        self, sender: identities.Incarnation, message: wire.Hello, now: float
    ) -> None:
        """Takes what a greeting says of its sender and of others.

        Settings may name members by address alone; the failure domain that
        placement needs then comes with the greeting.
        """
        own = message.own
        if own.instance == sender.instance:
            self.members[own.instance] = own
            known = self.observed.get(own.instance)
            if known is not None and known.peer.replica == sender:
                peer = known.peer._replace(
                    failure_domain=own.failure_domain, region=own.region
                )
                self.observed[own.instance] = known._replace(peer=peer)
        self.add_members(message.members)
        for group, term in message.leads:
            told = self.leader_claims.get(group)
            if told is None or term >= told.term:
                self.leader_claims[group] = LeaderClaim(term, sender, now)

    def seen_since(self, oldest: float) -> list[types.Member]:
        """Returns the instances heard since a time, this one not included."""
        return [
            self.members[name]
            for name, resident in sorted(self.observed.items())
            if resident.last_seen >= oldest and name in self.members
        ]

    def remove_silent(self, oldest: float) -> None:
        """Drops learned instances that have been silent for long.

        Machines are replaced under new addresses; greeting each one that
        ever was would go on for good.
        """
        kept = {member.instance for member in self.configured_members}
        kept.add(self.me.instance)
        for name in set(self.members) - kept:
            resident = self.observed.get(name)
            if resident is None:
                continue
            if resident.last_seen < oldest:
                del self.members[name]
                del self.observed[name]

    def address(self, instance: str) -> str:
        """Returns the stream address of an instance, or an empty text."""
        resident = self.observed.get(instance)
        if resident is not None:
            return resident.peer.address
        member = self.members.get(instance)
        return member.address if member else ""

    def peer(self, replica: identities.Incarnation) -> types.Peer:
        """Returns a peer with what the settings say of its instance."""
        member = self.members.get(replica.instance)
        if member is None:
            return types.Peer(replica, "", "", "")
        return types.Peer(
            replica, member.address, member.failure_domain, member.region
        )

    def on_frame(
        self, sender: identities.Incarnation, address: str, now: float
    ) -> bool:
        """Notes that a frame came; an older incarnation is ignored.

        Returns:
            Whether this incarnation was not heard before.
        """
        known = self.observed.get(sender.instance)
        new = known is None or known.peer.replica.epoch < sender.epoch
        if new:
            peer = self.peer(sender)._replace(address=address)
            known = ObservedPeer(peer, now, 0.0, frozenset())
        elif known.peer.replica != sender:
            return False
        peer = known.peer._replace(address=address)
        self.observed[sender.instance] = known._replace(
            peer=peer, last_seen=now
        )
        return new

    def on_known_groups(
        self,
        sender: identities.Incarnation,
        message: wire.KnownGroups,
        now: float,
    ) -> None:
        """Notes what an instance answered to our question."""
        known = self.observed.get(sender.instance)
        if known is not None and known.peer.replica == sender:
            self.observed[sender.instance] = known._replace(
                answered_at=now, groups=frozenset(message.groups)
            )

    def hellos(self, hello: wire.Hello) -> list[outbox.OutgoingMessage]:
        """Returns a greeting for every other instance, whoever lives there."""
        return [
            outbox.OutgoingMessage(identities.Incarnation(name, 0), hello)
            for name in self.members
            if name != self.me.instance
        ]

    def is_founder(self, group: str, size: int) -> bool:
        """Tells whether this instance starts the group if nobody knows it."""
        return self._founder_names(group, size)[:1] == [self.me.instance]

    def initial_configuration(
        self, group: str, size: int, oldest: float
    ) -> types.Configuration | None:
        """Returns the first configuration, if this instance must start it.

        Only the first of the chosen voters may, and only when each of the
        others has told this very incarnation that it knows nothing of the
        group. An instance whose disk was emptied meets others that do know
        it, and waits to be admitted: it never starts the group twice.
        """
        names = self._founder_names(group, size)
        if names[:1] != [self.me.instance]:
            return None
        peers = [self.peer(self.me)]
        for name in names[1:]:
            resident = self.observed.get(name)
            if resident is None or resident.answered_at <= oldest:
                return None
            if group in resident.groups:
                return None
            peers.append(resident.peer)
        return types.Configuration(peers, [])

    def _founder_names(self, group: str, size: int) -> list[str]:
        chosen = placement.voters(group, self.configured_members, size)
        return [member.instance for member in chosen]
