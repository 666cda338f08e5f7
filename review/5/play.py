"""The store flaps: it refuses hand-ins, holds them for a moment before it is back, and is gone again. A job that was answered 503 runs."""
import pathlib, collections
from stage import *

SLOW_S = 0.24  # 60 times the 4 ms of an answer


def keys(body):
    """The keys of the records of an append."""
    found, at = [], 0
    while at < len(body):
        length = int.from_bytes(body[at:at + 4], "big")
        found.append(body[at + 5:at + 5 + body[at + 4]].decode())
        at += 4 + length
    return found


async def play(s):
    workers = [Worker(s.fleet, f"w{n}", "svc", f"m{n}", f"z{n % 2 + 1}", labels=("a", f"r{n // 4}")) for n in range(9)]
    route = {"name": "q", "host": "jobs.test", "path_prefix": "/q/", "backend": "svc", "priority": 0, "max_attempts": 3,
             "extension": 1.6, "target_latency_ms": 600}
    phases, handle, seen = ["sound"], s.store.handle, collections.defaultdict(list)

    async def flapping(method, path, query, headers, body):
        if path != "/workswood/log-append" or query.get("topic") != "keyed.inbox" or phases[0] == "sound":
            return await handle(method, path, query, headers, body)
        came, phase, jobs = now() - s.judge.begun, phases[0], keys(body)
        done = phase == "open"
        answer = await handle(method, path, query, headers, body) if done else js(503, {})
        if phase != "closed":
            await asyncio.sleep(SLOW_S)
        for job in jobs:
            seen[job].append(f"came {came:.3f}, answered {now() - s.judge.begun:.3f} with {answer[0]}{', done' if done else ''}")
        return answer

    s.store.handle = flapping
    await s.begin(workers, [route], [{"name": "svc", "preconditions": True}])

    async def turn():
        # Three times 4.5 s of trouble, in which the store comes back for a moment now and then.
        for _ in range(3):
            await asyncio.sleep(4.0)
            until = now() + 4.5
            while now() < until:
                for phase, least, most in [("closed", 0.7, 1.5), ("slow", 0.1, 0.2), ("open", 0.05, 0.15)]:
                    phases[0] = phase
                    await asyncio.sleep(min(random.uniform(least, most), max(0, until - now())))
            phases[0] = "sound"

    turning = asyncio.ensure_future(turn()) if TROUBLE else None
    answers = collections.defaultdict(list)

    async def hand_in(n):
        job = f"{n:016x}"
        b = {"spec": json.dumps({"work_ms": 300, "n": n}), "task_groups": [{"count": 1, "cpu": 500, "mem_mb": 50, "estimate_ms": 300}]}
        s.judge.sent(job, b)
        for attempt in range(2):
            status, _ = await s.call(s.nodes[(n + attempt) % 3], "POST", "/q/" + job, b)
            answers[job].append(status)
            if status not in (429, 503):
                break
            await asyncio.sleep(1.0)

    tasks = []
    for n in range(1, 500):
        tasks.append(asyncio.ensure_future(hand_in(n)))
        await asyncio.sleep(0.06)
    await asyncio.gather(*tasks)
    await asyncio.sleep(8)
    ran = {task.split(".")[0] for task in s.judge.runs}
    s.log("answers: " + str(collections.Counter(a for v in answers.values() for a in v)))
    refused = [job for job, a in answers.items() if all(x in (429, 503) for x in a)]
    wrong = [job for job in refused if job in ran]
    for job in wrong[:3]:
        s.log(f"job {job}, its appends at the store: " + "; ".join(seen[job]))
    if wrong:
        s.judge.broke("REFUSED", f"{len(wrong)} of {len(refused)} jobs all of whose hand-ins were answered 503 run: {wrong[:5]}")


main(pathlib.Path(__file__).parent, play)
