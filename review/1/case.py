"""LOST: a job that repeats often ends each leader, one after the other."""

import asyncio
import time

import platform_standin as platform
import rules
import site_case

TIMES = 31536000  # once a second for a year
TRAFFIC_S = 20
PER_S = 5
FINISH_S = 14
ASK_S = 3  # clients wait as long for an answer: Deadline-Ms


async def scenario(folder, record, trouble):
    site = site_case.Site(folder, record)
    for n in range(6):
        site.add_worker(("shopfront", "billing")[n % 2],
                        lambda task, spec: (0.8, "done"))
    client = platform.Client(record, site.nodes, site.workers)
    other = platform.Client(record, site.nodes, site.workers)
    try:
        await site.start(platform.config(1, ["shopfront", "billing"], {
            "cart": {"service": "shopfront"},
            "renewal": {"service": "billing"}}))
        body = {"taskSpec": "check a basket's price",
                "steps": [{"count": 6, "cpu": 880, "memMb": 3300,
                           "estimateMs": 800}]}
        repeated = {"taskSpec": "look for renewals that are due",
                    "steps": [{"count": 1, "cpu": 500, "memMb": 500,
                               "estimateMs": 800}],
                    "times": TIMES if trouble else 8,
                    "startMs": int(time.time() * 1000) + 1000,
                    "intervalMs": 1000}
        accepted = []

        async def one(job):
            if await client.submit("cart", job, body):
                accepted.append(job)

        async def traffic():
            tasks = []
            for _ in range(TRAFFIC_S * PER_S):
                tasks.append(asyncio.ensure_future(one(platform.job_id())))
                await asyncio.sleep(1 / PER_S)
            await asyncio.gather(*tasks)

        flow = asyncio.ensure_future(traffic())
        await asyncio.sleep(5)
        record("trouble", f"a job with times = {repeated['times']}")
        ok = await other.submit("renewal", platform.job_id(), repeated)
        record("jobs", f"the repeated job was accepted: {ok}")
        await flow
        record("jobs", f"{len(accepted)} accepted")
        await asyncio.sleep(FINISH_S)
        record("jobs", "are asked for")

        async def ask(job):
            """The state, or None if no node answers within ASK_S."""
            end = time.monotonic() + ASK_S
            while time.monotonic() < end:
                code, o = await client.call("GET", "cart", job)
                if code == 200:
                    return o.get("state")
                if code == 410:
                    return "unknown"
                await asyncio.sleep(0.2)
            return None

        states = await asyncio.gather(*(ask(j) for j in accepted))
        begun = {t.split(".")[0] for w in site.workers for t in w.highest}
        broken = []
        for job, state in zip(accepted, states):
            if state in (None, "unknown"):
                broken.append(f"{job}: asked for {FINISH_S} s after the end "
                              f"of the traffic: {state or 'no answer'}")
            elif state != "completed" and job not in begun:
                broken.append(f"{job}: {state}, no task of it has begun "
                              f"{FINISH_S} s after the end of the traffic, "
                              "the workers are idle")
        for i, n in sorted(site.nodes.own_ends.items()):
            record("ends", f"edge-{i} ended by itself {n} times")
        return rules.report(record, broken, "LOST")
    finally:
        site.close()


site_case.main(scenario)
