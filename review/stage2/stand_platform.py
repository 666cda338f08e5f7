"""A small platform for the cases of this review: store, machines, minions and consumers.

It speaks what PROTOCOL.md says, on loopback addresses and the real clock, as a sound platform would. What
minions saw is kept in `Judge`, which checks some rules of RULES.md on it. One asyncio process.
"""
import asyncio, base64, collections, heapq, json, random, struct, time, urllib.parse, zlib

HOST = "127.0.0.1"


def now():
    return time.monotonic()


# ---------------------------------------------------------------- HTTP server

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           413: "Payload Too Large", 421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


TASKS = set()  # a task that nobody refers to may be collected before it has ended


def keep(coroutine):
    task = asyncio.ensure_future(coroutine)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


class HttpProtocol(asyncio.Protocol):
    """HTTP/1.1 with keep-alive. A handler is a coroutine function (method, path, query, headers, body) that
    returns (status, bytes), or None for no answer at all."""

    def __init__(self, handler):
        self.handler, self.buf, self.closed = handler, bytearray(), False

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        self.closed = True

    def data_received(self, data):
        self.buf += data
        while True:
            end = self.buf.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = bytes(self.buf[:end]).decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buf) < end + 4 + length:
                return
            body = bytes(self.buf[end + 4:end + 4 + length])
            del self.buf[:end + 4 + length]
            method, target, _ = lines[0].split(" ")
            path, _, query = target.partition("?")
            query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            keep(self.answer(method, path, query, headers, body))

    async def answer(self, method, path, query, headers, body):
        reply = await self.handler(method, path, query, headers, body)
        if reply is None or self.closed:
            return
        status, data = reply
        head = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        self.transport.write(head.encode() + data)


async def serve(handler, port=0):
    server = await asyncio.get_running_loop().create_server(lambda: HttpProtocol(handler), HOST, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


def js(status, value):
    return status, json.dumps(value, separators=(",", ":")).encode()


async def http(port, method, path, body=b"", headers=None, timeout=5.0):
    """One call on a channel of its own; returns (status, body), or (0, reason) without an answer."""
    try:
        return await asyncio.wait_for(_http(port, method, path, body, headers or {}), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as e:
        return 0, repr(e).encode()


async def _http(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        head = f"{method} {path} HTTP/1.1\r\ncontent-length: {len(body)}\r\ncontent-type: application/json\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in {"host": "x", **headers}.items()) + "\r\n"
        writer.write(head.encode() + body)
        status = int((await reader.readline()).split()[1])
        length = 0
        while (line := (await reader.readline()).strip()):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        return status, await reader.readexactly(length)
    finally:
        writer.close()


# ---------------------------------------------------------------- store

class Partition:
    def __init__(self):
        self.first, self.records, self.bytes = 0, collections.deque(), 0
        self.newest, self.producers, self.changed = {}, {}, asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's store, with the limits under `platform` in the settings of DEPLOY.md."""

    def __init__(self, record_bytes=262144, call_bytes=2097152, keep_s=20.0, part_mb=200, answer_ms=1.0):
        self.record_bytes, self.call_bytes = record_bytes, call_bytes
        self.keep_s, self.part_bytes, self.answer_s = keep_s, part_mb * 1_000_000, answer_ms / 1000
        self.parts = collections.defaultdict(Partition)
        self.mode = "up"  # or "busy" (503) or "silent"
        self.refused = collections.Counter()  # appends that were over a limit, by topic
        self.largest = collections.Counter()  # the largest record that was sent, by topic
        self.calls = collections.Counter()

    async def start(self):
        self.server, self.port = await serve(self.handle)

    def put(self, topic, key, value):
        """A record of the operator or of a minion."""
        self.push(self.parts[topic, 0], key.encode(), value.encode() if isinstance(value, str) else value)
        self.wake(self.parts[topic, 0])

    def push(self, p, key, value):
        p.records.append((key, value, now()))
        p.bytes += len(key) + len(value)
        if value:
            p.newest[key] = (value, p.end - 1)
        else:
            p.newest.pop(key, None)
        while p.records and (p.bytes > self.part_bytes or p.records[0][2] < now() - self.keep_s):
            k, v, _ = p.records.popleft()
            p.bytes -= len(k) + len(v)
            p.first += 1

    def wake(self, p):
        p.changed.set()
        p.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.mode == "silent":
            return None
        await asyncio.sleep(self.answer_s)
        if self.mode == "busy":
            return js(503, {})
        p = self.parts[query.get("topic", ""), int(query.get("part", "0"))]
        self.calls[path] += 1
        if path == "/workswood/log-append":
            return self.append(p, query, body)
        if path == "/workswood/log-newest":
            return self.list_newest(p, query)
        if path == "/workswood/log-read":
            return await self.read(p, query)
        return js(404, {})

    def append(self, p, query, body):
        records, at = [], 0
        topic = query.get("topic", "")
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            rec = body[at + 4:at + 4 + length]
            records.append((bytes(rec[1:1 + rec[0]]), bytes(rec[1 + rec[0]:])))
            self.largest[topic] = max(self.largest[topic], length)
            at += 4 + length
            if length > self.record_bytes:
                self.refused[topic] += 1
                return js(413, {"reason": "record_bytes"})
        if len(body) > self.call_bytes:
            self.refused[topic] += 1
            return js(413, {"reason": "call_bytes"})
        if "producer" in query:
            epoch, seq = int(query.get("epoch", "0")), int(query.get("seq", "0"))
            prod = p.producers.setdefault(query["producer"], {"epoch": -1, "last": None, "answers": {}})
            if epoch < prod["epoch"]:
                return js(409, {"reason": "fenced"})
            if epoch == prod["epoch"]:
                if seq in prod["answers"]:
                    return 200, prod["answers"][seq]
                if prod["last"] is not None and seq != prod["last"] + 1:
                    return js(409, {"reason": "seq", "seq": prod["last"] + 1})
        if "at" in query and int(query["at"]) != p.end:
            return js(412, {"end": p.end})
        offset = p.end
        for key, value in records:
            self.push(p, key, value)
        answer = json.dumps({"offset": offset, "end": p.end}).encode()
        if "producer" in query:
            if epoch > prod["epoch"]:
                prod["answers"] = {}
            prod["epoch"], prod["last"] = epoch, seq
            prod["answers"][seq] = answer
            while len(prod["answers"]) > 5:
                prod["answers"].pop(next(iter(prod["answers"])))
        if records:
            self.wake(p)
        return 200, answer

    def list_newest(self, p, query):
        after = query.get("after", "").encode("utf-8", "surrogateescape")
        keys = sorted(k for k in p.newest if k > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = p.newest[key]
            if items and size + len(value) > 1_000_000:
                break
            size += len(value)
            items.append({"tls_key": key.decode("utf-8", "replace"), "value": base64.b64encode(value).decode(), "offset": offset})
        return js(200, {"items": items, "more": len(items) < len(keys), "end": p.end})

    async def read(self, p, query):
        start, wait = int(query["from_rev"]), int(query.get("wait_ms", "0")) / 1000
        most, until = int(query.get("max_kb", "1024")) * 1024, now() + wait
        while start >= p.end and now() < until:
            try:
                await asyncio.wait_for(p.changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
            if self.mode == "silent":
                return None
        if start < p.first:
            return js(410, {"first": p.first})
        out, size = [struct.pack(">QQ", p.end, p.first)], 0
        for n in range(start - p.first, len(p.records)):
            key, value, _ = p.records[n]
            size += len(key) + len(value) + 5
            if len(out) > 1 and size > most:
                break
            out.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value)
        return 200, b"".join(out)


# ---------------------------------------------------------------- what was seen

class Judge:
    """What consumers sent and minions ran, with checks of some rules."""

    def __init__(self, record):
        self.record, self.jobs, self.broken = record, {}, []
        self.runs = collections.defaultdict(list)  # task -> runs
        self.begun, self.after_done, self.issued = now(), [], {}

    def settle(self):
        """Checks what only later events decide."""
        for run, other in self.after_done:
            if other.noted:
                self.broke("TWICE", f"{run.task} attempt {run.attempt} on {run.worker.id} after attempt {other.attempt} ended done on {other.worker.id}, an end that was taken note of")
        self.after_done = []

    def log(self, text):
        self.record.write(f"{now() - self.begun:8.3f} {text}\n")
        self.record.flush()

    def broke(self, rule, text):
        self.broken.append((rule, text))
        self.log(f"BROKEN {rule}: {text}")

    def sent(self, job, body, tenant=None):
        self.jobs.setdefault(job, body)

    def parse(self, task):
        job, k, step, index = task.split(".")
        return job, int(k), int(step), int(index)

    def step_of(self, task):
        job, _, step, _ = self.parse(task)
        body = self.jobs.get(job)
        groups = body["task_groups"] if body else []
        return (body, groups[step]) if body and step < len(groups) else (None, None)

    def started(self, worker, run):
        body, group = self.step_of(run.task)
        if body is None:
            self.broke("UNASKED", f"{run.task} on {worker.id}: nobody sent it")
            return
        if body["spec"] != run.spec:
            self.broke("UNASKED", f"{run.task} on {worker.id}: another spec")
        if run.ckpt:
            of = self.issued.get(run.ckpt, "")
            if of != run.task and not (group.get("gang") and of.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0]):
                self.broke("UNASKED", f"{run.task} on {worker.id}: the checkpoint is of {of or 'no task'}")
        others = self.runs[run.task]
        if not group.get("speculative"):
            for other in others:
                if other.ended is None and not other.worker.down:
                    self.broke("TWICE", f"{run.task} attempt {run.attempt} on {worker.id} while attempt {other.attempt} is at work on {other.worker.id}")
                elif other.ended == "done" and not group.get("long_running"):
                    # Counts if the end is, or will be, taken note of: see `settle`.
                    self.after_done.append((run, other))
        job, k, _, _ = self.parse(run.task)
        if not group.get("long_running"):
            failed = sum(1 for other in others if other.ended == "failed" and other.noted)
            if failed >= self.max_attempts:
                self.broke("BUDGET", f"{run.task} attempt {run.attempt} after {failed} failed ones")
        for dep in group.get("after", []):
            for index in range(body["task_groups"][dep]["count"]):
                dep_step = body["task_groups"][dep]
                names = [f"{job}.{k}.{dep}.{i}" for i in range(dep_step["count"])] if dep_step.get("gang") else [f"{job}.{k}.{dep}.{index}"]
                if not any(r.ended == "done" for name in names for r in self.runs[name]):
                    self.broke("ORDER", f"{run.task} before {names[0]} is done")
        if body.get("repeat_count"):
            due = body["start_at_ms"] + k * body.get("interval_ms", 0)
            if time.time() * 1000 < due - 250:
                self.broke("ORDER", f"{run.task} {due - time.time() * 1000:.0f} ms ahead of its time")
        label = group.get("constraints")
        if label and label not in worker.labels:
            self.broke("ROUTE", f"{run.task} on {worker.id} without {label}")
        most = group.get("anti_affinity", 0)
        if most:
            same = sum(1 for r in worker.runs.values() if r.task.rsplit(".", 1)[0] == run.task.rsplit(".", 1)[0])
            if same >= most:
                self.broke("ROUTE", f"{run.task} on {worker.id}: more than {most} of its step")
        if not worker.guards and not worker.fits(group):
            self.broke("LIMIT", f"{run.task} takes {worker.id} over its capacity")
        others.append(run)

    max_attempts = 3


# ---------------------------------------------------------------- minions

class Run:
    __slots__ = ("task", "attempt", "spec", "worker", "began", "ended", "ended_at", "noted", "group", "plan", "due", "ckpt", "base", "gang")

    def percent(self):
        if self.began is None:
            return 0
        work = max(1, self.plan.get("work_ms", 500)) / 1000
        return min(100, int((now() - self.began) * 100 / work))


class Gang:
    def __init__(self, count):
        self.count, self.members, self.over = count, {}, False


class Worker:
    """A minion. Task texts are JSON: `work_ms` (500), `spread_ms` (up to which a task
    takes longer, by its name), `fail_first` (attempts that fail)."""

    def __init__(self, fleet, wid, service, machine, zone, cpu=32000, mem_mb=131072, labels=("a", "r1"), guards=True):
        self.fleet, self.id, self.service, self.machine, self.zone = fleet, wid, service, machine, zone
        self.cap, self.labels, self.guards = {"cpu": cpu, "mem_mb": mem_mb}, list(labels), guards
        self.reset()
        self.silent = self.fails_all = False

    def reset(self):
        self.t0, self.fence, self.deadline, self.seq, self.down = now(), 0, 0.0, 0, False
        self.runs, self.finished, self.over, self.waiters = {}, [], {}, []
        self.used = {"cpu": 0, "mem_mb": 0}
        self.state, self.lapsed_at = "ready", 0.0

    def clock(self):
        return (now() - self.t0) * 1000

    def entry(self):
        return json.dumps({"backend": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                           "state": self.state, "cold_remaining_ms": 0, "seq": 1, "machine": self.machine,
                           "capacity": {**self.cap, "gpus": 0}, "labels": self.labels})

    async def start(self):
        self.server, self.port = await serve(self.handle)
        self.fleet.store.put("keyed.servers", self.id, self.entry())

    def fits(self, group):
        cpu = 0 if group.get("fills") else group.get("cpu", 0)
        return self.used["cpu"] + cpu <= self.cap["cpu"] and self.used["mem_mb"] + group.get("mem_mb", 0) <= self.cap["mem_mb"]

    def crash(self):
        """Everything on it is lost; it says nothing any more."""
        self.down = True
        for run in list(self.runs.values()):
            run.ended, run.ended_at = "crashed", now()
            self.fleet.gang_ended(run)
        self.runs = {}
        self.server.close()

    def stamp(self, **more):
        return {"clock_ms": int(self.clock()), **more}

    async def handle(self, method, path, query, headers, body):
        if self.down or self.silent:
            return None
        if headers.get("x-target-instance") != self.id:
            return js(421, self.stamp())
        b = json.loads(body)
        if path in ("/workswood/run-start", "/workswood/run-stop"):
            fate = self.fleet.fate()
            if fate == "late":
                # Left without an answer, and done seconds later, by this life or by none.
                await asyncio.sleep(random.uniform(2, 12))
                if not self.down:
                    await self.carry_out(path, b)
                return None
            if fate == "lost":
                await self.carry_out(path, b)
                return None
        return await self.carry_out(path, b)

    async def carry_out(self, path, b):
        if b.get("fencing_token", 0) < self.fence:
            return js(409, self.stamp(reason="fence"))
        self.fence = b.get("fencing_token", 0)
        self.tick()
        if "deadline_ms" in b:
            taken = min(b["deadline_ms"], self.clock() + self.fleet.max_hold_ms)
            late = taken <= self.clock()
            self.deadline = max(self.deadline, taken)
            if late and path.endswith("run-start"):
                return js(409, self.stamp(reason="late"))
        if path == "/workswood/hold":
            return await self.hold(b)
        if path == "/workswood/run-start":
            return self.run_start(b)
        if path == "/workswood/run-stop":
            key = (b["task"], b["attempt"])
            self.over[b["task"]] = max(self.over.get(b["task"], 0), b["attempt"])
            if key in self.runs:
                run, delay = self.runs[key], random.uniform(0, self.fleet.stop_ms / 1000)
                asyncio.get_running_loop().call_later(delay, lambda: run.ended is None and not self.down and self.end(run, "stopped"))
            return js(200, self.stamp())
        return js(200, self.stamp())

    def run_start(self, b):
        key = (b["task"], b["attempt"])
        if key in self.runs:
            return js(200, self.stamp())
        if self.over.get(b["task"], 0) >= b["attempt"]:
            return js(409, self.stamp(reason="old"))
        _, group = self.fleet.judge.step_of(b["task"])
        group = group or {"count": 1}
        if self.down:
            return None
        if self.guards and not self.fits(group):
            return js(409, self.stamp(reason="room"))
        run = Run()
        run.task, run.attempt, run.spec, run.worker, run.group = b["task"], b["attempt"], b["spec"], self, group
        run.ended = run.ended_at = run.due = run.gang = None
        run.noted, run.ckpt, run.base, run.began = False, b.get("checkpoint", ""), now(), None
        run.plan = self.fleet.plan(b["spec"])
        self.fleet.judge.started(self, run)
        self.runs[key] = run
        self.used["cpu"] += 0 if group.get("fills") else group.get("cpu", 0)
        self.used["mem_mb"] += group.get("mem_mb", 0)
        self.fleet.starts += 1
        if group.get("gang"):
            self.fleet.join_gang(run)
        else:
            self.begin(run)
        return js(200, self.stamp())

    def begin(self, run):
        run.began = now()
        if self.fails_all or self.fleet.fails(run):
            run.due = now() + run.plan.get("fail_after_ms", 50) / 1000
        elif not run.group.get("long_running"):
            spread = run.plan.get("spread_ms", 0)
            more = zlib.crc32(run.task.encode()) % spread if spread else 0
            run.due = now() + (run.plan.get("work_ms", 500) + more) / 1000
        if run.due is not None:
            heapq.heappush(self.fleet.due, (run.due, id(run), run))

    def end(self, run, how):
        if run.ended is not None:
            return
        self.runs.pop((run.task, run.attempt), None)
        self.used["cpu"] -= 0 if run.group.get("fills") else run.group.get("cpu", 0)
        self.used["mem_mb"] -= run.group.get("mem_mb", 0)
        run.ended, run.ended_at = how, now()
        self.over[run.task] = max(self.over.get(run.task, 0), run.attempt)
        self.seq += 1
        self.finished.append((self.seq, run, how, self.checkpoint(run)))
        waiters, self.waiters = self.waiters, []
        for w in waiters:
            if not w.done():
                w.set_result(None)
        self.fleet.gang_ended(run)

    def checkpoint(self, run):
        if not run.group.get("checkpointing") or run.began is None or now() - run.began < self.fleet.save_s:
            return run.ckpt
        saves = int((now() - run.began) / self.fleet.save_s)
        text = f"{saves:08x}{zlib.crc32(run.task.encode()):08x}"
        self.fleet.judge.issued[text] = run.task
        return text

    def tick(self):
        if self.clock() > self.deadline:
            self.lapsed_at = now()
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    async def hold(self, b):
        seen = b.get("last_seen", 0)
        for n, run, how, _ in self.finished:
            if n <= seen and run.ended_at > self.lapsed_at:
                run.noted = True
        self.finished = [f for f in self.finished if f[0] > seen]
        until = now() + b.get("wait_ms", 0) / 1000
        while not self.finished and now() < until:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, until - now())
            except asyncio.TimeoutError:
                break
        if self.down or self.silent:
            return None
        running = [[r.task, r.attempt, self.checkpoint(r), r.percent(), 0] for r in self.runs.values()]
        finished = [[n, r.task, r.attempt, how, ckpt] for n, r, how, ckpt in self.finished[:500]]
        return js(200, self.stamp(running=running, finished=finished))


class Fleet:
    """All minions, and the machines service."""

    def __init__(self, store, judge, max_hold_ms=10000, save_s=0.5, gang_ms=3000):
        self.store, self.judge, self.max_hold_ms, self.save_s, self.gang_ms = store, judge, max_hold_ms, save_s, gang_ms
        self.workers, self.due, self.gangs, self.plans, self.starts = [], [], {}, {}, 0
        self.orders = []
        self.stop_ms, self.late_share, self.lost_share = 400, 0.0, 0.0

    def fate(self):
        """What becomes of an order: carried out late, its answer lost, or neither."""
        n = random.random()
        return "late" if n < self.late_share else "lost" if n < self.late_share + self.lost_share else None

    def plan(self, spec):
        if spec not in self.plans:
            try:
                self.plans[spec] = json.loads(spec)
            except ValueError:
                self.plans[spec] = {}
        return self.plans[spec]

    def fails(self, run):
        return run.attempt <= run.plan.get("fail_first", 0)

    def join_gang(self, run):
        key = (run.task.rsplit(".", 1)[0], run.attempt)
        gang = self.gangs.setdefault(key, Gang(run.group["count"]))
        run.gang = gang
        if gang.over:
            run.worker.end(run, "broken")
            return
        gang.members[run.task] = run
        if len(gang.members) == gang.count:
            for member in gang.members.values():
                member.worker.begin(member)
        else:
            asyncio.get_running_loop().call_later(self.gang_ms / 1000, self.alone, run)

    def alone(self, run):
        if run.ended is None and run.began is None:
            run.worker.end(run, "alone")

    def gang_ended(self, run):
        gang = run.gang
        if gang is None or gang.over:
            return
        if run.ended == "alone":
            gang.members.pop(run.task, None)
            return
        gang.over = True
        how = "done" if run.ended == "done" else "broken"
        for member in list(gang.members.values()):
            if member.ended is None and not member.worker.down:
                member.worker.end(member, how)

    async def start(self):
        self.server, self.port = await serve(self.handle)
        keep(self.run())

    async def run(self):
        while True:
            await asyncio.sleep(0.005)
            while self.due and self.due[0][0] <= now():
                _, _, run = heapq.heappop(self.due)
                if run.ended is None and not run.worker.down:
                    run.worker.tick()
                    if run.ended is None:
                        failed = run.worker.fails_all or self.fails(run)
                        run.worker.end(run, "failed" if failed else "done")
            for w in self.workers:
                if w.runs and not w.down:
                    w.tick()

    async def handle(self, method, path, query, headers, body):
        if path == "/workswood/machines":
            rows = [{"machine": w.machine, "pool": w.service, "state": "down" if w.down else "up", "zone": w.zone, "labels": w.labels,
                     "capacity": {**w.cap, "gpus": 0}, **({} if w.down else {"id": w.id})} for w in self.workers]
            return js(200, {"machines": rows, "next_page_token": ""})
        self.orders.append((now(), path, headers.get("x-lease-holder"), headers.get("x-fencing-token"), body))
        return js(409, {"reason": "busy"})
