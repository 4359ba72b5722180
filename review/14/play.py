"""All relays are killed at the same moment while two versions of a service serve side by side. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import world

CASE = os.path.dirname(os.path.abspath(__file__))
RELAYS = 3
STREAMS = 24
DOWN_S = 1.5
DEADLINE_MS = 39000
# Pauses of a caller before each of its tries after its stream broke off.
PAUSES_S = (1.0, 2.0, 4.0)
FEWEST = 12


async def play():
    deployment = world.Deployment(CASE, RELAYS)
    record, store = deployment.record, deployment.store
    try:
        servers = [
            world.ModelServer(store, record, "pool", "lahore-a", f"i-{version}-{number}", version, events=60, event_s=0.15)
            for version in ("v1", "v2") for number in range(2)
        ]
        route = world.stream_route("pool", "/draft/", DEADLINE_MS)
        await deployment.start(world.config([route], [world.engine_service("pool")]), servers)
        # Tries to go on with a stream at a relay in touch: whether it went on, and whether pieces are missing or come twice.
        taken_up, new = [], []
        broken = asyncio.Event()

        async def call(number, fields=None, stop=None):
            relay = deployment.relays[number % RELAYS]
            return relay, await world.open_stream(
                record, relay.port, f"/draft/{number}", f"draft {number}".encode(), parts=f"a1:79,{0x1000 + number:x}:1200", usage="1279,600",
                deadline_ms=DEADLINE_MS, fields=fields, stop=stop,
            )

        async def caller(number):
            # Without TROUBLE the callers lose their connections, and the relays run on.
            _, stream = await call(number, stop=None if world.TROUBLE else broken)
            if stream.is_complete or not stream.events:
                return
            for index, pause in enumerate(PAUSES_S):
                await asyncio.sleep(pause)
                relay = deployment.relays[(number + 1 + index) % RELAYS]
                in_touch = relay.in_touch(world.now())
                _, again = await call(number + 1 + index, {"Last-Event-Id": stream.last_event, "Resumes": stream.id})
                if in_touch and again.status is not None:
                    taken_up.append(bool(again.events))
                if again.events:
                    record.add(f"GOES ON {stream.id} as {again.id}: {stream.versions()} then {again.versions()}")
                    return
                if again.retry_after:
                    await asyncio.sleep(again.retry_after)

        async def begin_new(number):
            relay = deployment.relays[number % RELAYS]
            in_touch = relay.in_touch(world.now())
            _, stream = await call(number)
            if in_touch:
                new.append(bool(stream.events))

        callers = []
        for number in range(STREAMS):
            callers.append(asyncio.create_task(caller(100 * number)))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        record.add("the streams break off")
        broken.set()
        if world.TROUBLE:
            await asyncio.gather(*(relay.kill() for relay in deployment.relays))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(relay.start(False) for relay in deployment.relays))
        await asyncio.sleep(world.CONTACT_S + 0.3)
        fresh = []
        for number in range(STREAMS):
            fresh.append(asyncio.create_task(begin_new(10000 + number)))
            await asyncio.sleep(0.15)
        await asyncio.gather(*callers, *fresh)
        goes_on, begin = (sum(results) / max(1, len(results)) for results in (taken_up, new))
        line = f"{len(taken_up)} tries to go on at relays in touch, share that goes on {goes_on:.2f}; {len(new)} new streams, share that begins {begin:.2f}"
        print(line)
        record.add(line)
        if len(taken_up) < FEWEST or len(new) < FEWEST:
            raise RuntimeError("too few streams")
        return 1 if goes_on < begin / 2 else 0
    finally:
        await deployment.stop()


world.main("14", play)
