"""What all cases share: the platform's stand-ins, three entries, a manifest, and the record."""
import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from pathlib import Path

import entries as ent
from standins import Ledger, Machines, Store, now

SERVICE = "sagar"
PREFIX = "/credit/"


class Case:
    """A small deployment, and the record of what happened on it."""

    def __init__(self, folder):
        self.folder, self.trouble = folder, os.environ.get("TROUBLE", "1") != "0"
        self.store, self.machines, self.ledger = Store(), Machines(), Ledger()
        self.minions, self.entries = [], []

    def note(self, text):
        self.ledger.note(text)

    async def open(self, max_attempts=3):
        """Opens the platform, writes the manifest and starts the entries."""
        await self.store.server.open()
        await self.machines.server.open()
        self.store.write("keyed.op", "config", {
            "version": 7,
            "routes": [{"name": "r-1", "host": ent.HOST, "path_prefix": PREFIX, "type": "non_idempotent",
                        "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "backend": SERVICE,
                        "max_attempts": max_attempts, "extension": 1.6}],
            "backends": [{"name": SERVICE, "preconditions": True}], "limits": {"max_body_bytes": 262144}})
        for m in self.minions:
            await m.open()
        self.entries = ent.entries(self.folder, self.store, self.machines)
        for e in self.entries:
            e.start()
        await ent.until("a lease holder", lambda: ent.holder(self.store) is not None, 15)
        await asyncio.sleep(3.0)

    def holder(self):
        name = ent.holder(self.store)
        return next(e for e in self.entries if e.name == name)

    def others(self):
        name = ent.holder(self.store)
        return [e for e in self.entries if e.name != name and e.process.poll() is None]

    async def submit(self, job, body, needs):
        """Hands a job in as a consumer does, until it is accepted."""
        for m in self.minions:
            m.needs[job] = needs
        for n in range(10):
            status, _ = await ent.call(self.others()[n % 2], "POST", PREFIX + job, body)
            self.note(f"sent POST job={job} answer={status}")
            if status == 200:
                return
            await asyncio.sleep(0.3)
        raise ent.CannotRun(f"job {job} was not accepted")

    async def wait_for_state(self, job, wanted, timeout_s, asked=None):
        """Asks for the state of a job until it is one of `wanted`; returns the last one that was told."""
        last, end = None, now() + timeout_s
        while now() < end:
            for e in asked or [x for x in self.entries if x.process.poll() is None]:
                state = await ent.state_of(e, PREFIX + job)
                if state is not None and state != last:
                    self.note(f"shown job={job} state={state} by={e.name}")
                    last = state
                if last in wanted:
                    return last
            await asyncio.sleep(0.2)
        return last

    def runs(self):
        return self.ledger.runs


def main(play):
    """Plays a case and writes its record; `play(case)` returns the lines that tell how the rule was broken."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    case = Case(folder)

    async def run():
        try:
            return await play(case)
        finally:
            for e in case.entries:
                e.kill()
    code, broken = 2, []
    # The entries are ended too when the case is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
    except ent.CannotRun as e:
        case.note(f"the case can't run: {e}")
    except Exception:
        case.note("the case can't run: " + traceback.format_exc().replace("\n", " | "))
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    lines = [f"TROUBLE={int(case.trouble)}", *case.ledger.lines, *broken, f"result: {verdict}"]
    Path("record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join([*broken[:20], f"result: {verdict}"]))
    if os.environ.get("KEEP_LOGS"):
        print(f"logs of the entries: {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)


def broken_twice(runs):
    """TWICE, for tasks of steps without `speculative`: two runs of a task at once, or a start that follows a
    run that ended `done`, where that end was taken note of and the minion's lease had not lapsed before."""
    broken, by_task = [], {}
    for r in runs:
        by_task.setdefault(r["task"], []).append(r)
    for task, rows in sorted(by_task.items()):
        rows.sort(key=lambda r: r["start"])
        for a, b in ((a, b) for n, b in enumerate(rows) for a in rows[:n]):
            if a["end"] is None or a["end"] > b["start"]:
                broken.append(f"TWICE task={task}: run {b['run']} on {b['minion']} began while run {a['run']} on "
                              f"{a['minion']} was at work")
            elif a["how"] == "done" and a["noted"] is not None and not a["lapsed"]:
                broken.append(f"TWICE task={task}: run {b['run']} on {b['minion']} began "
                              f"{int(1000 * (b['start'] - a['end']))} ms after run {a['run']} on {a['minion']} had ended "
                              "done; that end was taken note of")
    return broken
