"""The configuration that a control instance acts on."""

import msgspec

from mintcleat.configuration import directory as directory_module
from mintcleat.configuration import document as document_module
from mintcleat.domain import manifest as manifest_module
from mintcleat.domain import member_messages
from mintcleat.roles.control.configuration import service as config_service


class CurrentConfiguration:
    """What the services of one control instance read of the configuration.

    Attributes:
        config: The configuration service of this instance.
    """

    def __init__(self, config: config_service.ConfigService) -> None:
        self.config = config

    def document(self) -> document_module.Document:
        """Returns the document of the revision that this instance applied."""
        return self.config.machine.document

    def directory(self) -> directory_module.Directory:
        """Returns the upstreams that registered themselves."""
        return self.config.machine.directory

    def manifest(self) -> manifest_module.Manifest:
        """Returns the manifest of that revision.

        If this release can't read it, that is the last one that it could, so
        that turns and counts are still served.
        """
        current = self.document()
        try:
            return current.manifest()
        except msgspec.ValidationError:
            return current.assembled

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
