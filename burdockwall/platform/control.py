"""Handlers of operators' calls, and of callers' requests for entry addresses."""

from functools import partial

import logbook
import msgspec

from burdockwall.connection.exchange import JSON_TYPE, Exchange, Headers
from burdockwall.errors import (
    BurdockwallError,
    Code,
    InvalidFile,
    OperatorError,
    RequestRefused,
)
from burdockwall.platform import names
from burdockwall.platform.codec import PlatformCodec
from burdockwall.platform.configuration import decode_new
from burdockwall.platform.failure import encode_failure
from burdockwall.process.cold_endpoints.health import ask_health
from burdockwall.process.collection import pause_collection
from burdockwall.process.control.documents import Documents
from burdockwall.process.control_node import ControlNode, find_store
from burdockwall.process.resolver import resolve_domain
from burdockwall.types import FailureDomain, OperatorId
from burdockwall.version.deployment import DEPLOYMENT

CONFIGURATION_LIMIT_BYTES = 16_777_216
RETRY_AFTER_S = "0.3"
OPERATOR = OperatorId("operator")
JSON_HEADERS: Headers = [JSON_TYPE]
REDIRECT_STATUS = 307
EMPTYING_STATES = {False: "running", True: "completed"}


class _Resolution(msgspec.Struct, rename="kebab"):
    addrs: list[str]
    ttl_s: float


class OperatorHandler:
    """Answers the calls of operators at a control instance."""

    def __init__(self, node: ControlNode) -> None:
        self.node = node
        self.documents: Documents = node.documents
        self._logger = logbook.Logger("operators")

    async def serve(self, exchange: Exchange) -> None:
        """Answer one call."""
        try:
            await self._serve_call(exchange)
        except BurdockwallError as error:
            self._logger.info(
                "call refused",
                extra={
                    "call": f"{exchange.method} {exchange.path}",
                    "code": error.code.value.number,
                    "detail": error.detail,
                },
            )
            if exchange.started:
                raise
            await self._refuse(exchange, error)

    async def _serve_call(self, exchange: Exchange) -> None:
        call = (exchange.method, exchange.path)
        body = await exchange.read_body(CONFIGURATION_LIMIT_BYTES)
        if call == ("POST", names.CONFIG_PUT_PATH):
            await self._put_configuration(exchange, body)
        elif call == ("GET", names.CONFIG_GET_PATH):
            await self._get_configuration(exchange)
        elif exchange.path.startswith(names.RETIRE_PREFIX):
            await self._serve_retire(exchange)
        elif exchange.path.startswith(names.EVACUATE_PREFIX):
            await self._serve_evacuate(exchange)
        else:
            raise RequestRefused(Code.NO_ROUTE, f"{exchange.method} {exchange.path}")

    async def _put_configuration(self, exchange: Exchange, body: bytes) -> None:
        with pause_collection():
            deployment = decode_new(body)
        await self.documents.put(DEPLOYMENT, deployment.number, body, OPERATOR)
        await exchange.answer(200, JSON_HEADERS, b"{}")

    async def _get_configuration(self, exchange: Exchange) -> None:
        document = await self.documents.read(DEPLOYMENT)
        if document is None:
            raise OperatorError(Code.NOT_READY, "no configuration came yet")
        await exchange.answer(200, JSON_HEADERS, document.data)

    async def _serve_retire(self, exchange: Exchange) -> None:
        name, _, action = exchange.path.removeprefix(names.RETIRE_PREFIX).partition("/")
        await self.node.control.confirm_read()
        instance = find_store(self.node, name)
        if instance is None:
            raise OperatorError(Code.STORE_UNKNOWN, f"no store {name!r}")
        match (exchange.method, action):
            case ("POST", "start"):
                await self.node.start_emptying(instance)
                await exchange.answer(200, JSON_HEADERS, b"{}")
            case ("GET", "get"):
                emptied = await self.node.is_emptied(instance)
                if emptied is None:
                    raise OperatorError(Code.STORE_UNKNOWN, f"{name!r} is in use")
                body = msgspec.json.encode({"state": EMPTYING_STATES[emptied]})
                await exchange.answer(200, JSON_HEADERS, body)
            case _:
                raise RequestRefused(Code.NO_ROUTE, f"{exchange.method} {action}")

    async def _serve_evacuate(self, exchange: Exchange) -> None:
        path = exchange.path.removeprefix(names.EVACUATE_PREFIX)
        zone, _, action = path.rpartition("/")
        orders = self.node.evacuation_orders
        match (exchange.method, action):
            case ("POST", "start"):
                await orders.start(FailureDomain(zone), OPERATOR)
            case ("POST", "end"):
                await orders.end(FailureDomain(zone), OPERATOR)
            case _:
                raise RequestRefused(Code.NO_ROUTE, f"{exchange.method} {action}")
        await exchange.answer(200, JSON_HEADERS, b"{}")

    async def _refuse(self, exchange: Exchange, error: BurdockwallError) -> None:
        leader = self.documents.find_leader_address()
        if error.code is Code.NOT_LEADER and leader is not None:
            location = f"http://{leader}{exchange.raw_path}".encode()
            await exchange.answer(REDIRECT_STATUS, [(b"location", location)], b"")
            return
        code_row = error.code.value
        headers = list(JSON_HEADERS)
        if code_row.status == 503:
            headers.append((names.RETRY_AFTER, RETRY_AFTER_S.encode()))
        status = 400 if isinstance(error, InvalidFile) else code_row.status
        await exchange.answer(status, headers, encode_failure(error))


class DirectoryHandler:
    """Answers callers that ask for the addresses of entry instances."""

    def __init__(self, node: ControlNode, ttl_s: float) -> None:
        self.node = node
        self.ttl_s = ttl_s

    async def serve(self, exchange: Exchange) -> None:
        """Answer one call."""
        query = dict(exchange.list_query())
        failure_domain = FailureDomain(query.get("zone", ""))
        members = self.node.member.membership.list_members()
        resolution = resolve_domain(members, failure_domain, self.ttl_s)
        addresses = [item.address for item in resolution.addresses]
        if exchange.path != names.RESOLVE_PATH or not addresses:
            await exchange.answer(404 if addresses else 503, JSON_HEADERS, b"{}")
            return
        body = msgspec.json.encode(_Resolution(list(addresses), self.ttl_s))
        await exchange.answer(200, JSON_HEADERS, body)


def install_handlers(node: ControlNode) -> None:
    """Set the handlers of operators' and callers' requests at a control instance."""
    directory = DirectoryHandler(node, node.settings.resolve_ttl_s)
    node.cold.ask_health = partial(ask_health, PlatformCodec())
    node.set_servers(OperatorHandler(node).serve, directory.serve)
