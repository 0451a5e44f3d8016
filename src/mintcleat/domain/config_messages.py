"""The configuration and its stream from control to the nodes.

See `domain.messages` for what all messages have in common.
"""

from typing import NamedTuple

from mintcleat.domain import identities


class FollowConfiguration(NamedTuple):
    """Opens the configuration stream of one node.

    Attributes:
        revision: Revision that the node has applied; 0 for none.
        address: The node's stream address.
        directory: Version of the directory that the node holds.
        digest: Digest of an update of which only a part has arrived.
        received: Bytes of that update that the node has.
    """

    node: identities.Incarnation
    role: str
    failure_domain: str
    address: str
    revision: int
    directory: int = 0
    digest: bytes = b""
    received: int = 0


class UpdatePart(NamedTuple):
    """A part of a large update, which is a compressed message.

    Attributes:
        digest: Digest of all compressed bytes.
        size: How many these are.
        offset: Where this part begins.
    """

    digest: bytes
    size: int
    offset: int
    data: bytes


class ConfigUpdate(NamedTuple):
    """Sections that changed since the node's revision, or all of them.

    Attributes:
        sections: JSON text by section name; empty text removes a section.
        lease: Seconds that the node may act on `revision`, counted from when
            it sent the last message that `echo` repeats.
        base: Revision that the changes apply to, where `whole` is false. A
            node below it could not read what came before, and may not take
            the changes for the whole.
    """

    revision: int
    whole: bool
    sections: dict[str, str]
    lease: float
    echo: float
    base: int = 0


class RevisionApplied(NamedTuple):
    """A node's report: the revision it applied, and its own clock for echo."""

    revision: int
    clock: float


class PushManifest(NamedTuple):
    """Compare-and-set of the manifest, or a push of a numbered version.

    Attributes:
        expected: Revision that the operator started from.
        push_id: Digest of content and the operator's request id.
        manifest: JSON text.
        version: The operators' own number; the highest wins, whatever
            `expected` says. 0 for compare-and-set.
        source: What the manifest was generated from; it is kept and read
            back as sent.
    """

    expected: int
    push_id: str
    manifest: str
    operator: str
    origin: str
    version: int = 0
    source: str = ""


class ManifestPushed(NamedTuple):
    """The push is accepted as `revision`, now or when it was first sent.

    Attributes:
        version: Highest version that was pushed so far.
    """

    revision: int
    push_id: str
    version: int = 0


class ReadManifest(NamedTuple):
    """Asks for the manifest in force by a linearizable read."""


class ManifestView(NamedTuple):
    """The manifest in force, and the version and source it was pushed as."""

    revision: int
    manifest: str
    version: int = 0
    source: str = ""


class Order(NamedTuple):
    """An order to an upstream, through its sidecar.

    Attributes:
        fencing_token: Fencing number, from the replicated counter.
        action: `load`, `unload` or `role`.
        model: Model, adapter and version.
    """

    sidecar: identities.Incarnation
    fencing_token: int
    action: str
    model: str


class Ping(NamedTuple):
    """Liveness probe; answered by Done."""


class Restrictions(NamedTuple):
    """What operators and crashes forbid, whole each time.

    Attributes:
        drains: `instance/NAME` and `failure_domain/NAME`.
        quarantined: Request digests that run nowhere.
        suspects: Request digests that run beside no other suspect.
        control: Stream addresses of the control instances.
    """

    version: int
    drains: list[str]
    quarantined: list[bytes]
    suspects: list[bytes]
    control: list[str] = []


class ReadFencingToken(NamedTuple):
    """Asks for the highest fencing number by a linearizable read."""

    instance: str


class FencingToken(NamedTuple):
    """No order of the instance committed so far has a higher number."""

    fencing_token: int
