"""Sends malformed requests and frames to an entry built with sanitizers.

Fails if the entry crashes, leaks memory, makes a sanitizer report an error,
or does not answer a valid request afterwards.
"""

import subprocess
import sys

import fleet

MESSAGE_COUNT = 200000
SEED = 20261204


def run(build):
    """Returns None, or a description of the failure."""
    with fleet.Fleet(f"{build}/sanitize", workers=["w1"]) as f:
        p = f.add_entry("entry-1")
        f.add_entry("entry-2")
        f.load("entry-1", {"shop": {"share": 1, "limit": 8}},
               {"renew": {"team": "shop", "pool": "p1", "run_max_ms": 2000,
                          "wait_max_ms": 5000}})
        with open(p.command[-1]) as settings:
            peer = settings.read().split("peers: 127.0.0.1:")[1].split()[0]
        done = subprocess.run(
            [f"{build}/test/fuzz_client", "--http", str(p.port), "--peer",
             peer, "--seed", str(SEED), "--count", str(MESSAGE_COUNT)],
            capture_output=True, text=True)
        if done.returncode:
            return f"fuzz_client failed: {done.stderr} {f.log_tail()}"
        if not p.running():
            return f"entry ended: {f.log_tail()}"
        for _ in range(5):
            answer = f.request("entry-1", "renew", "shop-key", b"whole")
            if answer != (200, "answered", b"whole"):
                return f"a valid request got {answer}"
        p.send_signal(fleet.signal.SIGTERM)
        if p.popen.wait(timeout=60):
            return f"exit status {p.popen.returncode}: {f.log_tail()}"
        if "Sanitizer" in f.log_tail() or "runtime error" in f.log_tail():
            return f.log_tail()
    return None


if __name__ == "__main__":
    error = run(sys.argv[1])
    print(error or "no crash, no leak")
    sys.exit(error is not None)
