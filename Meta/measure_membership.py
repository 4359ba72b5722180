#!/usr/bin/env python3
"""Measures what the membership costs each member, with processes on loopback, and extrapolates to 390 members.

Runs 8, 16, 32 and 64 processes of jujube-membership-probe after each other and prints the median over the members of each run, the slope over the last two
sizes, where datagrams are full, and the value at 390 members. Usage: Meta/measure_membership.py [warm-up seconds] [measured seconds] (default 20 and 30)
"""

import json
import os
import statistics
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROBE = os.path.join(ROOT, "build", "bin", "jujube-membership-probe")
SIZES = [8, 16, 32, 64]
FULL_SIZE = 390
# Limits of the control overhead of a node (docs/design.md, section 4).
LIMIT_BYTES_PER_S = 5000
LIMIT_PROCESSOR_SHARE = 0.039
DATA_CENTRES = 8
REGIONS = 3


def start(index, seed, warm_up, measured):
    """Starts one member and returns its process and address."""
    data_centre = index % DATA_CENTRES
    command = [PROBE, "--name", f"gateway-{index}", "--data-centre", f"dc-{data_centre}", "--region", f"region-{data_centre % REGIONS}"]
    # All members stay until the last one has reported; they are ended earlier.
    command += ["--stay-s", "60", "--cluster-key", "measurement", "--warm-up-s", str(warm_up), "--measure-s", str(measured)]
    if seed:
        command += ["--peers", seed]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    return process, json.loads(process.stdout.readline())["listen"]


def measure(size, warm_up, measured):
    """Returns the reports of all members of one run."""
    processes = []
    try:
        seed = None
        for index in range(size):
            process, address = start(index, seed, warm_up, measured)
            processes.append(process)
            seed = seed or address
        lines = [process.stdout.readline() for process in processes]
        ended = [process.poll() for process in processes]
        if any(code is not None for code in ended):
            sys.exit(f"a member ended early: exit codes {ended}")
        return [json.loads(line) for line in lines]
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


def main():
    warm_up, measured = (int(argument) for argument in (sys.argv[1:] or [20, 30]))
    print("| members | sent B/s | received B/s | both B/s | most of any B/s | core % | memory MiB | all live |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    totals, shares = [], []
    for size in SIZES:
        reports = measure(size, warm_up, measured)
        sent = statistics.median(report["sent_bytes_per_s"] for report in reports)
        received = statistics.median(report["received_bytes_per_s"] for report in reports)
        both = [report["sent_bytes_per_s"] + report["received_bytes_per_s"] for report in reports]
        share = statistics.median(report["processor_share"] for report in reports)
        memory = max(report["resident_kib"] for report in reports) / 1024
        complete = sum(report["live"] == size - 1 for report in reports)
        totals.append(statistics.median(both))
        shares.append(share)
        print(f"| {size} | {sent:.0f} | {received:.0f} | {totals[-1]:.0f} | {max(both):.0f} | {100 * share:.3f} | {memory:.1f} | {complete}/{size} |", flush=True)
    print()
    for name, values, limit, scale, unit in (
        ("traffic", totals, LIMIT_BYTES_PER_S, 1, "B/s"),
        ("processor", shares, LIMIT_PROCESSOR_SHARE, 100, "% of a core"),
    ):
        slope = (values[-1] - values[-2]) / (SIZES[-1] - SIZES[-2])
        full = values[-1] + slope * (FULL_SIZE - SIZES[-1])
        verdict = "within" if full <= limit else "over"
        print(f"{name}: slope {scale * slope:.4g} {unit} for each member, {scale * full:.4g} {unit} at {FULL_SIZE} members, {verdict} the limit of {scale * limit:.4g} {unit}")


if __name__ == "__main__":
    main()
