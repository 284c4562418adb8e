"""Checks what long-running tasks are promised, by the stand-in's record.

A task has a run again before it has waited for WAIT_MAX_MS, if for the last
ROOM_MS its pool had room for it twice over and there was no fault in the last
CALM_MS. Room that the product keeps free, as on drained instances, counts. No
task of a job that isn't cancelled is stopped twice within STOPS_GAP_MS,
without a fault in the CALM_MS before the second.
"""

WAIT_MAX_MS = 6000
ROOM_MS = 3000
CALM_MS = 7000
STOPS_GAP_MS = 5000
STEP_MS = 100  # between two looks at the room
CAPACITY = (16000, 65536)  # of a worker: millicores, MiB; as standin/site.c


class Record:
    """The runs of a site, the lives of its workers and the faults."""

    def __init__(self, runs, lives, jobs, pools, faults, end_ms):
        self.runs = runs  # as standin/site.c records them
        self.lives = lives  # [(worker, pool, zone, begin, end)]
        self.jobs = {j.id: j for j in jobs}
        self.pools = pools  # queue -> pool
        self.faults = faults  # [(from ms, until ms)]
        self.end_ms = end_ms

    def needs(self, task):
        job, _, step, _ = task.split(".")
        step = self.jobs[job].body["steps"][int(step)]
        return step["cpu"], step["memMb"]

    def calm(self, at_ms):
        return not any(begin <= at_ms and end > at_ms - CALM_MS
                       for begin, end in self.faults)

    def places(self, task, at_ms):
        """Returns how many tasks like this one its pool has room for."""
        pool = self.pools[self.jobs[task.split(".")[0]].queue]
        free = {w: list(CAPACITY) for w, p, _, begin, end in self.lives
                if p == pool and begin <= at_ms and not 0 < end <= at_ms}
        for other, _, worker, begin, end, *_ in self.runs:
            if worker in free and begin <= at_ms and not 0 < end <= at_ms:
                for i, need in enumerate(self.needs(other)):
                    free[worker][i] -= need
        cpu, mem_mb = self.needs(task)
        return sum(max(0, min(c // cpu, m // mem_mb))
                   for c, m in free.values())

    def overdue_ms(self, task, begin_ms, end_ms):
        """Returns when a wait was longer than promised; None if it wasn't."""
        room_since_ms = None
        for t in range(begin_ms + WAIT_MAX_MS - ROOM_MS, end_ms, STEP_MS):
            if self.places(task, t) < 2:
                room_since_ms = None
                continue
            if room_since_ms is None:
                room_since_ms = t
            if t >= max(begin_ms + WAIT_MAX_MS, room_since_ms + ROOM_MS) and \
                    self.calm(t):
                return t
        return None

    def task_errors(self, task, job):
        until_ms = min(self.end_ms, job.cancelled_ms or self.end_ms)
        runs = sorted((r[3], r[4], r[5]) for r in self.runs if r[0] == task)
        stops = [end for _, end, how in runs
                 if how == "stopped" and end < until_ms]
        for first, second in zip(stops, stops[1:]):
            if second - first < STOPS_GAP_MS and self.calm(second):
                yield (f"{task} was stopped at {first} and at {second}, "
                       f"{second - first} ms later")
        waits = zip([job.accepted_ms, *(end for _, end, _ in runs)],
                    [*(begin for begin, _, _ in runs), until_ms])
        for begin, end in waits:
            if not begin:  # the last run has not ended
                continue
            at = self.overdue_ms(task, begin, min(end, until_ms))
            if at:
                yield (f"{task} has had no run since {begin}, with room for "
                       f"it at {at}, {at - begin} ms later; runs {runs}")

    def errors(self):
        """Returns a text for each promise that was broken."""
        found = []
        for job in self.jobs.values():
            if not job.lasts or not job.accepted:
                continue
            for s, step in enumerate(job.body["steps"]):
                for t in range(step["count"]):
                    found += self.task_errors(f"{job.id}.0.{s}.{t}", job)
        return found
