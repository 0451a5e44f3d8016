"""Requests over urllib3, with failures told apart by what was delivered."""

import urllib3
from urllib3 import exceptions

from mintcleat.domain import errors

CONNECT_SECONDS = 2.0
_REFUSED = (
    exceptions.NewConnectionError,
    exceptions.ConnectTimeoutError,
    exceptions.NameResolutionError,
)


def new_pool(connections: int) -> urllib3.PoolManager:
    """Returns a pool that never repeats a request by itself.

    A repeat by the library could run a non-idempotent request twice, so the
    decision stays with the sidecar.
    """
    return urllib3.PoolManager(
        num_pools=4, maxsize=connections, retries=False, block=False
    )


def request(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | urllib3.HTTPHeaderDict | None = None,
    timeout: float = 0.0,
    stream: bool = False,
) -> urllib3.BaseHTTPResponse:
    """Sends one request; `timeout` of 0 means no limit on reading.

    Raises:
        errors.NoUpstream: No connection, so nothing was delivered.
        errors.StreamTimeout: Nothing came within `timeout` seconds.
        errors.StreamClosed: The connection was lost after delivery.
    """
    limit = urllib3.Timeout(connect=CONNECT_SECONDS, read=timeout or None)
    try:
        return pool.request(
            method,
            url,
            body=body,
            headers=headers,
            timeout=limit,
            preload_content=not stream,
            redirect=False,
        )
    except exceptions.HTTPError as error:
        raise translate(error) from error


def translate(error: exceptions.HTTPError) -> errors.MintcleatError:
    """Returns the typed error of a failed request."""
    if isinstance(error, _REFUSED):
        return errors.NoUpstream(f"The upstream cannot be reached: {error}.")
    if isinstance(error, exceptions.TimeoutError):
        return errors.StreamTimeout(f"The upstream did not answer: {error}.")
    return errors.StreamClosed(f"The upstream was lost: {error}.")
