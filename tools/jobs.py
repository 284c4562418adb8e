"""Runs test cases with jobs on nodes and a stand-in for the platform.

docs/SCENARIOS.md describes the grammar (jobs). A Site stops all processes
that it started when its context ends.
"""

import base64
import itertools
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
from scenario import COMPARISONS, ScenarioError, parse_duration_s

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
row_bytes: {row_bytes}
evacuate_ms: {evacuate_ms}
"""
PATHS_HOST = "127.0.1.{}"  # where a node's connections go; see standin/paths.c
NODE_SHARE_CORES = 0.3  # processor_share of a node
QUEUE_POOLS = {"q0": "p0", "q1": "p1"}  # other queues are served by p0
API_KEY = "key-of-the-shop-workspace"
CALL_TIMEOUT_S = 5.0
JOBS_END_TIMEOUT_S = 30.0
CALL_ATTEMPTS_MAX = 40  # callers retry until they know the outcome
RETRY_DELAY_S = 0.25
GARBAGE_SEED = 20261204
GARBAGE_SIZES_BYTES = (0, 1, 5, 64, 700)  # of the body of a frame
LEADERSHIP_EVENTS = ("start", "stop", "end", "lead", "lead-live",
                     "lead-not-live", "lead-missing", "claim", "claim-begin",
                     "claim-failed", "takeover", "takeover-wait",
                     "first-start", "resign", "predecessor-gone",
                     "store-lost", "store-regained", "stood-still",
                     "write-unknown")
LEADERSHIP_LINES_MAX = 60
COMPLETED_SLACK_MS = 1000  # from a job seen to be completed to the last start
EVACUATION_BOUND_MS = 5000  # from the confirmed request to the last start
TERMINAL_STATES = ("completed", "failed", "cancelled")


def config_document(version, queues=("q0", "q1"), cap_cpu=400000,
                    extra_routes=0):
    """Returns a configuration with a queue per pool and one workspace."""
    extra = tuple(f"more{i}" for i in range(extra_routes))
    return {
        "version": version,
        "routes": [{"name": q, "host": "jobs.example", "pathPrefix": f"/{q}/",
                    "service": QUEUE_POOLS.get(q, "p0"), "sloMs": 20000,
                    "stretch": 10.0, "maxAttempts": 3, "priority": 0,
                    "timeoutMs": 3000, "public": False}
                   for q in (*queues, *extra)],
        "services": [{"name": "p0", "admissionCheck": True, "spare": False},
                     {"name": "p1", "admissionCheck": True, "spare": False}],
        "tenants": [{"name": "shop", "apiKeys": [API_KEY], "weight": 1,
                     "cap": {"cpu": cap_cpu, "memMb": 0, "gpu": 0}}],
    }


def monotonic_ms():
    """The clock of the stand-in's record."""
    return int(time.monotonic() * 1000)


class Site:
    """The platform stand-in (standin/site), its workers and the nodes."""

    def __init__(self, build, workers=4, zones=1):
        self.build = build
        self.dir = tempfile.TemporaryDirectory()
        self.log = open(os.path.join(self.dir.name, "log"), "w+")
        ports = fleet.free_ports(workers + 1)
        self.port = ports[0]
        self.worker_ports = {f"w-{i + 1}": p for i, p in enumerate(ports[1:])}
        # The workers of each pool are in the zones by turns.
        self.worker_zones = {f"w-{i + 1}": f"az-{i // 2 % zones + 1}"
                             for i in range(workers)}
        pools = [f"p{i % 2}:{p}:{zone}" for i, (p, zone) in enumerate(
            zip(ports[1:], self.worker_zones.values()))]
        self.platform = fleet.Process("site", self.port, [
            f"{build}/standin/site", "--port", str(self.port), *pools],
            self.log)
        self.platform.start()
        fleet.wait_until("site", lambda: fleet.Fleet.is_listening(self.port))
        self.nodes = {}
        self.ports = {}
        self.links = {}  # node -> its link to the store
        self.paths = {}  # (node, worker, node or "store") -> links
        self.version = 1
        self.evacuations = []  # of all zones: [zone, ms from, ms until]
        self.version_checker = versions.VersionChecker(self)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.version_checker.close()
        for link in itertools.chain(self.links.values(),
                                    *self.paths.values()):
            link.close()
        for p in [*self.nodes.values(), self.platform]:
            p.stop()
        self.log.close()
        self.dir.cleanup()

    def control(self, **fields):
        return json.loads(fleet.call(self.port, "POST", "/control",
                                     json.dumps(fields))[2])

    def configure(self, **changes):
        self.control(put={"table": "op", "key": "config",
                          "value": config_document(self.version, **changes)})
        self.version += 1

    def evacuate(self, zone):
        """Requests an evacuation; the answer is the store's."""
        if not any(e[0] == zone and e[2] is None for e in self.evacuations):
            self.evacuations.append([zone, self.control(
                put={"table": "op", "key": f"evacuate/{zone}",
                     "value": {}})["now_ms"], None])

    def readmit(self, zone):
        for e in self.evacuations:
            if e[0] == zone and e[2] is None:
                e[2] = self.control()["now_ms"]  # before the removal
        self.control(remove={"table": "op", "key": f"evacuate/{zone}"})

    strong = ()  # nodes with the full share; if empty, all have it
    row_bytes = 65536  # of a row of the store, at most
    calls_alone = 1000  # instances that a leader calls without relays
    evacuate_ms = 0  # the nodes' bound of an evacuation; 0: none

    def processor_share(self, name):
        """Returns a node's share in cores, a third if others are strong."""
        return (NODE_SHARE_CORES if not self.strong or name in self.strong
                else NODE_SHARE_CORES / 3)

    has_paths = False  # each node has a path of its own to each port

    def start_paths(self):
        """Starts a link from each node to each port that it calls."""
        for name in self.nodes:
            ports = {"store": [self.links[name].port, self.port],
                     **{w: [p] for w, p in self.worker_ports.items()},
                     **{n: p[2:] for n, p in self.ports.items() if n != name}}
            for other, targets in ports.items():
                self.paths[name, other] = [
                    Link(p, PATHS_HOST.format(list(self.nodes).index(name)), p)
                    for p in targets]

    def divide(self, some, others):
        """Cuts the paths between some nodes, workers or store and others."""
        for (node, end), links in self.paths.items():
            if node in some and end in others or \
                    node in others and end in some:
                for link in links:
                    link.whole.clear()

    def heal(self):
        for link in itertools.chain(*self.paths.values()):
            link.whole.set()

    def prepare_node(self, name):
        self.ports[name] = fleet.free_ports(4)
        self.links[name] = Link(self.port)
        path = self.write_settings(name, first_start=True)
        program = "standin/node" if self.has_paths else "jackdawwell-node"
        self.nodes[name] = fleet.Process(
            name, self.ports[name][0], [f"{self.build}/{program}", path],
            self.log, {"STANDIN_PATHS": PATHS_HOST.format(len(self.nodes))}
            if self.has_paths else None)

    def write_settings(self, name, first_start):
        callers, readiness, peers, links = self.ports[name]
        seeds = ",".join(f"127.0.0.1:{p[2]}" for p in self.ports.values())
        path = os.path.join(self.dir.name, f"{name}.yaml")
        with open(path, "w") as f:
            f.write(NODE_SETTINGS.format(
                name=name, callers=callers, readiness=readiness, peers=peers,
                links=links, alone=self.calls_alone,
                seeds=seeds, store=self.links[name].port,
                fleet=self.port, row_bytes=self.row_bytes,
                evacuate_ms=self.evacuate_ms,
                share=self.processor_share(name),
                first=str(first_start).lower()))
        return path

    def is_ready(self, name):
        try:
            return fleet.call(self.ports[name][1], "GET", "/",
                              timeout=1)[0] == 200
        except OSError:
            return False

    def is_ready_or_raise(self, name):
        if not self.nodes[name].running():
            raise ScenarioError(
                f"{name} ended with {self.nodes[name].popen.returncode}")
        return self.is_ready(name)

    def start_nodes(self, count):
        for i in range(count):
            self.prepare_node(f"node-{i + 1}")
        if self.has_paths:
            self.start_paths()
        for p in self.nodes.values():
            p.start()
        for name in self.nodes:
            fleet.wait_until(f"{name} is ready",
                             lambda n=name: self.is_ready_or_raise(n))
        for name in self.nodes:
            self.write_settings(name, first_start=False)

    def metric(self, name, metric):
        try:
            text = fleet.call(self.ports[name][2], "GET", "/metrics",
                              timeout=1)[2].decode()
        except OSError:
            return 0
        m = re.search(rf"^jackdawwell_{metric} (\d+)", text, re.M)
        return int(m[1]) if m else 0

    def leader(self):
        """Returns the node that reports being leader in the newest epoch."""
        best = None
        for name, p in self.nodes.items():
            if p.running() and name not in self.frozen and \
                    self.metric(name, "lead"):
                epoch = self.metric(name, "lead_epoch")
                if not best or epoch > best[0]:
                    best = (epoch, name)
        return best[1] if best else None

    frozen = frozenset()  # nodes stopped by SIGSTOP

    def request(self, method, path, body=None, node=None, key=API_KEY):
        names = [n for n, p in self.nodes.items()
                 if p.running() and n not in self.frozen]
        if not names:
            raise ConnectionError("no node is running")
        name = node or names[hash(path + str(time.monotonic())) % len(names)]
        headers = {"Host": "jobs.example", "Deadline-Ms": "3000",
                   "X-Api-Key": key}
        return fleet.call(self.ports[name][0], method, path,
                          json.dumps(body) if body else None, headers,
                          CALL_TIMEOUT_S)

    def record(self):
        return json.loads(fleet.call(self.port, "GET", "/record")[2])

    def lives(self):
        return json.loads(fleet.call(self.port, "GET", "/lives")[2])

    def request_wave(self, number, machines, duration_s=20, cap=1):
        self.control(put={"table": "op", "key": f"wave/{number}", "value": {
            "wave": number, "machines": machines, "durationS": duration_s,
            "cap": cap}})


class Job:
    """One job and the answers that its caller received."""

    def __init__(self, number, queue, tasks, steps, ms, times=0,
                 interval_ms=0, late_ms=0, cpu=500, mem_mb=64, may_miss=0):
        self.id = f"{number:016x}"
        self.queue = queue
        self.tasks = tasks
        self.body = {"taskSpec": f"{ms} ms", "steps": [
            {"count": tasks, "cpu": cpu, "memMb": mem_mb,
             "estimateMs": max(ms, 1),
             **({"after": [s - 1]} if s else {}),
             **({"longRunning": True} if ms == 0 else {}),
             **({"mayMiss": may_miss} if may_miss else {})}
            for s in range(steps)]}
        self.times = max(times, 1)
        if times:
            self.body |= {"times": times, "intervalMs": interval_ms,
                          "startMs": int(time.time() * 1000) - late_ms}
        self.lasts = ms == 0
        self.answers = []
        self.accepted = False
        self.accepted_ms = None  # by the stand-in's clock, as the next
        self.cancelled_ms = None  # when its cancelling was first sent
        self.completed_ms = None  # when it was first seen to be completed
        self.state = None


class Case:
    """A parsed case: settings, timed actions and expectations."""

    def __init__(self, text):
        lines = [l.strip() for l in text.splitlines() if l.strip()]
        self.title = lines[0].lstrip("# ")
        self.actions, self.expects = [], []
        self.nodes, self.workers = 3, 4
        self.strong = ()
        self.alone = Site.calls_alone
        self.row_bytes = Site.row_bytes
        self.zones = 1
        self.evacuate_ms = 0
        for line in lines[1:]:
            if line.startswith("#"):
                continue
            words = line.split()
            if words[0] == "at":
                self.actions.append((parse_duration_s(words[1]), words[2:]))
            elif words[0] == "expect":
                self.expects.append(words[1:])
            elif words[0] == "strong":
                self.strong = words[1:]
            elif words[0] == "evacuations":
                self.evacuate_ms = int(words[2])
            elif words[0] in ("nodes", "workers", "alone", "zones"):
                setattr(self, words[0], int(words[1]))
            elif words[0] == "rows":
                self.row_bytes = int(words[1])
            else:
                raise ScenarioError(f"unknown verb: {line}")


class Run:
    """Runs the actions of a case on a site and checks the expectations."""

    def __init__(self, case, site):
        self.case = case
        self.site = site
        self.jobs = []
        self.threads = []
        self.dropped_connections = 0
        self.killed = set()
        self.begin_ms = None  # of the actions, by the stand-in's clock
        self.lock = threading.Lock()

    def submit(self, job):
        for _ in range(CALL_ATTEMPTS_MAX):
            try:
                code = self.site.request("POST", f"/{job.queue}/{job.id}",
                                         job.body)[0]
            except OSError:
                with self.lock:
                    self.dropped_connections += 1
                code = 0
            job.answers.append(code)
            if code == 200:
                job.accepted_ms = monotonic_ms()
                job.accepted = True
                return
            time.sleep(RETRY_DELAY_S)

    def start_thread(self, fn, *args):
        t = threading.Thread(target=fn, args=args)
        t.start()
        self.threads.append(t)

    def do_submit(self, words):
        count, queue = int(words[0]), words[2]
        params = dict(zip(words[3::2], words[4::2]))
        for _ in range(count):
            job = Job(len(self.jobs) + 1, queue, int(params.get("tasks", 2)),
                      int(params.get("steps", 1)), int(params.get("ms", 200)),
                      int(params.get("times", 0)), int(params.get("every", 0)),
                      int(params.get("late", 0)),
                      int(params.get("cpu", 500)), int(params.get("mem", 64)),
                      int(params.get("miss", 0)))
            self.jobs.append(job)
            self.start_thread(self.submit, job)

    def node_names(self, word):
        if word == "all":
            return list(self.site.nodes)
        if word == "lead":
            deadline = time.monotonic() + 5
            while not (leader := self.site.leader()):
                if time.monotonic() > deadline:
                    raise ScenarioError("no node was the leader for 5 s")
                time.sleep(0.05)
            return [leader]
        if word == "killed":
            return sorted(self.killed)
        if word == "followers":
            leader = self.node_names("lead")
            return [n for n in self.site.nodes if n not in leader]
        return [word]

    def run_action(self, verb, words):
        site = self.site
        if verb == "submit":
            self.do_submit(words)
        elif verb == "cancel":
            job = self.jobs[int(words[0]) - 1]
            self.start_thread(self.cancel, job)
        elif verb == "store":
            site.control(down=words[0] == "down")
        elif verb in ("mute", "unmute"):
            site.control(mute=words[0] if words else "")
        elif verb == "page":
            site.control(page=int(words[0]))
        elif verb == "forget":
            site.control(forget=True)
        elif verb == "garbage":
            self.send_garbage(words[0])
        elif verb == "lose":
            site.control(lose=int(words[0]))
        elif verb == "crash":
            site.control(crash=words[0])
        elif verb == "reborn":
            down_s, listed_s = (parse_duration_s(words[i]) for i in (2, 4))
            site.control(reborn=words[0], down_ms=int(down_s * 1000),
                         listed_ms=int(listed_s * 1000))
        elif verb == "link":
            for name in self.node_names(words[0]):
                site.links[name].kb_per_s = int(words[1])
        elif verb == "divide":
            self.divide(words)
        elif verb == "heal":
            site.heal()
        elif verb == "version":
            site.version_checker.write(int(words[1]))
        elif verb == "configure":
            site.configure(queues=words)
        elif verb in ("evacuate", "readmit"):
            for zone in words:
                getattr(site, verb)(zone)
        elif verb == "wave":
            site.request_wave(1, words)
        elif verb == "thaw":
            for name in sorted(site.frozen):
                site.nodes[name].send_signal(signal.SIGCONT)
            site.frozen = frozenset()
        elif verb in ("kill", "freeze", "stop", "start"):
            for name in self.node_names(words[0]):
                self.control_node(verb, name)
        else:
            raise ScenarioError(f"unknown action: {verb}")

    def divide(self, words):
        at = words.index("from")
        some = {n for w in words[:at] for n in self.node_names(w)}
        if words[at + 1:] == ["others"]:
            others = {"store", *self.site.nodes,
                      *self.site.worker_ports} - some
        else:
            others = {n for w in words[at + 1:] for n in self.node_names(w)}
        self.site.divide(some, others)

    def control_node(self, verb, name):
        site = self.site
        if verb == "kill":
            self.killed.add(name)
            site.nodes[name].send_signal(signal.SIGKILL)
            site.nodes[name].popen.wait()
        elif verb == "freeze":
            site.frozen = site.frozen | {name}
            site.nodes[name].send_signal(signal.SIGSTOP)
        elif verb == "stop":
            site.nodes[name].send_signal(signal.SIGTERM)
        else:
            if site.nodes[name].popen:
                site.nodes[name].popen.wait()
            site.nodes[name].start()

    def send_garbage(self, name):
        """Sends random and truncated frames to a node's peer listener."""
        rng = random.Random(GARBAGE_SEED)
        for size in GARBAGE_SIZES_BYTES:
            body = rng.randbytes(size)
            for head in (struct.pack(">I", size), struct.pack(">I", size + 9),
                         b"\xff\xff\xff\xff"):
                with socket.create_connection(
                        (fleet.HOST, self.site.ports[name][3])) as s:
                    s.sendall(head + body)

    def cancel(self, job):
        job.cancelled_ms = monotonic_ms()
        for _ in range(CALL_ATTEMPTS_MAX):
            try:
                if self.site.request("DELETE", f"/{job.queue}/{job.id}")[0] \
                        in (200, 410):
                    return
            except OSError:
                pass
            time.sleep(RETRY_DELAY_S)

    def run_actions(self):
        begin = time.monotonic()
        self.begin_ms = self.site.control()["now_ms"]
        for at, words in self.case.actions:
            time.sleep(max(0, begin + at - time.monotonic()))
            self.run_action(words[0], words[1:])
        for t in self.threads:
            t.join()
        self.wait_for_jobs()

    def poll_job_states(self):
        for job in self.jobs:
            if job.state in TERMINAL_STATES or not job.accepted:
                continue
            try:
                code, _, body = self.site.request(
                    "GET", f"/{job.queue}/{job.id}")
            except OSError:
                continue
            if code == 200:
                job.state = json.loads(body)["state"]
                if job.state == "completed":
                    job.completed_ms = monotonic_ms()
            elif code == 410:
                raise ScenarioError(f"accepted job {job.id} is unknown")

    def wait_for_jobs(self, timeout_s=JOBS_END_TIMEOUT_S):
        """Waits until all accepted jobs but long-running ones have ended."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            self.poll_job_states()
            if all(j.state in TERMINAL_STATES or
                   j.lasts and j.cancelled_ms is None
                   for j in self.jobs if j.accepted):
                return
            time.sleep(0.2)

    def value(self, words):
        if words[0] in TERMINAL_STATES:
            return sum(j.state == words[0] for j in self.jobs)
        if words[0] == "accepted":
            return sum(j.accepted for j in self.jobs)
        if words[0] == "answers":
            return sum(j.answers.count(int(words[1])) for j in self.jobs)
        if words[0] == "cut":
            return self.dropped_connections
        if words[0] == "running":
            return sum(r[4] == 0 for r in self.site.record())
        if words[0] == "runs":
            first_ms, end_ms = (self.begin_ms + parse_duration_s(w) * 1000
                                for w in words[2:4])
            return sum(self.site.worker_zones[r[2]] == words[1] and
                       first_ms <= r[3] < end_ms for r in self.site.record())
        if words[0] == "metric":
            return max(self.site.metric(n, words[1]) for n in self.site.nodes)
        if words[0] == "upkeep":
            return len({r[2] for r in self.site.record() if r[5] == "gone"})
        if words[0] == "command":
            return self.command_status(words[1:])
        if words[0] == "wave":
            return int(self.wave_state() == words[1])
        if words[0] == "status":
            return self.request_status(words[1], words[2])
        if words[0] == "served":
            return sum(self.site.metric(n, "relay_calls_served_total")
                       for n in self.site.nodes)
        if words[0] == "in-force":
            return self.site.version_checker.in_force()
        if words[0] == "up":
            return sum(p.running() for p in self.site.nodes.values())
        if words[0] == "rows-read":
            return self.site.control()["rows_read"]
        if words[0] == "lead":
            return int(self.site.leader() == words[1])
        if words[0] == "takeovers":
            return max(self.site.metric(n, "lead_epoch")
                       for n in self.site.nodes)
        raise ScenarioError(f"unknown value: {' '.join(words)}")

    def command_status(self, words):
        """Exit status of the command line tool; it may use any node."""
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

    def request_status(self, method, path):
        return self.site.request(method, path)[0]

    def check_invariants(self):
        """Checks what must hold in every case.

        No task runs twice (see check_runs), each task of a completed job was
        done, none starts in an evacuated zone, and no node applies a
        configuration version that is too old (versions.py).
        """
        if self.site.version_checker.errors:
            raise ScenarioError(
                "; ".join(self.site.version_checker.errors[:3]) +
                f" ({len(self.site.version_checker.errors)} in all)")
        self.check_evacuations()
        record = self.site.record()
        check_runs(record, {j.id: j.completed_ms for j in self.jobs})
        done = {r[0] for r in record if r[5] == "done"}
        for job in self.jobs:
            if job.state != "completed":
                continue
            for k, (s, step) in itertools.product(
                    range(job.times), enumerate(job.body["steps"])):
                for t in range(step["count"]):
                    if f"{job.id}.{k}.{s}.{t}" not in done:
                        raise ScenarioError(
                            f"{job.id} is completed but no run of task "
                            f"{k}.{s}.{t} was done")

    def check_evacuations(self):
        """Checks that no start reached a zone later than the bound."""
        for zone, from_ms, until_ms in self.site.evacuations:
            for task, _, worker, begin, *_ in self.site.record():
                if self.site.worker_zones[worker] == zone and \
                        begin > from_ms + EVACUATION_BOUND_MS and \
                        (until_ms is None or begin < until_ms):
                    raise ScenarioError(
                        f"{task} started on {worker} {begin - from_ms} ms "
                        f"after the evacuation of {zone} was confirmed")

    def check(self):
        self.check_invariants()
        for words in self.case.expects:
            compare = next(w for w in words if w in COMPARISONS)
            at = words.index(compare)
            got = self.value(words[:at])
            if not COMPARISONS[compare](got, float(words[at + 1])):
                raise ScenarioError(
                    f"expected {' '.join(words)}, got {got}")


def check_runs(record, completed_ms):
    """Checks that no task has two runs at once or runs again once done.

    An end that was never acknowledged is not known to the product, as when its
    worker loses its state first; then a task may run again unless its job was
    seen to be completed over COMPLETED_SLACK_MS before.
    """
    runs = {}
    for task, _, worker, begin, end, outcome, noted in record:
        runs.setdefault(task, []).append((begin, end, outcome, worker, noted))
    for task, task_runs in runs.items():
        task_runs.sort()
        completed = completed_ms.get(task.split(".")[0])
        for (b1, e1, outcome, _, noted), (b2, *_) in zip(task_runs,
                                                         task_runs[1:]):
            if not e1 or b2 < e1:
                raise ScenarioError(
                    f"{task} had two runs at once: {task_runs}")
            if outcome == "done" and noted:
                raise ScenarioError(
                    f"{task} ran again after it was done: {task_runs}")
        if completed and task_runs[-1][0] > completed + COMPLETED_SLACK_MS:
            raise ScenarioError(
                f"{task} ran after its job was completed at {completed}: "
                f"{task_runs}")


def leadership_log(text):
    """Returns the last lines that are about leadership or not in JSON."""
    return "\n".join([l for l in text.splitlines() if any(
        f'"event":"{event}"' in l for event in LEADERSHIP_EVENTS)
        or not l.startswith("{")][-LEADERSHIP_LINES_MAX:])


def run_case(case, build):
    with Site(build, case.workers, case.zones) as site:
        site.strong = case.strong
        site.calls_alone = case.alone
        site.row_bytes = case.row_bytes
        site.evacuate_ms = case.evacuate_ms
        site.has_paths = any(words[0] == "divide" for _, words in case.actions)
        try:
            site.configure()
            site.control(row_bytes=case.row_bytes)
            site.start_nodes(case.nodes)
            run = Run(case, site)
            run.run_actions()
            run.check()
        except (ScenarioError, TimeoutError, OSError) as e:
            site.log.seek(0)
            text = site.log.read()
            path = fleet.save_log(build, case.title, text)
            return f"{e}; complete log: {path}\n{leadership_log(text)}"
    return None


def run_file(path, build):
    with open(path) as f:
        for text in re.split(r"^-{3,}$", f.read(), flags=re.M):
            if text.strip():
                case = Case(text)
                yield case.title, run_case(case, build)


if __name__ == "__main__":
    failed = 0
    for title, error in run_file(sys.argv[1], sys.argv[2]):
        print(f"{'FAIL' if error else 'ok  '}  {title}"
              f"{': ' + error if error else ''}", flush=True)
        failed += error is not None
    sys.exit(failed > 0)
