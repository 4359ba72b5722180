#!/usr/bin/env python3
"""Compares ways to divide a target's request limit between relays, by simulation. Prints the table of docs/design.md, section 17.

Each relay gets six requests a second for the target, at random times, and drops those that its part of the limit does not allow. All relays learn the limit at
time zero. Every figure is the median of five seeds.
"""

import random
import statistics

SECONDS = 60
BINDS_FROM = 3
WINDOW = 4
REQUESTS_PER_RELAY = 6
SEEDS = range(5)


def alone(relays, limit, _):
    """Each relay keeps the whole limit alone."""
    return [(1 / limit, 0)] * relays


def equal_parts(relays, limit, _):
    """Each relay gets the same part, and may send its first request at once."""
    return [(relays / limit, 0)] * relays


def equal_parts_spread(relays, limit, draws):
    """Each relay gets the same part, and sends its first request at a random time within its interval."""
    return [(relays / limit, draws.random() * relays / limit) for _ in range(relays)]


def holders(relays, limit, draws):
    """Two relays and one more for each request per second share the limit."""
    count = min(relays, 2 + int(limit))
    return [(count / limit, draws.random() * count / limit) for _ in range(count)]


def simulate(way, relays, limit, seed):
    """Returns the most requests in a window and the used part of the limit."""
    draws = random.Random(seed)
    sent = []
    for interval, first in way(relays, limit, draws):
        due = first
        now = 0.0
        while now < SECONDS:
            now += draws.expovariate(REQUESTS_PER_RELAY)
            if due <= now < SECONDS:
                sent.append(now)
                due = now + interval
    sent = sorted(time for time in sent if time >= BINDS_FROM)
    last = 0
    worst = 0
    for first, start in enumerate(sent):
        while last < len(sent) and sent[last] < start + WINDOW:
            last += 1
        worst = max(worst, last - first)
    return worst, len(sent) / (limit * (SECONDS - BINDS_FROM))


def main():
    """Prints the table."""
    print("| relays | limit | allowed in 4 s | each alone | equal parts | equal parts, spread | holders | used by spread parts | used by holders |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for relays in (7, 77, 195):
        for limit in (0.5, 5.2, 50):
            results = {}
            for way in (alone, equal_parts, equal_parts_spread, holders):
                runs = [simulate(way, relays, limit, seed) for seed in SEEDS]
                results[way] = [statistics.median(values) for values in zip(*runs)]
            most = [f"{results[way][0]:.0f}" for way in (alone, equal_parts, equal_parts_spread, holders)]
            used = [f"{100 * results[way][1]:.0f}%" for way in (equal_parts_spread, holders)]
            print(f"| {relays} | {limit} | {int(1.5 * limit * WINDOW + 5)} | " + " | ".join(most + used) + " |")


if __name__ == "__main__":
    main()
