"""Run upgrades from earlier commits: `python -m features.upgrades COMMIT ...`.

Each commit is upgraded twice, with a leader of either build while both run. The
repository's history must have the commits, so this runs by hand and not in CI.
"""

import json
import sys

import anyio

from features.subjects.mixed_builds import run_upgrade

LEADERS = ("old", "new")


def main() -> None:
    """Run the upgrades that the arguments name, and print a line for each."""
    for commit in sys.argv[1:]:
        for leader in LEADERS:
            print(json.dumps(anyio.run(run_upgrade, commit, leader)), flush=True)


if __name__ == "__main__":
    main()
