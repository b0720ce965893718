"""Runner of the feature files; it counts the scenarios in behave's own results."""

import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = max(2, (os.cpu_count() or 2) // 2)
FEATURE_LIMIT_S = 900
# They measure what processes use, so each runs alone, after all others.
ALONE = ("misbehaving_clients", "misbehaving_own_clients")
PASSED = "passed"
SKIPPED = ("skipped", "untested")


@dataclass(slots=True)
class Report:
    """The scenarios of one feature file, by result."""

    feature: Path
    passed: int = 0
    skipped: int = 0
    failed: list[str] = field(default_factory=list)
    output: str = ""
    seconds: float = 0.0


def read_known_red() -> set[str]:
    """Read the names of the scenarios that are listed as known failures."""
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text("utf-8")
    return set(re.findall(r"^scenario: (.+)$", text, re.MULTILINE))


def count_scenarios(report: Report, results: list[dict]) -> None:
    """Count the scenarios in behave's JSON results."""
    for feature in results:
        failed_before = len(report.failed)
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element["status"] == PASSED:
                report.passed += 1
            elif element["status"] in SKIPPED:
                report.skipped += 1
            else:
                report.failed.append(element["name"].strip())
        succeeded = feature["status"] in (PASSED, *SKIPPED)
        if not succeeded and len(report.failed) == failed_before:
            report.failed.append(f"{report.feature.name}: {feature['status']}")


def run_feature(feature: Path) -> Report:
    """Run one feature file in a separate process."""
    report = Report(feature)
    started = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as results:
        command = [sys.executable, "-m", "behave", "--no-summary", "--no-color"]
        command += ["-f", "json", "-o", results.name, "-f", "plain"]
        command += [str(feature)]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            report.failed.append(f"{feature.name}: took over {FEATURE_LIMIT_S} s")
            return report
        report.output = done.stdout + done.stderr
        text = Path(results.name).read_text("utf-8")
    try:
        count_scenarios(report, json.loads(text))
    except ValueError:
        report.failed.append(f"{feature.name}: no result")
    if done.returncode != 0 and not report.failed:
        report.failed.append(f"{feature.name}: exit {done.returncode}")
    report.seconds = time.monotonic() - started
    return report


def print_report(report: Report) -> None:
    """Print the result of one feature file, and its output if it failed."""
    verdict = "failed" if report.failed else "ok"
    print(f"{report.feature.name}: {verdict} in {report.seconds:.1f} s")
    if report.failed:
        print(report.output)
    sys.stdout.flush()


def print_summary(reports: list[Report]) -> int:
    """Print the counts and return the exit code."""
    known_red = read_known_red()
    failures = [name for report in reports for name in report.failed]
    red = [name for name in failures if name in known_red]
    failed = len(failures) - len(red)
    passed = sum(report.passed for report in reports)
    skipped = sum(report.skipped for report in reports) + len(red)
    for name in red:
        print(f"known red: {name}")
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{tail}")
    return 1 if failed or not passed else 0


def main(names: list[str]) -> int:
    """Run the named feature files, or all of them."""
    features = sorted(FEATURES.glob("*.feature"))
    if names:
        features = [path for path in features if path.stem in names]
    together = [path for path in features if path.stem not in ALONE]
    alone = [path for path in features if path.stem in ALONE]
    reports = []
    for workers, group in ((WORKERS, together), (1, alone)):
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            for report in pool.map(run_feature, group):
                reports.append(report)
                print_report(report)
    return print_summary(reports)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
