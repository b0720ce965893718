from behave import given, then, when

from features.subjects.fleet_site import FleetSite


@given("a fleet site of one control instance and two entries")
def step_fleet_site(context):
    context.subject = FleetSite()


@when("a key is withdrawn at the fleet site while an entry is cut off")
def step_withdraw_cut_off(context):
    context.subject.run(context.subject.withdraw_key_while_cut_off)


@then("the cut-off entry refuses with 1503 and not run within {seconds:g} s")
def step_check_cut_off(context, seconds):
    subject = context.subject
    assert subject.refusal.headers["burdockwall-ran"] == "not run"
    assert subject.stopped_after_s <= seconds, subject.stopped_after_s


@then('the withdrawal names "{confirmed}" as confirmed and "{expired}" as expired')
def step_check_names(context, confirmed, expired):
    summary = context.subject.in_force_summary
    before, _, after = summary.partition(" expired ")
    assert confirmed in before, summary
    assert expired in after, summary


@when("an entry of the fleet site leaves")
def step_leave(context):
    context.subject.run(context.subject.resolve_while_leaving)


@then('the fleet site resolved "{before}" and then "{after}"')
def step_check_resolved(context, before, after):
    assert context.subject.resolved == [before, after], context.subject.resolved


@when("the platform reports that the fleet site's engine is leaving")
def step_lose_endpoint(context):
    context.subject.run(context.subject.post_turn_while_endpoint_leaves)


@then("the fleet site sends it no new work after 5 s")
def step_check_no_work(context):
    assert context.subject.refusal.headers["burdockwall-ran"] == "not run"
