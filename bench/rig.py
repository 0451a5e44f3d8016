"""A running system with the example manifest in force, for benches."""

import json
import time

import urllib3

from bench import processes

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
    """Pushes a manifest through the admin interface, with retries."""
    token = next(started.folder.glob("control-0/admin-token")).read_text()
    pool = urllib3.PoolManager(retries=False)
    deadline = time.monotonic() + _READY_SECONDS
    while True:
        reply = pool.request(
            "POST",
            f"http://{started.admin}/admin/v1/manifest",
            body=json.dumps({"expected": 0, "manifest": manifest}),
            headers={
                "Authorization": f"Bearer {token.strip()}",
                "Content-Type": "application/json",
            },
            timeout=10.0,
        )
        if reply.status < 300:
            return
        if time.monotonic() > deadline:
            raise RuntimeError(f"push: {reply.status} {reply.data!r}")
        time.sleep(0.2)


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
