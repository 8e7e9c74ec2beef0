"""A new version takes over while an endpoint whose route is apart has told the relay to wait."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "peers-2"))
from peers import *  # noqa: E402,F403

WAIT = 2.0        # seconds, as small receivers tell
LET_THROUGH = 0.1  # calls that arrive so soon after the answer are let through
SLACK = 0.05      # every time limit is 50 ms longer


async def case(record, folder, cleanup):
    discovery = Discovery(record)
    endpoint = Endpoint(record, "s-1", 7, flavor="small-partner")
    shut = {"at": None}

    async def serve(call):
        if shut["at"] is not None and record.now() < shut["at"] + WAIT:
            left = shut["at"] + WAIT - record.now()
            call.wait = left
            call.answered = record.now()
            return 429, {"Retry-After": f"{left:.3f}"}, b""
        return await endpoint.deliver(call)

    endpoint.serve = serve
    for server in (discovery, endpoint):
        await server.open()
        cleanup.append(server.close)
    discovery.set(endpoint.entry())
    the_settings = settings([category("outbound")], kinds=("big-partner", "small-partner"), apart=(True, True))
    relay = Relay(record, config(discovery, the_settings, discovery.whole()), folder)
    cleanup.append(relay.end)
    old = relay.start()
    await relay.ready(old)
    client = Client(record, relay.listen)
    cleanup.append(client.close)
    traffic = asyncio.create_task(client.stream(6, 8, "outbound", [7]))
    await asyncio.sleep(1.5)
    shut["at"] = record.now()
    while not any(hasattr(call, "wait") for call in endpoint.calls):
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.2)
    if TROUBLE:
        new = relay.start()
        await relay.ready(new, 6)
        relay.signal(old, signal.SIGTERM)
    await traffic
    await asyncio.sleep(1)

    if not all(message.taken for message in client.messages[:8]):
        raise CannotRun("the relay takes nothing on")
    breaks = []
    for told in [call for call in endpoint.calls if hasattr(call, "wait")]:
        begin, end = told.answered, told.answered + told.wait
        record.note(f"wait    until {1000 * end:.1f} ms, told to {told.ids[0]}", begin)
        late = [call for call in endpoint.calls if begin + LET_THROUGH + SLACK < call.ended < end - SLACK]
        breaks += [f"call {call.ids[0]} came {call.ended - begin:.3f} s after a wait of {told.wait:.3f} s was told"
                   for call in late]
    return breaks


play(case, os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
