"""Messages of the configuration stream and of manifest pushes.

See `domain.messages` for the encoding that all messages share.
"""

from typing import NamedTuple

from mintcleat.domain import identities


class FollowConfiguration(NamedTuple):
    """Opens the configuration stream of one node.

    Attributes:
        address: Stream address of the node.
        revision: Revision that the node has applied; 0 for none.
        directory: Version of the node's directory; 0 for none.
        digest: Digest of an update that has arrived only in part; empty for
            none.
        received: Bytes of that update that the node already has.
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
    """A part of a large update, which is sent as a compressed message.

    Attributes:
        digest: Digest of the whole compressed message.
        size: Size of the whole compressed message in bytes.
        offset: Offset of this part in bytes.
        data: Bytes of this part.
    """

    digest: bytes
    size: int
    offset: int
    data: bytes


class ConfigUpdate(NamedTuple):
    """Sections that changed since the node's revision, or all sections.

    Attributes:
        whole: Whether `sections` holds all sections.
        sections: JSON text by section name; empty text removes a section.
        lease: Seconds for which the node may act on `revision`, counted from
            the time when it sent the message that `echo` repeats.
        echo: Clock value of the node's last message, repeated to the node.
        base: Revision that the changes apply to if `whole` is false. A node
            below this revision could not read an earlier update and must not
            apply the changes.
    """

    revision: int
    whole: bool
    sections: dict[str, str]
    lease: float
    echo: float
    base: int = 0


class RevisionApplied(NamedTuple):
    """Reports the revision that a node has applied.

    Attributes:
        clock: The node's clock in seconds, to be repeated as `echo`.
    """

    revision: int
    clock: float


class PushManifest(NamedTuple):
    """Replaces the manifest by compare-and-set or by a higher version.

    Attributes:
        expected: Revision that the operator started from.
        push_id: Digest of the content and the operator's request id.
        manifest: JSON text of the manifest.
        origin: IP address of the operator's client.
        version: Version number assigned by the operators. The highest
            version wins, regardless of `expected`. 0 for compare-and-set.
        source: Text that the manifest was generated from. It is stored and
            returned unchanged.
    """

    expected: int
    push_id: str
    manifest: str
    operator: str
    origin: str
    version: int = 0
    source: str = ""


class ManifestPushed(NamedTuple):
    """The push was accepted as `revision`, now or when it was first sent.

    Attributes:
        version: Highest version pushed so far.
    """

    revision: int
    push_id: str
    version: int = 0


class ReadManifest(NamedTuple):
    """Reads the manifest in force; the read is linearizable."""


class ManifestView(NamedTuple):
    """The manifest in force, with its version and source as pushed."""

    revision: int
    manifest: str
    version: int = 0
    source: str = ""


class Order(NamedTuple):
    """An order that a sidecar carries out at its upstream.

    Attributes:
        fencing_token: Value of the replicated counter; the sidecar refuses
            an order with a lower one than it has seen.
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
    """All drains, quarantined requests and suspects in force.

    Attributes:
        drains: `instance/NAME`, `failure_domain/NAME` and `control/NAME`.
        quarantined: Digests of requests that must not run, and of objects whose
            requests must not.
        suspects: Digests of requests that must not run at the same time as
            another suspect, and of objects that crashes speak against.
        control: Stream addresses of the control instances.
    """

    version: int
    drains: list[str]
    quarantined: list[bytes]
    suspects: list[bytes]
    control: list[str] = []


class ReadFencingToken(NamedTuple):
    """Reads the highest fencing token of an instance's orders.

    The read is linearizable.
    """

    instance: str


class FencingToken(NamedTuple):
    """Upper bound of the fencing tokens of an instance's committed orders."""

    fencing_token: int
