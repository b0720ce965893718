"""Run one process on the users' platform: `python -m burdockwall.platform`."""

from burdockwall.platform.start import run_process

run_process()
