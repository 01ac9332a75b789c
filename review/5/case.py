"""A job that its client gave up and cancelled is accepted afterwards by an
entry that was frozen, and runs."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import fleet as f  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402

FREEZE_S = 4.0
CANCEL_MS, STOP_GRACE_MS, CONTACT_MS = 3000, 900, 4000


async def case(fleet, trouble):
    names = [n for n in fleet.processes if n.startswith("front-")]
    broken = 0
    for entry in range(2):
        frozen = fleet.processes[names[entry]]
        ident = f"{random.getrandbits(64):016x}"
        path = f"/booking/{ident}"
        body = json.dumps({
            "spec": json.dumps({"runMs": 6000, "cpu": 11000}),
            "steps": [{"count": 2, "cpu": 11000, "memMb": 29000, "gpu": 1,
                       "estMs": 6000},
                      {"count": 1, "cpu": 11000, "memMb": 29000, "gpu": 1,
                       "estMs": 6000, "after": [0]}]}).encode()
        frozen_at = fleet.now()
        if trouble:
            frozen.send_signal(signal.SIGSTOP)
            fleet.note(f"froze {names[entry]}")
        await asyncio.sleep(0.2)
        # The client leaves before its deadline, and cancels at another entry.
        status = await fleet.client("POST", entry, path, "tenant-a", body,
                                    timeout_s=0.6)
        fleet.note(f"client POST {path} -> {status}")
        cancelled_at = None
        for attempt in range(8):
            status = await fleet.client("DELETE", entry + 1 + attempt % 2,
                                        path, "tenant-a")
            fleet.note(f"client DELETE {path} attempt={attempt} -> {status}")
            if status is not None and (200 <= status < 300 or status == 410):
                cancelled_at = fleet.now()
                break
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - fleet.now()))
        if trouble:
            frozen.send_signal(signal.SIGCONT)
            fleet.note(f"woke {names[entry]}")
        thawed_at = fleet.now()
        await asyncio.sleep(16)
        if cancelled_at is None:
            return f.NOT_RUN
        for s in fleet.job_runs(ident):
            last = s.end if s.end is not None else fleet.now()
            # A start later than cancelMs after the acknowledgement, by
            # machines that were not disturbed for contactMs.
            if s.at > max(cancelled_at + CANCEL_MS / 1000,
                          thawed_at + CONTACT_MS / 1000):
                broken += 1
                fleet.note(f"UNASKED a task of {ident} was started "
                           f"{s.at - cancelled_at:.1f} s after its "
                           f"cancelling was acknowledged")
            elif last > max(cancelled_at + (CANCEL_MS + STOP_GRACE_MS) / 1000,
                            thawed_at + CONTACT_MS / 1000):
                broken += 1
                fleet.note(f"UNASKED a task of {ident} ran until "
                           f"{last - cancelled_at:.1f} s after its "
                           f"cancelling was acknowledged")
        state = await fleet.state("booking", "tenant-a", ident)
        fleet.note(f"job {ident} is shown as {state}")
    return f.BROKEN if broken else f.HELD

f.main(HERE, case, workers=5)
