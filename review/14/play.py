"""A server that has turned requests away with Retry-After is drained. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import world

CASE = os.path.dirname(os.path.abspath(__file__))
RELAYS = 3
SERVERS = 6
DRAFTS = 90
EVENTS = 60
EVENT_S = 0.2
RETRY_AFTER_S = 8
DRAIN_S = 2.5
MOST_LOST = 3


async def play():
    deployment = world.Deployment(CASE, RELAYS)
    record, store = deployment.record, deployment.store
    try:
        servers = [world.ModelServer(store, record, "pool", "lahore-a", f"i-{number}", events=EVENTS, event_s=EVENT_S) for number in range(SERVERS)]
        route = world.stream_route("pool", "/draft/", 39000, resumable=False, max_attempts=1)
        await deployment.start(world.config([route], [world.engine_service("pool")]), servers)
        leaving = servers[0]
        for server in servers:
            server.lacks_room = True
        ended = []

        async def call(number):
            relay = deployment.relays[number % RELAYS]
            stream = await world.open_stream(
                record, relay.port, f"/draft/{number}", f"draft {number}".encode(), parts=f"a1:79,{0x1000 + number:x}:1200", usage="1279,200", deadline_ms=39000, kept=True
            )
            ended.append((world.now(), stream))
            return stream

        calls = []

        async def begin(count, gap):
            for _ in range(count):
                calls.append(asyncio.create_task(call(len(calls))))
                await asyncio.sleep(gap)

        await begin(DRAFTS, 0.04)
        if world.TROUBLE:
            # The server is full for a moment.
            leaving.full_for = RETRY_AFTER_S
        await begin(24, 0.04)
        leaving.full_for = None
        await asyncio.sleep(0.5)
        there = set(leaving.runs)
        record.add(f"{leaving.id} is drained, {len(there)} drafts run there")
        leaving.state = "draining"
        drained = world.now()
        await asyncio.sleep(DRAIN_S)
        until = world.now()
        lost = [stream for at, stream in ended if stream.id in there and stream.status == 200 and not stream.is_complete and drained <= at < until]
        streams = await asyncio.gather(*calls)
        line = f"{len(there)} drafts ran at the server that leaves; {len(lost)} were cut within {DRAIN_S} s (at most {MOST_LOST} allowed)"
        print(line)
        record.add(line)
        for stream in lost:
            record.add(f"LOST {stream.id} after {len(stream.events)} events")
        if len(there) < 8 or sum(stream.is_complete for stream in streams) < DRAFTS / 2:
            raise RuntimeError("too few drafts")
        return 1 if len(lost) > MOST_LOST else 0
    finally:
        await deployment.stop()


world.main("14", play)
