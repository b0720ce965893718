"""Show unknown outcomes to operators, and settle them."""

import logbook
import msgspec

from burdockwall.connection.exchange import Exchange
from burdockwall.connection.json_text import JsonUnreadable, decode_json
from burdockwall.errors import Code, OperatorError, find_code
from burdockwall.process.operations import Operations
from burdockwall.process.programs import calls
from burdockwall.process.programs.client import RecordClient
from burdockwall.process.programs.operations import OutcomeKey
from burdockwall.process.programs.unrepeatable import NoAnswerError
from burdockwall.types import CustomerId, IdempotencyKey, OperatorId, RouteName

UNKNOWNS_PATH = "/unknowns"
SETTLE_PATH = "/unknowns/settle"
SETTLE_BODY_BYTES = 65_536
_logger = logbook.Logger("audit")


class UnknownsPage(msgspec.Struct, frozen=True):
    """A page of unknown outcomes; `unheard` counts the shards that did not answer."""

    items: list[calls.UnknownOutcome]
    unheard: int


class SettleBody(msgspec.Struct, frozen=True):
    """What an operator found out about an unknown outcome."""

    operator: OperatorId
    customer: CustomerId
    route: RouteName
    key: IdempotencyKey
    ran: bool
    note: str


_settle_decoder = msgspec.json.Decoder(SettleBody)


class Unknowns:
    """Answers operators with the unknown outcomes that the shards' primaries list."""

    def __init__(self, client: RecordClient) -> None:
        self.client = client

    async def serve_list(self, exchange: Exchange) -> None:
        """List the unknown outcomes of all shards."""
        answers = await self.client.ask_all(calls.ListUnknown())
        items = [
            item
            for answer in answers
            if isinstance(answer, calls.UnknownOutcomes)
            for item in answer.items
        ]
        items.sort(key=lambda item: -item.age_s)
        unheard = len(self.client.list_shards()) - len(answers)
        await exchange.answer_json(200, UnknownsPage(items, unheard))

    async def serve_settle(self, exchange: Exchange) -> None:
        """Settle one unknown outcome and write the audit line."""
        body = await exchange.read_body(SETTLE_BODY_BYTES)
        try:
            settle = decode_json(body, _settle_decoder)
        except JsonUnreadable as error:
            raise OperatorError(Code.BAD_REQUEST, str(error)) from error
        key = OutcomeKey(settle.customer, settle.route, settle.key)
        call = calls.Settle(key, settle.operator, settle.ran, settle.note)
        try:
            answer = await self.client.ask_record(key, call)
        except NoAnswerError as error:
            raise OperatorError(Code.UNREACHABLE, "no primary answered") from error
        if isinstance(answer, calls.Refused):
            raise OperatorError(find_code(answer.code), answer.detail)
        _logger.notice("outcome settled", extra=msgspec.structs.asdict(settle))
        await exchange.answer_json(200, settle)


def add_unknowns(operations: Operations, client: RecordClient) -> None:
    """Let operators list and settle unknown outcomes at this instance."""
    unknowns = Unknowns(client)
    operations.add_operation("GET", UNKNOWNS_PATH, unknowns.serve_list)
    operations.add_operation("POST", SETTLE_PATH, unknowns.serve_settle)
