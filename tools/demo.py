"""Demonstrates synchronous requests: the first part of make demo.

Starts the stand-ins and three entries with the settings in examples/, loads
the inventory, issues keys, sends requests, withdraws a key and prints the
outcomes and measurements. Exits with status 0 only if all checks passed.
"""

import re
import subprocess
import sys
import tempfile
import threading
import time

import fleet

ENTRIES = {f"entry-{i}": (8100 + i, 8200 + i) for i in (1, 2, 3)}
WORKERS = {f"worker-{i}": 9100 + i for i in range(1, 6)}
PLATFORM_PORT = 8000
TOKEN = "replace-this-operator-token"
TRAFFIC_S = 8.0
CALLER_THREADS = 6
WORK_MS = 40
WITHDRAW_TIMEOUT_S = 7.0


class Demo:
    """The processes of the demo and the outcomes that callers received."""

    def __init__(self, build):
        self.build = build
        self.log = tempfile.TemporaryFile("w+")
        self.processes = []
        self.outcomes = {}
        self.keys = {}
        self.lock = threading.Lock()
        self.failures = []
        self.stopping = False

    def spawn(self, name, port, command):
        p = fleet.Process(name, port, command, self.log)
        p.start()
        self.processes.append(p)
        fleet.wait_until(name, lambda: fleet.Fleet.is_listening(port))

    def start(self):
        self.spawn("platform", PLATFORM_PORT, [
            f"{self.build}/standin/platform", "--port", str(PLATFORM_PORT)])
        fleet.call(PLATFORM_PORT, "POST", "/control",
                   '{"instances": ["entry-1", "entry-2", "entry-3"]}')
        for name, port in WORKERS.items():
            self.spawn(name, port, [f"{self.build}/standin/worker", "--port",
                                    str(port), "--hold", str(WORK_MS)])
        for name, (port, admin) in ENTRIES.items():
            self.spawn(name, port, [f"{self.build}/jackdawwelld",
                                    f"examples/{name}.yaml"])
            fleet.wait_until(f"{name} ready", lambda a=admin: fleet.call(
                a, "GET", "/readyz")[0] == 200)

    def run_cli(self, *args):
        """Runs the command line tool and prints its output."""
        entries = [w for _, admin in ENTRIES.values()
                   for w in ("-e", f"{fleet.HOST}:{admin}")]
        done = subprocess.run(
            [f"{self.build}/jackdawwell", *entries, "-t", TOKEN, *args],
            capture_output=True, text=True)
        print(f"$ jackdawwell {' '.join(args)}\n{done.stdout}{done.stderr}",
              end="")
        if done.returncode:
            self.failures.append(f"{' '.join(args)}: {done.returncode}")
        return done.stdout

    def issue_key(self, name, team):
        out = self.run_cli("key", "issue", name, team)
        found = re.search(r"^key (\S+)$", out, re.M)
        self.keys[name] = found[1] if found else ""

    def call(self, port, queue, key, request_id):
        try:
            code, headers, body = fleet.call(
                port, "POST", f"/run/{queue}", request_id,
                {"Authorization": f"Bearer {self.keys[key]}",
                 "X-Request-Id": request_id})
            outcome = headers.get("Jackdawwell-Outcome", "none")
            if code == 200 and body != request_id.encode():
                outcome = "wrong answer"
        except OSError:
            outcome = "broken"
        with self.lock:
            self.outcomes[request_id] = (queue, outcome)
        return outcome

    def send_requests(self, caller):
        ports = [port for port, _ in ENTRIES.values()]
        plan = [("renew", "shop-key"), ("skip", "box-key"),
                ("tally", "shop-key")]
        sequence = 0
        while not self.stopping:
            queue, key = plan[(caller + sequence) % len(plan)]
            self.call(ports[sequence % len(ports)], queue, key,
                      f"{queue}-{caller}-{sequence}")
            sequence += 1

    def run_traffic(self):
        threads = [threading.Thread(target=self.send_requests, args=(i,))
                   for i in range(CALLER_THREADS)]
        for t in threads:
            t.start()
        end = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end:
            time.sleep(0.5)
            with self.lock:
                total = len(self.outcomes)
            print(f"\r{total} requests, {end - time.monotonic():.0f} s left ",
                  end="", flush=True)
        self.stopping = True
        for t in threads:
            t.join()
        print()

    def withdraw_key(self):
        self.run_cli("key", "withdraw", "box-key")
        start = time.monotonic()
        for name, (port, _) in ENTRIES.items():
            while self.call(port, "skip", "box-key",
                            f"late-{time.monotonic()}") != "not-run":
                if time.monotonic() - start > WITHDRAW_TIMEOUT_S:
                    self.failures.append(f"{name} still accepts the key")
                    break
        took = time.monotonic() - start
        print(f"withdrawn key refused at every entry after {took:.2f} s")

    def check(self):
        counts = {}
        for queue, outcome in self.outcomes.values():
            counts[queue, outcome] = counts.get((queue, outcome), 0) + 1
        for (queue, outcome), n in sorted(counts.items()):
            print(f"{queue:8} {outcome:10} {n}")
        runs = {}
        for port in WORKERS.values():
            answer = fleet.json.loads(fleet.call(port, "GET", "/record")[2])
            for request_id, n in answer["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + n
        for request_id, (queue, outcome) in self.outcomes.items():
            n = runs.get(request_id, 0)
            if outcome == "not-run" and n:
                self.failures.append(f"{request_id}: not-run, but it ran")
            if outcome == "answered" and n < 1:
                self.failures.append(f"{request_id}: answered without a run")
            if n > 1 and queue != "tally":
                self.failures.append(f"{request_id}: ran {n} times")
            if outcome in ("wrong answer", "none"):
                self.failures.append(f"{request_id}: {outcome}")
        if not any(o == "answered" for _, o in self.outcomes.values()):
            self.failures.append("no request was answered")

    def stop(self):
        for p in self.processes:
            if p.name in ENTRIES:
                p.send_signal(fleet.signal.SIGTERM)
        for p in self.processes:
            if p.name in ENTRIES and p.popen.wait(timeout=30):
                self.failures.append(
                    f"{p.name}: exit status {p.popen.returncode}")

    def run(self):
        try:
            self.start()
            self.run_cli("load", "examples/inventory.yaml")
            self.issue_key("shop-key", "starters")
            self.issue_key("box-key", "boxes")
            self.run_cli("instances")
            self.run_cli("teams")
            self.run_traffic()
            self.withdraw_key()
            self.run_cli("status")
            self.check()
            self.stop()
        finally:
            for p in self.processes:
                p.stop()
        for failure in self.failures[:20]:
            print(f"FAILED: {failure}")
        print("demo: all checks passed" if not self.failures
              else "demo: failed")
        return bool(self.failures)


if __name__ == "__main__":
    sys.exit(Demo(sys.argv[1]).run())
