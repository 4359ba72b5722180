#!/usr/bin/env python3
"""Measures what open streams cost one gateway: processor time, memory and tokens a second, at several numbers of streams.

Starts one gateway, a platform and engines on loopback for each number, reads the streams and discards them. Example:

    Meta/measure_gateway.py 50 100 200 400

Prints a Markdown table and the slope of the least-squares line. The engines produce a token for each stream about every 20 ms.
"""

import json
import os
import selectors
import socket
import sys
import tempfile
import time

import fleet

ENGINES = 8
REPORT_WAIT_S = 2
WARMUP_S = 3
MEASURE_S = 6
STREAM_TOKENS = 5000
KEY = "Bearer demo-key-paying"


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mib(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def document(engines):
    lines = ["environment: demo", "data_centres: {here: {state: in, region: here}}", "workspaces:",
             "  one: {tier: paying, key_sha256: a928fe07b7918aebf850acb008f5eeed322657afc5f2356d6f4ecb90248b3f6f}",
             "models: {naqsh: {continuation: exact, version: \"1\", max_tokens: 50000}}", "targets:"]
    for number, engine in enumerate(engines, start=1):
        lines.append(f"  engine-{number}: {{address: \"{engine.address}\", data_centre: here, models: [naqsh], memory_tokens: 20000000}}")
    return "\n".join(lines).encode()


def open_stream(address, number):
    host, port = address.split(":")
    body = json.dumps({"model": "naqsh", "prompt": f"stream {number} length={STREAM_TOKENS}", "max_tokens": STREAM_TOKENS}).encode()
    connection = socket.create_connection((host, int(port)))
    head = f"POST /v1/generations HTTP/1.1\r\nHost: x\r\nAuthorization: {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    connection.sendall(head.encode() + body)
    connection.setblocking(False)
    return connection


def read_for(selector, seconds):
    """Reads all streams and returns the number of tokens that arrived."""
    tokens = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for key, _ in selector.select(0.1):
            data = key.fileobj.recv(1 << 16)
            tokens += data.count(b"event: token")
            if not data:
                selector.unregister(key.fileobj)
    return tokens


def measure(streams, directory):
    with fleet.Fleet(directory) as processes:
        platform = processes.start("jujube-standin-platform", "platform", "--listen", "127.0.0.1:0")
        engines = [processes.start("jujube-standin-engine", f"engine-{i}", "--listen", "127.0.0.1:0", "--name", f"engine-{i}", "--models", "naqsh",
                                   "--memory-tokens", "20000000") for i in range(1, ENGINES + 1)]
        fleet.publish(platform.address, "demo", document(engines))
        gateway = processes.start("jujube-gateway", "gateway", "--listen", "127.0.0.1:0", "--name", "g", "--data-centre", "here", "--region", "here",
                                  "--platform", platform.address, "--environment", "demo", "--cursor-key", "k", "--policy", "least-outstanding",
                                  "--threads", "1024")
        fleet.wait_for(lambda: fleet.request("GET", f"http://{gateway.address}/readyz")[0] == 200)
        # Targets that have not reported their load yet take no work.
        time.sleep(REPORT_WAIT_S)
        idle = resident_mib(gateway.popen.pid)
        selector = selectors.DefaultSelector()
        connections = [open_stream(gateway.address, number) for number in range(streams)]
        for connection in connections:
            selector.register(connection, selectors.EVENT_READ)
        read_for(selector, WARMUP_S)
        before, started = cpu_seconds(gateway.popen.pid), time.monotonic()
        tokens = read_for(selector, MEASURE_S)
        elapsed = time.monotonic() - started
        cpu = (cpu_seconds(gateway.popen.pid) - before) / elapsed
        memory = resident_mib(gateway.popen.pid) - idle
        for connection in connections:
            connection.close()
        gateway.popen.kill()
        return tokens / elapsed, cpu, memory


def slope(xs, ys):
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)


def main():
    sizes = [int(argument) for argument in sys.argv[1:]] or [50, 100, 200, 400]
    rows = []
    print("| open streams | tokens/s | cores | memory above idle MiB |\n| --- | --- | --- | --- |")
    for streams in sizes:
        with tempfile.TemporaryDirectory(prefix="jujubehatch-measure-") as directory:
            rows.append(measure(streams, directory))
        print(f"| {streams} | {rows[-1][0]:.0f} | {rows[-1][1]:.3f} | {rows[-1][2]:.1f} |", flush=True)
    if len(rows) > 1:
        rates, cores, memory = zip(*rows)
        print(f"\nslope: {slope(rates, cores) * 1e6:.1f} microseconds of processor time for each token; {slope(sizes, memory) * 1024:.0f} KiB for each open stream")


if __name__ == "__main__":
    main()
