"""Create HTTP clients for the platform and for the endpoints' own interfaces."""

import httpx

from burdockwall.connection.tls import create_client_context

# A few encoded bytes may stand for an answer without end.
PLAIN_ANSWERS = {"accept-encoding": "identity"}


async def read_limited(response: httpx.Response, limit_bytes: int) -> bytes:
    """Read a body; raise httpx.RemoteProtocolError if it is longer or encoded."""
    encoding = response.headers.get("content-encoding", "identity")
    if encoding != "identity":
        raise httpx.RemoteProtocolError(f"the answer is encoded as {encoding!r}")
    parts = []
    left_bytes = limit_bytes
    async for chunk in response.aiter_bytes():
        left_bytes -= len(chunk)
        if left_bytes < 0:
            detail = f"the answer exceeds {limit_bytes} bytes"
            raise httpx.RemoteProtocolError(detail)
        parts.append(chunk)
    return b"".join(parts)


def create_http_client(timeout_s: float, base_url: str = "") -> httpx.AsyncClient:
    """Create a client that ignores the proxy settings of its environment.

    It asks for answers that aren't encoded.
    """
    return httpx.AsyncClient(
        base_url=base_url,
        headers=PLAIN_ANSWERS,
        timeout=timeout_s,
        trust_env=False,
        verify=create_client_context(None),
    )
