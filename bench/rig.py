"""Starts a system with an example manifest, for measurements."""

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
    """Returns a started system whose entries are ready.

    Args:
        sizes: Arguments of `processes.System`.
    """
    started = processes.System(**sizes)
    try:
        push(started, MANIFEST)
        wait_ready(started)
    except BaseException:
        started.stop()
        raise
    return started


def push(started: processes.System, manifest: dict) -> None:
    """Pushes a manifest to the admin interface.

    Retries until a control instance accepts it.

    Raises:
        RuntimeError: None accepted it in time.
    """
    token = (started.folder / "control-0" / "admin-token").read_text().strip()
    pool = urllib3.PoolManager(retries=False)
    body = {
        "expected": 0,
        "push_id": "bench",
        "operator": "bench",
        "manifest": json.dumps(manifest),
    }
    deadline = time.monotonic() + _READY_SECONDS
    while True:
        reply = pool.request(
            "POST",
            f"http://{started.admin}/admin/v1/manifest",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {token}"},
            timeout=15.0,
        )
        if reply.status < 300:
            return
        if time.monotonic() > deadline:
            raise RuntimeError(
                f"The manifest was not accepted in {_READY_SECONDS:g} s:"
                f" status {reply.status}, {reply.data!r}."
            )
        time.sleep(0.2)


def wait_ready(started: processes.System) -> None:
    """Waits until each entry answers a call.

    Raises:
        RuntimeError: An entry did not answer one in time.
    """
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
                raise RuntimeError(
                    f"Entry {address} answered no call in {_READY_SECONDS:g} s:"
                    f" status {reply.status}, {reply.data!r}."
                )
            time.sleep(0.1)
