"""Steps for the addresses that callers are given."""

import random
from collections import Counter

from behave import given, then, when
from msgspec.structs import replace

from burdockwall.process.resolver import EntryInstance, Resolution, resolve_domain
from burdockwall.types import Address, EndpointState, FailureDomain, InstanceId

TTL_S = 2.0
SEED = 1


class ResolverSubject:
    """A directory with a number of instances, and the callers that ask it."""

    def __init__(self, instances: int, domains: int) -> None:
        self.domains = [FailureDomain(f"domain-{n}") for n in range(domains)]
        self.members = [
            EntryInstance(
                InstanceId(f"entry-{n}"),
                Address(f"10.0.0.{n}:80"),
                self.domains[n % domains],
                region="region",
            )
            for n in range(instances)
        ]

    def resolve(self, domain: FailureDomain) -> Resolution:
        return resolve_domain(self.members, domain, TTL_S)

    def count_choices(self, callers: int) -> Counter[Address]:
        generator = random.Random(SEED)
        choices: Counter[Address] = Counter()
        for domain in self.domains:
            for _ in range(callers):
                answer = self.resolve(domain)
                choices[generator.choice(answer.addresses).address] += 1
        return choices


@given("{instances:d} live instances in {domains:d} failure domains")
def create_directory(context, instances, domains):
    context.resolver = ResolverSubject(instances, domains)


@given("the first instance of the first failure domain has failed")
def fail_instance(context):
    members = context.resolver.members
    members[0] = replace(members[0], state=EndpointState.FAILED)


@when(
    "{callers:d} callers of each failure domain choose one of their addresses at random"
)
def choose_addresses(context, callers):
    context.choices = context.resolver.count_choices(callers)
    context.callers = callers * len(context.resolver.domains)


@when("a caller of the first failure domain asks for addresses")
def ask_addresses(context):
    context.answer = context.resolver.resolve(context.resolver.domains[0])


@then(
    "every instance gets between {low:g} and {high:g} of an equal share of the callers"
)
def check_shares(context, low, high):
    members = context.resolver.members
    equal = context.callers / len(members)
    shares = [context.choices[item.address] / equal for item in members]
    assert low <= min(shares) and max(shares) <= high, sorted(shares)


@then("the answer has {count:d} addresses, the first of them in that failure domain")
def check_nearest(context, count):
    addresses = context.answer.addresses
    assert len(addresses) == count, addresses
    assert addresses[0].failure_domain == context.resolver.domains[0]


@then("the answer has {count:d} addresses, and the failed one is not among them")
def check_failed(context, count):
    addresses = [item.address for item in context.answer.addresses]
    assert len(addresses) == count, addresses
    assert context.resolver.members[0].address not in addresses
