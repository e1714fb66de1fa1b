"""HTTP/1.1 on asyncio streams, for the stand-ins: no library, no automatic retries."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 65_536


class HttpError(Exception):
    """Bytes that are not HTTP/1.1, or a connection that ended inside a message."""


@dataclass
class Message:
    """Request or response, as it was on the wire."""

    start: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ", 2)[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ", 2)[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ", 2)[1])

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a start line and headers; None when the connection ends before them."""
    line = await reader.readline()
    if not line:
        return None
    message = Message(line.decode("latin-1").rstrip("\r\n"))
    while True:
        line = await reader.readline()
        if not line:
            raise HttpError("ended inside the head")
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            return message
        name, _, value = text.partition(":")
        message.headers.append((name, value.strip()))


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body with a length or in chunks; empty when there is neither."""
    if message.get("Transfer-Encoding").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise HttpError("ended inside the body")
            n_bytes = int(line.split(b";")[0], 16)
            data = await reader.readexactly(n_bytes + 2)
            if not n_bytes:
                return body
            body += data[:-2]
    length = int(message.get("Content-Length", "0"))
    return await reader.readexactly(length) if length else b""


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole request; None when the connection ends before one."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


async def write_response(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    await writer.drain()


async def exchange(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message:
    """Send one request on a new connection, once, and return the whole response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_head(reader)
            while message is not None and 100 <= message.status < 200:
                message = await read_head(reader)
            if message is None:
                raise HttpError("connection ended without an answer")
            message.body = await read_body(reader, message)
            return message
        finally:
            writer.close()
