"""The ids and enumerations that all modules share."""

from enum import Enum
from typing import NewType

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", int)
FailureDomain = NewType("FailureDomain", str)
Address = NewType("Address", str)
CustomerId = NewType("CustomerId", str)
OperatorId = NewType("OperatorId", str)
KeyDigest = NewType("KeyDigest", str)
RouteName = NewType("RouteName", str)
PoolName = NewType("PoolName", str)
EndpointId = NewType("EndpointId", str)
ModelName = NewType("ModelName", str)
ProgramId = NewType("ProgramId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Version = NewType("Version", int)
Term = NewType("Term", int)
FencingNumber = NewType("FencingNumber", int)
ShardId = NewType("ShardId", int)
CallId = NewType("CallId", int)
ProgramTag = NewType("ProgramTag", str)
MemberNumber = NewType("MemberNumber", int)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
TurnId = NewType("TurnId", str)
DocumentName = NewType("DocumentName", str)
# A digest of what makes two requests equal. Its first bytes are one of their source:
# caller, method and target.
Fingerprint = NewType("Fingerprint", bytes)
SOURCE_BYTES = 8


class Role(Enum):
    """The role of a process."""

    ENTRY = "entry"
    CONTROL = "control"
    BOTH = "both"
    STORAGE = "storage"

    @property
    def serves_callers(self) -> bool:
        """Return whether instances of this role accept requests of callers."""
        return self in (Role.ENTRY, Role.BOTH)


class Ran(Enum):
    """Whether a refused request has run at an endpoint."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    RAN = "ran"


class PriorityClass(Enum):
    """The priority classes of work, the most urgent first."""

    URGENT = "urgent"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Return the position of the class, 0 for the most urgent."""
        return _CLASS_RANKS[self]


_CLASS_RANKS = {priority: rank for rank, priority in enumerate(PriorityClass)}


class RouteKind(Enum):
    """The kind of endpoints that a route leads to: model engines or other services."""

    MODEL = "model"
    SERVICE = "service"


class EndpointRole(Enum):
    """The phase of a completion that an engine serves."""

    ANY = "any"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointState(Enum):
    """The state of an endpoint or instance."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    FAILED = "failed"
