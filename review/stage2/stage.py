"""Starts the project's own program as separate processes beside the platform of this review."""
import asyncio, json, os, pathlib, random, re, signal, socket, subprocess, sys, tempfile, time

from stand_platform import HOST, Fleet, Judge, Store, Worker, http, js, now

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/workswood"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


TAKEN = set()


def free_ports(count):
    """Free ports below those that the system gives to outgoing channels, which might take one before its process binds it."""
    ports = []
    while len(ports) < count:
        port = random.randrange(18000, 32000)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            ports.append(port)
    return ports


def filled(template, fields):
    """Fills the gaps of a template of settings as DEPLOY.md tells."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        v = fields
        for part in name.split("."):
            v = v[int(part)] if isinstance(v, list) else v[part]
        if form == "json":
            return json.dumps(v)
        return ",".join(map(str, v)) if isinstance(v, list) else str(v)
    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Node:
    """One entry host: `target/release/workswood jobs SETTINGS`."""

    def __init__(self, stage, n, zone):
        self.stage, self.name, self.zone, self.n = stage, f"frontend-{zone}-{n}", zone, n
        self.proc = None
        self.take_ports()

    def take_ports(self):
        self.front, self.ready, self.control, self.peers, self.metrics = free_ports(5)

    def write_settings(self):
        s = self.stage
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": HOST,
            "bind_addrs": {"frontend": f"{HOST}:{self.front}", "readiness": f"{HOST}:{self.ready}", "control_plane": f"{HOST}:{self.control}"},
            "internal_ports": [self.peers, self.metrics],
            "seed_nodes": [f"{HOST}:{n.control}" for n in s.nodes[:3]],
            "platform": {"address": f"{HOST}:{s.store.port}", "parts": 24},
            "cloud_api": {"address": f"{HOST}:{s.fleet.port}", "duty_qps_s": 64.0},
            "advice": f"{HOST}:{s.fleet.port}",
            "limits": {"cpu_shares": 0.25, "link_mbps": 1000.0},
            "bounds": s.bounds,
        }
        text = filled((ROOT / "deploy/settings.json").read_text(), fields)
        json.loads(text)
        self.settings = s.folder / f"{self.name}.json"
        self.settings.write_text(text)

    def start(self):
        self.write_settings()
        self.log = open(self.stage.folder / f"{self.name}.log", "ab")
        self.proc = subprocess.Popen([str(PROGRAM), "jobs", str(self.settings)], cwd=ROOT, stdout=self.log, stderr=self.log)

    def kill(self):
        if self.proc and self.proc.poll() is None:
            self.proc.kill()
            self.proc.wait()

    def signal(self, sig):
        self.proc.send_signal(sig)

    def log_lines(self, event):
        text = (self.stage.folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if f"event={event}" in line]


class Stage:
    BOUNDS = {"max_hold_ms": 10000, "lease_ms": 3000, "liveness_ms": 3000, "early_ms": 250, "status_s": 120, "grace_s": 6.0}

    def __init__(self, here, zones=("z1", "z2", "z1"), **store):
        self.here, self.record = pathlib.Path(here), open(pathlib.Path(here) / "record.txt", "w")
        self.temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder, self.bounds = pathlib.Path(self.temp.name), dict(self.BOUNDS)
        self.judge, self.store = Judge(self.record), Store(**store)
        self.fleet = Fleet(self.store, self.judge)
        self.nodes = [Node(self, n, z) for n, z in enumerate(zones)]
        self.answers = []

    def log(self, text):
        self.judge.log(text)

    async def begin(self, workers, routes, services, version=1, tenants=None):
        """Starts everything; returns once each entry is ready and takes jobs."""
        await self.store.start()
        await self.fleet.start()
        self.fleet.workers = workers
        self.declare(routes, services, version, tenants)
        for w in workers:
            await w.start()
        for node in self.nodes:
            node.start()
        await self.until_ready(20)

    def declare(self, routes, services, version, tenants=None):
        config = {"version": version, "routes": routes, "backends": services, "limits": {"max_body_bytes": 262144}}
        if tenants:
            config["tenants"] = tenants
        self.store.put("keyed.op", "config", json.dumps(config))

    async def until_ready(self, seconds):
        until = now() + seconds
        for node in self.nodes:
            while (await http(node.ready, "GET", "/workswood/readyz", timeout=1.0))[0] != 200:
                if now() > until:
                    raise CouldNotRun(f"{node.name} is not ready")
                if node.proc.poll() is not None:
                    # Somebody else took one of its ports meanwhile.
                    node.take_ports()
                    node.start()
                await asyncio.sleep(0.1)
        while not self.holder():
            if now() > until:
                raise CouldNotRun("nobody holds the lease")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    def holder(self):
        """The entry that holds the lease, by the newest record of it."""
        value = self.store.parts["keyed.lease", 0].newest.get(b"holder")
        if not value:
            return None
        lease = json.loads(value[0])
        return next((n for n in self.nodes if n.name == lease["name"] and not lease.get("released")), None)

    async def call(self, node, method, path, body=None, key=None, budget_ms=3000):
        headers = {"host": "jobs.test", "x-request-deadline": str(budget_ms)}
        if key:
            headers["authorization"] = f"Bearer {key}"
        data = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
        status, answer = await http(node.front, method, path, data, headers, timeout=budget_ms / 1000 + 0.5)
        self.log(f"{method} {path} at {node.name}{' key ' + key if key else ''} -> {status} {answer[:80].decode(errors='replace') if status == 200 else ''}")
        return status, answer

    async def submit(self, node, prefix, job, body, key=None, tries=4):
        """Hands a job in as a consumer does; returns the last status."""
        self.judge.sent(job, body)
        status = 0
        for n in range(tries):
            status, _ = await self.call(self.nodes[(self.nodes.index(node) + n) % len(self.nodes)], "POST", prefix + job, body, key)
            if status == 200:
                break
            await asyncio.sleep(0.3)
        return status

    async def state(self, node, prefix, job, key=None):
        status, answer = await self.call(node, "GET", prefix + job, key=key)
        return json.loads(answer)["state"] if status == 200 else status

    def end(self):
        for node in self.nodes:
            node.kill()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(parents=True, exist_ok=True)
            for f in self.folder.iterdir():
                (target / f.name).write_bytes(f.read_bytes())


class CouldNotRun(Exception):
    pass


def main(here, play):
    """Runs a case; exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run."""
    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)
    stage = Stage(here)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(play(stage), 112))
        code = 1 if stage.judge.broken else 0
    except CouldNotRun as e:
        stage.log(f"could not run: {e}")
    except asyncio.TimeoutError:
        stage.log("could not run: out of time")
    finally:
        stage.end()
        stage.log(f"exit {code}")
    stage.record.close()
    stage.temp.cleanup()
    print(f"exit {code}: " + ("; ".join(f"{r}: {t}" for r, t in stage.judge.broken[:3]) or "held"))
    sys.stdout.flush()
    os._exit(code)
