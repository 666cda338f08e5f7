"""Starts the project's own program as the deploy file tells, and calls it as a consumer does."""
import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from standins import now

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
BOUNDS = {"max_hold_ms": 10000, "lease_ms": 3000, "liveness_ms": 3000, "early_ms": 250, "status_s": 120, "grace_s": 6}
ZONES = ["ktm-teku", "ktm-baneshwor", "ktm-lalitpur"]


class CannotRun(Exception):
    """The case can't run here."""


def free_ports(n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def fill(template, fields):
    """Fills the gaps of a template of settings."""
    def gap(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if form == "json":
            return json.dumps(value)
        return ",".join(value) if isinstance(value, list) else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", gap, template)


class Entry:
    """One entry host: its settings and its process."""

    def __init__(self, folder, name, zone, fields):
        self.name, self.folder, self.process = name, folder, None
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        program, *args = role["run"].split()
        self.command = [str(ROOT / program), *args]
        if not Path(self.command[0]).exists():
            raise CannotRun(f"{program} is not built")
        self.fields = {**fields, "node_name": name, "zone": zone}
        self.settings = folder / f"{name}.json"
        self.settings.write_text(fill((ROOT / role["template"]).read_text(), self.fields))
        self.log = folder / f"{name}.log"

    def address(self, what):
        host, port = self.fields["bind_addrs"][what].split(":")
        return host, int(port)

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["WORKSWOOD_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, name):
        self.process.send_signal(name)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def entries(folder, store, machines, count=3):
    """Entries with settings like those of a small deployment, not started."""
    ports = free_ports(5 * count)
    seeds = [f"127.0.0.1:{ports[5 * n + 2]}" for n in range(count)]
    made = []
    for n in range(count):
        own = ports[5 * n:5 * n + 5]
        fields = {
            "ip": "127.0.0.1", "internal_ports": [own[3], own[4]], "seed_nodes": seeds,
            "bind_addrs": {"frontend": f"127.0.0.1:{own[0]}", "readiness": f"127.0.0.1:{own[1]}",
                           "control_plane": f"127.0.0.1:{own[2]}"},
            "platform": {"address": store.server.address, "parts": 24},
            "cloud_api": {"address": machines.server.address, "duty_qps_s": 64.0},
            "advice": "127.0.0.1:9", "limits": {"cpu_shares": 0.25, "link_mbps": 1000.0}, "bounds": BOUNDS}
        made.append(Entry(folder, f"frontend-{ZONES[n % 3]}-{n + 1}", ZONES[n % 3], fields))
    return made


async def call(entry, method, path, body=None, timeout_s=3.0):
    """Makes a consumer's call; returns the status and the body, or None and nothing after silence."""
    payload = json.dumps(body).encode() if body is not None else b""

    async def exchange():
        reader, writer = await asyncio.open_connection(*entry.address("frontend"))
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
                    f"X-Request-Deadline: {int(timeout_s * 1000)}\r\nContent-Length: {len(payload)}\r\n"
                    "Connection: close\r\n\r\n")
            writer.write(head.encode() + payload)
            raw = await reader.read()
        finally:
            writer.close()
        head, _, rest = raw.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        if b"transfer-encoding: chunked" in head.lower():
            rest = b"".join(rest.split(b"\r\n")[1::2])
        return status, rest
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None, b""


async def state_of(entry, path):
    """The state that a consumer is shown, "410", or None without an answer that tells one."""
    status, body = await call(entry, "GET", path, timeout_s=2.0)
    if status == 200:
        return json.loads(body).get("state")
    return "410" if status == 410 else None


def holder(store):
    """The name of the entry that holds the scheduler lease, as the store shows it."""
    newest = store.part("keyed.lease").newest.get("holder")
    if newest is None:
        return None
    lease = json.loads(newest[0])
    return None if lease.get("released") else lease["name"]


async def until(what, check, timeout_s):
    """Waits until a condition holds."""
    end = now() + timeout_s
    while now() < end:
        if check():
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"waited in vain: {what}")
