"""UNASKED: starts of a cancelled job are sent for seconds after the ack of its cancelling."""
import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from case import PREFIX, SERVICE, main  # noqa: E402
from entries import ZONES, call, until  # noqa: E402
from standins import Minion, now  # noqa: E402

JOB = "5c0e7a21d94b3603"
TASKS = 1600
CPU, MEM_MB = 20, 60
WORK_S = 30.0
# The dose of `applied_late` in the site file.
LATE_SHARE, LATE_S = 0.055, 5.5
CANCEL_S = 3.0


async def play(case):
    rng = random.Random(3)
    for n in range(3):
        case.minions.append(Minion(case.store, case.machines, case.ledger, f"i-{rng.getrandbits(32):08x}", f"m-{n}",
                                   SERVICE, ZONES[n], lambda task, run: WORK_S))
    await case.open()
    if case.trouble:
        case.note(f"the minions leave {LATE_SHARE} of the orders unanswered for {LATE_S} s")
        for m in case.minions:
            m.late_share = LATE_SHARE
    trouble_ends = now() + LATE_S
    await case.submit(JOB, {"spec": "credit", "task_groups": [
        {"count": TASKS, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": int(WORK_S * 1000)}]}, (CPU, MEM_MB))
    await until("the first start", lambda: case.runs(), 10)
    await asyncio.sleep(1.0)
    acked = None
    for entry in case.others() * 5:
        case.note(f"sent DELETE job={JOB} to={entry.name}; starts so far: {len(case.runs())}")
        status, _ = await call(entry, "DELETE", PREFIX + JOB)
        case.note(f"answer to DELETE job={JOB}: {status}")
        if status is not None and (status == 410 or 200 <= status < 300):
            acked = now()
            break
    if acked is None:
        return []
    await asyncio.sleep(max(0.0, trouble_ends - now()))
    for m in case.minions:
        m.late_share = 0.0
    case.note(f"all orders are answered again; starts so far: {len(case.runs())}")
    await case.wait_for_state(JOB, {"canceled"}, 5)
    await asyncio.sleep(12.0)
    after = [r for r in case.runs() if r["start"] > acked + CANCEL_S and not r["late"]]
    case.note(f"starts: {len(case.runs())}, of these {len(after)} more than {CANCEL_S} s after the ack, not counting those "
              "that a minion carried out late")
    return [f"UNASKED task={r['task']}: run {r['run']} began on {r['minion']} {r['start'] - acked:.2f} s after the ack "
            "of the job's cancelling" for r in after]


main(play)
