"""A follower of the endpoint list, which is told what answers said."""

from burdockwall.connection.upstream import AnswerHead
from burdockwall.machine import Receive
from burdockwall.platform.codec import PlatformCodec
from burdockwall.process.endpoints import (
    EndpointFollower,
    EndpointList,
    ListedEndpoint,
)
from burdockwall.types import (
    Address,
    EndpointId,
    FailureDomain,
    InstanceId,
    ServiceName,
    Term,
)

SERVICE = ServiceName("tools")
LEADER = InstanceId("leader")


class LeavingSubject:
    """A follower and the list that it was sent last."""

    def __init__(self) -> None:
        self.follower = EndpointFollower()
        self.listed: dict[str, ListedEndpoint] = {}
        self.counter = 0

    def list_endpoint(self, name: str, started_ms: int | None) -> None:
        """Put an endpoint with its start time on the list."""
        self.listed[name] = ListedEndpoint(
            EndpointId(name),
            SERVICE,
            Address(f"{name}:80"),
            FailureDomain("a"),
            8,
            started_ms=started_ms,
        )

    def send_list(self) -> None:
        """Send the list to the follower."""
        self.counter += 1
        message = EndpointList(Term(1), self.counter, list(self.listed.values()))
        self.follower.handle(Receive(LEADER, message), float(self.counter))

    def list_accepting(self) -> list[str]:
        """Return the names of the endpoints that take new work."""
        return [item.name for item in self.follower.list_accepting(SERVICE)]


def reads_as_leaving(values: list[str]) -> bool:
    """Return whether an answer with these header values says that it leaves."""
    headers = [(b"server-leaving", value.encode()) for value in values]
    return PlatformCodec().read_answer(AnswerHead(200, headers)).leaving
