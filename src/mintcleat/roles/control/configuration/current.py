"""The configuration that a control instance acts on.

An instance may lead groups of programs while it is no member of the config
group. Its replica of that group then stays as it was when the instance left,
or empty. Decisions therefore read the configuration here and nowhere else.
"""

from mintcleat.configuration import directory as directory_module
from mintcleat.configuration import document as document_module
from mintcleat.domain import manifest as manifest_module
from mintcleat.domain import member_messages
from mintcleat.roles.control.configuration import service as config_service


class CurrentConfiguration:
    """The newest configuration that one control instance knows.

    Attributes:
        config: The configuration service of this instance.
    """

    def __init__(self, config: config_service.ConfigService) -> None:
        self.config = config

    def document(self) -> document_module.Document:
        """Returns the newest document that this instance knows.

        It comes from the replica or from the leader's stream. Both hold only
        committed revisions, so the higher one is the newer.
        """
        replicated = self.config.machine.document
        followed = self.config.relay.document
        if followed.revision > replicated.revision:
            return followed
        return replicated

    def directory(self) -> directory_module.Directory:
        """Returns the upstreams that registered themselves, as last known."""
        replicated = self.config.machine.directory
        followed = self.config.relay.directory
        return followed if followed.version > replicated.version else replicated

    def is_current(self) -> bool:
        """Returns whether this instance learns of pushes in time.

        With a lease, it knows every push that was accepted longer ago than
        the longest lease. Without one, or if this release can't read the
        newest revision, any later push may be unknown here.
        """
        self.manifest()
        readable = not self.document().decode_error
        return readable and self.config.lease_left() > 0

    def manifest(self) -> manifest_module.Manifest:
        """Returns the manifest of that revision.

        If this release can't read it, that is the last one that it could, so
        that turns and counts are still served.
        """
        return self.document().readable()

    def policies(self) -> manifest_module.Policies:
        """Returns the policies of the manifest."""
        return self.manifest().policies

    def registered(self) -> list[member_messages.Registration]:
        """Returns the upstreams that have registered themselves."""
        return list(self.directory().entries.values())

    def memory_tokens(self) -> dict[str, int]:
        """Returns the memory of the registered upstreams, by incarnation.

        Those whose service doesn't state it are left out.
        """
        services = self.manifest().services
        found = {}
        for item in self.registered():
            service = services.get(item.service)
            if service is not None and service.memory_tokens:
                found[item.incarnation] = service.memory_tokens
        return found
