from behave import given, then, when

from burdockwall.errors import Code
from features.subjects import control_founding
from features.subjects.control_late_seed import LateSeedSite
from features.subjects.platform import READY_LIMIT_S, build_configuration


@when("the instance that acknowledged the first configuration loses its disk {also}")
def step_first_loss(context, also):
    power = also == "while all others lose power"
    context.clusters = [control_founding.run_first_loss(power)]


@when("the lowest seed loses its disk {after_s:g} s after its start")
def step_early_loss(context, after_s):
    context.clusters = [control_founding.run_early_loss(after_s)]


@when("{instances:d} control instances start that tolerate {losses:d} losses")
def step_small_fleet(context, instances, losses):
    context.clusters = [control_founding.run_small_fleet(instances, losses)]


@when(
    "the third seed of a fleet starts {late_s:d} s after the others, and a disk is "
    "lost later"
)
def step_late_seed(context, late_s):
    context.clusters = [control_founding.run_late_seed(late_s)]


@when(
    "{instances:d} control instances that tolerate {losses:d} losses start without "
    "seed {seed:d}"
)
def step_absent_seed(context, instances, losses, seed):
    context.clusters = [control_founding.run_absent_seed(instances, losses, seed)]


@then("the first change is acknowledged within {limit_s:g} s of the start")
def step_first_ack(context, limit_s):
    acked_at = context.clusters[0].first_acked_at
    assert acked_at <= limit_s, acked_at


@when(
    "the leader of {instances:d} control instances that tolerate {losses:d} losses is "
    "killed"
)
def step_kill_leader(context, instances, losses):
    context.election_s = control_founding.measure_election(instances, losses)


@then("changes are acknowledged again within {limit_s:g} s")
def step_election(context, limit_s):
    assert context.election_s <= limit_s, context.election_s


@when('fleets are founded with "{kind}" from seeds {first:d} to {last:d}')
def step_run_seeds(context, kind, first, last):
    context.clusters = [
        control_founding.run_seed(kind, seed) for seed in range(first, last + 1)
    ]
    assert all(cluster.lost for cluster in context.clusters)


@then("the founded fleet holds what it acknowledged")
@then("the founded fleets hold what they acknowledged")
def step_check(context):
    for cluster in context.clusters:
        first = cluster.observed.acknowledged["first"][1]
        assert first.version == 1 and not first.code, first


@given("a site whose third control instance has not started")
def step_late_site(context):
    context.site = LateSeedSite()
    context.add_cleanup(context.site.close)
    context.site.start()
    assert context.site.wait_for(context.site.has_leader, READY_LIMIT_S)


@then("a configuration is refused with 503 and Retry-After, as not made")
def step_refused(context):
    answer = context.site.put_configuration(build_configuration())
    assert answer.status_code == 503, answer
    assert float(answer.headers["retry-after"]) > 0
    assert answer.json()["code"] == Code.NO_QUORUM.value.number
    assert context.site.read_configuration().status_code == 503


@then("it is accepted once the third control instance has started")
def step_accepted(context):
    context.site.start_late()
    assert context.site.read_configuration().json() == build_configuration()


@then("one of {seeds:d} founded fleets fails without {protection}")
def step_protection(context, seeds, protection):
    failure = control_founding.find_failure(protection, seeds)
    assert failure is not None, "no run failed"
    print(f"{protection}: {failure}")
