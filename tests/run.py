"""Runs the test suite with behave and prints the closing line ``N passed, N failed``.

Scenarios listed in KNOWN-RED.txt (lines that begin with ``scenario:``) run and are printed, but a failure
of theirs does not fail the run.
"""

from __future__ import annotations

import sys
from pathlib import Path
from textwrap import indent

from behave.configuration import Configuration
from behave.model import ScenarioOutline
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "scenario:"


def known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def scenarios(runner: Runner):
    """Yield every scenario of the run, outlines expanded."""
    for feature in runner.features:
        for item in feature.walk_scenarios():
            if not isinstance(item, ScenarioOutline):
                yield item


def failure_message(scenario) -> str:
    """Return the failed step of a scenario and its error, indented."""
    for step in scenario.all_steps:
        if step.error_message:
            return indent(f"{step.keyword} {step.name}\n{step.error_message}", "    ")
    return indent(scenario.error_message or "no step failed", "    ")


def main(arguments: list[str]) -> int:
    """Run the features; returns 0 when nothing fails outside the known list."""
    features = [argument for argument in arguments if not argument.startswith("-")]
    options = [argument for argument in arguments if argument.startswith("-")]
    command = [*options, "--format=progress", "--no-timings", *(features or [str(ROOT / "tests/features")])]
    runner = Runner(Configuration(command))
    crashed = runner.run()
    excused = known_red()
    passed, failed, red = 0, [], []
    for scenario in scenarios(runner):
        status = scenario.status.name
        if status == "passed":
            passed += 1
        elif status not in ("skipped", "untested"):
            # behave ends the names of outlines' examples with a space when these have no name.
            name = scenario.name.strip()
            failure = f"{scenario.location}: {name}\n{failure_message(scenario)}"
            (red if name in excused else failed).append(failure)
    for name in red:
        print(f"known red: {name}")
    for name in failed:
        print(f"FAILED: {name}")
    if crashed and not failed and not red:
        failed.append("the runner itself")
        print("FAILED: the runner reported an error outside a scenario")
    if not passed:
        failed.append("no scenario ran")
        print("FAILED: no scenario ran")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
