"""Three jobs that were submitted with a mistake fail on the one machine of their zone. Once their
users have cancelled them, a sound job waits for that machine, which has room."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import kh  # noqa: E402

ZONE = "kosice"
WAIT_S = 90.0  # the users' pages
SOUND = 72  # with 3 jobs that have a mistake: 4% of the class, as in the users' site files


async def case(region, trouble):
    for zone in region.s["zones"]:
        region.cloud.capacity[("dunaj-box", zone, False)] = 1
    if not await region.ready():
        return 2
    service = region.spec(
        "j-000001", lane="flag-decide", shape="daemon", rank="production", cpus=4.0, site=ZONE
    )
    service["guess_s"] = 0.0
    if not await region.submit(service):
        return 2
    if not await region.until(lambda: region.jobs["j-000001"]["on"], 20.0):
        return 2
    machine = next(iter(region.jobs["j-000001"]["on"].values()))
    if not await region.crowd(SOUND, [z for z in region.s["zones"] if z != ZONE]):
        return 2
    refs = ["j-000002", "j-000003", "j-000004"]
    for ref in refs:
        job = region.spec(ref, site=ZONE, rank="standard", cpus=2.0, gpus=0.0, ram_gb=8.0)
        if not await region.submit(job, run_s=0.3, mistake=trouble):
            return 2
    await asyncio.sleep(3.0)
    for ref in refs:
        if await region.abort(ref) is None:
            return 2
    region.say("the users have cancelled the jobs with a mistake; the sound job is submitted")
    waiting = "j-000005"
    sound = region.spec(waiting, site=ZONE, rank="standard", cpus=5.0)
    if not await region.submit(sound, run_s=5.0):
        return 2
    accepted = kh.now()
    while kh.now() - accepted < WAIT_S + 1.0:
        await region.poll(waiting)
        if any(f" start host={machine.name} task={waiting}/0" in line for line in region.lines):
            region.say(f"the job started after {kh.now() - accepted:.1f} s")
            return 0
        if machine.dead or machine.session != 1:
            region.say("the machine did not stay up")
            return 2
        room = {"cpus": 48.0, "gpus": 8.0, "ram_gb": 384.0}
        for task in machine.tasks:
            if task.state != "ended":
                for field in room:
                    room[field] -= region.jobs[task.job]["spec"][field]
        region.record("room", host=machine.name, **room)
        if any(room[field] < sound[field] for field in room):
            return 2
        await asyncio.sleep(max(0.1, min(5.0, accepted + WAIT_S + 1.0 - kh.now())))
    region.violate("waits_beside_room", job=waiting, host=machine.name, seconds=WAIT_S)
    return 1


sys.exit(kh.main(HERE, case, limit=118.0))
