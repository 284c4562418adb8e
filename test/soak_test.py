"""Tests of the checks of tools/soak.py: what they report and allow."""

import json
import os
import select
import socket
import sys
import threading
import time
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))

import clients
import fleet
import jobs
import lasting
import soak

TASK = f"{1:016x}.0.0.0"
OTHER = f"{2:016x}.0.0.{{}}"
POOLS = {"q0": "p0"}
END_MS = 30000
NOTED, UNNOTED = 9000, 0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def errors(runs, workers=1, faults=(), cancelled_ms=None, others=0):
    """Checks a job of one task of 20000 MiB; a worker has room for three."""
    job = jobs.Job(1, "q0", 1, 1, 0, mem_mb=20000)
    other = jobs.Job(2, "q0", 3, 1, 100, mem_mb=20000)
    job.accepted, job.accepted_ms, job.cancelled_ms = True, 1, cancelled_ms
    lives = [(f"w-{i + 1}", "p0", "az-1", 0, 0) for i in range(workers)]
    lives += [("w-8", "p1", "az-1", 0, 0), ("w-9", "p0", "az-1", 0, 1)]
    runs = [(TASK, n, "w-1", *run) for n, run in enumerate(runs)]
    runs += [(OTHER.format(i), 1, "w-1", 0, 0, "") for i in range(others)]
    return lasting.Record(runs, lives, [job, other], POOLS, faults,
                          END_MS).errors()


class LastingTest(unittest.TestCase):
    def test_cases(self):
        until_8 = [(0, 2000, "stopped"), (8500, 0, "")]
        for title, expect, arguments in (
                ("a run all the while", 0, {"runs": [(100, 0, "")]}),
                ("no run", 1, {"runs": []}),
                ("a wait of over 6 s", 1, {"runs": until_8}),
                ("a wait of 5 s", 0, {"runs": [(0, 2000, "stopped"),
                                               (7000, 0, "")]}),
                ("room once over", 0, {"runs": until_8, "others": 2}),
                ("room twice over", 1, {"runs": until_8, "others": 1}),
                ("a fault 5 s before", 0, {"runs": until_8,
                                           "faults": [(3000, 3500)]}),
                ("cancelled", 0, {"runs": [], "cancelled_ms": 5000}),
                ("stopped twice", 1, {"runs": [
                    (0, 9000, "stopped"), (9100, 13000, "stopped"),
                    (13100, 0, "")]}),
                ("stopped twice, a fault between", 0, {"runs": [
                    (0, 9000, "stopped"), (9100, 13000, "stopped"),
                    (13100, 0, "")], "faults": [(9500, 9600)]}),
                ("stopped twice, 5 s between", 0, {"runs": [
                    (0, 9000, "stopped"), (9100, 14000, "stopped"),
                    (14100, 0, "")]}),
                ("stopped once, lapsed once", 0, {"runs": [
                    (0, 9000, "stopped"), (9100, 13000, "lapsed"),
                    (13100, 0, "")]})):
            with self.subTest(title):
                self.assertEqual(len(errors(**arguments)), expect,
                                 errors(**arguments))

    def test_room_that_comes_and_goes_is_no_cause(self):
        runs = [(TASK, 1, "w-1", 0, 2000, "stopped")]
        job = jobs.Job(1, "q0", 1, 1, 0, mem_mb=20000)
        job.accepted, job.accepted_ms = True, 1
        lives = [("w-1", "p0", "az-1", b, b + 2900)
                 for b in range(0, END_MS, 3000)]
        self.assertEqual(lasting.Record(runs, lives, [job], POOLS, [],
                                        END_MS).errors(), [])


class RunsTest(unittest.TestCase):
    def test_cases(self):
        done, gone = (1000, 2000, "done"), (1000, 2000, "gone")
        for title, reported, runs, completed_ms in (
                ("once", False, [(*done, NOTED)], 2100),
                ("twice at once", True, [(1000, 0, "", UNNOTED),
                                         (1500, 0, "", UNNOTED)], None),
                ("after an acknowledged end", True,
                 [(*done, NOTED), (3000, 4000, "done", NOTED)], None),
                ("after the same, of two", True,
                 [(*gone, UNNOTED), (2500, 2600, "done", NOTED),
                  (3000, 0, "", UNNOTED)], None),
                ("after an end that was lost", False,
                 [(*done, UNNOTED), (3000, 4000, "done", NOTED)], None),
                ("after a loss", False,
                 [(*gone, UNNOTED), (3000, 4000, "done", NOTED)], 4100),
                ("after a lost end of a completed job", True,
                 [(*done, UNNOTED), (3200, 4000, "done", NOTED)], 2100),
                ("right after a job is completed", False,
                 [(*done, UNNOTED), (3000, 4000, "done", NOTED)], 2100)):
            with self.subTest(title):
                record = [(TASK, n, "w-1", *run) for n, run in enumerate(runs)]
                try:
                    jobs.check_runs(record, {TASK.split(".")[0]: completed_ms})
                    self.assertFalse(reported)
                except jobs.ScenarioError:
                    self.assertTrue(reported)

    def test_the_stand_in_records_which_ends_were_acknowledged(self):
        with jobs.Site("build", workers=1) as site:
            def call(path, **fields):
                return json.loads(fleet.call(
                    site.worker_ports["w-1"], "POST", f"/jackdawwell/{path}",
                    json.dumps(fields))[2])

            def run(number, lease_ms):
                """Starts a run that ends and returns the ends listed."""
                now = call("hold", deadlineMs=0, ackedUpto=0)["clockMs"]
                call("run-start", task=TASK, run=number, taskSpec="10 ms",
                     deadlineMs=now + lease_ms)
                time.sleep(0.1)
                return call("hold", deadlineMs=0, ackedUpto=0)["ended"]

            def noted():
                return [r[6] > 0 for r in site.record()]

            self.assertEqual(len(run(1, 3000)), 1)
            self.assertEqual(noted(), [False])
            call("hold", deadlineMs=0, ackedUpto=1)
            self.assertEqual(noted(), [True])
            self.assertEqual(len(run(2, 3000)), 1)
            site.control(reborn="w-1", down_ms=1, listed_ms=1)
            fleet.wait_until("w-1", lambda: site.lives()[-1][4] == 0)
            call("hold", deadlineMs=0, ackedUpto=9)
            self.assertEqual(noted(), [True, False])
            self.assertEqual(len(run(3, 50)), 1)
            call("hold", deadlineMs=0, ackedUpto=9)
            self.assertEqual(noted(), [True, False, False])


class Server:
    """Answers some requests and closes connections; a node's stand-in."""

    def __init__(self, serve):
        self.socket = socket.create_server((fleet.HOST, 0))
        self.port = self.socket.getsockname()[1]
        self.serve = serve
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                s = self.socket.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.run, args=(s,), daemon=True).start()

    def run(self, s):
        with s:
            try:
                self.serve(s)
            except OSError:
                pass


def read_request(s):
    """Reads a whole request without a body; False if the client is gone."""
    text = b""
    while not text.endswith(b"\r\n\r\n"):
        part = s.recv(1)
        if not part:
            return False
        text += part
    return True


def run_clients(serve):
    server = Server(serve)
    site = types.SimpleNamespace(ports={"node-1": [server.port]})
    c = clients.Clients(types.SimpleNamespace(site=site, jobs=[]), 1,
                        ["node-1"])
    time.sleep(2)
    c.close()
    server.socket.close()
    return c


class ClientsTest(unittest.TestCase):
    def test_a_request_that_is_cut_is_reported(self):
        def cut(s):
            if read_request(s):
                time.sleep(clients.SLACK_S + 0.1)

        c = run_clients(cut)
        self.assertGreater(len(c.errors([])), 0)
        now = time.monotonic()
        self.assertEqual(c.errors([("node-1", now - 9, now)]), [])
        self.assertGreater(len(c.errors([("node-2", now - 9, now)])), 0)

    def test_a_request_that_was_read_may_not_be_cut_soon(self):
        def cut(s):
            if read_request(s):
                time.sleep(clients.READ_SLACK_S + 0.05)

        self.assertGreater(len(run_clients(cut).errors([])), 0)

    def test_a_request_that_was_not_read_may_be_cut_soon(self):
        for pause_s, reported in ((clients.READ_SLACK_S + 0.05, False),
                                  (clients.SLACK_S + 0.1, True)):
            def cut(s, pause_s=pause_s):
                select.select([s], [], [])
                time.sleep(pause_s)

            c = run_clients(cut)
            self.assertGreater(len(c.cuts), 0)
            self.assertEqual(len(c.errors([])) > 0, reported)

    def test_an_incomplete_answer_is_reported(self):
        def cut(s):
            if read_request(s):
                s.sendall(ANSWER[:-1])
                time.sleep(clients.SLACK_S + 0.1)

        self.assertGreater(len(run_clients(cut).errors([])), 0)

    def test_a_connection_may_be_closed_between_requests(self):
        def close(s):
            if read_request(s):
                s.sendall(ANSWER)

        c = run_clients(close)
        self.assertGreater(c.answered, 0)
        self.assertEqual(c.errors([]), [])


class NodeTest(unittest.TestCase):
    def test_a_node_that_ends_by_itself_or_not_at_all_is_reported(self):
        log = open(os.devnull, "w")
        commands = {"ends": "exit 3", "stays": "trap '' TERM; exec sleep 30"}
        nodes = {n: fleet.Process(n, 0, ["/bin/sh", "-c", c], log)
                 for n, c in commands.items()}
        made = soak.Soak(types.SimpleNamespace(
            site=types.SimpleNamespace(nodes=nodes)), 1)
        original, soak.STOP_GRACE_S = soak.STOP_GRACE_S, 0.3
        try:
            for p in nodes.values():
                p.start()
            nodes["ends"].popen.wait()
            made.check_nodes()
            made.check_nodes()
            self.assertEqual(made.errors, ["ends ended by itself with 3"])
            time.sleep(0.3)
            made.stop("stays")
            self.assertIn("still runs", made.errors[-1])
        finally:
            soak.STOP_GRACE_S = original
            for p in nodes.values():
                p.stop()
            log.close()


if __name__ == "__main__":
    unittest.main()
