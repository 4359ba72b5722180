#!/usr/bin/env python3
"""Checks the Promela models in Models with spin.

Each model is checked as it stands, where its properties must hold, and with one guard removed at a time, where the named assertion must be violated. Prints
the states explored and fails if a result differs, if the search was cut short, or if a model exceeds 1 GiB. Arguments: names of models (default: all).
"""

import concurrent.futures
import os
import re
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MEMORY_LIMIT_MIB = 1024
DEPTH_LIMIT = 100000
SECONDS_LIMIT = 120
PARALLEL_CHECKS = 2

# Model, macros, and the text that the violated assertion contains; None where the properties hold.
CHECKS = [
    ("OneTimeCall", [], None),
    ("OneTimeCall", ["COMPARE_NO_NONCE"], "runs<=1"),
    ("OneTimeCall", ["TAKE_OVER_OPEN_CLAIM"], "runs<=1"),
    ("OneTimeCall", ["BLIND_RECLAIM"], "runs<=1"),
    ("OneTimeCall", ["NOT_RUN_AFTER_BYTES"], "answer["),
    ("OneTimeCall", ["SEND_BEFORE_CLAIM"], "answer["),
    ("LeaseAndFencing", [], None),
    ("LeaseAndFencing", ["ENGINE_CHECKS_NOTHING"], ">=executed"),
    ("LeaseAndFencing", ["BLIND_LEASE"], "senderOf["),
    ("LeaseAndFencing", ["ASSUME_LEASE"], "senderOf["),
    ("LeaseAndFencing", ["IGNORING_ENGINE"], None),
    ("LeaseAndFencing", ["IGNORING_ENGINE", "SEND_ONCE"], "executed==number"),
    ("Documents", [], None),
    ("Documents", ["BLIND_APPLY"], "headVersion"),
    ("Documents", ["ASSUME_REFUSED"], "told!="),
    ("Documents", ["ACCEPT_ANY_VERSION"], "version>inForce"),
    ("Documents", ["ACCEPT_ANY_BYTES"], "bytes==digestOf"),
    # A limit of the design, see docs/MODELS.md.
    ("Documents", ["ACROSS_RESTART"], "hadBefore["),
    ("ColdPermits", [], None),
    ("ColdPermits", ["EXPIRE_BY_TIME"], "running<=2"),
    ("ColdPermits", ["IGNORE_REPORT"], "running<=2"),
    ("ColdPermits", ["OLD_REPORT"], "running<=2"),
    ("ColdPermits", ["BLIND_GRANT"], "running<=2"),
    ("ColdPermits", ["RETURN_ON_SILENCE"], "running<=2"),
    ("ColdPermits", ["RETURN_BY_INDEX"], "running<=2"),
    # The assumption that the model states.
    ("ColdPermits", ["LIST_AHEAD_OF_NETWORK"], "running<=2"),
]


def run_pan(model, macros):
    """Returns the output of the verifier of a model, and its run time in seconds."""
    with tempfile.TemporaryDirectory() as directory:
        source = os.path.join(ROOT, "Models", model + ".pml")
        spin = ["spin", *["-D" + macro for macro in macros], "-a", source]
        subprocess.run(spin, cwd=directory, check=True, capture_output=True)
        # The models use timeout, which the partial order reduction does not take into account; without it, every interleaving is explored.
        reduction = ["-DNOREDUCE"] if model == "LeaseAndFencing" else []
        gcc = ["gcc", "-O2", "-w", "-DSAFETY", f"-DMEMLIM={MEMORY_LIMIT_MIB}", *reduction, "-o", "pan", "pan.c"]
        subprocess.run(gcc, cwd=directory, check=True)
        started = time.monotonic()
        pan = subprocess.run(["./pan", f"-m{DEPTH_LIMIT}"], cwd=directory, capture_output=True, text=True, timeout=SECONDS_LIMIT, check=False)
        return pan.stdout + pan.stderr, time.monotonic() - started


def check(entry):
    """Returns whether a check gave the expected result, and the line to print."""
    model, macros, expected = entry
    output, seconds = run_pan(model, macros)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    memory = re.search(r"([\d.]+)\s+total actual memory usage", output)
    violated = re.search(r"assertion violated (.*) \(at depth", output)
    # A search that was cut short proves nothing.
    complete = "search depth too small" not in output and "reached -DMEMLIM" not in output and "Search not completed" not in output
    if expected is None:
        passed = bool(errors) and errors.group(1) == "0" and complete
        result = "holds"
    else:
        passed = bool(violated) and expected in violated.group(1)
        result = "violated: " + violated.group(1) if violated else "not violated"
    if not passed and expected is None:
        result = "violated: " + violated.group(1) if violated else "not completed"
    what = " ".join(macros) or "as it stands"
    size = f"{states.group(1) if states else '?':>9} states {float(memory.group(1)) if memory else 0:7.0f} MiB {seconds:6.1f} s"
    return passed, f"{'ok  ' if passed else 'FAIL'} {model:16} {what:32} {size}  {result}"


def main():
    wanted = sys.argv[1:]
    checks = [entry for entry in CHECKS if not wanted or entry[0] in wanted]
    if not checks:
        print("no such model")
        return 2
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_CHECKS) as pool:
        failures = 0
        for passed, line in pool.map(check, checks):
            print(line, flush=True)
            failures += not passed
    print(f"{len(checks)} checks, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
