"""Demonstrates jobs on the platform stand-in: the second part of make demo.

Three nodes accept jobs, the leader is killed meanwhile, and each job ends
once. Exits with status 0 only if all checks passed.
"""

import sys
import threading
import time

import jobs
from scenario import ScenarioError

CASE = """# Jobs of two queues; the leader is killed
at 0s submit 30 to q0 tasks 3 steps 2 ms 400
at 0.2s submit 20 to q1 tasks 2 ms 300
at 1.5s kill lead
at 2s submit 10 to q0 tasks 2 ms 200
expect accepted == 60
expect completed == 60
"""


def show_progress(run, done):
    """Updates one line of progress until the jobs have ended."""
    while not done.wait(0.5):
        states = {}
        for job in run.jobs:
            state = job.state or ("accepted" if job.accepted else "submitted")
            states[state] = states.get(state, 0) + 1
        runs = len(run.site.record())
        line = ", ".join(f"{n} {s}" for s, n in sorted(states.items()))
        print(f"\r{line}; {runs} tasks started; leader "
              f"{run.site.leader() or 'none'}        ", end="", flush=True)
    print()


def main(build):
    case = jobs.Case(CASE)
    done = threading.Event()
    with jobs.Site(build) as site:
        site.configure()
        site.start_nodes(case.nodes)
        print(f"3 nodes, 4 workers; {site.leader()} is the leader")
        run = jobs.Run(case, site)
        progress = threading.Thread(target=show_progress, args=(run, done))
        progress.start()
        try:
            run.run_actions()
            error = None
        except ScenarioError as e:
            error = str(e)
        done.set()
        progress.join()
        try:
            run.check()
        except ScenarioError as e:
            error = error or str(e)
        print(f"{run.value(['completed'])} of {len(run.jobs)} jobs completed, "
              f"{run.value(['takeovers'])} leaders, no task ran twice"
              if not error else f"FAILED: {error}")
    return error is not None


if __name__ == "__main__":
    begin = time.monotonic()
    failed = main(sys.argv[1])
    print(f"jobs: {'failed' if failed else 'all checks passed'} "
          f"({time.monotonic() - begin:.1f} s)")
    sys.exit(failed)
