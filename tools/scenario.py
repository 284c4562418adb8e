"""Runs scenarios: plain-text test cases on real processes.

docs/SCENARIOS.md describes the grammar. A file holds cases separated by lines
of dashes; the first comment of a case is its title. Actions run at their
times; expectations are checked after all calls have ended.
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
COMPARISONS = {
    "<=": lambda a, b: a <= b, ">=": lambda a, b: a >= b,
    "==": lambda a, b: a == b,
}


class ScenarioError(Exception):
    """A failed expectation, or a line with a syntax error."""


def parse_duration_s(text):
    """Parses a duration such as 300ms, 2s or 1.5s."""
    m = re.fullmatch(r"([0-9.]+)(ms|s)", text)
    if not m:
        raise ScenarioError(f"invalid duration: {text}")
    return float(m[1]) / (1000 if m[2] == "ms" else 1)


def parse_pairs(words):
    """Parses `name value` pairs."""
    if len(words) % 2:
        raise ScenarioError(f"expected name value pairs: {' '.join(words)}")
    return dict(zip(words[::2], words[1::2]))


class Case:
    """A parsed case: set-up, timed actions and expectations."""

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
                self.parse_line(words, line, number)

    def parse_line(self, words, line, number):
        verb, rest = words[0], words[1:]
        if verb in ("entries", "workers", "slots"):
            setattr(self, verb, int(rest[0]))
        elif verb == "pool":
            self.pool_of.update({w: rest[0] for w in rest[1:]})
        elif verb == "setting":
            self.settings[rest[0]] = rest[1]
        elif verb == "team":
            self.teams[rest[0]] = {
                k: int(v) for k, v in parse_pairs(rest[1:]).items()}
        elif verb == "queue":
            self.queues[rest[0]] = self.parse_queue(rest[1:])
        elif verb == "at":
            self.actions.append((parse_duration_s(rest[0]), rest[1:], line))
        elif verb == "always":
            self.always.append((rest, line))
        elif verb == "expect":
            self.expects.append((rest, line))
        else:
            raise ScenarioError(f"line {number}: unknown verb {verb}")

    @staticmethod
    def parse_queue(words):
        queue = {"pool": "p1", "run_max_ms": 2000, "wait_max_ms": 5000}
        flags = {"urgent": ("class", "urgent"), "open": ("open", True),
                 "idempotent": ("idempotent", True)}
        pairs = []
        for w in words:
            if w in flags:
                queue[flags[w][0]] = flags[w][1]
            else:
                pairs.append(w)
        for k, v in parse_pairs(pairs).items():
            if k in ("run", "wait"):
                queue[f"{k}_max_ms"] = int(parse_duration_s(v) * 1000)
            else:
                queue[k] = v
        return queue


class Run:
    """Runs one case and records what its callers and operators received."""

    def __init__(self, case, build):
        self.case = case
        self.request_count = 0
        self.outcomes = {}  # request id -> outcome
        self.sent_to = {}   # request id -> entry
        self.killed = set()
        self.change_statuses = []  # HTTP statuses of operators' changes
        self.backlogs = []  # ages in seconds, one per `look`
        self.error_answers = 0  # answers with status 500
        self.call_groups = []
        self.stopped = set()
        self.lock = threading.Lock()
        self.out_ms = {}    # worker -> (begin, end) of its state `out`
        self.background = fleet.BackgroundCalls()
        self.log = ""       # of all processes, set when the case has ended
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
                self.run_actions()
            finally:
                self.log = self.fleet.read_log()

    def run_actions(self):
        self.set_up()
        start = time.monotonic()
        for at, words, line in sorted(self.case.actions,
                                      key=lambda a: a[0]):
            time.sleep(max(0.0, start + at - time.monotonic()))
            self.last_action_ms = time.clock_gettime(
                time.CLOCK_MONOTONIC) * 1000
            try:
                self.run_action(words)
            except (ValueError, KeyError, IndexError) as e:
                raise ScenarioError(f"{line.strip()}: {e!r}") from e
        for calls in self.call_groups:
            calls.join()
        self.background.join()
        self.records = self.fleet.records()
        self.check_calls()
        for words, line in self.case.always + self.case.expects:
            self.check_expectation(words, line)

    # Actions

    def run_action(self, words):
        verb, rest = words[0], words[1:]
        name = "do_" + verb.replace("-", "_")
        if not hasattr(self, name):
            raise ScenarioError(f"unknown action: {' '.join(words)}")
        getattr(self, name)(*rest)

    def do_call(self, count, _as, team, _to, queue, *more):
        """call N as TEAM to QUEUE [hold T] [via ENTRY] [behave B]
        [body TEXT] [over T]: starts N calls at equal intervals over T, in
        turn to each running entry."""
        params = parse_pairs(more)
        calls = fleet.BackgroundCalls()
        calls.start(self.start_calls, int(count), team, queue, params)
        self.call_groups.append(calls)

    def start_calls(self, count, team, queue, params):
        """Starts the calls of one action at equal intervals."""
        interval_s = parse_duration_s(params.get("over", "0s")) / count
        for i in range(count):
            with self.lock:
                self.request_count += 1
                request_id = f"{team}-{self.request_count}"
            alive = [n for n, p in self.fleet.entries.items()
                     if p.running() and n not in self.stopped]
            entry = params.get("via", alive[i % len(alive)])
            headers = {"X-Request-Id": request_id}
            if "hold" in params:
                headers["X-Hold-Ms"] = str(
                    int(parse_duration_s(params["hold"]) * 1000))
            if "behave" in params:
                headers["X-Behave"] = params["behave"]
            body = params.get("body", request_id).encode()
            if body == b"empty":
                body = b""
            self.outcomes[request_id] = "broken"
            self.sent_to[request_id] = entry
            self.background.start(self.call_one, entry, queue, team, body,
                                  headers)
            if interval_s:
                time.sleep(interval_s)

    def call_one(self, entry, queue, team, body, headers):
        code, outcome, answer = self.fleet.request(
            entry, queue, f"{team}-key", body, headers, timeout=60.0)
        request_id = headers["X-Request-Id"]
        intact = answer == body or code != 200 or "X-Behave" in headers
        self.outcomes[request_id] = outcome if intact else "wrong answer"
        self.error_answers += code == 500
        return code, outcome, answer

    def do_abandon(self, count, _as, team, _to, queue):
        """abandon N as TEAM to QUEUE: callers that disconnect at once."""
        for _ in range(int(count)):
            with socket.create_connection(
                    (fleet.HOST, self.fleet.entries["entry-1"].port)) as s:
                s.sendall(f"POST /run/{queue} HTTP/1.1\r\nHost: x\r\n"
                          f"Authorization: Bearer "
                          f"{self.fleet.keys[team + '-key']}\r\n"
                          f"Content-Length: 0\r\n\r\n".encode())
                time.sleep(0.05)

    def do_misfit(self, name):
        """misfit ENTRY: starts an entry with another number of shards."""
        self.fleet.settings["shards"] = 2
        self.fleet.add_entry(name, ready=False)
        self.stopped.add(name)

    def do_look(self, queue):
        """look QUEUE: records the backlog age in entry-1's metrics."""
        text = fleet.call(self.fleet.entries["entry-1"].admin, "GET",
                          "/metrics")[2].decode()
        found = re.search(r"backlog_age_seconds\{queue=\"" + queue
                          + r"\"\} (\S+)", text)
        self.backlogs.append(float(found[1]))

    def do_freeze(self, *names):
        for name in names:
            self.find_process(name).send_signal(signal.SIGSTOP)

    def do_thaw(self, *names):
        for name in names:
            self.find_process(name).send_signal(signal.SIGCONT)

    def do_kill(self, *names):
        for name in names:
            self.killed.add(name)
            self.find_process(name).stop()

    def do_stop(self, name):
        self.stopped.add(name)
        self.find_process(name).send_signal(signal.SIGTERM)

    def do_start(self, *names):
        for name in names:
            self.fleet.add_entry(name, ready=False)
            self.stopped.discard(name)

    def do_ready(self, name):
        self.fleet.wait_ready(name, 30.0)

    def do_unlist(self, name):
        self.fleet.set_instance_list(without=[name])

    def do_outage(self, state):
        self.fleet.control_platform(outage=state == "on")

    def do_lose(self, count):
        self.fleet.control_platform(lose=int(count))

    def do_slow(self, time_text):
        self.fleet.control_platform(
            latency_ms=int(parse_duration_s(time_text) * 1000))

    def do_worker(self, name, behaviour):
        self.fleet.control_worker(name, fail=behaviour == "fails")

    def do_limit(self, team, limit, _via="via", entry="entry-1"):
        teams = {team: {**self.case.teams[team], "limit": int(limit)}}
        self.change_statuses.append(self.fleet.change_config(
            entry, {"teams": teams})[0])

    def do_race(self, team, first, second):
        """race TEAM A B: two operators set a limit, based on one version."""
        base = self.fleet.status("entry-1")["version"]
        both = fleet.BackgroundCalls()
        for entry, limit in (("entry-1", first), ("entry-2", second)):
            teams = {team: {**self.case.teams[team], "limit": int(limit)}}
            both.start(self.fleet.change_config, entry, {"teams": teams},
                       base=base)
        self.change_statuses += [code for code, _ in both.join()]

    def do_withdraw(self, key, _via="via", entry="entry-1"):
        self.change_statuses.append(self.fleet.change_config(
            entry, {"keys": {key: None}})[0])

    def read_instance(self, name):
        """Returns an instance's configuration object and the version."""
        body = self.fleet.admin("entry-1", "GET", "/v1/config")[1]
        return dict(body["config"]["instances"][name]), body["version"]

    def do_set(self, name, state):
        """set INSTANCE STATE: its HTTP status is counted by `changes`."""
        instance, _ = self.read_instance(name)
        instance["state"] = state
        now_ms = time.clock_gettime(time.CLOCK_MONOTONIC) * 1000
        if state == "out":
            self.out_ms[name] = (now_ms, 1 << 62)
        if state == "serving" and name in self.out_ms:
            self.out_ms[name] = (self.out_ms[name][0], now_ms)
        self.change_statuses.append(self.fleet.change_config(
            "entry-1", {"instances": {name: instance}})[0])

    def do_move(self, name, pool):
        instance, _ = self.read_instance(name)
        instance["pool"] = pool
        self.change_statuses.append(self.fleet.change_config(
            "entry-1", {"instances": {name: instance}})[0])

    def do_wave(self, name, state, *more):
        """wave NAME STATE [FIELD VALUE]...: sets a wave's configuration."""
        wave = {"state": state, **parse_pairs(more)}
        if "return_max_s" in wave:
            wave["return_max_s"] = int(wave["return_max_s"])
        self.change_statuses.append(self.fleet.change_config(
            "entry-1", {"waves": {name: wave}})[0])

    def do_reboots(self, time_text):
        self.fleet.control_platform(
            reboot_ms=int(parse_duration_s(time_text) * 1000))

    def do_await(self, name, state):
        """await WAVE STATE: waits until the wave reaches the state."""
        def reached():
            for p in self.fleet.entries.values():
                if p.running() and p.name not in self.stopped:
                    body = self.fleet.admin(p.name, "GET", "/v1/config")[1]
                    return body["config"]["waves"][name]["state"] == state
            return False
        fleet.wait_until(f"wave {name} {state}", reached, 60.0)

    def do_home(self, name):
        """home INSTANCE: waits until no entry holds units of its slots."""
        def units_returned():
            unit = self.fleet.status("entry-1")["units"][f"w:{name}"]
            return unit["limit"] == 0 and unit["free"] == 0
        fleet.wait_until(f"{name} free of units", units_returned, 60.0)

    def find_process(self, name):
        return self.fleet.entries.get(name) or self.fleet.workers[name]

    # Expectations

    def check_calls(self):
        """Checks what must hold in every case.

        Requests run at most once, refused requests do not run, and only
        connections to killed entries break.
        """
        for request_id, outcome in self.outcomes.items():
            runs = sum(r["runs"].get(request_id, 0)
                       for r in self.records.values())
            if outcome == "broken" and (self.sent_to[request_id]
                                        not in self.killed):
                raise ScenarioError(f"{request_id}: broken at "
                                    f"{self.sent_to[request_id]}, which was "
                                    f"not killed")
            if outcome == "wrong answer":
                raise ScenarioError(f"{request_id}: wrong or truncated answer")
            if outcome == "not-run" and runs:
                raise ScenarioError(f"{request_id}: outcome is not-run, "
                                    f"runs: {runs}")
            if runs > 1 and not self.has_idempotent_queue():
                raise ScenarioError(f"{request_id}: ran {runs} times")

    def has_idempotent_queue(self):
        return any(q.get("idempotent") for q in self.case.queues.values())

    def max_running(self, team):
        """The team's maximum of concurrent requests on all workers."""
        edges = []
        for r in self.records.values():
            for request_id, start, end in r["intervals"]:
                if request_id.rsplit("-", 1)[0] == team:
                    edges.append((start, 1))
                    edges.append((end or 1 << 62, -1))
        highest = running = 0
        for _, step in sorted(edges):
            running += step
            highest = max(highest, running)
        return highest

    def value(self, words):
        name = words[0]
        if name in KNOWN_OUTCOMES:
            return sum(o == name for o in self.outcomes.values())
        if name == "running":
            return self.max_running(words[1])
        if name == "runs":
            return sum(r["total"] for r in self.records.values())
        if name == "changes":
            return sum(c == int(words[1]) for c in self.change_statuses)
        if name == "alive":
            return sum(p.running() for p in self.fleet.entries.values())
        if name == "exit":
            return self.fleet.entries[words[1]].popen.wait(timeout=30)
        if name == "backlog":
            return max(self.backlogs, default=0)
        if name == "failed":
            return self.error_answers
        if name == "ran-last":
            return sum(r[1] > self.last_action_ms
                       for r in self.records[words[1]]["intervals"])
        if name == "gap":
            return self.longest_idle_s(words[1])
        if name == "maintained":
            body = self.fleet.admin("entry-1", "GET", "/v1/config")[1]
            return sum(i.get("wave") == words[1] and i["state"] == "serving"
                       for i in body["config"]["instances"].values())
        if name == "started":
            return self.started_while_out(words[1])
        if name == "idle":
            return min(r["idle_ms"] for r in self.records.values()) / 1000
        if name == "lost":
            return self.lost_units()
        raise ScenarioError(f"unknown value: {' '.join(words)}")

    def longest_idle_s(self, worker):
        """The worker's longest idle time between two runs, in seconds."""
        runs = sorted(r[1:] for r in self.records[worker]["intervals"])
        gaps = [b[0] - a[1] for a, b in zip(runs, runs[1:]) if a[1]]
        return max(gaps, default=0) / 1000

    def started_while_out(self, worker):
        """Counts the runs that a worker started while its state was `out`."""
        start, end = self.out_ms.get(worker, (0, 0))
        return sum(start < r[1] < end
                   for r in self.records[worker]["intervals"])

    def lost_units(self):
        """Counts the units neither held by a live entry nor in the store."""
        views = [self.fleet.status(n)["units"]
                 for n, p in self.fleet.entries.items() if p.running()]
        lost = 0
        for domain, unit in views[0].items():
            held = sum(v[domain]["held"] for v in views if domain in v)
            lost += max(0, unit["limit"] - held - unit["free"])
        return lost

    def check_expectation(self, words, line):
        *what, compare, wanted = words
        value = self.value(what)
        limit = (parse_duration_s(wanted) if wanted[-1] == "s"
                 else float(wanted))
        if not COMPARISONS[compare](value, limit):
            raise ScenarioError(
                f"{line.strip()}: got {value}; outcomes "
                f"{dict(collections.Counter(self.outcomes.values()))}")


def log_note(run, case, build):
    """Says where the log of a failed case is."""
    if not run:
        return "the case did not start"
    return f"complete log: {fleet.save_log(build, case.title, run.log)}"


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
            yield case.title, f"{e}; {log_note(run, case, build)}"


if __name__ == "__main__":
    failed = 0
    for title, error in run_file(sys.argv[1], sys.argv[2]):
        print(f"{'FAIL' if error else 'ok'}  {title}"
              + (f": {error}" if error else ""))
        failed += error is not None
    sys.exit(failed > 0)
