"""Create TLS contexts from certificate files named in the settings."""

import ssl
from dataclasses import dataclass
from pathlib import Path

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.settings import Settings

CALLER_PROTOCOLS = ["h2", "http/1.1"]
PEER_PROTOCOLS = ["h2"]


@dataclass(frozen=True, slots=True)
class PeerContexts:
    """Hold the contexts by which instances prove themselves to each other."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def _load_chain(
    context: ssl.SSLContext, certificate: Path, key: Path, section: str
) -> None:
    try:
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        place = f"[{section}] {certificate}, {key}"
        fault = Fault(
            Code.SETTINGS_INVALID, place, str(error), "Name readable PEM files."
        )
        raise InvalidFile(Code.SETTINGS_INVALID, [fault]) from error


def create_caller_context(settings: Settings) -> ssl.SSLContext | None:
    """Create the context of the caller port, or None where it is plaintext."""
    certificate, key = settings.caller_certificate, settings.caller_key
    if certificate is None or key is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(CALLER_PROTOCOLS)
    _load_chain(context, certificate, key, "tls")
    return context


def create_peer_contexts(settings: Settings) -> PeerContexts | None:
    """Create the contexts for other instances, or None for plaintext."""
    certificate, key = settings.peer_certificate, settings.peer_key
    authority = settings.peer_authority
    if certificate is None or key is None or authority is None:
        return None
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.set_alpn_protocols(PEER_PROTOCOLS)
        context.load_verify_locations(authority)
        _load_chain(context, certificate, key, "tls")
    server.verify_mode = ssl.CERT_REQUIRED
    return PeerContexts(server, client)


def create_client_context(authority: Path | None) -> ssl.SSLContext:
    """Create the context that verifies servers by an authority or the system's."""
    return ssl.create_default_context(cafile=authority)


def choose_scheme(authority: Path | None) -> str:
    """Choose HTTPS where an authority is named, else HTTP."""
    return "http" if authority is None else "https"
