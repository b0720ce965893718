"""Connections with generated certificates on the loopback interface."""

import datetime
import ipaddress
import ssl
import tempfile
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpx
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from burdockwall.connection.peers import PeerBus
from burdockwall.connection.tls import PeerContexts, create_peer_contexts
from burdockwall.fakes.ports import find_address
from burdockwall.fakes.site import SitePlan, create_plan
from burdockwall.process.membership.messages import Ping
from burdockwall.settings import Settings
from burdockwall.types import Incarnation, InstanceId
from features.subjects.path import PathSubject

VALID = datetime.timedelta(days=1)
SILENCE_S = 0.5
WAIT_S = 2.0
MESSAGE = Ping(7)


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """The files of a certificate and its key."""

    certificate: Path
    key: Path


class Authority:
    """A certificate authority that signs certificates for the loopback address."""

    def __init__(self, folder: Path, name: str) -> None:
        self.folder = folder
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(self._sign(name, self.key, is_authority=True))

    def _sign(self, name: str, key, is_authority: bool) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, self.name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - VALID)
            .not_valid_after(now + VALID)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        )
        signed = builder.sign(self.key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)

    def create_certificate(self, name: str) -> CertificateFiles:
        key = ec.generate_private_key(ec.SECP256R1())
        files = CertificateFiles(
            self.folder / f"{name}.crt", self.folder / f"{name}.key"
        )
        files.certificate.write_bytes(self._sign(name, key, is_authority=False))
        files.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files


class TlsSubject:
    """Connects callers and instances, with and without certificates."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.authority = Authority(folder, "authority")
        self.other_authority = Authority(folder, "other-authority")
        self.arrived: list[object] = []
        self.http_version = ""
        self.plaintext_failed = False

    def close(self) -> None:
        self._folder.cleanup()

    def create_contexts(self, signer: Authority) -> PeerContexts:
        files = signer.create_certificate("instance")
        settings = Settings(
            peer_certificate=files.certificate,
            peer_key=files.key,
            peer_authority=self.authority.path,
        )
        contexts = create_peer_contexts(settings)
        assert contexts is not None
        return contexts

    def create_tls_plan(self) -> SitePlan:
        files = self.authority.create_certificate("entry")
        plan = create_plan(0.001)
        plan.settings.caller_certificate = files.certificate
        plan.settings.caller_key = files.key
        plan.authority = self.authority.path
        return plan

    def ask_over_tls(self) -> None:
        path = PathSubject(self.create_tls_plan())
        verify = ssl.create_default_context(cafile=str(self.authority.path))

        async def act(site, client) -> None:
            base = f"https://{site.node.settings.caller_address}"
            async with httpx.AsyncClient(
                base_url=base, http2=True, verify=verify, trust_env=False
            ) as secure:
                response = await path.post_turn(secure, path.build_headers(1), "a")
                assert response.status_code == 200, response.text
                self.http_version = response.http_version
            try:
                await path.post_turn(client, path.build_headers(1), "a")
            except httpx.TransportError:
                self.plaintext_failed = True

        path.run(act)

    def exchange(self, sender_contexts: PeerContexts | None) -> None:
        anyio.run(self._exchange, sender_contexts)

    async def _exchange(self, sender_contexts: PeerContexts | None) -> None:
        listener, near = InstanceId("listener"), InstanceId("sender")
        address = find_address()
        contexts = self.create_contexts(self.authority)
        receiving = PeerBus(listener, Incarnation(1), {}, SILENCE_S, contexts)
        receiving.set_receiver(lambda sender, message: self.arrived.append(message))
        peers = {listener: address}
        sending = PeerBus(near, Incarnation(1), peers, SILENCE_S, sender_contexts)
        sending.set_receiver(lambda sender, message: None)
        async with anyio.create_task_group() as group:
            group.start_soon(receiving.run, address)
            await anyio.sleep(0.1)
            group.start_soon(sending.run, find_address())
            sending.send(listener, MESSAGE)
            with anyio.move_on_after(WAIT_S):
                while not self.arrived:
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()
