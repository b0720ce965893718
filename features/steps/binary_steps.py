from behave import given, then, when

from burdockwall import __version__
from features.subjects.binary import BinarySubject


@given("the shipped file")
def step_build(context):
    context.subject = BinarySubject()
    context.subject.build()


@when("it serves with a home folder and a working folder that cannot be written")
def step_serve(context):
    context.subject.serve()


@then("it answers its operator port")
def step_status(context):
    assert b'"role":"both"' in context.subject.read_status()


@then("it has started no process and runs on one thread")
def step_children(context):
    assert context.subject.list_children() == []
    assert context.subject.count_threads() == 1


@then("it has written no file and holds no shared memory")
def step_files(context):
    written = context.subject.list_written_files()
    assert written == [], written
    shared = context.subject.list_shared_mappings()
    assert shared == [], shared


@then("it exits on SIGTERM with exit code {code:d}")
def step_stop(context, code):
    context.subject.stop()
    assert context.subject.exit_code == code, context.subject.exit_code


@then("the shipped file prints its version")
def step_version(context):
    assert __version__ in context.subject.run("--version").stdout


@then("the shipped file reports the faults of a settings file with exit code {code:d}")
def step_check(context, code):
    path = context.subject.folder / "faulty.ini"
    path.write_text("[instance]\nrole = king\n")
    done = context.subject.run("check", "--settings", str(path))
    assert done.returncode == code, done
    assert done.stderr.startswith("2001 "), done.stderr


@then("the shipped file rejects a wrong command line with exit code {code:d}")
def step_usage(context, code):
    assert context.subject.run("serve", "--nothing").returncode == code
