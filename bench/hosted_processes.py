"""Starts hosted processes on loopback and speaks HTTP to them.

Shared by the measurements and by the soak test.
"""

import asyncio
import json
import os
import pathlib
from typing import Any
from typing import NamedTuple

INTERNAL_PORT = 7400
FRONT_PORT = 8080
READY_PORT = 8081
CONTROL_PORT = 8090
_REQUEST_SECONDS = 10.0


class Response(NamedTuple):
    """A response; status 0 stands for a failed connection."""

    status: int
    body: bytes


class Connection(NamedTuple):
    """A caller's or an upstream's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Returns the first line and the headers with lowercase names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = text.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Returns the body of a message with these headers."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return b""
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


class Caller:
    """Sends requests to one address over connections that are kept open.

    Args:
        address: `IP:PORT` of the server.
        authority: Value of the Host header.
        timeout: Time for one request, in seconds.
    """

    def __init__(
        self,
        address: str,
        authority: str,
        timeout: float = _REQUEST_SECONDS,
    ) -> None:
        self.host, _, self.port = address.rpartition(":")
        self.authority = authority
        self.timeout = timeout
        self.idle: list[Connection] = []

    async def ask(
        self, method: str, target: str, headers: dict, body: bytes = b""
    ) -> Response:
        """Sends a request and returns its response."""
        try:
            async with asyncio.timeout(self.timeout):
                return await self._ask(method, target, headers, body)
        except (OSError, EOFError, TimeoutError, ValueError):
            return Response(0, b"")

    def close_idle(self) -> None:
        """Closes the connections that are kept."""
        while self.idle:
            self.idle.pop().writer.close()

    async def _ask(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> Response:
        if self.idle:
            connection = self.idle.pop()
        else:
            opened = await asyncio.open_connection(self.host, int(self.port))
            connection = Connection(*opened)
        fields = {
            "Host": self.authority,
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        is_reusable = False
        try:
            connection.writer.write(
                f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body
            )
            first, found = await read_head(connection.reader)
            content = await read_body(connection.reader, found)
            is_reusable = found.get("connection") != "close"
        finally:
            if is_reusable:
                self.idle.append(connection)
            else:
                connection.writer.close()
        return Response(int(first.split()[1]), content)


def settings(
    role: str,
    name: str,
    ip: str,
    seeds: list[str],
    folder: pathlib.Path,
    bootstrap: bool = True,
) -> dict[str, Any]:
    """Returns the settings that the platform writes for a process.

    Args:
        role: `control` or `entry`.
        name: Name of the machine; its last character names the zone.
        ip: Its address.
        seeds: Addresses of the control instances.
        folder: Parent of the data folder.
        bootstrap: Whether control instances may found the groups.
    """
    listen = {"control": f"{ip}:{CONTROL_PORT}"}
    if role == "entry":
        listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
    return {
        "nodeName": name,
        "ip": ip,
        "zone": f"z{name[-1]}",
        "internalPortRange": [INTERNAL_PORT, INTERNAL_PORT + 10],
        "seeds": [f"{seed}:{INTERNAL_PORT}" for seed in seeds],
        "bootstrap": bootstrap,
        "dataDirectory": str(folder / name),
        "listen": listen,
    }


def environment(tree: pathlib.Path, path: pathlib.Path) -> dict[str, str]:
    """Returns the environment of a process of a source tree.

    Args:
        tree: Root of the source tree.
        path: The settings file.
    """
    return {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(
            [str(tree / "src"), os.environ.get("PYTHONPATH", "")]
        ),
        "MINTCLEAT_CONFIG": str(path),
    }


def toml(fields: dict[str, Any]) -> str:
    """Returns TOML; tables come after all other fields."""
    lines = []
    # A field behind a table would belong to that table.
    ordered = sorted(fields.items(), key=lambda item: isinstance(item[1], dict))
    for key, value in ordered:
        if isinstance(value, dict):
            lines.append(f"[{key}]\n{toml(value)}")
        else:
            lines.append(f"{key} = {json.dumps(value)}\n")
    return "".join(lines)
