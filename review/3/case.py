"""One user submits a body of 64 KiB that is no CBOR, and repeats it as the pages say."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from region import Region, main  # noqa: E402

# Each byte 0x7f begins a text in chunks. No chunk may be such a text again, and none of them ends,
# so this is not CBOR. It is as long as a request body may be.
NOT_CBOR = b"\x7f" * (64 * 1024)
BACK_S = 5.0  # The platform starts a controller again so long after its end.
RETRY_FOR_S = 20.0  # The pages allow up to 60 s.


async def case(record, trouble):
    region = Region(record)
    ends = []

    async def keep_up(node):
        while True:
            await asyncio.sleep(0.1)
            if region.processes[node].poll() is not None:
                ends.append((node, region.processes[node].returncode))
                record(f"node{node} has ended by itself, exit status", ends[-1][1])
                await asyncio.sleep(BACK_S)
                region.launch(node)

    try:
        await region.start()
        if not await region.launch_all():
            return None
        if (await region.user(0, "POST", "/v2/runs", region.job("j-000001", 2.0)) or [0])[0] != 201:
            return None
        await asyncio.sleep(5.0)
        if region.ended():
            return None
        for node in range(region.count):
            asyncio.ensure_future(keep_up(node))

        async def sound_user():
            n = 1
            while True:
                n += 1
                body = region.job(f"j-{n:06d}", 1.0)
                answer = await region.ask(n, "POST", "/v2/runs", body)
                record("sound user submits", body["ref"], f"at node{n % 3}", "->", answer)
                await asyncio.sleep(1.0)

        asyncio.ensure_future(sound_user())
        began, node, status = record.now(), 0, None
        while record.now() - began < RETRY_FOR_S:
            if trouble:
                answer = await region.ask_raw(node, "/v2/runs", NOT_CBOR)
                record(f"user submits 65536 bytes 0x7f at node{node} ->", answer)
                status = answer[0] if answer else None
                if status == 400:  # "Not retried"
                    break
            node = (node + 1) % region.count
            await asyncio.sleep(1.0)
        await asyncio.sleep(5.0)
        record("controllers that ended by themselves:", ends)
        return not ends
    finally:
        region.close()


main(case, os.path.join(HERE, "record.txt"))
