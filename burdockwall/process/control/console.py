"""Serve operators' requests: read, change, export and audit the control state."""

from collections.abc import Awaitable, Callable

import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.connection.figures import SHOWN_CHARACTERS, read_count
from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.audit import AuditFilter, AuditRecord
from burdockwall.process.control.commands import AnyOperatorCommand, Permission
from burdockwall.process.control.service import ControlService, ReplicaStatus
from burdockwall.process.credential import read_credential
from burdockwall.process.membership.rollout import InForce
from burdockwall.process.operations import Operations
from burdockwall.types import OperatorId, Version

WaitInForce = Callable[[Version], Awaitable[InForce]]
COMMAND_BODY_BYTES = 33_554_432
OPERATOR_HEADER = b"burdockwall-operator"
_command_decoder = msgspec.json.Decoder(AnyOperatorCommand)


class AuditPage(msgspec.Struct, frozen=True):
    """Audit records in the order of their index."""

    records: list[AuditRecord]


class StatePage(msgspec.Struct, frozen=True):
    """The configuration text in force and its version."""

    version: int
    text: str


class ExportPage(msgspec.Struct, frozen=True):
    """An encoded image of the whole state."""

    image: bytes


class InForcePage(msgspec.Struct, frozen=True):
    """The instances that confirmed a version, and those whose lease expired."""

    version: int
    waited_s: float
    confirmed: tuple[str, ...]
    lapsed: tuple[str, ...]


class Console:
    """HTTP operations of an instance that holds a replica."""

    def __init__(self, service: ControlService, wait_in_force: WaitInForce) -> None:
        self.service = service
        self.wait_in_force = wait_in_force

    def register(self, operations: Operations) -> None:
        """Add the operations to those of the process."""
        operations.add_operation("GET", "/control", self._serve_replica)
        operations.add_operation("GET", "/configuration", self._serve_configuration)
        operations.add_operation("GET", "/audit", self._serve_audit)
        operations.add_operation("GET", "/in-force", self._serve_in_force)
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
            audit_filter = msgspec.convert(query, AuditFilter, strict=False)
        except msgspec.ValidationError as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        records = self.service.list_audit(audit_filter)
        await exchange.answer_json(200, AuditPage(records))

    async def _serve_in_force(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, None)
        text = dict(exchange.list_query()).get("version", "")
        version = read_count(text)
        if version is None:
            detail = f"version is {text[:SHOWN_CHARACTERS]!r}, not a number"
            raise OperatorError(Code.BAD_REQUEST, detail)
        try:
            status = await self.wait_in_force(Version(version))
        except TimeoutError as error:
            raise OperatorError(Code.IN_FORCE_UNKNOWN) from error
        page = InForcePage(
            status.version, status.waited_s, status.confirmed, status.expired
        )
        await exchange.answer_json(200, page)

    async def _serve_export(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, Permission.STATE)
        await exchange.answer_json(200, ExportPage(self.service.state.encode()))

    async def _serve_command(self, exchange: Exchange) -> None:
        body = await exchange.read_body(COMMAND_BODY_BYTES)
        try:
            command = decode_json(body, _command_decoder)
        except JsonUnreadable as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        credential = read_credential(exchange)
        outcome = await self.service.run_command(command, credential)
        await exchange.answer_json(200, outcome)

    async def _serve_removal(self, exchange: Exchange) -> None:
        await self.service.confirm_read()
        self._authenticate(exchange, Permission.STATE)
        await self.service.remove_member(dict(exchange.list_query()).get("voter", ""))
        await exchange.answer_json(200, self.service.read_status())
