"""Apply commands of several operators to one control state."""

import random

from burdockwall.process.control.commands import (
    DefineOperator,
    ImportState,
    IssueKey,
    Operator,
    Outcome,
    Permission,
    RollBack,
    SubmitConfiguration,
    WithdrawKey,
)
from burdockwall.process.control.state import ControlState
from burdockwall.types import CustomerId, KeyDigest, OperatorId, Version
from burdockwall.version.configuration import (
    Configuration,
    Customer,
    print_configuration,
)
from burdockwall.version.keys import compute_digest


def print_customers(names: str, rate_per_s: float = 10.0) -> str:
    customers = (Customer(CustomerId(name), rate_per_s) for name in names.split())
    return print_configuration(Configuration(customers=tuple(customers)))


class ControlStateSubject:
    """A control state, the outcomes of its commands and its image at each version."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.outcomes: list[Outcome] = []
        self.images: dict[int, tuple[dict, dict]] = {}
        self.count = 0

    def apply(self, command, token: str = "") -> Outcome:
        self.count += 1
        credential = compute_digest(token)
        outcome = self.state.apply(command, float(self.count), credential)
        self.outcomes.append(outcome)
        state = self.state
        self.images[state.version] = (dict(state.sections), dict(state.keys))
        return outcome

    def build_submit(self, text, based_on=None, operator="ann", submission=None):
        return SubmitConfiguration(
            operator=OperatorId(operator),
            submission=submission or f"s{self.count}",
            based_on=Version(self.state.version if based_on is None else based_on),
            text=text,
        )

    def build_issue(self, customer, number, operator="ann"):
        return IssueKey(
            operator=OperatorId(operator),
            submission=f"s{self.count}",
            customer=CustomerId(customer),
            digest=compute_digest(f"key {number}"),
        )

    def build_withdraw(self, number, operator="ann"):
        digest = compute_digest(f"key {number}")
        return WithdrawKey(
            operator=OperatorId(operator), submission=f"s{self.count}", digest=digest
        )

    def build_rollback(self, target):
        return RollBack(
            operator=OperatorId("ann"),
            submission=f"s{self.count}",
            based_on=self.state.version,
            target=Version(target),
        )

    def build_import(self, image: bytes, based_on: int = 0):
        return ImportState(
            operator=OperatorId("ann"),
            submission=f"s{self.count}",
            based_on=Version(based_on),
            image=image,
        )

    def define(self, name, permissions, customers=()):
        operator = Operator(
            OperatorId(name), compute_digest(name), tuple(permissions), tuple(customers)
        )
        command = DefineOperator(
            operator=OperatorId("root"), submission=f"s{self.count}", defined=operator
        )
        return self.apply(command, "root")

    def define_operators(self, name: str, customer: str) -> None:
        """Define a root operator, and one who may only issue keys for a customer."""
        self.define("root", tuple(Permission))
        self.define(name, (Permission.KEYS,), (CustomerId(customer),))

    def build_random(self, rng: random.Random):
        names = " ".join(sorted(rng.sample("abcdefgh", rng.randint(1, 6))))
        number = rng.randint(0, 40)
        match rng.randint(0, 4):
            case 0:
                text = print_customers(names, rng.randint(1, 9))
                return self.build_submit(text, self.state.version - rng.randint(0, 1))
            case 1 | 2:
                return self.build_issue(rng.choice("abcdefgh"), number)
            case 3:
                return self.build_withdraw(number)
            case _:
                return self.build_rollback(max(0, self.state.version - 5))

    def run_random(self, count: int, seed: int) -> None:
        rng = random.Random(seed)
        for _ in range(count):
            self.apply(self.build_random(rng))

    def rebuild(self, version: int) -> tuple[dict, dict]:
        sections, keys = (dict(part) for part in self.images[version])
        changes = self.state.changes_since(Version(version))
        assert changes is not None
        for change in changes:
            sections.update(change.sections)
            keys.update(change.keys)
            for name in change.removed_sections:
                del sections[name]
            for digest in change.removed_keys:
                keys.pop(KeyDigest(digest), None)
        return sections, keys


def build_random_text(rng: random.Random) -> str:
    """Build a configuration text of a few sections, some of them with faults."""
    sections = []
    for name in rng.sample("abcd", rng.randint(0, 4)):
        value = rng.choice(("1", "2", "0", "x"))
        option = rng.choice(("rate_per_s", "rate_per_s", "burst", "wrong"))
        sections.append(f"[customer {name}]\n{option} = {value}\n")
    for name in rng.sample("pq", rng.randint(0, 2)):
        sections.append(f"[pool {name}]\nkind = model\n")
    for name in rng.sample("ef", rng.randint(0, 2)):
        pool = rng.choice("pq")
        sections.append(f"[endpoint {name}]\npool = {pool}\naddress = h:1\n")
    if rng.random() < 0.1:
        sections.append(rng.choice(("[DEFAULT]\nburst = 3\n", "[odd]\n", "x\n")))
    if rng.random() < 0.1 and sections:
        sections.append(sections[0])
    rng.shuffle(sections)
    return "".join(sections)
