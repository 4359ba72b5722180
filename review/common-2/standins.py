"""Stand-ins of the platform for the cases 6 to 10: the store, engines, a TCP proxy and callers, and the start of relay processes.

They follow PROTOCOL.md. Everything listens on loopback addresses with free ports, and the real clock is used."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
RELAY = os.path.join(ROOT, "target", "bin", "jujube-relay")
HOST = "127.0.0.1"
GIVEN_PORTS = set()
TOKENS_PER_EVENT = 4
# Work that goes on this long after the request went on elsewhere breaks the rule TWICE.
OVERLAP_S = 0.4

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played as planned."""


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports that are free for TCP and UDP, below the range from which the system takes those of outgoing connections."""
    ports = []
    for _ in range(1000):
        port = random.randint(15000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as one:
                    one.bind((HOST, port))
        except OSError:
            continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            ports.append(port)
        if len(ports) == count:
            return ports
    raise NotRun("no free ports")


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


def message(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's table service: rows-get, rows-feed and rows-tx."""

    def __init__(self, port):
        self.port = port
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.is_down = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = {"table": table, "part": "", "key": key, "value": base64.b64encode(value.encode()).decode(), "ver": self.version}
        self.notify()

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = {"table": table, "part": "", "key": key, "ver": self.version, "deleted": True}
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def base(self):
        return {"ver": self.version, "now_ms": int((time.monotonic() - self.started) * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                if self.is_down:
                    status, answer = 503, {}
                else:
                    status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                fields = [("Content-Type", "application/json"), ("Content-Length", len(text))]
                writer.write(message(f"HTTP/1.1 {status} OK", fields, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/rows-get":
            rows = [row for (table, key), row in sorted(self.rows.items()) if table == query["table"] and not row.get("deleted") and key >= query.get("range_start", "")]
            return 200, {"rows": rows, "has_more": False, **self.base()}
        if url.path == "/-/rows-feed":
            until = time.monotonic() + min(30000, int(query.get("wait_ms", "0"))) / 1000
            while True:
                changed = self.changed
                rows = sorted((row for (table, _), row in self.rows.items() if table == query["table"] and row["ver"] > int(query["after"])), key=lambda row: row["ver"])
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, **self.base()}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/-/rows-tx" and method == "POST":
            order = json.loads(body)
            for row in order.get("expected", []):
                known = self.rows.get((row["table"], row["key"]))
                if row["ver"] != (known["ver"] if known and not known.get("deleted") else 0):
                    return 412, {"rows": [known] if known else [], **self.base()}
            self.version += 1
            for row in order.get("write", []):
                self.rows[(row["table"], row["key"])] = {"table": row["table"], "part": "", "key": row["key"], "value": row["value"], "ver": self.version}
            self.notify()
            return 200, self.base()
        return 404, {}


class Proxy:
    """Stands before an engine, at the address that the engine registers. While it is cut, connections are reset and new ones refused."""

    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def cut(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, up_writer}

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except (ConnectionError, OSError):
                reset(sink)

        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))
        self.writers -= {writer, up_writer}


class Run:
    def __init__(self, request, first, last, writer):
        self.id, self.next, self.last, self.writer = request, first, last, writer
        self.state = "running"
        self.backup = None
        self.is_lost = False
        self.made = []
        self.fields = {}


class Engine:
    """A model server. Events are made at a fixed pace. It drops a run whose connection closes, as most servers do, but not one whose answer it has lost."""

    by_address = {}

    def __init__(self, record, name, zone, port, service="pool", version="v1", interval=0.04, prompt_s=0.05):
        self.record, self.name, self.zone, self.service, self.version = record, name, zone, service, version
        self.port = port
        self.address = f"{HOST}:{port}"
        self.interval, self.prompt_s = interval, prompt_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.is_up = True
        self.sequence = 0
        self.runs = {}
        self.copies = {}
        self.handles = {}
        self.past = []
        # Called before each event; returns "lose" to lose the answer while the run goes on, or "queue" to put the run back into the queue.
        self.before_event = lambda run: None
        # The value of Server-Limit in the answers of a server in need, at this moment. Nothing for none.
        self.limit = lambda: None
        # Whether there is no room for what a stopped run has made since it was copied.
        self.is_full = False
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def register(self, address):
        self.address = address
        Engine.by_address[address] = self

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": 24, "state": self.state,
                           "cold_left_ms": 0, "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born})

    def report(self):
        runs = [[run.id, 1000 + TOKENS_PER_EVENT * run.next, run.next - 1, 5] for run in self.runs.values() if run.state == "running"]
        queued = [run for run in self.runs.values() if run.state == "queued"]
        answer = {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "sequence": self.sequence, "queued": len(queued),
                  "active": len(runs), "kv_used": 1000 * len(runs), "kv_total": 34386, "handles": len(self.copies), "state": self.state, "runs": runs,
                  "born": self.born, "pinned": 0, "held": 0, "next": 0}
        if self.state != "ready":
            answer["leaves_ms"] = 2000
        return answer

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                if not await self.handle(method, target, head[1], body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def send_json(self, writer, status, answer):
        text = json.dumps(answer).encode()
        writer.write(message(f"HTTP/1.1 {status} OK", [("Content-Type", "application/json"), ("Content-Length", len(text))], text))

    def need(self):
        limit = self.limit()
        return [] if limit is None else [("Server-Limit", f"{limit:.2f}")]

    def reject(self, writer, status):
        writer.write(message(f"HTTP/1.1 {status} Rejected", [("X-Not-Executed", "1"), ("Content-Length", 0), *self.need()]))

    async def handle(self, method, target, fields, body, reader, writer):
        if target == "/-/report":
            answer = self.report()
            self.record.add(f"{self.name} reports runs {[run[0] for run in answer['runs']]}, queued {answer['queued']}")
            self.send_json(writer, 200, answer)
            return True
        if target == "/-/kv-move":
            await self.move(json.loads(body), writer)
            return True
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.name), ("Content-Length", 0)]))
            return True
        await self.generate(fields, reader, writer)
        return False

    async def generate(self, fields, reader, writer):
        request = fields["x-attempt-id"]
        first = int(fields.get("last-event-id") or 0) + 1
        last = -(-int(fields["x-token-usage"].split(",")[1]) // TOKENS_PER_EVENT)
        source = fields.get("kv-from")
        if source and not self.take_copy(source, request):
            self.record.add(f"{self.name} rejects {request}: no copy {source}")
            self.reject(writer, 503)
            await writer.drain()
            return
        how = f"goes on from {source} at event {first}" if source else "begins" if first == 1 else f"is run anew from event {first}"
        self.record.add(f"{self.name} ({self.version}) runs {request}, which {how}; backup {fields.get('x-kv-backup')}")
        run = Run(request, first, last, writer)
        run.backup, run.fields = fields.get("x-kv-backup"), fields
        self.runs[request] = run
        self.past.append((time.monotonic(), "kv" if source else "new", run))
        watch = asyncio.ensure_future(self.drop_when_closed(run, reader))
        self.tasks.add(watch)
        watch.add_done_callback(self.tasks.discard)
        await self.work(run, bool(source))

    async def drop_when_closed(self, run, reader):
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass
        if run.state in ("running", "queued") and not run.is_lost:
            run.state = "dropped"
            self.record.add(f"{self.name} drops {run.id}: its connection is closed")

    def write(self, run, data):
        if run.writer is not None and not run.is_lost:
            run.writer.write(b"%x\r\n%s\r\n" % (len(data), data) if data else b"0\r\n\r\n")

    async def work(self, run, is_continued):
        if not is_continued:
            await asyncio.sleep(self.prompt_s)
        fields = [("X-Attempt-Id", run.id), ("X-Server-Seal", f"{self.name}.seal"), ("X-Weight-Versions", "1"), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                  *self.need()]
        run.writer.write(message("HTTP/1.1 200 OK", fields))
        while run.state in ("running", "queued") and run.next <= run.last:
            what = self.before_event(run)
            if what == "lose" and not run.is_lost:
                run.is_lost = True
                self.record.add(f"{self.name} loses the answer to {run.id} before event {run.next}, and works on")
                reset(run.writer)
            elif what == "queue":
                run.state = "queued"
                self.record.add(f"{self.name} puts {run.id} back into its queue before event {run.next}")
            elif what == "resume" and run.state == "queued":
                run.state = "running"
                self.record.add(f"{self.name} reads {run.id} in again and goes on at event {run.next}")
            if run.state == "running":
                self.write(run, f"id: {run.next}\ndata: {run.id} {run.next} made by {self.version}\n\n".encode())
                run.made.append(time.monotonic())
                run.next += 1
                if run.backup in Engine.by_address:
                    Engine.by_address[run.backup].copies[run.id] = run.next - 1
            await asyncio.sleep(self.interval)
        if run.state == "running":
            run.state = "done"
            self.record.add(f"{self.name} has made the last event of {run.id}")
            self.write(run, b"")
        if self.runs.get(run.id) is run:
            del self.runs[run.id]
        if not run.is_lost:
            run.writer.close()

    def take_copy(self, source, request):
        address, _, handle = source.partition("/")
        if address == self.address and handle == request:
            return self.copies.pop(request, None) is not None
        return self.handles.pop(source, None) is not None

    def crash(self):
        """The process ends with all that it runs and holds. Its connections are the owner's to reset."""
        for run in self.runs.values():
            run.state, run.is_lost = "crashed", True
        self.runs, self.copies, self.handles = {}, {}, {}

    def start_again(self, version):
        """A new lifetime under the same id."""
        self.version, self.born, self.sequence = version, int(time.time() * 1000), 0

    async def move(self, order, writer):
        request, stops = order["id"], order.get("last", False)
        run = self.runs.get(request)
        destination = Engine.by_address.get(order["to"])
        if run is None or run.state != "running":
            self.record.add(f"{self.name} has no run {request} to copy")
            self.send_json(writer, 404, {})
            return
        handle = f"h{request}"
        self.record.add(f"{self.name} copies {request} to {destination.name if destination else order['to']}{' and stops it' if stops else ''}")
        if stops:
            run.state = "stopped"
            if not run.is_lost:
                run.writer.close()
        if stops and destination and destination.is_full:
            self.handles[f"{self.address}/{handle}"] = run.next - 1
            self.record.add(f"{self.name} keeps the memory of {request}: {destination.name} has no room")
            self.send_json(writer, 503, {"handle": handle, "created": run.next - 1})
            return
        await asyncio.sleep(0.02)
        self.handles[f"{self.address}/{handle}"] = run.next - 1
        if destination:
            destination.handles[f"{self.address}/{handle}"] = run.next - 1
        self.send_json(writer, 200, {"handle": handle, "created": run.next - 1})


def overlaps(engines):
    """Requests that went on at one engine while another one still worked on them OVERLAP_S later."""
    found = []
    for later in engines:
        for at, _, run in later.past:
            for earlier in engines:
                for began, _, other in earlier.past:
                    if earlier is not later and other.id == run.id and began < at and other.made and other.made[-1] > at + OVERLAP_S:
                        found.append({"request": run.id, "from": earlier.name, "to": later.name, "at": at, "overlap": other.made[-1] - at,
                                      "events": sum(1 for made in other.made if made > at + OVERLAP_S)})
    return found


class Relays:
    """Relay processes, one a zone, started with the command of the deploy file."""

    def __init__(self, record, store, zones, folder, grace_s=8):
        self.record, self.store, self.zones, self.folder, self.grace_s = record, store, zones, folder, grace_s
        self.processes = {}
        self.ports = {zone: free_ports(5) for zone in zones}

    def settings(self, zone):
        ports = self.ports[zone]
        seeds = ",".join(f"{HOST}:{self.ports[one][3]}" for one in self.zones)
        regions = ",".join(f"{one}:{region}" for one, region in self.zones.items())
        return "\n".join([f"JUJUBE_NODE=edge-{zone}-1", f"JUJUBE_DATA_CENTRE={zone}", f"JUJUBE_REGION={self.zones[zone]}", f"JUJUBE_REGIONS={regions}",
                          f"JUJUBE_LISTEN={HOST}:{ports[0]}", f"JUJUBE_READY_LISTEN={HOST}:{ports[1]}", f"JUJUBE_DIRECTORY_LISTEN={HOST}:{ports[2]}",
                          f"JUJUBE_PEER_LISTEN={HOST}:{ports[3]}", f"JUJUBE_METRICS_LISTEN={HOST}:{ports[4]}", f"JUJUBE_STORE={HOST}:{self.store.port}",
                          f"JUJUBE_SEEDS={seeds}", f"JUJUBE_GRACE_S={self.grace_s}", "JUJUBE_RETRY_RATIO=0.2", "JUJUBE_RETRY_SLACK=54", "JUJUBE_RETRY_WINDOW_S=10",
                          "JUJUBE_FEATURES=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform", "JUJUBE_FIRST_START=on", ""])

    async def start(self, zone):
        path = os.path.join(self.folder, f"{zone}.settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(zone))
        log = open(os.path.join(self.folder, f"{zone}.log"), "ab")
        self.processes[zone] = await asyncio.create_subprocess_exec(RELAY, "--settings-file", path, stdout=log, stderr=log, cwd=ROOT)
        log.close()

    async def start_all(self):
        for zone in self.zones:
            await self.start(zone)
        for zone in self.zones:
            await self.await_ready(zone)

    async def await_ready(self, zone, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.processes[zone].returncode is not None:
                raise NotRun(f"the relay of {zone} did not start: a port may have been taken")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.ports[zone][1])
                writer.write(message("GET /-/readyz HTTP/1.1", [("Host", "ready"), ("Connection", "close")]))
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise NotRun(f"the relay of {zone} is not ready")

    def signal(self, zone, number):
        self.record.add(f"signal {signal.Signals(number).name} to the relay of {zone}")
        self.processes[zone].send_signal(number)

    def log_of(self, zone):
        with open(os.path.join(self.folder, f"{zone}.log"), "rb") as file:
            return file.read().decode("utf-8", "replace")

    async def stop_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()


KEY = "xd9dnn2ctnfzs989anu6"
SITE = "ficu95.example"


def document(version=7, more_routes=(), pool="pool", desk="desk", idle_timeout_ms=15000):
    """The environment document of a small deployment."""
    stream = {"host": SITE, "route_type": "streaming", "public": False, "sticky": True, "gap_target_ms": 180, "home_regions": []}
    plain = {"host": SITE, "public": False, "sticky": False, "resumable": False, "goal_ms": 300, "timeout_ms": 1000, "priority": 2, "home_regions": []}
    return json.dumps({
        "version": version,
        "routes": [
            {"name": "hint", "prefix": "/hint/", "timeout_ms": 6000, "goal_ms": 1500, "priority": 0, "service": pool, "max_attempts": 2, "resumable": True, **stream},
            {"name": "draft", "prefix": "/draft/", "timeout_ms": 39000, "goal_ms": 1800, "priority": 1, "service": pool, "max_attempts": 1, "resumable": False, **stream},
            {"name": "commit", "prefix": "/commit/", "route_type": "non_idempotent", "service": desk, "max_attempts": 1, **plain},
            {"name": "status", "prefix": "/status/", "route_type": "idempotent", "service": desk, "max_attempts": 2, **plain},
            *more_routes],
        "services": [
            {"name": pool, "health_path": "/healthz", "max_conns": 272, "protocol": "h1", "tls": False, "cold_start_s": 1.0, "cold_per_s": 41.0,
             "engine": {"slots": 24, "kv_capacity": 34386, "kv_bytes": 327680, "link_mbps": 47000.0, "moves": True, "backups": True, "stride": TOKENS_PER_EVENT,
                        "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}},
            {"name": desk, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms},
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1, "home_regions": []}]})


class Caller:
    """A consumer's attempt at a stream or a plain request."""

    def __init__(self, record, port, request, path, tokens=None, last_event=None, resumes=None, deadline_ms=39000, body=b"a prompt"):
        self.record, self.port, self.id, self.path = record, port, request, path
        self.tokens, self.last_event, self.resumes, self.deadline_ms, self.body = tokens, last_event, resumes, deadline_ms, body
        self.status, self.fields, self.text, self.end = None, {}, b"", None
        self.events = []

    def head(self):
        fields = [("Host", SITE), ("X-Attempt-Id", self.id), ("X-Deadline-Ms", self.deadline_ms), ("Authorization", f"Bearer {KEY}"), ("Content-Length", len(self.body))]
        if self.tokens:
            part = abs(hash(self.id)) % (1 << 32)
            fields += [("X-Model", "m"), ("X-Token-Usage", f"{self.tokens[0]},{self.tokens[1]}"), ("X-Prefix-Hash", f"5c1e07a2:80,{part:08x}:{self.tokens[0] - 80}")]
        if self.last_event:
            fields.append(("Last-Event-Id", self.last_event))
        if self.resumes:
            fields.append(("Resumes", self.resumes))
        return message(f"POST {self.path} HTTP/1.1", fields, self.body)

    async def run(self, on_event=None):
        self.record.add(f"caller sends {self.id} to port {self.port} ({self.path})")
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(self.head())
            head = await read_head(reader)
            if head is None:
                self.end = "closed without an answer"
            else:
                self.status, self.fields = int(head[0].split(" ")[1]), head[1]
                self.end = await self.read_body(reader, on_event)
            writer.close()
        except OSError as error:
            self.end = f"closed: {error}"
        self.record.add(f"caller of {self.id} has status {self.status}, {len(self.events)} events, {len(self.text)} bytes, end: {self.end}")
        return self

    async def read_body(self, reader, on_event):
        if "content-length" in self.fields:
            length = int(self.fields["content-length"])
            try:
                self.text = await reader.readexactly(length)
                return "whole"
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.text = getattr(error, "partial", b"")
                return "broken off"
        rest = b""
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return "whole"
                self.text += data[:-2]
                rest += data[:-2]
                while b"\n\n" in rest:
                    event, rest = rest.split(b"\n\n", 1)
                    self.events.append(event.decode())
                    if on_event:
                        on_event(self)
        except (asyncio.IncompleteReadError, ConnectionError):
            return "broken off"


def run_case(play):
    """Runs a case: play(record, folder, trouble) returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(RELAY, os.X_OK):
        print("no relay: run the build of the deploy file first")
        return EXIT_NOT_RUN

    async def limited():
        try:
            return await asyncio.wait_for(play(record, scratch, trouble), 110)
        finally:
            # Connections that are still open end with the loop.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)

    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(limited())
        except (NotRun, asyncio.TimeoutError, OSError) as error:
            record.add(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                os.makedirs(keep, exist_ok=True)
                for name in os.listdir(scratch):
                    with open(os.path.join(scratch, name), "rb") as source, open(os.path.join(keep, name), "wb") as copy:
                        copy.write(source.read())
    record.add("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return EXIT_BROKEN if broken else EXIT_HELD
