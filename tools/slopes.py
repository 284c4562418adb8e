"""Prints the slopes that docs/CAPACITY.md quotes: make bench-slopes.

The decision code's come from bench/slopes; those of whole processes are
measured here, at three sizes each.
"""

import subprocess
import sys
import time

import bench
import fleet

IDLE_S = 5.0
FLEETS = (3, 5, 7)
WAITING = (2500, 5000, 10000)


def fit(xs, ys):
    """Least squares: slope, constant, r squared."""
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


def idle(build, count):
    """Peer bytes, store bytes, reads a second and CPU of an idle entry."""
    with fleet.Fleet(build, workers=["w1", "w2"]) as f:
        names = [f"entry-{i + 1}" for i in range(count)]
        for name in names:
            f.add_entry(name)
        f.load("entry-1", bench.TEAM, bench.QUEUE)
        time.sleep(3.0)
        before = f.status(names[-1])["traffic"]
        cpu = cpu_s(f.entries[names[-1]])
        time.sleep(IDLE_S)
        after = f.status(names[-1])["traffic"]
        cpu = (cpu_s(f.entries[names[-1]]) - cpu) / IDLE_S
        step = {k: (after[k] - before[k]) / IDLE_S for k in after}
        return (step["peer_bytes_in"] + step["peer_bytes_out"],
                step["store_bytes"], step["store_reads"], cpu * 100)


def waiting(build, count):
    """Memory of an entry in which that many requests wait, MiB."""
    b = bench.Bench(build)
    shown = {}
    b.show = lambda name, value, *_, **__: shown.update({name: value})
    bench.WAITING = count
    b.waiting()
    return shown[f"memory with {count} requests waiting"]


def main(build):
    subprocess.run([f"{build}/bench/slopes"], check=True)
    found = [idle(build, n) for n in FLEETS]
    for i, (name, unit) in enumerate((("idle-peers", "B/s"),
                                      ("idle-store", "B/s"),
                                      ("idle-reads", "1/s"),
                                      ("idle-cpu", "% of a core"))):
        show(name, unit, "entry", FLEETS, [f[i] for f in found])
    show("waiting-memory", "MiB", "waiting request", WAITING,
         [waiting(build, n) for n in WAITING])
    subprocess.run([f"{build}/bench/fairness", "--brief"], check=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
