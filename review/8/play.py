"""Two tenants choose the same ID for their jobs."""
import pathlib
from stage import *

FINISH_S = 14
VISIBLE_MS = 3000


def body(tenant):
    return {"spec": json.dumps({"work_ms": 800, "of": tenant}), "task_groups": [{"count": 3, "cpu": 1800, "mem_mb": 500, "estimate_ms": 800}]}


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(8)]
    route = {"name": "q", "host": "jobs.test", "path_prefix": "/q/", "backend": "svc", "priority": 0, "max_attempts": 3,
             "extension": 1.6, "target_latency_ms": 600, "public": False}
    tenants = [{"name": f"tenant-{t}", "api_keys": [f"key-{t}"], "weight": 10.0, "max_items": {}} for t in "ab"]
    await s.begin(workers, [route], [{"name": "svc", "preconditions": True}], tenants=tenants)
    s.judge.sent = lambda job, body, tenant=None: None  # below, a job is known by its ID and its tenant
    sent, accepted = {}, []
    for n in range(1, 11):
        for tenant in "ab":
            # Each tenant numbers its jobs from 1; without the disruption, b begins at 1001.
            number = n if TROUBLE or tenant == "a" else 1000 + n
            job, job_body = f"{number:016x}", body(tenant)
            s.judge.jobs[job] = job_body if tenant == "a" or not TROUBLE else s.judge.jobs[job]
            sent[tenant, job] = job_body
            if await s.submit(s.nodes[n % 3], "/q/", job, job_body, f"key-{tenant}") == 200:
                accepted.append((tenant, job, now()))
        await asyncio.sleep(0.5)
    s.log(f"the traffic has ended; jobs are asked for in {FINISH_S} s")
    await asyncio.sleep(FINISH_S)
    gone, foreign = [], []
    for tenant, job, at in accepted:
        state = await s.state(s.nodes[0], "/q/", job, f"key-{tenant}")
        if state == 410 and now() - at > VISIBLE_MS / 1000:
            gone.append((tenant, job))
        ran = {r.spec for task, runs in s.judge.runs.items() if task.startswith(job) for r in runs}
        if sent[tenant, job]["spec"] not in ran:
            s.log(f"job {job} of tenant-{tenant}: no task of it was ever started; state {state}")
            if state == "completed":
                foreign.append((tenant, job))
    if gone:
        s.judge.broke("LOST", f"{len(gone)} of {len(accepted)} accepted jobs that nobody has cancelled are answered with 410")
    if foreign:
        s.judge.broke("MIXED", f"{len(foreign)} jobs are shown as completed whose tasks never ran")


main(pathlib.Path(__file__).parent, play)
