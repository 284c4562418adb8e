"""A job that can never be done, and a version that removes its route"""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "standin3"))
import stand

ATTEMPTS = 4
APPLY_MS = 2000         # configApplyMs
NOTED_MS = 100          # from listing an end until it is taken note of
SLACK_MS = 1000


def route(name, service="svc"):
    return {"name": name, "host": "h.example", "pathPrefix": "/%s/" % name,
            "type": "non_idempotent", "timeoutMs": 3000, "sloMs": 600,
            "priority": 1, "service": service, "maxAttempts": ATTEMPTS,
            "stretch": 1.6, "public": False}


async def case(site, trouble):
    services = [{"name": "svc", "admissionCheck": True}]
    tenants = [{"name": "t1", "apiKeys": ["k1"], "weight": 10,
                "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}]
    for i in range(4):
        await site.add_worker("svc", rack="r1-%d" % i)
    site.config(1, [route("q"), route("other")], services, tenants)
    await site.add_nodes(3)
    await site.ready()
    await asyncio.sleep(3)
    client = stand.Client(site, "/q/", "k1")
    job = stand.job_id()
    spec = json.dumps({"ms": 1000, "fail": True})
    if not await client.submit(job, {"taskSpec": spec, "steps": [
            {"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": 1000}]}):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(1.5)
    if trouble:
        site.config(2, [route("other")], services, tenants)
    state = ""
    for _ in range(25):
        await asyncio.sleep(1)
        state = await client.state(job)
        if state == "failed":
            break
    task = job + ".0.0.0"
    failed = [e["t"] for e in site.events
              if e["kind"] == "end" and e["what"] == task
              and e["how"] == "failed"]
    if len(failed) < ATTEMPTS:
        raise RuntimeError("only %d runs" % len(failed))
    noted = failed[ATTEMPTS - 1] + NOTED_MS + SLACK_MS
    late = [e for e in site.events if e["kind"] == "start"
            and e["what"] == task and e["t"] > noted]
    if late:
        return ("BUDGET: maxAttempts is %d, %d runs ended failed, %d starts "
                "over %d ms after the end of run %d was listed; last state %s"
                % (ATTEMPTS, len(failed), len(late), NOTED_MS + SLACK_MS,
                   ATTEMPTS, state))
    return None


stand.main(case)
