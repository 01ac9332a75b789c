"""Stand-ins for scripts of this review: the platform's store, workers, a
client and a TCP proxy whose open connections can go silent. All addresses are
loopback addresses. They follow PROTOCOL.md; where it is silent they behave
like a sound store, worker or client."""
import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join(ROOT, "target", "pomelokeel")

RECORD_BYTES = 262144
CALL_BYTES = 2097152


def free_port(ip="127.0.0.1"):
    """A free port outside the usual range of automatic ports, so that no
    connection takes it before the process that it is meant for has started."""
    while True:
        port = random.randrange(10240, 32768)
        with socket.socket() as s:
            try:
                s.bind((ip, port))
                return port
            except OSError:
                pass


def now_ms():
    return int(time.monotonic() * 1000)


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, data=None, raw=None):
        out = raw if raw is not None else json.dumps(data or {}).encode()
        head = ("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Content-Length: %d\r\n\r\n" % (status, len(out))).encode()
        self.wfile.write(head + out)
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def serve(handler_class, owner, ip="127.0.0.1", port=0):
    handler = type("H", (handler_class,), {"owner": owner})
    server = Server((ip, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, "%s:%d" % (ip, server.server_address[1])


class Topic:
    def __init__(self):
        self.records = []  # key, value, frame
        self.newest = {}   # key -> (value, offset)
        self.producers = {}  # producer -> [epoch, seq, {seq: answer}]
        self.lock = threading.Lock()  # One append at a time.


class Store:
    """The platform's store in form 'log'."""

    def __init__(self, append_ms=3, answer_ms=4, parts=16, record=None):
        self.append_ms, self.answer_ms, self.parts = append_ms, answer_ms, parts
        self.topics, self.groups = {}, {}
        self.cond = threading.Condition()
        self.record = record
        self.refused = 0  # Appends refused for their size.
        self.server, self.address = serve(StoreHandler, self)

    def topic(self, name):
        with self.cond:
            return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """A write of the operator. Returns when it is acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        k = key.encode()
        content = bytes([len(k)]) + k + data
        self._append(self.topic(topic), [(k.decode(), data, content)])

    def _append(self, t, items):
        with self.cond:
            first = len(t.records)
            for key, value, content in items:
                t.records.append(struct.pack(">I", len(content)) + content)
                if value:
                    t.newest[key] = (value, len(t.records) - 1)
                else:
                    t.newest.pop(key, None)
            self.cond.notify_all()
            return {"offset": first, "end": len(t.records)}

    @staticmethod
    def split(data):
        items, at = [], 0
        while at < len(data):
            if at + 4 > len(data):
                return None
            size = struct.unpack(">I", data[at:at + 4])[0]
            content = data[at + 4:at + 4 + size]
            if len(content) < size or size > RECORD_BYTES or size == 0:
                return None
            klen = content[0]
            if 1 + klen > size:
                return None
            items.append((content[1:1 + klen].decode("utf-8", "replace"),
                          content[1 + klen:], content))
            at += 4 + size
        return items

    def append(self, q, data):
        t = self.topic(q["topic"])
        items = self.split(data)
        if items is None or len(data) - 4 * len(items or []) > CALL_BYTES:
            self.refused += 1
            if self.record and self.refused in (1, 10, 100):
                self.record("the store refuses an append of %d bytes in one "
                            "call, refusal %d" % (len(data), self.refused))
            return 400, {"reason": "size"}
        with t.lock:
            time.sleep(self.append_ms / 1000)
            if "at" in q and int(q["at"]) != len(t.records):
                return 412, {"end": len(t.records)}
            if "producer" not in q:
                return 200, self._append(t, items)
            epoch, seq = int(q["epoch"]), int(q["seq"])
            p = t.producers.setdefault(q["producer"], [epoch, None, {}])
            if epoch < p[0]:
                return 409, {"reason": "fenced"}
            if epoch > p[0]:
                p[0], p[1], p[2] = epoch, None, {}
            if not items:
                return 200, {"offset": len(t.records), "end": len(t.records)}
            if seq in p[2]:
                return 200, p[2][seq]
            if p[1] is not None and seq != p[1] + 1:
                return 409, {"reason": "seq", "seq": p[1] + 1}
            p[1] = seq
            p[2][seq] = self._append(t, items)
            p[2].pop(seq - 5, None)
            return 200, p[2][seq]

    def read(self, q):
        t = self.topic(q["topic"])
        start, wait = int(q["from"]), int(q.get("waitMs", 0))
        limit = int(q.get("maxKb", 1024)) * 1024
        until = time.monotonic() + wait / 1000
        with self.cond:
            while len(t.records) <= start and time.monotonic() < until:
                self.cond.wait(until - time.monotonic())
            out, size = [], 0
            for frame in t.records[start:]:
                if out and size + len(frame) > limit:
                    break
                out.append(frame)
                size += len(frame)
            return struct.pack(">QQ", len(t.records), 0) + b"".join(out)

    def read_newest(self, q):
        t = self.topic(q["topic"])
        items, size, more = [], 0, False
        with self.cond:
            for key in sorted(k for k in t.newest if k > q.get("after", "")):
                value, offset = t.newest[key]
                if items and (len(items) >= 500 or size + len(value) > 1000000):
                    more = True
                    break
                size += len(value)
                items.append({"key": key, "offset": offset,
                              "value": base64.b64encode(value).decode()})
            return {"items": items, "hasMore": more, "end": len(t.records)}

    def _group(self, name):
        g = self.groups.setdefault(name, {"gen": 0, "members": {}})
        now = time.monotonic()
        gone = [m for m, until in g["members"].items() if until < now]
        for m in gone:
            del g["members"][m]
        if gone:
            g["gen"] += 1
        return g

    def rows(self, g, topic="keyed.leaders"):
        names = sorted(g["members"])
        return [[topic, p, names[p % len(names)], 0]
                for p in range(self.parts)] if names else []

    def join(self, b):
        with self.cond:
            g = self._group(b["group"])
            if b["member"] not in g["members"]:
                g["gen"] += 1
            g["members"][b["member"]] = time.monotonic() + b["ttlMs"] / 1000
            mine = [[r[0], r[1], r[3]] for r in self.rows(g)
                    if r[2] == b["member"]]
            return {"generation": g["gen"], "ttlMs": b["ttlMs"], "parts": mine}

    def leave(self, b):
        with self.cond:
            g = self._group(b["group"])
            if g["members"].pop(b["member"], None) is not None:
                g["gen"] += 1
            return {}

    def owners(self, q):
        with self.cond:
            return {"owners": self.rows(self._group(q["group"]))}


class StoreHandler(Quiet):
    def query(self):
        parts = urlsplit(self.path)
        return parts.path, {k: v[0] for k, v in parse_qs(parts.query).items()}

    def do_GET(self):
        path, q = self.query()
        time.sleep(self.owner.answer_ms / 1000)
        if path == "/pomelokeel/log-read":
            return self.reply(200, raw=self.owner.read(q))
        if path == "/pomelokeel/log-newest":
            return self.reply(200, self.owner.read_newest(q))
        if path == "/pomelokeel/log-owners":
            return self.reply(200, self.owner.owners(q))
        self.reply(404)

    def do_POST(self):
        path, q = self.query()
        data = self.body()
        time.sleep(self.owner.answer_ms / 1000)
        if path == "/pomelokeel/log-append":
            return self.reply(*self.owner.append(q, data))
        b = json.loads(data)
        if path == "/pomelokeel/log-join":
            return self.reply(200, self.owner.join(b))
        if path == "/pomelokeel/log-leave":
            return self.reply(200, self.owner.leave(b))
        self.reply(404)


class Worker:
    """One life of a worker. A task's time stands in its spec: 'ms=N ...'."""

    def __init__(self, lab, number, agent, rack="r1-1", kind="a", cpu=128000,
                 mem=262144, gpu=8, service="svc", hold_max_ms=6000, ip="127.0.0.1",
                 port=0):
        self.lab, self.agent, self.service = lab, agent, service
        self.id = "i-%08x" % (0x7f3a9100 + number)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.kind, self.rack = kind, rack
        self.cap = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.hold_max = hold_max_ms
        self.fence, self.deadline = 0, None
        self.runs, self.ends, self.highest = {}, [], {}
        self.end_number = 0
        self.state = "ready"
        self.dead = False
        self.cond = threading.Condition()
        self.server, self.address = serve(WorkerHandler, self, ip, port)
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def _end(self, task, how):
        run = self.runs.pop(task)
        self.end_number += 1
        self.ends.append([self.end_number, task, run["run"], how, ""])
        self.highest[task] = run["run"]
        self.lab.ended(self.id, task, run["run"], how)
        self.cond.notify_all()

    def _work(self):
        while not self.dead:
            time.sleep(0.02)
            with self.cond:
                now = time.monotonic()
                if self.deadline is not None and self.clock() > self.deadline:
                    for task in list(self.runs):
                        self._end(task, "lapsed")
                for task, run in list(self.runs.items()):
                    if now >= run["until"]:
                        self._end(task, "done")

    def _beat(self):
        seq = 0
        while not self.dead:
            seq += 1
            body = {"service": self.service, "addr": self.address,
                    "zone": "zone-a", "version": "v1", "slots": 8,
                    "state": self.state, "coldLeftMs": 0, "capacity": self.cap,
                    "labels": [self.kind, self.rack], "clockMs": self.clock(),
                    "seq": seq, "born": self.born}
            call(self.agent, "PUT", "/pomelokeel/instances/" + self.id, body,
                 timeout=1)
            time.sleep(1.5)

    def _extend(self, deadline):
        if deadline is None:
            return
        deadline = min(deadline, self.clock() + self.hold_max)
        self.deadline = deadline if self.deadline is None else max(
            self.deadline, deadline)

    def start(self, b):
        with self.cond:
            at = {"clockMs": self.clock(), "born": self.born}
            if b.get("fence", 0) < self.fence:
                return 409, dict(at, reason="fence")
            self.fence = b.get("fence", 0)
            if b["deadlineMs"] <= self.clock():
                return 409, dict(at, reason="late")
            self._extend(b["deadlineMs"])
            have = self.runs.get(b["task"])
            if have and have["run"] == b["run"]:
                return 200, at
            if have or b["run"] <= self.highest.get(b["task"], 0):
                return 409, dict(at, reason="old")
            now = time.monotonic()
            if b["spec"].startswith("lasts"):
                # At work after a short startup; ends when it is told to.
                self.runs[b["task"]] = {"run": b["run"], "at": now, "ms": 300,
                                        "until": float("inf"), "whole": 100}
            else:
                ms = int(re.match(r"ms=(\d+)", b["spec"]).group(1))
                self.runs[b["task"]] = {"run": b["run"], "at": now, "ms": ms,
                                        "until": now + ms / 1000, "whole": 99}
            self.lab.started(self.id, b["task"], b["run"])
            return 200, at

    def stop(self, b):
        with self.cond:
            at = {"clockMs": self.clock(), "born": self.born}
            if b.get("fence", 0) < self.fence:
                return 409, dict(at, reason="fence")
            self.fence = b.get("fence", 0)
            self.highest[b["task"]] = max(self.highest.get(b["task"], 0), b["run"])
            have = self.runs.get(b["task"])
            if have and have["run"] == b["run"]:
                self._end(b["task"], "stopped")
            return 200, at

    def fail(self, task):
        """The task ends as failed, as tasks that last may at any time."""
        with self.cond:
            if task in self.runs:
                self._end(task, "failed")

    def hold(self, b):
        until = time.monotonic() + min(b.get("waitMs", 0), 2000) / 1000
        with self.cond:
            if b.get("fence", 0) >= self.fence:
                self.fence = b.get("fence", 0)
                self._extend(b.get("deadlineMs"))
                self.ends = [e for e in self.ends if e[0] > b.get("lastSeen", 0)]
            while not self.ends and time.monotonic() < until:
                self.cond.wait(until - time.monotonic())
            now = time.monotonic()
            rows = [[t, r["run"], "",
                     min(r["whole"],
                         int((now - r["at"]) * 100000 / max(r["ms"], 1))), 0]
                    for t, r in self.runs.items()]
            return 200, {"clockMs": self.clock(), "born": self.born,
                         "running": rows, "ended": self.ends[:500]}


class WorkerHandler(Quiet):
    def do_POST(self):
        w, b = self.owner, json.loads(self.body())
        if self.headers.get("X-Expect-Instance", w.id) != w.id:
            return self.reply(421, {"clockMs": w.clock(), "born": w.born})
        if self.path == "/pomelokeel/run-start":
            return self.reply(*w.start(b))
        if self.path == "/pomelokeel/run-stop":
            return self.reply(*w.stop(b))
        if self.path == "/pomelokeel/hold":
            return self.reply(*w.hold(b))
        self.reply(404)


class Proxy:
    """Forwards TCP connections. silence() makes the open ones pass nothing
    any more, without a reset; new ones work."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                a, _ = self.listener.accept()
                b = socket.create_connection(self.target)
            except OSError:
                continue
            for s in (a, b):
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            link = {"silent": False}
            self.open.append(link)
            for x, y in ((a, b), (b, a)):
                threading.Thread(target=self._pump, args=(x, y, link),
                                 daemon=True).start()

    @staticmethod
    def _pump(x, y, link):
        try:
            while True:
                data = x.recv(65536)
                if link["silent"]:
                    while data:  # Takes what is sent and passes nothing.
                        data = x.recv(65536)
                    return
                if not data:
                    break
                y.sendall(data)
        except OSError:
            pass
        if link["silent"]:
            return
        for s in (x, y):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def silence(self):
        for link in self.open:
            link["silent"] = True
        self.open = []


def call(address, method, path, body=None, headers=None, timeout=3):
    """Returns the status and the body, or (None, None) without an answer."""
    host, port = address.rsplit(":", 1)
    c = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        h = {"Content-Type": "application/json"} if data else {}
        h.update(headers or {})
        c.request(method, path, data, h)
        r = c.getresponse()
        text = r.read()
        try:
            return r.status, json.loads(text)
        except ValueError:
            return r.status, None
    except (OSError, http.client.HTTPException):
        return None, None
    finally:
        c.close()


def render(template, values):
    """Fills in a template of the deploy folder as DEPLOY.md tells."""

    def find(path):
        v = values
        for part in path.split("."):
            if isinstance(v, list):
                v = v[int(part)]
            elif isinstance(v, dict) and part in v:
                v = v[part]
            else:
                return None
        return v

    def section(m):
        v = find(m.group(2))
        on = v is not None and v is not False
        return m.group(3) if on == (m.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.S)

    def value(m):
        v = find(m.group(1))
        if m.group(2):
            return json.dumps(v)
        return "" if v is None else str(v)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


BOUNDS = {"holdMaxMs": 6000, "stopGraceMs": 900, "gangTimeoutMs": 4000,
          "graceS": 6, "status_s": 120, "configApplyMs": 4000,
          "reclaimMs": 3400}


class Lab:
    all = []

    def __init__(self, case, bounds=None, **store):
        Lab.all.append(self)
        self.case = case
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.t0 = time.monotonic()
        self.lines = open(os.path.join(case, "record.txt"), "w")
        self.lock = threading.Lock()
        self.starts, self.finished = [], []
        self.processes = {}
        self.settings, self.kills = {}, {}
        self.starting, self.ended_all = threading.Lock(), False
        self.log_starts = True
        self.store = Store(record=self.note, **store)

    def at(self):
        return time.monotonic() - self.t0

    def note(self, text):
        with self.lock:
            self.lines.write("%8.3f %s\n" % (self.at(), text))
            self.lines.flush()

    def started(self, worker, task, run):
        self.starts.append((self.at(), worker, task, run))
        if self.log_starts:
            self.note("start  %s run %d on %s" % (task, run, worker))

    def ended(self, worker, task, run, how):
        self.finished.append((self.at(), worker, task, run, how))
        if self.log_starts:
            self.note("end    %s run %d on %s %s" % (task, run, worker, how))

    def _run(self, name, role, values):
        with open(os.path.join(ROOT, "deploy", role + ".json.in")) as f:
            text = render(f.read(), values)
        path = os.path.join(self.tmp, name + ".json")
        with open(path, "w") as f:
            f.write(text)
        self.settings[name] = (role, values)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["POMELOKEEL_SETTINGS"] = path
        log = open(os.path.join(self.tmp, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, "platform", role], cwd=ROOT, env=env, stdout=log,
            stderr=log)
        self.note("process %s started" % name)

    def watch_memory(self, restart_s=1.0):
        """The platform ends a process that exceeds its memoryMb, and starts
        it again after a short delay (DEPLOY.md)."""
        threading.Thread(target=self._watch_memory, args=(restart_s,),
                         daemon=True).start()

    def _watch_memory(self, restart_s):
        while not self.ended_all:
            time.sleep(0.05)
            for name, p in list(self.processes.items()):
                role, values = self.settings[name]
                limit = values["limits"]["memoryMb"] * 1024 * 1024
                try:
                    with open("/proc/%d/statm" % p.pid) as f:
                        rss = int(f.read().split()[1]) * 4096
                except (OSError, IndexError):
                    continue
                if p.poll() is not None or rss <= limit:
                    continue
                p.kill()
                p.wait()
                self.kills[name] = self.kills.get(name, 0) + 1
                self.note("the platform ends %s, which uses %d MB of %d"
                          % (name, rss >> 20, limit >> 20))
                threading.Timer(restart_s, self._restart, (name,)).start()

    def _restart(self, name):
        with self.starting:
            if not self.ended_all:
                self._run(name, *self.settings[name])

    def entry(self, number, store=None, zone="zone-a", memory_mb=260):
        front, ready = free_port(), free_port()
        name = "front-%s-%d" % (zone, number)
        self._run(name, "entry", {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "platform": {"addr": store or self.store.address},
            "limits": {"memoryMb": memory_mb, "cpuShare": 0.25},
            "internalPorts": [free_port(), 0],
            "listen": {"front": "127.0.0.1:%d" % front,
                       "ready": "127.0.0.1:%d" % ready},
            "bounds": self.bounds})
        return {"name": name, "front": "127.0.0.1:%d" % front,
                "ready": "127.0.0.1:%d" % ready}

    def agent(self, number, store=None, zone="zone-a", **worker):
        control, app = free_port(), free_port()
        name = "side-%s-%d" % (zone, number)
        self._run(name, "agent", {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "platform": {"addr": store or self.store.address},
            "limits": {"memoryMb": 128, "cpuShare": 0.15},
            "internalPorts": [free_port(), 0],
            "listen": {"control": "127.0.0.1:%d" % control},
            "app": "127.0.0.1:%d" % app, "bounds": self.bounds})
        w = Worker(self, number, "127.0.0.1:%d" % control, port=app,
                   hold_max_ms=self.bounds["holdMaxMs"], **worker)
        return {"name": name, "worker": w, "control": "127.0.0.1:%d" % control}

    def config(self, version, keys, routes=None):
        value = {
            "version": version,
            "routes": routes or [
                {"name": "r-%d" % p, "host": "jobs.example",
                 "pathPrefix": "/queue%d/" % p, "kind": "non_idempotent",
                 "timeoutMs": 3000, "sloMs": 1200, "priority": p,
                 "service": "svc", "attempts": 3, "stretch": 3.0,
                 "public": False} for p in range(3)],
            "services": [{"name": "svc", "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "admissionCheck": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-a", "apiKeys": list(keys),
                         "priority": 1, "guaranteed": {"gpu": 8}}]}
        self.store.put("keyed.op", "config", value)
        self.note("operator: configuration %d with keys %s acknowledged"
                  % (version, ",".join(keys)))

    def client(self, entry, method, path, body=None, key="key-1", timeout=3):
        s, b = call(entry["front"], method, path, body,
                    {"Host": "jobs.example", "Authorization": "Bearer " + key,
                     "X-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.note("client %s %s at %s with %s -> %s %s"
                  % (method, path, entry["name"], key, s, json.dumps(b)))
        return s, b

    def wait_ready(self, entries, seconds=15):
        until = time.monotonic() + seconds
        for e in entries:
            while call(e["ready"], "GET", "/pomelokeel/ready", timeout=1)[0] != 200:
                if time.monotonic() > until:
                    return False
                time.sleep(0.1)
        # A process ends at once if another program uses one of its ports.
        return all(p.poll() is None for p in self.processes.values())

    def submit(self, entries, path, body, seconds=12, key="key-1"):
        """Hands a job in like a client: tries again at other entries."""
        until = time.monotonic() + seconds
        n = 0
        while time.monotonic() < until:
            s, _ = self.client(entries[n % len(entries)], "POST", path, body, key)
            if s is not None and 200 <= s < 300:
                return True
            n += 1
            time.sleep(0.3)
        return False

    def end(self, keep_logs=False):
        with self.starting:
            self.ended_all = True
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGKILL)
        for p in self.processes.values():
            p.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.lines.close()


def give_up():
    for lab in Lab.all:
        for p in lab.processes.values():
            p.kill()
    print("could not run: no result within 115 s, or an error of the script")
    sys.stdout.flush()
    os._exit(2)


def main(play):
    """Runs play(lab_case, trouble), which returns True if the rule held,
    False if it was broken, None if the case could not run."""
    case = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(PROGRAM):
        print("target/pomelokeel is missing: run the build of the deploy file")
        sys.exit(2)
    threading.Timer(115, give_up).start()
    try:
        held = play(case, os.environ.get("TROUBLE", "1") != "0")
    except Exception:
        traceback.print_exc()
        give_up()
    print("could not run" if held is None else
          "the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(2 if held is None else 0 if held else 1)
