"""Stand-ins for the platform's store, servers and consumers, and the relays of one small deployment, for the cases of this review.

The relays are processes, started with the command of the deploy file. Store, servers and consumers run in the process of the case, on loopback addresses and
the real clock."""
import asyncio
import base64
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def own_loopback_address():
    """A loopback address of its own for each case, so that cases that run at the same time don't take each other's ports."""
    address = "127.{}.{}.1".format(*(random.SystemRandom().randrange(1, 255) for _ in range(2)))
    try:
        with socket.socket() as probe:
            probe.bind((address, 0))
        return address
    except OSError:
        return "127.0.0.1"


HOST = own_loopback_address()
# Zones and regions of the site qalamkar-orders, and the number of machines in each.
ZONES = {"lahore-a": ("lahore", 3), "karachi-a": ("karachi", 2), "islamabad-a": ("islamabad", 2)}
CONTACT_S = 3.0
BEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
GIVEN_PORTS = set()


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_port():
    """A port that is free for TCP and UDP, below those that the system gives to outgoing channels, and that was not returned before."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                GIVEN_PORTS.add(port)
                return port
            except OSError:
                continue


class Record:
    """Writes what was sent, answered and run to record.txt, one JSON object a line."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **values):
        at = self.now()
        self.file.write(json.dumps({"t": round(at, 3), "event": event, **values}) + "\n")
        return at

    def say(self, text):
        print(text)
        self.file.write(text + "\n")
        self.file.flush()


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer_text(status, body=b"", **fields):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: rows with versions, range reads and a feed that is held until something changes."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, HOST, self.port)

    def put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version, "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.set(table, key, row)

    def remove(self, table, key):
        if (table, key) in self.rows and "deleted" not in self.rows[(table, key)]:
            self.version += 1
            self.set(table, key, {"table": table, "part": "", "key": key, "ver": self.version, "deleted": True})

    def set(self, table, key, row):
        self.rows[(table, key)] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, rows):
        body = {"rows": rows, "has_more": False, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}
        return answer_text(200, json.dumps(body).encode(), Content_Type="application/json")

    def changes(self, table, after):
        rows = [row for (name, _), row in self.rows.items() if name == table and row["ver"] > after]
        return sorted(rows, key=lambda row: row["ver"])

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                await read_body(reader, fields)
                path, _, query = line.split(" ")[1].partition("?")
                values = dict(item.partition("=")[::2] for item in query.split("&"))
                table = values.get("table", "")
                await asyncio.sleep(0.004)
                if path == "/-/rows-get":
                    start = values.get("range_start", "")
                    rows = [row for (name, key), row in sorted(self.rows.items()) if name == table and key >= start and "deleted" not in row]
                    writer.write(self.page(rows))
                elif path == "/-/rows-feed":
                    until = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
                    after = int(values.get("after", "0"))
                    while not self.changes(table, after) and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                        except asyncio.TimeoutError:
                            pass
                    writer.write(self.page(self.changes(table, after)))
                else:
                    writer.write(answer_text(404))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Server:
    """A server of one service. It registers itself, runs requests, and may crash and come back under another id at the same address."""

    def __init__(self, world, service, zone, slots, work_s, events=0, event_s=0.02, back_after_s=2.5, limit=None, events_of=None):
        self.world = world
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.event_s = event_s
        self.back_after_s = back_after_s
        # The number of events of some requests, by their target, where it is another one.
        self.events_of = events_of or (lambda target: None)
        # Requests a second that the server takes from all machines, named in its answers.
        self.limit = limit
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.is_up = False
        self.state = "ready"
        self.crashes = 0

    async def start(self):
        self.id = "i-" + secrets.token_hex(4)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        # Events that running generations have made.
        self.made = {}
        self.active = 0
        self.queue = asyncio.Semaphore(self.slots)
        self.is_up = True
        self.listener = await asyncio.start_server(self.serve, HOST, self.port)
        self.beat = asyncio.create_task(self.register(self.id))

    async def register(self, own):
        while self.is_up and own == self.id:
            self.sequence += 1
            self.write_entry()
            await asyncio.sleep(BEAT_S)

    def write_entry(self):
        self.world.store.put("servers", self.id, {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                                                  "state": self.state, "cold_left_ms": 0, "sequence": self.sequence, "born": self.born})

    def crash(self, request):
        if not self.is_up:
            return
        self.is_up = False
        self.crashes += 1
        at = self.world.record.add("server crashed", server=self.id, by=request)
        self.world.crashes.append(at)
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
        asyncio.create_task(self.come_back(self.id))

    async def come_back(self, former):
        await asyncio.sleep(self.back_after_s)
        await self.start()
        self.world.record.add("server back", server=self.id, address=self.address)
        # The entry of the former lifetime goes after three ping intervals of silence.
        await asyncio.sleep(max(0, 3 * BEAT_S - self.back_after_s))
        self.world.store.remove("servers", former)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        own = self.id
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if target == "/-/report":
                    report = {"stage": "unified", "busy": False, "sequence": self.sequence, "queued": max(0, self.active - self.slots),
                              "active": min(self.active, self.slots), "kv_used": 0, "kv_total": 34386, "handles": 0, "state": self.state, "born": self.born,
                              "runs": [[request, 2200 + 4 * made, made, 5] for request, made in self.made.items()]}
                    writer.write(answer_text(200, json.dumps(report).encode(), Content_Type="application/json"))
                elif fields.get("x-expect-instance", own) != own:
                    writer.write(answer_text(421, X_Instance_Id=own))
                elif "kv-from" in fields and tuple(fields["kv-from"].split("/")) not in self.world.copies:
                    writer.write(answer_text(503, X_Not_Executed="1", X_Attempt_Id=fields["x-attempt-id"]))
                elif self.active >= 4 * self.slots:
                    writer.write(answer_text(503, X_Not_Executed="1", X_Attempt_Id=fields["x-attempt-id"]))
                else:
                    await self.run(reader, writer, method, target, fields, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, reader, writer, method, target, fields, body):
        request = fields["x-attempt-id"]
        self.active += 1
        try:
            self.world.reached(self, request, fields)
            async with self.queue:
                self.world.record.add("run", server=self.id, request=request, path=target)
                common = {"X_Attempt_Id": request, "X_Server_Seal": secrets.token_hex(8), "X_Server_Load": f"{self.active},0,{self.slots}"}
                if self.limit is not None:
                    common["Server_Limit"] = str(self.limit)
                is_fatal = self.world.is_fatal(fields, target, body)
                if self.events == 0:
                    await asyncio.sleep(self.work_s / 2 if is_fatal else self.work_s)
                    if is_fatal:
                        self.crash(request)
                        return
                    text = f"answer to {request}".encode()
                    writer.write(answer_text(200, text, **common))
                    return
                await asyncio.sleep(self.work_s)
                lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
                lines += [f"{name.replace('_', '-')}: {value}" for name, value in common.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
                await writer.drain()
                if is_fatal:
                    # The server crashes as it begins to write an answer.
                    await asyncio.sleep(0.02)
                    self.crash(request)
                    return
                first = int(fields.get("last-event-id", "0")) + 1
                if "kv-from" in fields:
                    self.world.record.add("continued", server=self.id, request=request, first=first)
                    self.world.continued.append((self.world.record.now(), request, self))
                elif "x-kv-backup" in fields:
                    self.world.copies.add((fields["x-kv-backup"], request))
                broken = False
                for number in range(first, (self.events_of(target) or self.events) + 1):
                    event = f"id: {number}\ndata: {request}\n\n".encode("latin-1")
                    if not broken and "kv-from" not in fields and self.world.breaks_off(self, request, number):
                        # The answer breaks off, but the server goes on with its work.
                        broken = True
                        self.world.record.add("answer broken off", server=self.id, request=request, event_number=number)
                        writer.transport.abort()
                    self.made[request] = number
                    if not broken:
                        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                        await writer.drain()
                    await asyncio.sleep(self.event_s)
                self.world.ends[(request, self.id)] = self.world.record.add("run ends", server=self.id, request=request)
                if not broken:
                    writer.write(b"0\r\n\r\n")
        finally:
            self.active -= 1
            self.made.pop(request, None)


class Relay:
    """One machine of the system: a process with the command and the settings of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ports = {part: free_port() for part in ("listen", "ready", "directory", "peer", "metrics")}
        self.started_at = None
        self.process = None

    def address(self, part):
        return f"{HOST}:{self.ports[part]}"

    def write_settings(self):
        regions = ",".join(f"{zone}:{region}" for zone, (region, _) in ZONES.items())
        seeds = ",".join(relay.address("peer") for relay in self.world.relays[::3][:3])
        settings = {"NODE": self.name, "DATA_CENTRE": self.zone, "REGION": ZONES[self.zone][0], "REGIONS": regions, "LISTEN": self.address("listen"),
                    "READY_LISTEN": self.address("ready"), "DIRECTORY_LISTEN": self.address("directory"), "PEER_LISTEN": self.address("peer"),
                    "METRICS_LISTEN": self.address("metrics"), "STORE": f"{HOST}:{self.world.store.port}", "SEEDS": seeds, "GRACE_S": "8",
                    "RETRY_RATIO": "0.2", "RETRY_SLACK": "54", "RETRY_WINDOW_S": "10"}
        path = os.path.join(self.world.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"JUJUBE_{name}={value}\n" for name, value in settings.items())
        return path

    async def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(os.path.join(ROOT, "target/bin/jujube-relay"), "--settings-file", path, cwd=ROOT, stdout=log,
                                                            stderr=log, env=environment)
        log.close()
        self.started_at = self.world.record.add("relay started", relay=self.name, process=self.process.pid)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.world.record.add("relay killed", relay=self.name)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(exchange(self.ports["ready"], "GET", "/-/readyz", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def exchange(port, method, target, fields, body=b""):
    """One request on a channel of its own. Returns status, head fields and body; raises if the answer is not complete."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        if "Host" not in fields:
            lines.append(f"Host: {HOST}:{port}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        line, head = await read_head(reader)
        return int(line.split(" ")[1]), head, await read_body(reader, head)
    finally:
        writer.close()


class World:
    """The whole small deployment."""

    def __init__(self, folder, seed):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.random = random.Random(seed)
        self.store = Store(self.record)
        self.relays = []
        self.servers = []
        self.crashes = []
        # What reached a server: (time, request id, head fields, server).
        self.arrivals = []
        self.is_fatal = lambda fields, target, body: False
        self.directory = {}
        # Backups of runs: (address, request id).
        self.copies = set()
        # Runs that went on at another server: (time, request id, server).
        self.continued = []
        # When runs ended by themselves, by request id and server id.
        self.ends = {}
        # Whether a server breaks off its answer at an event.
        self.breaks_off = lambda server, request, number: False
        for zone, (_, count) in ZONES.items():
            for index in range(count):
                self.relays.append(Relay(self, f"edge-{zone}-{index + 1}", zone))

    def reached(self, server, request, fields):
        at = self.record.add("reached server", server=server.id, request=request)
        self.arrivals.append((at, request, fields, server))

    async def start(self, document):
        await self.store.start()
        for server in self.servers:
            await server.start()
        self.store.put("op", "config", document)
        await self.start_relays()

    async def start_relays(self):
        await asyncio.gather(*(relay.start() for relay in self.relays))
        for _ in range(100):
            if all(await asyncio.gather(*(relay.is_ready() for relay in self.relays))):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the relays did not become ready")

    async def resolve(self, host):
        """Addresses of the system as a consumer learns them: from the directory, kept for the time that the answer allows."""
        zone = self.random.choice(list(ZONES))
        known = self.directory.get(zone)
        if known and known[1] > time.monotonic():
            return known[0]
        for relay in self.random.sample(self.relays, 3):
            try:
                target = f"/-/resolve?name={host}&region={ZONES[zone][0]}&zone={zone}"
                status, _, body = await asyncio.wait_for(exchange(relay.ports["directory"], "GET", target, {}), 1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                answer = json.loads(body)
                self.directory[zone] = (answer["addresses"], time.monotonic() + answer["ttl_s"])
                return answer["addresses"]
        return known[0] if known else []

    async def call(self, name, method, target, fields, body=b"", deadline_s=6.0):
        """One attempt of a consumer. Returns (status, retry-after, body); status 0 if there is no complete answer."""
        request = secrets.token_hex(8)
        addresses = await self.resolve(fields["Host"])
        if not addresses:
            return request, 0, None
        port = int(self.random.choice(addresses).rsplit(":", 1)[1])
        relay = next(relay.name for relay in self.relays if relay.ports["listen"] == port)
        self.record.add("sent", kind=name, request=request, relay=relay)
        fields = {**fields, "X-Attempt-Id": request, "X-Deadline-Ms": str(int(deadline_s * 1000))}
        status, head, answer = 0, {}, b""
        try:
            status, head, answer = await asyncio.wait_for(exchange(port, method, target, fields, body), deadline_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.record.add("answered", kind=name, request=request, status=status, retry_after=head.get("retry-after"), bytes=len(answer))
        return request, status, answer

    async def stop(self):
        for relay in self.relays:
            await relay.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs of the relays:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, limit_s=110):
    """Plays a case: an async function that takes the world's folder and returns HELD or BROKEN."""

    async def main():
        world = World(folder, int(os.environ.get("SEED", "1")))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        task = asyncio.create_task(case(world))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit_s)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            world.record.say(f"could not run: {error or type(error).__name__}")
            return CANNOT_RUN
        finally:
            await world.stop()

    sys.exit(asyncio.run(main()))
