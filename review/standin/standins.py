"""Stand-ins for the prepared platform, as PROTOCOL.md describes it: store, machines and minions.

Only what the pages allow is done here. Every start, end and acknowledged end of a task is kept in a
ledger, from which a case checks its rule. All of it runs in one asyncio loop on loopback addresses."""
import asyncio
import base64
import json
import random
import struct
import time
import zlib
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def now():
    """Seconds on the steady clock."""
    return time.monotonic()


class Http(asyncio.Protocol):
    """One server connection; answers its requests one after another."""

    def __init__(self, handler, connections):
        self.handler, self.connections = handler, connections
        self.buf, self.busy, self.transport = b"", False, None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, exc):
        self.connections.discard(self)
        self.transport = None

    def data_received(self, data):
        self.buf += data
        self.next_request()

    def next_request(self):
        if self.busy:
            return
        end = self.buf.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buf[:end].decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        if len(self.buf) < end + 4 + length:
            return
        body, self.buf = self.buf[end + 4:end + 4 + length], self.buf[end + 4 + length:]
        method, target, _ = lines[0].split(" ", 2)
        self.busy = True
        asyncio.ensure_future(self.respond(method, target, headers, body))

    async def respond(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        answer = await self.handler(method, url.path, query, headers, body)
        if answer is not None and self.transport is not None:
            status, payload = answer
            if not isinstance(payload, bytes):
                payload = json.dumps(payload, separators=(",", ":")).encode()
            head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/json\r\n"
            self.transport.write(head.encode() + f"content-length: {len(payload)}\r\n\r\n".encode() + payload)
        self.busy = False
        if self.buf:
            self.next_request()


class Server:
    """A listener on a free loopback port, or on the port that is given."""

    def __init__(self, handler):
        self.handler, self.connections = handler, set()
        self.listener, self.address = None, None

    async def open(self, port=0):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Http(self.handler, self.connections), "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def close(self):
        """Closes the listener and resets its connections, as when the process is killed."""
        self.listener.close()
        for c in list(self.connections):
            if c.transport is not None:
                c.transport.abort()


class Partition:
    """One partition of a topic."""

    def __init__(self):
        self.records, self.newest, self.producers = [], {}, {}
        self.grown = asyncio.Event()

    def push(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        name = key.decode("utf-8", "replace")
        if value:
            self.newest[name] = (value, offset)
        else:
            self.newest.pop(name, None)

    def wake(self):
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    """The platform's store: topics of keyed records."""

    ANSWER_S = 0.004

    def __init__(self, record_bytes=262144, call_bytes=2097152):
        self.record_bytes, self.call_bytes = record_bytes, call_bytes
        self.parts = {}
        self.server = Server(self.handle)
        self.refused_sizes = []

    def part(self, topic, part="0"):
        return self.parts.setdefault((topic, str(part)), Partition())

    def write(self, topic, key, value):
        p = self.part(topic)
        p.push(key.encode(), json.dumps(value).encode() if value is not None else b"")
        p.wake()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        p = self.part(query.get("topic", ""), query.get("part", "0"))
        if path == "/workswood/log-append":
            return self.append(p, query, body)
        if path == "/workswood/log-newest":
            return self.latest(p, query)
        if path == "/workswood/log-read":
            return await self.read(p, query)
        return 404, {}

    def append(self, p, query, body):
        records, at = [], 0
        if len(body) > self.call_bytes:
            self.refused_sizes.append(("call", len(body)))
            return 400, {"reason": "call_bytes"}
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            rec = body[at + 4:at + 4 + size]
            at += 4 + size
            if size > self.record_bytes:
                self.refused_sizes.append(("record", size))
                return 400, {"reason": "record_bytes"}
            records.append((rec[1:1 + rec[0]], rec[1 + rec[0]:]))
        name, epoch, seq = query.get("producer"), int(query.get("epoch", 0)), int(query.get("seq", 0))
        if name is not None:
            seen = p.producers.get(name)
            if seen and epoch < seen["epoch"]:
                return 409, {"reason": "fenced"}
            if seen and epoch == seen["epoch"]:
                if seq in seen["answers"]:
                    return 200, seen["answers"][seq]
                if seq != seen["last"] + 1:
                    return 409, {"reason": "seq", "seq": seen["last"] + 1}
        if "at" in query and int(query["at"]) != len(p.records):
            return 412, {"end": len(p.records)}
        offset = len(p.records)
        for key, value in records:
            p.push(key, value)
        answer = {"offset": offset, "end": len(p.records)}
        if name is not None:
            seen = p.producers.get(name)
            answers = seen["answers"] if seen and seen["epoch"] == epoch else {}
            answers[seq] = answer
            while len(answers) > 5:
                answers.pop(next(iter(answers)))
            p.producers[name] = {"epoch": epoch, "last": seq, "answers": answers}
        if records:
            p.wake()
        return 200, answer

    def latest(self, p, query):
        after, items, size = query.get("after", ""), [], 0
        keys = sorted(k for k in p.newest if k > after)
        for key in keys:
            value, offset = p.newest[key]
            size += len(value) * 4 // 3 + 64
            if len(items) == 500 or (items and size > 1_000_000):
                break
            items.append({"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more": len(items) < len(keys), "end": len(p.records)}

    async def read(self, p, query):
        start, until = int(query["from_rev"]), now() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(p.records) and now() < until:
            try:
                await asyncio.wait_for(p.grown.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        out, most = [struct.pack(">QQ", len(p.records), 0)], int(query.get("max_kb", 1024)) * 1024
        for key, value in p.records[start:]:
            out.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value)
            most -= 5 + len(key) + len(value)
            if most <= 0:
                break
        return 200, b"".join(out)


class Machines:
    """The machine service. No machine moves or is due for upkeep in these cases."""

    def __init__(self):
        self.rows, self.server, self.orders = {}, Server(self.handle), []

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {"machines": list(self.rows.values()), "next_page_token": None}
        self.orders.append((path, body.decode("utf-8", "replace")))
        return 409, {"reason": "busy"}


class Ledger:
    """What minions did, in order: starts, ends, acknowledged ends and crashes."""

    def __init__(self):
        self.began, self.runs, self.lines = now(), [], []

    def note(self, text):
        self.lines.append("%8.3f %s" % (now() - self.began, text))

    def start(self, minion, task, run):
        row = {"minion": minion, "task": task, "run": run, "start": now(), "end": None, "how": None, "noted": None,
               "lapsed": False}
        self.runs.append(row)
        self.note(f"start minion={minion} task={task} run={run}")
        return row

    def end(self, row, how):
        row["end"], row["how"] = now(), how
        self.note(f"end minion={row['minion']} task={row['task']} run={row['run']} how={how}")

    def acknowledged(self, row):
        row["noted"] = now()


class Minion:
    """A minion that runs tasks under leases. `duration_s(task, run)` tells how long a task works."""

    HEARTBEAT_S = 1.5
    FINISHED_AT_ONCE = 500

    def __init__(self, store, machines, ledger, name, machine, service, zone, duration_s, cpu=32000, mem_mb=131072,
                 max_hold_ms=10000, save_s=0.5, restore_ms=250, checkpointing=(), rack="r1-1"):
        self.labels = ["a", rack]
        self.store, self.machines, self.ledger = store, machines, ledger
        self.id, self.machine, self.service, self.zone = name, machine, service, zone
        self.duration_s, self.cpu, self.mem_mb = duration_s, cpu, mem_mb
        self.max_hold_ms, self.save_s = max_hold_ms, save_s
        self.restore_s = restore_ms / 1000
        # The jobs whose tasks keep their progress.
        self.checkpointing = checkpointing
        self.needs = {}
        # Share of the orders that get no answer and are carried out 2 to 12 s later, and what decides which.
        self.late_share, self.rng = 0.0, random.Random(name)
        self.server, self.up, self.seq = Server(self.handle), False, 0
        self.tasks = []
        self.most_pending = 0

    async def open(self, port=0):
        self.clock_began = now() - 1000.0
        self.fence, self.deadline_ms, self.last_number = 0, 0, 0
        self.running, self.finished, self.barred = {}, [], {}
        self.free = [self.cpu, self.mem_mb]
        self.ended = asyncio.Event()
        await self.server.open(port)
        self.up = True
        self.tasks = [asyncio.ensure_future(self.work()), asyncio.ensure_future(self.heartbeat())]
        self.machines.rows[self.machine] = {
            "machine": self.machine, "pool": self.service, "state": "up", "zone": self.zone, "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0}, "id": self.id}

    def crash(self):
        """Everything that runs here dies, and nothing is said. The entry goes after three silent pings."""
        asyncio.get_running_loop().call_later(3 * self.HEARTBEAT_S, self.store.write, "keyed.servers", self.id, None)
        self.up = False
        for t in self.tasks:
            t.cancel()
        self.server.close()
        self.ledger.note(f"crash minion={self.id} runs={len(self.running)}")
        for r in self.running.values():
            self.ledger.end(r["row"], "crashed")
        self.running = {}

    def clock_ms(self):
        return int((now() - self.clock_began) * 1000)

    def entry(self):
        return {"backend": self.service, "address": self.server.address, "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0, "machine": self.machine,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0}, "labels": self.labels, "seq": self.seq}

    async def heartbeat(self):
        while True:
            # The entry changes only when more than `seq` does.
            if self.seq == 0 or self.id not in self.store.part("keyed.servers").newest:
                self.seq += 1
                self.store.write("keyed.servers", self.id, self.entry())
            await asyncio.sleep(self.HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            at, lapsed = now(), self.clock_ms() > self.deadline_ms
            due = [t for t, r in self.running.items() if lapsed or at >= r["until"]]
            if due and lapsed:
                self.ledger.note(f"lapse minion={self.id} runs={len(due)}")
            if lapsed:
                # What ended here and is acknowledged only after a lapse is excused by the rules.
                for _, r, _ in self.finished:
                    r["lapsed"] = True
            for task in due:
                self.end(task, "lapsed" if lapsed else "done")

    def end(self, task, how):
        r = self.running.pop(task)
        self.free = [free + need for free, need in zip(self.free, self.need(task))]
        self.last_number += 1
        self.barred[task] = max(self.barred.get(task, 0), r["row"]["run"])
        self.ledger.end(r["row"], how)
        self.finished.append((self.last_number, r["row"], self.saved(r, at_stop=how == "stopped")))
        self.most_pending = max(self.most_pending, len(self.finished))
        self.ended.set()
        self.ended = asyncio.Event()

    def saved(self, r, at_stop=False):
        """The checkpoint: 8 hex digits of the work that it holds, in ms, and 8 of the task. It is renewed with
        every `save_s` of work, and at a stop."""
        if r["row"]["task"].split(".")[0] not in self.checkpointing:
            return ""
        worked = max(0.0, now() - r["works_from"])
        if not at_stop:
            worked -= worked % self.save_s
        if worked < self.save_s and not at_stop:
            return r["brought"]
        return "%08x%08x" % (int(1000 * (r["done_before"] + worked)), zlib.crc32(r["row"]["task"].encode()))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return None
        b = json.loads(body)
        if path != "/workswood/hold" and self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(delay_s, self.carry_out_late, path, headers, b)
            return None
        return await self.carry_out(path, headers, b)

    def carry_out_late(self, path, headers, b):
        """Carries out an order that was left without an answer."""
        if self.up:
            asyncio.ensure_future(self.carry_out(path, headers, {**b, "late": True}))

    async def carry_out(self, path, headers, b):
        if headers.get("x-target-instance") != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        token = b.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if "deadline_ms" in b:
            self.deadline_ms = max(self.deadline_ms, min(b["deadline_ms"], self.clock_ms() + self.max_hold_ms))
        if path == "/workswood/hold":
            return await self.hold(b)
        if path == "/workswood/run-start":
            return self.start(b)
        if path == "/workswood/run-stop":
            task, run = b["task"], b["attempt"]
            self.barred[task] = max(self.barred.get(task, 0), run)
            if task in self.running and self.running[task]["row"]["run"] <= run:
                self.end(task, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def start(self, b):
        task, run = b["task"], b["attempt"]
        present = self.running.get(task)
        if present is not None and present["row"]["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        reason = None
        if b["deadline_ms"] <= self.clock_ms():
            reason = "late"
        elif present is not None or run <= self.barred.get(task, 0):
            reason = "old"
        elif any(free < need for free, need in zip(self.free, self.need(task))):
            reason = "room"
        if reason is not None:
            self.ledger.note(f"rejected minion={self.id} task={task} run={run} reason={reason}")
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}
        row = self.ledger.start(self.id, task, run)
        row["late"] = b.get("late", False)
        self.free = [free - need for free, need in zip(self.free, self.need(task))]
        brought = b.get("checkpoint", "")
        done_before = int(brought[:8], 16) / 1000 if brought else 0.0
        works_from = row["start"] + (self.restore_s if brought else 0.0)
        self.running[task] = {"row": row, "brought": brought, "done_before": done_before, "works_from": works_from,
                              "until": works_from + max(0.0, self.duration_s(task, run) - done_before)}
        return 200, {"clock_ms": self.clock_ms()}

    def need(self, task):
        """What a task asks for: by its job."""
        return self.needs.get(task.split(".")[0], (0, 0))

    async def hold(self, b):
        for n, row, _ in self.finished:
            if n <= b["last_seen"]:
                self.ledger.acknowledged(row)
        self.finished = [f for f in self.finished if f[0] > b["last_seen"]]
        until = now() + min(b.get("wait_ms", 0), 2000) / 1000
        while not self.finished and now() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        running = [[t, r["row"]["run"], self.saved(r), self.percent(r), 0] for t, r in self.running.items()]
        finished = [[n, row["task"], row["run"], row["how"], saved]
                    for n, row, saved in self.finished[:self.FINISHED_AT_ONCE]]
        return 200, {"clock_ms": self.clock_ms(), "running": running, "finished": finished}

    def percent(self, r):
        whole = max(0.001, r["done_before"] + r["until"] - r["works_from"])
        worked = r["done_before"] + max(0.0, now() - r["works_from"])
        return min(99, int(worked * 100 / whole))
