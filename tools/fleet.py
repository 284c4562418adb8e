"""Starts stand-ins and entries on loopback and makes calls to them.

Used by the demo, the scenario runner and the benchmarks. A Fleet stops all
processes that it started when it is closed.
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
READY_TIMEOUT_S = 10.0
PORT_RANGE_BEGIN, PORT_RANGE_END = 11000, 32000
PORT_BLOCK_SIZE = 50


def bind_port(port, exclusive):
    """Returns a socket bound to the port; None if the port is in use.

    A child process inherits the socket between fork and exec, so the port can
    stay bound for a moment after the socket is closed here. If exclusive is
    false, SO_REUSEADDR lets the port be bound again meanwhile.
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
    """Allocates ports that no other run gets while this process runs.

    They lie below the range from which the kernel takes the ports of
    outgoing connections. A run claims a block by binding its first port, so
    that several runs on one machine use different blocks.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.free = []
        self.block_sockets = []

    @staticmethod
    def range_end():
        try:
            with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
                return min(PORT_RANGE_END, int(f.read().split()[0]))
        except OSError:
            return PORT_RANGE_END

    def claim_block(self):
        blocks = list(range(PORT_RANGE_BEGIN,
                            self.range_end() - PORT_BLOCK_SIZE,
                            PORT_BLOCK_SIZE))
        random.shuffle(blocks)
        for first in blocks:
            s = bind_port(first, exclusive=True)
            if s:
                self.block_sockets.append(s)
                self.free.extend(range(first + 1, first + PORT_BLOCK_SIZE))
                return
        raise OSError("all port blocks are in use")

    def allocate(self):
        with self.lock:
            while True:
                if not self.free:
                    self.claim_block()
                port = self.free.pop(0)
                s = bind_port(port, exclusive=False)
                if s:
                    s.close()
                    return port


PORTS = Ports()


def free_ports(count):
    """Returns newly allocated ports; see Ports."""
    return [PORTS.allocate() for _ in range(count)]


def call(port, method, path, body=None, headers=None, timeout=15.0):
    """Makes one HTTP request; returns status, headers and body."""
    c = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        c.request(method, path, body, headers or {})
        answer = c.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        c.close()


def wait_until(what, condition, timeout_s=READY_TIMEOUT_S):
    """Waits until condition() is true; raises TimeoutError naming what."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(what)


def save_log(build, title, text):
    """Saves the log of a failed case; returns the file's path."""
    folder = os.path.join(build, "failed")
    os.makedirs(folder, exist_ok=True)
    name = re.sub(r"[^a-z0-9]+", "-", title.lower())[:60]
    path = os.path.join(folder, f"{name}-{os.getpid()}.log")
    with open(path, "w") as f:
        f.write(text)
    return path


class Process:
    """A process that listens on a port."""

    def __init__(self, name, port, command, log, environment=None):
        self.name = name
        self.port = port
        self.command = command
        self.log = log
        self.environment = environment or {}
        self.popen = None

    def start(self):
        self.popen = subprocess.Popen(
            self.command, stdout=self.log, stderr=self.log,
            env={**os.environ, **self.environment})

    def send_signal(self, number):
        self.popen.send_signal(number)

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def stop(self):
        if self.running():
            self.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen:
            self.popen.wait()


class Fleet:
    """A platform stand-in, worker stand-ins and entries."""

    def __init__(self, build, settings=None, workers=(), command_prefix=()):
        self.build = build
        self.dir = tempfile.TemporaryDirectory()
        self.settings = settings or {}
        self.command_prefix = list(command_prefix)
        self.log = open(os.path.join(self.dir.name, "log"), "w+")
        port, = free_ports(1)
        self.platform = Process("platform", port, [
            f"{build}/standin/platform", "--port", str(port)], self.log)
        self.platform.start()
        wait_until("platform", lambda: self.is_listening(port))
        self.workers = {}
        self.entries = {}
        self.keys = {}
        for name in workers:
            self.add_worker(name)

    @staticmethod
    def is_listening(port):
        with socket.socket() as s:
            return s.connect_ex((HOST, port)) == 0

    def add_worker(self, name, *options):
        port, = free_ports(1)
        p = Process(name, port, [f"{self.build}/standin/worker", "--port",
                                 str(port), *options], self.log)
        p.start()
        self.workers[name] = p
        wait_until(name, lambda: self.is_listening(port))
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
            *self.command_prefix, f"{self.build}/jackdawwelld", path],
            self.log)
        p.admin = ports[1]
        self.entries[name] = p
        self.set_instance_list()
        p.start()
        if ready:
            self.wait_ready(name)
        return p

    def wait_ready(self, name, timeout_s=READY_TIMEOUT_S):
        p = self.entries[name]

        def ready():
            if not p.running():
                raise RuntimeError(f"{name} ended: {self.log_tail()}")
            try:
                return call(p.admin, "GET", "/readyz")[0] == 200
            except OSError:
                return False
        wait_until(f"{name} ready: {self.log_tail()}", ready, timeout_s)

    def set_instance_list(self, without=()):
        names = [n for n in [*self.entries, *self.workers]
                 if n not in without]
        self.control_platform(instances=names)

    def control_platform(self, **fields):
        return json.loads(call(self.platform.port, "POST", "/control",
                               json.dumps(fields))[2])

    def control_worker(self, name, **fields):
        call(self.workers[name].port, "POST", "/control", json.dumps(fields))

    def record(self, name):
        """Returns the requests that a worker stand-in ran, with times."""
        return json.loads(call(self.workers[name].port, "GET", "/record")[2])

    def records(self):
        return {name: self.record(name) for name in self.workers}

    def runs(self, request_id):
        """Returns how often the workers ran a request."""
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

    def change_config(self, entry, change, **fields):
        return self.admin(entry, "POST", "/v1/config",
                          {"change": change, **fields})

    def issue_key(self, entry, name, team):
        code, body = self.admin(entry, "POST", "/v1/keys",
                                {"name": name, "team": team})
        if code != 200:
            raise RuntimeError(f"issuing key {name}: status {code}, {body}")
        self.keys[name] = body["key"]
        return body

    def load(self, entry, teams, queues, slots=8, pool_of=None,
             workers=None):
        """Loads pools, instances, teams and queues; issues a key per team."""
        pools = {q["pool"] for q in queues.values()}
        pools |= set((pool_of or {}).values())
        names = sorted(pools)
        worker_names = workers or list(self.workers)
        instances = {
            w: {"address": f"{HOST}:{self.workers[w].port}",
                "pool": (pool_of or {}).get(w, names[0]),
                "zone": f"az-{i % 3 + 1}", "rack": f"rack-{i // 4 + 1}",
                "slots": slots} for i, w in enumerate(worker_names)}
        code, body = self.change_config(entry, {
            "pools": {p: {"service": p, "out_max": 2} for p in pools},
            "instances": instances, "teams": teams, "queues": queues})
        if code != 200:
            raise RuntimeError(f"loading inventory: status {code}, {body}")
        for team in teams:
            self.issue_key(entry, f"{team}-key", team)
        self.wait_for_version(self.status(entry)["version"])

    def wait_for_version(self, version):
        """Waits until every entry has this version or a newer one."""
        for name in self.entries:
            wait_until(f"{name} has version {version}",
                       lambda n=name: self.status(n)["version"] >= version)

    def request(self, entry, queue, key=None, body=b"", headers=None,
                timeout=15.0, method="POST"):
        all_headers = dict(headers or {})
        if key:
            all_headers["Authorization"] = f"Bearer {self.keys[key]}"
        code, answer_headers, answer = call(
            self.entries[entry].port, method, f"/run/{queue}", body,
            all_headers, timeout)
        return code, answer_headers.get("Jackdawwell-Outcome"), answer

    def read_log(self):
        self.log.flush()
        with open(self.log.name) as f:
            return f.read()

    def log_tail(self):
        return self.read_log()[-8000:]

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


class BackgroundCalls:
    """Runs calls in threads and collects their results."""

    def __init__(self):
        self.threads = []
        self.results = []
        self.lock = threading.Lock()

    def start(self, fn, *args, **kwargs):
        def run():
            try:
                result = fn(*args, **kwargs)
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
