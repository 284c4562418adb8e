"""The one worker of a kind is lost for good; 70 long-running jobs need it.

Their steps come first in the order of their pool and find no room. A pass
ends after 64 such steps, so no other job of the service is ever placed,
though all the other workers are idle.
"""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand"))
import platform2  # noqa: E402

MACHINES = {"m%02d" % i: "shop" for i in range(8)}
LASTING = ([{"count": 1, "cpu": 200, "memMb": 64, "longRunning": True,
             "requires": "special"}], "0")
LASTING_JOBS = 70
STEPS = ([{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 200}], "200")
FINISH_S = 14.0


def case(make, trouble):
    site = make(MACHINES, kinds={"m00": "special"})
    site.start()
    time.sleep(2)
    for i in range(LASTING_JOBS):
        code = site.submit(site.nodes[i % 3], "shop", "a%015x" % i, LASTING)[0]
        if code != 200:
            raise RuntimeError("a long-running job was not accepted")
    special = site.machines.machines["m00"][2]
    site.until(lambda: len(special.running) == LASTING_JOBS, 10,
               "all long-running tasks run")
    accepted = []
    stop = threading.Event()

    def client():
        number = 0
        while not stop.is_set():
            number += 1
            job = "b%015x" % number
            if site.submit(site.nodes[number % 3], "shop", job,
                           STEPS)[0] == 200:
                accepted.append(job)
            stop.wait(0.5)

    threading.Thread(target=client, daemon=True).start()
    time.sleep(5)
    if trouble:
        site.machines.lose("m00")
    time.sleep(15)
    stop.set()
    time.sleep(FINISH_S)
    return platform2.idle_jobs(site, "shop", sorted(accepted))


platform2.run_case(HERE, case)
