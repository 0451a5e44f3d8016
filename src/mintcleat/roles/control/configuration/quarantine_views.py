"""The operators' view of requests that crash upstreams."""

from mintcleat.configuration import crash_evidence
from mintcleat.configuration import machine
from mintcleat.configuration import object_evidence
from mintcleat.domain import operator_messages

_ON_TRIAL = "its quarantine has ended; the next crash renews it"


def entries(
    state: machine.ConfigMachine,
) -> list[operator_messages.QuarantineEntry]:
    """Returns the quarantined requests and the suspects."""
    found = [
        operator_messages.QuarantineEntry(*entry, entry.quarantined)
        for entry in state.quarantine.entries.values()
    ]
    suspicion = state.document.readable().policies.suspicion_seconds
    for evidence, under in (
        (state.crash_evidence, "it"),
        (state.object_evidence, "requests for its object that differ"),
    ):
        found.extend(
            operator_messages.QuarantineEntry(
                digest,
                item.upstreams,
                item.until,
                True,
                *item.subject,
                f"{len(item.upstreams)} upstreams crashed under {under}, one "
                "after the other",
            )
            for digest, item in evidence.quarantine.items()
        )
        found.extend(
            _suspect(evidence, digest, suspicion)
            for digest in evidence.suspects()
        )
    return found


def _suspect(
    evidence: crash_evidence.CrashEvidence, digest: bytes, suspicion: float
) -> operator_messages.QuarantineEntry:
    """Returns the view of a suspect, of which a crash counts `suspicion` s."""
    crashes = evidence.crashes_of(digest)
    subject = evidence.subjects.get(digest, crash_evidence.Subject())
    if digest in evidence.on_trial:
        until = evidence.on_trial[digest]
        proof = _ON_TRIAL
    else:
        until = evidence.lost_at(digest) + suspicion
        others = evidence.beside(digest)
        what = "requests"
        if isinstance(evidence, object_evidence.ObjectEvidence):
            what = "objects, by their requests,"
        proof = f"{len(crashes)} crashes, {others} other {what} lost in them"
    return operator_messages.QuarantineEntry(
        digest, crashes, until, False, *subject, proof
    )
