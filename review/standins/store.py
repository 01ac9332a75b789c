"""Stand-in of the platform's metadata store (form "log"), by PROTOCOL.md."""
import asyncio
import base64
import json
import time
import urllib.parse

from . import http

RECORD_BYTES = 262144  # recordBytes of the settings
CALL_BYTES = 2097152   # callBytes
APPEND_S = 0.003       # appendMs
PART_BYTES_S = 20e6    # partMbS
ANSWER_S = 0.004       # "4 ms an answer"
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
READ_ONLY = ("keyed.op", "keyed.servers")


def js(status, value):
    return status, json.dumps(value).encode(), "application/json"


class Topic:
    def __init__(self):
        self.records = []    # key length, key, value
        self.newest = {}     # key -> (value, offset)
        self.producers = {}  # name -> [epoch, next sequence, {seq: answer}]
        self.lock = asyncio.Lock()
        self.grown = asyncio.Event()

    def add(self, record):
        size = record[0] if record else 0
        key, value = record[1:1 + size], record[1 + size:]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def wake(self):
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    def __init__(self, note):
        self.note = note  # note(text): writes to the record of the case
        self.topics = {}
        self.members = {}  # member -> expiry
        self.generation = 1
        self.refused_sizes = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def start(self, address):
        self.server = await http.serve(address, self.handle)

    def put(self, topic, key, value):
        """What the operator writes."""
        t = self.topic(topic)
        t.add(bytes([len(key)]) + key.encode() + value)
        t.wake()

    async def handle(self, r):
        path = r.path.removeprefix("/pomelokeel/")
        if path == "log-read":
            return await self.read(r)
        await asyncio.sleep(ANSWER_S)
        if path == "log-append":
            return await self.append(r)
        if path == "log-newest":
            return self.newest(r)
        if path == "log-join":
            return self.join(json.loads(r.body))
        if path == "log-leave":
            self.expire()
            if self.members.pop(json.loads(r.body).get("member"), None):
                self.generation += 1
            return js(200, {})
        if path == "log-owners":
            self.expire()
            return js(200, {"owners": [
                ["keyed.leaders", i, m, 0]
                for i, m in enumerate(sorted(self.members)[:16])]})
        if path == "log-trim":
            return js(200, {})
        return js(404, {})

    async def append(self, r):
        name = r.query["topic"]
        if name in READ_ONLY:
            return js(403, {})
        t = self.topic(name)
        records = []
        at = 0
        while at + 4 <= len(r.body):
            size = int.from_bytes(r.body[at:at + 4], "big")
            records.append(r.body[at + 4:at + 4 + size])
            at += 4 + size
        largest = max((len(x) for x in records), default=0)
        if largest > RECORD_BYTES or len(r.body) > CALL_BYTES:
            # "at most recordBytes", "total at most callBytes", and "all or
            # nothing": the call is invalid, and nothing is done.
            self.refused_sizes += 1
            if self.refused_sizes in (1, 10, 100):
                keys = [x[1:1 + x[0]].decode() for x in records
                        if len(x) > RECORD_BYTES]
                self.note(f"store refused append {self.refused_sizes}: "
                          f"largest record {largest} bytes {keys}, "
                          f"call {len(r.body)} bytes")
            return js(400, {})
        async with t.lock:
            await asyncio.sleep(APPEND_S + len(r.body) / PART_BYTES_S)
            end = len(t.records)
            if "at" in r.query and int(r.query["at"]) != end:
                return js(412, {"end": end})
            producer = r.query.get("producer")
            if producer is not None:
                epoch, seq = int(r.query["epoch"]), int(r.query["seq"])
                p = t.producers.setdefault(producer, [epoch, None, {}])
                if epoch < p[0]:
                    return js(409, {"reason": "fenced"})
                if epoch > p[0]:
                    p[0], p[1], p[2] = epoch, None, {}
                if not r.body:
                    return js(200, {"offset": end, "end": end})
                if seq in p[2]:
                    return js(200, p[2][seq])
                if p[1] is not None and seq != p[1]:
                    return js(409, {"reason": "seq", "expected": p[1]})
                p[1] = seq + 1
            for record in records:
                t.add(record)
            answer = {"offset": end, "end": len(t.records)}
            if producer is not None:
                p[2][seq] = answer
                for old in sorted(p[2])[:-5]:
                    del p[2][old]
            t.wake()
            return js(200, answer)

    async def read(self, r):
        t = self.topic(r.query["topic"])
        start = int(r.query["from"])
        until = time.monotonic() + int(r.query.get("waitMs", "0")) / 1000
        await asyncio.sleep(ANSWER_S)
        while start >= len(t.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(t.grown.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        out = [len(t.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for record in t.records[start:]:
            if size > 0 and size + len(record) > 1024 * 1024:
                break
            size += len(record)
            out += [len(record).to_bytes(4, "big"), record]
        return 200, b"".join(out), "application/octet-stream"

    def newest(self, r):
        t = self.topic(r.query["topic"])
        after = urllib.parse.unquote(r.query.get("after", "")).encode()
        keys = sorted(k for k in t.newest if k > after)
        items, size = [], 0
        for key in keys:
            value, offset = t.newest[key]
            if len(items) >= PAGE_ITEMS or (items and
                                            size + len(value) > PAGE_BYTES):
                break
            size += len(value)
            items.append({"key": key.decode(),
                          "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return js(200, {"items": items, "hasMore": len(items) < len(keys),
                        "end": len(t.records)})

    def expire(self):
        now = time.monotonic()
        gone = [m for m, until in self.members.items() if until < now]
        for m in gone:
            del self.members[m]
        self.generation += 1 if gone else 0

    def join(self, j):
        self.expire()
        if j["member"] not in self.members:
            self.generation += 1
        self.members[j["member"]] = time.monotonic() + j["ttlMs"] / 1000
        order = sorted(self.members)
        parts = [["keyed.leaders", i, 0] for i in range(16)
                 if order[i % len(order)] == j["member"]]
        return js(200, {"generation": self.generation, "parts": parts})
