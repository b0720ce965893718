"""The client of the limiter: a request waits until it is admitted or refused."""

import random
from collections import Counter

import msgspec

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.host import Host, HostedMachine
from burdockwall.process.limits.events import (
    Admit,
    Admitted,
    Limit,
    LimitsInstalled,
    Reason,
    Refused,
    Withdraw,
)
from burdockwall.process.limits.holder import LimitHolder
from burdockwall.process.limits.kinds import ALONE, Kind, RateRequest
from burdockwall.process.limits.messages import LimitDemand, LimitGrants, LimitRecall
from burdockwall.process.limits.owner import LimitOwner
from burdockwall.process.limits.units import (
    GRANT_LIMIT_S,
    UNITS_PER_REQUEST,
    convert_cost,
    create_parameters,
)
from burdockwall.process.waiters import Waiters
from burdockwall.settings import Settings
from burdockwall.types import CustomerId, Incarnation, RouteName
from burdockwall.version.configuration import Customer, Route
from burdockwall.version.shards import LeaseRenewed, ShardMap, ShardsInstalled
from burdockwall.version.view import View

ANSWER_MARGIN_S = 2.0
RETRY_JITTER_SHARE = 0.5
REFUSAL_KEYS_LIMIT = 256

_CODES = {
    Reason.RATE: Code.RATE_EXCEEDED,
    Reason.OWNER_UNREACHABLE: Code.LIMIT_UNREACHABLE,
    Reason.OWNER_STARTING: Code.LIMIT_UNREACHABLE,
    Reason.CUSTOMER_UNKNOWN: Code.LIMIT_UNREACHABLE,
    Reason.COST_ABOVE_BURST: Code.COST_ABOVE_BURST,
    Reason.OWNER_MOVED: Code.LIMIT_UNREACHABLE,
    Reason.PROGRAMS: Code.PROGRAMS_EXCEED_RATE,
}
_DETAILS = {
    Reason.RATE: "The customer's rate and burst are spent.",
    Reason.OWNER_UNREACHABLE: "The owner of the customer's rate does not answer.",
    Reason.OWNER_STARTING: "The customer's rate has a new owner, which starts soon.",
    Reason.CUSTOMER_UNKNOWN: "The owner does not have this customer's limit yet.",
    Reason.COST_ABOVE_BURST: "The route costs more than the customer's burst.",
    Reason.OWNER_MOVED: "The customer's rate is moving to another instance.",
    Reason.PROGRAMS: "The customer's rate does not carry another program now.",
}


class LimitRefusals(msgspec.Struct, frozen=True):
    """The number of refusals of one customer for one reason, with an explanation."""

    customer: CustomerId
    reason: str
    count: int
    explanation: str


def name_open_route(route: RouteName) -> CustomerId:
    """Return the name under which an open route is limited.

    It starts with a NUL, which no customer's name contains.
    """
    return CustomerId(f"\0{route}")


def list_limits(view: View, settings: Settings) -> dict[CustomerId, Limit]:
    """List the limits of a version's customers and open routes."""
    limits = {
        customer.name: Limit(
            customer.rate_per_s * UNITS_PER_REQUEST,
            customer.burst * UNITS_PER_REQUEST,
        )
        for customer in view.customers.values()
    }
    open_limit = Limit(
        settings.open_rate_per_s * UNITS_PER_REQUEST,
        settings.open_burst * UNITS_PER_REQUEST,
    )
    for route in view.routes.values():
        if route.open:
            limits[name_open_route(route.name)] = open_limit
    return limits


class LimitClient:
    """Admits requests through this instance's holder, and hosts its owner."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        incarnation: Incarnation,
        generator: random.Random,
        follows_shards: bool = True,
    ) -> None:
        self.host = host
        self.settings = settings
        self.generator = generator
        self.refusals: Counter[tuple[CustomerId, Reason]] = Counter()
        self._waiters: Waiters[Admitted | Refused] = Waiters()
        parameters = create_parameters(settings)
        name = settings.instance_id
        self._holder_machine = LimitHolder(name, incarnation, parameters)
        self._owner_machine = LimitOwner(
            name, incarnation, parameters, parameters.start_wait_s
        )
        self._holder = host.add(
            self._holder_machine,
            (LimitGrants, LimitRecall),
            self._perform,
            (ShardsInstalled,) if follows_shards else (),
        )
        self._owner: HostedMachine = host.add(
            self._owner_machine,
            (LimitDemand,),
            events=(ShardsInstalled, LeaseRenewed),
        )

    def is_ready(self) -> bool:
        """Return whether no request has to wait for an owner to start."""
        now = self.host.clock()
        return self._holder_machine.has_owners() and self._owner_machine.has_started(
            now
        )

    def install_shards(self, shards: ShardMap) -> None:
        """Use the owners of a shard map; for hosts that follow no published map."""
        self.host.apply(self._holder, ShardsInstalled(shards))

    def install(self, view: View) -> None:
        """Install the limits of a version."""
        self.install_limits(list_limits(view, self.settings))

    def install_limits(self, limits: dict[CustomerId, Limit]) -> None:
        """Install limits."""
        self.host.apply(self._owner, LimitsInstalled(limits))

    async def admit_call(self, customer: Customer, route: Route) -> None:
        """Admit a call of a route; callers without a key share the route's limit."""
        name = customer.name or name_open_route(route.name)
        await self.admit(name, route.cost)

    async def admit(
        self,
        customer: CustomerId,
        cost: float,
        wait_s: float | None = None,
        request: RateRequest = ALONE,
    ) -> None:
        """Wait until a request's cost is granted.

        One of a program under way may wait longer than others, as `request` says.

        Raise RequestRefused with the time to retry after if it is refused.
        """
        longest_s = self.settings.limit_wait_s + GRANT_LIMIT_S
        wait_s = longest_s if wait_s is None else min(wait_s, longest_s)
        if request.kind is not Kind.ALONE:
            wait_s = request.wait_s
        call = self._waiters.create()
        admit = Admit(
            call, customer, convert_cost(cost), wait_s, request.kind, request.program
        )
        self.host.apply(self._holder, admit)
        try:
            verdict = await self._waiters.wait(call, wait_s + ANSWER_MARGIN_S)
        except TimeoutError:
            verdict = Refused(call, customer, Reason.OWNER_UNREACHABLE, wait_s)
        finally:
            self.host.apply(self._holder, Withdraw(call, customer))
        if isinstance(verdict, Refused):
            raise self._build_refusal(verdict)

    def _perform(self, action: Admitted | Refused) -> None:
        self._waiters.complete(action.call, action)

    def _build_refusal(self, refused: Refused) -> RequestRefused:
        key = (refused.customer, refused.reason)
        if key in self.refusals or len(self.refusals) < REFUSAL_KEYS_LIMIT:
            self.refusals[key] += 1
        # The jitter keeps refused callers from retrying all at once.
        spread = 1.0 + self.generator.uniform(0.0, RETRY_JITTER_SHARE)
        return RequestRefused(
            _CODES[refused.reason],
            _DETAILS[refused.reason],
            refused.retry_after_s * spread,
        )

    def explain_refusals(self) -> list[LimitRefusals]:
        """List the refusals since the process started, with their explanations."""
        return [
            LimitRefusals(customer, reason.name.lower(), count, _DETAILS[reason])
            for (customer, reason), count in sorted(
                self.refusals.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        ]
