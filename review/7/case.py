"""A kill falls on the moment at which a relay writes down a large change of the list."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "peers-2"))
from peers import *  # noqa: E402,F403

LISTED = 2000  # endpoints of the zone that is drained, besides those that get messages
ROUNDS = 25    # the kill falls on another moment in each
LATEST = 0.04  # seconds after the list at which the kill comes
JITTER = 0.003
GRACE, SLACK = 1.0, 0.1
BUSY = 4  # destinations that get messages, each with one endpoint that leaves and one that stays


async def play_round(record, folder, number, delay):
    discovery = Discovery(record)
    leaving = [Endpoint(record, f"r{number}-old-{i}", i) for i in range(BUSY)]
    staying = [Endpoint(record, f"r{number}-new-{i}", i) for i in range(BUSY)]
    idle_port = free_port()
    servers = [discovery, *leaving, *staying]
    for server in servers:
        await server.open()
    others = [{**leaving[0].entry(), "id": f"r{number}-other-{i}", "cell": 100 + i,
               "host_port": f"127.0.0.1:{idle_port}"} for i in range(LISTED)]
    step = LISTED // BUSY

    def entries(phase):
        out = [{**entry, "phase": phase} for entry in others]
        for i, endpoint in enumerate(leaving):
            out.insert((i + 1) * step + i - 1, endpoint.entry(phase))
        return out

    discovery.set(*entries("active"), *(endpoint.entry() for endpoint in staying))
    part = os.path.join(folder, f"round-{number}")
    os.mkdir(part)
    relay = Relay(record, config(discovery, settings([category("call-event")]), discovery.whole()), part)
    known = discovery.whole()
    client = Client(record, relay.listen)
    try:
        process = relay.start()
        await relay.ready(process)
        while not discovery.watches:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        discovery.set(*entries("leaving"))
        told = record.now()
        record.note(f"list    round {number}: {len(others) + BUSY} endpoints are leaving")
        if TROUBLE:
            await asyncio.sleep(delay)
            relay.signal(process, signal.SIGKILL)
            told = record.now()  # if it was told all of the line at all, it was by now
            process.wait()
            await asyncio.sleep(0.6)
            process = relay.start(known=known)
            await relay.ready(process)
        await client.stream(1.6, 20, "call-event", list(range(BUSY)))
        await asyncio.sleep(0.2)
        late = [call for endpoint in leaving for call in endpoint.calls if call.began > told + GRACE + SLACK]
        if not any(endpoint.calls for endpoint in staying):
            raise CannotRun("nothing was sent")
        breaks = [f"round {number}: call {call.ids[0]} to {call.endpoint.name} began {call.began - told:.3f} s "
                  f"after the relay was told that it is leaving" for call in late[:3]]
        asked_from_new = discovery.asked[-1] >= discovery.revision
        if TROUBLE and not asked_from_new:  # it has not read all of the line: it is told by the new watch
            breaks = []
        return breaks, asked_from_new
    finally:
        client.close()
        relay.end()
        for server in servers:
            await server.close()


async def case(record, folder, cleanup):
    low, high = 0.0, LATEST  # the relay writes the change down in between, as its later watches tell
    for number in range(ROUNDS):
        if record.now() > 95:
            break
        delay = random.uniform(low, high)
        breaks, asked_from_new = await play_round(record, folder, number, delay)
        record.note(f"round   {number}: killed {1000 * delay:.1f} ms after the list, {len(breaks)} breaks")
        if breaks:
            return breaks
        if asked_from_new:
            high = max(low + JITTER, min(high, delay + JITTER))
        else:
            low = min(high - JITTER, max(low, delay - JITTER))
    return []


play(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
