"""Client of operators; the command line reaches instances only through it."""

import secrets
import time
import urllib.parse
import uuid
from pathlib import Path
from typing import TypeVar

import httpx
import msgspec

from burdockwall.connection.tls import choose_scheme, create_client_context
from burdockwall.errors import Code, OperatorError, find_code
from burdockwall.process.control.audit import AuditFilter
from burdockwall.process.control.commands import (
    AnyOperatorCommand,
    DefineOperator,
    ImportState,
    IssueKey,
    Operator,
    Outcome,
    Permission,
    RemoveOperator,
    RollBack,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.process.control.console import (
    AuditPage,
    ExportPage,
    InForcePage,
    StatePage,
)
from burdockwall.process.control.service import ReplicaStatus
from burdockwall.process.control.withdrawals import is_digest
from burdockwall.process.evacuation.evacuations import Evacuations
from burdockwall.process.membership.page import FleetPage
from burdockwall.process.metrics import MetricsPage
from burdockwall.process.operations import (
    EVACUATION_END_PATH,
    EVACUATION_START_PATH,
    Status,
)
from burdockwall.process.programs.unknowns import SettleBody, UnknownsPage
from burdockwall.process.resolver import Resolution
from burdockwall.process.scheduling.explain import PlacementPage
from burdockwall.types import (
    Address,
    CustomerId,
    FailureDomain,
    IdempotencyKey,
    KeyDigest,
    OperatorId,
    Ran,
    RouteName,
    Version,
)
from burdockwall.version.keys import compute_digest, create_key

CALL_TIMEOUT_S = 15.0
LEADER_SEARCH_LIMIT_S = 10.0
LEADER_RETRY_PAUSE_S = 0.2
TOKEN_PREFIX = "bwo_"
TOKEN_BYTES = 24
_RETRYABLE_CODES = (
    Code.NOT_LEADER,
    Code.NO_QUORUM,
    Code.CHANGE_UNKNOWN,
    Code.UNREACHABLE,
)
T = TypeVar("T")


class _NotConnected(OperatorError):
    """The call was certainly not sent."""


def _choose_error(
    earlier: OperatorError | None, latest: OperatorError
) -> OperatorError:
    """Choose the error to raise; a later refusal doesn't settle an unknown outcome."""
    if earlier is None or isinstance(earlier, _NotConnected):
        return latest
    if isinstance(latest, _NotConnected) or earlier.code.value.ran is Ran.UNKNOWN:
        return earlier
    return latest


def create_submission() -> str:
    """Create a submission id; a resend of the same command uses the same id."""
    return uuid.uuid4().hex


def create_token() -> str:
    """Create an operator's token."""
    return TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)


class InstanceMetrics(msgspec.Struct, frozen=True):
    """The metrics of an instance, with its operator address."""

    address: Address
    metrics: MetricsPage


class OperatorClient:
    """Sends operators' commands to an instance or to the leader.

    `address` is tried first and then `others`; `authority` is the PEM file of the
    authority that signed the instances' certificates, and None means no TLS.
    """

    def __init__(
        self,
        address: Address,
        operator: OperatorId,
        authority: Path | None = None,
        token: str = "",
        others: tuple[Address, ...] = (),
    ) -> None:
        self.address = address
        self.operator = operator
        self.token = token
        self.others = others
        self.scheme = choose_scheme(authority)
        self.tls = create_client_context(authority)

    def _call(
        self,
        method: str,
        path: str,
        response_type: type[T],
        body: bytes | None = None,
        address: Address | None = None,
    ) -> T:
        address = address or self.address
        url = f"{self.scheme}://{address}{path}"
        headers = {"burdockwall-operator": str(self.operator)}
        if self.token:
            headers["authorization"] = f"Bearer {self.token}"
        try:
            response = httpx.request(
                method,
                url,
                content=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
                trust_env=False,
                verify=self.tls,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise _NotConnected(Code.UNREACHABLE, f"{address}: {error}") from error
        except httpx.HTTPError as error:
            detail = f"{address}: {error}"
            raise OperatorError(Code.UNREACHABLE, detail) from error
        if response.status_code != httpx.codes.OK:
            refusal = response.json()["error"]
            raise OperatorError(find_code(refusal["code"]), refusal["message"])
        return msgspec.json.decode(response.content, type=response_type)

    def _call_leader(
        self, method: str, path: str, response_type: type[T], body: bytes | None = None
    ) -> T:
        """Call instances until the leader answers; the call must be idempotent."""
        error_to_raise: OperatorError | None = None
        deadline = time.monotonic() + LEADER_SEARCH_LIMIT_S
        addresses = [self.address, *self.others]
        while True:
            address = addresses.pop(0)
            addresses.append(address)
            try:
                return self._call(method, path, response_type, body, address)
            except OperatorError as error:
                if error.code not in _RETRYABLE_CODES:
                    raise
                error_to_raise = _choose_error(error_to_raise, error)
                if time.monotonic() >= deadline:
                    raise error_to_raise from error
                leader = self._find_leader(address, error)
            if leader is not None and addresses[0] != leader:
                addresses = [leader, *(item for item in addresses if item != leader)]
            else:
                time.sleep(LEADER_RETRY_PAUSE_S)

    def _find_leader(self, address: Address, error: OperatorError) -> Address | None:
        if error.code is not Code.NOT_LEADER:
            return None
        try:
            status = self._call("GET", "/control", ReplicaStatus, address=address)
        except OperatorError:
            return None
        return status.leader_address or None

    def run(self, command: AnyOperatorCommand) -> Outcome:
        """Run a command; it takes effect once, even if it is sent several times."""
        body = msgspec.json.encode(command)
        outcome = self._call_leader("POST", "/commands", Outcome, body)
        if outcome.code:
            raise OperatorError(find_code(outcome.code), outcome.detail)
        return outcome

    def read_status(self) -> Status:
        """Read the status of the instance."""
        return self._call("GET", "/status", Status)

    def read_placements(self) -> PlacementPage:
        """Read the endpoints that the instance chose for calls, with the reasons."""
        return self._call("GET", "/placements", PlacementPage)

    def read_fleet(self) -> FleetPage:
        """Read the fleet as the instance sees it."""
        return self._call("GET", "/fleet", FleetPage)

    def read_replica(self) -> ReplicaStatus:
        """Read the status of the instance's replica of the control state."""
        return self._call("GET", "/control", ReplicaStatus)

    def read_audit(self, audit_filter: AuditFilter | None = None) -> AuditPage:
        """Read the records of the audit trail that match a filter."""
        query = msgspec.structs.asdict(audit_filter or AuditFilter())
        fields = {name: value for name, value in query.items() if value is not None}
        path = f"/audit?{urllib.parse.urlencode(fields)}"
        return self._call_leader("GET", path, AuditPage)

    def evacuate(self, domain: FailureDomain, end: bool = False) -> Evacuations:
        """Evacuate a failure domain, or end that; return what is evacuated then."""
        path = EVACUATION_END_PATH if end else EVACUATION_START_PATH
        query = urllib.parse.urlencode({"domain": domain})
        return self._call_leader("POST", f"{path}?{query}", Evacuations)

    def wait_in_force(self, version: Version) -> InForcePage:
        """Wait until no instance acts under an earlier version, or raise."""
        query = urllib.parse.urlencode({"version": version})
        return self._call_leader("GET", f"/in-force?{query}", InForcePage)

    def read_configuration(self) -> StatePage:
        """Read the configuration in force."""
        return self._call_leader("GET", "/configuration", StatePage)

    def submit(
        self,
        text: str,
        based_on: Version | None = None,
        submission: str | None = None,
    ) -> Outcome:
        """Submit a configuration based on a version, by default the latest."""
        if based_on is None:
            based_on = Version(self.read_configuration().version)
        return self.run(
            SubmitConfiguration(
                operator=self.operator,
                submission=submission or create_submission(),
                based_on=based_on,
                text=text,
            )
        )

    def roll_back(self, target: Version, based_on: Version | None = None) -> Outcome:
        """Put the configuration of an earlier version in force again."""
        if based_on is None:
            based_on = Version(self.read_configuration().version)
        return self.run(
            RollBack(
                operator=self.operator,
                submission=create_submission(),
                based_on=based_on,
                target=target,
            )
        )

    def export_state(self) -> bytes:
        """Read an image of the whole control state."""
        return self._call_leader("GET", "/state", ExportPage).image

    def import_state(self, image: bytes, based_on: Version | None = None) -> Outcome:
        """Replace the control state by an image."""
        if based_on is None:
            based_on = Version(self.read_configuration().version)
        return self.run(
            ImportState(
                operator=self.operator,
                submission=create_submission(),
                based_on=based_on,
                image=image,
            )
        )

    def define_operator(
        self,
        name: OperatorId,
        permissions: tuple[Permission, ...],
        customers: tuple[CustomerId, ...] = (),
    ) -> str:
        """Define an operator and return its new token, which is not stored."""
        token = create_token()
        defined = Operator(name, compute_digest(token), permissions, customers)
        self.run(
            DefineOperator(
                operator=self.operator,
                submission=create_submission(),
                defined=defined,
            )
        )
        return token

    def remove_operator(self, name: OperatorId) -> Outcome:
        """Remove an operator."""
        return self.run(
            RemoveOperator(
                operator=self.operator, submission=create_submission(), name=name
            )
        )

    def remove_replica(self, voter: str) -> ReplicaStatus:
        """Remove a replica of the control state."""
        query = urllib.parse.urlencode({"voter": voter})
        path = f"/control/remove?{query}"
        return self._call_leader("POST", path, ReplicaStatus)

    def issue_key(self, customer: CustomerId) -> str:
        """Issue a key for a customer and return the key, which is not stored."""
        key = create_key()
        self.run(
            IssueKey(
                operator=self.operator,
                submission=create_submission(),
                customer=customer,
                digest=compute_digest(key),
            )
        )
        return key

    def withdraw_key(self, key: str) -> Outcome:
        """Withdraw a key, given as the key itself or as its digest."""
        digest = KeyDigest(key) if is_digest(key) else compute_digest(key)
        return self.run(
            WithdrawKey(
                operator=self.operator,
                submission=create_submission(),
                digest=digest,
            )
        )

    def read_metrics(self) -> list[InstanceMetrics]:
        """Read the metrics of the instance at each of the client's addresses."""
        return [
            InstanceMetrics(
                address, self._call("GET", "/metrics", MetricsPage, address=address)
            )
            for address in (self.address, *self.others)
        ]

    def list_unknowns(self) -> UnknownsPage:
        """List the requests that may or may not have run."""
        return self._call("GET", "/unknowns", UnknownsPage)

    def settle_unknown(
        self,
        customer: CustomerId,
        route: RouteName,
        key: IdempotencyKey,
        ran: bool,
        note: str,
    ) -> SettleBody:
        """Record whether a request with an unknown outcome has run."""
        body = SettleBody(self.operator, customer, route, key, ran, note)
        encoded = msgspec.json.encode(body)
        return self._call("POST", "/unknowns/settle", SettleBody, encoded)

    def drain(self) -> Status:
        """Ask the instance to leave."""
        return self._call("POST", "/drain", Status)


def resolve(
    address: Address, failure_domain: str, caller: str, authority: Path | None = None
) -> Resolution:
    """Ask an instance which addresses a caller should use."""
    query = {"caller": caller}
    if failure_domain:
        query["failure_domain"] = failure_domain
    url = f"{choose_scheme(authority)}://{address}/v1/resolve"
    try:
        response = httpx.get(
            url,
            params=query,
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
            verify=create_client_context(authority),
        )
    except httpx.HTTPError as error:
        raise OperatorError(Code.UNREACHABLE, f"{address}: {error}") from error
    return msgspec.json.decode(response.content, type=Resolution)
