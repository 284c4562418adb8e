"""Acks: the progress row of a repeated job grows over rowBytes."""

import asyncio
import time

import platform_standin as platform
import rules
import site_case

PAST = 1500  # occurrences that are due, one each minute: a day and an hour
TIMES = 10080  # a week
STEPS = 5  # of an occurrence; the sites' largest
TRAFFIC_S = 35
PER_S = 2
FINISH_S = 14
CANCEL_EACH = 5
ACK_S = 4  # ackMs


async def scenario(folder, record, trouble):
    site = site_case.Site(folder, record)

    def behaviour(task, spec):
        return (0.3 if spec.startswith("look") else 0.8), "done"

    for n in range(6):
        site.add_worker(("shopfront", "billing")[n % 2], behaviour)
    runs = rules.Runs(site.workers)
    client = platform.Client(record, site.nodes, site.workers)
    try:
        await site.start(platform.config(1, ["shopfront", "billing"], {
            "cart": {"service": "shopfront"},
            "renewal": {"service": "billing"}}))
        body = {"taskSpec": "check a basket's price",
                "steps": [{"count": 6, "cpu": 880, "memMb": 3300,
                           "estimateMs": 800}]}
        # Jobs that repeat each 3 s, as often as the sites' do
        steady = {"taskSpec": "check the baskets of a shop",
                  "steps": [{"count": 24, "cpu": 880, "memMb": 3300,
                             "estimateMs": 800}],
                  "times": 40, "intervalMs": 3000,
                  "startMs": int(time.time() * 1000) + 1000}
        for _ in range(6):
            if not await client.submit("cart", platform.job_id(), steady):
                raise RuntimeError("a steady job was not accepted")
        # Handed in late: its occurrences so far are due at once
        ago_ms = PAST * 60000 if trouble else 0
        repeated = {"taskSpec": "look for renewals that are due",
                    "steps": [{"count": 1, "cpu": 100, "memMb": 100,
                               "estimateMs": 300,
                               **({"after": [n - 1]} if n else {})}
                              for n in range(STEPS)],
                    "times": TIMES, "intervalMs": 60000,
                    "startMs": int(time.time() * 1000) - ago_ms}
        if trouble:
            record("trouble", f"a job whose first {PAST} occurrences are "
                   "due, one each minute")
        if not await client.submit("renewal", platform.job_id(), repeated):
            raise RuntimeError("the repeated job was not accepted")
        await asyncio.sleep(10)
        record("traffic", "begins")
        accepted, cancels = [], {}

        async def one(n, job):
            if not await client.submit("cart", job, body):
                return
            if n % CANCEL_EACH:
                accepted.append(job)
                return
            begun = time.monotonic()
            cancels[job] = False
            while not cancels[job] and time.monotonic() < begun + ACK_S:
                code, _ = await client.call("DELETE", "cart", job)
                cancels[job] = bool(code) and (200 <= code < 300 or
                                               code == 410)
                await asyncio.sleep(0.2)

        tasks = []
        for n in range(TRAFFIC_S * PER_S):
            tasks.append(asyncio.ensure_future(one(n, platform.job_id())))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        late = sum(not ok for ok in cancels.values())
        record("traffic", f"ended; {TRAFFIC_S * PER_S} jobs sent, "
               f"{len(accepted) + len(cancels)} accepted, {len(cancels)} of "
               f"these cancelled, {late} cancels without 2xx or 410 in "
               f"{ACK_S} s")
        await asyncio.sleep(FINISH_S)
        states = [await client.state("cart", j, attempts=2) for j in accepted]
        record("states", f"of the accepted jobs: {states}")
        most = max(len(r) for r in runs.runs.values())
        record("runs", f"up to {most} runs of one task")
        listed = sum(w.last_end for w in site.workers)
        acked = sum(w.acked for w in site.workers)
        record("ends", f"{listed} listed, {acked} taken note of; "
               f"{site.store.refused} transactions refused for rowBytes")
        broken = []
        if listed - acked > listed / 5:
            broken.append(f"{listed - acked} of {listed} ends that workers "
                          f"list are not taken note of {FINISH_S} s after "
                          "the end of the traffic, without any disruption")
        if late >= 3 and late > len(cancels) / 10:
            broken.append(f"{late} of {len(cancels)} cancels of accepted "
                          f"jobs without 2xx or 410 in {ACK_S} s")
        return rules.report(record, broken, "Acks")
    finally:
        site.close()


site_case.main(scenario)
