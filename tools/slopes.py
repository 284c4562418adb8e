"""Prints the slopes that docs/CAPACITY.md quotes: make bench-slopes.

bench/slopes measures those of the decision code; those of whole processes
are measured here, at three sizes each.
"""

import subprocess
import sys
import time

import bench
import fleet

IDLE_MEASURE_S = 5.0
FLEET_SIZES = (3, 5, 7)
WAITING_COUNTS = (2500, 5000, 10000)


def fit(xs, ys):
    """Least-squares fit: returns slope, constant and r squared."""
    n = len(xs)
    mx, my = sum(xs) / n, sum(ys) / n
    vx = sum((x - mx) ** 2 for x in xs)
    vy = sum((y - my) ** 2 for y in ys)
    cov = sum((x - mx) * (y - my) for x, y in zip(xs, ys))
    slope = cov / vx
    return slope, my - slope * mx, cov * cov / (vx * vy) if vy else 1.0


def show(name, unit, per, xs, ys):
    slope, constant, r2 = fit(xs, ys)
    points = " ".join(f"{x}:{y:.4g}" for x, y in zip(xs, ys))
    print(f"{name:16} {slope:9.4g} {unit} a {per}, constant {constant:.4g}, "
          f"r2 {r2:.3f}, at {points}", flush=True)


def cpu_s(process):
    with open(f"/proc/{process.popen.pid}/stat") as f:
        fields = f.read().split()
    return (int(fields[13]) + int(fields[14])) / 100


def measure_idle(build, count):
    """Peer bytes, store bytes and reads per second, and CPU %, when idle."""
    with fleet.Fleet(build, workers=["w1", "w2"]) as f:
        names = [f"entry-{i + 1}" for i in range(count)]
        for name in names:
            f.add_entry(name)
        f.load("entry-1", bench.TEAM, bench.QUEUE)
        time.sleep(3.0)
        before = f.status(names[-1])["traffic"]
        cpu = cpu_s(f.entries[names[-1]])
        time.sleep(IDLE_MEASURE_S)
        after = f.status(names[-1])["traffic"]
        cpu = (cpu_s(f.entries[names[-1]]) - cpu) / IDLE_MEASURE_S
        per_s = {k: (after[k] - before[k]) / IDLE_MEASURE_S for k in after}
        return (per_s["peer_bytes_in"] + per_s["peer_bytes_out"],
                per_s["store_bytes"], per_s["store_reads"], cpu * 100)


def measure_waiting_mib(build, count):
    """Memory of an entry in which this many requests wait, in MiB."""
    bounds = bench.Bench(build)
    figures = {}
    bounds.show = lambda name, value, *_, **__: figures.update({name: value})
    bench.WAITING_REQUESTS = count
    bounds.waiting()
    return figures[f"memory with {count} requests waiting"]


def main(build):
    subprocess.run([f"{build}/bench/slopes"], check=True)
    idle_figures = [measure_idle(build, n) for n in FLEET_SIZES]
    for i, (name, unit) in enumerate((("idle-peers", "B/s"),
                                      ("idle-store", "B/s"),
                                      ("idle-reads", "1/s"),
                                      ("idle-cpu", "% of a core"))):
        show(name, unit, "entry", FLEET_SIZES, [f[i] for f in idle_figures])
    show("waiting-memory", "MiB", "waiting request", WAITING_COUNTS,
         [measure_waiting_mib(build, n) for n in WAITING_COUNTS])
    subprocess.run([f"{build}/bench/fairness", "--brief"], check=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
