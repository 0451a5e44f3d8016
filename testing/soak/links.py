"""A TCP proxy whose link can be delayed, reset, cut or silenced."""

import asyncio
import contextlib

_BLOCK = 65536


class Link:
    """Forwards connections from one address to another.

    Attributes:
        address: `IP:PORT` at which it listens.
        target: `IP:PORT` to which it connects.
        delay: Seconds by which each block of data is delayed.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.target = target
        self.delay = 0.0
        self.refuses = False
        self.gates = {"in": asyncio.Event(), "out": asyncio.Event()}
        self.writers: set[asyncio.StreamWriter] = set()
        self.restore()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._accept, host, port)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def restore(self) -> None:
        """Ends all faults; what was held is delivered."""
        self.delay = 0.0
        self.refuses = False
        for gate in self.gates.values():
            gate.set()

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
                self.delay = 0.15
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
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, "in")),
            asyncio.create_task(self._pump(far_reader, writer, "out")),
        ]
        try:
            await asyncio.gather(*pumps)
        except (OSError, asyncio.CancelledError):
            for pump in pumps:
                pump.cancel()
            for one in pair:
                one.transport.abort()
        finally:
            self.writers -= pair
            for one in pair:
                one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        gate = self.gates[direction]
        while data := await reader.read(_BLOCK):
            if self.delay:
                await asyncio.sleep(self.delay)
            await gate.wait()
            writer.write(data)
            await writer.drain()
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
