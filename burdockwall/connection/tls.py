"""Create TLS contexts from the certificate files that the settings name."""

import ssl
from pathlib import Path

import msgspec

from burdockwall.errors import Code, Fault, InvalidFile
from burdockwall.settings import Settings

CALLER_PROTOCOLS = ["h2", "http/1.1"]
PEER_PROTOCOLS = ["h2"]


class PeerContexts(msgspec.Struct, frozen=True):
    """The contexts with which instances authenticate each other."""

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
    """Create the context of the caller port, or return None if it is plaintext."""
    certificate, key = settings.caller_certificate, settings.caller_key
    if certificate is None or key is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(CALLER_PROTOCOLS)
    _load_chain(context, certificate, key, "tls")
    return context


def create_peer_contexts(settings: Settings) -> PeerContexts | None:
    """Create the contexts for other instances, or return None for plaintext."""
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
    """Create a context that verifies servers by an authority, or by the system's."""
    return ssl.create_default_context(cafile=authority)


def choose_scheme(authority: Path | None) -> str:
    """Return "https" if an authority is given, else "http"."""
    return "http" if authority is None else "https"
