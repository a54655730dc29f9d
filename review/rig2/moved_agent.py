"""Discovery is down, a new configuration moves it, and the relay is killed. Does it still know what drains?"""

import asyncio
import os

from stand import SLACK, TROUBLE, Agent, Clients, Endpoint, Relay, need, run, service, settings

DESTINATIONS = 6
GRACE = 1.0  # `stop_sending_within`
HOW = os.environ.get("HOW", "kill")  # or `term`


async def case(world, folder, relays):
    agent = await Agent(world, "agent-a").start()
    old = [await Endpoint(world, f"s-{block}", block).start() for block in range(1, DESTINATIONS + 1)]
    await agent.change(*[endpoint.entry() for endpoint in old])
    relay = Relay(world, folder, agent, settings([service("sync", "pure"), service("charges", "side_effect")]),
                  agent.whole())
    relays.append(relay)
    await relay.start()
    clients = Clients(world, relay)

    async def rounds(count):
        for _ in range(count):
            for block in range(1, DESTINATIONS + 1):
                await clients.post("sync", block, 5000)
            await asyncio.sleep(0.2)

    await rounds(5)
    # Some endpoints are replaced: the agent tells it, the relay heeds it.
    new = [await Endpoint(world, f"n-{block}", block).start() for block in range(1, DESTINATIONS + 1)]
    await agent.change(*[endpoint.entry() for endpoint in new], *[endpoint.entry("leaving") for endpoint in old])
    told = world.now()
    await rounds(15)
    need(any(call["endpoint"] in new for call in world.calls), "no call to a new endpoint before the trouble")
    need(not any(call["endpoint"] in old and call["first"] > told + GRACE + SLACK for call in world.calls),
         "drains were not heeded before the trouble")
    other = await Agent(world, "agent-b").start(like=agent)
    if TROUBLE:
        agent.down = other.down = True
        world.say("discovery is down")
        await asyncio.sleep(0.5)
        relay.agent = other
        relay.write_config()
        relay.signal(1)
        closing = asyncio.create_task(agent.shut())
        await rounds(5)
        await closing
        await relay.restart(HOW)
    await rounds(10)
    other.down = False
    world.say("discovery answers")
    await rounds(10)
    await asyncio.sleep(2)
    wrong = [call for call in world.calls if call["endpoint"] in old and call["first"] > told + GRACE + SLACK]
    world.say(f"{len(wrong)} calls to endpoints that drain, of {len(world.calls)} calls")
    return [f"drain: call {call['n']} to {call['endpoint'].host}, {call['first'] - told:.3f} s after the agent had told "
            f"that it leaves" for call in wrong]


run(case)
