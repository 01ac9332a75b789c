"""A small deployment for the scripts of this review.

It starts the project's programs with the commands and templates of deploy/,
and plays the platform's store, the workers and the clients as the users' pages
describe them. Only the standard library is used. All addresses are loopback
addresses with free ports; files lie in a temporary folder.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 6,
    "lossSlackMs": 200, "configApplyMs": 2500, "recoverS": 12,
    "holdMaxMs": 10000, "stopGraceMs": 900, "gangTimeoutMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "reclaimMs": 3400,
}


taken_ports = set()


def free_port():
    """A free port below those that the system gives to connections."""
    while True:
        port = random.randrange(15000, 30000)
        if port in taken_ports:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


def free_address():
    return "127.0.0.1:%d" % free_port()


# ---------------------------------------------------------------- templates

def lookup(names, path):
    for part in path.split("."):
        if isinstance(names, list):
            names = names[int(part)] if int(part) < len(names) else None
        elif isinstance(names, dict):
            names = names.get(part)
        else:
            return None
    return names


def render(text, names):
    """Fills in a settings template as the page on deployment tells."""
    def section(m):
        value = lookup(names, m.group(2))
        shown = bool(value) == (m.group(1) == "#")
        return m.group(3) if shown else ""
    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)

    def value(m):
        found = lookup(names, m.group(1))
        if m.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def role(name):
    """The command line and the template of a role in deploy/system.toml."""
    text = open(os.path.join(ROOT, "deploy", "system.toml")).read()
    part = text.split("[roles.%s]" % name)[1].split("[roles.")[0]
    run = re.search(r'^run = "(.*)"', part, re.M).group(1)
    template = re.search(r'^template = "(.*)"', part, re.M).group(1)
    return run.split(), open(os.path.join(ROOT, template)).read()


# --------------------------------------------------------------------- HTTP

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = {}
        for pair in query.split("&"):
            name, _, text = pair.partition("=")
            self.query[name] = re.sub(
                "%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), text)


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, _, text = line.partition(":")
            headers[name.strip().lower()] = text.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


def encode_response(status, body, kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return ("HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
            % (status, kind, len(body))).encode() + body


class Silent(Exception):
    """The call gets no answer, and its connection nothing further."""


class Reset(Exception):
    """The connection of the call is reset."""


async def serve(handler):
    """Serves HTTP. The handler returns the encoded response."""
    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                writer.write(answer)
                await writer.drain()
        except Silent:
            try:
                while await reader.read(65536):
                    pass
            except OSError:
                pass
        except Reset:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except RuntimeError:  # The script ends.
                pass
    server = await asyncio.start_server(connection, "127.0.0.1", free_port(),
                                        limit=1 << 22, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """Returns the status and the body; None if no answer came in time."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port),
                                                           limit=1 << 24)
            data = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            head = ["%s %s HTTP/1.1" % (method, target)]
            fields = {"Host": address, "Connection": "close",
                      "Content-Length": str(len(data))}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            head += ["%s: %s" % f for f in fields.items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + data)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError,
            ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# -------------------------------------------------------------------- store

class Topic:
    def __init__(self):
        self.records = []   # Raw contents.
        self.newest = {}    # key -> (value, offset)
        self.producers = {}
        self.changed = asyncio.Event()


class Group:
    def __init__(self):
        self.members = {}   # member -> [expiry, ttl, topics, generation]
        self.owners = {}    # (topic, part) -> member
        self.generation = 0


class Store:
    """The platform's log service. Each machine has an address of its own, so
    that the store can turn one machine away and serve the others."""
    PARTS = 16
    RECORD_BYTES = 262144
    CALL_BYTES = 2097152
    PAGE_ITEMS = 500
    PAGE_BYTES = 1000000   # Of the values, before their coding as text.
    APPEND_S = 0.003

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.away = {}          # machine -> "busy", "silent" or "reset"
        self.addresses = {}
        self.servers = []
        self.bytes_per_s = {}   # machine -> rate of its link, or none
        self.on_append = None   # (machine, topic, records) -> None or "lose"
        self.on_refused = None  # (machine, text) for an append over a limit

    async def open_for(self, machine):
        async def handler(request):
            return await self.handle(machine, request)
        server, port = await serve(handler)
        self.servers.append(server)
        self.addresses[machine] = "127.0.0.1:%d" % port
        return self.addresses[machine]

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def check(self, machine):
        how = self.away.get(machine)
        if how == "silent":
            raise Silent()
        if how == "reset":
            raise Reset()
        return how == "busy"

    async def handle(self, machine, r):
        if self.check(machine):
            return encode_response(503, {})
        await asyncio.sleep(0.001)
        name = r.path.rsplit("/", 1)[1]
        if name == "log-append":
            answer = await self.append(machine, r)
        elif name == "log-read":
            answer = await self.read(machine, r)
        elif name == "log-newest":
            answer = self.page(r)
        elif name in ("log-join", "log-leave", "log-owners"):
            answer = self.group(name, r)
        else:
            answer = encode_response(404, {})
        # What was asked before the store turned the machine away gets no
        # answer either.
        if self.check(machine):
            return encode_response(503, {})
        rate = self.bytes_per_s.get(machine)
        if rate:
            await asyncio.sleep(len(answer) / rate)
        return answer

    def put(self, topic, key, value):
        self.add(self.topic(topic), bytes([len(key)]) + key.encode() + value)

    def add(self, t, raw):
        key = raw[1:1 + raw[0]].decode()
        value = raw[1 + raw[0]:]
        if value:
            t.newest[key] = (value, len(t.records))
        else:
            t.newest.pop(key, None)
        t.records.append(raw)
        changed, t.changed = t.changed, asyncio.Event()
        changed.set()

    async def append(self, machine, r):
        await asyncio.sleep(self.APPEND_S)
        t = self.topic(r.query["topic"])
        end = len(t.records)
        records, at = [], 0
        while at < len(r.body):
            size = struct.unpack(">I", r.body[at:at + 4])[0]
            records.append(r.body[at + 4:at + 4 + size])
            at += 4 + size
        largest, total = max(map(len, records), default=0), len(r.body)
        if largest > self.RECORD_BYTES or total > self.CALL_BYTES:
            if self.on_refused:
                self.on_refused(machine, "the largest of %d records has %d "
                                "bytes, the call %d"
                                % (len(records), largest, total))
            return encode_response(400, {})
        if r.query.get("at", "") != "" and int(r.query["at"]) != end:
            return encode_response(412, {"end": end})
        if r.query.get("producer"):
            epoch, seq = int(r.query["epoch"]), int(r.query["seq"])
            p = t.producers.setdefault(r.query["producer"],
                                       {"epoch": -1, "seq": None, "last": {}})
            if epoch < p["epoch"]:
                return encode_response(409, {"reason": "fenced"})
            if epoch > p["epoch"]:
                p.update(epoch=epoch, seq=None, last={})
            if not records:
                return encode_response(200, {"offset": end, "end": end})
            if seq in p["last"]:
                return encode_response(200, p["last"][seq])
            if p["seq"] is not None and seq != p["seq"] + 1:
                return encode_response(
                    409, {"reason": "seq", "seq": p["seq"] + 1})
            p["seq"] = seq
        lose = self.on_append and self.on_append(machine, r.query["topic"],
                                                 records)
        for raw in records:
            self.add(t, raw)
        answer = {"offset": end, "end": len(t.records)}
        if r.query.get("producer"):
            p["last"][seq] = answer
            for old in sorted(p["last"])[:-5]:
                del p["last"][old]
        if lose == "lose":
            raise Silent()
        return encode_response(200, answer)

    async def read(self, machine, r):
        t = self.topic(r.query["topic"])
        start = int(r.query.get("from", "0"))
        until = time.monotonic() + int(r.query.get("waitMs", "0")) / 1000
        while len(t.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(t.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(t.records), 0)
        size = 0
        for raw in t.records[start:]:
            size += len(raw) + 4
            if size > (1 << 20) and len(out) > 16:
                break
            out += struct.pack(">I", len(raw)) + raw
        return encode_response(200, out, "application/octet-stream")

    def page(self, r):
        t = self.topic(r.query["topic"])
        keys = sorted(k for k in t.newest if k > r.query.get("after", ""))
        items, size = [], 0
        for key in keys:
            value, offset = t.newest[key]
            if len(items) >= self.PAGE_ITEMS or \
                    (items and size + len(value) > self.PAGE_BYTES):
                break
            size += len(value)
            items.append({"key": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return encode_response(200, {"items": items,
                                     "hasMore": len(items) < len(keys),
                                     "end": len(t.records)})

    def group(self, name, r):
        if name == "log-owners":
            g = self.groups.setdefault(r.query["group"], Group())
            self.expire(g)
            return encode_response(200, [[t, p, m, 0] for (t, p), m
                                         in sorted(g.owners.items())])
        body = json.loads(r.body)
        g = self.groups.setdefault(body["group"], Group())
        self.expire(g)
        member = body["member"]
        if name == "log-leave":
            self.drop(g, member)
            return encode_response(200, {})
        joined = member not in g.members
        g.generation += 1 if joined else 0
        ttl = body["ttlMs"] / 1000
        g.members[member] = [time.monotonic() + ttl, body["topics"]]
        gained = self.assign(g, member, body.get("generation", 0))
        g.generation += 1 if gained and not joined else 0
        return encode_response(200, {
            "generation": g.generation, "ttlMs": body["ttlMs"],
            "parts": [[t, p, 0] for (t, p), m in sorted(g.owners.items())
                      if m == member]})

    def drop(self, g, member):
        if g.members.pop(member, None) is None:
            return
        g.generation += 1
        for part in [p for p, m in g.owners.items() if m == member]:
            del g.owners[part]

    def expire(self, g):
        for member in [m for m, (until, _) in g.members.items()
                       if until < time.monotonic()]:
            self.drop(g, member)
            # Partitions that are free go to the others at once.
            for other in g.members:
                self.assign(g, other, -1)

    def assign(self, g, member, generation):
        """Gives up what the others wait for, takes what is free."""
        names = sorted(g.members)
        gained = False
        for topic in g.members[member][1]:
            for part in range(self.PARTS):
                target = names[part % len(names)]
                owner = g.owners.get((topic, part))
                if owner == member and target != member \
                        and generation >= g.generation:
                    del g.owners[(topic, part)]
                    owner = None
                if owner is None and target == member:
                    g.owners[(topic, part)] = member
                    gained = True
        return gained


# ------------------------------------------------------------------- worker

class Worker:
    """A worker that does not check its capacity. The text of a job's spec is
    JSON with the run time `ms` of its tasks."""
    CPU, MEM, GPU = 128000, 262144, 8

    def __init__(self, name, record, zone, rack):
        self.name, self.record, self.zone, self.rack = name, record, zone, rack
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.runs, self.highest, self.ends = {}, {}, []
        self.number = self.fence = self.seq = 0
        self.lease_end = 0
        self.wake = asyncio.Event()
        self.agent = None
        self.address = None
        self.late_s = {}            # task -> its starts get no answer, and are
                                    # carried out so many seconds late.
        self.orders = 0             # Start and stop orders that arrived.
        self.state = "ready"
        self.drain_acked = None     # When an agent acknowledged "draining".
        self.on_start = None        # Called when a start order arrives.
        self.left = False

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def open(self):
        server, port = await serve(self.handle)
        self.address = "127.0.0.1:%d" % port
        return server

    def reply(self, status, **more):
        return encode_response(status, dict(clockMs=self.clock(), **more))

    async def handle(self, r):
        body = json.loads(r.body or b"{}")
        if self.on_start and r.path.endswith("/run-start"):
            self.on_start(self, body)
        if self.left:
            raise Reset()
        if r.headers.get("x-expect-instance", self.name) != self.name:
            return encode_response(421, {})
        name = r.path.rsplit("/", 1)[1]
        self.orders += name != "hold"
        if name == "run-start" and body["task"] in self.late_s:
            self.record("worker %s does not answer the start of %s"
                        % (self.name, body["task"]))
            asyncio.ensure_future(
                self.carry_out_late(body, self.late_s[body["task"]]))
            raise Silent()
        return await self.carry_out(name, body)

    async def carry_out_late(self, body, after_s):
        await asyncio.sleep(after_s)
        if not self.left:
            self.record("worker %s carries out a start of %s late"
                        % (self.name, body["task"]))
            await self.carry_out("run-start", body)

    async def carry_out(self, name, body):
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.reply(409, reason="fence")
        self.fence = fence
        if "deadlineMs" in body:
            limit = self.clock() + BOUNDS["holdMaxMs"]
            self.lease_end = max(self.lease_end, min(body["deadlineMs"], limit))
        if name == "run-start":
            return self.start(body)
        if name == "run-stop":
            return self.stop(body)
        return await self.hold(body)

    def start(self, body):
        task, run = body["task"], body["run"]
        if task in self.runs and self.runs[task]["run"] == run:
            return self.reply(200)
        if task in self.runs or self.highest.get(task, 0) >= run:
            return self.reply(409, reason="old")
        if body["deadlineMs"] <= self.clock():
            return self.reply(409, reason="late")
        ms = json.loads(body["spec"])["ms"]
        self.runs[task] = {"run": run, "from": self.clock(), "ms": ms,
                           "stop": None}
        self.record("worker %s starts %s run %d" % (self.name, task, run))
        return self.reply(200)

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        r = self.runs.get(task)
        if r and r["run"] <= run and r["stop"] is None:
            r["stop"] = self.clock() + 300
        return self.reply(200)

    async def hold(self, body):
        seen = body.get("lastSeen", 0)
        self.ends = [e for e in self.ends if e[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.wake.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[t, r["run"], "",
                    min(99, 100 * (self.clock() - r["from"]) // max(r["ms"], 1)),
                    0] for t, r in self.runs.items()]
        return self.reply(200, born=self.born, running=running,
                          ended=self.ends[:500])

    def tick(self):
        now = self.clock()
        for task, r in list(self.runs.items()):
            if now >= self.lease_end:
                how = "lapsed"
            elif r["stop"] is not None and now >= r["stop"]:
                how = "stopped"
            elif now - r["from"] >= r["ms"]:
                how = "done"
            else:
                continue
            del self.runs[task]
            self.highest[task] = max(self.highest.get(task, 0), r["run"])
            self.number += 1
            self.ends.append([self.number, task, r["run"], how, ""])
            self.record("worker %s ends %s run %d: %s"
                        % (self.name, task, r["run"], how))
            wake, self.wake = self.wake, asyncio.Event()
            wake.set()

    async def live(self):
        beat = 0
        while not self.left:
            if time.monotonic() >= beat:
                beat = time.monotonic() + 1.5
                asyncio.ensure_future(self.heartbeat())
            self.tick()
            await asyncio.sleep(0.02)

    async def heartbeat(self):
        self.seq += 1
        state = self.state
        got = await call(self.agent, "PUT", "/pomelokeel/instances/" + self.name, {
            "service": "work", "addr": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
            "capacity": {"cpu": self.CPU, "memMb": self.MEM, "gpu": self.GPU},
            "labels": ["a", self.rack], "clockMs": self.clock(),
            "born": self.born, "seq": self.seq,
            **({"remainingMs": BOUNDS["drainMs"]} if state == "draining"
               else {})}, timeout=1.0)
        if state == "draining" and got and got[0] == 200 \
                and self.drain_acked is None:
            self.drain_acked = time.monotonic()
            self.record("the agent acknowledges that %s is draining"
                        % self.name)

    async def leave(self):
        """Ends, with all that it runs."""
        self.record("worker %s leaves, with %d runs"
                    % (self.name, len(self.runs)))
        await call(self.agent, "DELETE", "/pomelokeel/instances/" + self.name,
                   timeout=1.0)
        self.left = True
        for task in self.runs:
            self.record("%s ends with its worker" % task)
        self.runs = {}


# --------------------------------------------------------------- deployment

class Process:
    def __init__(self, lab, name, kind, settings):
        self.lab, self.name, self.kind = lab, name, kind
        self.command, template = role(kind)
        self.settings = settings
        self.file = os.path.join(lab.folder, name + ".json")
        with open(self.file, "w") as out:
            out.write(render(template, settings))
        self.child = None

    def start(self):
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.child = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": self.lab.folder, "POMELOKEEL_SETTINGS": self.file})
        log.close()

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def log(self):
        with open(os.path.join(self.lab.folder, self.name + ".log"),
                  errors="replace") as text:
            return text.read()


class Lab:
    """Entries, agents with their workers, and the store."""

    def __init__(self, here):
        self.folder = tempfile.mkdtemp(prefix="pomelokeel-review-")
        self.out = open(os.path.join(here, "record.txt"), "w")
        self.began = time.monotonic()
        self.store = Store(self.record)
        self.entries, self.agents, self.workers = [], [], []
        self.tasks = []
        self.version = 0
        self.accepted, self.refused = {}, {}
        self.limits = {"memoryMb": 260, "cpuShare": 0.25}  # Of an entry.

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.out.write("%8.3f %s\n" % (self.now(), text))
        self.out.flush()

    def settings(self, name, zone, store, link):
        return {"nodeName": name, "zone": zone, "ip": "127.0.0.1",
                "platform": {"addr": store}, "bounds": dict(BOUNDS),
                "internalPorts": [free_port(), 0], "limits": link}

    async def add_entry(self, name, zone):
        s = self.settings(name, zone, await self.store.open_for(name),
                          dict(self.limits))
        s["listen"] = {"front": free_address(), "ready": free_address()}
        p = Process(self, name, "entry", s)
        p.front = s["listen"]["front"]
        self.entries.append(p)
        return p

    async def add_agent(self, name, zone, rack, worker=None):
        w = Worker(worker or "i-" + name, self.record, zone, rack)
        await w.open()
        s = self.settings(name, zone, await self.store.open_for(name),
                          {"memoryMb": 128, "cpuShare": 0.15})
        s["listen"] = {"control": free_address()}
        s["app"] = w.address
        w.agent = s["listen"]["control"]
        p = Process(self, name, "agent", s)
        self.agents.append(p)
        self.workers.append(w)
        self.tasks.append(asyncio.ensure_future(w.live()))
        return p

    def configure(self):
        self.version += 7
        self.store.put("keyed.op", "config", json.dumps({
            "version": self.version,
            "routes": [{"name": "r-1", "host": "jobs.example",
                        "pathPrefix": "/queue/", "kind": "non_idempotent",
                        "timeoutMs": 3000, "sloMs": 3000, "priority": 1,
                        "service": "work", "attempts": 3, "stretch": 3.0,
                        "public": False}],
            "services": [{"name": "work", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "t-1", "apiKeys": ["key-1"], "priority": 1,
                         "guaranteed": {"gpu": 8}}]}).encode())

    def start(self):
        for p in self.entries + self.agents:
            p.start()

    def entry(self, name):
        return next(p for p in self.entries if p.name == name)

    def leader(self):
        """The entry that the newest leader record names."""
        found = self.store.topic("keyed.leaders").newest.get("leader")
        return json.loads(found[0])["name"] if found else ""

    def all_started(self):
        """False if a program could not start, for example because another
        program has taken its port meanwhile."""
        failed = [p.name for p in self.entries + self.agents
                  if p.child.poll() is not None]
        for name in failed:
            self.record("%s did not start" % name)
        return not failed

    async def ask(self, entry, method, job="", body=None, timeout=3.0):
        return await call(entry.front, method, "/queue/" + job, body,
                          {"Host": "jobs.example",
                           "Authorization": "Bearer key-1",
                           "X-Deadline-Ms": str(int(timeout * 1000))},
                          timeout)

    async def submit(self, job, body):
        """Hands a job in as the clients do: after no answer, 502 or 504 the
        same request goes to another entry, up to four times."""
        for attempt in range(5):
            entry = random.choice([e for e in self.entries
                                   if e.child.poll() is None] or self.entries)
            self.record("client sends %s to %s" % (job, entry.name))
            got = await self.ask(entry, "POST", job, body)
            status = got[0] if got else "no answer"
            self.record("client gets %s for %s" % (status, job))
            if status == 200:
                self.accepted[job] = self.now()
                return
            if status not in ("no answer", 502, 504):
                self.refused[job] = status
                return

    async def state(self, job, timeout=3.0):
        """The state of a job, from any entry that shows one."""
        for entry in random.sample(self.entries, len(self.entries)):
            got = await self.ask(entry, "GET", job, timeout=timeout)
            if got and got[0] == 200:
                return json.loads(got[1])["state"]
            if got and got[0] == 410:
                return "gone"
        return None

    def close(self):
        for p in self.entries + self.agents:
            p.signal(signal.SIGCONT)
            p.signal(signal.SIGKILL)
        for p in self.entries + self.agents:
            if p.child is not None:
                p.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def main(case, here):
    """Runs a case. It returns True if the rule held, False if it was broken,
    None if the case could not run."""
    lab = Lab(here)

    async def run():
        # Connections that the end of the script cuts off are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            return await asyncio.wait_for(case(lab), 115)
        finally:
            for t in lab.tasks:
                t.cancel()
    held = None
    try:
        held = asyncio.run(run())
    except Exception as e:  # The case could not run.
        lab.record("could not run: %r" % e)
    finally:
        lab.record({True: "the rule held", False: "the rule was broken",
                    None: "the case could not run"}[held])
        lab.close()
    return {True: 0, False: 1, None: 2}[held]
