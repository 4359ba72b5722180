"""A generation whose answer a server breaks off while it goes on with its work."""
import asyncio
import copy
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import deployment as d
import world as w

DRAFTS_PER_S = 6
# Answers are lost four times for some seconds: those of a twentieth of the requests on half of the servers.
LOST_AT_S, LOST_FOR_S = (10, 20, 30, 40), 4
SHARE_OF_SERVERS, SHARE_OF_REQUESTS = 0.5, 0.05
# For so long may a server go on with a request that has gone on at another server.
ALLOWED_S = 0.4


async def case(world):
    d.add_engines(world, in_zone=4)
    affected = world.random.sample(world.servers, int(SHARE_OF_SERVERS * len(world.servers)))
    state = {"window": None, "seen": set(), "lost": set()}
    broken = set()

    def breaks_off(server, request, number):
        window = next((at for at in LOST_AT_S if at <= world.record.now() < at + LOST_FOR_S), None)
        if not w.TROUBLE or window is None or server not in affected:
            return False
        if window != state["window"]:
            state.update(window=window, seen=set(), lost=set())
        state["seen"].add(request)
        # Only in the first half of an answer, so that the run has seconds to go.
        if len(state["lost"]) + 1 > SHARE_OF_REQUESTS * len(state["seen"]) or number > d.DRAFT_EVENTS / 2:
            return False
        state["lost"].add(request)
        broken.add(request)
        return True

    world.breaks_off = breaks_off
    document = copy.deepcopy(d.DOCUMENT)
    document["services"][0]["engine"].update(moves=True, backups=True)
    await world.start(document)
    consumers = d.Consumers(world)
    consumers.start(DRAFTS_PER_S, lambda: consumers.generate("draft", d.DRAFTS, f"0badc0d{world.random.randrange(8)}", deadline_s=39.0))
    await asyncio.sleep(LOST_AT_S[-1] + LOST_FOR_S + 2 - world.record.now())
    await consumers.finish()
    await asyncio.sleep(2)
    twice = 0
    for at, request, server in world.continued:
        # The server that ran the request before, and when it ended its work.
        for before, end in ((name, end) for (other, name), end in world.ends.items() if other == request and name != server.id):
            if end > at + ALLOWED_S:
                twice += 1
                world.record.say(f"request {request} went on at {server.id} at {at:.2f} s; {before} worked on it until {end:.2f} s")
    world.record.say(f"answers broken off: {len(broken)}; requests that went on at another server: {len(world.continued)}")
    consumers.say("draft")
    world.record.say(f"requests on which the server before still worked 400 ms after they had gone on at another: {twice} (allowed: 0)")
    return w.BROKEN if twice > 0 else w.HELD


w.play(FOLDER, case)
