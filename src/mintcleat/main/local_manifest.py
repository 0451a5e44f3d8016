"""The initial manifest of a local run."""

import json

from mintcleat.domain import config_messages
from mintcleat.main import assembly

_INITIAL_MANIFEST = {
    "programs": {
        "triage": {
            "service": "triage",
            "tokens": 100_000,
            "turns": 50,
            "tools": {"dispatch": {"service": "dispatch"}},
        }
    },
    "services": {
        "triage": {"kind": "model", "model": "model-1"},
        "dispatch": {"kind": "plain"},
    },
    "policies": {
        "customers": {"farmers": {"share": 2}, "studios": {"share": 1}},
        "default_customer": "farmers",
    },
}


def push_initial(control: assembly.Process) -> None:
    """Pushes the initial manifest unless one is in force."""
    service = control.roles[0].config
    view = service.ask(config_messages.ReadManifest())
    if view.revision:
        return
    service.ask(
        config_messages.PushManifest(
            expected=0,
            push_id="first-local-run",
            manifest=json.dumps(_INITIAL_MANIFEST),
            operator="mintcleatd local",
            origin="local",
        )
    )
