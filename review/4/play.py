"""Some jobs that can never be done keep all jobs of a lower priority from ever beginning."""
import pathlib
from stage import *

FINISH_S = 14
TASK_CPU = 1800
SHARE = 0.05  # of the jobs of one queue can never be done,
SPELLS = [(1.0, 4.0), (7.0, 10.0), (13.0, 16.0), (19.0, 22.0)]  # in these spells of 3 s


def job_body(**more):
    return {"spec": json.dumps({"work_ms": 400}), "task_groups": [{"count": 4, "cpu": TASK_CPU, "mem_mb": 500, "estimate_ms": 400, **more}]}


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(9)]
    route = {"host": "jobs.test", "backend": "svc", "max_attempts": 3, "extension": 1.6, "target_latency_ms": 600}
    routes = [{**route, "name": "urgent", "path_prefix": "/urgent/", "priority": 0},
              {**route, "name": "plain", "path_prefix": "/plain/", "priority": 1}]
    await s.begin(workers, routes, [{"name": "svc", "preconditions": True}])
    accepted, hopeless, tasks = {}, set(), []

    async def hand_in(node, prefix, job, body):
        if await s.submit(node, prefix, job, body) == 200:
            accepted[job] = (prefix, now())

    begun_at, in_spells, n = now(), 0, 0
    while now() < begun_at + 26:
        n += 1
        job, prefix, body = f"{n:016x}", "/plain/" if n % 6 == 0 else "/urgent/", job_body()
        if prefix == "/urgent/" and any(a <= now() - begun_at < b for a, b in SPELLS):
            in_spells += 1
            if TROUBLE and in_spells % int(1 / SHARE) == 0:
                # The same job, but for more cores than any minion has (32).
                body = job_body(cpu=64000)
                hopeless.add(job)
        tasks.append(asyncio.ensure_future(hand_in(s.nodes[n % 3], prefix, job, body)))
        await asyncio.sleep(max(0.0, begun_at + n * 0.04 - now()))
    await asyncio.gather(*tasks)
    s.log(f"{in_spells} jobs of /urgent/ came in the spells, {len(hopeless)} of which can never be done")
    s.log(f"the traffic has ended: {len(accepted)} jobs accepted, {len(hopeless)} of which can never be done; jobs are asked for in {FINISH_S} s")
    room = sum(w.cap["cpu"] for w in workers)
    until, starved_since, starved_for = now() + FINISH_S, {}, {}
    while now() < until:
        await asyncio.sleep(0.1)
        in_use = sum(w.used["cpu"] for w in workers)
        begun = {task.split(".")[0] for task in s.judge.runs}
        for job in accepted:
            if job in hopeless or job in begun or in_use * 2 > room or room - in_use < 2 * 4 * TASK_CPU:
                starved_since.pop(job, None)
            else:
                starved_for[job] = max(starved_for.get(job, 0), now() - starved_since.setdefault(job, now()))
    states = {}
    for n, (job, (prefix, _)) in enumerate(accepted.items()):
        if job not in hopeless:
            state = await s.state(s.nodes[n % 3], prefix, job)
            states.setdefault((prefix, state), []).append(job)
    s.log("states of the jobs that can be done: " + ", ".join(f"{prefix} {state}: {len(jobs)}" for (prefix, state), jobs in sorted(states.items(), key=str)))
    starved = [job for job, seconds in starved_for.items() if seconds > 3]
    if starved:
        s.judge.broke("LOST", f"{len(starved)} accepted jobs run nothing for {max(starved_for.values()):.1f} s on end, while "
                              f"{sum(w.used['cpu'] for w in workers)} of {room} thousandths of a core are in use")


main(pathlib.Path(__file__).parent, play)
