"""Run any number of seeds: `python -m features.faults SUBJECT --seeds N --start S`."""

import sys
from collections.abc import Callable

import click

from features.subjects import control_faults, control_founding

SUBJECTS: dict[str, dict[str, Callable[[int], object]]] = {
    "control": {
        kind: lambda seed, kind=kind: control_faults.run_seed(kind, seed)
        for kind in control_faults.RUNS
    },
    "founding": {
        kind: lambda seed, kind=kind: control_founding.run_seed(kind, seed)
        for kind in control_founding.RUNS
    },
}


@click.command()
@click.argument("subject", type=click.Choice(sorted(SUBJECTS)))
@click.option("--kind", default=None, help="One kind of run; by default all.")
@click.option("--seeds", default=100, help="Number of seeds.")
@click.option("--start", default=0, help="First seed.")
def main(subject: str, kind: str | None, seeds: int, start: int) -> None:
    """Run seeds and print those that fail."""
    kinds = SUBJECTS[subject]
    failed = 0
    for name in [kind] if kind else sorted(kinds):
        for seed in range(start, start + seeds):
            try:
                kinds[name](seed)
            except Exception as error:
                failed += 1
                click.echo(f"{subject} {name} seed {seed}: {error!r}")
        click.echo(f"{subject} {name}: seeds {start} to {start + seeds - 1} ran")
    click.echo(f"{failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
