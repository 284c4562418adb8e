"""LOST: advice is asked for the same workers again and again."""

import asyncio
import time

import platform_standin as platform
import rules
import site_case

WORKERS = 9  # of the service, 3 in each zone
FINISH_S = 14


async def scenario(folder, record, trouble):
    site = site_case.Site(folder, record)
    for n in range(WORKERS):
        w = site.add_worker("billing", lambda task, spec: (1.3, "done"))
        w.zone = f"ro-central-{'abc'[n // 3]}"

    # The policy: the shop's data may be worked on in one zone only.
    def allows(step, worker):
        return worker.zone == "ro-central-c" or not trouble

    adviser = platform.Adviser(site.workers, record, allows, 20, 3, 3000)
    for w in site.workers:
        w.adviser = adviser
    client = platform.Client(record, site.nodes, site.workers)
    try:
        await adviser.start(site.adviser_address)
        await site.start(platform.config(1, ["billing"], {"renewal": {
            "service": "billing", "advice": {
                "decisionMs": 20, "perWorkerMs": 3, "validityMs": 3000}}}))
        if trouble:
            record("trouble", "the policy allows only the workers " +
                   " ".join(w.id for w in site.workers if allows("", w)))
        body = {"taskSpec": "bill a renewal",
                "steps": [{"count": 2, "cpu": 1900, "memMb": 5500,
                           "estimateMs": 1300}]}
        jobs = []
        for _ in range(10):
            job = platform.job_id()
            if await client.submit("renewal", job, body):
                jobs.append(job)
            await asyncio.sleep(1)
        record("jobs", f"{len(jobs)} accepted")
        await asyncio.sleep(FINISH_S)
        begun = {t.split(".")[0] for w in site.workers for t in w.highest}
        broken = []
        for job in jobs:
            state = await client.state("renewal", job)
            if state != "completed" and job not in begun:
                broken.append(f"{job}: {state}; no task of it has begun, "
                              f"{FINISH_S} s after the end of the traffic; "
                              "all workers are idle, 3 of them are allowed "
                              "and have room for 24 of its tasks")
        return rules.report(record, broken, "LOST")
    finally:
        site.close()


site_case.main(scenario)
