"""Runs cases of jobs on nodes and a stand-in of the users' platform.

docs/SCENARIOS.md has the grammar (jobs). Every process is one that this
module started; they end with it.
"""

import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

import fleet
import versions
from link import Link
from scenario import COMPARE, ScenarioError, seconds

NODE_SETTINGS = """\
node: {name}
zone: az-1
callers: 127.0.0.1:{callers}
readiness: 127.0.0.1:{readiness}
peers: 127.0.0.1:{peers}
links: 127.0.0.1:{links}
seeds: "{seeds}"
store: 127.0.0.1:{store}
fleet: 127.0.0.1:{fleet}
first_start: {first}
processor_share: {share}
processor_cores: 1
descriptors_max: 1000
calls_alone: {alone}
stop_ms: 6000
lease_max_ms: 10000
end_keep_s: 120
holder_ms: 300
move_s: 2
upkeep_s: 2
config_ms: 2000
"""
SHARE = 0.3       # of a core, as told to a node
POOLS = {"q0": "p0", "q1": "p1"}  # of queues; any other has the first
KEY = "key-of-the-shop-workspace"
CALL_S = 5.0
SETTLE_S = 30.0
RETRIES = 40     # of one call: callers come again until they know
RETRY_S = 0.25
GARBAGE_SEED = 20261204
GARBAGE_SIZES = (0, 1, 5, 64, 700)  # bytes of a frame
LEADING_EVENTS = ("start", "stop", "end", "lead", "claim", "takeover",
                  "resign", "predecessor-gone", "store-lost",
                  "store-regained", "stood-still", "write-unknown")
LEADING_LINES = 60
TERMINAL = ("completed", "failed", "cancelled")


def config(version, queues=("q0", "q1"), cap=400000, routes=0):
    """The operators' document: a queue a pool, one workspace."""
    more = tuple(f"more{i}" for i in range(routes))
    return {
        "version": version,
        "routes": [{"name": q, "host": "jobs.example", "pathPrefix": f"/{q}/",
                    "service": POOLS.get(q, "p0"), "sloMs": 20000,
                    "stretch": 10.0, "maxAttempts": 3, "priority": 0,
                    "timeoutMs": 3000, "public": False}
                   for q in (*queues, *more)],
        "services": [{"name": "p0", "admissionCheck": True, "spare": False},
                     {"name": "p1", "admissionCheck": True, "spare": False}],
        "tenants": [{"name": "shop", "apiKeys": [KEY], "weight": 1,
                     "cap": {"cpu": cap, "memMb": 0, "gpu": 0}}],
    }


class Site:
    """The stand-in, its workers and the nodes."""

    def __init__(self, build, workers=4):
        self.build = build
        self.dir = tempfile.TemporaryDirectory()
        self.log = open(os.path.join(self.dir.name, "log"), "w+")
        ports = fleet.free_ports(workers + 1)
        self.port = ports[0]
        pools = [f"p{i % 2}:{p}" for i, p in enumerate(ports[1:])]
        self.site = fleet.Process("site", self.port, [
            f"{build}/standin/site", "--port", str(self.port), *pools],
            self.log)
        self.site.start()
        fleet.wait_until("site", lambda: fleet.Fleet.listens(self.port))
        self.nodes = {}
        self.ports = {}
        self.links = {}  # of each node to the store
        self.version = 1
        self.versions = versions.Versions(self)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.versions.close()
        for link in self.links.values():
            link.close()
        for p in [*self.nodes.values(), self.site]:
            p.stop()
        self.log.close()
        self.dir.cleanup()

    def control(self, **what):
        return json.loads(fleet.call(self.port, "POST", "/control",
                                     json.dumps(what))[2])

    def configure(self, **changes):
        self.control(put={"table": "op", "key": "config",
                          "value": config(self.version, **changes)})
        self.version += 1

    strong = ()
    alone = 1000  # instances that a lead calls without help

    def share(self, name):
        """Of a core; a third of it for the others where some are strong."""
        return SHARE if not self.strong or name in self.strong else SHARE / 3

    def prepare_node(self, name):
        self.ports[name] = fleet.free_ports(4)
        self.links[name] = Link(self.port)
        path = self.write_settings(name, first=True)
        self.nodes[name] = fleet.Process(
            name, self.ports[name][0],
            [f"{self.build}/jackdawwell-node", path], self.log)

    def write_settings(self, name, first):
        callers, readiness, peers, links = self.ports[name]
        seeds = ",".join(f"127.0.0.1:{p[2]}" for p in self.ports.values())
        path = os.path.join(self.dir.name, f"{name}.yaml")
        with open(path, "w") as f:
            f.write(NODE_SETTINGS.format(
                name=name, callers=callers, readiness=readiness, peers=peers,
                links=links, alone=self.alone,
                seeds=seeds, store=self.links[name].port,
                fleet=self.port, share=self.share(name),
                first=str(first).lower()))
        return path

    def ready(self, name):
        try:
            return fleet.call(self.ports[name][1], "GET", "/", timeout=1)[0] == 200
        except OSError:
            return False

    def ready_or_ended(self, name):
        if not self.nodes[name].running():
            raise ScenarioError(
                f"{name} ended with {self.nodes[name].popen.returncode}")
        return self.ready(name)

    def start_nodes(self, count):
        for i in range(count):
            self.prepare_node(f"node-{i + 1}")
        for p in self.nodes.values():
            p.start()
        for name in self.nodes:
            fleet.wait_until(f"{name} is ready",
                             lambda n=name: self.ready_or_ended(n))
        for name in self.nodes:
            self.write_settings(name, first=False)

    def metric(self, name, metric):
        try:
            text = fleet.call(self.ports[name][2], "GET", "/metrics",
                              timeout=1)[2].decode()
        except OSError:
            return 0
        m = re.search(rf"^jackdawwell_{metric} (\d+)", text, re.M)
        return int(m[1]) if m else 0

    def lead(self):
        """The node that leads, by its own word with the newest epoch."""
        best = None
        for name, p in self.nodes.items():
            if p.running() and name not in self.frozen and \
                    self.metric(name, "lead"):
                epoch = self.metric(name, "lead_epoch")
                if not best or epoch > best[0]:
                    best = (epoch, name)
        return best[1] if best else None

    frozen = frozenset()

    def request(self, method, path, body=None, node=None, key=KEY):
        names = [n for n, p in self.nodes.items()
                 if p.running() and n not in self.frozen]
        if not names:
            raise ConnectionError("no node runs")
        name = node or names[hash(path + str(time.monotonic())) % len(names)]
        headers = {"Host": "jobs.example", "Deadline-Ms": "3000",
                   "X-Api-Key": key}
        return fleet.call(self.ports[name][0], method, path,
                          json.dumps(body) if body else None, headers,
                          CALL_S)

    def record(self):
        return json.loads(fleet.call(self.port, "GET", "/record")[2])


class Job:
    """One job and what its caller was told."""

    def __init__(self, number, queue, tasks, steps, ms):
        self.id = f"{number:016x}"
        self.queue = queue
        self.tasks = tasks
        self.body = {"taskSpec": f"{ms} ms", "steps": [
            {"count": tasks, "cpu": 500, "memMb": 64,
             "estimateMs": max(ms, 1),
             **({"after": [s - 1]} if s else {}),
             **({"longRunning": True} if ms == 0 else {})}
            for s in range(steps)]}
        self.answers = []
        self.accepted = False
        self.state = None


class Case:
    """One case: timed actions, then what is expected."""

    def __init__(self, text):
        lines = [l.strip() for l in text.splitlines() if l.strip()]
        self.title = lines[0].lstrip("# ")
        self.actions, self.expects = [], []
        self.nodes, self.workers = 3, 4
        self.strong = ()
        self.alone = Site.alone
        for line in lines[1:]:
            if line.startswith("#"):
                continue
            words = line.split()
            if words[0] == "at":
                self.actions.append((seconds(words[1]), words[2:]))
            elif words[0] == "expect":
                self.expects.append(words[1:])
            elif words[0] == "strong":
                self.strong = words[1:]
            elif words[0] in ("nodes", "workers", "alone"):
                setattr(self, words[0], int(words[1]))
            else:
                raise ScenarioError(f"not understood: {line}")


class Run:
    """Plays a case against a site."""

    def __init__(self, case, site):
        self.case = case
        self.site = site
        self.jobs = []
        self.threads = []
        self.cut = 0
        self.killed = set()
        self.lock = threading.Lock()

    def submit(self, job):
        for _ in range(RETRIES):
            try:
                code = self.site.request("POST", f"/{job.queue}/{job.id}",
                                         job.body)[0]
            except OSError:
                with self.lock:
                    self.cut += 1
                code = 0
            job.answers.append(code)
            if code == 200:
                job.accepted = True
                return
            time.sleep(RETRY_S)

    def in_thread(self, fn, *args):
        t = threading.Thread(target=fn, args=args)
        t.start()
        self.threads.append(t)

    def do_submit(self, words):
        count, queue = int(words[0]), words[2]
        given = dict(zip(words[3::2], words[4::2]))
        for _ in range(count):
            job = Job(len(self.jobs) + 1, queue, int(given.get("tasks", 2)),
                      int(given.get("steps", 1)), int(given.get("ms", 200)))
            self.jobs.append(job)
            self.in_thread(self.submit, job)

    def names(self, word):
        if word == "all":
            return list(self.site.nodes)
        if word == "lead":
            deadline = time.monotonic() + 5
            while not (lead := self.site.lead()):
                if time.monotonic() > deadline:
                    raise ScenarioError("no node leads")
                time.sleep(0.05)
            return [lead]
        return [word]

    def do(self, verb, words):
        site = self.site
        if verb == "submit":
            self.do_submit(words)
        elif verb == "cancel":
            job = self.jobs[int(words[0]) - 1]
            self.in_thread(self.cancel, job)
        elif verb == "store":
            site.control(down=words[0] == "down")
        elif verb in ("mute", "unmute"):
            site.control(mute=words[0] if words else "")
        elif verb == "page":
            site.control(page=int(words[0]))
        elif verb == "forget":
            site.control(forget=True)
        elif verb == "garbage":
            self.garbage(words[0])
        elif verb == "lose":
            site.control(lose=int(words[0]))
        elif verb == "crash":
            site.control(crash=words[0])
        elif verb == "link":
            site.links[words[0]].kb_per_s = int(words[1])
        elif verb == "version":
            site.versions.write(int(words[1]))
        elif verb == "configure":
            site.configure(queues=words)
        elif verb == "wave":
            site.control(put={"table": "op", "key": "wave/1", "value": {
                "wave": 1, "machines": words, "durationS": 20, "cap": 1}})
        elif verb == "thaw":
            for name in sorted(site.frozen):
                site.nodes[name].send(signal.SIGCONT)
            site.frozen = frozenset()
        elif verb in ("kill", "freeze", "stop", "start"):
            for name in self.names(words[0]):
                self.signal(verb, name)
        else:
            raise ScenarioError(f"not an action: {verb}")

    def signal(self, verb, name):
        site = self.site
        if verb == "kill":
            self.killed.add(name)
            site.nodes[name].send(signal.SIGKILL)
            site.nodes[name].popen.wait()
        elif verb == "freeze":
            site.frozen = site.frozen | {name}
            site.nodes[name].send(signal.SIGSTOP)
        elif verb == "stop":
            site.nodes[name].send(signal.SIGTERM)
        else:
            if site.nodes[name].popen:
                site.nodes[name].popen.wait()
            site.nodes[name].start()

    def garbage(self, name):
        """Frames that make no sense, whole and torn, to a node's links."""
        draw = random.Random(GARBAGE_SEED)
        for size in GARBAGE_SIZES:
            body = draw.randbytes(size)
            for head in (struct.pack(">I", size), struct.pack(">I", size + 9),
                         b"\xff\xff\xff\xff"):
                with socket.create_connection(
                        (fleet.HOST, self.site.ports[name][3])) as s:
                    s.sendall(head + body)

    def cancel(self, job):
        for _ in range(RETRIES):
            try:
                if self.site.request("DELETE", f"/{job.queue}/{job.id}")[0] \
                        in (200, 410):
                    return
            except OSError:
                pass
            time.sleep(RETRY_S)

    def play(self):
        begin = time.monotonic()
        for at, words in self.case.actions:
            time.sleep(max(0, begin + at - time.monotonic()))
            self.do(words[0], words[1:])
        for t in self.threads:
            t.join()
        self.settle()

    def ask_states(self):
        for job in self.jobs:
            if job.state in TERMINAL or not job.accepted:
                continue
            try:
                code, _, body = self.site.request(
                    "GET", f"/{job.queue}/{job.id}")
            except OSError:
                continue
            if code == 200:
                job.state = json.loads(body)["state"]
            elif code == 410:
                raise ScenarioError(f"accepted job {job.id} is not known")

    def settle(self, within_s=SETTLE_S):
        """Waits until every accepted job that ends has ended."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            self.ask_states()
            if all(j.state in TERMINAL or j.body["taskSpec"] == "0 ms"
                   for j in self.jobs if j.accepted):
                return
            time.sleep(0.2)

    def value(self, words):
        if words[0] in TERMINAL:
            return sum(j.state == words[0] for j in self.jobs)
        if words[0] == "accepted":
            return sum(j.accepted for j in self.jobs)
        if words[0] == "answers":
            return sum(j.answers.count(int(words[1])) for j in self.jobs)
        if words[0] == "cut":
            return self.cut
        if words[0] == "running":
            return sum(r[4] == 0 for r in self.site.record())
        if words[0] == "upkeep":
            return len({r[2] for r in self.site.record() if r[5] == "gone"})
        if words[0] == "command":
            return self.command(words[1:])
        if words[0] == "wave":
            return int(self.wave_state() == words[1])
        if words[0] == "status":
            return self.status(words[1], words[2])
        if words[0] == "served":
            return sum(self.site.metric(n, "relay_calls_served_total")
                       for n in self.site.nodes)
        if words[0] == "in-force":
            return self.site.versions.in_force()
        if words[0] == "up":
            return sum(p.running() for p in self.site.nodes.values())
        if words[0] == "rows-read":
            return self.site.control()["rows_read"]
        if words[0] == "lead":
            return int(self.site.lead() == words[1])
        if words[0] == "takeovers":
            return max(self.site.metric(n, "lead_epoch")
                       for n in self.site.nodes)
        raise ScenarioError(f"not a value: {' '.join(words)}")

    def command(self, words):
        """Exit code of the operators' command, asked of every node."""
        entries = [w for ports in self.site.ports.values()
                   for w in ("-e", f"{fleet.HOST}:{ports[2]}")]
        done = subprocess.run(
            [f"{self.site.build}/jackdawwell", *entries, *words],
            stdout=self.site.log, stderr=self.site.log)
        return done.returncode

    def wave_state(self):
        body = json.loads(fleet.call(
            self.site.port, "GET",
            "/jackdawwell/rows-get?table=status&part=")[2])
        states = [json.loads(base64.b64decode(r["value"]))["state"]
                  for r in body["rows"]]
        return states[0] if states else "none"

    def status(self, method, path):
        return self.site.request(method, path)[0]

    def check_always(self):
        """No task runs twice at once, or again after it was done.

        No node answers by a version that is too old.
        """
        if self.site.versions.errors:
            raise ScenarioError("; ".join(self.site.versions.errors[:3]) +
                                f" ({len(self.site.versions.errors)} in all)")
        runs = {}
        for task, run, worker, begin, end, how in self.site.record():
            runs.setdefault(task, []).append((begin, end, how, worker))
        for task, of in runs.items():
            of.sort()
            for (b1, e1, how, _), (b2, _, _, _) in zip(of, of[1:]):
                if not e1 or b2 < e1:
                    raise ScenarioError(f"{task} ran twice at once: {of}")
                if how == "done":
                    raise ScenarioError(f"{task} ran again when done: {of}")
        done = {t for t, of in runs.items()
                if any(r[2] == "done" for r in of)}
        for job in self.jobs:
            if job.state != "completed":
                continue
            for s, step in enumerate(job.body["steps"]):
                for t in range(step["count"]):
                    if f"{job.id}.0.{s}.{t}" not in done:
                        raise ScenarioError(
                            f"{job.id} is shown as completed, task {s}.{t} "
                            "has not ended so")

    def check(self):
        self.check_always()
        for words in self.case.expects:
            compare = next(w for w in words if w in COMPARE)
            at = words.index(compare)
            got = self.value(words[:at])
            if not COMPARE[compare](got, float(words[at + 1])):
                raise ScenarioError(
                    f"expected {' '.join(words)}, got {got}")


def leading_lines(text):
    """The lines of a log that tell who led and what was believed of whom."""
    return "\n".join([l for l in text.splitlines() if any(
        f'"event":"{event}"' in l for event in LEADING_EVENTS)
        or not l.startswith("{")][-LEADING_LINES:])


def play(case, build):
    with Site(build, case.workers) as site:
        site.strong = case.strong
        site.alone = case.alone
        try:
            site.configure()
            site.start_nodes(case.nodes)
            run = Run(case, site)
            run.play()
            run.check()
        except (ScenarioError, TimeoutError, OSError) as e:
            site.log.seek(0)
            text = site.log.read()
            path = fleet.keep_log(build, case.title, text)
            return f"{e}; whole log: {path}\n{leading_lines(text)}"
    return None


def run_file(path, build):
    with open(path) as f:
        for text in re.split(r"^-{3,}$", f.read(), flags=re.M):
            if text.strip():
                case = Case(text)
                yield case.title, play(case, build)


if __name__ == "__main__":
    failed = 0
    for title, error in run_file(sys.argv[1], sys.argv[2]):
        print(f"{'FAIL' if error else 'ok  '}  {title}"
              f"{': ' + error if error else ''}", flush=True)
        failed += error is not None
    sys.exit(failed > 0)
