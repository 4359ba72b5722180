"""Starts and stops the processes of a measurement on loopback: engines, order desks, the platform stand-in and gateways."""

import hashlib
import json
import os
import socket
import subprocess
import time
import urllib.request

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Data centres with their regions, and the numbers of processes, of docs/design.md, section 1.
SIZES = {
    "qalamkar": {"engines": 12, "desks": 3, "gateways": 8, "data_centres": {"lahore": "lahore", "karachi": "karachi", "islamabad": "islamabad"}},
    "thaila": {"engines": 18, "desks": 3, "gateways": 8, "data_centres": {"ahmedabad": "ahmedabad", "surat": "surat", "rajkot": "rajkot"}},
}
ENGINE_COLD_LIMIT = 2
# Stand-ins get a thread for each open request; the load tool opens fewer streams than this to one engine.
ENGINE_THREADS = 400
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 10


def free_ports(count):
    """Returns ports that were free a moment ago, for TCP and UDP alike."""
    sockets = []
    try:
        while len(sockets) < 2 * count:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            tcp.bind(("127.0.0.1", 0))
            sockets.append(tcp)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets.append(udp)
            try:
                udp.bind(("127.0.0.1", tcp.getsockname()[1]))
            except OSError:
                sockets = sockets[:-2]
        return [sockets[2 * i].getsockname()[1] for i in range(count)]
    finally:
        for entry in sockets:
            entry.close()


def http_get(address, path, timeout=2):
    """Returns the status of a GET request, or 0 if there was no answer."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=timeout) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


class Fleet:
    """The processes of one run. Use it as a context manager, so that all of them are stopped."""

    def __init__(self, user, scenario, policy, directory, binaries, seed, memory_tokens, step_ms):
        self.size = SIZES[user]
        self.scenario = scenario
        self.policy = policy
        self.directory = directory
        self.binaries = binaries
        self.seed = seed
        self.memory_tokens = memory_tokens
        self.step_ms = step_ms
        self.processes = []
        self.out_of_service = set()
        self.with_gateways = policy != "direct"
        centres = list(self.size["data_centres"])
        ports = free_ports(self.size["engines"] + self.size["desks"] + self.size["gateways"] + 1)
        address = iter(f"127.0.0.1:{port}" for port in ports)
        place = lambda prefix, count: {f"{prefix}-{i + 1}": (next(address), centres[i % len(centres)]) for i in range(count)}
        self.engines = place("engine", self.size["engines"])
        self.desks = place("desk", self.size["desks"])
        self.gateways = place("gateway", self.size["gateways"] if self.with_gateways else 0)
        self.platform = next(address)
        self.models = sorted({entry["model"] for entry in scenario["classes"]})

    def __enter__(self):
        try:
            self.start_stand_ins()
            if self.with_gateways:
                self.start_gateways()
            return self
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()

    def spawn(self, name, binary, /, **flags):
        command = [os.path.join(self.binaries, binary)]
        for flag, value in flags.items():
            command += [f"--{flag.replace('_', '-')}", str(value)]
        with open(os.path.join(self.directory, f"{name}.log"), "wb") as log:
            self.processes.append(subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL))

    def start_stand_ins(self):
        for index, (name, (address, _)) in enumerate(self.engines.items()):
            self.spawn(name, "jujube-standin-engine", listen=address, name=name, models=",".join(self.models), step_ms=self.step_ms,
                       memory_tokens=self.memory_tokens, cold_limit=ENGINE_COLD_LIMIT, threads=ENGINE_THREADS, seed=self.seed * 100 + index)
        for name, (address, _) in self.desks.items():
            self.spawn(name, "jujube-standin-orderdesk", listen=address, name=name)
        self.wait_for([address for address, _ in self.engines.values()], "/load")
        self.wait_for([address for address, _ in self.desks.values()], "/load")

    def start_gateways(self):
        vms = [{"name": name, "address": address, "data_centre": centre, "role": role, "state": "live", "incarnation": 1}
               for role, group in (("gateway", self.gateways), ("engine", self.engines), ("service", self.desks))
               for name, (address, centre) in group.items()]
        vms_file = os.path.join(self.directory, "vms.json")
        with open(vms_file, "w", encoding="utf-8") as file:
            json.dump({"vms": vms}, file)
        self.spawn("platform", "jujube-standin-platform", listen=self.platform, vms_file=vms_file)
        self.wait_for([self.platform], "/vms")
        self.apply()
        addresses = [address for address, _ in self.gateways.values()]
        for name, (address, centre) in self.gateways.items():
            peers = ",".join(other for other in addresses if other != address)
            self.spawn(name, "jujube-gateway", listen=address, name=name, data_centre=centre, region=self.size["data_centres"][centre],
                       platform=self.platform, environment=self.scenario["name"], peers=peers, cursor_key="measurement-cursor-key-0123456789",
                       policy=self.policy)
        self.wait_for(addresses, "/readyz")

    def wait_for(self, addresses, path):
        deadline = time.monotonic() + READY_TIMEOUT_S
        for address in addresses:
            while http_get(address, path) != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{address}{path} did not answer 200 within {READY_TIMEOUT_S} s; see the logs in {self.directory}")
                time.sleep(0.1)

    def document(self):
        """The environment document. JSON is YAML as well."""
        targets = {name: {"address": address, "data_centre": centre, "models": self.models, "fencing": "honoured", "cold_limit": ENGINE_COLD_LIMIT,
                          "memory_tokens": self.memory_tokens} for name, (address, centre) in self.engines.items()}
        targets |= {name: {"address": address, "data_centre": centre, "service": "order-desk"} for name, (address, centre) in self.desks.items()}
        return {
            "environment": self.scenario["name"],
            "data_centres": {name: {"state": "out" if name in self.out_of_service else "in", "region": region}
                             for name, region in self.size["data_centres"].items()},
            "workspaces": {entry["name"]: {"tier": entry["tier"], "key_sha256": hashlib.sha256(entry["key"].encode()).hexdigest()}
                           for entry in self.scenario["workspaces"]},
            "models": {name: {"continuation": "exact", "version": "1", "max_tokens": 8192} for name in self.models},
            "services": {"order-desk": {"calls": {"capture": {"path": "/capture", "repeatable": False}}}},
            "priorities": {"draft": 8, "suggestion": 2},
            "targets": targets,
        }

    def apply(self):
        path = os.path.join(self.directory, "environment.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.document(), file, indent=1)
        subprocess.run([os.path.join(self.binaries, "jujubectl"), "--platform", self.platform, "--wait-s", "0", "--author", "measurement", "apply", path],
                       check=False, timeout=30, stdout=subprocess.DEVNULL)

    def carry_out(self, fault):
        """Does what a scenario leaves to the operators."""
        if fault["action"] == "data_centre_out":
            self.out_of_service.add(fault["data_centre"])
        elif fault["action"] == "data_centre_in":
            self.out_of_service.discard(fault["data_centre"])
        else:
            return
        if self.with_gateways:
            self.apply()

    def engine_flag(self):
        return ",".join(f"{centre}/{name}={address}" for name, (address, centre) in self.engines.items())

    def gateway_flag(self):
        return ",".join(address for address, _ in self.gateways.values())

    def stop(self):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = []
