"""The leader stands still for a moment, then part of the store is busy.

Jobs that other nodes recorded meanwhile are announced to the leader by the
feed of the table `inbox`, but it can't read their rows.
"""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand"))
import platform2  # noqa: E402

MACHINES = {"m%02d" % i: "shop" for i in range(6)}
STEPS = ([{"count": 2, "cpu": 500, "memMb": 64, "estimateMs": 200}], "200")
FREEZE_S = 1.4
BUSY_FROM_S = 0.97  # after the begin of the freeze
BUSY_S = 4.0
BUSY_TABLES = {"job", "lead"}  # 2 of 11
FINISH_S = 14.0


def case(make, trouble):
    site = make(MACHINES)
    site.start()
    time.sleep(6)  # a new leader gets more time
    leader = site.leader()
    others = [n for n in site.nodes if n is not leader]
    accepted = []
    stop = threading.Event()

    def client(index):
        number = 0
        while not stop.is_set():
            number += 1
            job = "%08x%08x" % (index + 1, number)
            # Clients wait for as long as Deadline-Ms says.
            code = site.submit(others[index % 2], "shop", job, STEPS, 400)[0]
            if code == 200:
                accepted.append(job)
            stop.wait(0.06)

    for i in range(4):
        threading.Thread(target=client, args=(i,), daemon=True).start()
    time.sleep(2)
    begun = time.monotonic()
    if trouble:
        leader.signal(signal.SIGSTOP)
    time.sleep(BUSY_FROM_S)
    if trouble:
        site.store.down_tables = BUSY_TABLES
        site.record("BUSY", sorted(BUSY_TABLES))
    time.sleep(FREEZE_S - (time.monotonic() - begun))
    if trouble:
        leader.signal(signal.SIGCONT)
    time.sleep(BUSY_FROM_S + BUSY_S - (time.monotonic() - begun))
    site.store.down_tables = set()
    site.record("WHOLE")
    time.sleep(3)
    stop.set()
    time.sleep(FINISH_S)
    return platform2.idle_jobs(site, "shop", sorted(accepted))


platform2.run_case(HERE, case)
