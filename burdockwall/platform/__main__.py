"""Run one process on the users' platform: `python -m burdockwall.platform`."""

from burdockwall.process.startup import begin_startup

# The imports below take most of the start, and create many objects that live as long
# as the process, so that collecting garbage meanwhile would only delay it.
begin_startup()

from burdockwall.platform.start import run_process  # noqa: E402

run_process()
