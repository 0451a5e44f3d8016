"""A running system with the example manifest in force, for benches."""

import json
import time

import urllib3

from bench import processes
from mintcleat.adapters import streams
from mintcleat.domain import errors
from mintcleat.domain import messages

MANIFEST = {
    "programs": {"triage": {"service": "triage"}},
    "services": {
        "triage": {"kind": "model", "model": "model-1"},
        "dispatch": {"kind": "plain"},
    },
    "policies": {},
}
_READY_SECONDS = 20.0


def system(**sizes: int) -> processes.System:
    """Starts a system, pushes the manifest and waits for every entry."""
    started = processes.System(**sizes)
    try:
        push(started, MANIFEST)
        wait_ready(started)
    except BaseException:
        started.stop()
        raise
    return started


def push(started: processes.System, manifest: dict) -> None:
    """Pushes a manifest to a control instance, with retries."""
    sender = streams.TcpStreams("127.0.0.1:0")
    request = messages.PushManifest(
        expected=0,
        push_id="bench",
        manifest=json.dumps(manifest),
        operator="bench",
        origin="bench",
    )
    deadline = time.monotonic() + _READY_SECONDS
    while True:
        try:
            sender.ask(started.control_addresses[0], request, 10.0)
            break
        except errors.MintcleatError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.2)
    sender.stop()


def wait_ready(started: processes.System) -> None:
    """Waits until each entry is ready and places a call."""
    pool = urllib3.PoolManager(retries=False)
    deadline = time.monotonic() + _READY_SECONDS
    body = {
        "model": "triage",
        "max_tokens": 1,
        "messages": [{"role": "user", "content": "ready?"}],
    }
    for address in started.http():
        while True:
            reply = pool.request(
                "POST",
                f"http://{address}/v1/chat/completions",
                body=json.dumps(body),
                timeout=10.0,
            )
            if reply.status == 200:
                break
            if time.monotonic() > deadline:
                raise RuntimeError(f"not ready: {reply.data!r}")
            time.sleep(0.1)
