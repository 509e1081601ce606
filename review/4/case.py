"""A job that was submitted with a mistake, its tasks take nothing, waits beside other work."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import kh  # noqa: E402

ZONE = "kosice"


async def case(region, trouble):
    for zone in region.s["zones"]:
        region.cloud.capacity[("dunaj-box", zone, False)] = 1
    if not await region.ready():
        return 2
    # Six replicas fill the one machine of the zone.
    service = region.spec(
        "j-000001", lane="flag-decide", shape="daemon", rank="production", site=ZONE, shards=6
    )
    service.update(cpus=8.0, gpus=1.0, ram_gb=29.0, guess_s=0.0)
    if not await region.submit(service):
        return 2
    if not await region.until(lambda: len(region.jobs["j-000001"]["on"]) == 6, 20.0):
        return 2
    # With these, the odd job is 1 of 25 of its class.
    if not await region.crowd(21, [z for z in region.s["zones"] if z != ZONE]):
        return 2
    takes = 0.0 if trouble else 1.0
    odd = region.spec("j-000002", rank="standard", site=ZONE, guess_s=600.0, size_gb=1.0)
    odd.update(cpus=takes, gpus=0.0, ram_gb=takes)
    if not await region.submit(odd):
        region.say("the job was refused")
        return 0
    await asyncio.sleep(32.0)
    for n in range(3, 6):
        job = region.spec(f"j-{n:06d}", rank="standard", site=ZONE, guess_s=10.0, cpus=1.0)
        if not await region.submit(job):
            return 2
    region.say("newer jobs wait beside the odd one")
    end = kh.now() + 48.0
    while kh.now() < end:
        for n in range(1, 6):
            await region.poll(f"j-{n:06d}")
        await asyncio.sleep(3.0)
    region.record("memory", most_mb=[x // 1000000 for x in region.max_rss])
    for i, why in region.ended_alone[:6]:
        region.say(f"controller {i} ended: {why}")
    region.say(f"ends of controllers in all: {len(region.ended_alone)}")
    return 1 if region.ended_alone else 0


sys.exit(kh.main(HERE, case, limit=118.0))
