from behave import given, then, when

from burdockwall.process.scheduling.attained_service import AttainedService
from burdockwall.process.scheduling.jobs import InstancesCounted
from burdockwall.process.scheduling.queue import JobQueue
from burdockwall.process.scheduling.scheduler import Scheduler
from burdockwall.types import PriorityClass
from features.subjects.scheduling import SchedulingRuns, SchedulingSubject


class UncancellingScheduler(Scheduler):
    """A scheduler that leaves cancelled jobs in their queue."""

    def _cancel(self, call):
        pass


class UnagedQueue(JobQueue):
    """A queue that serves priority classes strictly, without the ageing bound."""

    def _find_overdue(self, now):
        return None


class LeakingScheduler(Scheduler):
    """A scheduler that does not free the place of a cancelled call."""

    def _finish(self, call, outcome, now):
        running = self.running.get(call)
        actions = super()._finish(call, outcome, now)
        if running is not None and outcome.result.value == "cancelled":
            self.router.loads[running.placement.endpoint].running += 1
        return actions


@given("a scheduler of one endpoint with {places:d} place")
def step_one(context, places):
    context.subject = SchedulingSubject(1, places)


@given("a scheduler of one endpoint with {places:d} place and no ageing")
def step_unaged(context, places):
    subject = context.subject = SchedulingSubject(1, places)
    replace_queue(subject, UnagedQueue)


def replace_queue(subject, kind):
    scheduler = subject.scheduler
    for endpoint in list(scheduler._queues):
        scheduler._queues[endpoint] = kind(
            endpoint, subject.policy, scheduler.attained_service
        )


@when('scheduler calls "{names}" are queued behind a running one')
def step_queue(context, names):
    subject = context.subject
    subject.submit("running")
    context.calls = {}
    for item in names.split():
        name, _, priority = item.partition("=")
        chosen = PriorityClass(priority) if priority else PriorityClass.NORMAL
        context.calls[name] = subject.submit(name, chosen)


@when("the scheduler's endpoint ends {count:d} calls")
def step_end(context, count):
    for _ in range(count):
        context.subject.finish_first(latency_s=1.0, output_tokens=10)


@then('the scheduler has started "{names}" in this order')
def step_order(context, names):
    assert context.subject.list_started() == names.split(), (
        context.subject.list_started()
    )


@when('the scheduler\'s queued call "{name}" is abandoned')
def step_abandon(context, name):
    context.subject.cancel(context.calls[name])


@when("urgent scheduler calls keep arriving while a low one waits")
def step_arrivals(context):
    subject = context.subject
    subject.submit("running", PriorityClass.URGENT)
    subject.submit("low", PriorityClass.LOW)
    for number in range(200):
        subject.submit(f"urgent-{number}", PriorityClass.URGENT)
        subject.now += 1.0
        subject.finish_first(latency_s=1.0, output_tokens=10)


@then("the scheduler has started the low call within its ageing bound")
def step_bound(context):
    subject = context.subject
    policy = subject.policy
    limit = policy.ageing_s + policy.ageing_every + 1
    position = subject.list_started().index("low")
    assert position <= limit, position


@then("the scheduler has never started the low call")
def step_never_started(context):
    assert "low" not in context.subject.list_started()


@when("a scheduler program of {turns:d} calls competes with new programs")
def step_attained(context, turns):
    subject = context.subject
    for _ in range(turns):
        subject.submit("long", tokens=8000)
        subject.finish_first(latency_s=1.0, output_tokens=400, cached_tokens=0)
    subject.submit("blocker", tokens=100)
    subject.submit("long", tokens=8000)
    subject.submit("new", tokens=100)
    subject.finish_first(latency_s=1.0, output_tokens=10)
    context.next = subject.list_started()[-1]


@then("the scheduler serves the new program first")
def step_attained_first(context):
    assert context.next == "new", context.next


@when("customer A queues {many:d} scheduler calls and customer B {few:d}")
def step_fair(context, many, few):
    subject = context.subject
    subject.submit("running", customer="other")
    for number in range(many):
        subject.submit(f"a-{number}", customer="A")
    for number in range(few):
        subject.submit(f"b-{number}", customer="B")
    for _ in range(2 * few):
        subject.finish_first(latency_s=1.0, output_tokens=10)


@then("the scheduler has served all {few:d} calls of B among the first {count:d}")
def step_fair_check(context, few, count):
    first = context.subject.list_started()[1 : count + 1]
    served = [name for name in first if name.startswith("b-")]
    assert len(served) == few, first


@when("scheduler runs with faults use seeds from {first:d}, {count:d} of them")
def step_runs(context, first, count):
    context.runs = SchedulingRuns()
    context.runs.run(first, count)


@when("scheduler runs that leak places use seeds from {first:d}, {count:d} of them")
def step_leaky(context, first, count):
    context.runs = SchedulingRuns(LeakingScheduler)
    context.runs.run(first, count)


@then("every scheduler run starts each call once and respects its windows")
def step_runs_check(context):
    assert not context.runs.faults, context.runs.faults[:3]
    assert context.runs.finished > 0


@then("some scheduler run fails its check")
def step_runs_fail(context):
    assert context.runs.faults


@given("a scheduler that ignores abandonment, with {places:d} place")
def step_uncancelling(context, places):
    context.subject = SchedulingSubject(1, places, create=UncancellingScheduler)


@when("{count:d} scheduler programs have run once each")
def step_programs(context, count):
    context.attained_service = AttainedService(context.subject.policy)
    for number in range(count):
        context.attained_service.charge(f"p-{number}", "c", 1.0, 0.1)


@then("the scheduler has service records of at most {count:d} programs")
def step_programs_bounded(context, count):
    assert len(context.attained_service._programs) <= count


@given("a scheduler of {count:d} endpoints with {places:d} place each")
def step_several(context, count, places):
    context.subject = SchedulingSubject(count, places)


@when("{count:d} scheduler calls are queued and the second endpoint leaves")
def step_leave(context, count):
    subject = context.subject
    for number in range(count):
        subject.submit(f"p-{number}")
    context.before = dict(subject.sent)
    assert set(context.before) == {"e0", "e1"}, context.before
    subject.install(1)
    while subject.running:
        subject.finish_first(latency_s=1.0, output_tokens=10)


@then("the scheduler sends nothing more there and loses no call")
def step_left(context):
    subject = context.subject
    assert subject.sent["e1"] == context.before["e1"], subject.sent
    assert len(subject.started) == len(subject.names), subject.rejected


@given(
    "a scheduler of one endpoint with {places:d} places shared by {count:d} instances"
)
def step_shared(context, places, count):
    context.subject = SchedulingSubject(1, places, instances=count)


@when("{count:d} scheduler calls are queued")
def step_queue_many(context, count):
    for number in range(count):
        context.subject.submit(f"p-{number}")


@when("the scheduler is informed that {count:d} instances are left")
def step_left_instances(context, count):
    context.subject.apply(InstancesCounted(count))
    context.subject.tick(0.1)


@then("the scheduler runs {count:d} calls")
def step_running(context, count):
    assert len(context.subject.running) == count, context.subject.running


@when("the scheduler's second endpoint leaves and is listed again with calls in flight")
def step_return(context):
    subject = context.subject
    for number in range(2):
        subject.submit(f"p-{number}")
    subject.install(1)
    subject.install(2)
    for number in range(2, 6):
        subject.submit(f"p-{number}")


@then("the scheduler has no more than {places:d} call at either endpoint")
def step_either(context, places):
    placed = list(context.subject.running.values())
    assert set(placed) == {"e0", "e1"}, placed
    assert max(placed.count(name) for name in placed) <= places, placed
