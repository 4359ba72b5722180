"""All relays are stopped and started in turn while two versions of a service serve side by side. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import world

CASE = os.path.dirname(os.path.abspath(__file__))
RELAYS = 3
STREAMS = 20
EVENTS = 70
EVENT_S = 0.5
DEADLINE_MS = 39000
# Pause of roll_term between a relay that is back and the next one.
GAP_S = 1.3
PAUSE_S = 0.5
FEWEST = 12


async def play():
    deployment = world.Deployment(CASE, RELAYS)
    record, store = deployment.record, deployment.store
    try:
        servers = [
            world.ModelServer(store, record, "pool", "lahore-a", f"i-{version}-{number}", version, events=EVENTS, event_s=EVENT_S)
            for version in ("v1", "v2") for number in range(2)
        ]
        route = world.stream_route("pool", "/draft/", DEADLINE_MS)
        await deployment.start(world.config([route], [world.engine_service("pool")]), servers)
        *others, last = deployment.relays
        taken_up, new = [], []
        broken, enough = asyncio.Event(), asyncio.Event()

        async def call(relay, number, deadline_ms, fields=None, stop=None):
            return await world.open_stream(
                record, relay.port, f"/draft/{number}", f"draft {number}".encode(), parts=f"a1:79,{0x1000 + number:x}:300", usage="379,300",
                deadline_ms=deadline_ms, fields=fields, stop=stop,
            )

        async def caller(number):
            begun = world.now()
            # Without TROUBLE the callers lose their connections, and the relays run on.
            stream = await call(last, number, DEADLINE_MS, stop=None if world.TROUBLE else broken)
            if stream.is_complete or not stream.events:
                return
            await asyncio.sleep(PAUSE_S)
            relay = others[number % len(others)]
            in_touch = relay.in_touch(world.now())
            left = DEADLINE_MS - int(1000 * (world.now() - begun))
            again = await call(relay, number, left, {"Last-Event-Id": stream.last_event, "Resumes": stream.id}, enough)
            if in_touch and again.status is not None:
                taken_up.append(bool(again.events))
            if again.events:
                record.add(f"GOES ON {stream.id} as {again.id}: {stream.versions()} then {again.versions()}")

        async def begin_new(number):
            relay = others[number % len(others)]
            in_touch = relay.in_touch(world.now())
            stream = await call(relay, number, DEADLINE_MS, stop=enough)
            if in_touch:
                new.append(bool(stream.events))

        callers = []
        for number in range(STREAMS):
            callers.append(asyncio.create_task(caller(number)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        if world.TROUBLE:
            for relay in others:
                await relay.restart()
                await asyncio.sleep(GAP_S)
            # The first relays are in touch again before the last one stops.
            await asyncio.sleep(world.CONTACT_S)
            await last.restart()
        else:
            await asyncio.sleep(20)
            record.add("the callers lose their connections")
            broken.set()
        fresh = [asyncio.create_task(begin_new(1000 + number)) for number in range(STREAMS)]
        await asyncio.sleep(4)
        enough.set()
        await asyncio.gather(*callers, *fresh)
        goes_on, begin = (sum(results) / max(1, len(results)) for results in (taken_up, new))
        line = f"{len(taken_up)} streams taken up at relays in touch, share that goes on {goes_on:.2f}; {len(new)} new streams, share that begins {begin:.2f}"
        print(line)
        record.add(line)
        if len(taken_up) < FEWEST or len(new) < FEWEST:
            raise RuntimeError("too few streams")
        return 1 if goes_on < begin / 2 else 0
    finally:
        await deployment.stop()


world.main("13", play)
