#!/usr/bin/env python3
"""Runs the whole path on loopback: three gateways in three data centres, four engines, one order desk and a platform, all small stand-ins but the gateways.

Exits 0 only if the tokens that arrived equal those that the engine produced, and the payment ran once.
"""

import json
import os
import subprocess
import sys
import tempfile
import urllib.request

import fleet

PAYING = {"Authorization": "Bearer demo-key-paying"}
PROMPT = {"model": "naqsh", "prompt": "A wedding inscription in Gujarati and English for a spoon. length=60", "kind": "draft"}


def start_processes(demo, directory):
    platform = demo.start("jujube-standin-platform", "platform", "--listen", "127.0.0.1:0")
    engines = [demo.start("jujube-standin-engine", f"engine-{i}", "--listen", "127.0.0.1:0", "--name", f"engine-{i}", "--models", "naqsh") for i in range(1, 5)]
    desk = demo.start("jujube-standin-orderdesk", "desk-1", "--listen", "127.0.0.1:0", "--name", "desk-1")
    gateways = []
    for number, data_centre in enumerate(("lahore", "karachi", "islamabad"), start=1):
        gateways.append(
            demo.start(
                "jujube-gateway", f"gateway-{number}",
                "--listen", "127.0.0.1:0", "--name", f"gateway-{number}", "--data-centre", data_centre, "--region", data_centre,
                "--platform", platform.address, "--environment", "demo", "--cursor-key", "demo-cursor-key",
                "--peers", ",".join(gateway.address for gateway in gateways),
            )
        )
    with open(os.path.join(fleet.ROOT, "examples", "demo.yaml"), encoding="utf-8") as file:
        document = file.read()
    for number, engine in enumerate(engines, start=1):
        document = document.replace(f"127.0.0.1:830{number}", engine.address)
    document = document.replace("127.0.0.1:8401", desk.address)
    path = os.path.join(directory, "environment.yaml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(document)
    return platform, {f"engine-{i}": engine for i, engine in enumerate(engines, start=1)}, desk, gateways, path


def apply_document(platform, gateways, path):
    addresses = ",".join(gateway.address for gateway in gateways)
    command = [os.path.join(fleet.BIN, "jujubectl"), "apply", path, "--platform", platform.address, "--gateways", addresses]
    subprocess.run(command, check=True)


def choose_gateway(gateways):
    status, _, body = fleet.request("GET", f"http://{gateways[0].address}/v1/gateways", headers=PAYING)
    if status != 200:
        raise RuntimeError(f"no list of gateways: {body!r}")
    answer = json.loads(body)
    print("gateways to use:", ", ".join(f"{entry['address']} ({entry['data_centre']})" for entry in answer["gateways"]), f"for {answer['ttl_s']} s")
    return answer["gateways"][0]["address"]


def stream_draft(address):
    """Prints the tokens as they arrive and returns them with the final count."""
    message = urllib.request.Request(f"http://{address}/v1/generations", data=json.dumps(PROMPT).encode(), headers=PAYING)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    tokens, event = [], ""
    with opener.open(message, timeout=60) as answer:
        for line in answer:
            line = line.decode().rstrip("\n")
            if line.startswith("event: "):
                event = line[len("event: "):]
            elif line.startswith("data: "):
                data = json.loads(line[len("data: "):])
                if event == "token":
                    if data["index"] != len(tokens):
                        raise RuntimeError(f"token {data['index']} arrived in place of {len(tokens)}")
                    tokens.append(data["text"])
                    print(data["text"], end="", flush=True)
                elif event == "done":
                    print()
                    return tokens, data
                else:
                    raise RuntimeError(f"the stream ended with {data}")
    raise RuntimeError("the stream ended without its last event")


def events_of(gateways):
    for gateway in gateways:
        _, _, body = fleet.request("GET", f"http://{gateway.address}/events?after=0")
        yield from json.loads(body)["events"]


def produced_tokens(engines, gateways):
    """Asks the engine that served the draft for its tokens."""
    finished = next(event for event in events_of(gateways) if event["name"] == "stream_finished")
    engine = engines[finished["target"]]
    _, _, body = fleet.request("GET", f"http://{engine.address}/generations/{finished['request']}?from=0")
    lines = [json.loads(line) for line in body.decode().splitlines()]
    return [line["t"] for line in lines if "t" in line]


def capture_payment(address, desk):
    headers = {**PAYING, "Idempotency-Key": "order-1001"}
    for _ in range(2):
        status, answer_headers, body = fleet.request("POST", f"http://{address}/v1/services/order-desk/capture", b'{"id":"order-1001","amount":4200}', headers)
        print("payment capture:", status, body.decode().strip(), "(replayed)" if answer_headers.get("Idempotent-Replayed") else "")
    _, _, ledger = fleet.request("GET", f"http://{desk.address}/ledger")
    return len(json.loads(ledger)["entries"])


def main():
    with tempfile.TemporaryDirectory(prefix="jujubehatch-demo-") as directory, fleet.Fleet(os.path.join(directory, "logs")) as demo:
        platform, engines, desk, gateways, path = start_processes(demo, directory)
        apply_document(platform, gateways, path)
        for gateway in gateways:
            fleet.wait_for(lambda address=gateway.address: fleet.request("GET", f"http://{address}/readyz")[0] == 200)
        address = choose_gateway(gateways)
        tokens, done = stream_draft(address)
        same = tokens == produced_tokens(engines, gateways) and done["count"] == len(tokens)
        runs = capture_payment(address, desk)
        processes = ",".join(gateway.address for gateway in gateways)
        subprocess.run([os.path.join(fleet.BIN, "jujube-timeline"), "--processes", processes], check=True)
        print(f"{len(tokens)} tokens arrived and are {'the same as' if same else 'NOT the same as'} those of the engine; the payment ran {runs} time(s)")
        return 0 if same and runs == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
