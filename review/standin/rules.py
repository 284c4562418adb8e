"""Checks of rules by what the stand-ins have seen."""

import time


class Runs:
    """Follows all runs of all workers, for the rule TWICE."""

    def __init__(self, workers):
        self.runs = {}  # task -> list of runs
        for w in workers:
            w.on_start, w.on_end, w.on_ack = self.start, self.end, self.ack

    def start(self, worker, run):
        self.runs.setdefault(run.task, []).append({
            "worker": worker.id, "lapses": worker.lapses, "run": run.number, "begun": time.monotonic(),
            "ended": None, "how": None, "acked": None})

    def find(self, worker, task, number):
        for r in self.runs.get(task, []):
            if r["worker"] == worker.id and r["run"] == number:
                return r
        return None

    def end(self, worker, run, how):
        r = self.find(worker, run.task, run.number)
        r["ended"], r["how"] = time.monotonic(), how

    def ack(self, worker, task, number, how):
        r = self.find(worker, task, number)
        if r:
            r["acked"] = time.monotonic()

    @staticmethod
    def noted(r):
        """Whether the end of a run was taken note of, by the rule's words."""
        return r["acked"] and not any(r["ended"] <= t <= r["acked"]
                                      for t in r["lapses"])

    def twice(self):
        """Returns the breaks: (task, what), at most one of a task."""
        found = []
        for task, runs in self.runs.items():
            runs = sorted(runs, key=lambda r: r["begun"])
            for n, later in enumerate(runs):
                what = None
                for before in runs[:n]:
                    if before["ended"] is None or \
                            before["ended"] > later["begun"]:
                        what = (f"run {later['run']} on {later['worker']} "
                                f"began while run {before['run']} ran on "
                                f"{before['worker']}")
                    elif before["how"] == "done" and self.noted(before):
                        what = (f"run {later['run']} on {later['worker']} "
                                f"began {later['begun'] - before['ended']:.3f}"
                                f" s after run {before['run']} on "
                                f"{before['worker']} had ended done; that end "
                                "was acknowledged")
                if what:
                    found.append((task, what))
                    break
        return found


def report(record, broken, rule):
    """Records the verdict; returns the status to exit with."""
    for text in broken[:20]:
        record("BROKEN", f"{rule}: {text}")
    record("verdict", f"{rule}: {len(broken)} breaks" if broken
           else f"{rule} held")
    return 1 if broken else 0
