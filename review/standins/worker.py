"""Stand-in of a worker, by "Running tasks" of PROTOCOL.md.

The spec of a task is a JSON text: runMs (how long the task works) and fails
(each run of the task ends "failed" through its own fault); or, for a task that
lasts, failsMs: the shortest and the longest time after which a run fails."""
import asyncio
import json
import random
import time

from . import http

MAX_LEASE_MS = 10000  # holdMaxMs
STOP_MS = 300         # a stop takes at most stopGraceMs, 900
BEAT_S = 1.5          # heartbeatMs
STARTUP_MS = 300      # of a task that lasts


class Run:
    def __init__(self, number, spec, now):
        self.number = number
        self.spec = json.loads(spec)
        self.started = now
        self.stop_at = None
        self.fails_at = None
        if "failsMs" in self.spec:
            self.fails_at = now + random.uniform(*self.spec["failsMs"])

    def percent(self, now):
        if self.fails_at is not None:  # at work after a short startup
            return 100 if now - self.started >= STARTUP_MS else 0
        return min(99, int(100 * (now - self.started) / self.spec["runMs"]))


class Worker:
    """One worker of a service, beside one agent."""

    def __init__(self, ident, address, agent, zone, rack, service, capacity,
                 seen):
        self.ident, self.address, self.agent = ident, address, agent
        self.zone, self.rack, self.service = zone, rack, service
        self.capacity = capacity
        self.seen = seen  # seen(what, worker, task, run, how)
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.beat_seq = 0
        self.fence = 0
        self.lease = 0
        self.runs = {}     # task -> Run
        self.highest = {}  # task -> highest run stopped or ended here
        self.ends = []     # [N, task, run, how, saved]
        self.last_end = 0
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def start(self):
        self.server = await http.serve(self.address, self.handle)
        self.tasks = [asyncio.create_task(self.beats()),
                      asyncio.create_task(self.work())]

    async def beats(self):
        while True:
            self.beat_seq += 1
            body = json.dumps({
                "service": self.service, "addr": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": self.capacity,
                "labels": ["a", self.rack], "clockMs": self.clock(),
                "born": self.born, "seq": self.beat_seq}).encode()
            await http.call(self.agent, "PUT",
                            "/pomelokeel/instances/" + self.ident, body,
                            timeout_s=1.0)
            await asyncio.sleep(BEAT_S)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.seen("end", self.ident, task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.clock()
            for task, run in list(self.runs.items()):
                if now >= self.lease:
                    self.end(task, "lapsed")
                elif run.stop_at is not None and now >= run.stop_at:
                    self.end(task, "stopped")
                elif run.fails_at is not None:
                    if now >= run.fails_at:
                        self.end(task, "failed")
                elif now - run.started >= run.spec["runMs"]:
                    self.end(task, "failed" if run.spec.get("fails")
                             else "done")

    def reply(self, status, reason=None):
        out = {"clockMs": self.clock(), "born": self.born}
        if reason:
            out["reason"] = reason
        return status, json.dumps(out).encode(), "application/json"

    async def handle(self, r):
        if r.headers.get("x-expect-instance", self.ident) != self.ident:
            return 421, b"{}", "application/json"
        j = json.loads(r.body)
        if j.get("fence", 0) < self.fence:
            return self.reply(409, "fence")
        self.fence = j.get("fence", 0)
        if r.path.endswith("/run-start"):
            return self.run_start(j)
        if r.path.endswith("/run-stop"):
            return self.run_stop(j)
        if r.path.endswith("/hold"):
            return await self.hold(j)
        return 404, b"{}", "application/json"

    def extend(self, deadline):
        self.lease = max(self.lease,
                         min(deadline, self.clock() + MAX_LEASE_MS))

    def run_start(self, j):
        task, number = j["task"], j["run"]
        now = self.clock()
        known = self.runs.get(task)
        self.extend(j["deadlineMs"])
        if known is not None and known.number == number:
            return self.reply(200)
        if known is not None or number <= self.highest.get(task, 0):
            return self.reply(409, "old")
        if j["deadlineMs"] <= now:
            return self.reply(409, "late")
        self.runs[task] = Run(number, j["spec"], now)
        self.seen("start", self.ident, task, number, "")
        return self.reply(200)

    def run_stop(self, j):
        task, number = j["task"], j["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = self.clock() + STOP_MS
            self.seen("stop", self.ident, task, run.number,
                      f"at {run.percent(self.clock())} percent")
        return self.reply(200)

    async def hold(self, j):
        if "deadlineMs" in j:
            self.extend(j["deadlineMs"])
        self.ends = [e for e in self.ends if e[0] > j["lastSeen"]]
        until = time.monotonic() + min(j.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        out = {"clockMs": now, "born": self.born,
               "running": [[t, run.number, "", run.percent(now), 0]
                           for t, run in self.runs.items()],
               "ended": self.ends[:500]}
        return 200, json.dumps(out).encode(), "application/json"
