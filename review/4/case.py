"""One hopeless job makes the whole fleet refuse work."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import fleet as f  # noqa: E402

FINISH_S = 14   # finish_s
IDLE_S = 3      # "for 3 s, a job has nothing running"


async def case(fleet, trouble):
    jobs = []

    async def booking(tenant, count, run_ms, fails=False):
        ident, ok = await fleet.submit(
            "booking", tenant,
            {"runMs": run_ms, "cpu": 11000, "fails": fails},
            [{"count": count, "cpu": 11000, "memMb": 29000, "gpu": 1,
              "estMs": run_ms}])
        if ok and not fails:
            jobs.append((tenant, ident))

    # The last one of 16 jobs of the queue within 3 s can never be done: each
    # run of its 55 tasks fails through the task's own fault.
    calls = []
    for i in range(15):
        calls.append(asyncio.create_task(booking("tenant-a", 1, 400)))
        await asyncio.sleep(0.15)
    await asyncio.sleep(0.6)
    await booking("tenant-a", 55, 4000, trouble)
    hopeless_at = fleet.now()
    await asyncio.gather(*calls)
    # Another tenant's clerks submit small jobs for some seconds.
    await asyncio.sleep(1.0)
    while fleet.now() - hopeless_at < 6.0:
        await booking("tenant-b", 2, 2000)
        await asyncio.sleep(0.9)
    fleet.note(f"end of traffic: {len(jobs)} jobs accepted that can be done")
    # finish_s later the jobs are asked for. A job that is not done and has
    # nothing running for 3 s, while the service is nearly idle, is lost.
    await asyncio.sleep(FINISH_S)
    asked = fleet.now()
    share = fleet.used_share()
    await asyncio.sleep(IDLE_S + 0.2)
    share = max(share, fleet.used_share())
    until = fleet.now()
    lost = 0
    for tenant, ident in jobs:
        state = await fleet.state("booking", tenant, ident)
        idle = fleet.longest_idle(ident, asked, until)
        if state != "done" and idle >= IDLE_S and share < 0.5:
            lost += 1
            fleet.note(f"LOST booking/{ident} of {tenant}: state={state}, "
                       f"nothing running for {idle:.1f} s, {share:.2f} of the "
                       f"capacity in use at most")
    fleet.note(f"{len(jobs)} accepted, {lost} lost")
    return f.BROKEN if lost else f.HELD

f.main(HERE, case, workers=6)
