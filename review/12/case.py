"""An adviser that needs as long for each minion as to begin with is never asked: no job of its queue ever begins."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
from platform3 import BOUNDS, Deployment, main  # noqa: E402

VALID_MS = 3000  # as in `fleetbench wire`
JOB = {"spec": "verify", "task_groups": [{"count": 4, "cpu": 1800, "mem_mb": 512, "estimate_ms": 800, "work_ms": 800}]}
IDLE_S = 3  # RULES.md, LOST
JOBS = 5


async def case(record, trouble):
    site = Deployment(record, entries=2, minions=12)
    # `decide_ms` plus `each_ms` for each id named: 5 ms + 5 ms, or 20 ms + 5 ms.
    site.advice = {"decide_ms": 5 if trouble else 20, "each_ms": 5, "valid_ms": VALID_MS}
    try:
        await site.start()
        record(f"advice: {site.advice}; every second minion may run a step")
        front, accepted = site.entries[0], {}
        for n in range(JOBS):
            job = f"00000000000000d{n}"
            if await site.hand_in(front, job, JOB) != 200:
                raise RuntimeError("a job was not taken")
            accepted[job] = time.monotonic()
            await asyncio.sleep(0.5)
        for job in accepted:
            left = accepted[job] + BOUNDS["finish_s"] - time.monotonic()
            await site.until_state(front, job, ("completed", "failed"), max(left, 0.5))
        # Jobs are asked for `finish_s` after the traffic ends; 3 s without a run count from then on.
        traffic_end = max(accepted.values())
        waited, idle, room = {}, {}, sum(m.capacity["cpu"] for m in site.site.minions)
        for job, at in accepted.items():
            starts = [t for task, _, _, what, t in site.site.ledger if task.startswith(job) and what == "start"]
            waited[job] = (min(starts) if starts else time.monotonic()) - at
            idle[job] = at + waited[job] - traffic_end
            record(f"job {job}: first start {'after' if starts else 'never, in'} {waited[job]:.1f} s")
        started = sum(1 for *_, what, _ in site.site.ledger if what == "start")
        record(f"{started} starts, {site.site.adviser.calls} calls to the adviser, {room} thousandths of a core in all")
        # Each job asks for 7,200 of them: with all five there is room for each twice over, and under half is in use.
        return all(time_s <= IDLE_S for time_s in idle.values())
    finally:
        site.stop()


main(HERE, case)
