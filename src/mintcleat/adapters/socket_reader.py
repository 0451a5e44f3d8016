"""Reads a socket whose events stay registered with eventlet's hub.

eventlet's own `recv` registers the socket before each wait and removes it
after, and attempts a read before it waits. For a streamed response these are
four system calls per event instead of two. The registration also reports at
any time that the peer has closed the connection.
"""

from collections.abc import Callable
import socket
from typing import Any

import eventlet
from eventlet import hubs

_READ_BYTES = 64 * 1024
# With this many received bytes that nobody has read, the socket isn't read
# either, so that the peer has to wait.
_MAX_UNREAD_BYTES = 64 * 1024


class SocketReader:
    """The receiving side of a connection, for one green thread.

    Attributes:
        unread: Received bytes that `read` has not returned yet.
        closed: Whether the peer has closed the connection or an error occurred.
        error: The error that ended the connection; None for none.
        waiter: Green thread that waits in `read`; None for none.
        listener: The registration with the hub; None while the socket isn't
            read.
        on_closed: Called by the hub when `closed` is set while no green thread
            is reading; must not wait.
        on_unread: Called by the hub when `unread` has grown while no green
            thread is reading; must not wait.
        discards: Whether received bytes are dropped. The socket is read all the
            same, to learn of the end of the connection.
    """

    def __init__(
        self,
        sock: Any,
        on_closed: Callable[[], None] = lambda: None,
        on_unread: Callable[[], None] = lambda: None,
    ) -> None:
        self.sock = sock
        self.on_closed = on_closed
        self.on_unread = on_unread
        self.discards = False
        self.unread = b""
        self.closed = False
        self.error: OSError | None = None
        self.waiter: Any = None
        self.listener: Any = None

    def read(self) -> bytes:
        """Returns received bytes, or none if the peer closed the connection.

        Returns none without a closed connection too, after `wake`.

        Raises:
            OSError: The connection failed. Bytes received before that have
                been returned.
        """
        if not self.unread and not self.closed:
            self._watch()
            self.waiter = eventlet.getcurrent()
            try:
                hubs.get_hub().switch()
            finally:
                self.waiter = None
        if self.unread:
            data, self.unread = self.unread, b""
            if not self.closed:
                self._watch()
            return data
        if self.error is not None:
            raise self.error
        return b""

    def is_quiet(self) -> bool:
        """Returns whether nothing was received and the connection is open."""
        if self.unread or self.closed:
            return False
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def stop(self) -> None:
        """Ends the registration; must precede the close of the socket."""
        listener, self.listener = self.listener, None
        if listener is not None:
            hubs.get_hub().remove(listener)

    def interrupt(self, error: OSError) -> None:
        """Ends the reading side with an error, from any green thread.

        Bytes received before are returned first.
        """
        if self.closed:
            return
        self.closed = True
        self.error = error
        self.stop()
        # A direct switch would not return to the calling green thread.
        hubs.get_hub().schedule_call_global(0, self._wake)

    def fail(self, error: OSError) -> None:
        """Records an error that sending has found, from any green thread.

        The kernel reports the failure of a connection once, to whichever system
        call comes first. If that one sends, the next to receive finds the end
        of the connection, as if the peer had closed it in order.

        Has no effect after an end that was received: that one was in order. A
        BrokenPipeError is no failure to pass on: the peer has closed its side,
        or the failure itself was reported before.
        """
        if not self.closed:
            self.error = error

    def discard(self) -> None:
        """Drops what was received and what will be."""
        self.discards = True
        self.unread = b""
        if not self.closed:
            self._watch()

    def wake(self) -> None:
        """Makes a waiting `read` return nothing, from any green thread."""
        if self.waiter is not None:
            hubs.get_hub().schedule_call_global(0, self._wake)

    def _wake(self) -> None:
        if self.waiter is not None:
            self.waiter.switch()

    def _watch(self) -> None:
        if self.listener is None:
            hub = hubs.get_hub()
            self.listener = hub.add(
                hub.READ,
                self.sock.fileno(),
                self._on_readable,
                self._on_obsolete,
                self._forget,
            )

    def _on_readable(self, fileno: int) -> None:
        """Receives; the hub calls it even if `stop` came just before."""
        if self.listener is None:
            return
        try:
            data = self.sock.fd.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.error = error
            data = b""
        if data and not self.discards:
            self.unread += data
        elif not data:
            self.closed = True
        if not data or len(self.unread) >= _MAX_UNREAD_BYTES:
            self.stop()
        if self.waiter is not None:
            self.waiter.switch()
        elif not data:
            self.on_closed()
        else:
            self.on_unread()

    def _forget(self) -> None:
        """Drops the registration, which the hub has ended."""
        self.listener = None

    def _on_obsolete(self, error: OSError) -> None:
        """Fails the connection; its descriptor number was opened again."""
        self.error = error
        self.closed = True
        if self.waiter is not None:
            self.waiter.switch()
