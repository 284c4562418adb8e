"""Checks that no node applies a configuration version that is too old.

Version K adds the queue vK and removes the queue of the previous version. A
node may answer 503; any other answer must not be based on a version older
than the newest one confirmed STALENESS_MAX_S before the request was sent, nor
older than one that the same process has applied before.
"""

import threading
import time

STALENESS_MAX_S = 2.0  # config_ms of the nodes' settings
PROBE_INTERVAL_S = 0.05  # between two probes of a node
QUEUE_PREFIX = "v"  # of the queue that marks a version


class VersionChecker:
    """Writes versions and probes each node for the newest continuously."""

    def __init__(self, site):
        self.site = site
        self.interval_s = PROBE_INTERVAL_S
        self.confirmed = []  # [(version, when the store had confirmed it)]
        self.last_written = 0  # the newest version that a node may apply
        self.errors = []
        self.last_applied = {}  # node -> (pid, newest version it applied)
        self.stopping = threading.Event()
        self.threads = []

    def write(self, extra_routes):
        """Writes a version with this many additional routes."""
        number = len(self.confirmed) + 1
        self.last_written = number
        self.site.configure(queues=("q0", "q1", f"{QUEUE_PREFIX}{number}"),
                            extra_routes=extra_routes)
        self.confirmed.append((number, time.monotonic()))
        if not self.threads:
            for name in self.site.nodes:
                t = threading.Thread(target=self.probe_loop, args=(name,))
                t.start()
                self.threads.append(t)

    def required_version(self, at):
        """The oldest version that may answer a request sent at this time."""
        return max((n for n, when in list(self.confirmed)
                    if when + STALENESS_MAX_S < at), default=0)

    def queue_status(self, name, number):
        try:
            return self.site.request("GET", f"/{QUEUE_PREFIX}{number}/",
                                     node=name)[0]
        except OSError:
            return 0

    def probe_loop(self, name):
        while not self.stopping.wait(self.interval_s):
            if name in self.site.frozen or \
                    not self.site.nodes[name].running():
                continue
            self.probe(name)

    def probe(self, name):
        pid = self.site.nodes[name].popen.pid
        newest = self.confirmed[-1][0]
        sent = time.monotonic()
        required = self.required_version(sent)
        code = self.queue_status(name, newest)
        if code == 200:
            self.last_applied[name] = (pid, newest)
        elif code == 404 and self.last_written == newest:
            previous = self.last_applied.get(name, (0, 0))
            if newest <= required:
                self.errors.append(
                    f"{name}: 404 for version {newest}'s "
                    f"queue, confirmed more than {STALENESS_MAX_S} s "
                    "before; the node reports version "
                    f"{self.site.metric(name, 'config_version')}")
            elif previous == (pid, newest):
                self.errors.append(
                    f"{name}: version {newest} is no longer "
                    "applied; the node reports version "
                    f"{self.site.metric(name, 'config_version')}")
        if required > 1 and self.queue_status(name, required - 1) == 200:
            self.errors.append(f"{name}: version {required - 1}'s queue "
                               "answered, removed more than "
                               f"{STALENESS_MAX_S} s before")

    def in_force(self):
        """Returns how many nodes apply the newest version."""
        newest = self.confirmed[-1][0]
        return sum(self.queue_status(name, newest) == 200
                   for name in self.site.nodes)

    def close(self):
        self.stopping.set()
        for t in self.threads:
            t.join()
