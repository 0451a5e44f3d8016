"""Who lives on which instance, and when a new group may be started."""

from collections.abc import Sequence
from typing import NamedTuple

from mintcleat.consensus import messages as wire
from mintcleat.consensus import outbox
from mintcleat.consensus import placement
from mintcleat.consensus import types
from mintcleat.domain import messages


class Resident(NamedTuple):
    """The replica identity last heard from an instance.

    Attributes:
        seen: When it was heard.
        answered: When it last answered our question; 0 for never.
        groups: Groups that its disk knew then.
    """

    peer: types.Peer
    seen: float
    answered: float
    groups: frozenset[str]


class Roster:
    """The members by settings, and who was heard from them.

    Attributes:
        residents: By instance name; without this instance.
    """

    def __init__(
        self, me: messages.Incarnation, members: Sequence[types.Member]
    ) -> None:
        self.me = me
        self.members = {member.instance: member for member in members}
        self.residents: dict[str, Resident] = {}

    def address(self, instance: str) -> str:
        """Returns the stream address of an instance, or an empty text."""
        resident = self.residents.get(instance)
        if resident is not None:
            return resident.peer.address
        member = self.members.get(instance)
        return member.address if member else ""

    def peer(self, replica: messages.Incarnation) -> types.Peer:
        """Returns a peer with what the settings say of its instance."""
        member = self.members.get(replica.instance)
        if member is None:
            return types.Peer(replica, "", "", "")
        return types.Peer(
            replica, member.address, member.failure_domain, member.region
        )

    def heard(
        self, sender: messages.Incarnation, address: str, now: float
    ) -> None:
        """Notes that a frame came; an older incarnation is ignored."""
        known = self.residents.get(sender.instance)
        if known is None or known.peer.replica.epoch < sender.epoch:
            peer = self.peer(sender)._replace(address=address)
            known = Resident(peer, now, 0.0, frozenset())
        elif known.peer.replica != sender:
            return
        peer = known.peer._replace(address=address)
        self.residents[sender.instance] = known._replace(peer=peer, seen=now)

    def on_known(
        self, sender: messages.Incarnation, message: wire.Known, now: float
    ) -> None:
        """Notes what an instance answered to our question."""
        known = self.residents.get(sender.instance)
        if known is not None and known.peer.replica == sender:
            self.residents[sender.instance] = known._replace(
                answered=now, groups=frozenset(message.groups)
            )

    def greetings(self, asks: bool) -> list[outbox.Letter]:
        """Returns a greeting for every other instance, whoever lives there."""
        return [
            outbox.Letter(messages.Incarnation(name, 0), wire.Hello(asks))
            for name in self.members
            if name != self.me.instance
        ]

    def may_found(self, group: str, size: int) -> bool:
        """Tells whether this instance starts the group if nobody knows it."""
        return self._founder_names(group, size)[:1] == [self.me.instance]

    def founders(
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
            resident = self.residents.get(name)
            if resident is None or resident.answered <= oldest:
                return None
            if group in resident.groups:
                return None
            peers.append(resident.peer)
        return types.Configuration(peers, [])

    def _founder_names(self, group: str, size: int) -> list[str]:
        chosen = placement.voters(group, list(self.members.values()), size)
        return [member.instance for member in chosen]
