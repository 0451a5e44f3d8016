"""The known instances, and the bootstrap of new groups."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import placement
from mintcleat.consensus import types
from mintcleat.domain import identities


class ObservedPeer(NamedTuple):
    """What was last heard from an instance.

    Attributes:
        peer: Its current incarnation and address.
        last_seen: When its last frame arrived.
        answered_at: When its last KnownGroups arrived; 0 for never.
        groups: Groups that its disk held then.
    """

    peer: types.Peer
    last_seen: float
    answered_at: float
    groups: frozenset[str]


class LeaderClaim(NamedTuple):
    """A replica that announced itself as the leader of a group.

    Attributes:
        received_at: When its Hello arrived.
    """

    term: int
    leader: identities.Incarnation
    received_at: float


class Roster:
    """The instances from the settings, and those discovered at run time.

    Attributes:
        configured_members: Members from the settings; only they may
            bootstrap a group.
        members: By instance name, configured and discovered members.
        own: The member that describes this instance.
        observed: By instance name, what was last heard from it; without this
            instance.
        evacuated: Instances that an operator evacuates. Their replicas are
            replaced, and they receive no new ones.
        leader_claims: By group, the announced leader of the highest term.
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
        self.evacuated: frozenset[str] = frozenset()
        self.leader_claims: dict[str, LeaderClaim] = {}

    def add_members(self, members: Iterable[types.Member]) -> None:
        """Adds instances that were not known; they receive Hellos from now."""
        for member in members:
            self.members.setdefault(member.instance, member)

    def on_hello(
        self, sender: identities.Incarnation, message: wire.Hello, now: float
    ) -> None:
        """Updates the members and the leader claims from a Hello.

        The settings may name members by address only. Their failure domains,
        which placement needs, then come from their Hellos.
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
            claim = self.leader_claims.get(group)
            if claim is None or term >= claim.term:
                self.leader_claims[group] = LeaderClaim(term, sender, now)

    def seen_since(self, oldest: float) -> list[types.Member]:
        """Returns the other instances heard from since `oldest`."""
        return [
            self.members[name]
            for name, observed in sorted(self.observed.items())
            if observed.last_seen >= oldest and name in self.members
        ]

    def remove_silent(self, oldest: float) -> None:
        """Removes discovered instances that were not heard from since `oldest`.

        Hosts are replaced under new addresses, so the list of instances to
        send Hellos to would otherwise grow without bound.
        """
        kept = {member.instance for member in self.configured_members}
        kept.add(self.me.instance)
        for name in set(self.members) - kept:
            observed = self.observed.get(name)
            if observed is None:
                continue
            if observed.last_seen < oldest:
                del self.members[name]
                del self.observed[name]

    def address(self, instance: str) -> str:
        """Returns the stream address of an instance; empty if unknown."""
        observed = self.observed.get(instance)
        if observed is not None:
            return observed.peer.address
        member = self.members.get(instance)
        return member.address if member else ""

    def peer(self, replica: identities.Incarnation) -> types.Peer:
        """Returns a replica as a Peer, with its instance's member data."""
        member = self.members.get(replica.instance)
        if member is None:
            return types.Peer(replica, "", "", "")
        return types.Peer(
            replica, member.address, member.failure_domain, member.region
        )

    def on_frame(
        self, sender: identities.Incarnation, address: str, now: float
    ) -> bool:
        """Records that a frame arrived; an older incarnation is ignored.

        Returns:
            Whether this incarnation was not heard from before.
        """
        known = self.observed.get(sender.instance)
        new = False
        if known is None or known.peer.replica.epoch < sender.epoch:
            new = True
            peer = self.peer(sender)._replace(address=address)
            known = ObservedPeer(peer, now, 0.0, frozenset())
        elif known.peer.replica != sender:
            return False
        peer = known.peer
        if peer.address != address:
            peer = peer._replace(address=address)
        self.observed[sender.instance] = ObservedPeer(
            peer, now, known.answered_at, known.groups
        )
        return new

    def on_known_groups(
        self,
        sender: identities.Incarnation,
        message: wire.KnownGroups,
        now: float,
    ) -> None:
        """Records the groups that an instance knows."""
        known = self.observed.get(sender.instance)
        if known is not None and known.peer.replica == sender:
            self.observed[sender.instance] = known._replace(
                answered_at=now, groups=frozenset(message.groups)
            )

    def hellos(self, hello: wire.Hello) -> list[outbox.OutgoingMessage]:
        """Returns a Hello for any incarnation of every other instance."""
        return [
            outbox.OutgoingMessage(identities.Incarnation(name, 0), hello)
            for name in self.members
            if name != self.me.instance
        ]

    def is_founder(self, group: str, size: int) -> bool:
        """Returns whether this instance bootstraps the group if it is new."""
        return self._founder_names(group, size)[:1] == [self.me.instance]

    def initial_configuration(
        self, group: str, size: int, oldest: float
    ) -> types.Configuration | None:
        """Returns the first configuration if this instance may bootstrap it.

        Only the first of the chosen voters may do so, and only after each of
        the others has told this incarnation that it does not know the group.
        An instance with an emptied disk finds others that know the group and
        waits until it is added, so a group is never bootstrapped twice.

        Args:
            group: Name of the group.
            size: Target number of voters.
            oldest: Replies from before this time don't count.
        """
        names = self._founder_names(group, size)
        if names[:1] != [self.me.instance]:
            return None
        peers = [self.peer(self.me)]
        for name in names[1:]:
            observed = self.observed.get(name)
            if observed is None or observed.answered_at <= oldest:
                return None
            if group in observed.groups:
                return None
            peers.append(observed.peer)
        return types.Configuration(peers, [])

    def _founder_names(self, group: str, size: int) -> list[str]:
        chosen = placement.voters(group, self.configured_members, size)
        return [member.instance for member in chosen]
