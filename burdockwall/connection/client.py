"""Create clients of the platform and of endpoints' own interfaces."""

import httpx

from burdockwall.connection.tls import create_client_context


def create_http_client(timeout_s: float, base_url: str = "") -> httpx.AsyncClient:
    """Create a client that follows no proxy settings of its surroundings."""
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout_s,
        trust_env=False,
        verify=create_client_context(None),
    )
