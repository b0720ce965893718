"""Run programs and bookings on a cluster, with faults drawn from a seed."""

import hashlib

from burdockwall.errors import Code, RequestRefused
from burdockwall.process.programs import calls
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.operations import Outcome, OutcomeKey, ServiceRequest
from burdockwall.process.programs.outcomes import OutcomeState
from burdockwall.process.programs.program_tree import create_tree_key
from burdockwall.process.programs.unrepeatable import (
    Attempt,
    Callbacks,
    LostError,
    NoAnswerError,
    NotSentError,
    run_once,
)
from burdockwall.types import (
    CustomerId,
    EndpointId,
    IdempotencyKey,
    ProgramId,
    RequestId,
    RouteName,
)
from features.subjects.programs_cluster import Cluster, create_shards

CUSTOMER = CustomerId("association")
RESERVE = Spend(tokens=10, calls=1, cost=1.0)
ORDER = ServiceRequest("POST", "/bookings", [], b"body")
DIGEST = b"0" * 16


FAULT_KINDS = (
    "crash two",
    "crash domain",
    "isolate",
    "crash one",
    "crash after repair",
    "cut one way",
)


class InvariantViolation(AssertionError):
    """An invariant was violated; the text names the seed and the time."""


class FaultRun:
    """One run from a seed: callers, an engine, a booking service, and faults.

    `executions` counts how often the service ran each booking, and `booked` has the
    outcomes that callers received. `refused` has the requests that were answered
    'not run', and `trusted_not_run` the bookings whose callers relied on it. `trying`
    counts the attempts in progress of each booking, and `shared` has the bookings that
    have had more than one at a time. `resumed` maps the request of an attempt that
    resumes an accepted booking to the request that was accepted.
    """

    def __init__(
        self, seed, turns=4, bookings=5, programs=3, cluster_type=Cluster, **options
    ):
        self.seed = seed
        self.cluster = cluster_type(seed, create_shards(3), **options)
        self.random = self.cluster.random
        self.turns = turns
        self.executions = {}
        self.consumed = {}
        self.histories = {}
        self.booked = {}
        self.trusted_not_run = set()
        self.budget = Budget(tokens=turns * 40, calls=400, cost=1e9, time_s=1e9)
        self.points = 0
        self.kinds = options.get("kinds", FAULT_KINDS)
        self.crash_point = self.random.randrange(1, 120)
        self.requests = 0
        self.crashed = []
        self.cluster.on_send_accepted = self.send_accepted
        self.programs = [ProgramId(f"program-{index}") for index in range(programs)]
        self.keys = [
            OutcomeKey(CUSTOMER, RouteName("book"), IdempotencyKey(f"key-{index}"))
            for index in range(bookings)
        ]

    def check(self, condition, text):
        if not condition:
            raise InvariantViolation(
                f"seed {self.seed} at {self.cluster.now:.3f}: {text}"
            )

    # Faults.

    def reach_crash_point(self, instance):
        """Crash the instance at the seed's crash point; return whether it crashed."""
        self.points += 1
        if self.points == self.crash_point and self.may_crash([instance]):
            self.crash([instance])
            return True
        return False

    def may_crash(self, instances):
        """Return whether at most two instances or one failure domain would be lost."""
        lost = {*self.crashed, *instances}
        domains = {self.cluster.domains[item] for item in lost}
        if self.cluster.is_repaired():
            self.crashed = []
            lost = set(instances)
            domains = {self.cluster.domains[item] for item in lost}
        return len(lost) <= 2 or len(domains) == 1

    def crash(self, instances):
        for instance in instances:
            self.cluster.crash(instance)
            self.crashed.append(instance)
            delay = self.random.choice((0.05, 0.5, 3.0, 8.0))
            self.cluster.network.schedule(
                delay, lambda item=instance: self.cluster.restart(item)
            )

    def schedule_faults(self):
        network = self.cluster.network
        for _ in range(self.random.randrange(1, 4)):
            delay_s = self.random.uniform(0.3, 12.0)
            kind = self.random.choice(self.kinds)
            network.schedule(delay_s, lambda kind=kind: self.inject(kind))

    def inject(self, kind):
        names = list(self.cluster.domains)
        network = self.cluster.network
        match kind:
            case "crash one":
                chosen = [self.random.choice(names)]
            case "crash two":
                chosen = self.random.sample(names, 2)
            case "crash domain":
                domain = self.random.choice(("a", "b", "c"))
                chosen = [i for i in names if self.cluster.domains[i] == domain]
            case "crash after repair":
                # Crash two instances as soon as the cluster is repaired.
                if not self.cluster.is_repaired():
                    network.schedule(0.05, lambda: self.inject(kind))
                    return
                view = next(iter(self.cluster.views.values()))[0]
                chosen = [view.primary, view.backups[0]]
            case "isolate":
                network.isolate(self.random.choice(names))
                network.schedule(self.random.uniform(0.5, 5.0), network.heal)
                return
            case _:
                first, second = self.random.sample(names, 2)
                network.cut(first, second)
                network.schedule(self.random.uniform(0.5, 5.0), network.heal)
                return
        chosen = [item for item in chosen if self.cluster.is_up(item)]
        if chosen and self.may_crash(chosen) and not network.cut_links:
            self.crash(chosen)

    def create_request(self):
        self.requests += 1
        return RequestId(f"r{self.requests}")

    def choose_entry(self):
        return self.random.choice(self.cluster.list_up())

    # Programs.

    def run_caller(self, program, number=1, tries=0):
        """Send a turn through random instances until it is done, then the next."""
        if number > self.turns:
            return
        instance = self.choose_entry()
        state = {"done": False}
        network = self.cluster.network

        async def attempt():
            state["done"] = await self.send_turn(instance, program, number)

        def check_result():
            if state["done"]:
                self.run_caller(program, number + 1)
            elif tries < 60:
                self.run_caller(program, number, tries + 1)
            else:
                self.check(False, f"{program} turn {number} never ended")

        self.cluster.spawn(instance, attempt())
        wait_s = self.random.choice((0.4, 1.0, 2.5))
        network.schedule(wait_s, check_result)
        if self.random.random() < 0.15:
            # A second caller sends the same turn concurrently.
            other = self.choose_entry()
            self.cluster.spawn(other, self.send_turn(other, program, number))

    async def send_turn(self, instance, program, number):
        key = create_tree_key(CUSTOMER, program)
        shard = self.cluster.get_shard(key)
        request = self.create_request()
        digest = hashlib.sha256(f"{program} {number}".encode()).digest()
        begin = calls.BeginCall(
            key, program, request, number, digest, RESERVE, instance, self.budget
        )
        if self.reach_crash_point(instance):
            return False
        try:
            answer = await self.cluster.ask(instance, shard, begin)
        except NoAnswerError:
            return False
        if self.reach_crash_point(instance):
            return False
        if isinstance(answer, calls.TurnRepeated):
            self.acknowledge(program, number, answer.content)
            return True
        if isinstance(answer, calls.Refused):
            history = self.histories.get(program, [])
            if answer.code == Code.TURN_GAP.value.number:
                self.check(False, f"{program} {number}: gap after {len(history)} turns")
            self.check(
                answer.code
                not in (
                    Code.TURN_STALE.value.number,
                    Code.PROGRAM_ENDED.value.number,
                    Code.BUDGET_SPENT.value.number,
                ),
                f"{program} turn {number} refused {answer}",
            )
            return False
        return await self.run_turn(instance, program, number, request, answer)

    async def run_turn(self, instance, program, number, request, granted):
        key = create_tree_key(CUSTOMER, program)
        shard = self.cluster.get_shard(key)
        self.check(granted.number == number, "another turn was granted")
        acknowledged = self.histories.get(program, [])
        self.check(
            granted.turns == acknowledged[: number - 1],
            f"{program} turn {number} got history {granted.turns}, not {acknowledged}",
        )
        self.cluster.start_renewing(instance, request, shard)
        used = self.random.randrange(1, 11)
        self.consumed[program] = self.consumed.get(program, 0) + used
        await self.cluster.pause(self.random.uniform(0.01, 0.3))
        if self.reach_crash_point(instance):
            return False
        content = f"{program} {number} by {request}".encode()
        finish = calls.FinishTurn(
            key, program, request, content, Spend(used, 1, 1.0), EndpointId("e1")
        )
        try:
            answer = await self.cluster.ask(instance, shard, finish)
        except NoAnswerError:
            return False
        finally:
            self.cluster.stop_renewing(instance, request)
        if self.reach_crash_point(instance) or not isinstance(answer, calls.Accepted):
            return False
        self.acknowledge(program, number, content)
        return True

    def acknowledge(self, program, number, content):
        history = self.histories.setdefault(program, [])
        self.check(
            content.startswith(f"{program} {number} ".encode()), "histories are mixed"
        )
        if number <= len(history):
            self.check(history[number - 1] == content, "a turn has two answers")
        else:
            self.check(number == len(history) + 1, "a turn was skipped")
            history.append(content)

    # Bookings.

    def build_callbacks(self, instance):
        async def ask(key, call):
            if self.reach_crash_point(instance):
                await self.cluster.pause(0.0)
            answer = await self.cluster.ask(instance, self.cluster.get_shard(key), call)
            if self.reach_crash_point(instance):
                await self.cluster.pause(0.0)
            return answer

        async def transmit(request, service_request):
            return await self.transmit(instance, request, service_request)

        return Callbacks(
            ask,
            transmit,
            self.cluster.pause,
            lambda request, key: self.cluster.start_renewing(
                instance, request, self.cluster.get_shard(key)
            ),
            lambda request: self.cluster.stop_renewing(instance, request),
        )

    async def transmit(self, instance, request, service_request):
        key = service_request.path
        if self.reach_crash_point(instance):
            await self.cluster.pause(0.0)
        fate = self.random.random()
        await self.cluster.pause(self.random.uniform(0.001, 0.05))
        if fate < 0.15:
            raise NotSentError
        self.executions[key] = self.executions.get(key, 0) + 1
        self.sent.add(request)
        self.check(self.executions[key] <= 1, f"{key} ran {self.executions[key]} times")
        self.check(key not in self.trusted_not_run, f"{key} ran after 'not run'")
        while request in self.resumed:
            request = self.resumed[request]
        self.check(request not in self.refused, f"{key} {request} ran after 'not run'")
        await self.cluster.pause(self.random.uniform(0.001, 0.5))
        if self.reach_crash_point(instance):
            await self.cluster.pause(0.0)
        if fate < 0.3:
            raise LostError
        return Outcome(200, "text/plain", f"booked {key}".encode())

    def book(self, key, tries=0):
        instance = self.choose_entry()
        network = self.cluster.network
        state = {"end": None}

        async def attempt():
            state["end"] = await self.send_booking(instance, key)

        def check_result():
            if state["end"] == "booked":
                return
            if state["end"] == "not run" and self.random.random() < 0.5:
                # The caller relies on the refusal and stops.
                self.stop_booking(key)
                return
            if tries < 40:
                self.book(key, tries + 1)

        self.cluster.spawn(instance, attempt())
        network.schedule(self.random.choice((0.3, 1.5, 4.0)), check_result)

    def stop_booking(self, key):
        name = key.key
        if name not in self.shared and self.trying[name] == 0:
            self.check(self.executions.get(name, 0) == 0, f"{name}: 'not run' is false")
            self.trusted_not_run.add(name)

    async def send_booking(self, instance, key):
        name = key.key
        if self.trying.get(name, 0):
            # Another attempt of the same caller is still in progress.
            self.shared.add(name)
        self.trying[name] = self.trying.get(name, 0) + 1
        service_request = ServiceRequest("POST", name, [], b"body")
        attempt = Attempt(
            key, self.create_request(), DIGEST, instance, service_request, 6
        )
        # If the instance crashes during the attempt, the count is not reduced: it is
        # unknown whether the attempt is over.
        try:
            outcome = await run_once(attempt, self.build_callbacks(instance))
        except RequestRefused as error:
            self.trying[name] -= 1
            row = error.code.value
            if row.ran.value == "not run":
                self.check(attempt.request not in self.sent, "'not run' is false")
                self.refused.add(attempt.request)
                return "not run"
            if error.code is not Code.OUTCOME_UNKNOWN:
                return "retry"
            return "unknown"
        self.trying[name] -= 1
        self.check(self.executions.get(name, 0) == 1, f"{name} answered but not run")
        former = self.booked.setdefault(name, outcome)
        self.check(former == outcome, f"{name} has two outcomes")
        return "booked"

    def send_accepted(self, instance, record):
        service_request = record.service_request
        attempt = Attempt(
            record.key,
            self.create_request(),
            record.digest,
            instance,
            service_request,
            6,
            resumes=True,
        )
        self.resumed[attempt.request] = record.request

        async def resume():
            try:
                await run_once(attempt, self.build_callbacks(instance))
            except RequestRefused:
                return

        self.cluster.spawn(instance, resume())

    # The run.

    def run(self):
        self.trying, self.resumed = {}, {}
        self.refused, self.sent, self.shared = set(), set(), set()
        network = self.cluster.network
        while not self.cluster.is_repaired() and network.now < 20.0:
            network.run_until(network.now + 1.0)
        self.check(self.cluster.is_repaired(), "the cluster did not start")
        self.schedule_faults()
        for program in self.programs:
            self.run_caller(program)
        for key in self.keys:
            delay_s = self.random.uniform(0.0, 6.0)
            network.schedule(delay_s, lambda key=key: self.book(key))
            if self.random.random() < 0.3:
                self.shared.add(key.key)
                network.schedule(delay_s, lambda key=key: self.book(key))
        network.run_until(network.now + 25.0)
        network.heal()
        for instance in self.cluster.domains:
            self.cluster.restart(instance)
        network.run_until(network.now + 45.0)
        self.check_final_state()
        self.cluster.close()
        return self

    def check_final_state(self):
        self.check(self.cluster.is_repaired(), "the cluster was not repaired")
        for program in self.programs:
            self.check(
                len(self.histories.get(program, [])) == self.turns,
                f"{program} ended after {len(self.histories.get(program, []))} turns",
            )
            self.check_program(program)
        for key in self.keys:
            self.check_key(key)
        self.check_replicas()

    def get_primary_state(self, key):
        shard = self.cluster.get_shard(key)
        view, _, _ = self.cluster.views[shard]
        return self.cluster.stores[view.primary].replicas[shard].state

    def check_program(self, program):
        key = create_tree_key(CUSTOMER, program)
        tree = self.get_primary_state(key).trees.get(key)
        self.check(tree is not None, f"{program} is lost")
        record = tree.programs[program]
        stored = [turn.content for turn in record.turns]
        self.check(stored == self.histories[program], f"{program} lost history")
        self.check(not record.running, f"{program} still has a running call")
        self.check(tree.budget.admits(tree.spent), f"{program} is over budget")
        self.check(
            self.consumed[program] <= tree.spent.tokens,
            f"{program} consumed {self.consumed[program]} of {tree.spent.tokens}",
        )

    def check_key(self, key):
        record = self.get_primary_state(key).outcomes.get(key)
        name = key.key
        runs = self.executions.get(name, 0)
        if name in self.booked:
            self.check(
                record is not None and record.state is OutcomeState.DONE,
                f"{name} was acknowledged and is lost",
            )
            self.check(record.outcome == self.booked[name], f"{name} changed")
        if record is None:
            self.check(runs == 0, f"{name} ran without a record")
            return
        self.check(
            record.state not in (OutcomeState.ACCEPTED, OutcomeState.SENDING),
            f"{name} is still {record.state.value}",
        )
        if record.state is OutcomeState.DONE:
            self.check(runs == 1, f"{name} done but ran {runs} times")
        if record.state is OutcomeState.NOT_SENT:
            self.check(runs == 0, f"{name} not sent but ran")
        if name in self.trusted_not_run:
            self.check(runs == 0, f"{name}: 'not run' is false")

    def check_replicas(self):
        """Check that all replicas of a shard hold the same records."""
        for shard, (view, _, _) in self.cluster.views.items():
            replicas = [
                self.cluster.stores[item].replicas[shard]
                for item in (view.primary, *view.backups)
            ]
            first = replicas[0].state
            for other in replicas[1:]:
                self.check(other.state.trees == first.trees, "replicas differ")
                self.check(other.state.outcomes == first.outcomes, "replicas differ")
                self.check(other.state.running == first.running, "indexes differ")


class FaultRuns:
    """Runs a range of seeds, and counts the crashes and outcomes in them."""

    def __init__(self, low, high, **options):
        self.seeds = range(low, high)
        self.options = options
        self.violations = []
        self.count = self.crashes = self.booked = self.unknown = self.not_run = 0

    def run(self, stop_at_first=False):
        for seed in self.seeds:
            run = FaultRun(seed, **self.options)
            try:
                run.run()
            except InvariantViolation as error:
                self.violations.append(str(error))
                if stop_at_first:
                    return
            self.count_run(run)

    def count_run(self, run):
        incarnations = run.cluster.incarnations
        self.count += 1
        self.crashes += sum(incarnations.values()) - len(incarnations)
        self.booked += len(run.booked)
        self.not_run += len(run.refused)
        states = [
            record.state
            for key in run.keys
            if (record := run.get_primary_state(key).outcomes.get(key))
        ]
        self.unknown += states.count(OutcomeState.UNKNOWN)
