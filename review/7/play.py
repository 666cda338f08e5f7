"""One job of many steps, over which the scheduler computes for tens of seconds at a time."""
import pathlib
from stage import *

STEPS, BEFORE = 1000, 45
MANY = {"spec": json.dumps({"work_ms": 500}),
        "task_groups": [{"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 500, **({"after": list(range(max(0, n - BEFORE), n))} if n else {})}
                        for n in range(STEPS)]}
SMALL = {"spec": json.dumps({"work_ms": 800}), "task_groups": [{"count": 4, "cpu": 1800, "mem_mb": 500, "estimate_ms": 800}]}
FINISH_S = 14


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(24)]
    route = {"name": "q", "host": "jobs.test", "path_prefix": "/q/", "backend": "svc", "priority": 0, "max_attempts": 3,
             "extension": 1.6, "target_latency_ms": 600}
    await s.begin(workers, [route], [{"name": "svc", "preconditions": True}])
    accepted = []
    many = f"{0xDA6:016x}"
    s.log(f"the job of {STEPS} steps is a body of {len(json.dumps(MANY, separators=(',', ':')))} bytes")
    if TROUBLE and await s.submit(s.nodes[0], "/q/", many, MANY) == 200:
        accepted.append(many)
    for n in range(8):
        job = f"{n + 1:016x}"
        if await s.submit(s.nodes[n % 3], "/q/", job, SMALL) == 200:
            accepted.append(job)
        await asyncio.sleep(1.0)
        s.log(f"runs at work: {sum(len(w.runs) for w in workers)}; starts so far: {s.fleet.starts}")
    s.log(f"the traffic has ended; jobs are asked for in {FINISH_S} s")
    room, starved_for, since, states = sum(w.cap["cpu"] for w in workers), 0.0, now(), {}

    async def ask():
        # Each job is asked for again and again, at one entry after the other, until it is answered as completed.
        turn = 0
        while now() < until:
            for job in accepted:
                if states.get(job) != "completed":
                    state = await s.state(s.nodes[turn % 3], "/q/", job)
                    if isinstance(state, str):
                        states[job] = state
            turn += 1
            await asyncio.sleep(1.0)

    until = now() + FINISH_S
    asking = asyncio.ensure_future(ask())
    while now() < until:
        await asyncio.sleep(0.1)
        begun = {task.split(".")[0] for task in s.judge.runs}
        in_use = sum(w.used["cpu"] for w in workers)
        # The small jobs need 4 x 1.8 cores; twice that has to be free, and under half of the service in use.
        if in_use * 2 > room or room - in_use < 2 * 7200 or all(job in begun for job in accepted):
            since = now()
        starved_for = max(starved_for, now() - since)
    await asking
    unanswered = [job for job in accepted if job not in states]
    unfinished = [job for job in accepted if job != many and job in states and states[job] != "completed"]
    longest_idle = starved_for
    s.log(f"accepted {len(accepted)}; not answered for {len(unanswered)}; small ones not completed {len(unfinished)}; some accepted job "
          f"ran nothing for {longest_idle:.1f} s on end, with room for it twice over")
    if unanswered:
        s.judge.broke("LOST", f"{len(unanswered)} accepted jobs aren't answered for {FINISH_S} s after the traffic")
    if longest_idle > 3:
        s.judge.broke("LOST", f"accepted jobs run nothing for {longest_idle:.1f} s with under half of the service in use")


main(pathlib.Path(__file__).parent, play)
