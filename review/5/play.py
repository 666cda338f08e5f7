"""One large job, whose state is larger than a record of the store may be."""
import pathlib
from stage import *

LARGE = {"spec": json.dumps({"work_ms": 8000, "spread_ms": 40000}),
         "task_groups": [{"count": 10000, "cpu": 50, "mem_mb": 10, "estimate_ms": 20000, "checkpointing": True}]}
SMALL = {"spec": json.dumps({"work_ms": 800}), "task_groups": [{"count": 4, "cpu": 1800, "mem_mb": 500, "estimate_ms": 800}]}
FINISH_S = 14


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(48)]
    route = {"name": "q", "host": "jobs.test", "path_prefix": "/q/", "backend": "svc", "priority": 0, "max_attempts": 3,
             "extension": 1.6, "target_latency_ms": 600}
    await s.begin(workers, [route], [{"name": "svc", "preconditions": True}])
    accepted = []
    large = f"{0xB16:016x}"
    if TROUBLE and await s.submit(s.nodes[0], "/q/", large, LARGE) == 200:
        accepted.append(large)
    for n in range(24):
        job = f"{n + 1:016x}"
        if await s.submit(s.nodes[n % 3], "/q/", job, SMALL) == 200:
            accepted.append(job)
        await asyncio.sleep(1.0)
        s.log(f"runs at work: {sum(len(w.runs) for w in workers)}; starts so far: {s.fleet.starts}; "
              f"largest record sent: {s.store.largest['keyed.state']} bytes; appends refused for size: {s.store.refused['keyed.state']}")
    s.log(f"the traffic has ended; jobs are asked for in {FINISH_S} s")
    room, starved_for, since = sum(w.cap["cpu"] for w in workers), 0.0, now()
    until = now() + FINISH_S
    while now() < until:
        await asyncio.sleep(0.1)
        begun = {task.split(".")[0] for task in list(s.judge.runs)}
        in_use = sum(w.used["cpu"] for w in workers)
        if in_use * 2 > room or all(job in begun for job in accepted):
            since = now()
        starved_for = max(starved_for, now() - since)
    unanswered, unfinished = [], []
    for n, job in enumerate(accepted):
        state = await s.state(s.nodes[n % 3], "/q/", job)
        if not isinstance(state, str):
            state = await s.state(s.nodes[(n + 1) % 3], "/q/", job)
        if not isinstance(state, str):
            unanswered.append(job)
        elif state != "completed":
            unfinished.append(job)
    never_begun = [job for job in accepted if not any(task.startswith(job) for task in s.judge.runs)]
    s.log(f"accepted {len(accepted)}; not answered for {len(unanswered)}; not completed {len(unfinished)}; never begun {len(never_begun)}; "
          f"accepted jobs had nothing running for {starved_for:.1f} s on end; {in_use} of {room} thousandths of a core are in use")
    if unanswered:
        s.judge.broke("LOST", f"{len(unanswered)} accepted jobs aren't answered for {FINISH_S} s after the traffic")
    if never_begun and starved_for > 3:
        s.judge.broke("LOST", f"{len(never_begun)} accepted jobs run nothing for {starved_for:.1f} s while under half of the service is in use")


main(pathlib.Path(__file__).parent, play)
