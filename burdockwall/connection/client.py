"""Create HTTP clients for the platform and for the endpoints' own interfaces."""

import httpx

from burdockwall.connection.tls import create_client_context


def create_http_client(timeout_s: float, base_url: str = "") -> httpx.AsyncClient:
    """Create a client that ignores the proxy settings of its environment."""
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout_s,
        trust_env=False,
        verify=create_client_context(None),
    )
