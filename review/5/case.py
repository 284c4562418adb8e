"""TWICE: a new leader starts the tasks of a repeated job that still run."""

import asyncio
import signal
import time

import platform_standin as platform
import rules
import site_case

TASK_S = 3.3
CUT_S = 5.0


async def scenario(folder, record, trouble):
    site = site_case.Site(folder, record)
    for _ in range(6):
        site.add_worker("billing", lambda task, spec: (TASK_S, "done"))
    runs = rules.Runs(site.workers)
    client = platform.Client(record, site.nodes, site.workers)
    try:
        await site.start(platform.config(1, ["billing"], {"renewal": {
            "service": "billing"}}))
        body = {"taskSpec": "bill the renewals that are due",
                "steps": [{"count": 12, "cpu": 1900, "memMb": 5500,
                           "estimateMs": 3300, "antiAffinity": 3}],
                "times": 4, "startMs": int(time.time() * 1000) + 1000,
                "intervalMs": 3000}
        if not await client.submit("renewal", platform.job_id(), body):
            raise RuntimeError("the job was not accepted")
        begun = time.monotonic()
        while not any(w.running for w in site.workers):
            if time.monotonic() > begun + 20:
                raise RuntimeError("no task of the job has begun")
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)  # all of the occurrence's tasks run now
        leader = site.nodes.leader(site.store)
        if trouble:
            worker = max(site.workers, key=lambda w: len(w.running))
            record("trouble", f"{worker.id} is cut off and runs on")
            worker.cut = True
            await asyncio.sleep(0.2)
            site.nodes.signal(leader, signal.SIGTERM)
            await asyncio.sleep(CUT_S)
            worker.cut = False
            record("trouble", f"{worker.id} is reached again")
        await asyncio.sleep(20)
        return rules.report(record, [f"{t}: {what}" for t, what
                                     in runs.twice()], "TWICE")
    finally:
        site.close()


site_case.main(scenario)
