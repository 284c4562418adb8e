"""Runs scenarios: plain-text cases over real processes.

docs/SCENARIOS.md has the grammar. A file holds cases separated by lines of
dashes; a case begins with its title as a comment. Actions run at their
times, expectations after the last call has ended.
"""

import collections
import re
import signal
import socket
import subprocess
import sys
import threading
import time

import fleet

KNOWN_OUTCOMES = ("answered", "not-run", "unknown", "broken")
COMPARE = {
    "<=": lambda a, b: a <= b, ">=": lambda a, b: a >= b,
    "==": lambda a, b: a == b,
}


class ScenarioError(Exception):
    """A failed expectation or a line that cannot be read."""


def seconds(text):
    """Reads 300ms, 2s or 1.5s."""
    m = re.fullmatch(r"([0-9.]+)(ms|s)", text)
    if not m:
        raise ScenarioError(f"not a time: {text}")
    return float(m[1]) / (1000 if m[2] == "ms" else 1)


def options(words):
    """Reads `name value` pairs."""
    if len(words) % 2:
        raise ScenarioError(f"wanted pairs: {' '.join(words)}")
    return dict(zip(words[::2], words[1::2]))


class Case:
    """One case: its set-up, its timed actions and its expectations."""

    def __init__(self, text):
        self.title = ""
        self.entries = 3
        self.workers = 2
        self.slots = 8
        self.settings = {}
        self.teams = {}
        self.queues = {}
        self.pool_of = {}
        self.actions = []
        self.always = []
        self.expects = []
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            if not self.title and line.startswith("#"):
                self.title = line.lstrip("# ")
            if words:
                self.read(words, line, number)

    def read(self, words, line, number):
        verb, rest = words[0], words[1:]
        if verb in ("entries", "workers", "slots"):
            setattr(self, verb, int(rest[0]))
        elif verb == "pool":
            self.pool_of.update({w: rest[0] for w in rest[1:]})
        elif verb == "setting":
            self.settings[rest[0]] = rest[1]
        elif verb == "team":
            self.teams[rest[0]] = {
                k: int(v) for k, v in options(rest[1:]).items()}
        elif verb == "queue":
            self.queues[rest[0]] = self.read_queue(rest[1:])
        elif verb == "at":
            self.actions.append((seconds(rest[0]), rest[1:], line))
        elif verb == "always":
            self.always.append((rest, line))
        elif verb == "expect":
            self.expects.append((rest, line))
        else:
            raise ScenarioError(f"line {number}: unknown verb {verb}")

    @staticmethod
    def read_queue(words):
        queue = {"pool": "p1", "run_max_ms": 2000, "wait_max_ms": 5000}
        flags = {"urgent": ("class", "urgent"), "open": ("open", True),
                 "idempotent": ("idempotent", True)}
        pairs = []
        for w in words:
            if w in flags:
                queue[flags[w][0]] = flags[w][1]
            else:
                pairs.append(w)
        for k, v in options(pairs).items():
            if k in ("run", "wait"):
                queue[f"{k}_max_ms"] = int(seconds(v) * 1000)
            else:
                queue[k] = v
        return queue


class Run:
    """A case under way."""

    def __init__(self, case, build):
        self.case = case
        self.serial = 0
        self.outcomes = {}  # request id -> outcome
        self.sent_to = {}   # request id -> entry
        self.killed = set()
        self.codes = []     # of operators' changes
        self.backlogs = []  # seconds, as looked at
        self.failed = 0     # answers that tell of a failure
        self.spreads = []
        self.stopped = set()
        self.lock = threading.Lock()
        self.out = {}       # worker -> from and to, ms
        self.background = fleet.Background()
        self.log_text = ""  # of all processes, once it has ended
        self.fleet = fleet.Fleet(
            build, case.settings,
            [f"w{i + 1}" for i in range(case.workers)])

    def set_up(self):
        for i in range(self.case.entries):
            self.fleet.add_entry(f"entry-{i + 1}")
        self.fleet.load("entry-1", self.case.teams, self.case.queues,
                        self.case.slots, self.case.pool_of)

    def run(self):
        with self.fleet:
            try:
                self.play()
            finally:
                self.log_text = self.fleet.whole_log()

    def play(self):
        self.set_up()
        start = time.monotonic()
        for at, words, line in sorted(self.case.actions,
                                      key=lambda a: a[0]):
            time.sleep(max(0.0, start + at - time.monotonic()))
            self.last_ms = time.clock_gettime(
                time.CLOCK_MONOTONIC) * 1000
            try:
                self.act(words)
            except (ValueError, KeyError, IndexError) as e:
                raise ScenarioError(f"{line.strip()}: {e!r}") from e
        for calls in self.spreads:
            calls.join()
        self.background.join()
        self.records = self.fleet.records()
        self.check_calls()
        for words, line in self.case.always + self.case.expects:
            self.expect(words, line)

    # Actions

    def act(self, words):
        verb, rest = words[0], words[1:]
        name = "do_" + verb.replace("-", "_")
        if not hasattr(self, name):
            raise ScenarioError(f"unknown action: {' '.join(words)}")
        getattr(self, name)(*rest)

    def do_call(self, count, _as, team, _to, queue, *more):
        """call N as TEAM to QUEUE [hold T] [via ENTRY] [behave B]
        [over T]: N calls, spread over the entries and the time."""
        opts = options(more)
        calls = fleet.Background()
        calls.start(self.spread, int(count), team, queue, opts)
        self.spreads.append(calls)

    def spread(self, count, team, queue, opts):
        """Starts the calls of one action over its time."""
        gap = seconds(opts.get("over", "0s")) / count
        for i in range(count):
            with self.lock:
                self.serial += 1
                request_id = f"{team}-{self.serial}"
            alive = [n for n, p in self.fleet.entries.items()
                     if p.running() and n not in self.stopped]
            entry = opts.get("via", alive[i % len(alive)])
            headers = {"X-Request-Id": request_id}
            if "hold" in opts:
                headers["X-Hold-Ms"] = str(int(seconds(opts["hold"]) * 1000))
            if "behave" in opts:
                headers["X-Behave"] = opts["behave"]
            body = opts.get("body", request_id).encode()
            if body == b"empty":
                body = b""
            self.outcomes[request_id] = "broken"
            self.sent_to[request_id] = entry
            self.background.start(self.call_one, entry, queue, team, body,
                                  headers)
            if gap:
                time.sleep(gap)

    def call_one(self, entry, queue, team, body, headers):
        code, outcome, answer = self.fleet.request(
            entry, queue, f"{team}-key", body, headers, timeout=60.0)
        request_id = headers["X-Request-Id"]
        whole = answer == body or code != 200 or "X-Behave" in headers
        self.outcomes[request_id] = outcome if whole else "wrong answer"
        self.failed += code == 500
        return code, outcome, answer

    def do_abandon(self, count, _as, team, _to, queue):
        """abandon N as TEAM to QUEUE: callers that hang up at once."""
        for _ in range(int(count)):
            with socket.create_connection(
                    (fleet.HOST, self.fleet.entries["entry-1"].port)) as s:
                s.sendall(f"POST /run/{queue} HTTP/1.1\r\nHost: x\r\n"
                          f"Authorization: Bearer "
                          f"{self.fleet.keys[team + '-key']}\r\n"
                          f"Content-Length: 0\r\n\r\n".encode())
                time.sleep(0.05)

    def do_misfit(self, name):
        self.fleet.settings["shards"] = 2
        self.fleet.add_entry(name, ready=False)
        self.stopped.add(name)

    def do_look(self, queue):
        """look QUEUE: notes the backlog age that entry-1 shows."""
        text = fleet.call(self.fleet.entries["entry-1"].admin, "GET",
                          "/metrics")[2].decode()
        found = re.search(r"backlog_age_seconds\{queue=\"" + queue
                          + r"\"\} (\S+)", text)
        self.backlogs.append(float(found[1]))

    def do_freeze(self, *names):
        for name in names:
            self.process(name).send(signal.SIGSTOP)

    def do_thaw(self, *names):
        for name in names:
            self.process(name).send(signal.SIGCONT)

    def do_kill(self, *names):
        for name in names:
            self.killed.add(name)
            self.process(name).stop()

    def do_stop(self, name):
        self.stopped.add(name)
        self.process(name).send(signal.SIGTERM)

    def do_start(self, *names):
        for name in names:
            self.fleet.add_entry(name, ready=False)
            self.stopped.discard(name)

    def do_ready(self, name):
        self.fleet.wait_ready(name, 30.0)

    def do_unlist(self, name):
        self.fleet.list_instances(without=[name])

    def do_outage(self, state):
        self.fleet.control_platform(outage=state == "on")

    def do_lose(self, count):
        self.fleet.control_platform(lose=int(count))

    def do_slow(self, time_text):
        self.fleet.control_platform(latency_ms=int(seconds(time_text) * 1000))

    def do_worker(self, name, behaviour):
        self.fleet.control_worker(name, fail=behaviour == "fails")

    def do_limit(self, team, limit, _via="via", entry="entry-1"):
        teams = {team: {**self.case.teams[team], "limit": int(limit)}}
        self.codes.append(self.fleet.change(entry, {"teams": teams})[0])

    def do_race(self, team, first, second):
        """race TEAM A B: two operators set the limit from one version."""
        base = self.fleet.status("entry-1")["version"]
        both = fleet.Background()
        for entry, limit in (("entry-1", first), ("entry-2", second)):
            teams = {team: {**self.case.teams[team], "limit": int(limit)}}
            both.start(self.fleet.change, entry, {"teams": teams}, base=base)
        self.codes += [code for code, _ in both.join()]

    def do_withdraw(self, key, _via="via", entry="entry-1"):
        self.codes.append(self.fleet.change(entry, {"keys": {key: None}})[0])

    def instance(self, name):
        """An instance's object in the configuration, and the version."""
        body = self.fleet.admin("entry-1", "GET", "/v1/config")[1]
        return dict(body["config"]["instances"][name]), body["version"]

    def do_set(self, name, state):
        """set INSTANCE STATE; a refusal's status counts in `changes`."""
        changed, _ = self.instance(name)
        changed["state"] = state
        now_ms = time.clock_gettime(time.CLOCK_MONOTONIC) * 1000
        if state == "out":
            self.out[name] = (now_ms, 1 << 62)
        if state == "serving" and name in self.out:
            self.out[name] = (self.out[name][0], now_ms)
        self.codes.append(self.fleet.change(
            "entry-1", {"instances": {name: changed}})[0])

    def do_move(self, name, pool):
        changed, _ = self.instance(name)
        changed["pool"] = pool
        self.codes.append(self.fleet.change(
            "entry-1", {"instances": {name: changed}})[0])

    def do_wave(self, name, state, *more):
        """wave NAME STATE [FIELD VALUE]...: sets a wave's object."""
        wave = {"state": state, **options(more)}
        if "return_max_s" in wave:
            wave["return_max_s"] = int(wave["return_max_s"])
        self.codes.append(self.fleet.change(
            "entry-1", {"waves": {name: wave}})[0])

    def do_reboots(self, time_text):
        self.fleet.control_platform(reboot_ms=int(seconds(time_text) * 1000))

    def do_await(self, name, state):
        """await WAVE STATE: waits for the conductor."""
        def reached():
            for p in self.fleet.entries.values():
                if p.running() and p.name not in self.stopped:
                    body = self.fleet.admin(p.name, "GET", "/v1/config")[1]
                    return body["config"]["waves"][name]["state"] == state
            return False
        fleet.wait_until(f"wave {name} {state}", reached, 60.0)

    def do_home(self, name):
        """home INSTANCE: waits until no entry holds a slot of it."""
        def home():
            unit = self.fleet.status("entry-1")["units"][f"w:{name}"]
            return unit["limit"] == 0 and unit["free"] == 0
        fleet.wait_until(f"{name} home", home, 60.0)

    def process(self, name):
        return self.fleet.entries.get(name) or self.fleet.workers[name]

    # Expectations

    def check_calls(self):
        """What holds in every case: at most once, true refusals, and broken
        connections only at killed entries."""
        for request_id, outcome in self.outcomes.items():
            runs = sum(r["runs"].get(request_id, 0)
                       for r in self.records.values())
            if outcome == "broken" and (self.sent_to[request_id]
                                        not in self.killed):
                raise ScenarioError(f"{request_id}: broken at "
                                    f"{self.sent_to[request_id]}, which was "
                                    f"not killed")
            if outcome == "wrong answer":
                raise ScenarioError(f"{request_id}: wrong or cut answer")
            if outcome == "not-run" and runs:
                raise ScenarioError(f"{request_id}: told not run, ran {runs}")
            if runs > 1 and not self.idempotent():
                raise ScenarioError(f"{request_id}: ran {runs} times")

    def idempotent(self):
        return any(q.get("idempotent") for q in self.case.queues.values())

    def most_running(self, team):
        """The most work of a team that ran at once on all workers."""
        edges = []
        for r in self.records.values():
            for request_id, start, end in r["intervals"]:
                if request_id.rsplit("-", 1)[0] == team:
                    edges.append((start, 1))
                    edges.append((end or 1 << 62, -1))
        most = running = 0
        for _, step in sorted(edges):
            running += step
            most = max(most, running)
        return most

    def value(self, words):
        what = words[0]
        if what in KNOWN_OUTCOMES:
            return sum(o == what for o in self.outcomes.values())
        if what == "running":
            return self.most_running(words[1])
        if what == "runs":
            return sum(r["total"] for r in self.records.values())
        if what == "changes":
            return sum(c == int(words[1]) for c in self.codes)
        if what == "alive":
            return sum(p.running() for p in self.fleet.entries.values())
        if what == "exit":
            return self.fleet.entries[words[1]].popen.wait(timeout=30)
        if what == "backlog":
            return max(self.backlogs, default=0)
        if what == "failed":
            return self.failed
        if what == "ran-last":
            return sum(r[1] > self.last_ms
                       for r in self.records[words[1]]["intervals"])
        if what == "gap":
            return self.longest_gap(words[1])
        if what == "maintained":
            body = self.fleet.admin("entry-1", "GET", "/v1/config")[1]
            return sum(i.get("wave") == words[1] and i["state"] == "serving"
                       for i in body["config"]["instances"].values())
        if what == "started":
            return self.started_while_out(words[1])
        if what == "idle":
            return min(r["idle_ms"] for r in self.records.values()) / 1000
        if what == "lost":
            return self.lost_units()
        raise ScenarioError(f"unknown value: {' '.join(words)}")

    def longest_gap(self, worker):
        """Seconds for which a worker ran nothing, between two runs."""
        runs = sorted(r[1:] for r in self.records[worker]["intervals"])
        gaps = [b[0] - a[1] for a, b in zip(runs, runs[1:]) if a[1]]
        return max(gaps, default=0) / 1000

    def started_while_out(self, worker):
        """Runs that a worker started between its `out` and its return."""
        start, end = self.out.get(worker, (0, 0))
        return sum(start < r[1] < end
                   for r in self.records[worker]["intervals"])

    def lost_units(self):
        """Units that no live entry holds and the table does not show."""
        views = [self.fleet.status(n)["units"]
                 for n, p in self.fleet.entries.items() if p.running()]
        lost = 0
        for domain, unit in views[0].items():
            held = sum(v[domain]["held"] for v in views if domain in v)
            lost += max(0, unit["limit"] - held - unit["free"])
        return lost

    def expect(self, words, line):
        *what, compare, wanted = words
        value = self.value(what)
        limit = seconds(wanted) if wanted[-1] == "s" else float(wanted)
        if not COMPARE[compare](value, limit):
            raise ScenarioError(
                f"{line.strip()}: it is {value}; outcomes "
                f"{dict(collections.Counter(self.outcomes.values()))}")


def kept_log(run, case, build):
    """Where the log of a failed case lies."""
    if not run:
        return "it did not begin"
    return f"whole log: {fleet.keep_log(build, case.title, run.log_text)}"


def run_file(path, build):
    """Yields (title, error or None) for each case of a file."""
    with open(path) as f:
        texts = re.split(r"^-{3,}$", f.read(), flags=re.M)
    for text in texts:
        case = Case(text)
        run = None
        try:
            run = Run(case, build)
            run.run()
            yield case.title, None
        except (ScenarioError, TimeoutError, RuntimeError, OSError,
                subprocess.SubprocessError) as e:
            yield case.title, f"{e}; {kept_log(run, case, build)}"


if __name__ == "__main__":
    failed = 0
    for title, error in run_file(sys.argv[1], sys.argv[2]):
        print(f"{'FAIL' if error else 'ok'}  {title}"
              + (f": {error}" if error else ""))
        failed += error is not None
    sys.exit(failed > 0)
