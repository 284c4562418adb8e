"""stand - stand-ins of the platform, of workers, of clients; starts real nodes

One process serves, on loopback addresses: the platform's store, its machine
service and advice service, and workers, as PROTOCOL.md describes them. Nodes
are the project's own program, started as separate processes with the command
of the deploy file. A case drives all of it with the functions at the end.
"""
import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
CODES = {200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden",
         404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Failed",
         421: "Misdirected", 429: "Too Many", 503: "Unavailable"}


def now_ms():
    return time.monotonic() * 1000


class Server:
    """An HTTP/1.1 server; handler(method, path, query, headers, body) returns
    (code, object), or None to leave the request unanswered and close."""

    def __init__(self, handler, connections=0, idle_s=60):
        self.handler = handler
        self.connections = connections  # most at once; 0: no bound
        self.idle_s = idle_s            # then an idle one is closed
        self.server = None
        self.open = set()
        self.refused = 0

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def reset_all(self):
        for w in list(self.open):
            w.transport.abort()

    async def serve(self, reader, writer):
        if self.connections and len(self.open) >= self.connections:
            self.refused += 1
            writer.transport.abort()
            return
        self.open.add(writer)
        try:
            while True:
                line = await asyncio.wait_for(reader.readline(), self.idle_s)
                if not line:
                    break
                method, target, _ = line.decode("latin1").split(" ", 2)
                headers = {}
                while True:
                    h = (await reader.readline()).decode("latin1").strip()
                    if not h:
                        break
                    k, v = h.split(":", 1)
                    headers[k.strip().lower()] = v.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                u = urllib.parse.urlsplit(target)
                q = dict(urllib.parse.parse_qsl(u.query,
                                                keep_blank_values=True))
                answer = await self.handler(method, u.path, q, headers, body)
                if answer is None:
                    break
                code, obj = answer
                data = b"" if obj is None else json.dumps(
                    obj, separators=(",", ":")).encode()
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/json"
                              "\r\nContent-Length: %d\r\n\r\n" % (
                                  code, CODES.get(code, "X"),
                                  len(data))).encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.transport.abort() if writer.transport else None


class Store:
    def __init__(self, site):
        self.site = site
        self.rows = {}      # (table, part, key) -> (value, revision)
        self.log = []       # (revision, table, part, key, value or None)
        self.revision = 0
        self.locks = {}
        self.changed = asyncio.Event()
        self.http = Server(self.handle)

    def put(self, changes):
        self.revision += 1
        for table, part, key, value in changes:
            if value is None:
                if self.rows.pop((table, part, key), None) is None:
                    continue
            else:
                self.rows[(table, part, key)] = (value, self.revision)
            self.log.append((self.revision, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put_json(self, table, key, obj):
        text = base64.b64encode(json.dumps(obj).encode()).decode()
        return self.put([(table, "", key, text)])

    def get_json(self, table, key):
        row = self.rows.get((table, "", key))
        return row and json.loads(base64.b64decode(row[0]))

    def answer(self, rows, **more):
        return dict(more, rows=rows, revision=self.revision,
                    nowMs=int(now_ms()))

    def row(self, at, row):
        return {"table": at[0], "part": at[1], "key": at[2], "value": row[0],
                "revision": row[1]}

    async def handle(self, method, path, q, headers, body):
        path = path.rsplit("/", 1)[-1]
        if path == "rows-tx":
            return await self.transact(json.loads(body))
        if path == "rows-get":
            await asyncio.sleep(0.004)
            keys = sorted((at for at in self.rows if at[0] == q["table"]
                           and at[1] == q.get("part", "")
                           and at[2] >= q.get("from", "")
                           and ("to" not in q or at[2] < q["to"])),
                          key=lambda at: at[2].encode())
            limit = min(int(q.get("limit", 500)), 500)
            return 200, self.answer([self.row(k, self.rows[k])
                                     for k in keys[:limit]],
                                    hasMore=len(keys) > limit)
        if path == "rows-feed":
            return await self.feed(q)
        return 404, {}

    async def transact(self, t):
        entries = t.get("precondition", []) + t.get("setKeys", []) + \
            t.get("remove", [])
        parts = {e.get("part", "") for e in entries}
        if len(parts) > 1 or len(entries) > 100:
            return 400, {}
        if any(e["table"] in ("op", "servers")
               for e in t.get("setKeys", []) + t.get("remove", [])):
            return 403, {}
        part = parts.pop() if parts else ""
        async with self.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(0.005)
            at = [(e["table"], e.get("part", ""), e["key"])
                  for e in t.get("precondition", [])]
            for key, e in zip(at, t.get("precondition", [])):
                if self.rows.get(key, ("", 0))[1] != e["revision"]:
                    return 412, self.answer([self.row(k, self.rows[k])
                                             for k in at if k in self.rows])
            revision = self.put(
                [(e["table"], e.get("part", ""), e["key"], e["value"])
                 for e in t.get("setKeys", [])] +
                [(e["table"], e.get("part", ""), e["key"], None)
                 for e in t.get("remove", [])])
            return 200, {"revision": revision, "nowMs": int(now_ms())}

    async def feed(self, q):
        after, table = int(q["after"]), q["table"]
        end = now_ms() + int(q.get("waitMs", 0))
        while True:
            i = bisect.bisect_left(self.log, (after + 1,))
            rows = []
            for r, t, p, k, v in self.log[i:]:
                if t != table:
                    continue
                row = {"table": t, "part": p, "key": k, "revision": r}
                row.update({"tombstone": True} if v is None else {"value": v})
                rows.append(row)
            left = end - now_ms()
            if rows or left <= 0:
                await asyncio.sleep(0.002)
                return 200, self.answer(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass


class Run:
    pass


class Worker:
    """One life of a machine. A task's taskSpec is JSON: ms, its work; fail,
    that it then ends so; gang, the members of its step; ckpt, that it
    checkpoints."""

    def __init__(self, site, machine, service, capacity, zone, rack,
                 guards=True):
        self.site, self.machine, self.service = site, machine, service
        self.capacity, self.zone, self.rack = capacity, zone, rack
        self.guards = guards
        self.http = Server(self.handle, connections=64)
        self.state = "up"       # of its machine
        self.begin()

    def begin(self, same_id=False):
        if not same_id:
            self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.clock0 = now_ms() - 1000
        self.fence = 0
        self.n = 0
        self.sequence = 0
        self.running, self.ended, self.blocked = {}, [], {}
        self.lease = 0
        self.up = True
        self.draining = False
        self.wake = asyncio.Event()

    def clock(self):
        return int(now_ms() - self.clock0)

    def enter(self):
        self.sequence += 1
        self.site.store.put_json("servers", self.id, {
            "service": self.service, "address": self.http.address,
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": "draining" if self.draining else "ready", "coldMs": 0,
            "capacity": self.capacity, "labels": ["a", self.rack],
            "machine": self.machine, "born": self.born,
            "clockMs": self.clock(), "sequence": self.sequence})

    def leave(self):
        self.site.store.put([("servers", "", self.id, None)])

    def crash(self):
        """Ends all that runs; nothing of it is reported."""
        self.up = False
        for r in list(self.running.values()):
            self.close(r, "killed", False)
        self.http.reset_all()

    # Runs

    def used(self, what):
        return sum(r.need[what] for r in self.running.values())

    def key(self, task):
        return task.rsplit(".", 1)[0]

    def begin_run(self, o):
        r = Run()
        r.worker, r.task, r.run = self, o["task"], o["run"]
        r.spec = json.loads(o["taskSpec"])
        r.need = self.site.needs.get(self.key(r.task),
                                     {"cpu": 0, "memMb": 0, "gpu": 0})
        r.saved = o.get("lastCheckpoint", "")
        r.base = int(r.saved[:8], 16) if r.saved else 0
        r.began = now_ms()
        r.works_from = None     # when it works, after a restore
        self.running[r.task] = r
        r.row = self.site.note("start", r.task, run=r.run, worker=self.id,
                               machine=self.machine, saved=r.saved)
        if r.spec.get("gang", 1) > 1:
            self.site.gang_joined(r)
        else:
            r.works_from = r.began + (600 if r.saved else 0)
        return r

    def progress(self, r):
        if r.works_from is None or now_ms() < r.works_from:
            return r.base
        return r.base + now_ms() - r.works_from

    def save(self, r, exact=False):
        if not r.spec.get("ckpt"):
            return
        p = int(self.progress(r))
        if not exact:
            p = max(r.base, p - p % 1000)
        if p:
            r.saved = "%08x%s" % (p, r.task[:8])

    def close(self, r, how, listed=True):
        if self.running.get(r.task) is not r:
            return
        self.save(r, exact=how == "stopped")
        del self.running[r.task]
        self.site.note("end", r.task, run=r.run, worker=self.id, how=how,
                       saved=r.saved)
        self.blocked[r.task] = max(self.blocked.get(r.task, 0), r.run)
        if listed:
            self.n += 1
            self.ended.append([self.n, r.task, r.run, how,
                               r.saved if how != "done" else ""])
            self.wake.set()
            self.wake = asyncio.Event()
        if r.spec.get("gang", 1) > 1:
            self.site.gang_left(r, how)

    def tick(self):
        if not self.up:
            return
        if self.running and self.clock() >= self.lease:
            for r in list(self.running.values()):
                self.close(r, "lapsed")
        for r in list(self.running.values()):
            if self.running.get(r.task) is not r:
                continue
            self.save(r)
            if r.works_from is None:
                if now_ms() - r.began >= self.site.gang_wait_ms:
                    self.close(r, "alone")
            elif r.spec.get("ms") and self.progress(r) >= r.spec["ms"]:
                how = "failed" if r.spec.get("fail") else "done"
                if r.spec.get("gang", 1) > 1:
                    self.site.gang_ends(r, how)
                else:
                    self.close(r, how)

    # Calls

    async def handle(self, method, path, q, headers, body):
        if not self.up:
            return None
        life = self.id
        await asyncio.sleep(0.001)
        if not self.up or life != self.id:
            return None
        if method == "GET":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        o = json.loads(body)
        call = path.rsplit("/", 1)[-1]
        if o.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = o.get("fence", 0)
        if call == "hold":
            return await self.hold(o)
        if call == "run-start":
            return self.start_call(o)
        if call == "run-stop":
            return self.stop_call(o)
        if call == "pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def extend(self, o):
        until = min(o.get("deadlineMs", 0),
                    self.clock() + self.site.max_hold_ms)
        self.lease = max(self.lease, until)

    def refuse(self, o, why):
        self.site.note("refused", o["task"], run=o["run"], worker=self.id,
                       why=why)
        return 409, {"clockMs": self.clock(), "reason": why}

    def start_call(self, o):
        task = o["task"]
        there = self.running.get(task)
        if there and there.run == o["run"]:
            self.extend(o)
            return 200, {"clockMs": self.clock()}
        if o["run"] <= self.blocked.get(task, 0) or there:
            self.extend(o)
            return self.refuse(o, "old")
        if o.get("deadlineMs", 0) <= self.clock():
            return self.refuse(o, "late")
        why = self.site.ticket_refusal(self, o)
        if why:
            return self.refuse(o, why)
        need = self.site.needs.get(self.key(task))
        if need and self.guards and any(
                self.used(w) + need[w] > self.capacity[w] for w in need):
            self.extend(o)
            return self.refuse(o, "room")
        self.extend(o)
        self.begin_run(o)
        return 200, {"clockMs": self.clock()}

    def stop_call(self, o):
        task = o["task"]
        self.blocked[task] = max(self.blocked.get(task, 0), o["run"])
        r = self.running.get(task)
        if r and r.run <= o["run"]:
            asyncio.get_running_loop().call_later(
                0.02, lambda: self.close(r, "stopped"))
        return 200, {"clockMs": self.clock()}

    async def hold(self, o):
        self.extend(o)
        self.ended = [e for e in self.ended if e[0] > o.get("ackedUpto", 0)]
        if not self.ended and o.get("waitMs"):
            try:
                await asyncio.wait_for(self.wake.wait(), o["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return None
        running = []
        for r in self.running.values():
            self.save(r)
            ms = r.spec.get("ms") or 1
            running.append([r.task, r.run, r.saved,
                            min(100, int(100 * self.progress(r) / ms)),
                            r.need["cpu"]])
        return 200, {"clockMs": self.clock(), "born": self.born,
                     "running": running, "ended": self.ended[:500]}


class Site:
    """The platform with its workers, and the nodes of the system."""
    gang_wait_ms = 3000
    max_hold_ms = 10000

    def __init__(self, record):
        self.record = open(record, "w")
        self.t0 = now_ms()
        self.store = Store(self)
        self.cloud = Server(self.cloud_call)
        self.advice = Server(self.advice_call)
        self.workers = []       # one for each machine
        self.needs = {}         # ID.K.STEP -> what a task requests
        self.gangs = {}         # (ID.K.STEP, run) -> runs that are present
        self.events = []
        self.nodes = []
        self.tickets = {}       # ticket -> (step, worker, until)
        self.advised = set()    # ID.K.STEP whose starts need a ticket
        self.denied = lambda step, worker: False
        self.validity_ms = 3000
        self.upkeeps = []       # (wave, machine, begin, end)
        self.waves = {}
        self.folder = tempfile.mkdtemp(prefix="jdw-")

    def ms(self):
        return now_ms() - self.t0

    def note(self, kind, what, **more):
        e = dict(more, t=round(self.ms()), kind=kind, what=what)
        self.events.append(e)
        self.record.write("%8d ms  %-9s %s %s\n" % (
            e["t"], kind, what, " ".join("%s=%s" % i for i in more.items())))
        self.record.flush()
        return e

    # Gangs: members work from when all of one run are there, with one value

    def gang_joined(self, r):
        g = self.gangs.setdefault((r.worker.key(r.task), r.run), [])
        g.append(r)
        if len(g) < r.spec["gang"]:
            return
        values = {m.saved for m in g}
        if len(values) > 1 and not os.environ.get("LENIENT"):
            self.note("differ", r.worker.key(r.task), run=r.run,
                      values=",".join(sorted(values)))
            return
        base = max(m.base for m in g)
        for m in g:
            m.base = base
            m.works_from = now_ms() + (600 if base else 0)

    def gang_left(self, r, how):
        g = self.gangs.get((r.worker.key(r.task), r.run), [])
        if r in g:
            g.remove(r)
        if how in ("done", "lapsed") and not g:
            return
        if how == "done":
            return
        for m in list(g):
            if m.works_from is not None and how != "broken":
                m.worker.close(m, "broken")

    def gang_ends(self, r, how):
        g = list(self.gangs.get((r.worker.key(r.task), r.run), []))
        if how == "failed":
            r.worker.close(r, how)
            return
        for m in g:
            m.worker.close(m, "done")

    # The machine service

    async def cloud_call(self, method, path, q, headers, body):
        await asyncio.sleep(0.003)
        call = path.rsplit("/", 1)[-1]
        if call == "machines":
            return 200, {"machines": [{
                "machine": w.machine, "pool": w.service, "state": w.state,
                "zone": w.zone, "labels": ["a", w.rack],
                "capacity": w.capacity, "id": w.id if w.up else ""}
                for w in self.workers], "nextToken": None}
        o = json.loads(body)
        w = next((w for w in self.workers if w.machine == o["machine"]), None)
        if not w:
            return 400, {}
        wave = o.get("wave")
        if call == "machine-move" and w.service == o["pool"]:
            return 200, {}
        if call == "machine-upkeep":
            if w.machine not in self.waves.get(wave, ()):
                return 409, {"reason": "wave"}
            if any(u[0] == wave and u[1] == w.machine for u in self.upkeeps):
                return 200, {}
        if w.state != "up":
            return 409, {"reason": "busy"}
        seconds = 2.0 if call == "machine-upkeep" else 1.5
        self.note(call, w.machine, wave=wave, pool=o.get("pool"),
                  holder=headers.get("lease-holder"),
                  token=headers.get("fencing-token"))
        w.state = "upkeep" if wave is not None else "moving"
        self.upkeeps.append([wave, w.machine, self.ms(), None])
        asyncio.get_running_loop().create_task(
            self.away(w, seconds, o.get("pool"), self.upkeeps[-1]))
        return 200, {}

    async def away(self, w, seconds, pool, entry):
        w.crash()
        w.leave()
        await asyncio.sleep(seconds)
        if pool:
            w.service = pool
        w.begin()
        w.state = "up"
        entry[3] = self.ms()
        self.note("back", w.machine, worker=w.id)
        w.enter()

    def wave(self, number, machines, seconds, cap):
        self.waves[number] = set(machines)
        self.note("wave", str(number), machines=",".join(machines), cap=cap)
        self.store.put_json("op", "wave/%d" % number, {
            "wave": number, "machines": machines, "durationS": seconds,
            "cap": cap})

    # The advice service

    async def advice_call(self, method, path, q, headers, body):
        o = json.loads(body)
        await asyncio.sleep(0.01 + 0.002 * len(o["workers"]))
        rows = []
        for i in o["workers"]:
            if self.denied(o["step"], i):
                continue
            t = "%016x" % random.getrandbits(64)
            self.tickets[t] = (o["step"], i, now_ms() + self.validity_ms)
            rows.append([i, t])
        return 200, {"approved": rows, "validityMs": self.validity_ms}

    def ticket_refusal(self, w, o):
        step = w.key(o["task"])
        if step not in self.advised:
            return None
        t = self.tickets.get(o.get("ticket", ""))
        if t and t[0] == step and t[1] == w.id and now_ms() < t[2]:
            return None
        return "ticket"

    # Start and stop

    async def start_platform(self):
        for s in (self.store.http, self.cloud, self.advice):
            await s.start()
        self.ticker = asyncio.get_running_loop().create_task(self.tick())

    async def tick(self):
        while True:
            for w in self.workers:
                w.tick()
            await asyncio.sleep(0.01)

    async def add_worker(self, service, rack="r1-1", zone="z-a", cpu=16000,
                         mem=65536, guards=True):
        w = Worker(self, "m-%02d" % len(self.workers), service,
                   {"cpu": cpu, "memMb": mem, "gpu": 0}, zone, rack, guards)
        await w.http.start()
        self.workers.append(w)
        w.enter()
        return w

    def config(self, version, routes, services, tenants):
        self.note("config", str(version))
        self.store.put_json("op", "config", {
            "version": version, "routes": routes, "services": services,
            "tenants": tenants, "limits": {}})

    async def add_nodes(self, count):
        ports = free_ports(count * 6)
        for i in range(count):
            n = Node(self, "edge-z-a-%d" % (i + 1), ports[6 * i:6 * i + 6])
            self.nodes.append(n)
        seeds = ",".join(n.peers for n in self.nodes[:3])
        for n in self.nodes:
            n.seeds = seeds
            await n.start(True)

    async def ready(self, limit_s=20):
        end = now_ms() + limit_s * 1000
        for n in self.nodes:
            while True:
                code, _ = await call("GET", n.readiness, "/jackdawwell/ready")
                if code == 200:
                    break
                if now_ms() > end:
                    raise RuntimeError("node %s isn't ready" % n.name)
                await asyncio.sleep(0.1)

    async def leader(self, limit_s=8):
        """The node that gives the orders, by the pages of its own status."""
        end = now_ms() + limit_s * 1000
        while now_ms() < end:
            for n in self.nodes:
                if n.lost:
                    continue
                code, obj = await call("GET", n.peers, "/status", timeout=1)
                if code == 200 and obj and obj.get("leads") == "yes":
                    return n
            await asyncio.sleep(0.2)
        return None

    async def close(self):
        for n in self.nodes:
            await n.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def free_ports(count):
    """Below the range from which the system picks ports by itself."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


SETTINGS = """node: "{name}"
zone: "z-a"
callers: "{callers}"
readiness: "{readiness}"
peers: "{peers}"
links: "{links}"
metrics: "{metrics}"
seeds: "{seeds}"
store: "{store}"
fleet: "{fleet}"
advice: "{advice}"
first_start: {first}
processor_share: 0.25
processor_cores: 1
descriptors_max: 4100
calls_alone: 150
stop_ms: 6000
lease_max_ms: 10000
end_keep_s: 120
holder_ms: 3000
move_s: 1.5
upkeep_s: 2
config_ms: 2000
"""


class Node:
    def __init__(self, site, name, ports):
        self.site, self.name, self.process = site, name, None
        self.lost = False
        (self.callers, self.readiness, self.peers, self.links,
         self.metrics, _) = ["127.0.0.1:%d" % p for p in ports]

    async def start(self, first=False):
        path = os.path.join(self.site.folder, self.name + ".yaml")
        with open(path, "w") as f:
            f.write(SETTINGS.format(
                name=self.name, callers=self.callers,
                readiness=self.readiness, peers=self.peers, links=self.links,
                metrics=self.metrics, seeds=self.seeds,
                store=self.site.store.http.address,
                fleet=self.site.cloud.address,
                advice=self.site.advice.address,
                first="true" if first else "false"))
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/jackdawwell-node"), cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "JACKDAWWELL_BOOT": path, "JACKDAWWELL_MEMORY_MB": "260",
                 "JACKDAWWELL_ROW_BYTES": "65536",
                 "JACKDAWWELL_EVACUATE_MS": ""},
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def kill(self, sig=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(sig)
            await self.process.wait()

    def lose_power(self):
        """For good: it sends nothing more, and its connections stay open at
        the other ends, as those of a machine without power do."""
        self.site.note("power-off", self.name)
        self.process.send_signal(signal.SIGSTOP)
        self.lost = True


async def call(method, address, path, body=None, headers=None, timeout=3.0):
    """One request of a client; returns (code, object), code 0: no answer."""
    ip, port = address.rsplit(":", 1)

    async def go():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path)]
            h = {"Host": "h.example", "Content-Length": str(len(data)),
                 "Connection": "close"}
            if data:
                h["Content-Type"] = "application/json"
            h.update(headers or {})
            lines += ["%s: %s" % i for i in h.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            code = int((await reader.readline()).split()[1])
            length = 0
            while True:
                line = (await reader.readline()).decode().strip()
                if not line:
                    break
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            text = await reader.readexactly(length) if length else b""
            try:
                return code, json.loads(text) if text else None
            except ValueError:
                return code, None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            IndexError, ValueError):
        return 0, None


class Client:
    """Sends a job until it has a final answer, to one node after the other."""

    def __init__(self, site, prefix, key):
        self.site, self.prefix, self.key = site, prefix, key
        self.turn = 0

    async def request(self, method, job, body=None):
        up = [n for n in self.site.nodes if not n.lost]
        n = up[self.turn % len(up)]
        self.turn += 1
        code, obj = await call(method, n.callers, self.prefix + job, body,
                               {"X-Api-Key": self.key, "Deadline-Ms": "3000"})
        self.site.note(method, job, node=n.name, code=code,
                       state=(obj or {}).get("state", ""))
        return code, obj

    def expect(self, job, body):
        for i, s in enumerate(body["steps"]):
            for k in range(max(1, body.get("times", 0))):
                self.site.needs["%s.%d.%d" % (job, k, i)] = {
                    "cpu": s.get("cpu", 0), "memMb": s.get("memMb", 0),
                    "gpu": s.get("gpu", 0)}

    async def submit(self, job, body, tries=10):
        self.expect(job, body)
        for _ in range(tries):
            code, _o = await self.request("POST", job, body)
            if code == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job):
        code, obj = await self.request("GET", job)
        return obj["state"] if code == 200 and obj else str(code)


def job_id():
    return "%016x" % random.getrandbits(64)


def main(case):
    """Runs case(site, trouble), which returns a text if a rule was broken."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def go():
        site = Site(folder / "record.txt")
        for sig in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(
                sig, asyncio.current_task().cancel)
        try:
            await site.start_platform()
            broken = await asyncio.wait_for(case(site, trouble), 110)
            site.note("verdict", broken or "held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as e:    # could not run
            site.note("not-run", repr(e))
            print("the case could not run: %r" % e)
            return 2
        finally:
            await site.close()

    code = asyncio.run(go())
    print({0: "held", 1: "broken", 2: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
