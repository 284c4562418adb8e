"""Starts stand-ins and entries on loopback and speaks to them.

Used by the demo, the scenario runner and the benchmarks. Every process is
one that this module started; they end with it.
"""

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-for-tests"
READY_S = 10.0
PORTS_BEGIN, PORTS_END = 11000, 32000
PORT_BLOCK = 50


def bound(port, exclusive):
    """A socket bound to the port; None if something else has it.

    A child that another thread is starting holds a copy until its exec. One
    that is not exclusive lets the port be bound again meanwhile.
    """
    s = socket.socket()
    if not exclusive:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        s.bind((HOST, port))
    except OSError:
        s.close()
        return None
    return s


class Ports:
    """Ports that nothing else gets while this process lives.

    They lie below the range from which the kernel takes the ports of
    outgoing connections. A block of them belongs to whoever holds its first
    port bound, so that several runs on one machine keep apart.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.free = []
        self.held = []

    @staticmethod
    def end():
        try:
            with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
                return min(PORTS_END, int(f.read().split()[0]))
        except OSError:
            return PORTS_END

    def claim_block(self):
        blocks = list(range(PORTS_BEGIN, self.end() - PORT_BLOCK, PORT_BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            s = bound(first, exclusive=True)
            if s:
                self.held.append(s)
                self.free.extend(range(first + 1, first + PORT_BLOCK))
                return
        raise OSError("no block of ports is free")

    def take(self):
        with self.lock:
            while True:
                if not self.free:
                    self.claim_block()
                port = self.free.pop(0)
                s = bound(port, exclusive=False)
                if s:
                    s.close()
                    return port


PORTS = Ports()


def free_ports(count):
    """Returns ports that no other process is given."""
    return [PORTS.take() for _ in range(count)]


def call(port, method, path, body=None, headers=None, timeout=15.0):
    """Makes one HTTP request; returns status, headers and body."""
    c = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        c.request(method, path, body, headers or {})
        answer = c.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        c.close()


def wait_until(what, true, seconds=READY_S):
    """Waits until true() holds; raises TimeoutError naming what."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if true():
            return
        time.sleep(0.02)
    raise TimeoutError(what)


def keep_log(build, title, text):
    """Keeps the log of a failed case; returns the file's path."""
    folder = os.path.join(build, "failed")
    os.makedirs(folder, exist_ok=True)
    name = re.sub(r"[^a-z0-9]+", "-", title.lower())[:60]
    path = os.path.join(folder, f"{name}-{os.getpid()}.log")
    with open(path, "w") as f:
        f.write(text)
    return path


class Process:
    """One process of the fleet, on a port."""

    def __init__(self, name, port, command, log):
        self.name = name
        self.port = port
        self.command = command
        self.log = log
        self.popen = None

    def start(self):
        self.popen = subprocess.Popen(
            self.command, stdout=self.log, stderr=self.log)

    def send(self, number):
        self.popen.send_signal(number)

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def stop(self):
        if self.running():
            self.send(signal.SIGCONT)
            self.popen.kill()
        if self.popen:
            self.popen.wait()


class Fleet:
    """A platform, workers and entries with an inventory loaded."""

    def __init__(self, build, settings=None, workers=(), wrap=()):
        self.build = build
        self.dir = tempfile.TemporaryDirectory()
        self.settings = settings or {}
        self.wrap = list(wrap)
        self.log = open(os.path.join(self.dir.name, "log"), "w+")
        port, = free_ports(1)
        self.platform = Process("platform", port, [
            f"{build}/standin/platform", "--port", str(port)], self.log)
        self.platform.start()
        wait_until("platform", lambda: self.listens(port))
        self.workers = {}
        self.entries = {}
        self.keys = {}
        for name in workers:
            self.add_worker(name)

    @staticmethod
    def listens(port):
        with socket.socket() as s:
            return s.connect_ex((HOST, port)) == 0

    def add_worker(self, name, *options):
        port, = free_ports(1)
        p = Process(name, port, [f"{self.build}/standin/worker", "--port",
                                 str(port), *options], self.log)
        p.start()
        self.workers[name] = p
        wait_until(name, lambda: self.listens(port))
        return p

    def settings_text(self, name, ports):
        lines = {
            "name": name, "zone": "az-1",
            "callers": f"{HOST}:{ports[0]}", "admin": f"{HOST}:{ports[1]}",
            "peers": f"{HOST}:{ports[2]}",
            "platform": f"http://{HOST}:{self.platform.port}",
            "secret": "fleet-secret-for-tests", **self.settings}
        text = "".join(f"{k}: {v}\n" for k, v in lines.items())
        return text + (f"operators:\n  - name: ana\n"
                       f"    token: {OPERATOR_TOKEN}\n")

    def add_entry(self, name, ready=True):
        ports = free_ports(3)
        path = os.path.join(self.dir.name, f"{name}.yaml")
        with open(path, "w") as f:
            f.write(self.settings_text(name, ports))
        p = Process(name, ports[0], [
            *self.wrap, f"{self.build}/jackdawwelld", path], self.log)
        p.admin = ports[1]
        self.entries[name] = p
        self.list_instances()
        p.start()
        if ready:
            self.wait_ready(name)
        return p

    def wait_ready(self, name, seconds=READY_S):
        p = self.entries[name]

        def ready():
            if not p.running():
                raise RuntimeError(f"{name} ended: {self.log_text()}")
            try:
                return call(p.admin, "GET", "/readyz")[0] == 200
            except OSError:
                return False
        wait_until(f"{name} ready: {self.log_text()}", ready, seconds)

    def list_instances(self, without=()):
        names = [n for n in [*self.entries, *self.workers]
                 if n not in without]
        self.control_platform(instances=names)

    def control_platform(self, **what):
        return json.loads(call(self.platform.port, "POST", "/control",
                               json.dumps(what))[2])

    def control_worker(self, name, **what):
        call(self.workers[name].port, "POST", "/control", json.dumps(what))

    def record(self, name):
        return json.loads(call(self.workers[name].port, "GET", "/record")[2])

    def records(self):
        return {name: self.record(name) for name in self.workers}

    def runs(self, request_id):
        return sum(r["runs"].get(request_id, 0)
                   for r in self.records().values())

    def admin(self, entry, method, path, body=None, timeout=15.0):
        code, _, answer = call(
            self.entries[entry].admin, method, path,
            json.dumps(body) if body is not None else None,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"}, timeout)
        return code, json.loads(answer)

    def status(self, entry):
        return self.admin(entry, "GET", "/v1/status")[1]

    def change(self, entry, change, **more):
        return self.admin(entry, "POST", "/v1/config",
                          {"change": change, **more})

    def issue(self, entry, name, team):
        code, body = self.admin(entry, "POST", "/v1/keys",
                                {"name": name, "team": team})
        if code != 200:
            raise RuntimeError(f"key {name}: {code} {body}")
        self.keys[name] = body["key"]
        return body

    def load(self, entry, teams, queues, slots=8, pool_of=None,
             workers=None):
        """Loads pools, instances, teams and queues; one key a team."""
        pools = {q["pool"] for q in queues.values()}
        pools |= set((pool_of or {}).values())
        names = sorted(pools)
        listed = workers or list(self.workers)
        instances = {
            w: {"address": f"{HOST}:{self.workers[w].port}",
                "pool": (pool_of or {}).get(w, names[0]),
                "zone": f"az-{i % 3 + 1}", "rack": f"rack-{i // 4 + 1}",
                "slots": slots} for i, w in enumerate(listed)}
        code, body = self.change(entry, {
            "pools": {p: {"service": p, "out_max": 2} for p in pools},
            "instances": instances, "teams": teams, "queues": queues})
        if code != 200:
            raise RuntimeError(f"load: {code} {body}")
        for team in teams:
            self.issue(entry, f"{team}-key", team)
        self.wait_in_force(self.status(entry)["version"])

    def wait_in_force(self, version):
        """Waits until every entry has the version, or a newer one."""
        for name in self.entries:
            wait_until(f"{name} has version {version}",
                       lambda n=name: self.status(n)["version"] >= version)

    def request(self, entry, queue, key=None, body=b"", headers=None,
                timeout=15.0, method="POST"):
        all_headers = dict(headers or {})
        if key:
            all_headers["Authorization"] = f"Bearer {self.keys[key]}"
        code, got, answer = call(self.entries[entry].port, method,
                                 f"/run/{queue}", body, all_headers, timeout)
        return code, got.get("Jackdawwell-Outcome"), answer

    def whole_log(self):
        self.log.flush()
        with open(self.log.name) as f:
            return f.read()

    def log_text(self):
        return self.whole_log()[-8000:]

    def close(self):
        for p in [*self.entries.values(), *self.workers.values(),
                  self.platform]:
            p.stop()
        self.log.close()
        self.dir.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


class Background:
    """Runs calls in threads and collects their results."""

    def __init__(self):
        self.threads = []
        self.results = []
        self.lock = threading.Lock()

    def start(self, fn, *args, **more):
        def run():
            try:
                result = fn(*args, **more)
            except OSError as e:
                result = (0, "broken", str(e).encode())
            except http.client.HTTPException as e:
                result = (0, "broken", str(e).encode())
            with self.lock:
                self.results.append(result)
        t = threading.Thread(target=run, daemon=True)
        t.start()
        self.threads.append(t)

    def join(self):
        for t in self.threads:
            t.join()
        return self.results
