"""A stand-in of the users' platform for the cases of review/6 to review/10.

One process: the metadata store, the machine service, workers and, for each
node, a path of its own to the store and to the machine service, which can be
cut. It follows PROTOCOL.md and DEPLOY.md; only what the nodes use is there.
"""
import base64
import bisect
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
T0 = time.monotonic()


def now_ms():
    return int((time.monotonic() - T0) * 1000)


class Record:
    """record.txt: what was sent, answered and run, a line each."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, *words):
        with self.lock:
            self.file.write("%9.3f %s\n" % (time.monotonic() - T0,
                                            " ".join(str(w) for w in words)))
            self.file.flush()


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        if port in free_port.used:
            continue
        free_port.used.add(port)
        s = socket.socket()
        try:
            s.bind((HOST, port))
            return port
        except OSError:
            continue
        finally:
            s.close()


free_port.used = set()


# A small HTTP/1.1 server: a thread for each connection

class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        url = urllib.parse.urlsplit(target)
        self.path = url.path
        self.query = dict(urllib.parse.parse_qsl(url.query,
                                                 keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            return {}


def serve_connection(conn, handler):
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    f = conn.makefile("rb")
    try:
        while True:
            line = f.readline()
            if not line.strip():
                return
            method, target, _ = line.decode("latin-1").split(" ", 2)
            headers = {}
            while True:
                h = f.readline().decode("latin-1").strip()
                if not h:
                    break
                k, _, v = h.partition(":")
                headers[k.strip().lower()] = v.strip()
            body = f.read(int(headers.get("content-length", 0)))
            code, answer = handler(Request(method, target, headers, body))
            if code is None:
                return  # no answer
            data = json.dumps(answer).encode() if answer is not None else b""
            conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (code, len(data))
                         + data)
    except (OSError, ValueError):
        pass
    finally:
        f.close()
        conn.close()


def listen(port, on_connection):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((HOST, port))
    s.listen(256)

    def accept():
        while True:
            try:
                conn, _ = s.accept()
            except OSError:
                return
            threading.Thread(target=on_connection, args=(conn,),
                             daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return s


def serve(port, handler):
    return listen(port, lambda c: serve_connection(c, handler))


CONNECTIONS = 64  # of a worker (SYSTEM.md); those over that are reset
IDLE_S = 75.0  # a worker closes a connection without a request


class Connections:
    """Counts a worker's connections and resets those over its cap."""

    def __init__(self, handler):
        self.handler = handler
        self.lock = threading.Lock()
        self.open = self.reset = 0

    def __call__(self, conn):
        with self.lock:
            self.open += 1
            over = self.open > CONNECTIONS
            self.reset += over
        try:
            if over:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                conn.close()
            else:
                conn.settimeout(IDLE_S)
                serve_connection(conn, self.handler)
        finally:
            with self.lock:
                self.open -= 1


# The metadata store

class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, revision)
        self.keys = {}  # (table, part) -> sorted keys
        self.revision = 0
        self.history = []  # (revision, table, part, key, value or None)
        self.cond = threading.Condition()
        self.down_tables = set()  # partitions that are unavailable (busy)

    def put(self, table, key, value, part=""):
        """A write of the operator or of a worker."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.cond:
            self.apply([((table, part, key), text)])

    def drop(self, table, key, part=""):
        with self.cond:
            self.apply([((table, part, key), None)])

    def apply(self, changes):
        self.revision += 1
        for key, value in changes:
            if value is None:
                if key not in self.rows:
                    continue
                del self.rows[key]
                keys = self.keys[key[:2]]
                del keys[bisect.bisect_left(keys, key[2])]
            else:
                if key not in self.rows:
                    bisect.insort(self.keys.setdefault(key[:2], []), key[2])
                self.rows[key] = (value, self.revision)
            self.history.append((self.revision, *key, value))
        self.cond.notify_all()

    def base(self):
        return {"revision": self.revision, "nowMs": now_ms()}

    @staticmethod
    def row(key, value, revision):
        return {"table": key[0], "part": key[1], "key": key[2],
                "value": value, "revision": revision}

    def is_down(self, tables):
        return any(t in self.down_tables for t in tables)

    def handle(self, r):
        name = r.path.rsplit("/", 1)[-1]
        if name == "rows-tx":
            return self.transaction(r.json())
        if name == "rows-get":
            return self.read(r.query)
        if name == "rows-feed":
            return self.feed(r.query)
        return 404, {}

    def transaction(self, o):
        def key_of(e):
            return (e["table"], e.get("part", ""), e["key"])

        conditions = o.get("precondition", [])
        puts, removes = o.get("setKeys", []), o.get("remove", [])
        time.sleep(0.004)
        with self.cond:
            if self.is_down([e["table"] for e in conditions + puts + removes]):
                return 503, {}
            current = [(key_of(e), e["revision"]) for e in conditions]
            if any(self.rows.get(k, (0, 0))[1] != rev for k, rev in current):
                rows = [self.row(k, *self.rows[k]) if k in self.rows else
                        self.row(k, "", 0) for k, _ in current]
                return 412, dict(self.base(), rows=rows)
            if any(e["table"] in ("op", "servers") for e in puts + removes):
                return 403, {}
            self.apply([(key_of(e), e["value"]) for e in puts] +
                       [(key_of(e), None) for e in removes])
            return 200, self.base()

    def read(self, q):
        table, part = q["table"], q.get("part", "")
        low, high = q.get("from", ""), q.get("to")
        time.sleep(0.002)
        with self.cond:
            if self.is_down([table]):
                return 503, {}
            keys = self.keys.get((table, part), [])
            first = bisect.bisect_left(keys, low)
            end = len(keys) if high is None else bisect.bisect_left(keys, high)
            page = [(table, part, k) for k in keys[first:min(end, first + 500)]]
            return 200, dict(self.base(), hasMore=end - first > 500,
                             rows=[self.row(k, *self.rows[k]) for k in page])

    def feed(self, q):
        table, after = q["table"], int(q["after"])
        end = time.monotonic() + min(int(q.get("waitMs", 0)), 30000) / 1000
        with self.cond:
            while True:
                n = bisect.bisect_right(self.history, (after, "\uffff"))
                rows = [h for h in self.history[n:] if h[1] == table]
                left = end - time.monotonic()
                if rows or left <= 0:
                    break
                self.cond.wait(left)
            out = []
            for rev, *key, value in rows:
                row = self.row(key, value or "", rev)
                if value is None:
                    row["tombstone"] = True
                out.append(row)
            return 200, dict(self.base(), rows=out)


# Workers and machines

class Worker:
    """One life of a machine in a pool. taskSpec: the run time in ms."""

    def __init__(self, site, machine, pool):
        self.site, self.machine, self.pool = site, machine, pool
        site.worker_count += 1
        self.id = "w%d" % site.worker_count
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}  # task -> [run, end or None, stopping]
        self.highest = {}  # task -> highest run that was stopped or ended
        self.ended = []  # [N, task, run, how, saved]
        self.count = 0
        self.sequence = 0
        self.dead = False
        self.cond = threading.Condition()
        self.connections = Connections(self.handle)
        self.socket = listen(self.port, self.connections)
        self.beat()
        threading.Thread(target=self.live, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.start) * 1000) + 1000

    def beat(self, state="ready"):
        self.sequence += 1
        self.site.store.put("servers", self.id, {
            "service": self.pool, "address": "%s:%d" % (HOST, self.port),
            "zone": "z1", "version": "1", "slots": 8, "state": state,
            "coldMs": 0, "sequence": self.sequence, "machine": self.machine,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
            "labels": self.site.labels(self.machine), "born": self.born})

    def live(self):
        last = time.monotonic()
        while not self.dead:
            time.sleep(0.02)
            with self.cond:
                if self.running and self.clock() > self.deadline:
                    for task in list(self.running):
                        self.end(task, "lapsed")
                for task, (run, end, _) in list(self.running.items()):
                    if end and time.monotonic() >= end:
                        self.end(task, "done")
            if time.monotonic() - last > 1.5:
                last = time.monotonic()
                self.beat()

    def end(self, task, how):
        run = self.running.pop(task)[0]
        self.count += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.count, task, run, how, ""])
        self.site.record("END", task, run, "at", self.id, how)
        self.cond.notify_all()

    def kill(self, silent=False):
        """silent: a crash; the entry stays for three heartbeat intervals."""
        with self.cond:
            self.dead = True
            for task, (run, _, _) in self.running.items():
                self.site.record("END", task, run, "at", self.id, "killed")
            self.running.clear()
            self.cond.notify_all()
        self.socket.close()
        if silent:
            time.sleep(4.5)
        self.site.store.drop("servers", self.id)

    def handle(self, r):
        if self.dead:
            return None, None
        if r.headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        o = r.json()
        name = r.path.rsplit("/", 1)[-1]
        with self.cond:
            if o.get("fence", 0) < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = o.get("fence", 0)
            if name in ("hold", "run-start") and "deadlineMs" in o:
                self.deadline = max(self.deadline, min(
                    o["deadlineMs"], self.clock() + 10000))
            if name == "run-start":
                return self.run_start(o)
            if name == "run-stop":
                return self.run_stop(o)
            if name == "hold":
                return self.hold(o)
            return 200, {"clockMs": self.clock()}

    def run_start(self, o):
        task, run = o["task"], o["run"]
        at = {"clockMs": self.clock()}
        if task in self.running and self.running[task][0] == run:
            return 200, at
        if task in self.running or run <= self.highest.get(task, 0):
            return 409, dict(at, reason="old")
        if o["deadlineMs"] <= self.clock():
            return 409, dict(at, reason="late")
        ms = int(o["taskSpec"].split()[0])
        self.running[task] = [run, time.monotonic() + ms / 1000 if ms else
                              None, False]
        self.site.run_count += 1
        self.site.record("RUN", task, run, "at", self.id, "fence", o["fence"])
        return 200, at

    def run_stop(self, o):
        task, run = o["task"], o["run"]
        if task in self.running and self.running[task][0] <= run:
            self.end(task, "stopped")
        self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {"clockMs": self.clock()}

    def hold(self, o):
        acked = o.get("ackedUpto", 0)
        self.ended = [e for e in self.ended if e[0] > acked]
        wait = time.monotonic() + min(o.get("waitMs", 0), 2000) / 1000
        while not self.ended and not self.dead and time.monotonic() < wait:
            self.cond.wait(wait - time.monotonic())
        rows = [[t, run, "", 100, 0] for t, (run, _, _) in
                self.running.items()]
        return 200, {"clockMs": self.clock(), "running": rows,
                     "ended": self.ended[:500], "born": self.born}


class Machines:
    """The machine service; keeps no fence (enforceFencing is false)."""

    def __init__(self, site, pools):
        self.site = site
        self.lock = threading.Lock()
        self.machines = {}  # name -> [pool, state, worker or None]
        self.done = set()  # (wave, machine)
        for name, pool in pools.items():
            self.machines[name] = [pool, "up", Worker(site, name, pool)]

    def handle(self, r):
        name = r.path.rsplit("/", 1)[-1]
        with self.lock:
            if name == "machines":
                return 200, {"nextToken": "", "machines": [
                    {"machine": m, "pool": pool, "state": state,
                     "zone": "z1", "labels": self.site.labels(m),
                     "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
                     "id": worker.id if worker else ""}
                    for m, (pool, state, worker) in self.machines.items()]}
            o = r.json()
            if name not in ("machine-move", "machine-upkeep") or \
                    o.get("machine") not in self.machines:
                return 400, {}
            code, answer = self.order(name, o)
            self.site.record(
                "ORDER", name, o["machine"], "from",
                r.headers.get("lease-holder"), "token",
                r.headers.get("fencing-token"), "->", code, json.dumps(answer))
            self.site.orders.append((o["machine"],
                                     r.headers.get("lease-holder"),
                                     int(r.headers.get("fencing-token", 0))))
            return code, answer

    def order(self, name, o):
        m = self.machines[o["machine"]]
        if name == "machine-move":
            if m[0] == o["pool"]:
                return 200, {}
            pool, state, after = o["pool"], "moving", 1.5
        else:
            if (o["wave"], o["machine"]) in self.done:
                return 200, {}
            pool, state, after = m[0], "upkeep", 2.0
        if m[1] != "up":
            return 409, {"reason": "busy"}
        if name == "machine-upkeep":
            self.done.add((o["wave"], o["machine"]))
        worker = m[2]
        m[:] = [pool, state, None]
        threading.Thread(target=worker.kill, daemon=True).start()
        threading.Timer(after, self.back, (o["machine"],)).start()
        return 200, {}

    def lose(self, name):
        """The machine and its worker are lost for good."""
        with self.lock:
            m = self.machines[name]
            worker, m[1], m[2] = m[2], "down", None
        self.site.record("LOST FOR GOOD", name, worker.id)
        threading.Thread(target=worker.kill, args=(True,),
                         daemon=True).start()

    def back(self, name):
        with self.lock:
            m = self.machines[name]
            m[1], m[2] = "up", Worker(self.site, name, m[0])


# Paths from a node to the store and the machine service

class Path:
    """A TCP path of one node that can be cut.

    While it is cut, nothing passes. A connection that is opened meanwhile
    never passes anything. Bytes that a connection holds up are delivered
    afterwards, unless their sender has reset the connection (DEPLOY.md).
    """

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.whole = threading.Event()
        self.whole.set()
        self.socket = listen(self.port, self.connection)

    def connection(self, near):
        if not self.whole.is_set():
            near.recv(1 << 16)
            self.whole.wait()
            near.close()
            return
        try:
            far = socket.create_connection((HOST, self.target))
        except OSError:
            near.close()
            return
        for s in (near, far):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        t = threading.Thread(target=self.pump, args=(far, near), daemon=True)
        t.start()
        self.pump(near, far)
        t.join()
        near.close()
        far.close()

    def pump(self, source, sink):
        held = b""
        try:
            while True:
                data = source.recv(1 << 16)
                held += data
                while data and not self.whole.is_set():
                    # held up; is it still the sender's, or was it reset?
                    source.settimeout(0.05)
                    try:
                        data = source.recv(1 << 16)
                        held += data
                    except socket.timeout:
                        pass
                    finally:
                        source.settimeout(None)
                self.whole.wait()
                if held:
                    sink.sendall(held)
                    held = b""
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
        except OSError:
            # reset: what was held up is lost
            for s in (source, sink):
                try:
                    s.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


SETTINGS = """\
node: "{name}"
zone: "z1"
callers: "127.0.0.1:{callers}"
readiness: "127.0.0.1:{readiness}"
peers: "127.0.0.1:{peers}"
links: "127.0.0.1:{links}"
metrics: "127.0.0.1:{metrics}"
seeds: "{seeds}"
store: "127.0.0.1:{store}"
fleet: "127.0.0.1:{fleet}"
advice: "127.0.0.1:{advice}"
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
"""  # deploy/settings.yaml, with the bounds of sites/aluat-cluj.toml


class Node:
    def __init__(self, site, name):
        self.site, self.name = site, name
        self.ports = {k: free_port() for k in (
            "callers", "readiness", "peers", "links", "metrics", "advice")}
        self.store_path = Path(site.store_port)
        self.fleet_path = Path(site.fleet_port)
        self.process = None

    def start(self, first=True):
        path = os.path.join(self.site.dir, self.name + ".yaml")
        seeds = ",".join("127.0.0.1:%d" % n.ports["peers"]
                         for n in self.site.nodes[:3])
        with open(path, "w") as f:
            f.write(SETTINGS.format(name=self.name, seeds=seeds,
                                    first="true" if first else "false",
                                    store=self.store_path.port,
                                    fleet=self.fleet_path.port, **self.ports))
        self.log = open(os.path.join(self.site.dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [self.site.program], cwd=self.site.root, stdout=self.log,
            stderr=self.log, env={
                "PATH": os.environ.get("PATH", ""), "JACKDAWWELL_BOOT": path,
                "JACKDAWWELL_MEMORY_MB": "260",
                "JACKDAWWELL_ROW_BYTES": "65536"})

    def signal(self, number):
        self.site.record("SIGNAL", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def memory_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                pages = int(f.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGESIZE") / (1 << 20)

    def status(self):
        try:
            return json.loads(call(self.ports["peers"], "GET", "/status",
                                   timeout=1)[1])
        except (OSError, ValueError):
            return {}


def call(port, method, path, body=None, headers=None, timeout=3.0):
    """One HTTP request on a connection of its own; (code, body)."""
    s = socket.create_connection((HOST, port), timeout)
    try:
        s.settimeout(timeout)
        data = json.dumps(body).encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path), "Connection: close",
                 "Content-Length: %d" % len(data),
                 "Content-Type: application/json"]
        lines += ["%s: %s" % h for h in dict({"Host": "h.example"},
                                             **(headers or {})).items()]
        s.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        answer = b""
        while True:
            part = s.recv(1 << 16)
            if not part:
                break
            answer += part
    finally:
        s.close()
    head, _, text = answer.partition(b"\r\n\r\n")
    if not head:
        raise OSError("no answer")
    return int(head.split(b" ")[1]), text.decode()


KEY = "key-of-the-baker"


class Site:
    """The platform, its workers and the nodes."""

    def __init__(self, folder, pools, nodes=3, kinds=None):
        self.kinds = kinds or {}  # machine -> kind; others are "plain"
        here = os.path.dirname(os.path.abspath(__file__))
        self.root = os.path.dirname(os.path.dirname(here))
        self.program = os.path.join(self.root, "target", "jackdawwell-node")
        self.temporary = tempfile.TemporaryDirectory()
        self.dir = self.temporary.name
        self.record = Record(os.path.join(folder, "record.txt"))
        self.worker_count = 0
        self.run_count = 0
        self.orders = []  # (machine, holder, token), as they arrive
        self.store = Store(self.record)
        self.store_port, self.fleet_port = free_port(), free_port()
        serve(self.store_port, self.store.handle)
        self.services = sorted(set(pools.values()))
        self.machines = Machines(self, pools)
        serve(self.fleet_port, self.machines.handle)
        self.version = 0
        self.configure()
        self.nodes = []
        for i in range(nodes):
            self.nodes.append(Node(self, "node-%d" % (i + 1)))

    def labels(self, machine):
        return [self.kinds.get(machine, "plain"), "r-" + machine[-1]]

    def configure(self, routes=None):
        self.version += 3
        self.store.put("op", "config", {
            "version": self.version, "limits": {},
            "routes": [{"name": "q-" + s, "host": "h.example",
                        "pathPrefix": "/%s/" % s, "service": s,
                        "sloMs": 600, "stretch": 3.0, "maxAttempts": 3,
                        "priority": 0, "timeoutMs": 3000, "public": False}
                       for s in (routes or self.services)],
            "services": [{"name": s, "admissionCheck": True, "spare": False}
                         for s in self.services],
            "tenants": [{"name": "baker", "apiKeys": [KEY], "weight": 1,
                         "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}]})

    def start(self):
        for n in self.nodes:
            n.start()
        self.until(lambda: self.leader(), 15, "a leader")
        self.until(lambda: all(self.ready(n) for n in self.nodes), 15,
                   "all nodes ready")

    @staticmethod
    def ready(node):
        try:
            return call(node.ports["readiness"], "GET", "/jackdawwell/ready",
                        timeout=1)[0] == 200
        except OSError:
            return False

    def leader(self):
        for n in self.nodes:
            if n.process.poll() is None and n.status().get("leads") == "yes":
                return n
        return None

    @staticmethod
    def until(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise TimeoutError(what)

    def submit(self, node, service, job, steps, deadline_ms=3000):
        return self.ask(node, "POST", service, job,
                        {"taskSpec": steps[1], "steps": steps[0]}, deadline_ms)

    def ask(self, node, method, service, job, body=None, deadline_ms=3000):
        """A call of a client; the code, or None without an answer."""
        self.record("SENT", method, job, "to", node.name)
        try:
            code, text = call(node.ports["callers"], method,
                              "/%s/%s" % (service, job), body,
                              {"X-Api-Key": KEY,
                               "Deadline-Ms": str(deadline_ms)},
                              timeout=deadline_ms / 1000)
        except OSError as e:
            code, text = None, str(e)
        self.record("ANSWERED", method, job, "by", node.name, code, text)
        return code, text

    def close(self):
        for n in self.nodes:
            if n.process and n.process.poll() is None:
                n.process.send_signal(signal.SIGCONT)
                n.process.kill()
        for n in self.nodes:
            if n.process:
                n.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for n in self.nodes:
                with open(os.path.join(self.dir, n.name + ".log"), "rb") as f:
                    data = f.read()
                with open(os.path.join(keep, n.name + ".log"), "wb") as f:
                    f.write(data)
        self.temporary.cleanup()


NOTHING_RUNS_S = 3.0  # LOST: "for 3 s, a job has nothing running"


def idle_jobs(site, service, accepted):
    """LOST: jobs that were accepted, not cancelled, and that nothing runs.

    For calls later than finish_s after the end of the traffic. Says nothing
    while anything runs.
    """
    runs = site.run_count
    time.sleep(NOTHING_RUNS_S)
    running = sum(len(m[2].running) for m in site.machines.machines.values()
                  if m[2])
    started = site.run_count - runs
    states = {}
    for job in accepted:
        for attempt in range(6):
            code, text = site.ask(site.nodes[attempt % len(site.nodes)], "GET",
                                  service, job)
            if code in (200, 410):
                break
        state = text if code == 200 else "no answer (%s)" % code
        states.setdefault(state, []).append(job)
    site.record("ACCEPTED", len(accepted), "jobs;", {
        s: len(j) for s, j in states.items()}, "; running:", running,
        "; started in the last", NOTHING_RUNS_S, "s:", started)
    lost = [j for s, js in states.items() if "completed" not in s for j in js]
    if not lost or running or started:
        return ""
    return ("LOST: %d of %d accepted jobs have nothing running for %g s, long "
            "after the end of the traffic, with all workers free" %
            (len(lost), len(accepted), NOTHING_RUNS_S))


def run_case(folder, case):
    """Runs case(site_factory); exits with 1 if it returns what was broken."""
    site = []

    def make(*args, **options):
        site.append(Site(folder, *args, **options))
        return site[0]

    code = 2
    try:
        broken = case(make, os.environ.get("TROUBLE", "1") != "0")
        code = 1 if broken else 0
        if site:
            site[0].record("RESULT", broken or "the rule held")
        print(broken or "the rule held")
    except Exception as e:  # the case couldn't run
        print("the case could not run: %r" % (e,))
        if site:
            site[0].record("RESULT", "could not run:", repr(e))
    finally:
        if site:
            site[0].close()
    sys.stdout.flush()
    os._exit(code)
