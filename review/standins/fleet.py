"""A small deployment: the project's own programs as processes, started as the
deploy file says, with stand-ins of the store, the workers and the clients.
Sizes and bounds are those of the site marea-tickets."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from . import http
from .store import Store
from .worker import Worker

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = os.environ.get("POMELOKEEL",
                         os.path.join(ROOT, "target", "pomelokeel"))
HELD, BROKEN, NOT_RUN = 0, 1, 2
BOUNDS = {"leaseMaxMs": 10000, "stopGraceMs": 900, "gangTimeoutMs": 3000,
          "graceS": 6, "statusS": 120, "configApplyMs": 2500}
CAPACITY = {"cpu": 128000, "memMb": 262144, "gpu": 8}
HOST = "jobs.example"
SERVICE = "core"
# name, path prefix, priority, attempts: the site's kinds of request.
QUEUES = [("forecast", "/forecast/", 1, 3), ("slotmap", "/slotmap/", 0, 3),
          ("booking", "/booking/", 2, 2)]
TENANTS = {"tenant-a": "key-a", "tenant-b": "key-b"}
ZONES = ("pacifico-puntarenas", "caribe-limon", "pacifico-guanacaste")


def reserve_ports(count):
    """Free ports below those that the kernel gives to outgoing connections."""
    out = []
    while len(out) < count:
        port = random.randrange(11000, 31000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        address = f"127.0.0.1:{port}"
        if address not in out:
            out.append(address)
    return out


def config(version=10):
    routes = [{"name": n, "host": HOST, "pathPrefix": p, "service": SERVICE,
               "priority": prio, "attempts": a, "stretch": 3.0, "sloMs": 3000,
               "timeoutMs": 3000} for n, p, prio, a in QUEUES]
    return {"version": version, "routes": routes,
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "tenants": [{"name": n, "apiKeys": [k], "guaranteed": {"gpu": 4}}
                        for n, k in TENANTS.items()],
            "limits": {"maxBodyBytes": 262144}}


class Start:
    """A run, as its worker has seen it."""

    def __init__(self, worker, run, at):
        self.worker, self.run, self.at = worker, run, at
        self.end, self.how = None, None


class Fleet:
    def __init__(self, folder, entries=3, workers=11):
        self.zero = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temp = tempfile.mkdtemp(prefix="pomelokeel-review-")
        self.processes = {}  # name -> Popen
        self.commands = {}
        self.runs = {}       # task -> [Start]
        self.accepted = {}   # job id -> time of the 2xx
        self.count = {"entries": entries, "workers": workers}

    def now(self):
        return time.monotonic() - self.zero

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def seen(self, what, worker, task, run, how):
        self.note(f"{worker} {what} {task} run={run} {how}".rstrip())
        if what == "start":
            self.runs.setdefault(task, []).append(
                Start(worker, run, self.now()))
        elif what == "end":
            for s in self.runs[task]:
                if s.worker == worker and s.run == run and s.end is None:
                    s.end, s.how = self.now(), how

    def settings(self, name, values):
        path = os.path.join(self.temp, name + ".json")
        with open(path, "w") as f:
            json.dump(values, f)
        return path

    def launch(self, name):
        command, settings = self.commands[name]
        log = open(os.path.join(self.temp, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "POMELOKEEL_SETTINGS": settings})
        self.note(f"started {name}")

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise FileNotFoundError(PROGRAM)
        e, w = self.count["entries"], self.count["workers"]
        ports = reserve_ports(1 + 3 * e + 3 * w)
        self.store = Store(self.note)
        store = ports.pop()
        await self.store.start(store)
        self.store.put("keyed.op", "config", json.dumps(config()).encode())
        self.entries = []
        for i in range(e):
            zone = ZONES[i % 3]
            name = f"front-{zone}-{i // 3 + 1}"
            control, caller, ready = (ports.pop() for _ in range(3))
            self.entries.append(caller)
            path = self.settings(name, {
                "name": name, "dataCentre": zone,
                "store": store, "controlListen": control,
                "callerListen": caller, "cores": 0.25, "readyListen": ready,
                "bounds": {**BOUNDS, "reclaimMs": 3400}})
            self.commands[name] = ([PROGRAM, "platform", "entry"], path)
        self.workers = []
        for i in range(w):
            zone = ZONES[i % 3]
            name = f"side-{zone}-{i // 3 + 1}"
            control, beat, app = (ports.pop() for _ in range(3))
            path = self.settings(name, {
                "name": name, "dataCentre": zone,
                "store": store, "controlListen": control,
                "workerListen": beat, "endpoint": app, "bounds": BOUNDS})
            self.commands[name] = ([PROGRAM, "platform", "agent"], path)
            self.workers.append(Worker(
                f"i-{i:08x}", app, beat, zone, f"r{i // 3}",
                SERVICE, CAPACITY, self.seen))
        for name in self.commands:
            self.launch(name)
        for worker in self.workers:
            await worker.start()
        # Traffic starts 10 s after the machines, when a client is served.
        for _ in range(12):
            await asyncio.sleep(0.5)
            self.check_alive()
        for _ in range(40):
            self.check_alive()
            got = await self.client("GET", 0, "/booking/", "tenant-a")
            if got == 200:
                return
            await asyncio.sleep(0.25)
        raise RuntimeError("no entry serves")

    def check_alive(self):
        for name, p in self.processes.items():
            if p.poll() is not None:
                raise RuntimeError(f"{name} has not started")

    async def client(self, method, entry, path, tenant, body=b"",
                     timeout_s=3.0):
        """One call of a client; returns the status, or None."""
        got = await http.call(
            self.entries[entry % len(self.entries)], method, path, body,
            {"Host": HOST, "Authorization": "Bearer " + TENANTS[tenant],
             "X-Deadline-Ms": str(int(timeout_s * 1000))}, timeout_s)
        self.last_body = got[2] if got else b""
        return got[0] if got else None

    async def submit(self, queue, tenant, spec, steps, **more):
        """Hands a job in, with up to 4 retries as the site's clients make
        them. Returns the id and whether a 2xx came."""
        ident = f"{random.getrandbits(64):016x}"
        body = json.dumps({"spec": json.dumps(spec), "steps": steps,
                           **more}).encode()
        entry = random.randrange(len(self.entries))
        for attempt in range(5):
            status = await self.client("POST", entry + attempt,
                                       f"/{queue}/{ident}", tenant, body)
            self.note(f"client POST /{queue}/{ident} {tenant} "
                      f"attempt={attempt} -> {status}")
            if status is not None and 200 <= status < 300:
                self.accepted[ident] = self.now()
                return ident, True
            await asyncio.sleep(1.0)
        return ident, False

    async def state(self, queue, tenant, ident):
        """The job's state as a client sees it, or the last status."""
        entry = random.randrange(len(self.entries))
        for attempt in range(3):
            status = await self.client("GET", entry + attempt,
                                       f"/{queue}/{ident}", tenant)
            if status == 200:
                return json.loads(self.last_body).get("state")
            if status == 410:
                break
        return status

    def job_runs(self, ident):
        return [s for task, all_runs in self.runs.items()
                if task.startswith(ident + ".") for s in all_runs]

    def longest_idle(self, ident, begin, end):
        """Longest time between begin and end in which no task of the job
        ran, as the workers have seen it."""
        spans = sorted((s.at, s.end if s.end is not None else end)
                       for s in self.job_runs(ident))
        at, longest = begin, 0.0
        for first, last in spans:
            if first > at:
                longest = max(longest, min(first, end) - at)
            at = max(at, last)
            if at >= end:
                break
        return max(longest, end - at) if at < end else longest

    def used_share(self):
        """Largest share of the service's capacity that is in use now."""
        return max(sum(json_need(r) for r in w.runs.values()) / 128000
                   for w in self.workers)

    def stop(self):
        for w in getattr(self, "workers", []):
            for t in getattr(w, "tasks", []):
                t.cancel()
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.terminate()
        until = time.monotonic() + 7
        for p in self.processes.values():
            try:
                p.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def json_need(run):
    return run.spec.get("cpu", 0)


def main(folder, case, **sizes):
    """Runs case(fleet, trouble) and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def go():
        for attempt in range(3):
            fleet = Fleet(folder, **sizes)
            try:
                fleet.note(f"trouble={int(trouble)}")
                try:
                    await fleet.start()
                except (OSError, RuntimeError) as e:
                    # Another program may have taken a port meanwhile.
                    fleet.note(f"cannot run: {e!r}")
                    continue
                result = await case(fleet, trouble)
                died = [n for n, p in fleet.processes.items()
                        if p.poll() is not None]
                if died:
                    fleet.note(f"ended by themselves: {died}")
                fleet.note(f"result={result}")
                return result
            finally:
                fleet.stop()
        return NOT_RUN

    sys.exit(asyncio.run(go()))
