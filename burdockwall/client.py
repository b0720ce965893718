"""Call an instance as an operator; the command line does nothing else."""

import uuid
from pathlib import Path
from typing import TypeVar

import httpx
import msgspec

from burdockwall.connection.tls import choose_scheme, create_client_context
from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.commands import (
    AnyCommand,
    IssueKey,
    Outcome,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.process.operations import AuditPage, StatePage, Status
from burdockwall.process.resolver import Resolution
from burdockwall.types import Address, CustomerId, OperatorId, Version
from burdockwall.version.keys import compute_digest, create_key

CALL_TIMEOUT_S = 10.0
T = TypeVar("T")


def _find_code(number: int) -> Code:
    return next(code for code in Code if code.value.number == number)


class OperatorClient:
    """Send operators' commands to one instance."""

    def __init__(
        self, address: Address, operator: OperatorId, authority: Path | None = None
    ) -> None:
        self.address = address
        self.operator = operator
        self.scheme = choose_scheme(authority)
        self.tls = create_client_context(authority)

    def _call(
        self, method: str, path: str, kind: type[T], body: bytes | None = None
    ) -> T:
        url = f"{self.scheme}://{self.address}{path}"
        try:
            response = httpx.request(
                method,
                url,
                content=body,
                timeout=CALL_TIMEOUT_S,
                trust_env=False,
                verify=self.tls,
            )
        except httpx.HTTPError as error:
            detail = f"{self.address}: {error}"
            raise OperatorError(Code.UNREACHABLE, detail) from error
        if response.status_code != httpx.codes.OK:
            refusal = response.json()["error"]
            raise OperatorError(_find_code(refusal["code"]), refusal["message"])
        return msgspec.json.decode(response.content, type=kind)

    def _run(self, command: AnyCommand) -> Outcome:
        body = msgspec.json.encode(command)
        outcome = self._call("POST", "/commands", Outcome, body)
        if outcome.code:
            raise OperatorError(_find_code(outcome.code), outcome.detail)
        return outcome

    def read_status(self) -> Status:
        """Read the status of the instance."""
        return self._call("GET", "/status", Status)

    def read_audit(self) -> AuditPage:
        """Read the audit trail."""
        return self._call("GET", "/audit", AuditPage)

    def read_configuration(self) -> StatePage:
        """Read the configuration in force."""
        return self._call("GET", "/configuration", StatePage)

    def submit(self, text: str, based_on: Version | None = None) -> Outcome:
        """Submit a configuration based on a version, by default the latest."""
        if based_on is None:
            based_on = Version(self.read_configuration().version)
        submission = uuid.uuid4().hex
        command = SubmitConfiguration(
            operator=self.operator, submission=submission, based_on=based_on, text=text
        )
        return self._run(command)

    def issue_key(self, customer: CustomerId) -> str:
        """Issue a key for a customer and return it; it is not stored."""
        key = create_key()
        command = IssueKey(
            operator=self.operator,
            submission=uuid.uuid4().hex,
            customer=customer,
            digest=compute_digest(key),
        )
        self._run(command)
        return key

    def withdraw_key(self, key: str) -> Outcome:
        """Withdraw a key."""
        command = WithdrawKey(
            operator=self.operator,
            submission=uuid.uuid4().hex,
            digest=compute_digest(key),
        )
        return self._run(command)

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
