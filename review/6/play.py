"""Two tenants choose the same ID at the same time, and the lease holder is killed while the jobs run."""
import pathlib
from stage import *

FINISH_S = 14
PAIRS = 20


def body(tenant):
    group = {"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 2500}
    return {"spec": json.dumps({"work_ms": 2500, "of": tenant}), "task_groups": [group, {**group, "after": [0]}]}


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(8)]
    route = {"name": "q", "host": "jobs.test", "path_prefix": "/q/", "backend": "svc", "priority": 0, "max_attempts": 3,
             "extension": 1.6, "target_latency_ms": 600, "public": False}
    tenants = [{"name": f"tenant-{t}", "api_keys": [f"key-{t}"], "weight": 10.0, "max_items": {}} for t in "ab"]
    await s.begin(workers, [route], [{"name": "svc", "preconditions": True}], tenants=tenants)
    sent, ran, accepted = {}, {}, []
    s.judge.started = lambda worker, run: ran.setdefault((run.task, run.spec), []).append(run)  # checks are made below
    holder = s.holder()
    others = [node for node in s.nodes if node is not holder]

    async def hand_in(tenant, job, node):
        sent[tenant, job] = body(tenant)
        s.judge.jobs[job] = sent[tenant, job]
        status, _ = await s.call(node, "POST", "/q/" + job, sent[tenant, job], f"key-{tenant}")
        if status == 200:
            accepted.append((tenant, job))

    for n in range(1, PAIRS + 1):
        job = f"{n:016x}"
        await asyncio.gather(hand_in("a", job, others[0]), hand_in("b", job, others[1]))
        await asyncio.sleep(0.05)
    await asyncio.sleep(3.2)
    if TROUBLE:
        s.log(f"the lease holder {holder.name} is killed, and starts again after 2 s")
        holder.kill()
        await asyncio.sleep(2.0)
        holder.start()
    s.log(f"the traffic has ended; jobs are asked for in {FINISH_S} s")
    await asyncio.sleep(FINISH_S)
    wrong = []
    for tenant, job in accepted:
        state = await s.state(others[0], "/q/", job, f"key-{tenant}")
        spec = sent[tenant, job]["spec"]
        done = [f"{job}.0.{step}.{i}" for step in (0, 1) for i in (0, 1) if any(r.ended == "done" for r in ran.get((f"{job}.0.{step}.{i}", spec), []))]
        s.log(f"job {job} of tenant-{tenant}: state {state}, {len(done)} of its 4 tasks have ended done")
        if state == "completed" and len(done) < 4:
            wrong.append((tenant, job, len(done)))
    if wrong:
        s.judge.broke("MIXED", f"{len(wrong)} of {len(accepted)} accepted jobs are shown as completed though tasks of theirs never ended done: {wrong[:4]}")


main(pathlib.Path(__file__).parent, play)
