"""Checks which version of the configuration each node answers by.

Version K has the queue vK and no longer the queue of the version before. A
node may answer 503; what it answers otherwise must not be older than the
newest version that was confirmed BOUND_S before the request was sent, nor
older than a version by which the same process answered before.
"""

import threading
import time

BOUND_S = 2.0    # as in the nodes' settings
PERIOD_S = 0.05  # between two requests to a node
MARKER = "v"     # of the names of queues that tell a version


class Versions:
    """Writes versions and asks each node for the newest all the while."""

    def __init__(self, site):
        self.site = site
        self.confirmed = []  # [(marker's number, time)]
        self.begun = 0       # the newest marker that may be in force
        self.errors = []
        self.seen = {}       # node -> newest marker that it answered by
        self.stop = threading.Event()
        self.threads = []

    def write(self, routes):
        """Confirms a version with so many routes more."""
        number = len(self.confirmed) + 1
        self.begun = number
        self.site.configure(queues=("q0", "q1", f"{MARKER}{number}"),
                            routes=routes)
        self.confirmed.append((number, time.monotonic()))
        if not self.threads:
            for name in self.site.nodes:
                t = threading.Thread(target=self.watch, args=(name,))
                t.start()
                self.threads.append(t)

    def due(self, at):
        """The newest marker that must be in force for a request sent at."""
        return max((n for n, when in list(self.confirmed)
                    if when + BOUND_S < at), default=0)

    def ask(self, name, number):
        try:
            return self.site.request("GET", f"/{MARKER}{number}/",
                                     node=name)[0]
        except OSError:
            return 0

    def watch(self, name):
        while not self.stop.wait(PERIOD_S):
            if name in self.site.frozen or \
                    not self.site.nodes[name].running():
                continue
            self.probe(name)

    def probe(self, name):
        pid = self.site.nodes[name].popen.pid
        newest = self.confirmed[-1][0]
        sent = time.monotonic()
        due = self.due(sent)
        code = self.ask(name, newest)
        if code == 200:
            self.seen[name] = (pid, newest)
        elif code == 404 and self.begun == newest:
            before = self.seen.get(name, (0, 0))
            if newest <= due:
                self.errors.append(f"{name}: 404 for version {newest}'s "
                                   f"queue, confirmed {BOUND_S} s before; by "
                                   "its own word it has "
                                   f"{self.site.metric(name, 'config_version')}")
            elif before == (pid, newest):
                self.errors.append(f"{name}: version {newest} was in force "
                                   "and is no longer; by its own word it has "
                                   f"{self.site.metric(name, 'config_version')}")
        if due > 1 and self.ask(name, due - 1) == 200:
            self.errors.append(f"{name}: version {due - 1}'s queue answered, "
                               f"dropped {BOUND_S} s before")

    def in_force(self):
        """How many nodes answer by the newest version now."""
        newest = self.confirmed[-1][0]
        return sum(self.ask(name, newest) == 200 for name in self.site.nodes)

    def close(self):
        self.stop.set()
        for t in self.threads:
            t.join()
