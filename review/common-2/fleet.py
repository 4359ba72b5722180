"""A small fleet: a store, two engines in each of three zones behind proxies, and a relay in each zone."""

import asyncio
import time

import standins as s

ZONES = {"lahore-a": "lahore", "karachi-a": "karachi", "islamabad-a": "islamabad"}
HEARTBEAT_S = 1.2


class Fleet:
    def __init__(self, record, folder, engine=s.Engine, **options):
        self.record, self.folder, self.make, self.options = record, folder, engine, options
        self.engines, self.proxies = [], {}
        self.late = []
        self.beat = None
        self.relays = None
        self.store = None

    async def __aenter__(self):
        self.store = s.Store(s.free_ports(1)[0])
        await self.store.start()
        self.store.put("op", "config", s.document())
        for zone in ZONES:
            for number in (1, 2):
                inner, outer = s.free_ports(2)
                engine = self.make(self.record, f"i-{zone}-{number}", zone, inner, **self.options)
                await engine.start()
                proxy = s.Proxy(outer, inner)
                await proxy.start()
                engine.register(f"{s.HOST}:{outer}")
                self.engines.append(engine)
                self.proxies[engine.name] = proxy
                self.register(engine)
        self.relays = s.Relays(self.record, self.store, ZONES, self.folder)
        self.beat = asyncio.ensure_future(self.heartbeats())
        try:
            await self.relays.start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        self.beat.cancel()
        await self.relays.stop_all()

    def register(self, engine):
        self.store.put("servers", engine.name, engine.entry())

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.is_up and not self.store.is_down:
                    self.register(engine)

    async def crash(self, engine):
        """The server's process ends; nothing listens at its address."""
        self.record.add(f"{engine.name} crashes")
        engine.is_up = False
        await self.proxies[engine.name].cut()
        engine.crash()

    async def restart(self, engine, version, registers_at_once=True):
        """The server starts again under its id. Its entry is written at once or with its next heartbeat, if the store takes that."""
        engine.start_again(version)
        await self.proxies[engine.name].start()
        self.record.add(f"{engine.name} has started again under its id, with software {version}")
        if not registers_at_once:
            self.late.append(asyncio.ensure_future(self.begin_heartbeats(engine)))
            return
        engine.is_up = True
        if not self.store.is_down:
            self.register(engine)

    async def begin_heartbeats(self, engine):
        await asyncio.sleep(HEARTBEAT_S)
        engine.is_up = True
        self.register(engine)
        self.record.add(f"{engine.name} writes its entry")

    def port(self, zone):
        """The port for callers of a zone's relay."""
        return self.relays.ports[zone][0]

    def send(self, request, zone="lahore-a", path="/draft/one", tokens=(1460, 900), **options):
        return asyncio.ensure_future(s.Caller(self.record, self.port(zone), request, path, tokens, **options).run())

    async def send_hints(self, name, per_second, seconds):
        """Sends short streams at a steady rate to all relays in turn, and waits for their ends."""
        jobs = []
        for number in range(int(per_second * seconds)):
            jobs.append(self.send(f"{name}{number:03d}", list(ZONES)[number % len(ZONES)], "/hint/one", (300, 16), deadline_ms=6000))
            await asyncio.sleep(1 / per_second)
        return await asyncio.gather(*jobs)

    async def draft_on_kept_channel(self, name, zone, tokens=(1460, 900)):
        """Sends a short stream and then a draft on the same channel. If the draft was passed on and its channel ended without a whole answer, returns its id and
        the time of the end."""
        hint = s.Caller(self.record, self.port(zone), f"hint-{name}", "/hint/one", (300, 16), deadline_ms=6000, body=f"hint {name}".encode())
        draft = s.Caller(self.record, self.port(zone), f"draft-{name}", "/draft/one", tokens, body=f"draft {name}".encode())
        reader, writer = await asyncio.open_connection(s.HOST, self.port(zone))
        for caller in (hint, draft):
            writer.write(caller.head())
            head = await s.read_head(reader)
            caller.end = "closed without an answer"
            if head:
                caller.status, caller.fields = int(head[0].split(" ")[1]), head[1]
                caller.end = await caller.read_body(reader, None)
            self.record.add(f"{caller.id} has status {caller.status}, {len(caller.events)} events, end: {caller.end}")
            if caller is hint and caller.end != "whole":
                raise s.NotRun("a consumer got no first answer on its channel")
        ended_at = time.monotonic()
        writer.close()
        is_passed_on = any(run.id == draft.id for engine in self.engines for _, _, run in engine.past)
        return (draft.id, ended_at) if draft.end != "whole" and is_passed_on else None
