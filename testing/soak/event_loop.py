"""The event loop of the soak test.

It must be imported before anything that makes sockets green: eventlet then
replaces the selectors of asyncio by one that registers every descriptor anew at
each poll. With hundreds of connections, the proxies delayed heartbeats by that.
"""

import asyncio
import selectors

_SELECTOR = selectors.DefaultSelector


def make() -> asyncio.AbstractEventLoop:
    """Returns an event loop that polls the operating system itself.

    Raises:
        RuntimeError: Sockets were green before this module was imported.
    """
    if _SELECTOR is selectors.SelectSelector:
        raise RuntimeError(
            "Expected the selector of the operating system, but found that of "
            "eventlet; import testing.soak before bench and mintcleat."
        )
    return asyncio.SelectorEventLoop(_SELECTOR())
