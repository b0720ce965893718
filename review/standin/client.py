"""A client: it resolves entries, sends requests on channels and reads answers."""

import asyncio
import random
from dataclasses import dataclass, field

from review.standin.http import (
    BrokenOff,
    Message,
    build_head,
    read_body,
    read_head,
    split_address,
)
from review.standin.site import Site

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Sent:
    """One client attempt and how it ended.

    `status` is None where no head of an answer came, and `whole` says whether the
    answer came to its end.
    """

    request: str
    path: str
    address: str
    sent_at: float
    status: int | None = None
    whole: bool = False
    ended_at: float = 0.0
    stamp: str = ""
    body: bytes = b""
    # Whether the channel had carried an earlier request, and whether the other side
    # closed it before the first byte of an answer.
    kept_channel: bool = False
    closed_unanswered: bool = False


@dataclass(slots=True)
class Client:
    """One client, which keeps the directory's answer for `kept_times` its ttl."""

    site: Site
    host: str
    zone: str
    key: str
    kept_times: float = 1.0
    deadline_ms: int = 4000
    sent: list[Sent] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _keep_until: float = float("-inf")
    _failed: set[str] = field(default_factory=set)
    _channels: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(
        default_factory=dict
    )

    async def choose(self) -> str:
        """Return an entry's address, and ask the directory if the answer is too old.

        Raise BrokenOff if no directory has ever named one.
        """
        now = self.site.record.now()
        if now >= self._keep_until:
            found = await self.site.resolve(self.host, self.zone)
            if found is not None:
                self._addresses, ttl_s = found
                self._keep_until = now + self.kept_times * ttl_s
                self._failed.clear()
                for address in list(self._channels):
                    if address not in self._addresses:
                        self._channels.pop(address)[1].close()
        sound = [item for item in self._addresses if item not in self._failed]
        if not self._addresses:
            raise BrokenOff("no directory names an entry")
        return random.choice(sound or self._addresses)

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        address: str | None = None,
    ) -> Sent:
        """Send one request and read its answer."""
        address = address or await self.choose()
        request = f"{random.getrandbits(64):016x}"
        sent = Sent(request, path, address, self.site.record.now())
        self.sent.append(sent)
        self.site.record.add(f"client sends {request} {path} to {address}")
        head = {
            "Host": self.host,
            "X-Request-Id": request,
            "X-Api-Key": self.key,
            "X-Deadline-Ms": str(self.deadline_ms),
            **(headers or {}),
        }
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        try:
            await asyncio.wait_for(
                self._exchange(
                    sent, build_head(f"{method} {path} HTTP/1.1", head) + body
                ),
                self.deadline_ms / 1000 + 0.5,
            )
        except (BrokenOff, OSError, TimeoutError) as error:
            closed = isinstance(error, BrokenOff | ConnectionError)
            sent.closed_unanswered = closed and sent.status is None
            how = f"{type(error).__name__}: {error}"
            self._failed.add(address)
            if address in self._channels:
                self._channels.pop(address)[1].close()
        else:
            how = f"{sent.status} whole, stamp {sent.stamp or 'none'}"
        sent.ended_at = self.site.record.now()
        self.site.record.add(
            f"client: {request} ended after {sent.ended_at - sent.sent_at:.3f} s: {how}"
        )
        return sent

    async def _exchange(self, sent: Sent, data: bytes) -> None:
        channel = self._channels.pop(sent.address, None)
        if channel is None or channel[0].at_eof():
            channel = await asyncio.wait_for(
                asyncio.open_connection(*split_address(sent.address)),
                CONNECT_TIMEOUT_S,
            )
        else:
            sent.kept_channel = True
        reader, writer = channel
        try:
            writer.write(data)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                raise BrokenOff("the channel ended without an answer")
            await self._read_answer(sent, answer, reader)
        except BaseException:
            writer.close()
            raise
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._channels[sent.address] = channel

    async def _read_answer(
        self, sent: Sent, answer: Message, reader: asyncio.StreamReader
    ) -> None:
        sent.status = answer.status
        sent.stamp = answer.headers.get("x-server-stamp", "")
        try:
            await read_body(answer, reader)
        finally:
            sent.body = answer.body
        sent.whole = True

    def close(self) -> None:
        """Close the channels."""
        for _, writer in self._channels.values():
            writer.close()
