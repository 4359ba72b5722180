"""Two servers in need are drained one after the other while their neighbours are short of memory. Are their drafts, which the relays have stopped to move them, finished?

ONLY=drain leaves out the limits of the servers."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import fleet as f  # noqa: E402
import standins as s  # noqa: E402

# Requests a second that each server takes from all machines together.
LIMIT = 6.0
DRAFTS = 60
# Drafts come at this pace, 1.7 a second for each server, each with a short stream before.
START_GAP_S = 0.1
# 70 events; drafts that are expected to be short have no backup and are moved when their server leaves.
TOKENS = (1460, 280)
EVENT_S = 0.15
# Pause between the two.
DRAIN_GAP_S = 1.5
# Until then a request may reach a server that leaves (`drain_ms`); drafts that end later are not counted.
DRAIN_S = 2.5
# The rule allows three.
MOST_LOST = 3


async def play(record, folder, trouble):
    async with f.Fleet(record, folder, interval=EVENT_S) as fleet:
        # The first server of two zones; the second one of a zone is its neighbour.
        leaving, neighbours = fleet.engines[0:4:2], fleet.engines[1:4:2]
        if os.environ.get("ONLY") != "drain":
            for engine in fleet.engines:
                engine.limit = lambda: LIMIT
        for neighbour in neighbours:
            neighbour.is_full = True
        await asyncio.sleep(3)
        drafts = []
        for number in range(DRAFTS):
            drafts.append(asyncio.ensure_future(fleet.draft_on_kept_channel(f"{number:02d}", list(f.ZONES)[number % 3], TOKENS)))
            await asyncio.sleep(START_GAP_S)
        drained_at = {}
        for server in leaving if trouble else []:
            running = sum(1 for run in server.runs.values() if run.state == "running" and run.id.startswith("draft"))
            if running <= MOST_LOST:
                raise s.NotRun("the server runs too few drafts")
            drained_at[server.name] = time.monotonic()
            server.state = "draining"
            fleet.register(server)
            record.add(f"{server.name} runs {running} drafts, reports that it is draining, and goes on serving")
            await asyncio.sleep(DRAIN_GAP_S)
        lost = 0
        for draft, ended_at in filter(None, await asyncio.gather(*drafts)):
            server = next(engine.name for engine in fleet.engines for _, _, run in engine.past if run.id == draft)
            after = ended_at - drained_at.get(server, ended_at)
            record.add(f"{draft}, passed on from a kept channel to {server}, ended without a whole answer {after:.2f} s after the server was drained")
            lost += after <= DRAIN_S
        record.add(f"{lost} drafts that were passed on from a kept channel ended so within {DRAIN_S} s")
        return lost > MOST_LOST


sys.exit(s.run_case(play))
