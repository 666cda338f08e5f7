"""Two consumers choose the same ID on the queues of two services: one job is lost, and its consumer sees and cancels the other's."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
from platform3 import BOUNDS, Deployment, main  # noqa: E402

QUEUE_A, QUEUE_B = "/puxa400/", "/kafi706/"
SERVICE_A, SERVICE_B = "gorkha", "bagmati"


def job(tasks, work_ms):
    return {"spec": "verify", "task_groups": [
        {"count": tasks, "cpu": 1800, "mem_mb": 512, "estimate_ms": work_ms, "work_ms": work_ms}]}


async def case(record, trouble):
    site = Deployment(record, entries=2, minions=12)
    site.service, site.prefix, site.more_queues = SERVICE_A, QUEUE_A, [(QUEUE_B, SERVICE_B)]
    broken = []

    def note(text):
        broken.append(text)
        record(f"broken: {text}")

    def ends(task, service):
        of_service = {m.id for m in site.site.minions if m.service == service}
        return [what for t, _, m, what, _ in site.site.ledger if t == task and m in of_service]

    try:
        await site.start()
        one, two = site.entries
        # Both houses verify the bill of one exporter, and take the ID of the job from the bill.
        first_a = "5c0e7a21d94b36f8"
        first_b = first_a if trouble else "5c0e7a21d94b36f9"
        if await site.hand_in(one, first_a, job(4, 800), QUEUE_A) != 200:
            raise RuntimeError("the job of the first house was not taken")
        taken = await site.hand_in(two, first_b, job(2, 800), QUEUE_B) == 200
        if not taken and not trouble:
            raise RuntimeError("the job of the second house was not taken")
        if taken:
            shown = await site.until_state(two, first_b, ("completed", "failed"), 10, QUEUE_B)
            done = [ends(f"{first_b}.0.0.{n}", SERVICE_B).count("done") for n in range(2)]
            record(f"the second house's job is shown as {shown}; ends `done` of its tasks: {done}")
            if shown == "completed" and 0 in done:
                note(f"MIXED: {QUEUE_B}{first_b} is shown as completed, and none of its tasks has begun")
        # The second house cancels a job of its own.
        second_a = "7d1f8b32ea5c4709"
        second_b = second_a if trouble else "7d1f8b32ea5c470a"
        if await site.hand_in(one, second_a, job(4, 4000), QUEUE_A) != 200:
            raise RuntimeError("the job of the first house was not taken")
        if await site.hand_in(two, second_b, job(2, 4000), QUEUE_B) == 200:
            await asyncio.sleep(1)
            await site.cancel(two, second_b, QUEUE_B)
            shown = await site.until_state(one, second_a, ("completed", "failed", "canceled"), 15, QUEUE_A)
            record(f"the first house's job, which nobody has cancelled, is shown as {shown}")
            if shown in ("canceled", "failed"):
                note(f"LOST: {QUEUE_A}{second_a} is shown as {shown}, and nobody has cancelled it")
        # A consumer asks on its own queue for an ID that was handed in on the other queue alone, and cancels it there.
        third_a = "3e9a6c417d20b85f"
        third_b = third_a if trouble else "3e9a6c417d20b850"
        if await site.hand_in(one, third_a, job(4, 4000), QUEUE_A) != 200:
            raise RuntimeError("the job of the first house was not taken")
        # Later than `visible_ms` after the ack, each entry knows which jobs there are.
        await asyncio.sleep(BOUNDS["visible_ms"] / 1000 + 0.2)
        status, shown = await site.state(two, third_b, QUEUE_B)
        record(f"consumer GET {QUEUE_B}{third_b}, which nobody has submitted: {shown}")
        if status == 200:
            note(f"MIXED: {QUEUE_B}{third_b} is shown as {shown}, and nobody has submitted it")
        return not broken
    finally:
        site.stop()


main(HERE, case)
