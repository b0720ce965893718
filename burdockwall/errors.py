"""The numbered result codes and the exceptions that carry them."""

from enum import Enum

import msgspec

from burdockwall.types import Ran


class Retry(Enum):
    """Whether the caller may safely send the same request again."""

    SAFE = "safe"
    SAME_KEY = "safe with the same idempotency key"
    NEVER = "not useful"


class CodeRow(msgspec.Struct, frozen=True):
    """A result code: its number, HTTP status and meaning."""

    number: int
    status: int
    ran: Ran
    retry: Retry
    meaning: str


class Code(Enum):
    """Every result that is not a success."""

    # Requests that callers can correct.
    BAD_REQUEST = CodeRow(
        1001, 400, Ran.NOT_RUN, Retry.NEVER, "The request is malformed."
    )
    BODY_TOO_LARGE = CodeRow(
        1002, 413, Ran.NOT_RUN, Retry.NEVER, "The body exceeds the size limit."
    )
    NO_ROUTE = CodeRow(
        1003, 404, Ran.NOT_RUN, Retry.NEVER, "No route matches the path or model."
    )
    BODY_SLOW = CodeRow(1004, 408, Ran.NOT_RUN, Retry.SAFE, "The body stopped coming.")
    BODY_CUT = CodeRow(
        1005, 400, Ran.UNKNOWN, Retry.SAME_KEY, "The caller left within the body."
    )
    KEY_MISSING = CodeRow(
        1101, 401, Ran.NOT_RUN, Retry.NEVER, "The route needs a key and none came."
    )
    KEY_REFUSED = CodeRow(
        1102, 401, Ran.NOT_RUN, Retry.NEVER, "The key is unknown or withdrawn."
    )
    ROUTE_FORBIDDEN = CodeRow(
        1103, 403, Ran.NOT_RUN, Retry.NEVER, "The customer may not use the route."
    )
    KEY_MISPLACED = CodeRow(
        1104, 400, Ran.NOT_RUN, Retry.NEVER, "A path, id or body contains the key."
    )
    KEY_IN_STREAM = CodeRow(
        1105, 400, Ran.UNKNOWN, Retry.NEVER, "A body under way contained the key."
    )
    # Programs.
    PROGRAM_UNKNOWN = CodeRow(
        1201, 404, Ran.NOT_RUN, Retry.NEVER, "The customer has no such program."
    )
    TURN_STALE = CodeRow(
        1202, 409, Ran.NOT_RUN, Retry.NEVER, "The turn number has been passed."
    )
    TURN_GAP = CodeRow(
        1203, 409, Ran.NOT_RUN, Retry.NEVER, "A turn before this one is missing."
    )
    TURN_RUNNING = CodeRow(
        1204, 409, Ran.NOT_RUN, Retry.SAFE, "Another call of the program is running."
    )
    STREAM_ELSEWHERE = CodeRow(
        1205, 409, Ran.RAN, Retry.SAFE, "The rest of the stream is not held here."
    )
    PROGRAM_ENDED = CodeRow(
        1212, 410, Ran.NOT_RUN, Retry.NEVER, "The program has ended."
    )
    TURN_NOT_STORED = CodeRow(
        1213, 503, Ran.UNKNOWN, Retry.SAFE, "The turn's answer could not be stored."
    )
    BUDGET_SPENT = CodeRow(
        1206, 403, Ran.NOT_RUN, Retry.NEVER, "The program's budget is spent."
    )
    BUDGET_RESERVED = CodeRow(
        1207, 409, Ran.NOT_RUN, Retry.SAFE, "Calls under way hold the rest of a budget."
    )
    PROGRAM_LIMIT = CodeRow(
        1208, 409, Ran.NOT_RUN, Retry.NEVER, "A limit on a program's size is reached."
    )
    RECORDS_UNAVAILABLE = CodeRow(
        1209, 503, Ran.NOT_RUN, Retry.SAFE, "The program's record cannot be written."
    )
    RECORDS_FULL = CodeRow(
        1210, 503, Ran.NOT_RUN, Retry.SAFE, "The limit on records is reached."
    )
    CALL_REVOKED = CodeRow(
        1211, 409, Ran.UNKNOWN, Retry.NEVER, "The call was cancelled or superseded."
    )
    TURN_UNKNOWN = CodeRow(
        1214, 404, Ran.NOT_RUN, Retry.NEVER, "The customer has no such turn."
    )
    TURN_UNCERTAIN = CodeRow(
        1215, 503, Ran.NOT_RUN, Retry.SAFE, "The earlier turn can't be read for now."
    )
    # Idempotency keys.
    IDEMPOTENCY_CONFLICT = CodeRow(
        1221, 422, Ran.NOT_RUN, Retry.NEVER, "The key came before with another body."
    )
    IDEMPOTENCY_RUNNING = CodeRow(
        1222, 409, Ran.UNKNOWN, Retry.SAME_KEY, "The first request is under way."
    )
    IDEMPOTENCY_EXPIRED = CodeRow(
        1223, 409, Ran.UNKNOWN, Retry.NEVER, "The key's outcome is no longer kept."
    )
    OUTCOME_UNKNOWN = CodeRow(
        1224, 504, Ran.UNKNOWN, Retry.SAME_KEY, "The request may have run."
    )
    SETTLED_AS_RUN = CodeRow(
        1225, 409, Ran.RAN, Retry.NEVER, "An operator settled the request as run."
    )
    # Limits and load.
    RATE_EXCEEDED = CodeRow(
        1301, 429, Ran.NOT_RUN, Retry.SAFE, "The customer's rate and burst are spent."
    )
    OVERLOADED = CodeRow(
        1302, 503, Ran.NOT_RUN, Retry.SAFE, "The queue for this class is full."
    )
    LIMIT_UNREACHABLE = CodeRow(
        1303, 503, Ran.NOT_RUN, Retry.SAFE, "The owner of the rate does not answer."
    )
    DEADLINE_UNMET = CodeRow(
        1305, 503, Ran.NOT_RUN, Retry.SAFE, "The request's deadline cannot be met."
    )
    COST_ABOVE_BURST = CodeRow(
        1304, 403, Ran.NOT_RUN, Retry.NEVER, "The route costs more than the burst."
    )
    PROGRAMS_EXCEED_RATE = CodeRow(
        1306,
        429,
        Ran.NOT_RUN,
        Retry.SAFE,
        "The customer's rate does not carry another program now.",
    )
    # Endpoints.
    NO_ENDPOINT = CodeRow(
        1401, 503, Ran.NOT_RUN, Retry.SAFE, "No endpoint can take the request."
    )
    ENDPOINT_FAILED = CodeRow(
        1402, 502, Ran.UNKNOWN, Retry.SAME_KEY, "The endpoint failed after the send."
    )
    ENDPOINT_UNREACHABLE = CodeRow(
        1403, 502, Ran.NOT_RUN, Retry.SAFE, "The endpoint took no connection."
    )
    CALLER_GONE = CodeRow(
        1404, 499, Ran.UNKNOWN, Retry.SAME_KEY, "The caller left before the end."
    )
    ENDPOINT_REFUSED = CodeRow(
        1405, 422, Ran.NOT_RUN, Retry.NEVER, "The endpoint refused the request."
    )
    RESUME_UNAVAILABLE = CodeRow(
        1406, 503, Ran.NOT_RUN, Retry.SAFE, "No endpoint may go on with the stream."
    )
    ENDPOINTS_LIMITED = CodeRow(
        1407, 503, Ran.NOT_RUN, Retry.SAFE, "The endpoints take no more requests now."
    )
    CRASHES_ENDPOINTS = CodeRow(
        1408, 422, Ran.UNKNOWN, Retry.NEVER, "The request crashed each endpoint."
    )
    # The instance itself.
    NOT_READY = CodeRow(
        1501, 503, Ran.NOT_RUN, Retry.SAFE, "The instance has no valid configuration."
    )
    LEAVING = CodeRow(
        1502, 503, Ran.NOT_RUN, Retry.SAFE, "The instance is shutting down."
    )
    LEASE_LAPSED = CodeRow(
        1503, 503, Ran.NOT_RUN, Retry.SAFE, "The instance is cut off from the leader."
    )
    CUT_OFF = CodeRow(
        1504, 503, Ran.NOT_RUN, Retry.SAFE, "The instance reaches no endpoint now."
    )
    OUTDATED = CodeRow(
        1505, 503, Ran.NOT_RUN, Retry.SAFE, "A newer configuration may allow it."
    )
    INTERNAL = CodeRow(
        1599, 500, Ran.UNKNOWN, Retry.SAME_KEY, "An internal fault; see the log."
    )
    # Settings and operators.
    SETTINGS_INVALID = CodeRow(
        2001, 400, Ran.NOT_RUN, Retry.NEVER, "A settings file has faults."
    )
    CONFIGURATION_INVALID = CodeRow(
        2002, 400, Ran.NOT_RUN, Retry.NEVER, "A configuration has faults."
    )
    VERSION_CONFLICT = CodeRow(
        2003, 409, Ran.NOT_RUN, Retry.NEVER, "Another change won this version."
    )
    OPERATOR_REFUSED = CodeRow(
        2004, 403, Ran.NOT_RUN, Retry.NEVER, "The operator may not do this."
    )
    NOT_LEADER = CodeRow(
        2005, 503, Ran.NOT_RUN, Retry.SAFE, "The control instance is not the leader."
    )
    UNREACHABLE = CodeRow(
        2006, 503, Ran.UNKNOWN, Retry.SAME_KEY, "No instance answered the operator."
    )
    SUBMISSION_REUSED = CodeRow(
        2007, 409, Ran.NOT_RUN, Retry.NEVER, "The submission id has another text."
    )
    KEY_UNKNOWN = CodeRow(2008, 404, Ran.NOT_RUN, Retry.NEVER, "No such key exists.")
    KEY_REUSED = CodeRow(
        2009, 409, Ran.NOT_RUN, Retry.NEVER, "The key has been issued before."
    )
    CUSTOMER_UNKNOWN = CodeRow(
        2010, 404, Ran.NOT_RUN, Retry.NEVER, "The configuration lacks the customer."
    )
    VERSION_UNKNOWN = CodeRow(
        2011, 404, Ran.NOT_RUN, Retry.NEVER, "The version is no longer kept."
    )
    IMAGE_INVALID = CodeRow(
        2012, 400, Ran.NOT_RUN, Retry.NEVER, "The image of the state has faults."
    )
    CHANGE_UNKNOWN = CodeRow(
        2013,
        503,
        Ran.UNKNOWN,
        Retry.SAME_KEY,
        "The change may have been made; send the same submission again.",
    )
    NO_QUORUM = CodeRow(
        2014, 503, Ran.NOT_RUN, Retry.SAFE, "The control instances lack a quorum."
    )
    AUDIT_BROKEN = CodeRow(
        2015, 500, Ran.NOT_RUN, Retry.NEVER, "The audit trail fails its chain."
    )
    IN_FORCE_UNKNOWN = CodeRow(
        2016,
        503,
        Ran.UNKNOWN,
        Retry.SAFE,
        "The version is accepted, but may not be in force everywhere yet.",
    )
    STORES_TOO_FEW = CodeRow(
        2017, 409, Ran.NOT_RUN, Retry.NEVER, "Too few stores would be left."
    )
    STORE_UNKNOWN = CodeRow(2018, 404, Ran.NOT_RUN, Retry.NEVER, "No such store.")
    LOGS_UNREADABLE = CodeRow(
        2019, 400, Ran.NOT_RUN, Retry.NEVER, "Hardly a line is a log line."
    )
    NOT_LOGGED = CodeRow(2020, 404, Ran.NOT_RUN, Retry.NEVER, "No log line names it.")
    DOMAIN_UNKNOWN = CodeRow(
        2021, 404, Ran.NOT_RUN, Retry.NEVER, "No such failure domain."
    )
    # Files under the data folder.
    JOURNAL_DAMAGED = CodeRow(
        2101, 500, Ran.NOT_RUN, Retry.NEVER, "The journal fails its checksum."
    )
    SNAPSHOT_DAMAGED = CodeRow(
        2102, 500, Ran.NOT_RUN, Retry.NEVER, "The snapshot fails its checksum."
    )
    IDENTITY_LOST = CodeRow(
        2103, 500, Ran.NOT_RUN, Retry.NEVER, "The data folder has no identity."
    )
    IDENTITY_OTHER = CodeRow(
        2104, 500, Ran.NOT_RUN, Retry.NEVER, "The data folder is another instance's."
    )
    DISK_FAILED = CodeRow(
        2105, 500, Ran.UNKNOWN, Retry.SAME_KEY, "A write to the data folder failed."
    )
    STATE_UNCERTAIN = CodeRow(
        2106, 500, Ran.UNKNOWN, Retry.SAME_KEY, "A fault left stored state uncertain."
    )
    ADDRESS_UNAVAILABLE = CodeRow(
        2107, 500, Ran.NOT_RUN, Retry.NEVER, "A listening address can't be used."
    )


class Fault(msgspec.Struct, frozen=True):
    """A fault in a file: its place, the problem and the remedy."""

    code: Code
    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        number = self.code.value.number
        return f"{number} {self.place}: {self.problem}. {self.remedy}"


def find_code(number: int) -> Code:
    """Return the code with a number."""
    return _CODES[number]


_CODES = {code.value.number: code for code in Code}


class BurdockwallError(Exception):
    """A result with a code; the base of every error of the project."""

    def __init__(
        self, code: Code, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{code.value.number} {detail or code.value.meaning}")
        self.code = code
        self.detail = detail or code.value.meaning
        self.retry_after_s = retry_after_s


class RequestRefused(BurdockwallError):
    """A caller's request is refused; the code says whether it has run."""


class InvalidFile(BurdockwallError):
    """A settings or configuration file is invalid; `faults` lists every fault."""

    def __init__(self, code: Code, faults: list[Fault]) -> None:
        super().__init__(code, "\n".join(str(fault) for fault in faults))
        self.faults = faults


class OperatorError(BurdockwallError):
    """An operator's command was refused or has failed."""
