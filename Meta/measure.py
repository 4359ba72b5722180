#!/usr/bin/env python3
"""Measures policies of the gateway on loopback.

Starts a fleet for every scenario, policy and seed, runs jujube-load against it, and writes a Markdown table with medians and spread, a plot and the raw
reports. Example:

    Meta/measure.py --scenarios scenarios/qalamkar-110.yaml --policies round-robin,least-outstanding --seeds 1,2,3,4,5 --out build/measure

The policy "direct" reads the engines without gateways, as the baseline for the gateway's overhead.
"""

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading

from measure_fleet import REPOSITORY, SIZES, Fleet

# How long a run may take beyond its scenario.
EXTRA_TIME_S = 60

# Title, and how to read the value from a report.
METRICS = {
    "paying drafts preempted /1,000 gens": lambda r: paying_draft_preemptions(r),
    "preempted /1,000 paying gens": lambda r: r["preemptions_per_1000"].get("paying", 0),
    "preempted /1,000 trial gens": lambda r: r["preemptions_per_1000"].get("trial", 0),
    "paying preempted for trial": lambda r: r["engines"]["paying_preempted_for_trial"],
    "stall sum s": lambda r: r["total"]["stall_ms"]["sum"] / 1000,
    "stall worst s": lambda r: r["total"]["stall_ms"]["worst"] / 1000,
    "gap p50 ms": lambda r: r["total"]["gap_ms"]["p50"],
    "gap p95 ms": lambda r: r["total"]["gap_ms"]["p95"],
    "gap p99 ms": lambda r: r["total"]["gap_ms"]["p99"],
    "gap p99.9 ms": lambda r: r["total"]["gap_ms"]["p999"],
    "first token p50 ms": lambda r: r["total"]["ttft_ms"]["p50"],
    "first token p95 ms": lambda r: r["total"]["ttft_ms"]["p95"],
    "useful tokens/s": lambda r: r["total"]["useful_tokens_per_s"],
    "refused": lambda r: r["total"]["refused"],
    "failed or unfinished": lambda r: r["total"]["failed"] + r["total"]["unfinished"],
    "lost, duplicated, wrong": lambda r: r["total"]["lost_tokens"] + r["total"]["duplicated_tokens"] + r["total"]["wrong"],
}
# The same for scenarios with faults.
FAULT_METRICS = {
    "first token p95 ms before the faults": lambda r: phase_value(r, "before", "ttft_ms", "p95"),
    "first token p95 ms during the faults": lambda r: phase_value(r, "during", "ttft_ms", "p95"),
    "first token p95 ms after the faults": lambda r: phase_value(r, "after", "ttft_ms", "p95"),
    "starts while out of service": lambda r: r["starts_while_out_of_service"],
    "starts after leaving": lambda r: r["engines"]["started_after_leaving"],
    "last start after leaving ms": lambda r: r["engines"]["last_start_after_leaving_ms"],
    "starts over the cold limit": lambda r: r["engines"]["started_over_cold_limit"],
    "last start over the cold limit ms": lambda r: r["engines"]["last_start_over_cold_limit_ms"],
}
PLOTTED = ["stall sum s", "gap p99 ms", "preempted /1,000 paying gens", "useful tokens/s"]


def phase_value(report, phase, group, field):
    return report["phases"].get(phase, {}).get(group, {}).get(field, 0)


def paying_draft_preemptions(report):
    """Preemptions of paying work with the document's priority of drafts, per 1,000 paying drafts of the whole run."""
    drafts = report["generations"].get("paying/draft", 0)
    preempted = report["engines"]["preemptions_by_priority"].get("paying/priority-8", 0)
    return 1000 * preempted / drafts if drafts else 0


def read_scenario(binaries, path):
    command = [os.path.join(binaries, "jujube-load"), "--scenario", path, "--print-scenario", "on"]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True, timeout=30).stdout)


def follow_faults(stream, fleet):
    """Carries out the announced faults that concern the operators."""
    for line in stream:
        if line.startswith("fault "):
            fleet.carry_out(json.loads(line[len("fault "):]))
        else:
            sys.stderr.write(line)


def run_load(binaries, path, scenario, seed, fleet):
    command = [os.path.join(binaries, "jujube-load"), "--scenario", path, "--seed", str(seed), "--engines", fleet.engine_flag(), "--format", "json"]
    if fleet.gateways:
        command += ["--gateways", fleet.gateway_flag()]
    limit = (scenario["duration_ms"] + scenario["drain_ms"]) / 1000 + EXTRA_TIME_S
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True) as load:
        killer = threading.Timer(limit, load.kill)
        killer.start()
        follower = threading.Thread(target=follow_faults, args=(load.stderr, fleet))
        follower.start()
        try:
            output = load.stdout.read()
        finally:
            killer.cancel()
            follower.join()
    if load.returncode != 0:
        raise RuntimeError(f"jujube-load ended with {load.returncode}")
    return json.loads(output)


def run_once(arguments, path, policy, seed):
    binaries = arguments.binaries
    scenario = read_scenario(binaries, path)
    user = scenario["name"].split("-")[0]
    if user not in SIZES:
        raise RuntimeError(f"the name of a scenario begins with one of {', '.join(SIZES)}")
    with tempfile.TemporaryDirectory(prefix="jujube-measure-") as directory:
        with Fleet(user, scenario, policy, directory, binaries, seed, arguments.engine_memory_tokens, arguments.engine_step_ms) as fleet:
            report = run_load(binaries, path, scenario, seed, fleet)
    report["policy"] = policy
    with open(os.path.join(arguments.out, f"{scenario['name']}-{policy}-{seed}.json"), "w", encoding="utf-8") as file:
        json.dump(report, file, indent=1)
    return report


def summarize(reports, read):
    """Returns the median, the smallest and the largest value."""
    values = [read(report) for report in reports]
    return statistics.median(values), min(values), max(values)


def format_number(value):
    return f"{value:.0f}" if abs(value) >= 100 or value == int(value) else f"{value:.1f}"


def write_table(results, command, out):
    lines = ["# Measurements", "", f"Command: `{command}`", "", "Median of the seeds, with the smallest and the largest value in parentheses.", ""]
    for scenario in sorted({key[0] for key in results}):
        policies = [key[1] for key in results if key[0] == scenario]
        lines += [f"## {scenario}", "", "| metric | " + " | ".join(policies) + " |", "| --- |" + " --- |" * len(policies)]
        metrics = METRICS | FAULT_METRICS if results[scenario, policies[0]][0]["phases"] else METRICS
        for title, read in metrics.items():
            cells = []
            for policy in policies:
                middle, low, high = (format_number(value) for value in summarize(results[scenario, policy], read))
                cells.append(f"{middle} ({low}–{high})")
            lines.append(f"| {title} | " + " | ".join(cells) + " |")
        lines.append("| runs | " + " | ".join(str(len(results[scenario, policy])) for policy in policies) + " |")
        lines.append("")
    path = os.path.join(out, "measurements.md")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines))
    return path


def write_plot(results, out):
    """Draws one panel for each plotted metric, with a bar for each scenario and policy, and the spread."""
    script = [f"set terminal pngcairo size 1400,900 noenhanced", f"set output '{out}/measurements.png'", "set multiplot layout 2,2",
              "set style fill solid 0.6", "set boxwidth 0.7", "set xtics rotate by -35 font ',8'", "set yrange [0:*]", "unset key"]
    for title in PLOTTED:
        script += [f"set title '{title}'", "$data << END"]
        for index, ((scenario, policy), reports) in enumerate(results.items()):
            middle, low, high = summarize(reports, METRICS[title])
            script.append(f'{index} {middle} {low} {high} "{scenario} {policy}"')
        script += ["END", "plot $data using 1:2:xtic(5) with boxes, $data using 1:2:3:4 with yerrorbars ps 0 lc black"]
    subprocess.run(["gnuplot"], input="\n".join(script) + "\n", text=True, check=True, timeout=60)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--scenarios", required=True, help="comma-separated scenario files")
    parser.add_argument("--policies", default="direct", help="comma-separated policies of the gateway, or direct")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--binaries", default=os.path.join(REPOSITORY, "build", "bin"))
    parser.add_argument("--out", default=os.path.join(REPOSITORY, "build", "measure"))
    # The capacity in the scenarios was measured with these.
    parser.add_argument("--engine-memory-tokens", type=int, default=8000)
    parser.add_argument("--engine-step-ms", type=int, default=20)
    arguments = parser.parse_args()
    os.makedirs(arguments.out, exist_ok=True)
    # Otherwise the processes of the fleet would be left running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    results = {}
    failures = []
    for path in arguments.scenarios.split(","):
        for seed in arguments.seeds.split(","):
            for policy in arguments.policies.split(","):
                try:
                    report = run_once(arguments, path, policy, int(seed))
                    results.setdefault((report["scenario"], policy), []).append(report)
                    print(f"{report['scenario']} {policy} seed {seed}: done", flush=True)
                except (RuntimeError, OSError, subprocess.SubprocessError, json.JSONDecodeError) as error:
                    failures.append(f"{path} {policy} seed {seed}: {error}")
                    print(f"failed: {failures[-1]}", file=sys.stderr, flush=True)
    if results:
        command = "Meta/measure.py " + " ".join(sys.argv[1:])
        print(write_table(results, command, arguments.out))
        write_plot(results, arguments.out)
    return 1 if failures or not results else 0


if __name__ == "__main__":
    sys.exit(main())
