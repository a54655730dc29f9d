"""New settings by SIGHUP in which no class keeps an order any more, and discovery moves: are they taken?"""

import asyncio
import random
import signal

from stand import TROUBLE, Agent, Clients, Endpoint, Relay, lost, need, refuse, run, service, settings


async def case(world, folder, relays):
    agent = await Agent(world, "agent-a").start()

    async def shut(endpoint, call, writer):
        return await refuse(endpoint, call, writer)

    well = await Endpoint(world, "s-1", 1).start()
    busy = await Endpoint(world, "s-2", 2, behave=shut).start()
    await agent.change(well.entry(), busy.entry())
    before = settings([service("changes", "pure", in_order=True), service("sync", "pure"),
                       service("charges", "side_effect")])
    # Without trouble the class keeps its turn.
    after = settings([service("changes", "pure", in_order=None if TROUBLE else True), service("sync", "pure"),
                      service("charges", "side_effect")])
    relay = Relay(world, folder, agent, before, agent.whole())
    relays.append(relay)
    await relay.start()
    clients = Clients(world, relay)
    for _ in range(5):
        await clients.post("changes", 1, 4000, thread="k%d" % random.randint(0, 3))
        await clients.post("charges", 2, 12000, effect="side_effect")
        await clients.post("sync", 2, 9000)
        await asyncio.sleep(0.3)
    taken = [message for message in world.messages.values() if message["status"] == 202]
    need(len(taken) > 10 and any("delivered" in message for message in taken), "too few messages before the trouble")
    other = await Agent(world, "agent-b").start(like=agent)
    relay.settings, relay.agent = after, other
    relay.write_config()
    relay.check()
    relay.signal(signal.SIGHUP)
    closing = asyncio.create_task(agent.shut())
    await asyncio.sleep(1.3)
    for _ in range(5):
        await clients.post("changes", 1, 4000)
        await clients.post("charges", 2, 5000, effect="side_effect")
        await asyncio.sleep(0.3)
    # Discovery tells of a drain; it counts as told at the latest 4 s after SIGHUP.
    await other.change(well.entry("leaving"))
    await closing
    await asyncio.sleep(2.5)
    told = world.now()
    world.say("the drain counts as told")
    for _ in range(10):
        await clients.post("sync", 1, 2000)
        await asyncio.sleep(0.3)
    await asyncio.sleep(6)
    breaks = [f"lost: {message['id']} taken on, its time was up at {message['until']:.3f}, no delivery and no notice"
              for message, _, _ in lost(world)]
    breaks += [f"drain: call {call['n']} to a leaving endpoint {call['first'] - told:.3f} s after it counts as told"
               for call in world.calls if call["endpoint"] is well and call["first"] > told + 1.05]
    return breaks


run(case)
