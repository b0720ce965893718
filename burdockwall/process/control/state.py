"""Apply commands to the control state deterministically."""

import hashlib
import hmac
from collections import deque

import logbook
import msgspec

from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.audit import (
    CHAIN_START,
    AuditRecord,
    compute_chain,
    shorten_difference,
)
from burdockwall.process.control.changes import Change, ChangeLog, Document
from burdockwall.process.control.commands import (
    AnyCommand,
    AssignShards,
    ChangeSections,
    Command,
    DefineOperator,
    ImportState,
    IssueKey,
    Operator,
    Outcome,
    Permission,
    PutDocument,
    RemoveOperator,
    RollBack,
    SubmitConfiguration,
    SystemCommand,
    WithdrawKey,
)
from burdockwall.process.control.configurations import Configurations, check_sections
from burdockwall.process.control.image import (
    StateImage,
    StoredOutcome,
    decode_given_image,
    decode_image,
    encode_image,
)
from burdockwall.process.control.savepoint import save_parts
from burdockwall.process.control.sections import split_sections
from burdockwall.process.control.shortening import strip_change
from burdockwall.process.control.withdrawals import (
    WithdrawnKeys,
    decode_withdrawn,
    is_digest,
)
from burdockwall.types import (
    CustomerId,
    DocumentName,
    KeyDigest,
    OperatorId,
    ShardId,
    Version,
)
from burdockwall.version.shards import ShardView, describe_views

DIGEST_PREFIX_CHARACTERS = 12
MAX_OUTCOMES = 16_384
MAX_OUTCOMES_BYTES = 4_194_304
MAX_AUDIT_RECORDS = 1024
TEXT_DIGEST_BYTES = 16
NO_CREDENTIAL = KeyDigest("")
# A version or number up to this one can be encoded, with all that are counted from it.
LARGEST_NUMBER = 2**62
# Errors that depend on the machine: another replica may apply the same command.
_MACHINE_ERRORS = (MemoryError, RecursionError)

_PERMISSIONS: dict[type[Command], Permission] = {
    SubmitConfiguration: Permission.CONFIGURATION,
    ChangeSections: Permission.CONFIGURATION,
    RollBack: Permission.CONFIGURATION,
    IssueKey: Permission.KEYS,
    WithdrawKey: Permission.KEYS,
    DefineOperator: Permission.OPERATORS,
    RemoveOperator: Permission.OPERATORS,
    ImportState: Permission.STATE,
    PutDocument: Permission.CONFIGURATION,
}
# The log stores a submission as ChangeSections; the audit trail names the original.
_ACTIONS: dict[type[Command], type[Command]] = {ChangeSections: SubmitConfiguration}
_logger = logbook.Logger("control")
_command_encoder = msgspec.msgpack.Encoder()


class ControlState:
    """The replicated state: configuration, key digests, operators, shards, audit."""

    max_audit_records = MAX_AUDIT_RECORDS

    def __init__(self) -> None:
        self.version = Version(0)
        self.configurations = Configurations()
        self.keys: dict[KeyDigest, CustomerId] = {}
        self.shards: dict[ShardId, ShardView] = {}
        self.operators: dict[OperatorId, Operator] = {}
        self.outcomes: dict[str, StoredOutcome] = {}
        self._outcomes_bytes = 0
        self.audit: deque[AuditRecord] = deque(maxlen=self.max_audit_records)
        self.changes = ChangeLog()
        self.withdrawn = WithdrawnKeys()
        self.documents: dict[DocumentName, Document] = {}

    @property
    def text(self) -> str:
        """Return the configuration text in force."""
        return self.configurations.text

    @property
    def sections(self) -> dict[str, str]:
        """Return the sections of the configuration in force."""
        return self.configurations.sections

    def apply(
        self,
        command: AnyCommand,
        accepted_at: float,
        credential: KeyDigest = NO_CREDENTIAL,
    ) -> Outcome:
        """Apply a command once per submission and return its outcome.

        `accepted_at` is in seconds since the epoch. While no operator is defined, any
        operator may run any command.
        """
        guarded = bool(self.operators) and not isinstance(command, SystemCommand)
        if guarded:
            # Authenticate first: a caller without a valid token must not store an
            # outcome under the submission id of another.
            try:
                self.authenticate(command.operator, credential)
            except OperatorError as error:
                return self._refuse_attempt(command, error, accepted_at)
        digest = _compute_command_digest(command)
        stored = self.outcomes.get(command.submission)
        if stored is not None and stored.digest == digest:
            return stored.outcome
        if stored is not None:
            detail = f"submission {command.submission} came with another text"
            reused = OperatorError(Code.SUBMISSION_REUSED, detail)
            return self._refuse_attempt(command, reused, accepted_at)
        try:
            if guarded:
                self.authorize(command)
            outcome, difference = self._execute_whole(command)
        except OperatorError as error:
            outcome = self._refuse_attempt(command, error, accepted_at)
        else:
            self._append_audit(command, outcome, difference, accepted_at)
        self._store_outcome(StoredOutcome(command.submission, digest, outcome))
        return outcome

    def changes_since(self, version: Version) -> list[Change] | None:
        """Return the changes after a version, or None if some are not stored."""
        if version >= self.version:
            return []
        return self.changes.list_since(version)

    def authorize(self, command: AnyCommand) -> None:
        """Raise OperatorError unless the command's operator has the permission."""
        operator = self.operators[command.operator]
        permission = _PERMISSIONS[type(command)]
        if permission not in operator.permissions:
            detail = f"operator {operator.name} lacks permission {permission.value}"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)
        customer = self._find_customer(command)
        allowed = customer is None or customer in operator.customers
        if operator.customers and not allowed:
            detail = f"operator {operator.name} may not act for {customer}"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)

    def authenticate(self, name: OperatorId, credential: KeyDigest) -> Operator:
        """Return the operator, or raise OperatorError if name or token is wrong."""
        operator = self.operators.get(name)
        digest = operator.digest if operator is not None else ""
        if operator is None or not hmac.compare_digest(digest, credential):
            detail = f"operator {name} is unknown or its token is wrong"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)
        return operator

    def find_outcome(
        self, command: PutDocument, credential: KeyDigest
    ) -> Outcome | None:
        """Return the outcome of a put that changes nothing, or None if it must run."""
        document = self.documents.get(command.name)
        if document is None or command.number > document.number:
            return None
        if self.operators:
            try:
                self.authenticate(command.operator, credential)
                self.authorize(command)
            except OperatorError:
                # A refusal belongs in the audit trail.
                return None
        stored = self.outcomes.get(command.submission)
        if stored is None:
            return Outcome(version=self.version)
        same = stored.digest == _compute_command_digest(command)
        return stored.outcome if same else None

    def _find_customer(self, command: AnyCommand) -> CustomerId | None:
        match command:
            case IssueKey(customer=customer):
                return customer
            case WithdrawKey(digest=digest):
                return self.keys.get(digest)
            case _:
                return None

    def _store_outcome(self, stored: StoredOutcome) -> None:
        self.outcomes[stored.submission] = stored
        self._outcomes_bytes += stored.measure_bytes()
        while len(self.outcomes) > MAX_OUTCOMES or self._exceeds_outcomes_bytes():
            oldest = self.outcomes.pop(next(iter(self.outcomes)))
            self._outcomes_bytes -= oldest.measure_bytes()

    def _exceeds_outcomes_bytes(self) -> bool:
        return self._outcomes_bytes > MAX_OUTCOMES_BYTES and len(self.outcomes) > 1

    def _execute_whole(self, command: AnyCommand) -> tuple[Outcome, str]:
        """Execute a command, or raise OperatorError and leave the state as it was."""
        savepoint = save_parts(self)
        try:
            return self._execute(command)
        except OperatorError:
            savepoint.restore(self)
            raise
        except _MACHINE_ERRORS:
            raise
        except Exception as error:
            savepoint.restore(self)
            kind = type(error).__name__
            _logger.exception("command can't be applied", extra={"error": kind})
            # The text of an error may differ between replicas, its type does not.
            detail = f"the command can't be applied: {kind}"
            raise OperatorError(Code.BAD_REQUEST, detail) from error

    def _execute(self, command: AnyCommand) -> tuple[Outcome, str]:
        match command:
            case SubmitConfiguration(based_on=based_on, text=text):
                self._check_base(based_on)
                sections = split_sections(text)
                check_sections(sections)
                return self._replace_sections(sections, command.operator)
            case ChangeSections():
                self._check_base(command.based_on)
                return self._change_sections(command)
            case RollBack(based_on=based_on, target=target):
                self._check_base(based_on)
                sections = self.configurations.find(target, self.version)
                return self._replace_sections(sections, command.operator)
            case IssueKey(customer=customer, digest=digest):
                return self._issue_key(customer, digest)
            case WithdrawKey(digest=digest):
                return self._withdraw_key(digest)
            case DefineOperator(defined=operator):
                self.operators[operator.name] = operator
                permissions = " ".join(item.value for item in operator.permissions)
                return self._accept(), f"+operator {operator.name} {permissions}"
            case RemoveOperator(name=name):
                return self._remove_operator(name)
            case ImportState(based_on=based_on, image=image):
                self._check_base(based_on)
                return self._import(image, command.operator)
            case AssignShards(views=views):
                return self._assign_shards(views)
            case PutDocument():
                return self._put_document(command)

    def _accept(
        self,
        sections: dict[str, str] | None = None,
        removed_sections: tuple[str, ...] = (),
        keys: dict[KeyDigest, CustomerId] | None = None,
        removed_keys: tuple[KeyDigest, ...] = (),
        shards: tuple[ShardView, ...] = (),
        documents: dict[DocumentName, Document] | None = None,
    ) -> Outcome:
        version = Version(self.version + 1)
        change = Change(
            version,
            sections or {},
            removed_sections,
            keys or {},
            removed_keys,
            shards,
            documents or {},
        )
        self.changes.append(change)
        self.version = version
        return Outcome(version=version)

    def _refuse_attempt(
        self, command: AnyCommand, error: OperatorError, accepted_at: float
    ) -> Outcome:
        outcome = Outcome(self.version, error.code.value.number, error.detail)
        self._append_audit(command, outcome, error.detail, accepted_at)
        return outcome

    def _check_base(self, based_on: Version) -> None:
        self.configurations.check_base(based_on, self.version)

    def _replace_sections(
        self, sections: dict[str, str], operator: OperatorId
    ) -> tuple[Outcome, str]:
        difference = self.configurations.replace(sections)
        self.configurations.add_to_history(Version(self.version + 1), operator)
        outcome = self._accept(
            sections=difference.changed, removed_sections=difference.removed
        )
        return outcome, difference.description

    def _change_sections(self, command: ChangeSections) -> tuple[Outcome, str]:
        if command.difference_base != self.configurations.version:
            detail = (
                f"made from {command.difference_base}, "
                f"not {self.configurations.version}"
            )
            raise OperatorError(Code.VERSION_CONFLICT, detail)
        unchanged = {
            name: text
            for name, text in self.sections.items()
            if name not in command.removed
        }
        return self._replace_sections(
            {**unchanged, **command.changed}, command.operator
        )

    def _issue_key(
        self, customer: CustomerId, digest: KeyDigest
    ) -> tuple[Outcome, str]:
        prefix = digest[:DIGEST_PREFIX_CHARACTERS]
        _check_digest(digest)
        if f"customer {customer}" not in self.sections:
            detail = f"the configuration has no customer {customer}"
            raise OperatorError(Code.CUSTOMER_UNKNOWN, detail)
        if digest in self.withdrawn or digest in self.keys:
            detail = f"key {prefix} has been issued before"
            raise OperatorError(Code.KEY_REUSED, detail)
        outcome = self._accept(keys={digest: customer})
        self.keys[digest] = customer
        return outcome, f"+key {prefix} {customer}"

    def _withdraw_key(self, digest: KeyDigest) -> tuple[Outcome, str]:
        prefix = digest[:DIGEST_PREFIX_CHARACTERS]
        _check_digest(digest)
        customer = self.keys.get(digest)
        if customer is None and digest in self.withdrawn:
            return Outcome(version=self.version), f"-key {prefix} (already withdrawn)"
        if customer is None:
            raise OperatorError(Code.KEY_UNKNOWN, f"no key {prefix} was issued")
        outcome = self._accept(removed_keys=(digest,))
        self.withdrawn.add(digest)
        del self.keys[digest]
        return outcome, f"-key {prefix} {customer}"

    def _remove_operator(self, name: OperatorId) -> tuple[Outcome, str]:
        others = [item for item in self.operators.values() if item.name != name]
        if not any(Permission.OPERATORS in item.permissions for item in others):
            detail = "the last operator who may change operators must stay"
            raise OperatorError(Code.OPERATOR_REFUSED, detail)
        if self.operators.pop(name, None) is None:
            raise OperatorError(Code.OPERATOR_REFUSED, f"no operator {name}")
        return self._accept(), f"-operator {name}"

    def _assign_shards(self, views: tuple[ShardView, ...]) -> tuple[Outcome, str]:
        for view in views:
            current = self.shards.get(view.shard)
            number = current.number if current else 0
            if view.number != number + 1:
                detail = f"shard {view.shard} has view {number}, not {view.number - 1}"
                raise OperatorError(Code.VERSION_CONFLICT, detail)
        description = describe_views(views)
        self.shards.update((view.shard, view) for view in views)
        return self._accept(shards=views), description

    def _put_document(self, command: PutDocument) -> tuple[Outcome, str]:
        stored = self.documents.get(command.name)
        if stored is not None and command.number <= stored.number:
            summary = f"{command.name} {command.number} is not after {stored.number}"
            return Outcome(version=self.version), summary
        if command.number > LARGEST_NUMBER:
            detail = f"{command.name} {command.number} is over {LARGEST_NUMBER}"
            raise OperatorError(Code.BAD_REQUEST, detail)
        document = Document(command.number, command.data)
        self.documents[command.name] = document
        summary = f"+{command.name} {command.number}, {len(command.data)} bytes"
        return self._accept(documents={command.name: document}), summary

    def _import(self, data: bytes, operator: OperatorId) -> tuple[Outcome, str]:
        try:
            image = decode_given_image(data)
            check_sections(image.sections)
        except (msgspec.DecodeError, OperatorError) as error:
            raise OperatorError(Code.IMAGE_INVALID, str(error)) from error
        _check_image(image)
        withdrawn = self.withdrawn.merge(decode_withdrawn(image.withdrawn))
        keys = {
            digest: customer
            for digest, customer in image.keys.items()
            if digest not in withdrawn
        }
        difference = self.configurations.replace(dict(image.sections))
        self.withdrawn = withdrawn
        self.keys = keys
        self.operators = image.operators or self.operators
        self.documents = dict(image.documents)
        self.version = Version(max(self.version, image.version))
        self.configurations.add_to_history(Version(self.version + 1), operator)
        chain = image.audit[-1].chain if image.audit else CHAIN_START
        summary = f"imported version {image.version}, audit chain {chain}\n"
        outcome = self._accept()
        # A Change can't describe an import, so other instances get the whole state.
        self.changes.clear()
        return outcome, summary + difference.description

    def _append_audit(
        self, command: AnyCommand, outcome: Outcome, difference: str, accepted_at: float
    ) -> None:
        previous = self.audit[-1] if self.audit else None
        record = AuditRecord(
            index=previous.index + 1 if previous else 1,
            at=accepted_at,
            operator=command.operator,
            action=_ACTIONS.get(type(command), type(command)).__name__,
            difference=shorten_difference(difference),
            version=outcome.version,
            code=outcome.code,
            chain="",
        )
        chain = compute_chain(previous.chain if previous else CHAIN_START, record)
        self.audit.append(msgspec.structs.replace(record, chain=chain))

    def take_image(self) -> StateImage:
        """Return an image of the whole state."""
        return StateImage(
            version=self.version,
            configuration_version=self.configurations.version,
            configuration_operator=self.configurations.operator,
            sections=self.sections,
            keys=self.keys,
            withdrawn=self.withdrawn.encode(),
            operators=self.operators,
            outcomes=list(self.outcomes.values()),
            history=list(self.configurations.history),
            audit=list(self.audit),
            changes=self.changes.list_all(),
            shards=list(self.shards.values()),
            documents=dict(self.documents),
        )

    def restore(self, image: StateImage) -> None:
        """Replace the whole state by an image."""
        self.version = image.version
        self.configurations.restore(
            image.configuration_version,
            image.configuration_operator,
            image.sections,
            image.history,
        )
        self.keys = dict(image.keys)
        self.shards = {view.shard: view for view in image.shards}
        self.operators = dict(image.operators)
        self.documents = dict(image.documents)
        self.outcomes = {stored.submission: stored for stored in image.outcomes}
        sizes = (stored.measure_bytes() for stored in image.outcomes)
        self._outcomes_bytes = sum(sizes)
        self.audit = deque(image.audit, maxlen=self.max_audit_records)
        self.changes = ChangeLog(image.changes)
        self.withdrawn = decode_withdrawn(image.withdrawn)

    def encode(self) -> bytes:
        """Encode the whole state; equal states are encoded to equal bytes."""
        return encode_image(self.take_image())


def decode_state(data: bytes) -> ControlState:
    """Decode a state from ControlState.encode()."""
    state = ControlState()
    state.restore(decode_image(data))
    return state


def _check_digest(digest: KeyDigest) -> None:
    if not is_digest(digest):
        raise OperatorError(Code.BAD_REQUEST, "a key's digest is 64 hex digits")


def _check_image(image: StateImage) -> None:
    if not all(is_digest(digest) for digest in image.keys):
        raise OperatorError(Code.IMAGE_INVALID, "a key's digest is 64 hex digits")
    numbers = [document.number for document in image.documents.values()]
    if max([image.version, *numbers]) > LARGEST_NUMBER:
        detail = f"a version or a document's number is over {LARGEST_NUMBER}"
        raise OperatorError(Code.IMAGE_INVALID, detail)


def _compute_command_digest(command: AnyCommand) -> bytes:
    encoded = _command_encoder.encode(strip_change(command))
    whole = hashlib.sha256(encoded).digest()
    return whole[:TEXT_DIGEST_BYTES]
