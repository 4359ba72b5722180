"""A server is cut off for 4 s and is back; 12 s later it loses an answer. Does the draft go on elsewhere while the server still works on it?

ONLY=lost leaves out the cut and keeps the lost answer."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import fleet as f  # noqa: E402
import standins as s  # noqa: E402

CUT_S = 4.0
# Four times contact_ms: all relays are in touch again.
AFTER_CUT_S = 12.0
LOSS_S = 4.0
LOST_PART = 0.05
HINTS_PER_SECOND = 60
LOST_BEFORE_EVENT = 40


async def play(record, folder, trouble):
    is_cut = trouble and os.environ.get("ONLY") != "lost"
    async with f.Fleet(record, folder) as fleet:
        await asyncio.sleep(3)
        faulty = fleet.engines[0]
        proxy = fleet.proxies[faulty.name]
        first = [fleet.send(f"a{number}") for number in range(8)]
        await asyncio.sleep(2)
        if not faulty.past:
            raise s.NotRun("the server got no draft before the cut")
        if is_cut:
            record.add(f"{faulty.name} is cut off from all relays: its connections are reset, new ones refused")
            await proxy.cut()
        await asyncio.sleep(CUT_S)
        if is_cut:
            await proxy.start()
            record.add(f"{faulty.name} is reached again")
        await asyncio.sleep(AFTER_CUT_S)
        await asyncio.gather(*first)
        began = len(faulty.past)
        lost = []

        def lose(run):
            if run.id.startswith("b") and run.next == LOST_BEFORE_EVENT and not lost:
                lost.append(run.id)
                return "lose"
            return None

        if trouble:
            faulty.before_event = lose
        second = [fleet.send(f"b{number}") for number in range(8)]
        await fleet.send_hints("h", HINTS_PER_SECOND, LOSS_S)
        ran = len(faulty.past) - began
        await asyncio.gather(*second)
        record.add(f"{faulty.name} ran {ran} requests in {LOSS_S} s and lost the answers to {len(lost)}")
        if trouble and (not lost or len(lost) > LOST_PART * ran):
            raise s.NotRun("the server got no draft after the cut, or too few requests")
        found = [item for item in s.overlaps(fleet.engines) if item["request"] in lost]
        for item in found:
            record.add(f"TWICE: {item['request']} went on at {item['to']}, and {item['from']} worked on it for {item['overlap']:.2f} s more ({item['events']} events)")
        return bool(found)


sys.exit(s.run_case(play))
