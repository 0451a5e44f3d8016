"""A TCP proxy whose link can be delayed, reset, cut or silenced.

A cut by `apply` holds what is sent and delivers it when it ends. A cut by
`lose_packets` is like one of a real network: the kernel sends lost packets
again after pauses that double, so that an open connection may stay silent for
about as long again as the cut lasted, while new connections work at once. New
connections hang during such a cut.
"""

import asyncio
from collections.abc import Collection
import contextlib
import socket
import struct
from typing import NamedTuple

_BLOCK = 65536
# Blocks that are on the way in one direction; more would only use memory.
_MAX_BLOCKS = 200
DELAY_SECONDS = 0.15
_BACKLOG = 100
# Connections that fill a queue of length 0: it holds one, and others wait for
# their last packet.
_FULL_QUEUE = 3
# Value of SO_LINGER (on, 0 s), with which closing a socket resets it.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Block(NamedTuple):
    """Bytes on the way; none stand for the end of the stream.

    Attributes:
        due: Time of the event loop at which they arrive.
    """

    due: float
    data: bytes


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; `abort` alone would close it in order."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


class Silence:
    """The directions in which a connection passes nothing on.

    Attributes:
        gates: Let data pass while set, by direction.
    """

    def __init__(self) -> None:
        self.gates = {"in": asyncio.Event(), "out": asyncio.Event()}
        self.end()

    def begin(self, directions: Collection[str]) -> None:
        """Stops data in some directions."""
        for direction in directions:
            self.gates[direction].clear()

    def end(self) -> None:
        """Lets all data pass."""
        for gate in self.gates.values():
            gate.set()


class Link:
    """Forwards connections from one address to another.

    Attributes:
        address: `IP:PORT` at which it listens.
        target: `IP:PORT` to which it connects.
        delays: Seconds that data takes, by direction: `in` to the target,
            `out` from it.
        gates: Let data pass while set, by direction.
        refuses: Whether new connections are reset.
        unreached: `IP:PORT` of those whose connections did not reach the
            target.
        silences: Packet losses of the open connections.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.target = target
        self.delays = {"in": 0.0, "out": 0.0}
        self.refuses = False
        self.unreached: set[str] = set()
        self.listener: socket.socket | None = None
        self.acceptor: asyncio.Task | None = None
        self.queued: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()
        self.gates = {"in": asyncio.Event(), "out": asyncio.Event()}
        self.writers: set[asyncio.StreamWriter] = set()
        self.silences: set[Silence] = set()
        self.restore()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        self.listener = socket.create_server((host, port), backlog=_BACKLOG)
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self._begin_to_accept()

    def close(self) -> None:
        """Resets all connections; its address refuses new ones."""
        self.refuse()
        self.abort()

    def refuse(self) -> None:
        """Has its address refuse new connections; the others stay."""
        if self.listener is None:
            return
        self._stop_accepting()
        self.listener.close()
        self.listener = None

    async def reopen(self) -> None:
        """Listens at the same address again, unless it does."""
        if self.listener is not None:
            return
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))

    def restore(self) -> None:
        """Ends all faults; what was held is delivered."""
        self.delays = {"in": 0.0, "out": 0.0}
        self.refuses = False
        for gate in self.gates.values():
            gate.set()

    def lose_packets(self, directions: Collection[str]) -> None:
        """Begins a cut in some directions, as of a real network.

        A new connection needs packets in both, so it hangs in any case: with a
        full queue of connections, the kernel drops those that ask for more.
        """
        for silence in self.silences:
            silence.begin(directions)
        if self.listener is None or self.queued:
            return
        self._stop_accepting()
        self.listener.listen(0)
        for _ in range(_FULL_QUEUE):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.queued.append(filler)

    def regain(self) -> list[Silence]:
        """Ends the cut for new connections only.

        Returns:
            The silences of the connections that are open; they pass data on
            from the `end` of these.
        """
        fillers, self.queued = self.queued, []
        for filler in fillers:
            filler.close()
        if fillers and self.listener is not None:
            self.listener.listen(_BACKLOG)
            self._begin_to_accept()
        return list(self.silences)

    def apply(self, kind: str) -> None:
        """Begins a fault: reset, delay, silent, cut_in or cut_out.

        With `cut_in`, nothing reaches the target; with `cut_out`, nothing
        comes back from it; with `silent`, neither.
        """
        match kind:
            case "reset":
                self.refuses = True
                self.abort()
            case "delay":
                self.delays = {"in": DELAY_SECONDS, "out": DELAY_SECONDS}
            case "silent":
                self.gates["in"].clear()
                self.gates["out"].clear()
            case "cut_in":
                self.gates["in"].clear()
            case "cut_out":
                self.gates["out"].clear()

    def abort(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            reset(writer)

    def _begin_to_accept(self) -> None:
        self.acceptor = asyncio.create_task(self._accept_forever())

    def _stop_accepting(self) -> None:
        self.acceptor.cancel()
        # The cancelled task does so only later, when the socket may be closed.
        asyncio.get_running_loop().remove_reader(self.listener)

    async def _accept_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, address = await loop.sock_accept(self.listener)
            peer = "{}:{}".format(*address[:2])
            task = asyncio.create_task(self._accept(sock, peer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _accept(self, sock: socket.socket, peer: str) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self.unreached.discard(peer)
        if self.refuses:
            self.unreached.add(peer)
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except (OSError, asyncio.CancelledError):
            self.unreached.add(peer)
            reset(writer)
            return
        silence = Silence()
        self.silences.add(silence)
        pair = {writer, far_writer}
        self.writers |= pair
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, "in", silence)),
            asyncio.create_task(self._pump(far_reader, writer, "out", silence)),
        ]
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            # Connections are cancelled when the soak ends.
            for one in pair:
                reset(one)
        finally:
            for pump in pumps:
                pump.cancel()
            self.writers -= pair
            self.silences.discard(silence)
            for one in pair:
                one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        silence: Silence,
    ) -> None:
        blocks: asyncio.Queue[Block] = asyncio.Queue(_MAX_BLOCKS)
        gates = (self.gates[direction], silence.gates[direction])
        delivery = asyncio.create_task(self._deliver(blocks, writer, *gates))
        loop = asyncio.get_running_loop()
        try:
            while True:
                try:
                    data = await reader.read(_BLOCK)
                except OSError:
                    # A reset is a packet, too.
                    await silence.gates[direction].wait()
                    raise
                due = loop.time() + self.delays[direction]
                await blocks.put(Block(due, data))
                if not data:
                    break
            await delivery
        finally:
            delivery.cancel()

    async def _deliver(
        self,
        blocks: asyncio.Queue[Block],
        writer: asyncio.StreamWriter,
        *gates: asyncio.Event,
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            block = await blocks.get()
            if block.due > loop.time():
                await asyncio.sleep(block.due - loop.time())
            for gate in gates:
                await gate.wait()
            if not block.data:
                break
            writer.write(block.data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
