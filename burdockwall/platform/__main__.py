"""Run one process on the users' platform: `python -m burdockwall.platform`."""

from burdockwall.process.startup import pause_collection

# The imports below create many objects that live as long as the process, so that
# collecting garbage meanwhile would only delay the start.
pause_collection()

from burdockwall.platform.start import run_process  # noqa: E402

run_process()
