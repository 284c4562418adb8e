"""Stand-in of the users' platform, as PROTOCOL.md and DEPLOY.md describe it.

Store: the platform's metadata store (tables). Worker: one worker, with its
row in `servers`. Cloud: the machine list. Nodes: starts jackdawwell-node as
the deploy file says, and starts a process again that has ended.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import subprocess
import time

import http1

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PAGE_ROWS = 500
ENDS_MAX = 500
TXN_S = 0.005
READ_S = 0.004
ROW_BYTES = 65536


def now_ms():
    return int(time.monotonic() * 1000)


def free_net():
    """Returns the first three bytes of a loopback net that nobody uses."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, kind, text):
        self.file.write(f"{self.now():8.3f} {kind:10} {text}\n")

    def close(self):
        self.file.close()


class Store:
    """Tables with revisions, conditional transactions and feeds."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part) -> key -> (value, revision)
        self.revision = 1
        self.changes = []  # (revision, table, row as answered)
        self.waiters = set()  # an event of each feed that waits
        self.part_free = {}  # part -> time at which its last one is done
        self.down = None  # None, "busy" (503) or "silent"
        self.refused = 0

    async def start(self, address):
        host, port = address.split(":")
        self.server, _ = await http1.listen(host, int(port), self.handle)

    def encode(self, table, part, key):
        value, revision = self.rows[(table, part)][key]
        return {"table": table, "part": part, "key": key, "value": value,
                "revision": revision}

    def put(self, table, part, key, value):
        self.rows.setdefault((table, part), {})[key] = (value, self.revision)
        self.changes.append((self.revision, table,
                             self.encode(table, part, key)))

    def drop(self, table, part, key):
        if self.rows.get((table, part), {}).pop(key, None):
            self.changes.append((self.revision, table, {
                "table": table, "part": part, "key": key, "value": "",
                "revision": self.revision, "tombstone": True}))

    def notify(self):
        for event in self.waiters:
            event.set()

    async def put_json(self, table, key, o):
        """Writes a row as the operator or a worker does."""
        self.revision += 1
        self.put(table, "", key, base64.b64encode(
            json.dumps(o).encode()).decode())
        self.notify()

    async def remove(self, table, key):
        self.revision += 1
        self.drop(table, "", key)
        self.notify()

    def newest(self):
        return {"revision": self.revision, "nowMs": now_ms()}

    async def handle(self, method, path, query, headers, body):
        if self.down == "silent":
            return None
        if self.down == "busy":
            return 503, {}
        if path == "/jackdawwell/rows-tx":
            return await self.transact(json.loads(body), len(body))
        if path == "/jackdawwell/rows-get":
            await asyncio.sleep(READ_S)
            return self.get(query)
        if path == "/jackdawwell/rows-feed":
            return await self.feed(query)
        return 404, {}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = self.sorted_keys(table, part)
        keys = [k for k in keys[self.bisect(keys, low):]
                [:limit + 1] if not high or k < high]
        return 200, {"rows": [self.encode(table, part, k)
                              for k in keys[:limit]],
                     "hasMore": len(keys) > limit, **self.newest()}

    sorted_cache = None  # of one large table: (table, count, keys)

    def sorted_keys(self, table, part):
        rows = self.rows.get((table, part), {})
        if len(rows) < 2000:
            return sorted(rows)
        if not self.sorted_cache or self.sorted_cache[:2] != (
                table, len(rows)):
            self.sorted_cache = (table, len(rows), sorted(rows))
        return self.sorted_cache[2]

    @staticmethod
    def bisect(keys, low):
        import bisect
        return bisect.bisect_left(keys, low)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000

        def found():
            rows = []
            for revision, t, row in reversed(self.changes):
                if revision <= after:
                    break
                if t == table:
                    rows.append(row)
            return rows[::-1]

        event = asyncio.Event()
        self.waiters.add(event)
        try:
            while not (rows := found()) and time.monotonic() < end:
                event.clear()
                await asyncio.wait_for(event.wait(), end - time.monotonic())
        except asyncio.TimeoutError:
            pass
        finally:
            self.waiters.discard(event)
        answer = {"rows": rows, **self.newest()}  # as of one moment
        await asyncio.sleep(READ_S)
        if self.down:
            return None if self.down == "silent" else (503, {})
        return 200, answer

    async def transact(self, o, length):
        conditions = o.get("precondition", [])
        puts, drops = o.get("setKeys", []), o.get("remove", [])
        parts = {r.get("part", "") for r in conditions + puts + drops}
        too_large = [p["key"] for p in puts
                     if len(base64.b64decode(p["value"])) > ROW_BYTES]
        if (len(conditions) + len(puts) + len(drops) > 100 or
                length > 1 << 20 or len(parts) != 1 or too_large):
            self.refused += 1
            self.record("store", f"400 to a transaction of {len(puts)} rows "
                        f"to set; over rowBytes: {too_large}")
            return 400, {"message": "a row is over rowBytes" if too_large
                         else "too many entries, bytes or parts"}
        part = parts.pop()
        now = time.monotonic()
        done = max(now, self.part_free.get(part, 0)) + TXN_S
        self.part_free[part] = done
        await asyncio.sleep(done - now)
        if self.down:  # it went down meanwhile: nothing was done
            return None if self.down == "silent" else (503, {})
        for c in conditions:
            have = self.rows.get((c["table"], part), {}).get(c["key"])
            if (have[1] if have else 0) != c["revision"]:
                return 412, {"rows": [
                    self.encode(c["table"], part, c["key"])
                    for c in conditions
                    if c["key"] in self.rows.get((c["table"], part), {})],
                    **self.newest()}
        self.revision += 1
        for p in puts:
            self.put(p["table"], part, p["key"], p["value"])
        for d in drops:
            self.drop(d["table"], part, d["key"])
        self.notify()
        return 200, self.newest()


class Cloud:
    """The list of machines; no moves are accepted (429: beyond the rate)."""

    def __init__(self, workers):
        self.workers = workers

    async def start(self, address):
        host, port = address.split(":")
        self.server, _ = await http1.listen(host, int(port), self.handle)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(READ_S)
        if path != "/jackdawwell/machines":
            return 429, {}
        return 200, {"machines": [
            {"machine": w.machine, "pool": w.service, "state": "up",
             "zone": w.zone, "labels": w.labels, "capacity": w.capacity,
             "id": w.id} for w in self.workers], "nextToken": ""}


class Adviser:
    """The advice service: `allows(step, worker)` is a queue's policy."""

    def __init__(self, workers, record, allows, decision_ms, per_worker_ms,
                 validity_ms):
        self.workers = workers
        self.record = record
        self.allows = allows
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.validity_ms = validity_ms
        self.turn = asyncio.Lock()
        self.tickets = {}  # ticket -> (worker id, step, valid until)

    async def start(self, address):
        host, port = address.split(":")
        self.server, _ = await http1.listen(host, int(port), self.handle)

    async def handle(self, method, path, query, headers, body):
        o = json.loads(body)
        names = o["workers"][:100]
        async with self.turn:
            await asyncio.sleep((self.decision_ms +
                                 self.per_worker_ms * len(names)) / 1000)
        approved = []
        for w in self.workers:
            if w.id in names and self.allows(o["step"], w):
                ticket = f"{random.getrandbits(48):012x}"
                self.tickets[ticket] = (w.id, o["step"],
                                        now_ms() + self.validity_ms)
                approved.append([w.id, ticket])
        self.record("advice", f"{o['step']}: asked for {len(names)} workers "
                    f"({' '.join(names)}), {len(approved)} approved")
        return 200, {"approved": approved, "validityMs": self.validity_ms}

    def valid(self, ticket, worker, task):
        have = self.tickets.get(ticket)
        return bool(have) and have[0] == worker.id and \
            have[1] == task.rsplit(".", 1)[0] and now_ms() <= have[2]


class Run:
    def __init__(self, task, number, spec):
        self.task = task
        self.number = number
        self.spec = spec
        self.begun = time.monotonic()
        self.stopping = False
        self.timer = None


class Worker:
    """Runs tasks. `behaviour(task, spec)` returns (seconds or None, how)."""

    def __init__(self, name, service, address, store, record, behaviour,
                 capacity=None, max_hold_ms=10000, stop_ms=200):
        self.id = name
        self.machine = "m-" + name
        self.service = service
        self.address = address
        self.zone = "ro-central-a"
        self.labels = ["a", "r1-1"]
        self.capacity = capacity or {"cpu": 16000, "memMb": 65536, "gpu": 0}
        self.store = store
        self.record = record
        self.behaviour = behaviour
        self.max_hold_ms = max_hold_ms
        self.stop_ms = stop_ms
        self.born = int(time.time() * 1000)
        self.clock_zero = now_ms() - random.randrange(1000, 100000)
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.highest = {}  # task -> highest run stopped or ended
        self.ended = []
        self.last_end = 0
        self.acked = 0
        self.changed = asyncio.Event()
        self.lease_timer = None
        self.lapses = []  # times at which the lease lapsed
        self.used = {"cpu": 0, "memMb": 0}
        self.needs = {}  # job id -> amounts of its steps, set by clients
        self.on_start = self.on_end = self.on_ack = lambda *a: None
        self.adviser = None  # whose ticket a start must carry
        self.cut = False  # behind a partition: no call arrives, it runs on

    def clock(self):
        return now_ms() - self.clock_zero

    async def start(self):
        host, port = self.address.split(":")
        self.server, self.connections = await http1.listen(
            host, int(port), self.handle)
        await self.store.put_json("servers", self.id, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldMs": 0, "sequence": 1, "machine": self.machine,
            "born": self.born, "capacity": self.capacity,
            "labels": self.labels})

    def said(self, o):
        return {"clockMs": self.clock(), "born": self.born, **o}

    async def handle(self, method, path, query, headers, body):
        if self.cut:
            return None
        answer = await self.serve(path, headers, body)
        return None if self.cut else answer

    async def serve(self, path, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        o = json.loads(body)
        if o.get("fence", 0) < self.fence:
            return 409, self.said({"reason": "fence"})
        self.fence = o.get("fence", 0)
        if path == "/jackdawwell/run-start":
            return self.run_start(o)
        if path == "/jackdawwell/run-stop":
            return self.run_stop(o)
        if path == "/jackdawwell/pace":
            return 200, self.said({})
        if path == "/jackdawwell/hold":
            return await self.hold(o)
        return 404, {}

    def extend(self, deadline):
        deadline = min(deadline, self.clock() + self.max_hold_ms)
        if deadline <= self.lease:
            return
        self.lease = deadline
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (deadline - self.clock()) / 1000, self.lapse)

    def lapse(self):
        if self.clock() < self.lease:
            return
        self.lapses.append(time.monotonic())
        for run in list(self.running.values()):
            self.end(run, "lapsed")

    def need(self, task):
        job, _, step, _ = task.split(".")
        return self.needs.get(job, {}).get(int(step),
                                           {"cpu": 0, "memMb": 0})

    def run_start(self, o):
        task, number = o["task"], o["run"]
        if o["deadlineMs"] <= self.clock():
            return 409, self.said({"reason": "late"})
        self.extend(o["deadlineMs"])
        have = self.running.get(task)
        if have and have.number == number:
            return 200, self.said({})
        if have or number <= self.highest.get(task, 0):
            return 409, self.said({"reason": "old"})
        if self.adviser and not self.adviser.valid(o.get("ticket"), self,
                                                   task):
            return 409, self.said({"reason": "ticket"})
        need = self.need(task)
        if any(self.used[k] + need[k] > self.capacity[k] for k in need):
            return 409, self.said({"reason": "room"})
        for k in need:
            self.used[k] += need[k]
        run = self.running[task] = Run(task, number, o["taskSpec"])
        self.record("start", f"{task} run {number} on {self.id}")
        self.on_start(self, run)
        seconds, how = self.behaviour(task, o["taskSpec"])
        if seconds is not None:
            run.timer = asyncio.get_running_loop().call_later(
                seconds, self.end, run, how)
        return 200, self.said({})

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        need = self.need(run.task)
        for k in need:
            self.used[k] -= need[k]
        self.highest[run.task] = max(self.highest.get(run.task, 0),
                                     run.number)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.record("end", f"{run.task} run {run.number} on {self.id} {how} "
                    f"(N {self.last_end})")
        self.on_end(self, run, how)
        self.changed.set()

    def run_stop(self, o):
        task, number = o["task"], o["run"]
        run = self.running.get(task)
        self.highest[task] = max(self.highest.get(task, 0), number)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                self.stop_ms / 2000, self.end, run, "stopped")
        return 200, self.said({})

    async def hold(self, o):
        while self.ended and self.ended[0][0] <= o.get("ackedUpto", 0):
            n, task, number, how, _ = self.ended.pop(0)
            self.acked = n
            self.on_ack(self, task, number, how)
        if "deadlineMs" in o:
            self.extend(o["deadlineMs"])
        end = time.monotonic() + min(o.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       end - time.monotonic())
            except asyncio.TimeoutError:
                break
        return 200, self.said({
            "running": [[r.task, r.number, "", 100, 100]
                        for r in self.running.values()],
            "ended": self.ended[:ENDS_MAX]})


class Nodes:
    """The machines of the system: jackdawwell-node, started as deployed."""

    def __init__(self, record, folder, net, count, store, cloud,
                 advice="", memory_mb=260, bounds=None, restart_s=0.5):
        self.record = record
        self.folder = folder
        self.count = count
        self.memory_mb = memory_mb
        self.restart_s = restart_s
        self.popen = {}
        self.ips = {i: f"{net}.{10 + i}" for i in range(1, count + 1)}
        self.own_ends = {}  # node -> processes that ended by themselves
        self.expected_end = set()
        self.stay_down = set()
        self.closing = False
        deploy = open(f"{ROOT}/deploy/system.toml").read()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M)[1].split()
        template = re.search(r'^template = "(.*)"', deploy, re.M)[1]
        self.template = open(f"{ROOT}/{template}").read()
        self.fields = {
            "platform.address": store, "cloud.address": cloud, "advice": advice,
            "portRange.0": "7000", "limits.cpuShare": "0.25",
            "limits.cores": "1", "limits.maxFds": "4100",
            "bounds.graceS": "6", "bounds.maxHoldMs": "10000",
            "bounds.status_s": "120", "bounds.leaseMs": "3000",
            "bounds.migrateS": "1.5", "bounds.maintenanceS": "2",
            "bounds.configApplyMs": "2000", **(bounds or {})}

    def callers(self, i):
        return f"{self.ips[i]}:8340"

    def settings(self, i, first):
        ip = self.ips[i]
        fields = {**self.fields, "node": f"edge-{i}",
                  "zone": f"ro-central-{'abc'[i % 3]}", "ip": ip,
                  "listenAddrs.frontend": f"{ip}:8340",
                  "listenAddrs.readiness": f"{ip}:8343",
                  "listenAddrs.control": f"{ip}:8345",
                  "seeds": ",".join(f"{self.ips[n]}:8345"
                                    for n in list(self.ips)[:3]),
                  "bootstrap|json": "true" if first else "false"}
        path = f"{self.folder}/edge-{i}.yaml"
        with open(path, "w") as f:
            f.write(re.sub(r"\{\{(.*?)\}\}", lambda m: fields[m[1]],
                           self.template))
        return path

    def start(self, i, first=False):
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["JACKDAWWELL_BOOT"] = self.settings(i, first)
        log = open(f"{self.folder}/edge-{i}.log", "ab")
        self.popen[i] = subprocess.Popen(
            self.command, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.record("process", f"edge-{i} started")

    async def watch(self):
        """Starts a process again that has ended, after a short delay."""
        while not self.closing:
            for i, p in list(self.popen.items()):
                if p is None or p.poll() is None:
                    if p and self.rss_mb(i) > self.memory_mb:
                        self.record("process", f"edge-{i} uses "
                                    f"{self.rss_mb(i):.0f} MB: killed, as "
                                    f"memoryMb is {self.memory_mb}")
                        p.kill()
                    continue
                if i in self.expected_end:
                    self.expected_end.discard(i)
                    self.record("process", f"edge-{i} ended as ordered")
                else:
                    self.own_ends[i] = self.own_ends.get(i, 0) + 1
                    self.record("process", f"edge-{i} ended by itself, "
                                f"status {p.returncode}")
                self.popen[i] = None
                if i not in self.stay_down:
                    asyncio.get_running_loop().call_later(
                        self.restart_s, self.restart, i)
            await asyncio.sleep(0.05)

    def restart(self, i):
        if not self.closing:
            self.start(i)

    def rss_mb(self, i):
        try:
            text = open(f"/proc/{self.popen[i].pid}/status").read()
            return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024
        except (OSError, TypeError, AttributeError):
            return 0

    def signal(self, i, number):
        self.record("process", f"edge-{i} gets {signal.Signals(number).name}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.expected_end.add(i)
        self.popen[i].send_signal(number)

    async def ready(self, i):
        try:
            code, _, _ = await http1.call(f"{self.ips[i]}:8343", "GET",
                                          "/jackdawwell/ready", timeout=1)
            return code == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def leader(self, store):
        """Returns the node that the leader row of the store names."""
        row = store.rows.get(("lead", ""), {}).get("lead")
        m = row and re.search(rb"edge-(\d+)", base64.b64decode(row[0]))
        return int(m[1]) if m else None

    async def start_all(self, store):
        for i in self.ips:
            self.start(i, first=True)
        self.watcher = asyncio.ensure_future(self.watch())
        end = time.monotonic() + 15
        while time.monotonic() < end:
            if all([await self.ready(i) for i in self.ips]) and \
                    self.leader(store):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        self.closing = True
        for p in self.popen.values():
            if p and p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.popen.values():
            if p:
                p.wait()


def config(version, services, queues, tenants=None, **limits):
    """Returns a configuration; queues: name -> fields of its route."""
    return {"version": version,
            "routes": [{"name": q, "host": "shop.example",
                        "pathPrefix": f"/{q}/", "priority": 0,
                        "maxAttempts": 4, "stretch": 4.0, "sloMs": 20000,
                        "timeoutMs": 3000, "public": False, **fields}
                       for q, fields in queues.items()],
            "services": [{"name": s, "healthPath": "/health", "maxConns": 64,
                          "admissionCheck": True, "spare": False}
                         for s in services],
            "tenants": tenants or [{"name": "bakery", "apiKeys": ["key-1"],
                                    "weight": 1, "cap": {
                                        "cpu": 0, "memMb": 0, "gpu": 0}}],
            "limits": {"maxBodyBytes": 262144, **limits}}


class Client:
    """A client that submits jobs, asks for their state and cancels them."""

    def __init__(self, record, nodes, workers, key="key-1", deadline_ms=3000):
        self.record = record
        self.nodes = nodes
        self.workers = workers
        self.key = key
        self.deadline_ms = deadline_ms
        self.turn = 0

    async def call(self, method, queue, job, body=None, node=None):
        """One attempt; returns (status or None, body). Nodes take turns."""
        if node is None:
            self.turn += 1
            node = list(self.nodes.ips)[self.turn % self.nodes.count]
        data = json.dumps(body).encode() if body is not None else None
        text = f"{method} /{queue}/{job} at edge-{node}"
        if data:
            text += f" ({len(data)} bytes)"
        begun = time.monotonic()
        try:
            code, _, answer = await http1.call(
                self.nodes.callers(node), method, f"/{queue}/{job}",
                {"Host": "shop.example", "X-Api-Key": self.key,
                 "Deadline-Ms": str(self.deadline_ms),
                 "Content-Type": "application/json"}, data,
                timeout=self.deadline_ms / 1000)
            try:
                o = json.loads(answer)
            except ValueError:
                o = {}
        except (OSError, asyncio.TimeoutError) as e:
            code, o = None, {"error": type(e).__name__}
        self.record("call", f"{text} -> {code or 'no answer'} "
                    f"{json.dumps(o)} ({time.monotonic() - begun:.3f} s)")
        return code, o

    async def submit(self, queue, job, body, attempts=5):
        """Submits until the outcome is known; True if it was accepted."""
        steps = {n: {"cpu": 0 if s.get("fills") else s.get("cpu", 0),
                     "memMb": s.get("memMb", 0)}
                 for n, s in enumerate(body["steps"])}
        for w in self.workers:
            w.needs[job] = steps
        for _ in range(attempts):
            code, _ = await self.call("POST", queue, job, body)
            if code and 200 <= code < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, queue, job, attempts=5):
        for _ in range(attempts):
            code, o = await self.call("GET", queue, job)
            if code == 200:
                return o.get("state")
            if code == 410:
                return "unknown"
            await asyncio.sleep(0.3)
        return None


def job_id():
    return f"{random.getrandbits(64):016x}"
