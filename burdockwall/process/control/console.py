"""Answer operators about the control state: read, change, export and audit."""

import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.audit import AuditFilter, AuditRecord
from burdockwall.process.control.commands import AnyOperatorCommand, Permission
from burdockwall.process.control.service import ControlService, ReplicaStatus
from burdockwall.process.control.state import NO_CREDENTIAL
from burdockwall.process.operations import Operations
from burdockwall.types import KeyDigest, OperatorId
from burdockwall.version.keys import compute_digest

COMMAND_BODY_BYTES = 33_554_432
BEARER = "Bearer "
OPERATOR_HEADER = b"burdockwall-operator"
_command_decoder = msgspec.json.Decoder(AnyOperatorCommand)


class AuditPage(msgspec.Struct, frozen=True):
    """Hold audit records in the order of their index."""

    records: list[AuditRecord]


class StatePage(msgspec.Struct, frozen=True):
    """Hold the configuration text in force and its version."""

    version: int
    text: str


class ExportPage(msgspec.Struct, frozen=True):
    """Hold an image of the whole state, encoded."""

    image: bytes


def read_credential(exchange: Exchange) -> KeyDigest:
    """Return the digest of the operator's token, if one was sent."""
    header = exchange.get_header(b"authorization") or ""
    if not header.startswith(BEARER):
        return NO_CREDENTIAL
    return compute_digest(header.removeprefix(BEARER))


class Console:
    """Serve the operations of an instance that holds a replica."""

    def __init__(self, service: ControlService) -> None:
        self.service = service

    def register(self, operations: Operations) -> None:
        """Add the operations to those of the process."""
        operations.add_operation("GET", "/control", self._serve_replica)
        operations.add_operation("GET", "/configuration", self._serve_configuration)
        operations.add_operation("GET", "/audit", self._serve_audit)
        operations.add_operation("GET", "/state", self._serve_export)
        operations.add_operation("POST", "/commands", self._serve_command)
        operations.add_operation("POST", "/control/remove", self._serve_removal)

    def _authenticate(self, exchange: Exchange, permission: Permission | None) -> None:
        name = OperatorId(exchange.get_header(OPERATOR_HEADER) or "")
        self.service.authenticate(name, read_credential(exchange), permission)

    async def _serve_replica(self, exchange: Exchange) -> None:
        status: ReplicaStatus = self.service.read_status()
        await exchange.answer_json(200, status)

    async def _serve_configuration(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, None)
        state = self.service.state
        await exchange.answer_json(200, StatePage(state.version, state.text))

    async def _serve_audit(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, None)
        query = dict(exchange.list_query())
        try:
            chosen = msgspec.convert(query, AuditFilter, strict=False)
        except msgspec.ValidationError as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        records = self.service.list_audit(chosen)
        await exchange.answer_json(200, AuditPage(records))

    async def _serve_export(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, Permission.STATE)
        await exchange.answer_json(200, ExportPage(self.service.state.encode()))

    async def _serve_command(self, exchange: Exchange) -> None:
        body = await exchange.read_body(COMMAND_BODY_BYTES)
        try:
            command = _command_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        credential = read_credential(exchange)
        outcome = await self.service.run_command(command, credential)
        await exchange.answer_json(200, outcome)

    async def _serve_removal(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, Permission.STATE)
        await self.service.remove_member(dict(exchange.list_query()).get("voter", ""))
        await exchange.answer_json(200, self.service.read_status())
