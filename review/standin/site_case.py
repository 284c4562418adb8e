"""Runs one case: its stand-ins, its nodes and its scenario."""

import asyncio
import os
import random
import sys
import tempfile
import traceback

import platform_standin as platform


class Site:
    """The stand-ins and the nodes of a case, in one folder."""

    def __init__(self, folder, record, count=6, **options):
        self.record = record
        self.net = platform.free_net()
        self.store_address = f"{self.net}.2:8344"
        self.cloud_address = f"{self.net}.3:8344"
        self.store = platform.Store(record)
        self.workers = []
        self.cloud = platform.Cloud(self.workers)
        self.adviser_address = f"{self.net}.4:8344"
        self.nodes = platform.Nodes(record, folder, self.net, count,
                                    self.store_address, self.cloud_address,
                                    self.adviser_address, **options)

    def add_worker(self, service, behaviour, **options):
        n = len(self.workers) + 1
        w = platform.Worker(f"w{n}-{random.getrandbits(32):08x}", service,
                            f"{self.net}.{100 + n}:9000", self.store,
                            self.record, behaviour, **options)
        self.workers.append(w)
        return w

    async def start(self, config):
        await self.store.start(self.store_address)
        await self.cloud.start(self.cloud_address)
        await self.store.put_json("op", "config", config)
        for w in self.workers:
            await w.start()
        if not await self.nodes.start_all(self.store):
            raise RuntimeError("the nodes did not become ready")
        await asyncio.sleep(2)  # the leader hears of all workers
        self.record("site", f"ready; edge-{self.nodes.leader(self.store)} "
                    "leads")

    def close(self):
        self.nodes.close()


def main(scenario):
    """scenario(folder, record, trouble) returns 0 (held) or 1 (broken)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])),
                        "record.txt")
    record = platform.Record(path)
    record("case", f"TROUBLE={int(trouble)}")

    async def run():
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            try:
                status = await scenario(folder, record, trouble)
            except Exception:
                record("error", traceback.format_exc())
                traceback.print_exc()
                status = 2
        record("exit", str(status))
        record.close()
        # The scenario has ended its processes; its open calls aren't waited for
        os._exit(status)

    asyncio.run(run())
