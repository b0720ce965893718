from statistics import mean

from behave import given, then, when

from burdockwall.fakes.placement_runs import Choice, PlacementRun
from burdockwall.process.scheduling.request_work import RequestWork
from burdockwall.process.scheduling.work_balance import WorkBalancer
from burdockwall.types import EndpointId
from features.subjects.placement_choice import (
    ChoiceSubject,
    CostSubject,
    measure,
    measure_start,
)

SEEDS = range(1, 4)
SINCE_S, DURATION_S = 3.0, 9.0


def run_placement(seed: int, choice: Choice, instances: int, load: float, **changes):
    run = PlacementRun(seed, choice, instances, load, **changes)
    run.run(DURATION_S)
    return run


def average(measured: str, choice: Choice, instances: int, load: float) -> float:
    runs = [run_placement(seed, choice, instances, load) for seed in SEEDS]
    return mean(getattr(run, measured)(SINCE_S) for run in runs)


@given("{instances:d} instances that place by work among {count:d} endpoints")
def step_instances(context, instances, count):
    context.subject = ChoiceSubject(instances, count)


@when('each endpoint reports 6 requests, but "e0" reports {first}, and 0.5 s pass')
def step_reports(context, first):
    for endpoint in context.subject.endpoints[1:]:
        context.subject.report(endpoint.name, 6)
    if first == "none":
        context.subject.report("e0", 0)
    context.subject.now += 0.5


@when('"e0" reports 7 requests, and 1.5 s later each other endpoint reports 4')
def step_old_report(context):
    context.subject.report("e0", 7)
    context.subject.now += 1.5
    for endpoint in context.subject.endpoints[1:]:
        context.subject.report(endpoint.name, 4)


@then('at most {most:d} of 50 instances choose "e0"')
def step_few(context, most):
    chosen = context.subject.count_choices(1)
    assert chosen["e0"] <= most, chosen


def choose_for_program(context, tokens: int) -> set[str]:
    size = measure(tokens, program="p", on_engine=True, continues=True)
    instances = range(len(context.subject.balancers))
    return {context.subject.choose(size, instance) for instance in instances}


@then("all instances send a program's second turn of {tokens:d} tokens to one endpoint")
def step_program_stays(context, tokens):
    chosen = choose_for_program(context, tokens)
    assert len(chosen) == 1, chosen
    context.home = chosen.pop()


@when("that endpoint has {count:d} requests waiting")
def step_home_waits(context, count):
    for _ in range(3):
        for endpoint in context.subject.endpoints:
            waiting = count if endpoint.name == context.home else 0
            context.subject.report(endpoint.name, 7 if waiting else 2, waiting)


@then("no instance sends a program's second turn of {tokens:d} tokens to that endpoint")
def step_program_moves(context, tokens):
    assert context.home not in choose_for_program(context, tokens)


@when(
    '{first:d} requests of {tokens:d} tokens are sent to "e0" and {second:d} to "e1",'
    " which have room for {room:d}"
)
def step_fill(context, first, tokens, second, room):
    context.room = room
    for name in ["e0"] * first + ["e1"] * second:
        work = RequestWork(measure(tokens, on_engine=True), room)
        context.subject.send(name, work)


@then('{count:d} of {count_again:d} requests of {tokens:d} tokens go to "{name}"')
def step_not_full(context, count, count_again, tokens, name):
    balancer, endpoints = context.subject.balancers[0], context.subject.endpoints
    size = measure(tokens, on_engine=True)
    for _ in range(count):
        work = RequestWork(size, context.room)
        assert balancer.choose(endpoints, "", 0.0, frozenset(), work).name == name


@when('"{name}" completes a program\'s turn of {tokens:d} tokens')
def step_completes(context, name, tokens):
    subject, work = (
        context.subject,
        RequestWork(measure(tokens, "c", "p", on_engine=True)),
    )
    subject.send(name, work)
    subject.now, work.completed = 1.0, True
    subject.balancers[0].record_work_end(EndpointId(name), work, subject.now)
    context.next_turn = measure(tokens, "c", "p", on_engine=True, continues=True)


@then('the program\'s next turn goes to "{name}"')
def step_next_turn(context, name):
    assert context.subject.choose(context.next_turn) == name


@when('"{name}" breaks a connection')
def step_breaks(context, name):
    context.subject.now = 2.0
    context.subject.balancers[0].record_failure(EndpointId(name), 2.0)


@then('nothing is expected to be cached at "{name}"')
def step_nothing_cached(context, name):
    balancer = context.subject.balancers[0]
    work = RequestWork(context.next_turn)
    listed = [item for item in context.subject.endpoints if item.name == name]
    balancer.choose(listed, "", context.subject.now, frozenset(), work)
    assert work.expected.cached_tokens == 0, work.expected


@then('instances place by counts unless the setting says "{placement}"')
def step_switch(context, placement):
    by_work = ChoiceSubject(1, 2, placement).balancers[0]
    by_counts = ChoiceSubject(1, 2, "counts").balancers[0]
    assert isinstance(by_work, WorkBalancer)
    assert not isinstance(by_counts, WorkBalancer)


@then("a decision takes under {limit_ms:d} ms")
def step_decision(context, limit_ms):
    taken_s = context.subject.measure_decision_s()
    assert taken_s < limit_ms / 1000, taken_s


@given("an estimator that has learned {count:d} costs")
def step_learned(context, count):
    context.subject = CostSubject()
    context.subject.learn(count)


@given("an estimator that has learned {count:d} costs, a third of them false")
def step_learned_false(context, count):
    context.subject = CostSubject()
    context.subject.learn(count * 2 // 3, false_share=0.5)


def is_near(value: float, wanted: float, factor: float) -> bool:
    return wanted / factor <= value <= wanted * factor


@then(
    "the estimates for 100, 800 and 3200 tokens are right within a factor of {factor:g}"
)
def step_estimates(context, factor):
    for tokens in (100, 800, 3200):
        estimate_s = context.subject.estimate_s(measure(tokens, "c1"))
        assert is_near(estimate_s, tokens * 0.001, factor), (tokens, estimate_s)


@then("a request whose declared tokens its body contradicts is estimated by its size")
def step_contradicted(context):
    subject = context.subject
    for number in range(50):
        size = measure(10, f"c{10 + number % 10}", body=20_000)
        subject.costs.record(size, 3.0, 0.0, subject.now)
    estimate_s = subject.estimate_s(measure(10, "c3", body=20_000))
    assert is_near(estimate_s, 3.0, 1.5), estimate_s
    assert is_near(subject.estimate_s(measure(100, "c3")), 0.1, 1.5)


@then("the estimate for the false customer is right within a factor of {factor:g}")
def step_false_customer(context, factor):
    estimate_s = context.subject.estimate_s(measure(100, "false"))
    assert is_near(estimate_s, 3.0, factor), estimate_s


@then("the estimates for 4800 customers use under {limit_mb:d} MB")
def step_memory(context, limit_mb):
    used_mb = CostSubject().measure_mb()
    assert used_mb < limit_mb, used_mb


@then(
    "at {instances:d} instances the 95th percentile of short requests is at most"
    " {bound:g} of that with known costs, and by counts it is more"
)
def step_short(context, instances, bound):
    known = average("measure_short_s", Choice.KNOWN, instances, 0.7)
    by_work = average("measure_short_s", Choice.WORK, instances, 0.7)
    by_counts = average("measure_short_s", Choice.COUNTS, instances, 0.7)
    print(f"known {known:.4f} s, work {by_work:.4f} s, counts {by_counts:.4f} s")
    assert by_work <= bound * known < by_counts, (by_work, known, by_counts)


@then("requests of a customer that declares the least size take no less time")
def step_liar(context):
    honest, false = [], []
    for seed in SEEDS:
        for customer, times in ((None, honest), (3, false)):
            run = run_placement(seed, Choice.WORK, 50, 0.8, false_customer=customer)
            times.append(run.measure_customer_s(3, SINCE_S))
    print(f"honest {mean(honest):.4f} s, false {mean(false):.4f} s")
    assert mean(false) >= mean(honest) * 0.98, (false, honest)


@when("work takes twice as long at an endpoint")
def step_halved(context):
    context.runs = [PlacementRun(seed, Choice.WORK, 50, 0.7) for seed in SEEDS]
    for run in context.runs:
        run.change_pace(DURATION_S / 2, 4, 2.0)
        run.run(DURATION_S)


@then("it is sent fewer requests from a second later on")
def step_halved_less(context):
    middle_s = DURATION_S / 2
    before = sum(run.count_sent(4, middle_s - 3, middle_s) for run in context.runs)
    after = sum(run.count_sent(4, middle_s + 1, middle_s + 4) for run in context.runs)
    print(f"before {before}, after {after} requests in 3 s")
    assert after < before * 0.8, (before, after)


@then(
    "at {instances:d} instances and {load:g} of the capacity waits are at most"
    " {bound:g} of a perfect dispatcher's"
)
def step_waits(context, instances, load, bound):
    perfect = average("measure_wait_s", Choice.PERFECT, instances, load)
    wait = average("measure_wait_s", Choice.WORK, instances, load)
    print(f"perfect {perfect:.4f} s, by work {wait:.4f} s")
    assert wait <= bound * perfect, (wait, perfect)


@then(
    "at {instances:d} instances and {load:g} of the capacity the busiest of {count:d}"
    " endpoints gets at most {bound:g} of the mean"
)
def step_busiest(context, instances, load, count, bound):
    for seed in SEEDS:
        run = PlacementRun(seed, Choice.WORK, instances, load, endpoints=count)
        run.run(DURATION_S)
        busiest = run.measure_busiest(SINCE_S)
        assert busiest <= bound, (seed, busiest)


@when("it has seen {count:d} answers of engines that are 40 times as fast as assumed")
def step_learn_start(context, count):
    context.ratios = [
        ratio for seed in range(20) for ratio in measure_start(seed, count)
    ]


@then(
    "expected over actual cost is {low:g} to {high:g} at the median, and under {most:g}"
    " for 95 in 100"
)
def step_ratios(context, low, high, most):
    ratios = sorted(context.ratios)
    median, late = ratios[len(ratios) // 2], ratios[int(len(ratios) * 0.95)]
    assert low <= median <= high, median
    assert late < most, late


@when('a request to "{name}" has no answer for {seconds:d} s')
def step_hangs(context, name, seconds):
    context.subject.send(name, RequestWork(measure(100)))
    context.subject.now += seconds


@then('none of {count:d} plain requests goes to "{name}"')
def step_not_drawn(context, count, name):
    chosen = {context.subject.choose(measure(100)) for _ in range(count)}
    assert name not in chosen, chosen
