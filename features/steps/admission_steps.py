from behave import given, then, when

from burdockwall.process.admission.queue import Shed, ShedReason
from features.subjects.admission import CAPACITY_PER_S, AdmissionSubject, FloodRun


@given("an admission queue of {limit:d} places")
def step_admission(context, limit):
    context.subject = AdmissionSubject(limit)


@when("{count:d} admission jobs of class {priority} wait for customer {customer}")
def step_admission_offer(context, count, priority, customer):
    for _ in range(count):
        context.subject.offer(customer, priority)


@when("admission jobs start at {rate:d} a second for {seconds:d} s")
def step_admission_start(context, rate, seconds):
    context.subject.start_jobs(rate, seconds)


@when("an admission job of customer {customer} has a deadline in {seconds:d} s")
def step_admission_deadline(context, customer, seconds):
    subject = context.subject
    context.verdict = subject.offer(customer, "normal", seconds)
    context.deadline = subject.now + seconds


@when("customer a sends 4 times its rate towards an admission queue with seed {seed:d}")
def step_admission_flood(context, seed):
    context.calm = FloodRun(seed, flood=False)
    context.flood = FloodRun(seed, flood=True)


@then(
    "{first:d} admission jobs of class {priority} and {second:d} of class {other} "
    "still wait"
)
def step_admission_count(context, first, priority, second, other):
    subject = context.subject
    assert (subject.count(priority), subject.count(other)) == (first, second)


@then("every displaced admission job was the newest of its class")
def step_admission_newest(context):
    assert context.subject.displaced
    for displaced, others in context.subject.displaced:
        same = [job.call for job in others if job.priority is displaced.priority]
        assert not same or displaced.call > max(same)


@then("each refused admission job has a time to retry after")
def step_admission_retry(context):
    assert context.subject.refused
    assert all(shed.retry_after_s > 0 for shed in context.subject.refused)


@then("customers a and b hold {count:d} admission places each")
def step_admission_share(context, count):
    customers = [job.customer for job in context.subject.waiting.values()]
    assert (customers.count("a"), customers.count("b")) == (count, count), customers


@then("that admission job is refused for its deadline within 0.1 s")
def step_admission_refused(context):
    assert isinstance(context.verdict, Shed)
    assert context.verdict.reason is ShedReason.DEADLINE


@then(
    "an admission job of customer {customer} with a deadline in {seconds:d} s may wait"
)
def step_admission_other(context, customer, seconds):
    assert not isinstance(context.subject.offer(customer, "normal", seconds), Shed)


@then("a review sheds that admission job at least {seconds:g} s before its deadline")
def step_admission_review(context, seconds):
    subject = context.subject
    assert not isinstance(context.verdict, Shed)
    shed = {item.call: item for item in subject.queue.review(subject.now)}
    assert shed[context.verdict.call].reason is ShedReason.DEADLINE
    assert context.deadline - subject.now >= seconds


@then(
    "the others' admission latency at p95 is at most {ratio:g} times that without "
    "overload"
)
def step_admission_latency(context, ratio):
    flood, calm = context.flood.compute_p95(), context.calm.compute_p95()
    print(f"{flood:.3f} s against {calm:.3f} s")
    # Sharing costs at least one turn of each customer.
    assert flood <= ratio * max(calm, 5 / CAPACITY_PER_S), (flood, calm)


@then("the others lose no more admission jobs than without overload")
def step_admission_lost(context):
    assert context.flood.lost <= context.calm.lost
