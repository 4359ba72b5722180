#!/usr/bin/env python3
"""Runs the tests of a build directory with ctest and prints one verdict.

Tests named in KNOWN-RED.txt run too. Their failures are printed and left out of the verdict; a listed test that passes is printed as well, so that its
entry gets removed. The exit code is 0 only if every other test passed and at least one test ran.
"""

import os
import re
import subprocess
import sys

PARALLEL_TESTS = 5


def known_red():
    """Returns the names in KNOWN-RED.txt: the first word behind "test:" of each entry."""
    if not os.path.exists("KNOWN-RED.txt"):
        return set()
    with open("KNOWN-RED.txt", encoding="utf-8") as file:
        return set(re.findall(r"^test:\s*(\S+)", file.read(), re.MULTILINE))


def main():
    directory, arguments = sys.argv[1], sys.argv[2:]
    command = ["ctest", "--test-dir", directory, "--output-on-failure", "--no-tests=error", "-j", str(PARALLEL_TESTS), *arguments]
    run = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    results = {}
    for line in run.stdout:
        match = re.search(r"Test\s+#\d+: (\S+) \.+\s*(\*\*\*)?(Passed|Failed|Timeout|Exception|Not Run|Skipped)", line)
        if match:
            results[match.group(1)] = match.group(3) == "Passed"
        if not (match and match.group(3) == "Passed") and not re.match(r"\s+Start\s+\d+:", line):
            print(line, end="", flush=True)
    ctest_code = run.wait()
    listed = known_red()
    failed = sorted(name for name, passed in results.items() if not passed and name not in listed)
    passed = sum(results.values())
    for name in sorted(listed & results.keys()):
        print(f"known red: {name}: {'passes now, remove its entry' if results[name] else 'failed as listed'}")
    for name in failed:
        print(f"failed: {name}")
    red = len(results) - passed - len(failed)
    unexplained = ctest_code != 0 and not failed and red == 0
    if unexplained or not results:
        print("ctest failed without naming a test")
        return 1
    print(f"{passed} passed, {len(failed)} failed, {red} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
