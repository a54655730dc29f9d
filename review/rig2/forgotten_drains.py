"""Half of the endpoints of a large fleet are drained and replaced; then the relay is killed while discovery is down.

Does it still know all that it was told of endpoints that are not to be called any more?
"""

import asyncio
import os

from stand import SLACK, TROUBLE, Agent, Clients, Endpoint, Relay, need, run, service, settings

FLEET = int(os.environ.get("FLEET", "3200"))
REPLACED = FLEET * 51 // 100
STEPS = 16
STEP = 1.35  # 21.6 s in all: "within 20 to 40 s"
DESTINATIONS = 24  # those that get messages here
TAKEN = 8  # of these the endpoint is gone in the end, and one of another destination has its address
GRACE = 2.0  # `stop_sending_within`
DOWN = 8.0


def other(place, health="active", generation="s"):
    """One of the many endpoints that get no messages here: nothing listens at its address."""
    return {"host": f"{generation}-{place:08x}", "dial": f"127.0.{1 + place // 250}.{1 + place % 250}:9",
            "site": "here", "class": "clubs", "block": 100 + place // 2, "health": health, "share": 1.0, "born_ms": 0}


async def case(world, folder, relays):
    agent = await Agent(world, "agent").start()
    old = [await Endpoint(world, f"s-old{block:05x}", block).start() for block in range(1, DESTINATIONS + 1)]
    entries = [endpoint.entry() for endpoint in old] + [other(place) for place in range(FLEET - DESTINATIONS)]
    for entry in entries:
        agent.hosts[entry["host"]] = entry
        agent.changed[entry["host"]] = (1, entry)
    terms = settings([service("reminder", "pure"), service("charges", "side_effect")])
    terms["rules"]["stop_sending_within"] = int(GRACE * 1e9)
    relay = Relay(world, folder, agent, terms, agent.whole())
    relays.append(relay)
    await relay.start()
    clients = Clients(world, relay)

    async def a_round():
        for block in range(1, DESTINATIONS + 1):
            await clients.post("reminder", block, 4000)

    await a_round()
    # The endpoints that get messages here are among the first that are replaced.
    new = [await Endpoint(world, f"n-new{block:05x}", block).start() for block in range(1, DESTINATIONS + 1)]
    await agent.change(*[endpoint.entry() for endpoint in new], *[endpoint.entry("leaving") for endpoint in old])
    told = world.now()
    rest = REPLACED - DESTINATIONS
    quiet, world.say = world.say, lambda text: None
    for step in range(STEPS):
        await asyncio.sleep(STEP)
        places = range(step * rest // STEPS, (step + 1) * rest // STEPS)
        await agent.change(*[other(place, "leaving") for place in places],
                           *[other(place, generation="n") for place in places])
        quiet(f"agent tells: {len(places)} more endpoints leave, as many are new (seq {agent.seq})")
    world.say = quiet
    await asyncio.sleep(GRACE)
    gone, takers = old[:TAKEN], []
    await agent.change(gone=[endpoint.host for endpoint in gone])
    for endpoint in gone:
        await endpoint.stop()
    await asyncio.sleep(0.5)
    for endpoint in gone:
        taker = Endpoint(world, endpoint.host.replace("s-old", "n-tak"), endpoint.block + 5000)
        takers.append(await taker.start(endpoint.port))
    await agent.change(*[taker.entry() for taker in takers])
    await asyncio.sleep(0.5)
    await a_round()
    need(any(call["endpoint"] in new for call in world.calls), "no call to a new endpoint before the trouble")
    need(not any(call["endpoint"] in old and call["first"] > told + GRACE + SLACK for call in world.calls),
         "drains were not heeded before the trouble")
    if TROUBLE:
        agent.down = True
        world.say("discovery is down")
        await asyncio.sleep(1)
        await relay.restart("kill")
    for _ in range(3):
        await a_round()
        await asyncio.sleep(1)
    await asyncio.sleep(1)
    agent.down = False
    world.say("discovery is back")
    await asyncio.sleep(3)
    await a_round()
    await asyncio.sleep(2)
    wrong = [call for call in world.calls if call["endpoint"] in old and call["first"] > told + GRACE + SLACK]
    foreign = [call for call in world.calls if call["endpoint"] in takers]
    world.say(f"{len(wrong)} calls to endpoints that drain, {len(foreign)} to endpoints of another destination that have "
              f"the address of one that is gone, of {len(world.calls)} calls")
    return [f"wrong place: call {call['n']}, a message for destination {world.messages[call['ids'][0]]['dest']}, to "
            f"{call['endpoint'].host} of destination {call['block']}" for call in foreign] + [f"drain: call {call['n']} to {call['endpoint'].host}, {call['first'] - told:.3f} s after the agent had told "
            f"that it leaves" for call in wrong]


run(case)
