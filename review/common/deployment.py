"""The small deployment of the cases: its document, and its sound consumers."""
import asyncio
import secrets

import world as w

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
HINTS, DRAFTS, CHECKS = "/pufi791/", "/lohu930/", "/puxa403/"
SHARED = "5c1e07a2"
# The route of the hints may be resumed and that of the drafts not, as on the sheet of the site. Engines of this deployment neither move nor back up runs.
DOCUMENT = {
    "version": 7,
    "routes": [{"name": "r-hint", "host": HOST, "prefix": HINTS, "route_type": "streaming", "timeout_ms": 6000, "goal_ms": 1500, "priority": 0,
                "service": "huvo11a", "max_attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_target_ms": 180, "home_regions": []},
               {"name": "r-draft", "host": HOST, "prefix": DRAFTS, "route_type": "streaming", "timeout_ms": 39000, "goal_ms": 1800, "priority": 1,
                "service": "huvo11a", "max_attempts": 1, "public": False, "sticky": True, "resumable": False, "gap_target_ms": 180, "home_regions": []},
               {"name": "r-check", "host": HOST, "prefix": CHECKS, "route_type": "idempotent", "timeout_ms": 2000, "goal_ms": 300, "priority": 2,
                "service": "wuno96b", "max_attempts": 2, "public": False, "sticky": False, "resumable": False, "home_regions": []}],
    "services": [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 272, "protocol": "h1", "tls": False, "cold_start_s": 1.0, "cold_per_s": 41.0,
                  "engine": {"slots": 24, "kv_capacity": 34386, "kv_bytes": 327680, "link_mbps": 47000.0, "moves": False, "backups": False, "stride": 4,
                             "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}},
                 {"name": "wuno96b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1, "home_regions": []}],
}
# Events of a draft, a tenth of a second apart.
DRAFT_EVENTS = 50
BAD = "91bd3f06"


def is_bad_part(fields, target, body):
    return w.TROUBLE and f"{BAD}:" in fields.get("x-prefix-hash", "")


class Consumers:
    """Sends requests, each in a task of its own, and keeps what became of them: (time, request id, status), by kind."""

    def __init__(self, world, first_parts=(SHARED,), key=KEY):
        self.world = world
        self.key = key
        self.first_parts = first_parts
        self.results = {}
        self.tasks = set()
        self.streams = []

    def send(self, kind, method, target, fields, body=b"", deadline_s=6.0):
        async def call():
            at = self.world.record.now()
            request, status, _ = await self.world.call(kind, method, target, {"Host": HOST, "Authorization": f"Bearer {self.key}", **fields}, body, deadline_s)
            self.results.setdefault(kind, []).append((at, request, status))

        task = asyncio.create_task(call())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def generate(self, kind, route, subject, own=None, body=None, deadline_s=6.0):
        """A generation. Its prompt has the shared parts, that of a subject, and one of its own."""
        parts = [f"{part}:{1500 // len(self.first_parts)}" for part in self.first_parts] + [f"{subject}:140", f"{own or secrets.token_hex(4)}:560"]
        fields = {"X-Model": "m", "X-Token-Usage": "2200,16" if route == HINTS else "2200,400", "X-Prefix-Hash": ",".join(parts)}
        return self.send(kind, "POST", route + "2f", fields, body or secrets.token_hex(40).encode(), deadline_s)

    def bad_part(self):
        return self.generate("bad part", HINTS, BAD)

    def start(self, per_s, send_one):
        """Calls send_one at random moments."""

        async def run():
            while True:
                send_one()
                await asyncio.sleep(self.world.random.expovariate(per_s))

        self.streams.append(asyncio.create_task(run()))

    def start_sound_generations(self, hints_per_s, drafts_per_s):
        self.start(hints_per_s, lambda: self.generate("hint", HINTS, f"0badc0d{self.world.random.randrange(8)}"))
        self.start(drafts_per_s, lambda: self.generate("draft", DRAFTS, f"0badc0d{self.world.random.randrange(8)}", deadline_s=39.0))

    async def finish(self):
        for stream in self.streams:
            stream.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=8)

    def ids(self, kind):
        return {request for _, request, _ in self.results.get(kind, [])}

    def say(self, *kinds):
        for kind in kinds:
            results = self.results.get(kind, [])
            whole = sum(1 for _, _, status in results if status == 200)
            self.world.record.say(f"{kind}: {len(results)} requests, {whole} answered whole with 200, {len(results) - whole} not")


def add_engines(world, in_zone, **options):
    for zone in w.ZONES:
        for _ in range(in_zone):
            world.servers.append(w.Server(world, "huvo11a", zone, slots=24, work_s=0.15, events=4, events_of=lambda target: DRAFT_EVENTS if
                                          target.startswith(DRAFTS) else None, event_s=0.1, **options))


def late_arrivals(world, ids, crashes):
    """Ids of these requests that reached a server later than contact_ms after so many crashes."""
    if len(world.crashes) < crashes:
        return set()
    known_from = world.crashes[crashes - 1] + w.CONTACT_S
    return {request for at, request, _, _ in world.arrivals if request in ids and at > known_from}
