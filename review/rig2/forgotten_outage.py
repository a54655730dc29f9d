"""A destination whose endpoints are newer than the list of the configuration is in an outage; the relay is killed as it ends.

How much does the relay send to the destination that comes back cold?
"""

import asyncio
import os
import random

from stand import TROUBLE, Agent, Clients, Endpoint, Relay, accept, at_cold, need, run, service, settings

REPLACED = os.environ.get("REPLACED", "1") != "0"
RATE = 30  # messages a second for the destination
CAPACITY = 40  # calls a second that it takes when it is warm: traffic is 75% of it
WARM_UP = 9.0
OUTAGE = 10.0


async def case(world, folder, relays):
    agent = await Agent(world, "agent").start()

    async def behave(endpoint, call, writer):
        await asyncio.sleep(0.05)
        return await accept(endpoint, call, writer)

    endpoints = [await Endpoint(world, f"s-{place}", 1, behave=behave).start() for place in (1, 2)]
    other = await Endpoint(world, "s-3", 2).start()
    await agent.change(*[endpoint.entry() for endpoint in endpoints], other.entry())
    relay = Relay(world, folder, agent, settings([service("sync", "pure", 30)], slots=34), agent.whole())
    relays.append(relay)
    await relay.start()
    clients = Clients(world, relay)
    if REPLACED:
        before = endpoints
        endpoints = [await Endpoint(world, f"n-{place}", 1, behave=behave).start() for place in (1, 2)]
        await agent.change(*[e.entry() for e in endpoints], *[e.entry("leaving") for e in before])
        await asyncio.sleep(2)
        await agent.change(gone=[endpoint.host for endpoint in before])
        await asyncio.sleep(0.5)
        for endpoint in before:
            await endpoint.stop()
    handing = set()

    async def load():
        while True:
            task = asyncio.ensure_future(clients.post("sync", 1, 25000))
            handing.add(task)
            task.add_done_callback(handing.discard)
            await asyncio.sleep(random.expovariate(RATE))

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(8)
    world.say("the destination is down: its endpoints refuse connections")
    for endpoint in endpoints:
        await endpoint.stop()
    await asyncio.sleep(OUTAGE - 0.4)
    if TROUBLE:
        await relay.kill()
    await asyncio.sleep(0.4)
    back = world.now()
    for endpoint in endpoints:
        await endpoint.start(endpoint.port)
    world.say("the destination is back, cold")
    if TROUBLE:
        await asyncio.sleep(0.2)
        await relay.start()
    await asyncio.sleep(WARM_UP)
    need(not loading.done(), "the clients have ended")
    loading.cancel()
    before = [call for call in world.calls if call["block"] == 1 and call["at"] < back]
    after = [call for call in world.calls if call["block"] == 1 and call["at"] >= back]
    need(len(before) > 5 * RATE, "too few calls before the outage")
    need(len(after) > 10, "too few calls after the return")
    worst = at_cold(world, 1, back, CAPACITY, warm_up=WARM_UP)
    return [f"failback: {worst[1]}"] if worst[0] > 1 else []


run(case)
