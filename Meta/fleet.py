"""Starts and stops the project's processes on loopback, for the demo, for measurements and for trying things out by hand."""

import hashlib
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
START_TIMEOUT_S = 10


class Process:
    """One running program whose first line of output tells its address."""

    def __init__(self, program, arguments, log_path):
        self.name = program
        self.log = open(log_path, "w", encoding="utf-8")
        command = [os.path.join(BIN, program), *arguments]
        self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log, text=True)
        line = self.popen.stdout.readline()
        if not line.startswith("listening on "):
            raise RuntimeError(f"{program} did not start; see {log_path}")
        self.address = line.split()[-1]

    def stop(self, signal_number=signal.SIGTERM):
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)
            if signal_number != signal.SIGSTOP:
                try:
                    self.popen.wait(timeout=START_TIMEOUT_S)
                except subprocess.TimeoutExpired:
                    self.popen.kill()
                    self.popen.wait()
        self.log.close()


class Fleet:
    """All processes that were started, stopped together at the end."""

    def __init__(self, log_directory):
        self.log_directory = log_directory
        self.processes = []
        os.makedirs(log_directory, exist_ok=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            process.stop()

    def start(self, program, label, *arguments):
        process = Process(program, arguments, os.path.join(self.log_directory, label + ".log"))
        self.processes.append(process)
        return process


def request(method, url, body=None, headers=None, timeout=30):
    """Makes a request and returns status, headers and body; HTTP errors are answers like others."""
    message = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(message, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_for(condition, timeout_s=START_TIMEOUT_S):
    """Polls a condition and returns its first true value, or raises."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise RuntimeError("the condition did not become true in time")
        time.sleep(0.05)


def publish(platform, environment, document):
    """Writes a document as version 1 without jujubectl, for measurements that start from nothing."""
    digest = hashlib.sha256(document).hexdigest()
    head = {"version": 1, "digest": digest, "object": digest, "author": "fleet", "time_ms": int(time.time() * 1000)}
    request("PUT", f"http://{platform}/objects/{digest}", document)
    status, _, answer = request("PUT", f"http://{platform}/table/environment/{environment}/head", json.dumps(head).encode(), {"If-None-Match": "*"})
    if status != 200:
        raise RuntimeError(f"the head could not be written: {answer!r}")
