"""One controller stands still for 20 s while users ask about their jobs through the load balancer."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import kh  # noqa: E402

FREEZE_S = 20.0  # the users' pages: 18 s and 50 s


async def case(region, trouble):
    if not await region.ready():
        return 2
    refs = [f"j-{n:06d}" for n in range(1, 41)]
    for ref in refs:
        job = region.spec(ref, shape="daemon", rank="production", guess_s=0.0, cpus=1.0, gpus=0.0)
        if not await region.submit(job):
            return 2

    async def ask(ref):
        while True:
            await region.poll(ref)
            await asyncio.sleep(4.0 + 2.0 * (hash(ref) % 100) / 100)

    for ref in refs:
        region.spawn(ask(ref))
        await asyncio.sleep(0.1)
    await asyncio.sleep(5.0)
    node = region.leader()
    if node is None:
        return 2
    if trouble:
        region.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        region.signal_node(node, signal.SIGCONT)
    else:
        await asyncio.sleep(FREEZE_S)
    await asyncio.sleep(10.0)
    for i, code in region.ended_alone:
        region.say(f"controller {i} ended by itself: {code}")
    others = [rule for rule in region.broken if rule != "node_restarts"]
    region.say(f"other rules broken: {others}")
    return 1 if region.ended_alone else 0


sys.exit(kh.main(HERE, case))
