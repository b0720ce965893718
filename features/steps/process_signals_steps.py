import signal
import time

from behave import given, then, when

from features.subjects.process_signals import SignalledProcess

FIRST_DELAY_S = 0.05
LAST_DELAY_S = 0.6


def list_delays(count):
    step_s = (LAST_DELAY_S - FIRST_DELAY_S) / (count - 1)
    return [FIRST_DELAY_S + number * step_s for number in range(count)]


@given("the settings of an instance of role {role}")
def step_settings(context, role):
    context.subject = SignalledProcess(role)


@when(
    "it is started {count:d} times, and gets SIGHUP 0.05 s to 0.6 s "
    "after its code begins"
)
def step_hangups(context, count):
    context.subject.signal_at_start(signal.SIGHUP, list_delays(count), ends=False)


@when(
    "it is started {count:d} times, and gets SIGTERM 0.05 s to 0.6 s "
    "after its code begins"
)
def step_terminations(context, count):
    context.subject.signal_at_start(signal.SIGTERM, list_delays(count), ends=True)


@then("it runs each time")
def step_runs_each(context):
    assert set(context.subject.exit_codes) == {None}, context.subject.exit_codes


@then("it ends each time with exit code {code:d}")
def step_ends_each(context, code):
    assert set(context.subject.exit_codes) == {code}, context.subject.exit_codes


@when("it runs, its settings file {change}, and SIGHUP follows after 2.5 s")
def step_change(context, change):
    subject = context.subject
    subject.start_and_wait()
    subject.change_settings(change)
    time.sleep(2.5)
    subject.send_hangup()


@then("it still runs, and has logged that the settings were not reloaded")
def step_not_reloaded(context):
    context.subject.wait_for_line("settings not reloaded")
    assert context.subject.is_running()


@when("the former settings file is back, and SIGHUP follows")
def step_restore(context):
    context.subject.restore_settings()
    context.subject.send_hangup()


@then("it still runs, and has logged that the settings were reloaded")
def step_reloaded(context):
    context.subject.wait_for_line("settings reloaded")
    assert context.subject.is_running()


@when("it runs, the reader of its log goes away, and it logs more")
def step_leave_log(context):
    context.subject.leave_log()


@then("it still runs after {seconds:g} s")
def step_still(context, seconds):
    time.sleep(seconds)
    assert context.subject.is_running(), context.subject.process.returncode


@when("it has run, its journal is cut to {size:d} bytes, and it starts again")
def step_cut(context, size):
    subject = context.subject
    subject.start_and_wait()
    subject.kill()
    subject.cut_journal(size)
    subject.start()


@when("another socket has its peer address, and it starts")
def step_taken(context):
    context.add_cleanup(context.subject.take_address().close)
    context.subject.start()


@then("it ends with exit code {code:d}, and logged the code {logged:d}")
def step_ending(context, code, logged):
    assert context.subject.wait_for_end() == code
    codes = context.subject.list_ending_codes()
    assert logged in codes, (codes, context.subject.lines[-3:])


@when(
    "its settings file {change}, it starts, and the whole file is there {after_s:g} s "
    "later"
)
def step_written_late(context, change, after_s):
    context.subject.change_settings(change)
    context.subject.start()
    time.sleep(after_s)
    context.subject.restore_settings()


@then("it runs")
def step_runs(context):
    context.subject.wait_for_line("started")
    assert context.subject.is_running()


@when("its settings file {change}, and it starts")
def step_invalid(context, change):
    context.subject.change_settings(change)
    context.subject.start()
