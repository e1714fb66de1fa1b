"""Run all tests and print the numbers of passed and failed tests as the last line.

Tests that are listed in KNOWN-RED.txt may fail; the failed ones are printed by name. A
listed test that passes or is missing fails the run, so the list stays up to date.
"""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ET

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path: pathlib.Path) -> set[str]:
    """Return the test names that a file lists on lines starting with ``test: ``.

    The set is empty if the file does not exist.
    """
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line[6:].strip() for line in lines if line.startswith("test: ")}


def run_pytest(report: pathlib.Path) -> int:
    """Run pytest, write its JUnit report and return its exit code."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "packages",
        "deploy",
        "bench",
        "soak",
        f"--junitxml={report}",
    ]
    return subprocess.call(command, cwd=ROOT, env=os.environ)


def run_behave(report_dir: pathlib.Path) -> int:
    """Run the behave scenarios and return the exit code of behave.

    One JUnit report per feature is written into ``report_dir``.
    """
    if not any((ROOT / "features").glob("*.feature")):
        return 0
    command = [sys.executable, "-m", "behave", "features", "--format=progress"]
    command += ["--junit", f"--junit-directory={report_dir}"]
    return subprocess.call(command, cwd=ROOT, env=os.environ)


def read_results(report_dir: pathlib.Path) -> dict[str, bool]:
    """Return whether each test in the JUnit reports passed, by test name.

    Skipped tests count as passed.
    """
    is_passed_by_name: dict[str, bool] = {}
    for report in sorted(report_dir.glob("*.xml")):
        for case in ET.parse(report).getroot().iter("testcase"):
            name = f"{case.get('classname')}::{case.get('name')}"
            is_failed = any(child.tag in ("failure", "error") for child in case)
            is_passed_by_name[name] = not is_failed
    return is_passed_by_name


def main() -> int:
    """Run all tests and return the exit code.

    It is 0 if the failed tests are exactly those listed in KNOWN-RED.txt, else 1.
    """
    known_red = read_known_red(KNOWN_RED)
    with tempfile.TemporaryDirectory() as directory:
        report_dir = pathlib.Path(directory)
        pytest_code = run_pytest(report_dir / "pytest.xml")
        behave_code = run_behave(report_dir)
        is_passed_by_name = read_results(report_dir)
    failed = {name for name, is_passed in is_passed_by_name.items() if not is_passed}
    unexpected = sorted(failed - known_red)
    stale = sorted(known_red - failed)
    for name in sorted(failed & known_red):
        print(f"known failure: {re.sub(r'[^!-~ ]', '?', name)}")
    for name in unexpected:
        print(f"failed: {name}")
    for name in stale:
        print(f"listed in KNOWN-RED.txt but did not fail: {name}")
    # A runner that ended before it wrote its report leaves no failed test to print.
    has_runner_failed = (pytest_code or behave_code) and not failed
    if has_runner_failed:
        print(f"pytest exited with code {pytest_code}, behave with {behave_code}")
    n_problems = len(unexpected) + len(stale) + (1 if has_runner_failed else 0)
    print(f"{len(is_passed_by_name) - len(failed)} passed, {n_problems} failed")
    return 1 if n_problems else 0


if __name__ == "__main__":
    sys.exit(main())
