"""HTTP/1.1 messages over asyncio streams, as clients and servers write them."""

import asyncio
from dataclasses import dataclass, field

HEAD_LIMIT_BYTES = 65_536


class BrokenOff(Exception):
    """The channel ended before the message did."""


@dataclass(slots=True)
class Message:
    """A request or an answer; `first` is its first line."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


def split_address(address: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers, or return None if the channel has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenOff("the channel ended within a head") from error
        return None
    except ConnectionError as error:
        raise BrokenOff(f"the channel was reset: {error}") from error
    first, *lines = data.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_body(message: Message, reader: asyncio.StreamReader) -> None:
    """Read the body of a message into it, or raise BrokenOff with what came."""
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenOff(f"the channel ended within the body: {error}") from error


def build_head(first: str, headers: dict[str, str]) -> bytes:
    """Build the first line and the headers of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def build_chunk(data: bytes) -> bytes:
    """Build one chunk of a body; the empty one ends it."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message:
    """Send one request on a new channel and return its answer."""

    async def exchange() -> Message:
        reader, writer = await asyncio.open_connection(*split_address(address))
        try:
            head = {"Host": address, "Content-Length": str(len(body))}
            writer.write(
                build_head(f"{method} {path} HTTP/1.1", head | (headers or {}))
            )
            writer.write(body)
            answer = await read_head(reader)
            if answer is None:
                raise BrokenOff("the channel ended without an answer")
            await read_body(answer, reader)
            return answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)
