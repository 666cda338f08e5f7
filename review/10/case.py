"""Checkpoints of some kilobytes make the state of one job larger than an append of the store: nothing is done any more."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
from platform3 import BOUNDS, CALL_BYTES, Deployment, main  # noqa: E402

# As large as the site file lets a job be: 5 steps of 32 tasks (`steps.max`, `width.max`), 6 times 2 s apart (`times`,
# `every_s`); the steps save their progress (`saves`).
TIMES, EVERY_MS = 6, 2000
STEPS = [{"count": 32, "cpu": 2000, "mem_mb": 512, "estimate_ms": 800, "checkpointing": True, "work_ms": 800,
          **({"after": [n - 1]} if n else {})} for n in range(5)]
SMALL = {"spec": "verify", "task_groups": [{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 300, "work_ms": 300}]}
# Length of a checkpoint: that of the example in PROTOCOL.md, and somewhat more than half of what a `spec` may have.
SHORT, LONG = 16, 2300
IDLE_S = 3  # RULES.md, LOST


async def case(record, trouble):
    site = Deployment(record, entries=2, minions=12)
    try:
        await site.start()
        front = site.entries[0]
        if await site.hand_in(front, "00000000000000b0", SMALL) != 200:
            raise RuntimeError("the first job was not taken")
        if await site.until_state(front, "00000000000000b0", ("completed", "failed"), 15) != "completed":
            raise RuntimeError("the first job was not done")
        site.site.checkpoint_chars = LONG if trouble else SHORT
        record(f"checkpoints have {site.site.checkpoint_chars} characters")
        large = "00000000000000b1"
        body = {"spec": "review", "task_groups": STEPS, "repeat_count": TIMES,
                "start_at_ms": int(time.time() * 1000), "interval_ms": EVERY_MS}
        if await site.hand_in(front, large, body) != 200:
            raise RuntimeError("the large job was not taken")
        shown = await site.until_state(front, large, ("completed", "failed"), 25)
        record(f"the large job is shown as {shown}; appends of more than {CALL_BYTES} bytes: {site.store.too_large}")
        if os.environ.get("RESTART"):
            record("all entries are killed and started again")
            for entry in site.entries:
                entry.kill()
            for entry in site.entries:
                entry.start()
            for entry in site.entries:
                await site.until_ready(entry)
            await asyncio.sleep(8)
        late = "00000000000000b2"
        if await site.hand_in(front, late, SMALL) != 200:
            raise RuntimeError("the last job was not taken")
        accepted = time.monotonic()
        busiest = 0
        # Only what the minions see and the callers are told counts: a start of the job, and an answer to a GET.
        answered = None
        while time.monotonic() < accepted + BOUNDS["finish_s"]:
            in_use = sum(site.site.step(t)["cpu"] for m in site.site.minions for t in m.running)
            started = any(task.startswith(late) and what == "start" for task, _, _, what, _ in site.site.ledger)
            if not started:
                busiest = max(busiest, in_use)
            status, state = await site.state(front, late)
            if status == 200 and answered is None:
                answered = time.monotonic() - accepted
                record(f"consumer GET {late} first answered 200 {state} after {answered:.1f} s")
            if started and state == "completed":
                break
            await asyncio.sleep(0.2)
        starts = [at for task, _, _, what, at in site.site.ledger if task.startswith(late) and what == "start"]
        waited = (min(starts) if starts else time.monotonic()) - accepted
        room = sum(m.capacity["cpu"] for m in site.site.minions)
        record(f"job {late}: accepted, first start {'after' if starts else 'never, in'} {waited:.1f} s; meanwhile at most "
               f"{busiest} of {room} thousandths of a core in use; GET answered: {answered is not None}; appends of more "
               f"than {CALL_BYTES} bytes: {site.store.too_large}")
        ran_nothing = waited > IDLE_S and busiest * 2 < room
        return not (ran_nothing or answered is None)
    finally:
        site.stop()


main(HERE, case)
