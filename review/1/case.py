"""TWICE: more than 500 ends wait on a minion when a new lease holder polls it for the first time."""
import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from case import SERVICE, broken_twice, main  # noqa: E402
from entries import ZONES, until  # noqa: E402
from standins import Minion, now  # noqa: E402

JOB = "5c0e7a21d94b3601"
TASKS = 2000
CPU, MEM_MB = 30, 60
# Tasks work from 7.5 to 9.5 seconds, so that without the disruption few ends wait at a time.
WORK_S, SPREAD_S = 7.5, 2.0


def work_s(task, run):
    return WORK_S + SPREAD_S * (int(task.rsplit(".", 1)[1]) * 7919 % 1000) / 1000


async def play(case):
    rng = random.Random(1)
    for n in range(3):
        case.minions.append(Minion(case.store, case.machines, case.ledger, f"i-{rng.getrandbits(32):08x}", f"m-{n}",
                                   SERVICE, ZONES[n], work_s))
    await case.open()
    await case.submit(JOB, {"spec": "credit", "task_groups": [
        {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": int(WORK_S * 1000)}]}, (CPU, MEM_MB))
    await until("the first start", lambda: case.runs(), 10)
    first = case.runs()[0]["start"]
    await asyncio.sleep(max(0.0, first + WORK_S - 0.3 - now()))
    case.note(f"starts so far: {len(case.runs())}")
    if case.trouble:
        holder = case.holder()
        case.note(f"kill -KILL {holder.name}, which holds the scheduler lease")
        holder.send(signal.SIGKILL)
    state = await case.wait_for_state(JOB, {"completed", "failed", "canceled", "410"}, 40)
    await asyncio.sleep(1.0)
    case.note(f"last state shown: {state}; most ends that waited on a minion: "
              f"{max(m.most_pending for m in case.minions)}; starts: {len(case.runs())} of {TASKS} tasks")
    return broken_twice(case.runs())


main(play)
